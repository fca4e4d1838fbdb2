//! One daemon's share of an organisation's quota.
//!
//! Every daemon reports the requests that it admits and estimates the organisation's fleet-wide
//! token bucket from the reports of the others. While the bucket is well filled, all requests are
//! admitted, so that uneven arrivals cause no refusals. When it is nearly empty, each daemon is
//! limited to its own share of the rate.

use std::time::Duration;

use super::class_part::ClassPart;
use super::class_part::EXPECTED_TRIES;
use super::returned::ReturnedTokens;

/// Bucket level, as a share of the burst, below which a daemon is limited to its share of the rate.
const FREE_ADMISSION_LEVEL: f64 = 0.1;
/// Assumed age of reports before the first are received.
const INITIAL_REPORT_AGE: Duration = Duration::from_millis(450);
/// Rate at which a daemon may admit requests that it has not reported yet, as a multiple of its
/// share of the rate.
const UNREPORTED_RATE_FACTOR: f64 = 1.5;
/// Additional unreported admissions: a number of standard deviations of Poisson arrivals, and a
/// number of requests.
const UNREPORTED_DEVIATIONS: f64 = 2.0;
const UNREPORTED_REQUESTS: f64 = 2.5;
/// Burst of a daemon's own share, in seconds of its rate, for uneven arrivals.
const OWN_BURST_S: f64 = 0.7;
/// Minimum burst of a daemon's own share in requests, for daemons with little demand.
const MIN_OWN_BURST: f64 = 1.0;
/// Minimum factor on the rate of a daemon's own share. An overdrawn bucket lowers the rate, down to
/// this factor once the overdraft is as large as the burst, so that the overdraft is repaid.
const MIN_RATE_FACTOR: f64 = 0.1;
/// Maximum overdraft of the bucket, in bursts.
const MAX_DEBT_BURSTS: f64 = 4.0;
/// Time constant of the demand average.
const DEMAND_SMOOTHING: Duration = Duration::from_millis(700);

/// Time constant of the average of a daemon's share of the demand: several times the age of
/// reports.
const SHARE_SMOOTHING: Duration = Duration::from_secs(5);

/// Maximum level of a daemon's own share at its start, in requests.
const MAX_INITIAL_LEVEL: f64 = 0.5;

/// Share of the operator's tolerance that is used deliberately; the rest covers requests admitted
/// before the daemons have received each other's reports.
const USABLE_TOLERANCE: f64 = 0.2;

/// Excess over rate and burst that the operator tolerates in a window.
#[derive(Debug, Clone, Copy)]
pub struct QuotaTolerance {
    pub window: Duration,
    /// Tolerated excess as a share of the requests that rate and burst allow in a window.
    pub overage: f64,
    /// Additional tolerated requests.
    pub slack: f64,
}

impl QuotaTolerance {
    fn requests(&self, rule: &QuotaRule) -> f64 {
        let allowed = rule.rate * self.window.as_secs_f64() + rule.burst;
        allowed * self.overage + self.slack
    }
}

/// Quota of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRule {
    /// Requests a second.
    pub rate: f64,
    /// Capacity of the token bucket in requests.
    pub burst: f64,
}

/// Reports of the other daemons since the previous update, summed.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerDemand {
    /// Requests a second that arrived at them, or none as long as a daemon that has just started
    /// does not know it.
    pub rate: Option<f64>,
    /// Requests that they admitted since the previous update.
    pub admitted: f64,
    /// Maximum age of a report before the next one is received.
    pub report_age: Duration,
}

/// State of one organisation's quota at one daemon.
#[derive(Debug)]
pub struct QuotaShare {
    /// Estimated level of the organisation's bucket; negative when overdrawn.
    fleet_level: f64,
    /// Level of the bucket of this daemon's own share.
    own_level: f64,
    /// Requests that may still be admitted before the other daemons receive a report of them.
    unreported_level: f64,
    unreported_max: f64,
    /// Time since the unreported admissions were used up by requests beyond this daemon's own share,
    /// if they were.
    exhausted_for: Option<Duration>,
    own_demand: f64,
    /// Requests a second that arrive at the other daemons, if known.
    peer_demand: Option<f64>,
    /// True until the next refill after the demand at the other daemons has become known.
    just_informed: bool,
    daemons: usize,
    /// Long-term average of this daemon's share of the demand.
    smoothed_share: f64,
    report_age: Duration,
    arrivals: f64,
    admitted: u64,
    /// Admissions that were reported.
    reported: u64,
    returned: ReturnedTokens,
    /// Demand in requests a second up to which tokens are returned.
    max_refunded_demand: f64,
    class_part: ClassPart,
    updated: Duration,
}

impl QuotaShare {
    /// Creates a share with an empty bucket, so that a restarted daemon adds no burst.
    ///
    /// The bucket fills from the daemon's start on, at the rate of the quota. `sample` is uniformly
    /// distributed from 0 to 1. It spreads the moments at which the parts of the daemons, which may
    /// be far less than one request a second, reach a whole request.
    pub fn start(sample: f64) -> Self {
        let initial_level = MAX_INITIAL_LEVEL * sample;
        Self {
            fleet_level: 0.0,
            own_level: initial_level,
            unreported_level: initial_level,
            unreported_max: 0.0,
            exhausted_for: None,
            own_demand: 0.0,
            peer_demand: None,
            just_informed: false,
            daemons: 1,
            smoothed_share: 0.0,
            report_age: INITIAL_REPORT_AGE,
            arrivals: 0.0,
            admitted: 0,
            reported: 0,
            returned: ReturnedTokens::default(),
            max_refunded_demand: 0.0,
            class_part: ClassPart::default(),
            updated: Duration::ZERO,
        }
    }

    /// Updates the demand at the other daemons, and the time after which they know of requests here.
    pub fn set_peer_demand(&mut self, rate: Option<f64>, report_age: Duration) {
        self.just_informed |= rate.is_some() && self.peer_demand.is_none();
        self.peer_demand = rate;
        self.report_age = report_age;
    }

    /// Sets the number of daemons that may serve the organisation, including this one and those
    /// from which no report has been received.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Returns the number of requests admitted since the daemon's start, for its report. A reported
    /// number never goes backwards.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the requests a second that ask for a token at this daemon, for its report.
    pub fn demand(&self) -> f64 {
        self.own_demand
    }

    /// Returns the levels of the organisation's bucket and of this daemon's own share, for logging.
    pub fn levels(&self) -> (f64, f64) {
        (self.fleet_level, self.own_level)
    }

    /// Admits a request if the quota allows it; returns false otherwise.
    pub fn admit(&mut self, rule: &QuotaRule, tolerance: &QuotaTolerance, now: Duration) -> bool {
        self.refill(rule, now);
        self.arrivals += 1.0;
        let excess_rate = (self.total_demand() - rule.rate).max(0.0);
        let reserve = rule.burst * FREE_ADMISSION_LEVEL
            + excess_rate * self.report_age.as_secs_f64()
            - USABLE_TOLERANCE * tolerance.requests(rule);
        // A daemon that knows nothing of the others keeps to an even share of the rate.
        let free = self.knows_others() && self.fleet_level >= reserve + 1.0;
        if !free && self.own_level < 1.0 || self.unreported_level < 1.0 {
            return false;
        }
        self.unreported_level -= 1.0;
        // The other daemons expect the requests that are admitted within this daemon's own share.
        if free && self.unreported_level < 1.0 {
            self.exhausted_for.get_or_insert(Duration::ZERO);
        }
        self.fleet_level -= 1.0;
        self.own_level = (self.own_level - 1.0).max(0.0);
        if !self.returned.take() {
            self.admitted += 1;
        }
        true
    }

    /// Returns the token of a request that was admitted, has not run and never will. Returns false
    /// if the organisation asks for so much that its refused requests use up tokens too.
    pub fn refund(&mut self) -> bool {
        // Tokens that came back without a limit would add up with those that are handed out
        // meanwhile, and the requests of both may run at the same moment.
        if self.total_demand() > self.max_refunded_demand {
            return false;
        }
        if self.admitted > self.reported {
            self.admitted -= 1;
        } else {
            self.returned.add();
        }
        // The next refill limits the levels.
        self.fleet_level += 1.0;
        self.own_level += 1.0;
        self.unreported_level += 1.0;
        true
    }

    /// Returns true if a request that a class with this share admitted exceeds the part of the
    /// class that the organisation is entitled to.
    pub fn exceeds_class_part(
        &mut self,
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        class_share: f64,
    ) -> bool {
        let exceeds = self.class_part.exceeds(rule, tolerance, class_share);
        if exceeds {
            self.arrivals += 1.0;
        }
        exceeds
    }

    /// Applies the reports of the other daemons, `elapsed` after the previous update.
    pub fn apply_reports(&mut self, peers: PeerDemand, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        let weight = (seconds / DEMAND_SMOOTHING.as_secs_f64()).min(1.0);
        self.own_demand += weight * (self.arrivals / seconds - self.own_demand);
        self.set_peer_demand(peers.rate, peers.report_age);
        let total_demand = self.total_demand();
        let arrivals = std::mem::take(&mut self.arrivals);
        self.class_part.update(arrivals, total_demand, elapsed);
        self.reported = self.admitted;
        self.returned.advance(elapsed);
        // The share is averaged over a long time, because local demand is known before that of the
        // others and a surge at all daemons at first looks like a local one.
        let weight = (seconds / SHARE_SMOOTHING.as_secs_f64()).min(1.0);
        self.smoothed_share += weight * (self.share() - self.smoothed_share);
        self.fleet_level -= peers.admitted;
        self.restore_unreported(elapsed);
    }

    /// Allows new unreported admissions once the other daemons know of all earlier ones.
    fn restore_unreported(&mut self, elapsed: Duration) {
        let Some(exhausted_for) = &mut self.exhausted_for else {
            return;
        };
        *exhausted_for += elapsed;
        // The report of these requests is sent up to one update after them.
        if *exhausted_for >= self.report_age + elapsed {
            self.unreported_level = self.unreported_max;
            self.exhausted_for = None;
        }
    }

    fn refill(&mut self, rule: &QuotaRule, now: Duration) {
        let seconds = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.max_refunded_demand = rule.rate * f64::from(EXPECTED_TRIES);
        self.fleet_level = (self.fleet_level + rule.rate * seconds)
            .clamp(-MAX_DEBT_BURSTS * rule.burst, rule.burst);
        let rate_factor = (1.0 + self.fleet_level / rule.burst).clamp(MIN_RATE_FACTOR, 1.0);
        let own_rate = rule.rate * self.share() * rate_factor;
        let max_own_level = (own_rate * OWN_BURST_S).max(MIN_OWN_BURST);
        self.own_level = (self.own_level + own_rate * seconds).min(max_own_level);
        self.unreported_max = self.unreported_limit(rule);
        let factor = if self.knows_others() {
            UNREPORTED_RATE_FACTOR
        } else {
            1.0
        };
        let added = factor * rule.rate * self.expected_share() * seconds;
        self.unreported_level = (self.unreported_level + added).min(self.unreported_max);
        if std::mem::take(&mut self.just_informed) {
            if self.total_demand() <= rule.rate {
                self.unreported_level = self.unreported_max;
            } else {
                // What the others admitted before is not known.
                self.fleet_level = self.fleet_level.min(0.0);
            }
        }
    }

    /// Returns the number of requests that this daemon may admit before it sends a report.
    ///
    /// The limit is needed because an organisation that exceeds its rate does so at all daemons at
    /// the same time, while each daemon sees only its own part.
    fn unreported_limit(&self, rule: &QuotaRule) -> f64 {
        let expected = rule.rate * self.expected_share() * self.report_age.as_secs_f64();
        expected + UNREPORTED_DEVIATIONS * expected.sqrt() + UNREPORTED_REQUESTS
    }

    /// Returns the expected share of arrivals here; a pause does not lower it below an even share.
    fn expected_share(&self) -> f64 {
        self.smoothed_share.max(1.0 / self.daemons as f64)
    }

    /// Returns true if the demand at all other daemons is known, or there are none.
    fn knows_others(&self) -> bool {
        self.peer_demand.is_some() || self.daemons == 1
    }

    /// Returns the requests a second that are known to ask for a token at all daemons.
    pub fn total_demand(&self) -> f64 {
        self.own_demand + self.peer_demand.unwrap_or(0.0)
    }

    /// Returns this daemon's share of the rate by its demand.
    fn share(&self) -> f64 {
        let even = 1.0 / self.daemons as f64;
        let total = self.total_demand();
        if total < 1.0 || !self.knows_others() {
            return even;
        }
        // A tenth is divided evenly, so that a daemon whose demand has just started is not starved.
        0.1 * even + 0.9 * self.own_demand / total
    }
}
