//! The slots of an endpoint and the line of calls that wait for one.
//!
//! The line is held here and not at the endpoint, so that calls go by the rank of the request at the
//! top of their graph, and a call that leaves or whose endpoint drains has never reached it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

/// Weight of the newest run in the mean time that a call holds a slot.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Place in the line; lower goes first.
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

/// The slots of one endpoint.
#[derive(Debug)]
pub struct SlotQueue {
    state: RefCell<SlotState>,
}

/// The right to hand one call to the endpoint; dropping it passes the slot on.
#[derive(Debug)]
pub struct SlotPermit {
    queue: Rc<SlotQueue>,
}

#[derive(Debug)]
struct WaitGuard<'a> {
    queue: &'a SlotQueue,
    position: QueuePosition,
}

impl SlotQueue {
    /// Starts with no slots, until an endpoint announces some.
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

    /// Sets how many calls may run at once.
    pub fn set_limit(self: &Rc<Self>, limit: u32) {
        self.state.borrow_mut().limit = limit;
        while self.grant_next() {}
    }

    /// How many calls may run at once.
    pub fn limit(&self) -> u32 {
        self.state.borrow().limit
    }

    /// Turns away all that wait, as their endpoint takes no new work.
    pub fn reject_waiting(&self) {
        let waiting = std::mem::take(&mut self.state.borrow_mut().waiting);
        drop(waiting);
    }

    /// Calls that run or wait.
    pub fn in_hand(&self) -> u32 {
        let state = self.state.borrow();
        state.running + state.waiting.len() as u32
    }

    /// Calls that run.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Notes how long a call held its slot.
    pub fn record_run_time(&self, time: Duration) {
        let mut state = self.state.borrow_mut();
        state.mean_run_seconds += RUN_TIME_SMOOTHING * (time.as_secs_f64() - state.mean_run_seconds);
    }

    /// Waits for a slot; none if the wait would exceed `queue_timeout` or the line was turned away.
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
        let guard = WaitGuard { queue: self, position };
        let permit = timeout(queue_timeout, granted).await;
        drop(guard);
        permit.ok()?.ok()
    }

    /// Gives a free slot to the first in the line; returns whether there were both.
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
        // A waiter that has left drops the permit, which passes the slot on.
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
