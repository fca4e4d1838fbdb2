//! The part of a full class that an organisation's quota entitles it to.

use std::time::Duration;

use super::share::QuotaRule;
use super::share::QuotaTolerance;

/// Number of times that a request which is refused as not run is expected to come.
pub const EXPECTED_TRIES: i32 = 3;
/// Share of a class above which it counts as open to all.
const OPEN_SHARE: f64 = 0.999;
/// Share of a class below which the estimated tries no longer grow.
const MIN_CLASS_SHARE: f64 = 0.05;
/// Time constant of the averages: the window of usual quotas. A burst may last for less.
const SMOOTHING: Duration = Duration::from_secs(5);
/// Demand in requests a second below which an organisation is never limited.
const MIN_DEMAND: f64 = 1.0;

/// Limits an organisation in classes that can't admit all requests.
///
/// Its token bucket alone would let one that asks for several times its rate use its whole rate
/// there, while those within their rates get the share of the class. So it is limited to
/// what it would get if it asked for its rate and each refused request came [`EXPECTED_TRIES`]
/// times. See `docs/design/charges.md`.
#[derive(Debug, Default)]
pub struct ClassPart {
    /// Additional requests that stand behind those since the last update: each that a class
    /// admitted stands for others that were refused and gave up.
    refused_since: f64,
    /// Averages of the requests a second at this daemon, of those behind them, and of the requests
    /// at all daemons.
    own_demand: f64,
    refused_demand: f64,
    total_demand: f64,
    /// Accumulated entitlement; a request is let through for each whole one.
    credit: f64,
}

impl ClassPart {
    /// Counts a request that a class with this share admitted and returns true if it exceeds the
    /// organisation's part.
    pub fn exceeds(
        &mut self,
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        class_share: f64,
    ) -> bool {
        let refused = 1.0 - class_share.clamp(MIN_CLASS_SHARE, 1.0);
        let admitted_part = 1.0 - refused.powi(EXPECTED_TRIES);
        self.refused_since += 1.0 / admitted_part - 1.0;
        let demand = self.total_demand * (1.0 + self.refused_per_request());
        let entitled = rule.rate + rule.burst / tolerance.window.as_secs_f64().max(1.0);
        if class_share >= OPEN_SHARE || demand <= entitled.max(MIN_DEMAND) {
            return false;
        }
        self.credit = (self.credit + entitled / demand).min(2.0);
        if self.credit < 1.0 {
            return true;
        }
        self.credit -= 1.0;
        false
    }

    /// Updates the averages with the requests at this daemon since the last update, and with the
    /// requests a second at all daemons.
    pub fn update(&mut self, arrivals: f64, total_demand: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        let weight = (seconds / SMOOTHING.as_secs_f64()).min(1.0);
        self.own_demand += weight * (arrivals / seconds - self.own_demand);
        self.refused_demand += weight * (self.refused_since / seconds - self.refused_demand);
        self.total_demand += weight * (total_demand - self.total_demand);
        self.refused_since = 0.0;
    }

    fn refused_per_request(&self) -> f64 {
        if self.own_demand > 0.0 {
            self.refused_demand / self.own_demand
        } else {
            0.0
        }
    }
}
