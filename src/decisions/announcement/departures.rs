//! Remembers the endpoints that have deregistered, whose announcements may still arrive.

use std::time::Duration;

use smallvec::SmallVec;

use super::EndpointAnnouncement;

/// Time after a deregistration in which an announcement of before may still arrive.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of departures that are remembered; a VM has one endpoint at a time.
const MAX_DEPARTURES: usize = 32;

#[derive(Debug)]
struct EndpointDeparture {
    id: String,
    /// Latest start of an incarnation that has left, in Unix milliseconds.
    last_born_ms: u64,
    at: Duration,
}

/// Endpoints that have deregistered within the last minute.
#[derive(Debug, Default)]
pub struct DepartureList {
    departures: SmallVec<[EndpointDeparture; 2]>,
}

impl DepartureList {
    /// Adds the incarnations of an endpoint that have started up to `last_born_ms`.
    pub fn add(&mut self, id: &str, last_born_ms: u64, now: Duration) {
        let is_recent =
            |departure: &EndpointDeparture| now.saturating_sub(departure.at) < DEPARTURE_RETENTION;
        self.departures.retain(|departure| is_recent(departure));
        if self.departures.len() >= MAX_DEPARTURES {
            self.departures.remove(0);
        }
        self.departures.push(EndpointDeparture {
            id: id.to_owned(),
            last_born_ms,
            at: now,
        });
    }

    /// Returns true if the endpoint of this announcement has deregistered.
    pub fn contains(&self, announcement: &EndpointAnnouncement, now: Duration) -> bool {
        self.departures.iter().any(|departure| {
            departure.id == announcement.id
                && announcement.born_ms <= departure.last_born_ms
                && now.saturating_sub(departure.at) < DEPARTURE_RETENTION
        })
    }
}
