//! Announcements that arrive late, from another incarnation or after a deregistration.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::decisions::announcement::BeliefChange;
use marigoldhatch::decisions::announcement::EndpointBeat;
use marigoldhatch::decisions::announcement::EndpointBelief;
use marigoldhatch::decisions::announcement::EndpointState;

const INTERVAL: Duration = Duration::from_millis(1500);

fn beat(id: &str, born_ms: u64, sequence: u64) -> EndpointBeat {
    EndpointBeat {
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

fn draining(id: &str, born_ms: u64, sequence: u64) -> EndpointBeat {
    EndpointBeat {
        state: EndpointState::Draining,
        ..beat(id, born_ms, sequence)
    }
}

#[test]
fn draining_endpoint_is_not_available() {
    let mut belief = EndpointBelief::default();
    let now = Duration::from_secs(1);
    assert_eq!(belief.hear(beat("a", 10, 1), now), BeliefChange::Started);
    assert!(belief.usable(INTERVAL, now).is_some());
    assert_eq!(
        belief.hear(draining("a", 10, 2), now),
        BeliefChange::Draining
    );
    assert!(belief.usable(INTERVAL, now).is_none());
    assert_eq!(belief.hear(beat("a", 10, 1), now), BeliefChange::Stale);
    assert_eq!(belief.hear(beat("a", 10, 3), now), BeliefChange::Stale);
    assert!(belief.usable(INTERVAL, now).is_none());
}

#[test]
fn late_announcement_of_an_earlier_incarnation_is_stale() {
    let mut belief = EndpointBelief::default();
    let now = Duration::from_secs(1);
    belief.hear(beat("new", 20, 1), now);
    assert_eq!(belief.hear(beat("old", 10, 9), now), BeliefChange::Stale);
    assert_eq!(
        belief.usable(INTERVAL, now).map(|one| one.id.as_str()),
        Some("new")
    );
}

#[test]
fn restarted_endpoint_with_the_same_id_is_a_new_incarnation() {
    let mut belief = EndpointBelief::default();
    let now = Duration::from_secs(1);
    belief.hear(beat("a", 10, 40), now);
    belief.leave("a");
    assert!(belief.usable(INTERVAL, now).is_none());
    assert_eq!(belief.hear(beat("a", 11, 1), now), BeliefChange::Started);
    assert!(belief.usable(INTERVAL, now).is_some());
}

#[test]
fn deregistration_of_another_id_is_ignored() {
    let mut belief = EndpointBelief::default();
    belief.hear(beat("new", 20, 1), Duration::from_secs(1));
    assert!(!belief.leave("old"));
    assert!(belief.usable(INTERVAL, Duration::from_secs(1)).is_some());
}

#[test]
fn next_announcement_restores_a_silent_or_unreachable_endpoint() {
    let mut belief = EndpointBelief::default();
    belief.hear(beat("a", 10, 1), Duration::from_secs(1));
    let late = Duration::from_secs(6);
    assert!(belief.usable(INTERVAL, late).is_none());
    assert_eq!(belief.hear(beat("a", 10, 2), late), BeliefChange::Nothing);
    assert!(belief.usable(INTERVAL, late).is_some());
    belief.mark_unreachable();
    assert!(belief.usable(INTERVAL, late).is_none());
    assert_eq!(belief.hear(beat("a", 10, 3), late), BeliefChange::Returned);
    assert!(belief.usable(INTERVAL, late).is_some());
}
