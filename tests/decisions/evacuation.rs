//! Knowledge of the evacuated failure domains.
//!
//! Pattern: three daemons of a fleet read the operator's records and the others hear of them, in any
//! order and with any delay, while the store loses its history, ends pages early or can't be reached.

use marigoldhatch::decisions::evacuation::EvacuationSet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NORTH: u32 = 11;
const SOUTH: u32 = 12;
const SEED: u64 = 20_261_206;

/// Returns a set that includes these records, each with its offset.
fn set_of(records: &[(u32, bool, u64)]) -> EvacuationSet {
    let mut set = EvacuationSet::default();
    for (domain, evacuated, offset) in records {
        set.record(*domain, *evacuated, offset + 1);
    }
    set
}

#[test]
fn evacuation_holds_until_it_is_taken_back() {
    let mut set = set_of(&[(NORTH, true, 4)]);
    assert!(set.contains(NORTH));
    assert!(!set.contains(SOUTH));
    set.record(NORTH, false, 8);
    assert!(set.domains().is_empty());
    assert_eq!(set.position(), 8);
}

#[test]
fn removal_and_new_evacuation_in_one_page_evacuate() {
    let set = set_of(&[(NORTH, true, 4), (NORTH, false, 5), (NORTH, true, 6)]);
    assert_eq!(set.domains(), [NORTH]);
    let set = set_of(&[(NORTH, false, 5), (NORTH, true, 6), (NORTH, false, 7)]);
    assert!(set.domains().is_empty());
}

#[test]
fn late_report_of_a_peer_does_not_bring_an_evacuation_back() {
    let late = set_of(&[(NORTH, true, 4)]);
    let mut set = set_of(&[(NORTH, true, 4), (NORTH, false, 7)]);
    assert!(!set.replace_if_newer(&late));
    assert!(set.domains().is_empty());
    let mut behind = late.clone();
    assert!(behind.replace_if_newer(&set), "the other direction");
    assert!(behind.domains().is_empty());
}

#[test]
fn daemon_that_reads_on_from_an_old_position_keeps_what_a_peer_told_it() {
    let mut set = set_of(&[(SOUTH, true, 2)]);
    let from_peer = set_of(&[(SOUTH, true, 2), (NORTH, true, 4), (SOUTH, false, 9)]);
    assert!(set.replace_if_newer(&from_peer));
    // It read up to offset 3 itself and now reads the rest, in two pages.
    set.record(NORTH, true, 5);
    set.advance(6);
    assert!(!set.contains(SOUTH), "the page ends before the removal");
    set.record(SOUTH, false, 10);
    set.advance(12);
    assert_eq!(set.domains(), [NORTH]);
    assert_eq!(set.position(), 12);
}

#[test]
fn removal_in_deleted_history_takes_effect_with_the_newest_records() {
    let mut set = set_of(&[(NORTH, true, 4)]);
    let newest = EvacuationSet::from_newest(90, [SOUTH]);
    assert!(set.replace_if_newer(&newest));
    assert_eq!(set.domains(), [SOUTH]);
}

/// The pages of the newest records are read one after the other, so a record that was written meanwhile
/// may show in them or not.
#[test]
fn record_written_while_the_newest_ones_are_read_is_applied_again() {
    let mut included = EvacuationSet::from_newest(20, [NORTH, SOUTH]);
    let mut missed = EvacuationSet::from_newest(20, [NORTH]);
    for set in [&mut included, &mut missed] {
        set.record(SOUTH, true, 21);
        set.record(NORTH, false, 22);
        assert_eq!(set.domains(), [SOUTH]);
    }
}

#[test]
fn daemon_that_has_just_started_takes_any_set() {
    let mut set = EvacuationSet::default();
    assert!(!set.replace_if_newer(&EvacuationSet::default()));
    assert!(set.replace_if_newer(&EvacuationSet::from_newest(1, [NORTH])));
    assert!(set.contains(NORTH));
}

#[test]
fn end_of_the_topic_without_a_record_of_an_evacuation_makes_a_set_newer() {
    let mut set = set_of(&[(NORTH, true, 4)]);
    let old = set.clone();
    set.advance(30);
    set.advance(20);
    assert_eq!(set.position(), 30);
    assert!(!set.replace_if_newer(&old));
    assert!(set.contains(NORTH));
}

/// Returns what the records before `end` say, read from the first one on.
fn truth(records: &[(u32, bool)], end: usize) -> EvacuationSet {
    let mut set = EvacuationSet::default();
    for (offset, (domain, evacuated)) in records[..end].iter().enumerate() {
        set.record(*domain, *evacuated, offset as u64 + 1);
    }
    set
}

fn sorted(set: &EvacuationSet) -> Vec<u32> {
    let mut domains = set.domains().to_vec();
    domains.sort_unstable();
    domains
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// Daemons read pages of any length, start again with the newest records, or hear from each other,
    /// in any order: each one's set is what the records before its position say.
    #[test]
    fn set_is_always_what_the_records_before_its_position_say(
        records in prop::collection::vec((0_u32..3, any::<bool>()), 1..24),
        steps in prop::collection::vec((0_usize..4, 0_usize..4, 0_u8..3, 0_usize..8), 1..60),
    ) {
        let mut daemons = vec![(EvacuationSet::default(), 0_usize); 4];
        for (own, other, kind, length) in steps {
            match kind {
                0 => {
                    let (set, next) = &mut daemons[own];
                    let end = (*next + length).min(records.len());
                    for (offset, (domain, evacuated)) in records.iter().enumerate().take(end).skip(*next) {
                        set.record(*domain, *evacuated, offset as u64 + 1);
                    }
                    *next = end;
                    set.advance(end as u64);
                }
                1 => {
                    let told = daemons[other].0.clone();
                    daemons[own].0.replace_if_newer(&told);
                }
                _ => {
                    // The history is gone; the newest records are read as of a later end.
                    let (set, next) = &mut daemons[own];
                    let end = (*next + length).min(records.len());
                    let newest = sorted(&truth(&records, end));
                    set.replace_if_newer(&EvacuationSet::from_newest(end as u64, newest));
                    *next = end;
                }
            }
            let set = &daemons[own].0;
            prop_assert_eq!(sorted(set), sorted(&truth(&records, set.position() as usize)));
        }
    }
}
