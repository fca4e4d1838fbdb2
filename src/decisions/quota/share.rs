//! One daemon's part of an organisation's quota.
//!
//! Every daemon reports what it admits. Each keeps an estimate of the organisation's whole token
//! bucket from these reports. While the bucket is well filled a request enters freely, so that
//! uneven arrivals cost nobody a refusal; near empty, a daemon keeps to its own part of the rate.

use std::time::Duration;

/// Part of the burst below which a daemon keeps to its own share of the rate.
const FREE_ADMISSION_LEVEL: f64 = 0.1;
/// Age of reports before the first have come.
const INITIAL_REPORT_AGE: Duration = Duration::from_millis(450);
/// While reports are on their way, a daemon admits this many times its own part of the rate.
const UNREPORTED_RATE_FACTOR: f64 = 1.5;
/// Beyond that it admits this many standard deviations of even arrivals and this many requests.
const UNREPORTED_DEVIATIONS: f64 = 2.0;
const UNREPORTED_REQUESTS: f64 = 1.0;
/// A daemon's own part holds this many seconds of its rate for uneven arrivals.
const OWN_BURST_S: f64 = 0.7;
/// A daemon with little demand may still admit this many requests at once.
const MIN_OWN_BURST: f64 = 1.0;
/// An overdrawn bucket is paid back: a daemon uses less of its rate, down to this part of it when
/// the overdraft is as large as the burst.
const MIN_RATE_FACTOR: f64 = 0.1;
/// The overdraft that is remembered, in bursts.
const MAX_DEBT_BURSTS: f64 = 4.0;
/// Time over which the demand is smoothed.
const DEMAND_SMOOTHING: Duration = Duration::from_millis(700);

/// Time over which a daemon's part of the demand is smoothed: several times the age of reports.
const SHARE_SMOOTHING: Duration = Duration::from_secs(5);

/// The part of the operator's tolerance that is used up on purpose; the rest covers what is admitted
/// before the daemons have heard of each other.
const USABLE_TOLERANCE: f64 = 0.2;

/// What the operator tolerates beyond rate and burst in a window.
#[derive(Debug, Clone, Copy)]
pub struct QuotaTolerance {
    pub window: Duration,
    /// Part of what rate and burst allow in a window.
    pub overage: f64,
    /// Requests.
    pub slack: f64,
}

impl QuotaTolerance {
    fn requests(&self, rule: &QuotaRule) -> f64 {
        let allowed = rule.rate * self.window.as_secs_f64() + rule.burst;
        allowed * self.overage + self.slack
    }
}

/// The quota of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRule {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// What the other daemons reported since the last call.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerDemand {
    /// Requests a second that they were asked for.
    pub rate: f64,
    /// Requests that they admitted since the last report.
    pub admitted: f64,
    /// How old reports get before the next ones come.
    pub report_age: Duration,
}

/// The state of one organisation at one daemon.
#[derive(Debug)]
pub struct QuotaShare {
    fleet_level: f64,
    own_level: f64,
    /// What may still be admitted before the other daemons have heard of it.
    unreported_level: f64,
    unreported_max: f64,
    /// So much was admitted since the last report that the others must hear of it now.
    report_due: bool,
    own_demand: f64,
    peer_demand: f64,
    daemons: usize,
    /// This daemon's part of the demand over a longer time.
    smoothed_share: f64,
    report_age: Duration,
    arrivals: f64,
    admitted: u64,
    updated: Duration,
}

impl QuotaShare {
    /// Starts with an empty bucket at the daemon's start: the bucket of a daemon that runs fills up
    /// with its time, and one that restarts brings no new burst.
    pub fn start() -> Self {
        Self {
            fleet_level: 0.0,
            own_level: 0.0,
            unreported_level: 0.0,
            unreported_max: 0.0,
            report_due: false,
            own_demand: 0.0,
            peer_demand: 0.0,
            daemons: 1,
            smoothed_share: 0.0,
            report_age: INITIAL_REPORT_AGE,
            arrivals: 0.0,
            admitted: 0,
            updated: Duration::ZERO,
        }
    }

    /// Sets how many daemons may serve the organisation, this one included, heard of or not.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Requests that this daemon admitted since its start, for its report.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Whether more was admitted than the others can expect, so that a report must not wait.
    pub fn is_report_due(&self) -> bool {
        self.report_due
    }

    /// Notes that the others were just told.
    pub fn record_reported(&mut self) {
        self.report_due = false;
        self.unreported_level = self.unreported_max;
    }

    /// Requests a second that this daemon is asked for, for its report.
    pub fn demand(&self) -> f64 {
        self.own_demand
    }

    /// The estimate of the organisation's bucket and of this daemon's own part, for log lines.
    pub fn levels(&self) -> (f64, f64) {
        (self.fleet_level, self.own_level)
    }

    /// Admits one request if the quota has room for it.
    pub fn admit(&mut self, rule: &QuotaRule, tolerance: &QuotaTolerance, now: Duration) -> bool {
        self.refill(rule, now);
        self.arrivals += 1.0;
        let excess_rate = (self.own_demand + self.peer_demand - rule.rate).max(0.0);
        let reserve = rule.burst * FREE_ADMISSION_LEVEL
            + excess_rate * self.report_age.as_secs_f64()
            - USABLE_TOLERANCE * tolerance.requests(rule);
        let free = self.fleet_level >= reserve + 1.0;
        if !free && self.own_level < 1.0 || self.unreported_level < 1.0 {
            return false;
        }
        self.unreported_level -= 1.0;
        // What is admitted as an own part of the rate is expected by the others.
        self.report_due |= free && self.unreported_level < 1.0;
        self.fleet_level -= 1.0;
        self.own_level = (self.own_level - 1.0).max(0.0);
        self.admitted += 1;
        true
    }

    /// Takes what the other daemons reported, `elapsed` after the last such call.
    pub fn apply_reports(&mut self, peers: PeerDemand, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        let weight = (seconds / DEMAND_SMOOTHING.as_secs_f64()).min(1.0);
        self.own_demand += weight * (self.arrivals / seconds - self.own_demand);
        self.arrivals = 0.0;
        self.peer_demand = peers.rate;
        self.report_age = peers.report_age;
        // Own demand is known sooner than that of others, so a surge everywhere looks like one here.
        let weight = (seconds / SHARE_SMOOTHING.as_secs_f64()).min(1.0);
        self.smoothed_share += weight * (self.share() - self.smoothed_share);
        self.fleet_level -= peers.admitted;
    }

    fn refill(&mut self, rule: &QuotaRule, now: Duration) {
        let seconds = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.fleet_level = (self.fleet_level + rule.rate * seconds)
            .clamp(-MAX_DEBT_BURSTS * rule.burst, rule.burst);
        let rate_factor = (1.0 + self.fleet_level / rule.burst).clamp(MIN_RATE_FACTOR, 1.0);
        let own_rate = rule.rate * self.share() * rate_factor;
        let max_own_level = (own_rate * OWN_BURST_S).max(MIN_OWN_BURST);
        self.own_level = (self.own_level + own_rate * seconds).min(max_own_level);
        self.unreported_max = self.unreported_limit(rule);
        let added = UNREPORTED_RATE_FACTOR * rule.rate * self.expected_share() * seconds;
        self.unreported_level = (self.unreported_level + added).min(self.unreported_max);
    }

    /// What this daemon may admit at once. An organisation that asks for far more than its rate does so
    /// everywhere at the same time, and each daemon notices only the part that it gets itself.
    fn unreported_limit(&self, rule: &QuotaRule) -> f64 {
        let expected = rule.rate * self.expected_share() * self.report_age.as_secs_f64();
        expected + UNREPORTED_DEVIATIONS * expected.sqrt() + UNREPORTED_REQUESTS
    }

    /// The part of all arrivals that is expected here; a pause is no reason to expect less.
    fn expected_share(&self) -> f64 {
        self.smoothed_share.max(1.0 / self.daemons as f64)
    }

    /// The part of the rate that is this daemon's, by demand.
    fn share(&self) -> f64 {
        let even = 1.0 / self.daemons as f64;
        let total = self.own_demand + self.peer_demand;
        if total < 1.0 {
            return even;
        }
        // A tenth is dealt evenly, so that a daemon whose demand has just begun isn't starved.
        0.1 * even + 0.9 * self.own_demand / total
    }
}
