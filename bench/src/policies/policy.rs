//! Defines the policy of the product and the baselines that it is compared with.

/// Overload control that the simulated fleet uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlPolicy {
    /// All mechanisms of the daemons.
    Product,
    /// Nothing is refused; each hop retries three times.
    NoControl,
    /// A fixed concurrency limit and a first-in-first-out queue at each executor.
    FixedLimit,
    /// The product, but each entry has a fixed equal share of each rate.
    EqualShares,
    /// The product, but each hop retries three times regardless of allowance and budget.
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

    /// Name of the policy in the printed table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::NoControl => "no control",
            Self::FixedLimit => "fixed limit",
            Self::EqualShares => "equal shares",
            Self::PlainRetries => "plain retries",
        }
    }

    /// Returns true if executors use the product's admission control and entries throttle calls
    /// early.
    pub fn uses_admission_control(self) -> bool {
        !matches!(self, Self::NoControl | Self::FixedLimit)
    }

    /// Returns true if the request's allowance and the service's budget bound retries.
    pub fn bounds_retries(self) -> bool {
        !matches!(
            self,
            Self::NoControl | Self::FixedLimit | Self::PlainRetries
        )
    }

    /// Returns true if the rates of organisations are enforced.
    pub fn enforces_rates(self) -> bool {
        !matches!(self, Self::NoControl | Self::FixedLimit)
    }

    /// Returns true if a non-idempotent request that may have run is never run again.
    pub fn prevents_duplicate_runs(self) -> bool {
        self.uses_admission_control()
    }
}
