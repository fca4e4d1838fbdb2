//! Admission controller of an executor: runs, queues or refuses each call.

use std::time::Duration;

use smallvec::SmallVec;

use super::AdmissionQueue;
use super::CallTicket;
use super::ConcurrencyLimit;
use super::QueuedCall;
use crate::wire::Importance;
use crate::wire::LoadReport;
use crate::wire::IMPORTANCES;

/// Queue capacity for each running call; calls in a longer queue would miss their deadlines.
const QUEUED_PER_SLOT: f64 = 2.0;
const MIN_QUEUE_CAPACITY: usize = 8;
/// Weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Number of mean deviations above the mean service time within which most calls finish.
const CONSERVATIVE_DEVIATIONS: f64 = 2.0;
/// Half-life in seconds of the estimated service time while no call finishes.
const SERVICE_TIME_HALF_LIFE_S: f64 = 1.0;
/// Time for which a refusal affects the load report.
const REFUSAL_RETENTION: Duration = Duration::from_millis(500);
/// A call whose expected wait exceeds this share of its remaining time is refused.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Reason for refusing a call before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The call would miss its deadline.
    Deadline,
    /// The queue is full of calls with precedence over this one.
    Overload,
    /// The call was removed from the full queue in favour of a call with precedence over it.
    Evicted,
}

/// Decision on an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Run,
    /// The call waits until its ticket appears in [`QueueActions`].
    Wait,
    /// The call is refused.
    Refuse(RefusalReason),
}

/// Queued calls to start and to refuse.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QueueActions {
    pub run: SmallVec<[CallTicket; 4]>,
    pub refuse: SmallVec<[(CallTicket, RefusalReason); 4]>,
}

/// Admission controller of one endpoint.
#[derive(Debug)]
pub struct AdmissionController {
    limit: ConcurrencyLimit,
    queue: AdmissionQueue,
    running: u32,
    mean_service_time_s: f64,
    /// Mean absolute deviation of the service time.
    mean_deviation_s: f64,
    service_time_updated: Duration,
    /// Time of the last refusal at each importance, by rank.
    last_refusals: [Option<Duration>; IMPORTANCES.len()],
}

impl AdmissionController {
    /// Creates a controller for an endpoint that announced `slots`; its limit starts cold.
    pub fn from_slots(slots: u32, now: Duration) -> Self {
        Self::from_limit(ConcurrencyLimit::from_announced(slots, now))
    }

    /// Creates a controller with an existing limit, which may be warm.
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

    /// Updates the number of slots that the endpoint announces.
    pub fn set_announced_slots(&mut self, slots: u32) {
        self.limit.set_announced_slots(slots);
    }

    /// Runs, queues or refuses an arriving call; changes to other calls are added to `actions`.
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

    /// Handles the completion of a running call that took `elapsed`.
    pub fn finish(&mut self, now: Duration, elapsed: Duration, succeeded: bool) -> QueueActions {
        let saturated = self.running >= self.limit.current() || !self.queue.is_empty();
        self.running = self.running.saturating_sub(1);
        self.limit.finish(now, succeeded, saturated);
        self.record_service_time(now, elapsed);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Handles the endpoint shedding a running call.
    pub fn endpoint_shed(&mut self, now: Duration) -> QueueActions {
        self.running = self.running.saturating_sub(1);
        self.limit.endpoint_shed(now);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Releases the slot of a call that was admitted but never ran.
    pub fn release(&mut self, now: Duration) -> QueueActions {
        self.running = self.running.saturating_sub(1);
        let mut actions = QueueActions::default();
        self.start_queued(now, &mut actions);
        actions
    }

    /// Removes a queued call whose caller disconnected; returns false if it is not queued.
    pub fn cancel(&mut self, ticket: CallTicket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Refuses queued calls that can no longer meet their deadline and starts others if possible.
    pub fn tick(&mut self, now: Duration) -> QueueActions {
        let mut actions = QueueActions::default();
        self.refuse_expired(now, &mut actions);
        self.start_queued(now, &mut actions);
        actions
    }

    /// Returns the load report for the entries.
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

    /// Returns the number of running calls.
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

    /// Returns the mean service time, decayed by the time since a call last finished.
    ///
    /// Without the decay, calls to an endpoint that was slow would be refused for ever and its
    /// recovery would go unnoticed.
    fn estimated_service_time(&self, now: Duration) -> Duration {
        Duration::from_secs_f64(self.mean_service_time_s * self.confidence(now))
    }

    /// Returns a decayed time within which most calls finish.
    ///
    /// A queued call with less time left is refused, because the calls behind it are more likely to
    /// finish in time. An arriving call is compared with the mean only, so that an idle endpoint is
    /// tried.
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
