//! The product's policy and the baselines.

/// How the fleet is controlled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlPolicy {
    /// Everything that the daemons do.
    Product,
    /// Nothing is refused; each hop retries three times.
    NoControl,
    /// A fixed concurrency limit and a first-in-first-out queue at each executor.
    FixedLimit,
    /// The product, but each entry has a fixed equal share of each rate.
    EqualShares,
    /// The product, but each hop retries three times without allowance or budget.
    PlainRetries,
}

impl ControlPolicy {
    pub const ALL: [Self; 5] = [
        Self::Product,
        Self::NoControl,
        Self::FixedLimit,
        Self::EqualShares,
        Self::PlainRetries,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::NoControl => "no control",
            Self::FixedLimit => "fixed limit",
            Self::EqualShares => "equal shares",
            Self::PlainRetries => "plain retries",
        }
    }

    /// Whether executors admit by the product's gate and entries refuse early.
    pub fn uses_admission_control(self) -> bool {
        !matches!(self, Self::NoControl | Self::FixedLimit)
    }

    /// Whether retries are bounded by the request's allowance and the service's budget.
    pub fn bounds_retries(self) -> bool {
        !matches!(
            self,
            Self::NoControl | Self::FixedLimit | Self::PlainRetries
        )
    }

    /// Whether rates are kept at all.
    pub fn enforces_rates(self) -> bool {
        !matches!(self, Self::NoControl | Self::FixedLimit)
    }

    /// Whether a non-idempotent request that may have run is never run again.
    pub fn prevents_duplicate_runs(self) -> bool {
        self.uses_admission_control()
    }
}
