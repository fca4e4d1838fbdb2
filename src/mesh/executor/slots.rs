//! Slots of an endpoint and the priority queue of calls that wait for one.
//!
//! Calls are queued here and not at the endpoint, so that they are served by the rank of the root
//! request of their call graph, and a call that is cancelled or whose endpoint drains never reaches
//! the endpoint.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

/// Weight of the newest call in the mean time that a call holds a slot.
const RUN_TIME_SMOOTHING: f64 = 0.1;

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
    waiting: BTreeMap<QueuePosition, oneshot::Sender<SlotPermit>>,
}

/// Slots of one endpoint and the calls that wait for one.
#[derive(Debug)]
pub struct SlotQueue {
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
            waiting: BTreeMap::new(),
        };
        Rc::new(Self {
            state: RefCell::new(state),
        })
    }

    /// Sets the number of calls that may run at once.
    pub fn set_limit(self: &Rc<Self>, limit: u32) {
        self.state.borrow_mut().limit = limit;
        while self.grant_next() {}
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

    /// Waits for a slot.
    ///
    /// Returns none if the wait exceeds `queue_timeout`, is expected to exceed it, or the waiting
    /// calls were rejected.
    pub async fn acquire(self: &Rc<Self>, rank: u8, queue_timeout: Duration) -> Option<SlotPermit> {
        let (position, granted) = {
            let mut state = self.state.borrow_mut();
            if state.running < state.limit {
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
            if state.expected_wait(position) > queue_timeout.as_secs_f64() {
                return None;
            }
            let (grant, granted) = oneshot::channel();
            state.waiting.insert(position, grant);
            (position, granted)
        };
        let guard = WaitGuard {
            queue: self,
            position,
        };
        let permit = timeout(queue_timeout, granted).await;
        drop(guard);
        permit.ok()?.ok()
    }

    /// Grants a free slot to the first waiting call; returns false if there is no slot or no call.
    fn grant_next(self: &Rc<Self>) -> bool {
        let grant = {
            let mut state = self.state.borrow_mut();
            if state.running >= state.limit {
                return false;
            }
            let Some((_, grant)) = state.waiting.pop_first() else {
                return false;
            };
            state.running += 1;
            grant
        };
        // If the call no longer waits, dropping the permit grants the slot to the next one.
        drop(grant.send(SlotPermit {
            queue: self.clone(),
        }));
        true
    }
}

impl SlotState {
    fn expected_wait(&self, position: QueuePosition) -> f64 {
        let ahead = self.waiting.range(..position).count() as f64;
        ahead * self.mean_run_seconds / f64::from(self.limit.max(1))
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().running -= 1;
        self.queue.grant_next();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().waiting.remove(&self.position);
    }
}
