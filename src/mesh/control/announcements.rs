//! What the endpoint on this VM says of itself.

use super::super::state::MeshState;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointChange;
use crate::observe::LogEvent;

impl MeshState {
    /// Takes an announcement of the endpoint on this VM.
    pub fn hear_endpoint(&self, beat: EndpointAnnouncement) {
        let (id, sequence, born_ms) = (beat.id.clone(), beat.sequence, beat.born_ms);
        let state = beat.state;
        let change = self.executor.hear(beat);
        let event = LogEvent::EndpointAnnounced.number();
        match change {
            EndpointChange::Nothing => {}
            EndpointChange::Stale => {
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
                self.announce();
            }
        }
    }

    /// Takes the farewell of the endpoint on this VM.
    pub fn hear_farewell(&self, id: &str) {
        if self.executor.leave(id) {
            let event = LogEvent::EndpointSilent.number();
            tracing::warn!(event, endpoint = id, "the endpoint leaves");
            self.announce();
        }
    }
}
