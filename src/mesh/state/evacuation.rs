//! The evacuated failure domains that this daemon knows of; see `docs/design/evacuation.md`.

use std::rc::Rc;

use super::super::fleet::hash_name;
use super::MeshState;
use crate::codes::ResultCode;
use crate::decisions::evacuation::EvacuationSet;
use crate::observe::LogEvent;

impl MeshState {
    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> EvacuationSet {
        self.evacuations.borrow().clone()
    }

    /// Returns true if nothing may be sent to the endpoints of a failure domain.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        let evacuations = self.evacuations.borrow();
        !evacuations.domains().is_empty() && evacuations.contains(hash_name(failure_domain))
    }

    /// Puts a set in force if it is newer than the one known; `source` is where it comes from.
    pub fn apply_evacuations(&self, newer: &EvacuationSet, source: &'static str) {
        let old = self.evacuations();
        if !self.evacuations.borrow_mut().replace_if_newer(newer) {
            return;
        }
        let is_new = |domain: &&u32| !old.contains(**domain);
        let began: Vec<u32> = newer.domains().iter().filter(is_new).copied().collect();
        let is_over = |domain: &&u32| !newer.contains(**domain);
        let ended: Vec<u32> = old.domains().iter().filter(is_over).copied().collect();
        if began.is_empty() && ended.is_empty() {
            return;
        }
        for domain in began {
            self.log_evacuation(LogEvent::EvacuationBegan, domain, source);
        }
        for domain in ended {
            self.log_evacuation(LogEvent::EvacuationEnded, domain, source);
        }
        let own_domain = hash_name(&self.settings().failure_domain);
        self.executor.set_evacuated(newer.contains(own_domain));
        if self.reads_store() || self.relay_time().is_some() {
            // The other daemons learn of it from the readers and the relays, as of a new version.
            self.broadcast_report();
        }
        // Wakes the requests that wait for an executor, too.
        self.rebuild_service_index();
    }

    /// Returns the result of a request for which no executor is known.
    pub fn missing_executor_code(&self) -> ResultCode {
        if self.evacuations.borrow().domains().is_empty() {
            ResultCode::NoEndpoint
        } else {
            ResultCode::Evacuated
        }
    }

    fn log_evacuation(&self, event: LogEvent, domain: u32, source: &'static str) {
        let failure_domain = self.domain_name(domain);
        let failure_domain = failure_domain.as_deref();
        let position = self.evacuations.borrow().position();
        // The record was written after the time of the last proof, so this bounds the time for which
        // the daemon did not know of it.
        let proof_ms = self.proof_age().map(|age| age.as_millis() as u64);
        let endpoints = self.endpoints_in(domain);
        let event = event.number();
        tracing::warn!(
            event,
            failure_domain,
            domain,
            position,
            source,
            proof_ms,
            endpoints,
            "the evacuated failure domains changed"
        );
    }

    /// Returns the name behind a hash, if a linked daemon is in that failure domain.
    fn domain_name(&self, domain: u32) -> Option<Rc<str>> {
        let own = Rc::from(self.settings().failure_domain.as_str());
        let peers = self.peers();
        let others = peers.iter().map(|peer| peer.failure_domain());
        std::iter::once(own)
            .chain(others)
            .find(|name| hash_name(name) == domain)
    }

    /// Returns the number of other daemons' endpoints in a failure domain that accept new calls.
    fn endpoints_in(&self, domain: u32) -> usize {
        let peers = self.peers();
        let in_domain = peers
            .iter()
            .filter(|peer| hash_name(&peer.failure_domain()) == domain);
        in_domain
            .filter(|peer| peer.with_report(|report| report.endpoint.is_some()) == Some(true))
            .count()
    }
}
