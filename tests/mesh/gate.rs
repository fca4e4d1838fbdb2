//! The gate of an entry that has just started.

use std::time::Duration;

use marigoldhatch::decisions::quota::QuotaRule;
use marigoldhatch::decisions::quota::QuotaTolerance;
use marigoldhatch::mesh::entry::EntryGate;

const RULE: QuotaRule = QuotaRule {
    rate: 444.0,
    burst: 444.0,
};
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// Requests admitted while far more than the rate comes for half a second from the start on.
fn admitted(gate: &mut EntryGate) -> usize {
    let times = (0..500).map(Duration::from_millis);
    let admitted = times.filter(|now| gate.admit_organisation("first", &RULE, &TOLERANCE, *now));
    admitted.count()
}

#[test]
fn before_the_fleet_is_looked_up_a_daemon_does_not_take_itself_for_the_only_one() {
    // 73 daemons that start together must not exceed what is left of the bound in a window: 730.
    assert!(admitted(&mut EntryGate::default()) <= 10);
}

#[test]
fn the_only_daemon_of_a_fleet_gives_the_whole_rate() {
    let mut gate = EntryGate::default();
    gate.set_fleet_size(1);
    let admitted = admitted(&mut gate);
    assert!(admitted >= 200, "{admitted} in half a second");
}

#[test]
fn a_fleet_that_is_looked_up_while_requests_come_counts_at_once() {
    let mut gate = EntryGate::default();
    gate.set_fleet_size(1);
    assert!(gate.admit_organisation("first", &RULE, &TOLERANCE, Duration::from_millis(20)));
    gate.set_fleet_size(73);
    let admitted = admitted(&mut gate);
    assert!(admitted <= 40, "{admitted} in half a second");
}
