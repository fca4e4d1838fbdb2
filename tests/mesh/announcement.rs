//! Announcements that come late, from another incarnation or after a farewell.

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
fn a_draining_endpoint_gets_no_new_work() {
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
fn a_late_announcement_of_a_crashed_incarnation_changes_nothing() {
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
fn a_restart_under_the_same_id_counts_anew() {
    let mut belief = EndpointTracker::default();
    let now = Duration::from_secs(1);
    belief.apply(beat("a", 10, 40), now);
    belief.deregister("a");
    assert!(belief.available(INTERVAL, now).is_none());
    assert_eq!(belief.apply(beat("a", 11, 1), now), EndpointChange::Started);
    assert!(belief.available(INTERVAL, now).is_some());
}

#[test]
fn a_farewell_of_another_id_is_passed_over() {
    let mut belief = EndpointTracker::default();
    belief.apply(beat("new", 20, 1), Duration::from_secs(1));
    assert!(!belief.deregister("old"));
    assert!(belief.available(INTERVAL, Duration::from_secs(1)).is_some());
}

#[test]
fn silence_and_lost_connections_end_with_the_next_announcement() {
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
