//! What the endpoint on this VM says of itself.

use super::super::state::MeshState;
use crate::decisions::announcement::BeliefChange;
use crate::decisions::announcement::EndpointBeat;
use crate::observe::LogEvent;

impl MeshState {
    /// Takes an announcement of the endpoint on this VM.
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
                    "a stale announcement"
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
                    "endpoint"
                );
                self.broadcast_report();
            }
        }
    }

    /// Takes the farewell of the endpoint on this VM.
    pub fn handle_deregistration(&self, id: &str) {
        if self.executor.handle_deregistration(id) {
            let event = LogEvent::EndpointSilent.number();
            tracing::warn!(event, endpoint = id, "the endpoint leaves");
            self.broadcast_report();
        }
    }
}
