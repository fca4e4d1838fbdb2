//! State of another daemon and of the calls that were sent to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::super::executor::CallOutcome;
use super::super::executor::CallRequest;
use super::super::link::HeaderCodec;
use super::super::link::LinkFrame;
use super::super::link::LinkSender;
use super::super::link::RefusalCause;
use super::super::link::SubmitHead;
use super::daemon_order::daemon_order;
use super::report::DaemonReport;
use super::report::DaemonStatus;
use crate::clock::BootTime;
use crate::decisions::outliers::OutlierMark;

/// Maximum age of a call that is resumed on a new link. The other daemon retains outcomes for
/// longer.
const MAX_RESUME_AGE: Duration = Duration::from_secs(10);

/// Time within which a daemon answers a ping, with margin for a busy VM. Within a region a reply
/// takes a few milliseconds.
const MAX_REPLY_TIME: Duration = Duration::from_millis(250);

/// Result of a call that was submitted to another daemon.
#[derive(Debug)]
pub enum PeerReply {
    /// The daemon replied, or the outcome can no longer be known.
    Outcome(CallOutcome),
    /// The link broke; an idempotent call can be retried elsewhere.
    LinkLost,
}

#[derive(Debug)]
struct PendingCall {
    reply: oneshot::Sender<PeerReply>,
    idempotent: bool,
    incarnation: u64,
    submitted_at: BootTime,
}

/// Another daemon, the link to it and the calls that wait for its reply.
#[derive(Debug)]
pub struct Peer {
    pub address: SocketAddrV4,
    /// Position in the order of daemons.
    pub order: u64,
    failure_domain: RefCell<Rc<str>>,
    sender: RefCell<Option<LinkSender>>,
    incarnation: Cell<u64>,
    pending: RefCell<HashMap<u64, PendingCall>>,
    report: RefCell<Option<DaemonReport>>,
    reported_at: Cell<Option<Instant>>,
    in_hand: Cell<u32>,
    sent_since_report: Cell<u32>,
    last_received: Cell<Option<Instant>>,
    /// Time of the oldest ping since which nothing was received.
    unanswered_ping: Cell<Option<Instant>>,
    /// Standing of its endpoint among those of its service.
    pub outlier_mark: Cell<OutlierMark>,
    /// Notified when the link should be pinged without waiting for the interval.
    pub ping_due: Notify,
}

/// Cancels a call that is still pending on drop.
struct CallGuard<'a> {
    peer: &'a Peer,
    call: u64,
}

impl Peer {
    /// Creates a peer without a link.
    pub fn from_address(address: SocketAddrV4) -> Self {
        Self {
            address,
            order: daemon_order(address),
            failure_domain: RefCell::new(Rc::from("")),
            sender: RefCell::new(None),
            incarnation: Cell::new(0),
            pending: RefCell::new(HashMap::new()),
            report: RefCell::new(None),
            reported_at: Cell::new(None),
            in_hand: Cell::new(0),
            sent_since_report: Cell::new(0),
            last_received: Cell::new(None),
            unanswered_ping: Cell::new(None),
            outlier_mark: Cell::new(OutlierMark::default()),
            ping_due: Notify::new(),
        }
    }

    /// Returns the failure domain of the daemon, or an empty string if it never had a link.
    pub fn failure_domain(&self) -> Rc<str> {
        self.failure_domain.borrow().clone()
    }

    /// Returns true if the daemon is in this failure domain.
    pub fn is_in_domain(&self, failure_domain: &str) -> bool {
        **self.failure_domain.borrow() == *failure_domain
    }

    /// Sets a new link and asks on it for the outcomes of the calls that are still pending.
    ///
    /// Calls that are too old, or that were sent to an earlier incarnation of the daemon, end with
    /// an unknown outcome.
    pub fn attach(
        &self,
        sender: LinkSender,
        incarnation: u64,
        failure_domain: &str,
        now: BootTime,
    ) {
        self.incarnation.set(incarnation);
        self.record_received();
        if **self.failure_domain.borrow() != *failure_domain {
            *self.failure_domain.borrow_mut() = Rc::from(failure_domain);
        }
        let mut unresumable = Vec::new();
        for (call, pending) in self.pending.borrow().iter() {
            let same_incarnation = pending.incarnation == incarnation;
            let age = now.saturating_duration_since(pending.submitted_at);
            if same_incarnation && age < MAX_RESUME_AGE {
                sender.send(&LinkFrame::Resume { call: *call }, &[]);
            } else {
                unresumable.push(*call);
            }
        }
        for call in unresumable {
            self.resolve(call, PeerReply::Outcome(CallOutcome::Unknown));
        }
        *self.sender.borrow_mut() = Some(sender);
    }

    /// Removes a broken link; pending idempotent calls fail at once so that they can be retried.
    pub fn detach(&self) {
        *self.sender.borrow_mut() = None;
        // The first report on the next link then counts as a change and restores the endpoint in
        // the index of services.
        *self.report.borrow_mut() = None;
        let pending = self.pending.borrow();
        let retryable: Vec<u64> = pending
            .iter()
            .filter(|(_, call)| call.idempotent)
            .map(|(number, _)| *number)
            .collect();
        drop(pending);
        for call in retryable {
            self.resolve(call, PeerReply::LinkLost);
        }
    }

    /// Ends all pending calls with an unknown outcome, because the process that had them has ended.
    pub fn fail_pending_calls(&self) {
        let pending: Vec<u64> = self.pending.borrow().keys().copied().collect();
        for call in pending {
            self.resolve(call, PeerReply::Outcome(CallOutcome::Unknown));
        }
    }

    /// Returns true while there is a link.
    pub fn is_linked(&self) -> bool {
        self.sender.borrow().is_some()
    }

    /// Returns the sender of the link, while there is one.
    pub fn sender(&self) -> Option<LinkSender> {
        self.sender.borrow().clone()
    }

    /// Runs `read` on the daemon's last report, while it is linked and has sent one.
    pub fn with_report<T>(&self, read: impl FnOnce(&DaemonReport) -> T) -> Option<T> {
        if self.sender.borrow().is_none() {
            return None;
        }
        self.report.borrow().as_ref().map(read)
    }

    /// Stores a report; returns true if the daemon's service or its stopping state has changed.
    pub fn handle_report(&self, report: DaemonReport) -> bool {
        let mut last_report = self.report.borrow_mut();
        let changed = last_report.as_ref().is_none_or(|old| {
            let service =
                |report: &DaemonReport| report.endpoint.as_ref().map(|one| one.service.clone());
            old.stopping != report.stopping || service(old) != service(&report)
        });
        *last_report = Some(report);
        self.reported_at.set(Some(Instant::now()));
        changed
    }

    /// Records a reply to a ping.
    pub fn handle_status(&self, status: &DaemonStatus) {
        self.record_load(status.in_hand);
        self.reported_at.set(Some(Instant::now()));
    }

    /// Returns the time since the last report, while the daemon is linked and has sent one.
    pub fn report_age(&self) -> Option<Duration> {
        self.with_report(|_| ())?;
        Some(self.reported_at.get()?.elapsed())
    }

    /// Records that a ping was sent.
    pub fn record_ping(&self) {
        let oldest = self.unanswered_ping.get().unwrap_or_else(Instant::now);
        self.unanswered_ping.set(Some(oldest));
    }

    /// Records that a frame was received.
    pub fn record_received(&self) {
        self.last_received.set(Some(Instant::now()));
        self.unanswered_ping.set(None);
    }

    /// Returns true if nothing has been received for some time after a ping.
    pub fn is_silent(&self) -> bool {
        let pinged_at = self.unanswered_ping.get();
        pinged_at.is_some_and(|at| at.elapsed() > MAX_REPLY_TIME)
    }

    /// Requests a ping if nothing has been received recently, so that silence is detected as soon
    /// as it matters.
    fn request_ping(&self) {
        let quiet = |at: Instant| at.elapsed() > MAX_REPLY_TIME;
        let is_quiet = self.last_received.get().is_none_or(quiet);
        if is_quiet && self.unanswered_ping.get().is_none() {
            self.ping_due.notify_one();
        }
    }

    /// Records the number of calls that run or wait at the daemon, as it sent it with a reply.
    pub fn record_load(&self, in_hand: u32) {
        self.in_hand.set(in_hand);
        self.sent_since_report.set(0);
    }

    /// Returns the number of calls that run or wait at the daemon, with those sent since it last
    /// reported it.
    pub fn load(&self) -> u32 {
        self.in_hand.get() + self.sent_since_report.get()
    }

    /// Passes a reply to the call that waits for it, if it is still pending.
    pub fn resolve(&self, call: u64, reply: PeerReply) {
        let pending = self.pending.borrow_mut().remove(&call);
        if let Some(pending) = pending {
            // If the receiver was dropped, the call's guard has cancelled it.
            drop(pending.reply.send(reply));
        }
    }

    /// Sends a call at the time `now` and waits for its outcome. Dropping the returned future cancels
    /// the call.
    pub async fn submit(
        &self,
        call: u64,
        request: &CallRequest,
        now: BootTime,
        codec: &HeaderCodec,
    ) -> PeerReply {
        let refused = PeerReply::Outcome(CallOutcome::Refused(RefusalCause::EndpointGone));
        let Some(sender) = self.sender() else {
            return refused;
        };
        let remaining = request.deadline.saturating_duration_since(now);
        let target = request.target.to_string();
        let head = SubmitHead {
            call,
            method: request.method.as_str(),
            target: &target,
            headers: codec.encode_request(&request.headers),
            service: &request.service,
            idempotent: request.idempotent,
            origin: request.origin,
            remaining_ms: remaining.as_millis() as u32,
            queue_timeout_ms: request.queue_timeout.as_millis() as u32,
        };
        let (reply, replied) = oneshot::channel();
        let pending = PendingCall {
            reply,
            idempotent: request.idempotent,
            incarnation: self.incarnation.get(),
            submitted_at: now,
        };
        self.pending.borrow_mut().insert(call, pending);
        let _guard = CallGuard { peer: self, call };
        if !sender.send(&LinkFrame::Submit(head), &request.body) {
            return refused;
        }
        self.sent_since_report.set(self.sent_since_report.get() + 1);
        self.request_ping();
        replied.await.unwrap_or(PeerReply::LinkLost)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let pending = self.peer.pending.borrow_mut().remove(&self.call);
        if pending.is_some() {
            if let Some(sender) = self.peer.sender() {
                sender.send(&LinkFrame::Cancel { call: self.call }, &[]);
            }
        }
    }
}
