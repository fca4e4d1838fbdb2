//! Announcements that arrive late, from another incarnation or after a deregistration.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointChange;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::announcement::EndpointTracker;

const INTERVAL: Duration = Duration::from_millis(1500);

fn ready(id: &str, born_ms: u64, sequence: u64) -> EndpointAnnouncement {
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
        ..ready(id, born_ms, sequence)
    }
}

#[test]
fn draining_endpoint_is_not_available() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    assert_eq!(
        tracker.apply(ready("a", 10, 1), now),
        EndpointChange::Started
    );
    assert!(tracker.available(INTERVAL, now).is_some());
    assert_eq!(
        tracker.apply(draining("a", 10, 2), now),
        EndpointChange::Draining
    );
    assert!(tracker.available(INTERVAL, now).is_none());
    assert_eq!(tracker.apply(ready("a", 10, 1), now), EndpointChange::Stale);
    assert_eq!(tracker.apply(ready("a", 10, 3), now), EndpointChange::Stale);
    assert!(tracker.available(INTERVAL, now).is_none());
}

#[test]
fn late_announcement_of_an_earlier_incarnation_is_stale() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    tracker.apply(ready("new", 20, 1), now);
    assert_eq!(
        tracker.apply(ready("old", 10, 9), now),
        EndpointChange::Stale
    );
    assert_eq!(
        tracker
            .available(INTERVAL, now)
            .map(|endpoint| endpoint.id.as_str()),
        Some("new")
    );
}

#[test]
fn restarted_endpoint_with_the_same_id_is_a_new_incarnation() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    tracker.apply(ready("a", 10, 40), now);
    tracker.deregister("a");
    assert!(tracker.available(INTERVAL, now).is_none());
    assert_eq!(
        tracker.apply(ready("a", 11, 1), now),
        EndpointChange::Started
    );
    assert!(tracker.available(INTERVAL, now).is_some());
}

#[test]
fn deregistration_of_another_id_is_ignored() {
    let mut tracker = EndpointTracker::default();
    tracker.apply(ready("new", 20, 1), Duration::from_secs(1));
    assert!(!tracker.deregister("old"));
    assert!(tracker
        .available(INTERVAL, Duration::from_secs(1))
        .is_some());
}

#[test]
fn next_announcement_restores_a_silent_or_unreachable_endpoint() {
    let mut tracker = EndpointTracker::default();
    tracker.apply(ready("a", 10, 1), Duration::from_secs(1));
    let late = Duration::from_secs(6);
    assert!(tracker.available(INTERVAL, late).is_none());
    assert_eq!(
        tracker.apply(ready("a", 10, 2), late),
        EndpointChange::Nothing
    );
    assert!(tracker.available(INTERVAL, late).is_some());
    tracker.mark_unreachable();
    assert!(tracker.available(INTERVAL, late).is_none());
    assert_eq!(
        tracker.apply(ready("a", 10, 3), late),
        EndpointChange::Returned
    );
    assert!(tracker.available(INTERVAL, late).is_some());
}
