//! Tests that the deduplication table never lets a request run twice.

use std::collections::BTreeMap;

use marigoldhatch::decisions::ownership::DedupStatus;
use marigoldhatch::decisions::ownership::DedupTable;
use marigoldhatch::decisions::ownership::RequestId;
use proptest::prelude::*;
use uuid::Uuid;

fn id(key: u128) -> RequestId {
    RequestId {
        organisation: "org".to_string(),
        key: Uuid::from_u128(key),
    }
}

proptest! {
    #[test]
    fn request_starts_again_only_if_it_did_not_run(
        steps in prop::collection::vec((0_u128..20, 0_u64..50, 0_u8..4), 1..200),
    ) {
        let mut table: DedupTable<u32> = DedupTable::from_bounds(500, 6, 40);
        let mut started: BTreeMap<u128, bool> = BTreeMap::new();
        let mut now_ms = 10_000;
        for (key, gap, end) in steps {
            now_ms += gap;
            let birth_ms = 10_000 + key as u64 * 37;
            if table.begin(now_ms, &id(key), birth_ms, [0; 32]) == DedupStatus::New {
                let ran = started.insert(key, end != 0).unwrap_or(false);
                prop_assert!(!ran, "request {} started again after it had run", key);
                match end {
                    0 => table.record_not_run(&id(key)),
                    1 => table.record_unknown(&id(key)),
                    2 => table.record_completed(&id(key), 7, 15),
                    _ => {}
                }
            }
            prop_assert!(table.len() <= 6);
        }
    }
}

#[test]
fn retry_receives_the_recorded_status() {
    let mut table: DedupTable<&str> = DedupTable::from_bounds(60_000, 100, 10);
    let fingerprint = [1; 32];
    assert_eq!(
        table.begin(1_000, &id(1), 1_000, fingerprint),
        DedupStatus::New
    );
    assert_eq!(
        table.begin(1_000, &id(1), 1_000, fingerprint),
        DedupStatus::InProgress
    );
    assert_eq!(
        table.begin(1_000, &id(1), 1_000, [2; 32]),
        DedupStatus::Mismatch
    );
    table.record_completed(&id(1), "answer", 8);
    assert_eq!(
        table.begin(1_001, &id(1), 1_000, fingerprint),
        DedupStatus::Completed("answer")
    );
    assert_eq!(
        table.begin(1_002, &id(2), 1_002, fingerprint),
        DedupStatus::New
    );
    table.record_completed(&id(2), "another", 8);
    assert_eq!(
        table.begin(1_003, &id(1), 1_000, fingerprint),
        DedupStatus::ResponseDropped
    );
    assert_eq!(
        table.begin(62_000, &id(1), 1_000, fingerprint),
        DedupStatus::TooOld
    );
    assert_eq!(table.lookup(62_000, &id(3), 62_000, fingerprint), None);
}
