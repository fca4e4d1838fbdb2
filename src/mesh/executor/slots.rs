//! Slots of an endpoint and the priority queue of calls that wait for one.
//!
//! Calls are queued here and not at the endpoint, so that they are served by the rank of the root
//! request of their call graph, and a call that is cancelled or whose endpoint drains never reaches
//! the endpoint. If the endpoint takes a limited number of requests a second, calls wait for that too.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::decisions::pacing::RateSource;
use crate::decisions::pacing::RequestPacer;

/// Weight of the newest call in the mean time that a call holds a slot.
const RUN_TIME_SMOOTHING: f64 = 0.1;
/// Ratio of two numbers of paced slots up to which the earlier one is kept, so that reports to other
/// daemons don't follow each change of the mean run time.
const PACED_SLOTS_TOLERANCE: f64 = 1.25;

/// Position in the queue; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    rank: u8,
    sequence: u64,
}

#[derive(Debug)]
struct SlotState {
    limit: u32,
    running: u32,
    sequence: u64,
    mean_run_seconds: f64,
    pacer: RequestPacer,
    /// Slots that the paced requests keep busy, as last returned.
    paced_slots: f64,
    /// True while a task waits for the next token of the pacer.
    awaits_token: bool,
    waiting: BTreeMap<QueuePosition, oneshot::Sender<SlotPermit>>,
}

/// Slots of one endpoint and the calls that wait for one.
#[derive(Debug)]
pub struct SlotQueue {
    started: Instant,
    state: RefCell<SlotState>,
}

/// Permission to forward one call to the endpoint; dropping it grants the slot to the next call.
#[derive(Debug)]
pub struct SlotPermit {
    queue: Rc<SlotQueue>,
}

/// Removes a call from the queue on drop.
#[derive(Debug)]
struct WaitGuard<'a> {
    queue: &'a SlotQueue,
    position: QueuePosition,
}

impl SlotQueue {
    /// Creates a queue with no slots, until an endpoint announces some.
    pub fn new() -> Rc<Self> {
        let state = SlotState {
            limit: 0,
            running: 0,
            sequence: 0,
            mean_run_seconds: 0.0,
            pacer: RequestPacer::default(),
            paced_slots: 0.0,
            awaits_token: false,
            waiting: BTreeMap::new(),
        };
        Rc::new(Self {
            started: Instant::now(),
            state: RefCell::new(state),
        })
    }

    /// Sets the number of calls that may run at once.
    pub fn set_limit(self: &Rc<Self>, limit: u32) {
        self.state.borrow_mut().limit = limit;
        self.grant_waiting();
    }

    /// Sets the requests per second that the endpoint takes according to a source, or none without a
    /// limit; returns true if that is a change. The lower one of both sources is in force.
    pub fn set_rate(self: &Rc<Self>, source: RateSource, rate: Option<f64>) -> bool {
        let now = self.now();
        let changed = self.state.borrow_mut().pacer.set_rate(source, rate, now);
        if changed {
            self.grant_waiting();
        }
        changed
    }

    /// Returns the requests per second that the endpoint takes, or none without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.state.borrow().pacer.rate()
    }

    /// Returns the requests per second that the endpoint takes according to a source, or none without a
    /// limit.
    pub fn source_rate(&self, source: RateSource) -> Option<f64> {
        self.state.borrow().pacer.source_rate(source)
    }

    /// Returns the number of `announced` slots that the endpoint's rate keeps busy.
    pub fn paced_slots(&self, announced: u32) -> u32 {
        let mut state = self.state.borrow_mut();
        let Some(rate) = state.pacer.rate() else {
            return announced;
        };
        let busy = (rate * state.mean_run_seconds).max(1.0);
        let ratio = busy / state.paced_slots;
        if !(1.0 / PACED_SLOTS_TOLERANCE..=PACED_SLOTS_TOLERANCE).contains(&ratio) {
            state.paced_slots = busy;
        }
        announced.min(state.paced_slots.ceil() as u32)
    }

    /// Returns the number of calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.state.borrow().limit
    }

    /// Rejects all waiting calls, because the endpoint takes no new work.
    pub fn reject_waiting(&self) {
        let waiting = std::mem::take(&mut self.state.borrow_mut().waiting);
        drop(waiting);
    }

    /// Returns the number of calls that run or wait.
    pub fn in_hand(&self) -> u32 {
        let state = self.state.borrow();
        state.running + state.waiting.len() as u32
    }

    /// Returns the number of calls that run.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Records the time for which a call held its slot.
    pub fn record_run_time(&self, run_time: Duration) {
        let mut state = self.state.borrow_mut();
        state.mean_run_seconds +=
            RUN_TIME_SMOOTHING * (run_time.as_secs_f64() - state.mean_run_seconds);
    }

    /// Waits for a slot, and for the endpoint's rate to allow one more request.
    ///
    /// Returns none if the wait exceeds `queue_timeout`, is expected to exceed it, or the waiting
    /// calls were rejected.
    pub async fn acquire(self: &Rc<Self>, rank: u8, queue_timeout: Duration) -> Option<SlotPermit> {
        let (position, granted) = {
            let mut state = self.state.borrow_mut();
            let has_slot = state.running < state.limit && state.waiting.is_empty();
            if has_slot && state.pacer.take(self.now()).is_ok() {
                state.running += 1;
                drop(state);
                return Some(SlotPermit {
                    queue: self.clone(),
                });
            }
            state.sequence += 1;
            let position = QueuePosition {
                rank,
                sequence: state.sequence,
            };
            if state.expected_wait(position, self.now()) > queue_timeout.as_secs_f64() {
                return None;
            }
            let (grant, granted) = oneshot::channel();
            state.waiting.insert(position, grant);
            (position, granted)
        };
        // No slot may be free: then the next call that ends grants it.
        self.grant_waiting();
        let guard = WaitGuard {
            queue: self,
            position,
        };
        let permit = timeout(queue_timeout, granted).await;
        drop(guard);
        permit.ok()?.ok()
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Grants free slots to waiting calls, as far as the endpoint's rate allows.
    fn grant_waiting(self: &Rc<Self>) {
        while self.grant_next() {}
    }

    /// Grants a free slot to the first waiting call; returns false if there is no slot, no call or no
    /// token of the pacer.
    fn grant_next(self: &Rc<Self>) -> bool {
        let grant = {
            let mut state = self.state.borrow_mut();
            if state.running >= state.limit || state.waiting.is_empty() {
                return false;
            }
            if let Err(delay) = state.pacer.take(self.now()) {
                drop(state);
                self.grant_after(delay);
                return false;
            }
            let Some((_, grant)) = state.waiting.pop_first() else {
                return false;
            };
            state.running += 1;
            grant
        };
        // If the call no longer waits, dropping the permit grants the slot to the next one.
        let permit = SlotPermit {
            queue: self.clone(),
        };
        if let Err(unused) = grant.send(permit) {
            self.state.borrow_mut().pacer.give_back();
            drop(unused);
        }
        true
    }

    /// Grants slots once the pacer has its next token.
    fn grant_after(self: &Rc<Self>, delay: Duration) {
        if std::mem::replace(&mut self.state.borrow_mut().awaits_token, true) {
            return;
        }
        let queue = self.clone();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            queue.state.borrow_mut().awaits_token = false;
            queue.grant_waiting();
        });
    }
}

impl SlotState {
    fn expected_wait(&self, position: QueuePosition, now: Duration) -> f64 {
        let ahead = self.waiting.range(..position).count() as f64;
        let slot_wait = ahead * self.mean_run_seconds / f64::from(self.limit.max(1));
        let rate_wait = self.pacer.delay(ahead + 1.0, now);
        slot_wait.max(rate_wait.as_secs_f64())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().running -= 1;
        self.queue.grant_waiting();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().waiting.remove(&self.position);
    }
}
