//! Announcements that arrive late, from another incarnation or after a deregistration.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointChange;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::announcement::EndpointTracker;

const INTERVAL: Duration = Duration::from_millis(1500);

fn beat(id: &str, born_ms: u64, sequence: u64) -> EndpointAnnouncement {
    EndpointAnnouncement {
        id: id.to_owned(),
        service: "archive".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        slots: 4,
        state: EndpointState::Ready,
        sequence,
        born_ms,
        cold: Duration::ZERO,
    }
}

fn draining(id: &str, born_ms: u64, sequence: u64) -> EndpointAnnouncement {
    EndpointAnnouncement {
        state: EndpointState::Draining,
        ..beat(id, born_ms, sequence)
    }
}

#[test]
fn draining_endpoint_is_not_available() {
    let mut belief = EndpointTracker::default();
    let now = Duration::from_secs(1);
    assert_eq!(belief.apply(beat("a", 10, 1), now), EndpointChange::Started);
    assert!(belief.available(INTERVAL, now).is_some());
    assert_eq!(
        belief.apply(draining("a", 10, 2), now),
        EndpointChange::Draining
    );
    assert!(belief.available(INTERVAL, now).is_none());
    assert_eq!(belief.apply(beat("a", 10, 1), now), EndpointChange::Stale);
    assert_eq!(belief.apply(beat("a", 10, 3), now), EndpointChange::Stale);
    assert!(belief.available(INTERVAL, now).is_none());
}

#[test]
fn late_announcement_of_an_earlier_incarnation_is_stale() {
    let mut belief = EndpointTracker::default();
    let now = Duration::from_secs(1);
    belief.apply(beat("new", 20, 1), now);
    assert_eq!(belief.apply(beat("old", 10, 9), now), EndpointChange::Stale);
    assert_eq!(
        belief.available(INTERVAL, now).map(|one| one.id.as_str()),
        Some("new")
    );
}

#[test]
fn restarted_endpoint_with_the_same_id_is_a_new_incarnation() {
    let mut belief = EndpointTracker::default();
    let now = Duration::from_secs(1);
    belief.apply(beat("a", 10, 40), now);
    belief.deregister("a");
    assert!(belief.available(INTERVAL, now).is_none());
    assert_eq!(belief.apply(beat("a", 11, 1), now), EndpointChange::Started);
    assert!(belief.available(INTERVAL, now).is_some());
}

#[test]
fn deregistration_of_another_id_is_ignored() {
    let mut belief = EndpointTracker::default();
    belief.apply(beat("new", 20, 1), Duration::from_secs(1));
    assert!(!belief.deregister("old"));
    assert!(belief.available(INTERVAL, Duration::from_secs(1)).is_some());
}

#[test]
fn next_announcement_restores_a_silent_or_unreachable_endpoint() {
    let mut belief = EndpointTracker::default();
    belief.apply(beat("a", 10, 1), Duration::from_secs(1));
    let late = Duration::from_secs(6);
    assert!(belief.available(INTERVAL, late).is_none());
    assert_eq!(
        belief.apply(beat("a", 10, 2), late),
        EndpointChange::Nothing
    );
    assert!(belief.available(INTERVAL, late).is_some());
    belief.mark_unreachable();
    assert!(belief.available(INTERVAL, late).is_none());
    assert_eq!(
        belief.apply(beat("a", 10, 3), late),
        EndpointChange::Returned
    );
    assert!(belief.available(INTERVAL, late).is_some());
}
