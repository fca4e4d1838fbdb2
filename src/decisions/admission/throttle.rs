//! Early refusal: an entry refuses what the executors would refuse, before it costs anything.
//!
//! For each service, importance and organisation the entry keeps how much it wanted to send and how
//! much was accepted, and refuses the excess with the probability of client-side adaptive
//! throttling (Beyer et al., *Site Reliability Engineering*, chapter 21). A call whose endpoint failed
//! because a service further down was overloaded counts as not accepted, so that the refusal moves
//! up the chain to where the request enters. See `docs/design/admission.md`.

use std::collections::HashMap;
use std::time::Duration;

use crate::wire::Importance;

/// How much more than what is accepted is sent on, to notice a recovery.
const ACCEPT_MULTIPLIER: f64 = 1.1;
/// Calls that are let through in each window whatever the history, so that a class can recover.
const HEADROOM_CALLS: f64 = 3.0;
/// Time in which the history halves.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// How long after an executor's last refusal of a class its calls are refused early.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// A class that has been idle for this long is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Classes above which the idle ones are swept.
const SWEEP_THRESHOLD: usize = 1024;

/// The calls that share one throttle.
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
    /// When an executor last refused a call of this class.
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

    /// A class that executors have stopped refusing is let through at once: growing back by the
    /// accepted share alone took seconds after a surge had ended.
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

/// The throttles of one entry.
#[derive(Debug, Default)]
pub struct AdaptiveThrottle {
    classes: HashMap<ThrottleClass, ClassHistory>,
}

impl AdaptiveThrottle {
    /// Whether to send a call on; `sample` is drawn evenly from 0 to 1.
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

    /// Notes that a call which was sent on was accepted.
    pub fn record_accept(&mut self, now: Duration, class: &ThrottleClass) {
        self.record(now, class, 1.0);
    }

    /// Notes that a call was refused where it was sent.
    ///
    /// A call under way counts as neither, so that slow answers are not taken for refusals.
    pub fn record_refusal(&mut self, now: Duration, class: &ThrottleClass) {
        self.record(now, class, 0.0);
        if let Some(history) = self.classes.get_mut(class) {
            history.last_refusal = Some(now);
        }
    }

    /// Notes that a call was refused here.
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
