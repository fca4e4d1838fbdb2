//! One daemon's part of an organisation's quota.
//!
//! Every daemon reports what it admits. Each keeps an estimate of the organisation's whole token
//! bucket from these reports. While the bucket is well filled a request enters freely, so that
//! uneven arrivals cost nobody a refusal; near empty, a daemon keeps to its own part of the rate.

use std::time::Duration;

/// Part of the burst below which a daemon keeps to its own share of the rate.
const FREE_LEVEL: f64 = 0.1;
/// Age of reports before the first have come.
const FIRST_REPORT_AGE: Duration = Duration::from_millis(450);
/// While reports are on their way, a daemon admits this many times its own part of the rate.
const UNSEEN_FACTOR: f64 = 1.5;
/// Beyond that it admits this many standard deviations of even arrivals and this many requests.
const UNSEEN_DEVIATIONS: f64 = 2.0;
const UNSEEN_REQUESTS: f64 = 1.0;
/// A daemon's own part holds this many seconds of its rate for uneven arrivals.
const OWN_SECONDS: f64 = 0.7;
/// A daemon with little demand may still admit this many requests at once.
const OWN_FLOOR: f64 = 1.0;
/// An overdrawn bucket is paid back: a daemon uses less of its rate, down to this part of it when
/// the overdraft is as large as the burst.
const LEAST_PART: f64 = 0.1;
/// The overdraft that is remembered, in bursts.
const MOST_DEBT: f64 = 4.0;
/// Time over which the demand is smoothed.
const DEMAND_MEMORY: Duration = Duration::from_millis(700);

/// Time over which a daemon's part of the demand is smoothed: several times the age of reports.
const SHARE_MEMORY: Duration = Duration::from_secs(5);

/// The part of the operator's tolerance that is used up on purpose; the rest covers what is admitted
/// before the daemons have heard of each other.
const TOLERANCE_PART: f64 = 0.2;

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
    unseen_level: f64,
    unseen_most: f64,
    /// So much was admitted since the last report that the others must hear of it now.
    surging: bool,
    own_rate: f64,
    peer_rate: f64,
    daemons: usize,
    /// This daemon's part of the demand over a longer time.
    usual_share: f64,
    report_age: Duration,
    asked: f64,
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
            unseen_level: 0.0,
            unseen_most: 0.0,
            surging: false,
            own_rate: 0.0,
            peer_rate: 0.0,
            daemons: 1,
            usual_share: 0.0,
            report_age: FIRST_REPORT_AGE,
            asked: 0.0,
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
    pub fn is_surging(&self) -> bool {
        self.surging
    }

    /// Notes that the others were just told.
    pub fn note_reported(&mut self) {
        self.surging = false;
        self.unseen_level = self.unseen_most;
    }

    /// Requests a second that this daemon is asked for, for its report.
    pub fn demand(&self) -> f64 {
        self.own_rate
    }

    /// The estimate of the organisation's bucket and of this daemon's own part, for log lines.
    pub fn levels(&self) -> (f64, f64) {
        (self.fleet_level, self.own_level)
    }

    /// Admits one request if the quota has room for it.
    pub fn admit(&mut self, rule: &QuotaRule, tolerance: &QuotaTolerance, now: Duration) -> bool {
        self.refill(rule, now);
        self.asked += 1.0;
        let beyond = (self.own_rate + self.peer_rate - rule.rate).max(0.0);
        let kept = rule.burst * FREE_LEVEL + beyond * self.report_age.as_secs_f64()
            - TOLERANCE_PART * tolerance.requests(rule);
        let free = self.fleet_level >= kept + 1.0;
        if !free && self.own_level < 1.0 || self.unseen_level < 1.0 {
            return false;
        }
        self.unseen_level -= 1.0;
        // What is admitted as an own part of the rate is expected by the others.
        self.surging |= free && self.unseen_level < 1.0;
        self.fleet_level -= 1.0;
        self.own_level = (self.own_level - 1.0).max(0.0);
        self.admitted += 1;
        true
    }

    /// Takes what the other daemons reported, `elapsed` after the last such call.
    pub fn learn(&mut self, peers: PeerDemand, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        let weight = (seconds / DEMAND_MEMORY.as_secs_f64()).min(1.0);
        self.own_rate += weight * (self.asked / seconds - self.own_rate);
        self.asked = 0.0;
        self.peer_rate = peers.rate;
        self.report_age = peers.report_age;
        // Own demand is known sooner than that of others, so a surge everywhere looks like one here.
        let weight = (seconds / SHARE_MEMORY.as_secs_f64()).min(1.0);
        self.usual_share += weight * (self.share() - self.usual_share);
        self.fleet_level -= peers.admitted;
    }

    fn refill(&mut self, rule: &QuotaRule, now: Duration) {
        let seconds = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.fleet_level =
            (self.fleet_level + rule.rate * seconds).clamp(-MOST_DEBT * rule.burst, rule.burst);
        let part = (1.0 + self.fleet_level / rule.burst).clamp(LEAST_PART, 1.0);
        let own = rule.rate * self.share() * part;
        let most = (own * OWN_SECONDS).max(OWN_FLOOR);
        self.own_level = (self.own_level + own * seconds).min(most);
        self.unseen_most = self.unseen_limit(rule);
        let added = UNSEEN_FACTOR * rule.rate * self.expected_share() * seconds;
        self.unseen_level = (self.unseen_level + added).min(self.unseen_most);
    }

    /// What this daemon may admit at once. An organisation that asks for far more than its rate does so
    /// everywhere at the same time, and each daemon notices only the part that it gets itself.
    fn unseen_limit(&self, rule: &QuotaRule) -> f64 {
        let expected = rule.rate * self.expected_share() * self.report_age.as_secs_f64();
        expected + UNSEEN_DEVIATIONS * expected.sqrt() + UNSEEN_REQUESTS
    }

    /// The part of all arrivals that is expected here; a pause is no reason to expect less.
    fn expected_share(&self) -> f64 {
        self.usual_share.max(1.0 / self.daemons as f64)
    }

    /// The part of the rate that is this daemon's, by demand.
    fn share(&self) -> f64 {
        let even = 1.0 / self.daemons as f64;
        let total = self.own_rate + self.peer_rate;
        if total < 1.0 {
            return even;
        }
        // A tenth is dealt evenly, so that a daemon whose demand has just begun isn't starved.
        0.1 * even + 0.9 * self.own_rate / total
    }
}
