//! Runs calls at the endpoint on the same VM.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::super::body_budget::BodyBudget;
use super::super::fleet::hash_name;
use super::super::header_names::HeaderNames;
use super::super::link::CallOrigin;
use super::super::link::RefusalCause;
use super::call::CallOutcome;
use super::call::CallRequest;
use super::coldness::ColdWatch;
use super::evacuation::EvacuationGate;
use super::limits::EndpointLimits;
use super::outcomes::CallProgress;
use super::outcomes::OutcomeRecorder;
use super::parents::merge_usage;
use super::parents::NestedCall;
use super::parents::ParentTable;
use super::parents::TreeUsage;
use super::pool::ConnectionPool;
use super::slots::SlotQueue;
use crate::clock::wall_ms;
use crate::clock::BootTime;
use crate::clock::DeadlineClock;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointChange;
use crate::decisions::announcement::EndpointStatus;
use crate::decisions::announcement::EndpointTracker;
use crate::decisions::pacing::RateSource;
use crate::decisions::placement::usable_slots;
use crate::decisions::root_admission::ServiceUsage;
use crate::observe::LogEvent;

/// Runs calls at the endpoint on the same VM and tracks its state.
#[derive(Debug)]
pub struct EndpointExecutor {
    pub(super) header_names: HeaderNames,
    announce_interval: Cell<Duration>,
    pub(super) clock: Rc<DeadlineClock>,
    started: Instant,
    pub(super) tracker: RefCell<EndpointTracker>,
    pub(super) cold: ColdWatch,
    /// Notified after each announcement.
    pub announced: Notify,
    pub(super) slots: Rc<SlotQueue>,
    pub(super) evacuation: EvacuationGate,
    pub(super) pool: ConnectionPool,
    pub(super) parents: RefCell<ParentTable>,
    /// Recent outcomes of the calls at the endpoint.
    pub outcomes: OutcomeRecorder,
    stopping: Cell<bool>,
    pub(super) body_budget: BodyBudget,
}

impl EndpointExecutor {
    /// Creates an executor that knows no endpoint yet. Response bodies count in `body_budget`.
    pub fn new(
        header_names: HeaderNames,
        announce_interval: Duration,
        body_budget: BodyBudget,
        clock: Rc<DeadlineClock>,
    ) -> Self {
        Self {
            header_names,
            announce_interval: Cell::new(announce_interval),
            clock,
            started: Instant::now(),
            tracker: RefCell::new(EndpointTracker::from_start(wall_ms())),
            cold: ColdWatch::default(),
            announced: Notify::new(),
            slots: SlotQueue::new(),
            evacuation: EvacuationGate::default(),
            pool: ConnectionPool::default(),
            parents: RefCell::new(ParentTable::default()),
            outcomes: OutcomeRecorder::start(),
            stopping: Cell::new(false),
            body_budget,
        }
    }

    /// Sets the expected interval between two announcements.
    pub fn set_announce_interval(&self, interval: Duration) {
        self.announce_interval.set(interval);
    }

    /// Handles an announcement of the endpoint.
    pub fn handle_announcement(&self, announcement: EndpointAnnouncement) -> EndpointChange {
        let (slots, cold) = (announcement.slots, announcement.cold);
        let (interval, now) = (self.announce_interval.get(), self.now());
        // An evacuation doesn't count: it is the daemon that leaves the endpoint out.
        let was_usable = self.tracker.borrow().available(interval, now).is_some();
        let change = self.tracker.borrow_mut().apply(announcement, now);
        self.apply_announced_cold(change, cold, was_usable);
        match change {
            EndpointChange::Started | EndpointChange::Returned => {
                self.pool.clear();
                if change == EndpointChange::Started {
                    self.slots.set_rate(RateSource::Endpoint, None);
                    self.outcomes.clear();
                }
                self.slots.set_limit(usable_slots(slots));
            }
            EndpointChange::Draining => self.slots.reject_waiting(),
            // An endpoint may announce another number of slots while it runs.
            EndpointChange::Nothing => self.slots.set_limit(usable_slots(slots)),
            EndpointChange::Stale => {}
        }
        self.announced.notify_one();
        change
    }

    /// Returns the announcement of an endpoint that a status check must confirm.
    pub fn unchecked_endpoint(&self) -> Option<EndpointAnnouncement> {
        self.tracker.borrow().unchecked().cloned()
    }

    /// Records the result of a status check; returns true if the endpoint is confirmed now.
    pub fn record_status(&self, checked: &EndpointAnnouncement, status: EndpointStatus) -> bool {
        self.tracker.borrow_mut().record_status(checked, status)
    }

    /// Handles a deregistration of the incarnation that started at `born_ms`, if the endpoint names it;
    /// returns true if it is that of the current endpoint.
    pub fn handle_deregistration(&self, id: &str, born_ms: Option<u64>) -> bool {
        let mut tracker = self.tracker.borrow_mut();
        let deregistered = tracker.deregister(id, born_ms, wall_ms(), self.now());
        drop(tracker);
        if deregistered {
            self.slots.reject_waiting();
        }
        deregistered
    }

    /// Refuses new and waiting calls from now on; running calls continue.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.slots.reject_waiting();
    }

    /// Runs `read` on the announcement of an endpoint that may get new calls, and on the time for which
    /// it is still cold.
    pub fn with_usable_endpoint<T>(
        &self,
        read: impl FnOnce(&EndpointAnnouncement, Duration) -> T,
    ) -> Option<T> {
        if self.evacuation.is_evacuated() {
            return None;
        }
        let tracker = self.tracker.borrow();
        let now = self.now();
        let announcement = tracker.available(self.announce_interval.get(), now)?;
        Some(read(announcement, tracker.cold_remaining(now)))
    }

    /// Returns true if the endpoint may get new calls to `service`.
    pub fn serves(&self, service: &str) -> bool {
        self.with_usable_endpoint(|announcement, _| announcement.service == service) == Some(true)
    }

    /// Returns the number of calls that run or wait.
    pub fn in_hand(&self) -> u32 {
        self.slots.in_hand()
    }

    /// Returns the number of calls that run at the endpoint.
    pub fn running(&self) -> u32 {
        self.slots.running()
    }

    /// Returns the number of calls that may run at the endpoint at once.
    pub fn limit(&self) -> u32 {
        self.slots.limit()
    }

    /// Returns the requests per second that the endpoint takes, or none if it names no limit.
    pub fn rate(&self) -> Option<f64> {
        self.slots.rate()
    }

    /// Returns the number of `announced` slots that the endpoint's limit lets run at once.
    pub fn paced_slots(&self, announced: u32) -> u32 {
        self.slots.paced_slots(announced)
    }

    /// Returns the number and origin of the running request that likely made a nested call.
    pub fn find_parent(&self, deadline: BootTime, attempt_id: &str) -> Option<(u64, CallOrigin)> {
        self.parents.borrow().find(deadline, attempt_id)
    }

    /// Records that a running request has made a call, which ends when the result is closed or dropped.
    pub fn begin_nested_call(&self, parent: u64) -> NestedCall<'_> {
        NestedCall::begin(&self.parents, parent)
    }

    /// Adds the slot time of a nested call to the request that made it.
    pub fn add_usage(&self, parent: u64, usage: &TreeUsage) {
        self.parents.borrow_mut().add_usage(parent, usage);
    }

    /// Runs a call. `forwarded` is set before the first byte of the call can reach the endpoint.
    pub async fn run(&self, call: &CallRequest, forwarded: &Cell<bool>) -> CallOutcome {
        if self.stopping.get() {
            return CallOutcome::Refused(RefusalCause::Stopping);
        }
        if !self.serves(&call.service) {
            return CallOutcome::Refused(self.refusal_cause(&call.service));
        }
        let queue_timeout = call.queue_timeout.min(self.clock.remaining(call.deadline));
        let acquisition = pin!(self.slots.acquire(call.origin.class.rank, queue_timeout));
        let wait_until = self.clock.now() + queue_timeout;
        let permit = self.clock.timeout_at(wait_until, acquisition).await;
        let Some(permit) = permit.flatten() else {
            return CallOutcome::Refused(self.refusal_cause(&call.service));
        };
        let progress = CallProgress::from_flag(forwarded);
        let guard = self.outcomes.watch(call.caller_domain, &progress);
        let mut outcome = self.forward(call, &progress).await;
        let by_deadline = !self.clock.remaining(call.deadline).is_zero();
        let slot_time = guard.close(&outcome, by_deadline, self.slots.rate().is_some());
        drop(permit);
        if forwarded.get() {
            self.slots.record_run_time(slot_time);
        }
        if let CallOutcome::Completed(response) = &mut outcome {
            let own_usage = ServiceUsage {
                service: hash_name(&call.service),
                slot_us: slot_time.as_micros() as u32,
            };
            merge_usage(&mut response.usage, &[own_usage]);
        }
        outcome
    }

    /// Logs the cause of a refused call of another daemon and the load at that time.
    pub fn log_refusal(&self, call: &CallRequest, cause: RefusalCause) {
        let event = LogEvent::WorkRefused.number();
        let id = self.attempt_id(call);
        let (in_hand, running) = (self.in_hand(), self.running());
        let service = &*call.service;
        let rank = call.origin.class.rank;
        tracing::warn!(
            event,
            id,
            ?cause,
            service,
            rank,
            in_hand,
            running,
            "call refused"
        );
    }

    pub(super) fn usable_endpoint_for(&self, service: &str) -> Option<EndpointAnnouncement> {
        let serves = |announcement: &EndpointAnnouncement| announcement.service == service;
        let announcement = self.with_usable_endpoint(|announcement, _| {
            serves(announcement).then(|| announcement.clone())
        });
        announcement.flatten()
    }

    pub(super) fn refusal_cause(&self, service: &str) -> RefusalCause {
        if self.stopping.get() {
            RefusalCause::Stopping
        } else if self.evacuation.is_evacuated() {
            self.evacuation.record_refusal();
            RefusalCause::Evacuated
        } else if !self.serves(service) {
            RefusalCause::EndpointGone
        } else {
            RefusalCause::QueueFull
        }
    }

    /// Applies the limits that the endpoint names in a response, unless a new incarnation has announced
    /// itself since the call was sent.
    pub(super) fn apply_limits(&self, announcement: &EndpointAnnouncement, headers: &HeaderMap) {
        let mut tracker = self.tracker.borrow_mut();
        let current = tracker.announcement();
        if current.is_none_or(|current| !current.is_same_incarnation(announcement)) {
            return;
        }
        let endpoint = announcement.id.as_str();
        let limits = match EndpointLimits::from_headers(&self.header_names, headers) {
            Ok(limits) => limits,
            Err(text) => {
                let event = LogEvent::EndpointLimited.number();
                tracing::warn!(event, endpoint, text, "the endpoint names an invalid limit");
                return;
            }
        };
        if limits.leaving && tracker.mark_leaving() {
            self.slots.reject_waiting();
            let event = LogEvent::EndpointLeaving.number();
            tracing::warn!(event, endpoint, "the endpoint leaves");
        }
        drop(tracker);
        if self.slots.set_rate(RateSource::Endpoint, limits.rate) {
            let event = LogEvent::EndpointLimited.number();
            let rate = limits.rate;
            tracing::warn!(event, endpoint, rate, "the endpoint's limit changed");
        }
    }

    pub(super) fn mark_endpoint_unreachable(
        &self,
        announcement: &EndpointAnnouncement,
        error: &str,
    ) {
        self.tracker.borrow_mut().mark_unreachable();
        self.slots.reject_waiting();
        let event = LogEvent::EndpointSilent.number();
        tracing::warn!(
            event,
            endpoint = announcement.id,
            address = %announcement.address,
            error,
            "cannot connect to the endpoint"
        );
    }

    pub(super) fn log_unknown_outcome(&self, call: &CallRequest, error: &str) {
        let id = self.attempt_id(call);
        let event = LogEvent::CallUnknown.number();
        tracing::warn!(event, id, error, "no complete response from the endpoint");
    }

    pub(super) fn attempt_id<'a>(&self, call: &'a CallRequest) -> &'a str {
        let value = call.headers.get(&self.header_names.attempt);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Returns the time since the executor was created.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
