//! The gate of an entry that has just started.

use std::time::Duration;

use marigoldhatch::decisions::quota::QuotaRule;
use marigoldhatch::decisions::quota::QuotaTolerance;
use marigoldhatch::mesh::entry::EntryAdmission;

use super::proof::state;

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
fn admitted(admission: &mut EntryAdmission, daemons: usize) -> usize {
    let times = (0..500).map(Duration::from_millis);
    let admitted =
        times.filter(|now| admission.admit_organisation("first", &RULE, &TOLERANCE, daemons, *now));
    admitted.count()
}

#[tokio::test]
async fn before_the_fleet_is_looked_up_a_daemon_does_not_take_itself_for_the_only_one() {
    // 73 daemons that start together must not exceed what is left of the bound in a window: 730.
    let daemons = state().fleet_size();
    assert!(admitted(&mut EntryAdmission::default(), daemons) <= 10);
}

#[test]
fn the_only_daemon_of_a_fleet_gives_the_whole_rate() {
    let admitted = admitted(&mut EntryAdmission::default(), 1);
    assert!(admitted >= 200, "{admitted} in half a second");
}

#[test]
fn a_fleet_that_is_looked_up_while_requests_come_counts_at_once() {
    let mut admission = EntryAdmission::default();
    let now = Duration::from_millis(20);
    assert!(admission.admit_organisation("first", &RULE, &TOLERANCE, 1, now));
    let admitted = admitted(&mut admission, 73);
    assert!(admitted <= 40, "{admitted} in half a second");
}

#[test]
fn the_levels_that_refused_a_request_can_be_told() {
    let mut admission = EntryAdmission::default();
    assert_eq!(admission.quota_levels("first"), None);
    let admitted = admitted(&mut admission, 73);
    assert!(admitted < 500, "some were refused");
    let (_, own) = admission.quota_levels("first").expect("levels");
    assert!(own < 1.0, "{own} left of the own part");
}
