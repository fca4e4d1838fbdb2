//! A few daemons read the store for all, and nobody depends on them for long.

use std::time::Duration;

use marigoldhatch::decisions::readers::should_read;
use marigoldhatch::decisions::readers::PeerReader;
use rstest::rstest;

const LIMIT: Duration = Duration::from_millis(4400);
const YOUNG: Option<Duration> = Some(Duration::from_millis(900));

/// A fleet in which the daemons at these places read.
fn fleet(size: u64, reading: &[u64]) -> Vec<PeerReader> {
    let peer = |order| PeerReader {
        order,
        reads: reading.contains(&order),
    };
    (0..size).map(peer).collect()
}

fn reads(order: u64, peers: &[PeerReader], age: Option<Duration>) -> bool {
    let others = peers.iter().filter(|one| one.order != order).copied();
    should_read(order, others, age, LIMIT)
}

#[rstest]
#[case::small(2, 2)]
#[case::today(13, 3)]
#[case::grown(90, 3)]
#[case::planned(5000, 3)]
fn a_fleet_settles_on_a_few_readers(#[case] size: u64, #[case] expected: usize) {
    let mut peers = fleet(size, &(0..size).collect::<Vec<_>>());
    for _ in 0..size.min(10) {
        let next: Vec<u64> = (0..size).filter(|one| reads(*one, &peers, YOUNG)).collect();
        peers = fleet(size, &next);
    }
    let reading: Vec<u64> = (0..size).filter(|one| reads(*one, &peers, YOUNG)).collect();
    assert_eq!(reading.len(), expected);
}

#[test]
fn a_reader_that_is_turned_away_is_replaced_by_the_next() {
    let peers = fleet(13, &[0, 2]);
    assert!(reads(3, &peers, YOUNG));
    assert!(reads(1, &peers, YOUNG), "it goes on trying");
    let replaced = fleet(13, &[0, 2, 3]);
    assert!(!reads(4, &replaced, YOUNG));
}

#[rstest]
#[case::nothing_proven(None)]
#[case::readers_that_say_so_and_do_not(Some(Duration::from_millis(2300)))]
fn an_old_proof_makes_any_daemon_read(#[case] age: Option<Duration>) {
    assert!(reads(12, &fleet(13, &[0, 1, 2]), age));
}
