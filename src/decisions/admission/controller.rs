//! The executor's gate: runs, queues or refuses each call.

use std::time::Duration;

use smallvec::SmallVec;

use super::AdmissionQueue;
use super::CallTicket;
use super::ConcurrencyLimit;
use super::QueuedCall;
use crate::wire::Importance;
use crate::wire::LoadReport;
use crate::wire::IMPORTANCES;

/// Waiting work for each running call; more would only wait past its use.
const QUEUED_PER_SLOT: f64 = 2.0;
const MIN_QUEUE_CAPACITY: usize = 8;
/// Weight of the newest call in the measured service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean within which most calls end.
const CONSERVATIVE_DEVIATIONS: f64 = 2.0;
/// Time in seconds in which a service time halves while no call finishes.
const SERVICE_TIME_HALF_LIFE_S: f64 = 1.0;
/// How long a refusal shows in the load report.
const REFUSAL_RETENTION: Duration = Duration::from_millis(500);
/// Work that will use more than this share of its time left in waiting is refused.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Why a call was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its deadline would pass before its answer.
    Deadline,
    /// The queue holds enough work that goes before it.
    Overload,
    /// Its place was taken by work that goes before it.
    Evicted,
}

/// What becomes of an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it now.
    Run,
    /// Wait for [`QueueActions`] to name its ticket.
    Wait,
    /// Refuse it.
    Refuse(RefusalReason),
}

/// What the shell must do for calls that waited.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QueueActions {
    pub run: SmallVec<[CallTicket; 4]>,
    pub refuse: SmallVec<[(CallTicket, RefusalReason); 4]>,
}

/// The gate in front of one endpoint.
#[derive(Debug)]
pub struct AdmissionController {
    limit: ConcurrencyLimit,
    queue: AdmissionQueue,
    running: u32,
    mean_service_time_s: f64,
    /// Mean deviation of the service time.
    mean_deviation_s: f64,
    service_time_updated: Duration,
    last_refusals: [Option<Duration>; IMPORTANCES.len()],
}

impl AdmissionController {
    /// Opens the gate for an endpoint that announced `slots`.
    pub fn from_slots(slots: u32, now: Duration) -> Self {
        Self::from_limit(ConcurrencyLimit::from_announced(slots, now))
    }

    /// Opens the gate with a limit that may already be warm.
    pub fn from_limit(limit: ConcurrencyLimit) -> Self {
        Self {
            limit,
            queue: AdmissionQueue::default(),
            running: 0,
            mean_service_time_s: 0.0,
            mean_deviation_s: 0.0,
            service_time_updated: Duration::ZERO,
            last_refusals: [None; IMPORTANCES.len()],
        }
    }

    /// Takes a new announcement of slots.
    pub fn set_announced_slots(&mut self, slots: u32) {
        self.limit.set_announced_slots(slots);
    }

    /// Decides on an arriving call; evicted calls are named in `actions`.
    pub fn admit(
        &mut self,
        now: Duration,
        call: QueuedCall,
        actions: &mut QueueActions,
    ) -> AdmissionDecision {
        if call.deadline < now + self.estimated_service_time(now) {
            return AdmissionDecision::Refuse(RefusalReason::Deadline);
        }
        if self.queue.is_empty() && self.running < self.limit.current() {
            self.running += 1;
            return AdmissionDecision::Run;
        }
        self.refuse_expired(now, actions);
        if self.expected_wait(now, &call) > (call.deadline - now).mul_f64(MAX_WAIT_SHARE) {
            return self.refuse(now, &call, RefusalReason::Deadline);
        }
        if self.queue.len() >= self.queue_capacity() {
            let Some(evicted) = self.queue.evict_for(&call) else {
                return self.refuse(now, &call, RefusalReason::Overload);
            };
            self.record_refusal(now, evicted.importance);
            actions
                .refuse
                .push((evicted.ticket, RefusalReason::Evicted));
        }
        self.queue.push(call);
        self.start_queued(now, actions);
        AdmissionDecision::Wait
    }

    /// Takes the end of a running call that took `elapsed`.
    pub fn finish(&mut self, now: Duration, elapsed: Duration, succeeded: bool) -> QueueActions {
        let saturated = self.running >= self.limit.current() || !self.queue.is_empty();
        self.running = self.running.saturating_sub(1);
        self.limit.finish(now, succeeded, saturated);
        self.record_service_time(now, elapsed);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Takes the endpoint's own refusal of a running call.
    pub fn endpoint_shed(&mut self, now: Duration) -> QueueActions {
        self.running = self.running.saturating_sub(1);
        self.limit.endpoint_shed(now);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Takes back the place of a call that was let through but never ran.
    pub fn release(&mut self, now: Duration) -> QueueActions {
        self.running = self.running.saturating_sub(1);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Forgets a waiting call whose caller has gone; false when it no longer waits.
    pub fn cancel(&mut self, ticket: CallTicket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Refuses waiting calls that can't be answered in time any more.
    pub fn tick(&mut self, now: Duration) -> QueueActions {
        let mut actions = QueueActions::default();
        self.refuse_expired(now, &mut actions);
        self.start_queued(now, &mut actions);
        actions
    }

    /// What the entries hear of this executor's load.
    pub fn report(&self, now: Duration) -> LoadReport {
        let refusing = |rank: usize| {
            self.last_refusals[rank].is_some_and(|at| now.saturating_sub(at) < REFUSAL_RETENTION)
        };
        let refused = (0..IMPORTANCES.len()).find(|rank| refusing(*rank));
        let admitted = refused.map_or(IMPORTANCES.len(), |rank| rank.max(1));
        LoadReport {
            limit: self.limit.current(),
            running: self.running,
            queued: self.queue.len() as u32,
            admits: IMPORTANCES[admitted - 1],
        }
    }

    /// Calls that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn start_queued(&mut self, now: Duration, actions: &mut QueueActions) {
        while self.running < self.limit.current() {
            let Some(call) = self.queue.pop() else {
                return;
            };
            if call.deadline < now + self.conservative_service_time(now) {
                self.record_refusal(now, call.importance);
                actions.refuse.push((call.ticket, RefusalReason::Deadline));
                continue;
            }
            self.running += 1;
            actions.run.push(call.ticket);
        }
    }

    fn refuse_expired(&mut self, now: Duration, actions: &mut QueueActions) {
        let service_time = self.conservative_service_time(now);
        for call in self.queue.expire(now, service_time) {
            self.record_refusal(now, call.importance);
            actions.refuse.push((call.ticket, RefusalReason::Deadline));
        }
    }

    fn refuse(
        &mut self,
        now: Duration,
        call: &QueuedCall,
        reason: RefusalReason,
    ) -> AdmissionDecision {
        self.record_refusal(now, call.importance);
        AdmissionDecision::Refuse(reason)
    }

    fn record_refusal(&mut self, now: Duration, importance: Importance) {
        self.last_refusals[crate::wire::importance_rank(importance)] = Some(now);
    }

    fn expected_wait(&self, now: Duration, call: &QueuedCall) -> Duration {
        let ahead = self
            .queue
            .count_ahead(call.importance, &call.organisation, call.weight);
        let rounds = (ahead + 1) as f64 / f64::from(self.limit.current().max(1));
        self.estimated_service_time(now).mul_f64(rounds)
    }

    fn queue_capacity(&self) -> usize {
        let capacity = f64::from(self.limit.current()) * QUEUED_PER_SLOT;
        (capacity as usize).max(MIN_QUEUE_CAPACITY)
    }

    fn record_service_time(&mut self, now: Duration, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        if self.mean_service_time_s == 0.0 {
            self.mean_service_time_s = sample;
        }
        let error = sample - self.mean_service_time_s;
        self.mean_service_time_s += SERVICE_TIME_WEIGHT * error;
        self.mean_deviation_s += SERVICE_TIME_WEIGHT * (error.abs() - self.mean_deviation_s);
        self.service_time_updated = now;
    }

    /// The measured service time, which is trusted less the longer no call has finished: an endpoint
    /// that was slow must be tried again, or it could never be seen to have recovered.
    fn estimated_service_time(&self, now: Duration) -> Duration {
        Duration::from_secs_f64(self.mean_service_time_s * self.confidence(now))
    }

    /// A time within which most calls end. Work that has waited and has less left is refused, since
    /// what waits behind it has a better chance; an idle endpoint tries with the mean.
    fn conservative_service_time(&self, now: Duration) -> Duration {
        let conservative_s =
            self.mean_service_time_s + CONSERVATIVE_DEVIATIONS * self.mean_deviation_s;
        Duration::from_secs_f64(conservative_s * self.confidence(now))
    }

    fn confidence(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.service_time_updated).as_secs_f64();
        0.5_f64.powf(age / SERVICE_TIME_HALF_LIFE_S)
    }
}
