//! The other daemons: who is known, who is linked, and telling them of changes.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use super::super::fleet::Peer;
use super::super::link::LinkFrame;
use super::super::link::LinkSender;
use super::MeshState;
use crate::observe::LogEvent;

/// Size that a fleet is taken to have before its daemons were looked up: as large as the largest of
/// the users' deployments.
const ASSUMED_FLEET_SIZE: usize = 100;

impl MeshState {
    /// Adds a daemon and links to it, unless it is known.
    pub fn add_peer(self: &Rc<Self>, address: SocketAddrV4) {
        if address == self.settings().link_address || self.peers.borrow().contains_key(&address) {
            return;
        }
        let peer = Rc::new(Peer::from_address(address));
        self.peers.borrow_mut().insert(address, peer.clone());
        let event = LogEvent::MemberChanged.number();
        tracing::info!(event, peer = %address, "a daemon is known");
        let state = self.clone();
        tokio::task::spawn_local(super::super::control::maintain_link(state, peer));
    }

    /// Forgets a daemon that has been gone for long.
    pub fn remove_peer(&self, address: SocketAddrV4) {
        self.peers.borrow_mut().remove(&address);
        self.rebuild_service_index();
        let event = LogEvent::MemberChanged.number();
        tracing::warn!(event, peer = %address, "a daemon is forgotten");
    }

    /// Notes that the daemons of the fleet were looked up, so that all of them are known.
    pub fn mark_discovery_complete(&self) {
        self.discovery_complete.set(true);
    }

    /// Daemons that share what the fleet may spend, this one included. Those that aren't linked yet
    /// serve their callers too, and before the lookup all of them may have just started.
    pub fn fleet_size(&self) -> usize {
        let known = 1 + self.peers.borrow().len();
        if self.discovery_complete.get() {
            known
        } else {
            known.max(ASSUMED_FLEET_SIZE)
        }
    }

    /// The other daemons.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Daemons that are linked, this one included.
    pub fn linked_daemons(&self) -> usize {
        let peers = self.peers.borrow();
        1 + peers.values().filter(|one| one.sender().is_some()).count()
    }

    /// Spends one repeat to a service from this daemon's part of the budget, if that has room.
    pub fn spend_retry(&self, service: &str) -> bool {
        let rule = self.settings().repeat_rule;
        let daemons = self.fleet_size();
        let mut admission = self.admission.borrow_mut();
        admission.spend_retry(service, &rule, daemons, self.now())
    }

    /// Runs `read` on the daemons beside endpoints of a service that take new work.
    pub fn with_executors<T>(&self, service: &str, read: impl FnOnce(&[Rc<Peer>]) -> T) -> T {
        let index = self.by_service.borrow();
        read(index.get(service).map_or(&[], |peers| peers.as_slice()))
    }

    /// Builds the index of daemons by service anew, after a change.
    pub fn rebuild_service_index(&self) {
        let mut index: HashMap<String, Vec<Rc<Peer>>> = HashMap::new();
        for peer in self.peers.borrow().values() {
            let service = peer.with_report(|report| {
                let endpoint = report.endpoint.as_ref().filter(|_| !report.stopping);
                endpoint.map(|one| one.service.clone())
            });
            if let Some(Some(service)) = service {
                index.entry(service).or_default().push(peer.clone());
            }
        }
        *self.by_service.borrow_mut() = index;
    }

    /// Adds a link on which another daemon hears of this one's changes.
    pub fn add_subscriber(&self, sender: LinkSender) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|one| !one.is_closed());
        subscribers.push(sender);
    }

    /// Tells all daemons of this one's state without waiting for them to ask.
    pub fn broadcast_report(&self) {
        let report = self.report();
        self.admission.borrow_mut().record_report_sent();
        for listener in self.subscribers.borrow().iter() {
            let report = report.clone();
            let sequence = 0;
            listener.send(&LinkFrame::Report { sequence, report }, &[]);
        }
    }
}
