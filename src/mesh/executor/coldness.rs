//! Limits the requests to the endpoint while it is cold, or may be.
//!
//! See `docs/design/cold-endpoints.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::Notify;

use super::endpoint::EndpointExecutor;
use super::status_check::StatusReply;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointChange;
use crate::decisions::announcement::EndpointStatus;
use crate::decisions::cold::ColdBound;
use crate::decisions::cold::ColdLimit;
use crate::decisions::cold::ColdSource;
use crate::decisions::cold::ColdTracker;
use crate::decisions::pacing::RateSource;
use crate::decisions::pacing::BURST_TIME;
use crate::observe::LogEvent;

/// Number of consecutive connections that break under a request after which the endpoint may have started
/// anew. One or two may be single answers that are lost.
const MAX_CONSECUTIVE_BREAKS: u32 = 3;
/// Rate in requests per second for a cold endpoint before the first configuration, which names its rate.
const UNCONFIGURED_RATE: f64 = 1.0;

/// Coldness of the endpoint on this VM.
#[derive(Debug, Default)]
pub struct ColdWatch {
    tracker: RefCell<ColdTracker>,
    /// Limits by service, or none before the first configuration.
    limits: RefCell<Option<HashMap<String, ColdLimit>>>,
    consecutive_breaks: Cell<u32>,
    check_due: Cell<bool>,
    /// Notified when the rate has changed or a status check has become due.
    changed: Notify,
}

impl EndpointExecutor {
    /// Sets the limits on cold endpoints by service, lowered as far as `bound` asks for.
    pub fn set_cold_limits(&self, limits: &HashMap<String, ColdLimit>, bound: Option<ColdBound>) {
        let within = |limit: &ColdLimit| bound.map_or(*limit, |one| limit.within(one, BURST_TIME));
        let limits = limits.iter().map(|(name, one)| (name.clone(), within(one)));
        *self.cold.limits.borrow_mut() = Some(limits.collect());
        self.update_cold_rate();
    }

    /// Takes the endpoint for cold until it says otherwise, because it is to be used again after a time
    /// without requests in which it may have started anew.
    pub fn begin_recovery(&self) {
        self.suspect_cold("recovery");
    }

    /// Applies the coldness of an announcement; `was_usable` tells whether the endpoint could get calls
    /// before it.
    pub(super) fn apply_announced_cold(
        &self,
        change: EndpointChange,
        remaining: Duration,
        was_usable: bool,
    ) {
        let now = self.now();
        match change {
            EndpointChange::Stale => return,
            EndpointChange::Started => {
                self.cold.check_due.set(false);
                self.cold.tracker.borrow_mut().start(remaining, now);
            }
            EndpointChange::Draining | EndpointChange::Nothing | EndpointChange::Returned => {
                if !was_usable && change != EndpointChange::Draining {
                    self.suspect_cold("return");
                }
                self.cold.tracker.borrow_mut().announce(remaining, now);
            }
        }
        self.update_cold_rate();
    }

    /// Counts a connection that broke under a request.
    pub(super) fn record_break(&self) {
        let breaks = self.cold.consecutive_breaks.get() + 1;
        self.cold.consecutive_breaks.set(breaks);
        if breaks == MAX_CONSECUTIVE_BREAKS {
            self.suspect_cold("broken connections");
        }
    }

    /// Ends a series of broken connections.
    pub(super) fn record_answer(&self) {
        self.cold.consecutive_breaks.set(0);
    }

    fn suspect_cold(&self, cause: &'static str) {
        if self.cold_limit().is_some() {
            let event = LogEvent::ColdSuspected.number();
            tracing::warn!(event, cause, "the endpoint may be cold");
        }
        self.cold.tracker.borrow_mut().suspect(self.now());
        self.cold.check_due.set(true);
        self.update_cold_rate();
        self.cold.changed.notify_one();
    }

    /// Returns the endpoint that a status check is to ask whether it is cold, and the time of the question.
    /// There is one check for each suspicion; after that, the next announcements tell.
    pub fn take_cold_check(&self) -> Option<(EndpointAnnouncement, Duration)> {
        let announcement = self.with_usable_endpoint(|announcement, _| announcement.clone())?;
        self.cold_limit()?;
        let is_due = self.cold.check_due.replace(false);
        let is_suspect = self.cold.tracker.borrow().is_suspect();
        (is_due && is_suspect).then(|| (announcement, self.now()))
    }

    /// Records the reply of the endpoint that made the announcement `checked` to a status check sent at
    /// `asked_at`.
    pub fn record_cold_check(
        &self,
        checked: &EndpointAnnouncement,
        reply: StatusReply,
        asked_at: Duration,
    ) {
        let is_current = {
            let tracker = self.tracker.borrow();
            let current = tracker.announcement();
            current.is_some_and(|current| current.is_same_incarnation(checked))
        };
        let remaining = reply
            .cold
            .filter(|_| reply.status == EndpointStatus::Serving);
        if let Some(remaining) = remaining.filter(|_| is_current) {
            let mut tracker = self.cold.tracker.borrow_mut();
            tracker.record_check(remaining, asked_at, self.now());
            drop(tracker);
            self.update_cold_rate();
        }
    }

    /// Returns the time after which the endpoint is no longer cold by its own word, or none if that time
    /// is over or only something newer tells.
    pub fn cold_wait(&self) -> Option<Duration> {
        let remaining = self.cold_remaining();
        let is_suspect = self.cold.tracker.borrow().is_suspect();
        (!is_suspect && !remaining.is_zero()).then_some(remaining)
    }

    /// Brings the rate of the slot queue up to date.
    pub fn update_cold_rate(&self) {
        let now = self.now();
        let tracker = self.cold.tracker.borrow();
        let rate = match &*self.cold.limits.borrow() {
            Some(_) => self.cold_limit().and_then(|limit| tracker.rate(limit, now)),
            None => tracker.is_cold(now).then_some(UNCONFIGURED_RATE),
        };
        let old = self.cold_rate();
        if !self.slots.set_rate(RateSource::Cold, rate) {
            return;
        }
        let event = match rate {
            Some(_) => LogEvent::ColdBegan,
            None => LogEvent::ColdEnded,
        };
        let event = event.number();
        let source: ColdSource = tracker.source();
        let remaining_ms = tracker.remaining(now).as_millis() as u64;
        tracing::warn!(
            event,
            ?source,
            remaining_ms,
            old,
            rate,
            "the endpoint's cold rate changed"
        );
        self.cold.changed.notify_one();
    }

    /// Notified when the cold rate has changed or a status check has become due.
    pub fn cold_changed(&self) -> &Notify {
        &self.cold.changed
    }

    /// Returns the requests per second that the endpoint takes because it is cold or may be.
    pub fn cold_rate(&self) -> Option<f64> {
        self.slots.source_rate(RateSource::Cold)
    }

    /// Returns the time for which the endpoint has said that it stays cold.
    pub fn cold_remaining(&self) -> Duration {
        self.cold.tracker.borrow().remaining(self.now())
    }

    fn cold_limit(&self) -> Option<ColdLimit> {
        let tracker = self.tracker.borrow();
        let service = &tracker.announcement()?.service;
        let limits = self.cold.limits.borrow();
        limits.as_ref()?.get(service).copied()
    }
}
