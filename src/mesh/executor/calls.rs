//! The calls of other daemons that run here, and what is remembered of those that ended.
//!
//! A link may break while a call runs. The entry that sent it connects again and asks what became of
//! it. A call that was not handed over by then never will be, and the answer says so.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::super::link::LinkSender;

/// Ended calls are remembered this long; entries ask only for younger ones.
pub const COMPLETED_CALL_RETENTION: Duration = Duration::from_secs(30);

/// The entry's incarnation and its number of the call.
pub type CallId = (u64, u64);

/// What is known of a call.
#[derive(Debug)]
pub enum CallState {
    Running {
        forwarded: Rc<Cell<bool>>,
        idempotent: bool,
        task: Option<AbortHandle>,
        reply_to: LinkSender,
    },
    /// The frame that tells its outcome.
    Completed(Bytes),
    /// It was not handed over and never will be.
    Rejected,
}

/// The calls of all entries.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: HashMap<CallId, CallState>,
    completed: VecDeque<(Instant, CallId)>,
}

impl CallTable {
    /// Adds a call; returns whether it may run.
    pub fn insert(&mut self, id: CallId, state: CallState) -> bool {
        if self.calls.contains_key(&id) {
            return false;
        }
        self.calls.insert(id, state);
        true
    }

    /// Adds the task that runs the call, by which it can be stopped.
    pub fn set_task(&mut self, id: CallId, abort: AbortHandle) {
        if let Some(CallState::Running { task, .. }) = self.calls.get_mut(&id) {
            *task = Some(abort);
        }
    }

    /// Notes the outcome and returns the link that waits for it.
    pub fn complete(&mut self, id: CallId, outcome: Bytes, now: Instant) -> Option<LinkSender> {
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
            self.retain(id, CallState::Completed(outcome), now);
        }
        Some(reply_to)
    }

    /// Stops a call whose caller has gone.
    pub fn cancel(&mut self, id: CallId, now: Instant) {
        if let Some(CallState::Running {
            task: Some(task), ..
        }) = self.calls.get(&id)
        {
            task.abort();
            self.retain(id, CallState::Rejected, now);
        }
    }

    /// Bars a call that isn't known, or lets its outcome go to `link`; returns what is known.
    pub fn resume(&mut self, id: CallId, link: &LinkSender, now: Instant) -> &CallState {
        match self.calls.get_mut(&id) {
            Some(CallState::Running { reply_to, .. }) => *reply_to = link.clone(),
            Some(_) => {}
            None => self.retain(id, CallState::Rejected, now),
        }
        self.calls.get(&id).unwrap_or(&CallState::Rejected)
    }

    /// Stops what a broken link leaves behind: calls not handed over, and those that may run again.
    pub fn close_link(&mut self, incarnation: u64, link: &LinkSender, now: Instant) {
        let mut stopped = Vec::new();
        for (id, state) in &self.calls {
            if let CallState::Running {
                forwarded,
                idempotent,
                task: Some(task),
                reply_to,
            } = state
            {
                let left = id.0 == incarnation && reply_to.same_link(link);
                if left && (*idempotent || !forwarded.get()) {
                    task.abort();
                    stopped.push(*id);
                }
            }
        }
        for id in stopped {
            self.retain(id, CallState::Rejected, now);
        }
    }

    fn retain(&mut self, id: CallId, state: CallState, now: Instant) {
        self.calls.insert(id, state);
        self.completed.push_back((now, id));
        while let Some((at, oldest)) = self.completed.front() {
            if now.duration_since(*at) < COMPLETED_CALL_RETENTION {
                break;
            }
            self.calls.remove(oldest);
            self.completed.pop_front();
        }
    }
}
