//! Client-side adaptive throttling: an entry refuses calls that the executors would likely refuse.
//!
//! For each service, importance and organisation the entry counts the calls offered and those
//! accepted, and refuses the excess with the probability given by Beyer et al., *Site Reliability
//! Engineering*, chapter 21. A call whose endpoint failed because a service further down was
//! overloaded counts as not accepted, so that the refusals move up the call chain to the point
//! where the request enters. See `docs/design/admission.md`.

use std::collections::HashMap;
use std::time::Duration;

use crate::wire::Importance;

/// Ratio of forwarded to accepted calls; the excess over 1 detects a recovery.
const ACCEPT_MULTIPLIER: f64 = 1.1;
/// Calls forwarded in each window regardless of the history, so that a class can recover.
const HEADROOM_CALLS: f64 = 3.0;
/// Half-life of the history.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Time after an executor's last refusal of a class during which its calls are throttled.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without calls after which the history of a class may be removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of classes above which idle ones are removed.
const SWEEP_THRESHOLD: usize = 1024;

/// Attributes shared by the calls of one throttle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ThrottleClass {
    pub service: String,
    pub importance: Importance,
    pub organisation: String,
}

#[derive(Debug)]
struct ClassHistory {
    offered: f64,
    accepted: f64,
    updated: Duration,
    /// Time of an executor's last refusal of a call of this class.
    last_refusal: Option<Duration>,
}

impl ClassHistory {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.offered *= factor;
        self.accepted *= factor;
        self.updated = now;
    }

    /// Returns the probability of refusing a call of this class.
    ///
    /// The history is cleared once executors stop refusing the class: recovery through the accepted
    /// share alone took seconds after a surge had ended.
    fn refusal_probability(&mut self, now: Duration) -> f64 {
        let expired = |at: Duration| now.saturating_sub(at) > REFUSAL_TIMEOUT;
        if self.last_refusal.is_none_or(expired) {
            self.offered = 0.0;
            self.accepted = 0.0;
            return 0.0;
        }
        let excess = self.offered - ACCEPT_MULTIPLIER * self.accepted - HEADROOM_CALLS;
        (excess / (self.offered + 1.0)).max(0.0)
    }
}

/// Throttles of one entry, by class.
#[derive(Debug, Default)]
pub struct AdaptiveThrottle {
    classes: HashMap<ThrottleClass, ClassHistory>,
}

impl AdaptiveThrottle {
    /// Returns true if a call may be forwarded; `sample` is uniformly distributed from 0 to 1.
    pub fn admit(&mut self, now: Duration, class: &ThrottleClass, sample: f64) -> bool {
        self.sweep(now);
        let history = match self.classes.get_mut(class) {
            Some(history) => history,
            None => self.classes.entry(class.clone()).or_insert(ClassHistory {
                offered: 0.0,
                accepted: 0.0,
                updated: now,
                last_refusal: None,
            }),
        };
        history.decay(now);
        sample >= history.refusal_probability(now)
    }

    /// Records that a forwarded call was accepted.
    pub fn record_accept(&mut self, now: Duration, class: &ThrottleClass) {
        self.record(now, class, 1.0);
    }

    /// Records that an executor refused a forwarded call.
    ///
    /// A call in flight counts as neither accepted nor refused, so that slow responses do not count
    /// as refusals.
    pub fn record_refusal(&mut self, now: Duration, class: &ThrottleClass) {
        self.record(now, class, 0.0);
        if let Some(history) = self.classes.get_mut(class) {
            history.last_refusal = Some(now);
        }
    }

    /// Records that this throttle refused a call.
    pub fn record_local_refusal(&mut self, now: Duration, class: &ThrottleClass) {
        self.record(now, class, 0.0);
    }

    fn record(&mut self, now: Duration, class: &ThrottleClass, accepted: f64) {
        if let Some(history) = self.classes.get_mut(class) {
            history.decay(now);
            history.offered += 1.0;
            history.accepted += accepted;
        }
    }

    fn sweep(&mut self, now: Duration) {
        if self.classes.len() > SWEEP_THRESHOLD {
            self.classes
                .retain(|_, history| now.saturating_sub(history.updated) < IDLE_TIMEOUT);
        }
    }
}
