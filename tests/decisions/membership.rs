//! Tests of failure detection: refuted suspicions, restarted daemons and network partitions.

use std::time::Duration;

use marigoldhatch::decisions::membership::MemberTable;
use marigoldhatch::decisions::membership::ReachabilityWindow;
use marigoldhatch::decisions::membership::SUSPICION_TIMEOUT;
use marigoldhatch::wire::MemberRecord;
use marigoldhatch::wire::MemberRumour;
use marigoldhatch::wire::MemberState;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use uuid::Uuid;

fn member(id: u128, vm: &str) -> MemberRecord {
    MemberRecord {
        incarnation: Uuid::from_u128(id),
        vm: vm.to_string(),
        failure_domain: "d".to_string(),
        region: "r".to_string(),
        traffic_address: String::new(),
        peer_address: format!("peer-{id}"),
        service: "s".to_string(),
        slots: 1,
        draining: false,
        stopping: false,
        revision: 0,
    }
}

fn state_of(table: &MemberTable, id: u128) -> Option<MemberState> {
    table.member(Uuid::from_u128(id)).map(|view| view.state)
}

#[test]
fn suspect_that_responds_stays_alive_and_silent_one_is_declared_dead() {
    let mut table = MemberTable::from_own(member(1, "a"));
    let now = Duration::from_secs(1);
    table.apply_record(now, &member(2, "b"));
    table.apply_record(now, &member(3, "c"));
    table.suspect(now, Uuid::from_u128(2));
    table.suspect(now, Uuid::from_u128(3));
    table.confirm_alive(now, &member(2, "b"));
    let died = table.tick(now + SUSPICION_TIMEOUT);
    assert_eq!(died.as_slice(), [Uuid::from_u128(3)]);
    assert_eq!(state_of(&table, 2), Some(MemberState::Alive));
    assert_eq!(state_of(&table, 3), Some(MemberState::Dead));
    assert_eq!(table.live().len(), 2);
}

#[test]
fn daemon_refutes_a_suspicion_of_itself() {
    let mut table = MemberTable::from_own(member(1, "a"));
    let rumour = MemberRumour {
        member: member(1, "a"),
        state: MemberState::Suspect,
    };
    assert!(table.apply_rumour(Duration::ZERO, &rumour));
    assert_eq!(table.own().revision, 1);
}

#[test]
fn later_incarnation_on_a_vm_supersedes_the_earlier_one() {
    let mut table = MemberTable::from_own(member(1, "a"));
    table.apply_record(Duration::ZERO, &member(2, "b"));
    table.apply_record(Duration::from_secs(1), &member(7, "b"));
    assert_eq!(state_of(&table, 2), Some(MemberState::Dead));
    assert_eq!(state_of(&table, 7), Some(MemberState::Alive));
    let old = MemberRumour {
        member: member(2, "b"),
        state: MemberState::Alive,
    };
    assert!(
        !table.apply_rumour(Duration::from_secs(2), &old),
        "an old rumour must not revive a superseded incarnation"
    );
}

#[test]
fn every_member_is_pinged_once_in_each_round() {
    let mut table = MemberTable::from_own(member(1, "a"));
    for id in 2..12 {
        table.apply_record(Duration::ZERO, &member(id, &id.to_string()));
    }
    let mut rng = SmallRng::seed_from_u64(5);
    let mut pinged: Vec<Uuid> = (0..10)
        .filter_map(|_| table.next_probe(&mut rng))
        .map(|target| target.incarnation)
        .collect();
    pinged.sort_unstable();
    pinged.dedup();
    assert_eq!(pinged.len(), 10);
}

#[test]
fn daemon_is_cut_off_only_if_the_log_is_stale_and_most_pings_fail() {
    let stale = Duration::from_secs(10);
    let fresh = Duration::from_secs(1);
    let mut window = ReachabilityWindow::default();
    assert!(
        !window.is_cut_off(stale),
        "a daemon without peers is the whole fleet"
    );
    (0..6).for_each(|_| window.record(true));
    assert!(
        !window.is_cut_off(stale),
        "an outage of the log alone is no partition"
    );
    (0..4).for_each(|_| window.record(false));
    assert!(window.is_cut_off(stale));
    assert!(
        !window.is_cut_off(fresh),
        "withdrawals are still read from the log"
    );
}
