//! Another daemon, as one that sends it work knows it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::super::executor::CallOutcome;
use super::super::executor::CallRequest;
use super::super::link::header_pairs;
use super::super::link::LinkFrame;
use super::super::link::LinkSender;
use super::super::link::RefusalCause;
use super::super::link::SubmitHead;
use super::report::DaemonReport;

/// The other daemon remembers ended calls for longer than this.
const MAX_RESUME_AGE: Duration = Duration::from_secs(10);

/// What a daemon said of a call.
#[derive(Debug)]
pub enum PeerReply {
    Outcome(CallOutcome),
    /// The link broke; a call that may run again can go elsewhere.
    LinkLost,
}

#[derive(Debug)]
struct PendingCall {
    reply: oneshot::Sender<PeerReply>,
    idempotent: bool,
    incarnation: u64,
    submitted: Instant,
}

/// A daemon with the link to it and the calls that wait for its answer.
#[derive(Debug)]
pub struct Peer {
    pub address: SocketAddrV4,
    sender: RefCell<Option<LinkSender>>,
    incarnation: Cell<u64>,
    pending: RefCell<HashMap<u64, PendingCall>>,
    report: RefCell<Option<DaemonReport>>,
    reported_at: Cell<Option<Instant>>,
    in_hand: Cell<u32>,
    sent_since_report: Cell<u32>,
}

struct CallGuard<'a> {
    peer: &'a Peer,
    call: u64,
}

impl Peer {
    /// Starts without a link.
    pub fn from_address(address: SocketAddrV4) -> Self {
        Self {
            address,
            sender: RefCell::new(None),
            incarnation: Cell::new(0),
            pending: RefCell::new(HashMap::new()),
            report: RefCell::new(None),
            reported_at: Cell::new(None),
            in_hand: Cell::new(0),
            sent_since_report: Cell::new(0),
        }
    }

    /// Takes a new link and asks what became of calls that the last one left open.
    pub fn attach(&self, sender: LinkSender, incarnation: u64) {
        self.incarnation.set(incarnation);
        let mut unresumable = Vec::new();
        for (call, pending) in self.pending.borrow().iter() {
            let known = pending.incarnation == incarnation;
            if known && pending.submitted.elapsed() < MAX_RESUME_AGE {
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

    /// Gives up the link; calls that may run again are told so at once.
    pub fn detach(&self) {
        *self.sender.borrow_mut() = None;
        // The first report on the next link then counts as a change and puts the endpoint back.
        *self.report.borrow_mut() = None;
        let pending = self.pending.borrow();
        let unresumable: Vec<u64> = pending
            .iter()
            .filter(|(_, one)| one.idempotent)
            .map(|(call, _)| *call)
            .collect();
        drop(pending);
        for call in unresumable {
            self.resolve(call, PeerReply::LinkLost);
        }
    }

    /// Gives up all calls, as the process that had them is gone.
    pub fn fail_pending_calls(&self) {
        let unresumable: Vec<u64> = self.pending.borrow().keys().copied().collect();
        for call in unresumable {
            self.resolve(call, PeerReply::Outcome(CallOutcome::Unknown));
        }
    }

    /// The link, while there is one.
    pub fn sender(&self) -> Option<LinkSender> {
        self.sender.borrow().clone()
    }

    /// What the daemon last said, while it is linked.
    pub fn with_report<T>(&self, read: impl FnOnce(&DaemonReport) -> T) -> Option<T> {
        if self.sender.borrow().is_none() {
            return None;
        }
        self.report.borrow().as_ref().map(read)
    }

    /// Takes a report; returns whether the endpoint it names has changed.
    pub fn handle_report(&self, report: DaemonReport) -> bool {
        let load = report.endpoint.as_ref().map_or(0, |one| one.in_hand);
        self.record_load(load);
        let mut last = self.report.borrow_mut();
        let changed = last.as_ref().is_none_or(|old| {
            let services =
                |one: &DaemonReport| one.endpoint.as_ref().map(|end| end.service.clone());
            old.stopping != report.stopping || services(old) != services(&report)
        });
        *last = Some(report);
        self.reported_at.set(Some(Instant::now()));
        changed
    }

    /// Time since the last report, while the daemon is linked and has sent one.
    pub fn report_age(&self) -> Option<Duration> {
        self.with_report(|_| ())?;
        Some(self.reported_at.get()?.elapsed())
    }

    /// Notes the work in hand that came with an answer.
    pub fn record_load(&self, in_hand: u32) {
        self.in_hand.set(in_hand);
        self.sent_since_report.set(0);
    }

    /// Work in hand there, with what was sent since it was last said.
    pub fn load(&self) -> u32 {
        self.in_hand.get() + self.sent_since_report.get()
    }

    /// Hands an outcome to the call that waits for it, if it still does.
    pub fn resolve(&self, call: u64, reply: PeerReply) {
        let pending = self.pending.borrow_mut().remove(&call);
        if let Some(pending) = pending {
            // A waiter that has just gone has sent its own cancellation.
            drop(pending.reply.send(reply));
        }
    }

    /// Sends a call and waits for its outcome; dropping the wait cancels the call.
    pub async fn submit(&self, call: u64, request: &CallRequest) -> PeerReply {
        let refused = PeerReply::Outcome(CallOutcome::Refused(RefusalCause::EndpointGone));
        let Some(sender) = self.sender() else {
            return refused;
        };
        let left = request.deadline.saturating_duration_since(Instant::now());
        let target = request.target.to_string();
        let head = SubmitHead {
            call,
            method: request.method.as_str(),
            target: &target,
            headers: header_pairs(&request.headers),
            service: &request.service,
            idempotent: request.idempotent,
            origin: request.origin,
            remaining_ms: left.as_millis() as u32,
            queue_timeout_ms: request.queue_timeout.as_millis() as u32,
        };
        let (reply, replied) = oneshot::channel();
        let pending = PendingCall {
            reply,
            idempotent: request.idempotent,
            incarnation: self.incarnation.get(),
            submitted: Instant::now(),
        };
        self.pending.borrow_mut().insert(call, pending);
        let _guard = CallGuard { peer: self, call };
        if !sender.send(&LinkFrame::Submit(head), &request.body) {
            return refused;
        }
        self.sent_since_report.set(self.sent_since_report.get() + 1);
        replied.await.unwrap_or(PeerReply::LinkLost)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let open = self.peer.pending.borrow_mut().remove(&self.call);
        if open.is_some() {
            if let Some(sender) = self.peer.sender() {
                sender.send(&LinkFrame::Cancel { call: self.call }, &[]);
            }
        }
    }
}
