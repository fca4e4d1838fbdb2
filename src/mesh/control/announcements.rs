//! Handles announcements and deregistrations of the endpoint on this VM.

use super::super::state::MeshState;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointChange;
use crate::observe::LogEvent;

impl MeshState {
    /// Handles an announcement of the endpoint on this VM.
    pub fn handle_announcement(&self, announcement: EndpointAnnouncement) {
        let (id, sequence, born_ms) = (
            announcement.id.clone(),
            announcement.sequence,
            announcement.born_ms,
        );
        let (state, service) = (announcement.state, announcement.service.clone());
        let change = self.executor.handle_announcement(announcement);
        let event = LogEvent::EndpointAnnounced.number();
        match change {
            EndpointChange::Nothing => {}
            EndpointChange::Stale => {
                tracing::warn!(
                    event,
                    endpoint = id,
                    sequence,
                    born_ms,
                    "ignoring a stale announcement"
                );
            }
            _ => {
                tracing::warn!(
                    event,
                    endpoint = id,
                    sequence,
                    born_ms,
                    service,
                    ?state,
                    ?change,
                    "the endpoint's state changed"
                );
                self.broadcast_report();
                self.executors_changed.notify_waiters();
            }
        }
    }

    /// Handles the deregistration of the endpoint on this VM, which starts to bind this daemon even if the
    /// endpoint is not announced yet. `born_ms` is the start of its incarnation, if the endpoint names it.
    pub fn handle_deregistration(&self, id: &str, born_ms: Option<u64>) {
        let current = self.executor.handle_deregistration(id, born_ms);
        let event = LogEvent::EndpointSilent.number();
        let service = &self.settings().service;
        tracing::warn!(
            event,
            endpoint = id,
            born_ms,
            service,
            current,
            "the endpoint deregistered"
        );
        if current {
            self.broadcast_report();
        }
    }
}
