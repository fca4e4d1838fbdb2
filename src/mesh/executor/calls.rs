//! Tracks calls of other daemons while they run, and the outcomes of completed ones.
//!
//! A link may break while a call runs. The entry that sent the call then reconnects and asks for
//! its outcome. A call that has not been forwarded to the endpoint by then is rejected for good,
//! and the reply says so.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::super::link::EncodedFrame;
use super::super::link::LinkSender;

/// Time for which outcomes are retained; entries ask only for younger calls.
pub const COMPLETED_CALL_RETENTION: Duration = Duration::from_secs(30);

/// Incarnation of the entry and its number of the call.
pub type CallId = (u64, u64);

/// State of a call.
#[derive(Debug)]
pub enum CallState {
    /// The call waits for a slot or runs.
    Running {
        /// Set once the call may have reached the endpoint.
        forwarded: Rc<Cell<bool>>,
        idempotent: bool,
        task: Option<AbortHandle>,
        reply_to: LinkSender,
    },
    /// The call has completed; holds the encoded frame with its outcome.
    Completed(EncodedFrame),
    /// The call has completed, and its outcome had no room any more.
    Forgotten,
    /// The call was not forwarded and never will be.
    Rejected,
}

/// Running and recently completed calls of all entries.
#[derive(Debug)]
pub struct CallTable {
    calls: HashMap<CallId, CallState>,
    completed: VecDeque<(Instant, CallId)>,
    /// Calls whose outcomes are retained, the oldest first.
    outcomes: VecDeque<CallId>,
    outcome_bytes: usize,
    max_outcome_bytes: usize,
}

impl CallTable {
    /// Creates a table that retains outcomes of at most this many bytes together.
    pub fn from_limit(max_outcome_bytes: usize) -> Self {
        Self {
            calls: HashMap::new(),
            completed: VecDeque::new(),
            outcomes: VecDeque::new(),
            outcome_bytes: 0,
            max_outcome_bytes,
        }
    }

    /// Returns the bytes of all retained outcomes.
    pub fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    /// Adds a call; returns false if the call is known already and must not run.
    pub fn insert(&mut self, id: CallId, state: CallState) -> bool {
        if self.calls.contains_key(&id) {
            return false;
        }
        self.calls.insert(id, state);
        true
    }

    /// Sets the task that runs the call, so that it can be aborted.
    pub fn set_task(&mut self, id: CallId, abort: AbortHandle) {
        if let Some(CallState::Running { task, .. }) = self.calls.get_mut(&id) {
            *task = Some(abort);
        }
    }

    /// Records the outcome of a call and returns the link that waits for it.
    pub fn complete(
        &mut self,
        id: CallId,
        outcome: EncodedFrame,
        now: Instant,
    ) -> Option<LinkSender> {
        let state = self.calls.remove(&id)?;
        let CallState::Running {
            idempotent,
            reply_to,
            ..
        } = state
        else {
            return None;
        };
        if !idempotent {
            self.outcome_bytes += outcome.bytes.len();
            self.outcomes.push_back(id);
            self.retain(id, CallState::Completed(outcome), now);
            self.forget_outcomes();
        }
        Some(reply_to)
    }

    /// Aborts a call that its entry no longer waits for.
    ///
    /// A cancellation may arrive before a call with a large body, which is sent in segments. Such a call is
    /// rejected once it arrives.
    pub fn cancel(&mut self, id: CallId, now: Instant) {
        match self.calls.get(&id) {
            Some(CallState::Running { task, .. }) => {
                if let Some(task) = task {
                    task.abort();
                }
                self.retain(id, CallState::Rejected, now);
            }
            Some(_) => {}
            None => self.retain(id, CallState::Rejected, now),
        }
    }

    /// Directs the outcome of a running call to `link`, or rejects a call that isn't known; returns
    /// the state of the call.
    pub fn resume(&mut self, id: CallId, link: &LinkSender, now: Instant) -> &CallState {
        match self.calls.get_mut(&id) {
            Some(CallState::Running { reply_to, .. }) => *reply_to = link.clone(),
            Some(_) => {}
            None => self.retain(id, CallState::Rejected, now),
        }
        self.calls.get(&id).unwrap_or(&CallState::Rejected)
    }

    /// Aborts the calls of a closed link that were not forwarded or are idempotent.
    pub fn close_link(&mut self, incarnation: u64, link: &LinkSender, now: Instant) {
        let mut aborted = Vec::new();
        for (id, state) in &self.calls {
            if let CallState::Running {
                forwarded,
                idempotent,
                task: Some(task),
                reply_to,
            } = state
            {
                let orphaned = id.0 == incarnation && reply_to.same_link(link);
                if orphaned && (*idempotent || !forwarded.get()) {
                    task.abort();
                    aborted.push(*id);
                }
            }
        }
        for id in aborted {
            self.retain(id, CallState::Rejected, now);
        }
    }

    fn retain(&mut self, id: CallId, state: CallState, now: Instant) {
        self.calls.insert(id, state);
        self.completed.push_back((now, id));
        while let Some((completed_at, oldest)) = self.completed.front() {
            if now.duration_since(*completed_at) < COMPLETED_CALL_RETENTION {
                break;
            }
            if let Some(CallState::Completed(outcome)) = self.calls.remove(oldest) {
                self.outcome_bytes -= outcome.bytes.len();
            }
            self.completed.pop_front();
        }
    }

    /// Drops the oldest outcomes until the others have room.
    fn forget_outcomes(&mut self) {
        while self.outcome_bytes > self.max_outcome_bytes {
            let Some(oldest) = self.outcomes.pop_front() else {
                return;
            };
            if let Some(state @ CallState::Completed(_)) = self.calls.get_mut(&oldest) {
                if let CallState::Completed(outcome) =
                    std::mem::replace(state, CallState::Forgotten)
                {
                    self.outcome_bytes -= outcome.bytes.len();
                }
            }
        }
        // The calls of outcomes that were retained for long enough are gone.
        while let Some(oldest) = self.outcomes.front() {
            if self.calls.contains_key(oldest) {
                return;
            }
            self.outcomes.pop_front();
        }
    }
}
