//! What the endpoint beside a daemon says of itself, and which of two announcements is newer.
//!
//! Announcements may arrive late, from an incarnation that is gone, or with an identity used again.

use std::time::Duration;

/// Announcements missed in a row after which the endpoint gets no new work.
const MISSED_BEATS: u32 = 3;

/// The state that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
}

/// One announcement of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointBeat {
    pub id: String,
    pub service: String,
    pub address: std::net::SocketAddrV4,
    pub slots: u32,
    pub state: EndpointState,
    /// Position among the announcements of one incarnation.
    pub sequence: u64,
    /// Unix milliseconds at the incarnation's start.
    pub born_ms: u64,
    /// How much longer the endpoint stays slow after its start.
    pub cold: Duration,
}

/// What a daemon believes of the endpoint beside it.
#[derive(Debug, Default)]
pub struct EndpointBelief {
    beat: Option<EndpointBeat>,
    heard: Duration,
    left: bool,
    unreachable: bool,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeliefChange {
    /// Another incarnation is there.
    Started,
    /// The endpoint announced that it leaves.
    Draining,
    /// The endpoint can be used again.
    Returned,
    /// Nothing that decides has changed.
    Nothing,
    /// The announcement is older than what is believed.
    Stale,
}

impl EndpointBelief {
    /// Takes an announcement, unless a newer one is known.
    pub fn hear(&mut self, beat: EndpointBeat, now: Duration) -> BeliefChange {
        let Some(known) = &self.beat else {
            return self.adopt(beat, now, BeliefChange::Started);
        };
        if beat.born_ms < known.born_ms {
            return BeliefChange::Stale;
        }
        if beat.born_ms > known.born_ms || beat.id != known.id {
            return self.adopt(beat, now, BeliefChange::Started);
        }
        if self.left || beat.sequence <= known.sequence {
            return BeliefChange::Stale;
        }
        let change = match (known.state, beat.state) {
            (EndpointState::Ready, EndpointState::Draining) => BeliefChange::Draining,
            // An incarnation that drains doesn't come back.
            (EndpointState::Draining, EndpointState::Ready) => return BeliefChange::Stale,
            _ if self.unreachable => BeliefChange::Returned,
            _ => BeliefChange::Nothing,
        };
        self.unreachable = false;
        self.beat = Some(beat);
        self.heard = now;
        change
    }

    /// Takes a farewell; returns whether it concerns the endpoint that is believed to be there.
    pub fn leave(&mut self, id: &str) -> bool {
        let same = self.beat.as_ref().is_some_and(|beat| beat.id == id);
        self.left |= same;
        same
    }

    /// Notes that no connection can be made; the next announcement ends this.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// The last announcement, whatever its state.
    pub fn beat(&self) -> Option<&EndpointBeat> {
        self.beat.as_ref()
    }

    /// The announcement of an endpoint that may get new work.
    pub fn usable(&self, interval: Duration, now: Duration) -> Option<&EndpointBeat> {
        let silent = now.saturating_sub(self.heard) > interval * MISSED_BEATS;
        if self.left || self.unreachable || silent {
            return None;
        }
        self.beat
            .as_ref()
            .filter(|beat| beat.state == EndpointState::Ready)
    }

    /// How much longer the endpoint stays slow.
    pub fn cold_left(&self, now: Duration) -> Duration {
        match &self.beat {
            Some(beat) => beat.cold.saturating_sub(now.saturating_sub(self.heard)),
            None => Duration::ZERO,
        }
    }

    fn adopt(&mut self, beat: EndpointBeat, now: Duration, change: BeliefChange) -> BeliefChange {
        self.left = false;
        self.unreachable = false;
        self.beat = Some(beat);
        self.heard = now;
        change
    }
}
