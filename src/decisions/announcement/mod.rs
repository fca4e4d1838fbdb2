//! What the endpoint beside a daemon says of itself, and which of two announcements is newer.
//!
//! Announcements may arrive late, from an incarnation that is gone, or with an identity used again.

use std::time::Duration;

/// Announcements missed in a row after which the endpoint gets no new work.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// The state that an endpoint announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
}

/// One announcement of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAnnouncement {
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
pub struct EndpointTracker {
    announcement: Option<EndpointAnnouncement>,
    last_announced: Duration,
    deregistered: bool,
    unreachable: bool,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
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

impl EndpointTracker {
    /// Takes an announcement, unless a newer one is known.
    pub fn apply(&mut self, announcement: EndpointAnnouncement, now: Duration) -> EndpointChange {
        let Some(known) = &self.announcement else {
            return self.replace(announcement, now, EndpointChange::Started);
        };
        if announcement.born_ms < known.born_ms {
            return EndpointChange::Stale;
        }
        if announcement.born_ms > known.born_ms || announcement.id != known.id {
            return self.replace(announcement, now, EndpointChange::Started);
        }
        if self.deregistered || announcement.sequence <= known.sequence {
            return EndpointChange::Stale;
        }
        let change = match (known.state, announcement.state) {
            (EndpointState::Ready, EndpointState::Draining) => EndpointChange::Draining,
            // An incarnation that drains doesn't come back.
            (EndpointState::Draining, EndpointState::Ready) => return EndpointChange::Stale,
            _ if self.unreachable => EndpointChange::Returned,
            _ => EndpointChange::Nothing,
        };
        self.unreachable = false;
        self.announcement = Some(announcement);
        self.last_announced = now;
        change
    }

    /// Takes a farewell; returns whether it concerns the endpoint that is believed to be there.
    pub fn deregister(&mut self, id: &str) -> bool {
        let is_current = self
            .announcement
            .as_ref()
            .is_some_and(|announcement| announcement.id == id);
        self.deregistered |= is_current;
        is_current
    }

    /// Notes that no connection can be made; the next announcement ends this.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// The last announcement, whatever its state.
    pub fn announcement(&self) -> Option<&EndpointAnnouncement> {
        self.announcement.as_ref()
    }

    /// The announcement of an endpoint that may get new work.
    pub fn available(&self, interval: Duration, now: Duration) -> Option<&EndpointAnnouncement> {
        let silent = now.saturating_sub(self.last_announced) > interval * MAX_MISSED_ANNOUNCEMENTS;
        if self.deregistered || self.unreachable || silent {
            return None;
        }
        self.announcement
            .as_ref()
            .filter(|announcement| announcement.state == EndpointState::Ready)
    }

    /// How much longer the endpoint stays slow.
    pub fn cold_remaining(&self, now: Duration) -> Duration {
        match &self.announcement {
            Some(announcement) => announcement
                .cold
                .saturating_sub(now.saturating_sub(self.last_announced)),
            None => Duration::ZERO,
        }
    }

    fn replace(
        &mut self,
        announcement: EndpointAnnouncement,
        now: Duration,
        change: EndpointChange,
    ) -> EndpointChange {
        self.deregistered = false;
        self.unreachable = false;
        self.announcement = Some(announcement);
        self.last_announced = now;
        change
    }
}
