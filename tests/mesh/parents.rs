//! Matching of nested calls to their parents by attempt identifier or deadline.

use std::time::Duration;

use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::decisions::root_admission::ServiceUsage;
use marigoldhatch::mesh::executor::ParentTable;
use marigoldhatch::mesh::link::CallOrigin;

fn origin(route: u32) -> CallOrigin {
    CallOrigin {
        class: ClassKey { rank: 1, route },
        nested: false,
        possible_duplicate: false,
    }
}

#[test]
fn call_with_an_opaque_id_is_matched_by_deadline() {
    let start = DeadlineClock::start().now();
    let mut table = ParentTable::default();
    table.add(start + Duration::from_millis(1000), "f3a1", origin(1));
    table.add(start + Duration::from_millis(1300), "09bc", origin(2));
    let found = table.find(start + Duration::from_millis(1297), "77e2");
    assert_eq!(found.map(|(_, origin)| origin.class.route), Some(2));
    assert!(table
        .find(start + Duration::from_millis(1150), "77e2")
        .is_none());
}

#[test]
fn call_whose_id_extends_that_of_a_running_request_is_matched_by_id() {
    let start = DeadlineClock::start().now();
    let mut table = ParentTable::default();
    let deadline = start + Duration::from_millis(1000);
    table.add(deadline, "aa.b1", origin(1));
    table.add(deadline, "cc.d2", origin(2));
    let found = table.find(deadline, "aa.b1.e9");
    assert_eq!(found.map(|(_, origin)| origin.class.route), Some(1));
}

#[test]
fn usage_of_nested_calls_is_summed_by_service() {
    let mut table = ParentTable::default();
    let number = table.add(DeadlineClock::start().now(), "aa", origin(1));
    let usage = |service, slot_us| ServiceUsage { service, slot_us };
    table.add_usage(number, &[usage(5, 40), usage(6, 7)]);
    table.add_usage(number, &[usage(5, 2)]);
    let total = table.remove(number);
    assert_eq!(total.as_slice(), [usage(5, 42), usage(6, 7)]);
    assert!(table.find(DeadlineClock::start().now(), "aa.x").is_none());
}

/// Pattern: an endpoint with many slots, whose requests end in another order than they began.
#[test]
fn requests_that_end_in_any_order_leave_the_others_in_place() {
    const REQUESTS: u64 = 200;
    let start = DeadlineClock::start().now();
    // The deadlines lie further apart than the tolerance and in another order than the requests.
    let deadline = |index: u64| start + Duration::from_millis(1000 + index * 77 % REQUESTS * 100);
    let mut table = ParentTable::default();
    let numbers: Vec<u64> = (0..REQUESTS)
        .map(|index| table.add(deadline(index), &format!("id{index}"), origin(index as u32)))
        .collect();
    let route = |found: Option<(u64, CallOrigin)>| found.map(|(_, origin)| origin.class.route);
    let mut running: Vec<u64> = (0..REQUESTS).collect();
    for step in 0..REQUESTS {
        let ended = running.remove((step * 31 % (REQUESTS - step)) as usize);
        table.add_usage(
            numbers[ended as usize],
            &[ServiceUsage {
                service: 1,
                slot_us: ended as u32,
            }],
        );
        let usage = table.remove(numbers[ended as usize]);
        assert_eq!(usage[0].slot_us, ended as u32);
        assert!(table.remove(numbers[ended as usize]).is_empty());
        assert_eq!(route(table.find(deadline(ended), "unknown")), None);
        for index in &running {
            let expected = Some(*index as u32);
            assert_eq!(
                route(table.find(deadline(*index), "unknown")),
                expected,
                "by deadline"
            );
            let call_id = format!("id{index}.1");
            assert_eq!(route(table.find(start, &call_id)), expected, "by id");
        }
    }
}

/// Guards against slot time that a late call adds to another request.
#[test]
fn number_of_an_ended_request_is_not_that_of_the_next_one() {
    let deadline = DeadlineClock::start().now();
    let mut table = ParentTable::default();
    let ended = table.add(deadline, "aa", origin(1));
    table.remove(ended);
    let next = table.add(deadline, "bb", origin(2));
    assert_ne!(ended, next);
    let usage = ServiceUsage {
        service: 5,
        slot_us: 40,
    };
    table.add_usage(ended, &[usage]);
    assert!(table.remove(ended).is_empty());
    assert!(table.find(deadline, "bb.1").is_some());
    assert!(table.remove(next).is_empty(), "nothing was added to it");
}
