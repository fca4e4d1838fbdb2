//! Announcements that arrive late, from another incarnation or after a deregistration.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointChange;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::announcement::EndpointStatus;
use marigoldhatch::decisions::announcement::EndpointTracker;
use rstest::rstest;

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
    tracker.deregister("a", None, 50, now);
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
    assert!(!tracker.deregister("old", None, 50, Duration::from_secs(1)));
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

/// Guards against the fault of review/4, by which the deregistration of an endpoint that had not announced
/// itself to this process was acknowledged and forgotten, so that a late announcement made it available (DRAIN).
#[rstest]
#[case::nothing_is_known(None, None)]
#[case::birth_is_named(None, Some(10))]
#[case::another_endpoint_is_known(Some(ready("other", 5, 1)), None)]
#[case::an_earlier_incarnation_is_known(Some(ready("a", 5, 1)), Some(10))]
fn late_announcement_of_a_deregistered_endpoint_is_stale(
    #[case] known: Option<EndpointAnnouncement>,
    #[case] born_ms: Option<u64>,
) {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    if let Some(announcement) = known {
        tracker.apply(announcement, now);
    }
    tracker.deregister("a", born_ms, 50, now);
    let late = now + Duration::from_secs(8);
    for sequence in [7, 8] {
        let change = tracker.apply(ready("a", 10, sequence), late);
        assert_eq!(change, EndpointChange::Stale);
    }
    let available = tracker.available(INTERVAL, late);
    assert_ne!(available.map(|endpoint| &*endpoint.id), Some("a"));
    let change = tracker.apply(ready("a", 51, 1), late);
    assert_eq!(
        change,
        EndpointChange::Started,
        "a later incarnation is used"
    );
    assert!(tracker.available(INTERVAL, late).is_some());
}

#[test]
fn late_deregistration_of_an_earlier_incarnation_leaves_the_current_one() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    tracker.apply(ready("a", 20, 1), now);
    assert!(!tracker.deregister("a", Some(10), 50, now));
    assert!(tracker.available(INTERVAL, now).is_some());
    assert_eq!(
        tracker.apply(ready("a", 20, 2), now),
        EndpointChange::Nothing
    );
}

#[test]
fn departed_endpoints_take_bounded_memory() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    for number in 0..100 {
        tracker.deregister(&format!("a-{number}"), None, 50, now);
    }
    let last = tracker.apply(ready("a-99", 10, 1), now);
    assert_eq!(last, EndpointChange::Stale);
    let much_later = now + Duration::from_secs(61);
    let returned = tracker.apply(ready("a-98", 10, 1), much_later);
    assert_eq!(returned, EndpointChange::Started);
}

/// Guards against a drain that is acknowledged and not kept, as a later announcement arrived first (DRAIN).
#[test]
fn drain_that_arrives_late_holds() {
    let mut tracker = EndpointTracker::default();
    let now = Duration::from_secs(1);
    tracker.apply(ready("a", 10, 5), now);
    assert_eq!(
        tracker.apply(draining("a", 10, 4), now),
        EndpointChange::Draining
    );
    assert_eq!(tracker.apply(ready("a", 10, 6), now), EndpointChange::Stale);
    assert!(tracker.available(INTERVAL, now).is_none());
}

fn restarted(endpoint: EndpointAnnouncement, now: Duration) -> EndpointTracker {
    let mut tracker = EndpointTracker::from_start(50);
    assert_eq!(tracker.apply(endpoint, now), EndpointChange::Started);
    tracker
}

#[test]
fn endpoint_younger_than_the_daemon_needs_no_status_check() {
    let now = Duration::from_secs(1);
    let tracker = restarted(ready("a", 51, 1), now);
    assert!(tracker.unchecked().is_none());
    assert!(tracker.available(INTERVAL, now).is_some());
}

#[rstest]
#[case::serving(EndpointStatus::Serving, true, true)]
#[case::unavailable(EndpointStatus::Unavailable, false, false)]
#[case::unknown(EndpointStatus::Unknown, false, true)]
fn endpoint_older_than_the_daemon_is_available_after_a_status_check(
    #[case] status: EndpointStatus,
    #[case] at_once: bool,
    #[case] with_next_announcement: bool,
) {
    let now = Duration::from_secs(1);
    let mut tracker = restarted(ready("a", 10, 4), now);
    assert!(tracker.available(INTERVAL, now).is_none());
    assert_eq!(tracker.record_status(&ready("a", 10, 4), status), at_once);
    assert_eq!(tracker.available(INTERVAL, now).is_some(), at_once);
    tracker.apply(ready("a", 10, 5), now);
    let available = tracker.available(INTERVAL, now).is_some();
    assert_eq!(available, with_next_announcement);
    assert_eq!(tracker.unchecked().is_some(), !with_next_announcement);
}

#[test]
fn status_check_that_an_announcement_overtakes_counts_with_it() {
    let now = Duration::from_secs(1);
    let mut tracker = restarted(ready("a", 10, 4), now);
    tracker.apply(ready("a", 10, 5), now);
    assert!(tracker.record_status(&ready("a", 10, 4), EndpointStatus::Unknown));
}

#[rstest]
#[case::drained(draining("a", 10, 5))]
#[case::replaced(ready("b", 60, 1))]
fn late_status_check_changes_nothing(#[case] next: EndpointAnnouncement) {
    let now = Duration::from_secs(1);
    let mut tracker = restarted(ready("a", 10, 4), now);
    tracker.apply(next, now);
    let before = tracker.available(INTERVAL, now).cloned();
    assert!(!tracker.record_status(&ready("a", 10, 4), EndpointStatus::Serving));
    assert_eq!(tracker.available(INTERVAL, now), before.as_ref());
}
