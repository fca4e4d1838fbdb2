//! Handles announcements and deregistrations of the endpoint on this VM.

use super::super::state::MeshState;
use crate::decisions::announcement::BeliefChange;
use crate::decisions::announcement::EndpointBeat;
use crate::observe::LogEvent;

impl MeshState {
    /// Handles an announcement of the endpoint on this VM.
    pub fn handle_announcement(&self, beat: EndpointBeat) {
        let (id, sequence, born_ms) = (beat.id.clone(), beat.sequence, beat.born_ms);
        let state = beat.state;
        let change = self.executor.handle_announcement(beat);
        let event = LogEvent::EndpointAnnounced.number();
        match change {
            BeliefChange::Nothing => {}
            BeliefChange::Stale => {
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
                    ?state,
                    ?change,
                    "the endpoint's state changed"
                );
                self.broadcast_report();
            }
        }
    }

    /// Handles the deregistration of the endpoint on this VM.
    pub fn handle_deregistration(&self, id: &str) {
        if self.executor.handle_deregistration(id) {
            let event = LogEvent::EndpointSilent.number();
            tracing::warn!(event, endpoint = id, "the endpoint deregistered");
            self.broadcast_report();
        }
    }
}
