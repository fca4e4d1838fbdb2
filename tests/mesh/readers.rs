//! Choice of the few daemons that read the store for the fleet, and the fallback when they fail.

use std::time::Duration;

use marigoldhatch::decisions::readers::retry_delay;
use marigoldhatch::decisions::readers::should_read;
use marigoldhatch::decisions::readers::stale_age;
use marigoldhatch::decisions::readers::PeerReader;
use marigoldhatch::decisions::readers::ProofLimits;
use rstest::rstest;

const LIMITS: ProofLimits = ProofLimits {
    keys: Duration::from_millis(4400),
    version: Duration::from_secs(2),
};
const RECENT_PROOF: Option<Duration> = Some(Duration::from_millis(900));

/// Returns a fleet in which the daemons at these positions read.
fn fleet(size: u64, reading: &[u64]) -> Vec<PeerReader> {
    let peer = |order| PeerReader {
        order,
        reads: reading.contains(&order),
    };
    (0..size).map(peer).collect()
}

fn reads(order: u64, peers: &[PeerReader], age: Option<Duration>) -> bool {
    let others = peers.iter().filter(|peer| peer.order != order).copied();
    should_read(order, others, age, stale_age(&LIMITS))
}

#[rstest]
#[case::small(2, 2)]
#[case::today(13, 3)]
#[case::grown(90, 3)]
#[case::planned(5000, 3)]
fn fleet_converges_to_a_few_readers(#[case] size: u64, #[case] expected: usize) {
    let mut peers = fleet(size, &(0..size).collect::<Vec<_>>());
    for _ in 0..size.min(10) {
        let readers: Vec<u64> = (0..size)
            .filter(|order| reads(*order, &peers, RECENT_PROOF))
            .collect();
        peers = fleet(size, &readers);
    }
    let readers: Vec<u64> = (0..size)
        .filter(|order| reads(*order, &peers, RECENT_PROOF))
        .collect();
    assert_eq!(readers.len(), expected);
}

#[test]
fn failed_reader_is_replaced_by_the_next_daemon() {
    let peers = fleet(13, &[0, 2]);
    assert!(reads(3, &peers, RECENT_PROOF));
    assert!(
        reads(1, &peers, RECENT_PROOF),
        "the failed reader must retry"
    );
    let replaced = fleet(13, &[0, 2, 3]);
    assert!(!reads(4, &replaced, RECENT_PROOF));
}

#[rstest]
#[case::no_proof(None)]
#[case::readers_that_report_reading_but_do_not(Some(Duration::from_millis(2300)))]
fn missing_or_stale_proof_makes_any_daemon_read(#[case] age: Option<Duration>) {
    assert!(reads(12, &fleet(13, &[0, 1, 2]), age));
}

/// Guards against the fault of issue 23, by which a version that was confirmed right after all readers had
/// lost the store was not in force in time at daemons that reached the store (CONFIG).
#[rstest]
#[case::small(5000, 2000)]
#[case::grown(5000, 2500)]
#[case::quick_versions(5000, 800)]
#[case::quick_withdrawals(1000, 2000)]
fn daemons_read_in_time_for_a_version_that_all_readers_miss(
    #[case] keys_ms: u64,
    #[case] version_ms: u64,
) {
    let limits = ProofLimits {
        keys: Duration::from_millis(keys_ms),
        version: Duration::from_millis(version_ms),
    };
    // The readers report for some time that they read, though their reads have no answer.
    let peers = fleet(13, &[0, 1, 2]);
    let others = || peers.iter().filter(|peer| peer.order != 12).copied();
    let ages = (0..10_000).map(Duration::from_millis);
    let reads_at = ages
        .into_iter()
        .find(|age| should_read(12, others(), Some(*age), stale_age(&limits)))
        .expect("the daemon reads at some age");
    // A read over a new connection takes some round trips to the store and back.
    let read_time = Duration::from_millis(200).min(limits.version / 4);
    assert!(reads_at + read_time <= limits.version, "{reads_at:?}");
    assert!(reads_at <= limits.keys, "{reads_at:?}");
}

#[test]
fn few_daemons_retry_promptly_while_the_store_is_down() {
    // Pattern: the store is down or busy for seconds and every daemon of a large fleet needs it.
    let daemons = 95;
    let mut calls = 0;
    for own in 0..daemons {
        let mut elapsed = Duration::ZERO;
        for failures in 1.. {
            let others = (0..daemons).filter(|other| *other != own);
            elapsed += retry_delay(own, others, failures, 0.5);
            if elapsed > Duration::from_millis(4500) {
                break;
            }
            calls += 1;
        }
    }
    assert!(calls < 600, "{calls} calls in 4.5 s");
    let prompt = retry_delay(3, 0..daemons, 100, 1.0);
    assert!(prompt <= Duration::from_millis(250), "{prompt:?}");
    let alone = retry_delay(80, std::iter::empty(), 100, 1.0);
    assert!(
        alone <= Duration::from_secs(1),
        "a daemon without links: {alone:?}"
    );
}
