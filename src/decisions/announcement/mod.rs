//! Tracks the state of the endpoint beside a daemon by its announcements.
//!
//! Announcements may arrive late, from an earlier incarnation, or with a reused identifier. See
//! `docs/incidents/forgotten-departure.md`.

mod departures;

use std::time::Duration;

use departures::DepartureList;

/// Number of consecutive missed announcements after which the endpoint receives no new calls.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// State announced by an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
}

/// Announcement of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAnnouncement {
    pub id: String,
    pub service: String,
    pub address: std::net::SocketAddrV4,
    pub slots: u32,
    pub state: EndpointState,
    /// Sequence number among the announcements of one incarnation.
    pub sequence: u64,
    /// Start of the incarnation in Unix milliseconds.
    pub born_ms: u64,
    /// Remaining time for which the endpoint is slow after its start.
    pub cold: Duration,
}

impl EndpointAnnouncement {
    /// Returns true if both announcements come from the same incarnation of an endpoint.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms
    }
}

/// What an endpoint says of itself in a status check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It serves requests and doesn't leave.
    Serving,
    /// It leaves or fails, or another endpoint has its address.
    Unavailable,
    /// It gave no answer that tells.
    Unknown,
}

/// Whether an endpoint is known not to have left before this daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum EndpointConfirmation {
    #[default]
    Confirmed,
    /// A status check is due.
    Unchecked,
    /// The status check told nothing; the next announcement counts.
    Unknown,
}

/// State of the endpoint beside a daemon, derived from its announcements.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    /// Start of the daemon in Unix milliseconds.
    started_ms: u64,
    confirmation: EndpointConfirmation,
    announcement: Option<EndpointAnnouncement>,
    last_announced: Duration,
    /// True if the announced endpoint has deregistered.
    deregistered: bool,
    /// Endpoints that have deregistered, announced or not.
    departures: DepartureList,
    unreachable: bool,
    /// True once a response has said that the endpoint leaves.
    leaving: bool,
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// A new incarnation has started.
    Started,
    /// The endpoint has started to drain.
    Draining,
    /// The endpoint is reachable again.
    Returned,
    /// The announcement changed nothing that affects calls.
    Nothing,
    /// The announcement is older than the current state and was ignored.
    Stale,
}

impl EndpointTracker {
    /// Creates a tracker in a daemon that started at `started_ms`, in Unix milliseconds.
    ///
    /// An earlier process of the daemon may have acknowledged that an endpoint leaves which is older than
    /// that, so such an endpoint is available only after [`Self::record_status`].
    pub fn from_start(started_ms: u64) -> Self {
        Self {
            started_ms,
            ..Self::default()
        }
    }

    /// Applies an announcement, unless a newer one is known or the endpoint has deregistered.
    pub fn apply(&mut self, announcement: EndpointAnnouncement, now: Duration) -> EndpointChange {
        if self.departures.contains(&announcement, now) {
            return EndpointChange::Stale;
        }
        let Some(known) = &self.announcement else {
            return self.replace(announcement, now, EndpointChange::Started);
        };
        if announcement.born_ms < known.born_ms {
            return EndpointChange::Stale;
        }
        if !announcement.is_same_incarnation(known) {
            return self.replace(announcement, now, EndpointChange::Started);
        }
        let drains =
            (known.state, announcement.state) == (EndpointState::Ready, EndpointState::Draining);
        // A drain holds for the incarnation, so one that arrives late holds too.
        if announcement.sequence <= known.sequence && !drains {
            return EndpointChange::Stale;
        }
        let change = match (known.state, announcement.state) {
            _ if drains => EndpointChange::Draining,
            // A draining incarnation never becomes ready again.
            (EndpointState::Draining, EndpointState::Ready) => return EndpointChange::Stale,
            _ if self.unreachable => EndpointChange::Returned,
            _ if self.confirmation == EndpointConfirmation::Unknown => EndpointChange::Returned,
            _ => EndpointChange::Nothing,
        };
        if self.confirmation == EndpointConfirmation::Unknown {
            self.confirmation = EndpointConfirmation::Confirmed;
        }
        self.unreachable = false;
        self.announcement = Some(announcement);
        self.last_announced = now;
        change
    }

    /// Deregisters an endpoint, which may be one that is not announced yet; returns true if it is the
    /// current one.
    ///
    /// `born_ms` is the start of the incarnation, if the endpoint names it, and `wall_ms` the current
    /// time, both in Unix milliseconds.
    pub fn deregister(
        &mut self,
        id: &str,
        born_ms: Option<u64>,
        wall_ms: u64,
        now: Duration,
    ) -> bool {
        let known = self.announcement.as_ref();
        let known = known.filter(|known| known.id == id);
        // Of the endpoints with this identifier, all that have started up to now have left.
        let last_born_ms = born_ms.or(known.map(|known| known.born_ms));
        let last_born_ms = last_born_ms.unwrap_or(wall_ms);
        let is_current = known.is_some_and(|known| known.born_ms <= last_born_ms);
        self.departures.add(id, last_born_ms, now);
        self.deregistered |= is_current;
        is_current
    }

    /// Returns the last announcement if a status check must tell whether the endpoint has left before this
    /// daemon started.
    pub fn unchecked(&self) -> Option<&EndpointAnnouncement> {
        let is_due = self.confirmation == EndpointConfirmation::Unchecked
            && !self.deregistered
            && !self.leaving;
        let announcement = self.announcement.as_ref().filter(|_| is_due)?;
        (announcement.state == EndpointState::Ready).then_some(announcement)
    }

    /// Records the result of a status check of the endpoint that made the announcement `checked`; returns
    /// true if it is confirmed now.
    ///
    /// An endpoint of which a check told nothing is confirmed by its next announcement, as one that
    /// has left makes none.
    pub fn record_status(
        &mut self,
        checked: &EndpointAnnouncement,
        status: EndpointStatus,
    ) -> bool {
        let Some(known) = self.unchecked() else {
            return false;
        };
        if !known.is_same_incarnation(checked) {
            return false;
        }
        let announced_since = known.sequence > checked.sequence;
        self.confirmation = match status {
            EndpointStatus::Serving => EndpointConfirmation::Confirmed,
            EndpointStatus::Unavailable => EndpointConfirmation::Unchecked,
            EndpointStatus::Unknown if announced_since => EndpointConfirmation::Confirmed,
            EndpointStatus::Unknown => EndpointConfirmation::Unknown,
        };
        self.confirmation == EndpointConfirmation::Confirmed
    }

    /// Records a response that says that the endpoint leaves; returns true if that is new. Like a drain,
    /// it holds for the incarnation.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Marks the endpoint as unreachable until its next announcement.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Returns the last announcement, regardless of its state.
    pub fn announcement(&self) -> Option<&EndpointAnnouncement> {
        self.announcement.as_ref()
    }

    /// Returns the last announcement if the endpoint may receive new calls.
    pub fn available(&self, interval: Duration, now: Duration) -> Option<&EndpointAnnouncement> {
        let silent = now.saturating_sub(self.last_announced) > interval * MAX_MISSED_ANNOUNCEMENTS;
        let confirmed = self.confirmation == EndpointConfirmation::Confirmed;
        if self.deregistered || self.unreachable || self.leaving || silent || !confirmed {
            return None;
        }
        self.announcement
            .as_ref()
            .filter(|announcement| announcement.state == EndpointState::Ready)
    }

    /// Returns the remaining time for which the endpoint is slow after its start.
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
        self.leaving = false;
        self.confirmation = if announcement.born_ms < self.started_ms {
            EndpointConfirmation::Unchecked
        } else {
            EndpointConfirmation::Confirmed
        };
        self.announcement = Some(announcement);
        self.last_announced = now;
        change
    }
}
