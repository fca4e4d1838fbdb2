//! Tells whether an endpoint is cold, from what it says of itself and from what makes that doubtful.
//!
//! A cold endpoint takes few requests a second and crashes well above that. See
//! `docs/design/cold-endpoints.md`.

mod draw;

use std::time::Duration;

pub use draw::joins_draw;

/// Time whose requests the bound on a cold endpoint counts, in seconds.
const BOUND_WINDOW_S: f64 = 1.0;

/// Rate that the endpoints of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    pub requests_per_second: f64,
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
}

/// Bound on the requests to a cold endpoint in one second: its rate times `overage`, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    pub overage: f64,
    pub slack: f64,
}

/// What an endpoint was last taken for cold, or no longer cold, by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdSource {
    #[default]
    Announcement,
    StatusCheck,
    /// Something happened after which the endpoint may be cold.
    Suspicion,
}

/// Doubt about an endpoint that may have turned cold since it last spoke of itself.
#[derive(Debug, Clone, Copy)]
struct ColdSuspicion {
    since: Duration,
    /// True once an announcement has arrived since.
    announced: bool,
}

/// Coldness of one endpoint.
#[derive(Debug, Default)]
pub struct ColdTracker {
    cold_until: Duration,
    suspicion: Option<ColdSuspicion>,
    source: ColdSource,
}

impl ColdLimit {
    /// Returns the limit, lowered as far as a pacer that saves up tokens for `burst_time`, one at least,
    /// needs to stay within `bound`.
    pub fn within(self, bound: ColdBound, burst_time: Duration) -> Self {
        let allowed = self.requests_per_second * bound.overage + bound.slack;
        let paced_s = BOUND_WINDOW_S + burst_time.as_secs_f64();
        let highest = (allowed / paced_s).min((allowed - 1.0) / BOUND_WINDOW_S);
        Self {
            requests_per_second: self.requests_per_second.min(highest.max(0.0)),
            ..self
        }
    }
}

impl ColdTracker {
    /// Begins with a new incarnation, whose first announcement says for how long it is cold.
    pub fn start(&mut self, remaining: Duration, now: Duration) {
        *self = Self::default();
        self.announce(remaining, now);
    }

    /// Records the time for which the endpoint is still cold, from an announcement newer than those before.
    ///
    /// The first announcement after a suspicion may have been sent before it, so it doesn't lift the
    /// suspicion; the next one was sent later, as an endpoint awaits the reply to each.
    pub fn announce(&mut self, remaining: Duration, now: Duration) {
        self.source = ColdSource::Announcement;
        let cold_until = now + remaining;
        match &mut self.suspicion {
            Some(suspicion) if !suspicion.announced => {
                suspicion.announced = true;
                self.cold_until = self.cold_until.max(cold_until);
            }
            _ => {
                self.suspicion = None;
                self.cold_until = cold_until;
            }
        }
    }

    /// Takes the endpoint for cold until something newer says otherwise.
    pub fn suspect(&mut self, now: Duration) {
        self.source = ColdSource::Suspicion;
        self.suspicion = Some(ColdSuspicion {
            since: now,
            announced: false,
        });
    }

    /// Records the answer to a status check that was sent at `asked_at`; returns false if a later suspicion
    /// makes it worthless.
    pub fn record_check(&mut self, remaining: Duration, asked_at: Duration, now: Duration) -> bool {
        if self.suspicion.is_some_and(|one| one.since > asked_at) {
            return false;
        }
        self.source = ColdSource::StatusCheck;
        self.suspicion = None;
        self.cold_until = now + remaining;
        true
    }

    /// Returns the rate in requests per second that the endpoint takes, or none if it isn't cold.
    pub fn rate(&self, limit: ColdLimit, now: Duration) -> Option<f64> {
        self.is_cold(now).then_some(limit.requests_per_second)
    }

    /// Returns true if the endpoint is cold or suspected to be.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.is_suspect() || now < self.cold_until
    }

    /// Returns true if only something newer ends the coldness.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Returns the time for which the endpoint has said that it stays cold.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Returns what the endpoint was last taken for cold, or no longer cold, by.
    pub fn source(&self) -> ColdSource {
        self.source
    }
}
