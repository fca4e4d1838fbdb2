//! The known peers of a daemon, the index of services, and reports to the peers.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use super::super::fleet::Peer;
use super::super::link::LinkFrame;
use super::super::link::LinkSender;
use super::MeshState;
use crate::observe::LogEvent;

/// Assumed number of daemons until discovery is complete: that of the users' largest deployment.
const ASSUMED_FLEET_SIZE: usize = 100;

/// Number of known daemons that a daemon names on a new link. Every daemon has a link to every other
/// one, so that a few names on each spread faster than links open.
const MAX_SAMPLED_DAEMONS: usize = 16;

impl MeshState {
    /// Adds a daemon and starts a link to it, unless it is known.
    pub fn add_peer(self: &Rc<Self>, address: SocketAddrV4) {
        if address == self.settings().link_address || self.peers.borrow().contains_key(&address) {
            return;
        }
        let peer = Rc::new(Peer::from_address(address));
        self.peers.borrow_mut().insert(address, peer.clone());
        let event = LogEvent::MemberChanged.number();
        tracing::info!(event, peer = %address, "added a peer");
        let state = self.clone();
        tokio::task::spawn_local(super::super::control::maintain_link(state, peer));
    }

    /// Removes a daemon that has been unreachable for long.
    pub fn remove_peer(&self, address: SocketAddrV4) {
        self.peers.borrow_mut().remove(&address);
        self.rebuild_service_index();
        let event = LogEvent::MemberChanged.number();
        tracing::warn!(event, peer = %address, "removed an unreachable peer");
    }

    /// Records that discovery has completed, so that all daemons of the fleet are known.
    pub fn mark_discovery_complete(&self) {
        self.discovery_complete.set(true);
    }

    /// Returns the number of daemons that share the fleet's quotas and retry budgets, this one
    /// included.
    ///
    /// Daemons without a link count, because they serve callers too. Before discovery is complete
    /// the whole fleet may have just started, so a large fleet is assumed.
    pub fn fleet_size(&self) -> usize {
        let known = 1 + self.peers.borrow().len();
        if self.discovery_complete.get() {
            known
        } else {
            known.max(ASSUMED_FLEET_SIZE)
        }
    }

    /// Returns the other daemons.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Returns the number of linked daemons, this one included.
    pub fn linked_daemons(&self) -> usize {
        let peers = self.peers.borrow();
        1 + peers.values().filter(|peer| peer.is_linked()).count()
    }

    /// Spends one retry to a service and returns true if this daemon's part of the retry budget had
    /// room for it.
    pub fn spend_retry(&self, service: &str) -> bool {
        let rule = self.settings().repeat_rule;
        let daemons = self.fleet_size();
        let mut admission = self.admission.borrow_mut();
        admission.spend_retry(service, &rule, daemons, self.now())
    }

    /// Runs `read` on the peers whose endpoints serve a service and accept new calls, outside the
    /// evacuated failure domains.
    pub fn with_executors<T>(&self, service: &str, read: impl FnOnce(&[Rc<Peer>]) -> T) -> T {
        let index = self.by_service.borrow();
        read(index.get(service).map_or(&[], |peers| peers.as_slice()))
    }

    /// Runs `visit` on each service and the peers whose endpoints serve it and accept new calls.
    pub fn visit_services(&self, mut visit: impl FnMut(&str, &[Rc<Peer>])) {
        for (service, peers) in self.by_service.borrow().iter() {
            visit(service, peers);
        }
    }

    /// Rebuilds the index of peers by service.
    pub fn rebuild_service_index(&self) {
        let mut index: HashMap<String, Vec<Rc<Peer>>> = HashMap::new();
        for peer in self.peers.borrow().values() {
            if self.is_evacuated(&peer.failure_domain()) {
                continue;
            }
            let service = peer.with_report(|report| {
                let endpoint = report.endpoint.as_ref().filter(|_| !report.stopping);
                endpoint.map(|endpoint| endpoint.service.clone())
            });
            if let Some(Some(service)) = service {
                index.entry(service).or_default().push(peer.clone());
            }
        }
        *self.by_service.borrow_mut() = index;
        self.executors_changed.notify_waiters();
    }

    /// Adds a link on which another daemon receives reports of this one's changes.
    pub fn add_subscriber(&self, sender: LinkSender) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.is_closed());
        subscribers.push(sender);
    }

    /// Sends a report to all linked daemons at once.
    pub fn broadcast_report(&self) {
        let report = self.report();
        *self.last_report.borrow_mut() = report.clone();
        let frame = LinkFrame::Report(report);
        for subscriber in self.subscribers.borrow().iter() {
            subscriber.send(&frame, &[]);
        }
    }

    /// Sends a report to all linked daemons if this daemon's state has changed.
    pub fn broadcast_changes(&self) {
        let changed = self.report().differs_from(&self.last_report.borrow());
        if changed {
            self.broadcast_report();
        }
    }

    /// Returns the link addresses of some known daemons, for the first frame on a link.
    pub fn sample_known_daemons(&self) -> Vec<SocketAddrV4> {
        let peers = self.peers.borrow();
        let known = peers.keys().copied();
        known.choose_multiple(&mut *self.rng.borrow_mut(), MAX_SAMPLED_DAEMONS)
    }

    /// Returns the linked daemon with this address.
    pub fn linked_peer(&self, address: SocketAddrV4) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let peer = peers.get(&address)?;
        peer.is_linked().then(|| peer.clone())
    }
}
