//! Allocation of admission shares when a service deep in the call graph is overloaded.

use marigoldhatch::decisions::root_admission::allocate_shares;
use marigoldhatch::decisions::root_admission::CapacityCorrection;
use marigoldhatch::decisions::root_admission::ClassDemand;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::decisions::root_admission::ServiceCapacity;
use marigoldhatch::decisions::root_admission::TreeCosts;
use rstest::rstest;
use smallvec::smallvec;

const URGENT: u8 = 16;
const ORDINARY: u8 = 18;

fn class(rank: u8, route: u32, offered: f64, cost: f64) -> ClassDemand {
    ClassDemand {
        key: ClassKey { rank, route },
        offered,
        costs: if cost > 0.0 {
            smallvec![(0, cost)]
        } else {
            smallvec![]
        },
    }
}

fn scarce(capacity: f64) -> [ServiceCapacity; 1] {
    [ServiceCapacity { capacity }]
}

#[test]
fn all_requests_are_admitted_while_capacity_suffices() {
    let demands = [class(URGENT, 1, 40.0, 0.32), class(ORDINARY, 2, 90.0, 0.32)];
    assert_eq!(allocate_shares(&scarce(60.0), &demands), [1.0, 1.0]);
}

#[test]
fn deep_bottleneck_sheds_lower_ranks_that_use_it() {
    let demands = [
        class(ORDINARY, 1, 150.0, 0.32),
        class(URGENT, 2, 65.0, 0.32),
        class(URGENT, 3, 58.0, 0.0),
        class(ORDINARY, 4, 26.0, 0.13),
    ];
    let shares = allocate_shares(&scarce(45.0), &demands);
    assert!(
        shares[1] > 0.999,
        "urgent requests must be admitted: {shares:?}"
    );
    assert!(
        shares[2] > 0.999,
        "requests that don't use the service must be admitted"
    );
    assert!(
        shares[3] > 0.999,
        "the cheaper class of a rank must be admitted first"
    );
    assert!(
        shares[0] > 0.2 && shares[0] < 0.6,
        "part of the remaining class must be shed"
    );
    let used: f64 = demands
        .iter()
        .zip(&shares)
        .flat_map(|(demand, share)| {
            demand
                .costs
                .iter()
                .map(move |(_, cost)| demand.offered * cost * share)
        })
        .sum();
    assert!(
        (used - 45.0).abs() < 1e-6,
        "the whole capacity must be allocated"
    );
}

#[rstest]
#[case::one_far_over(400.0, 20.0)]
#[case::all_far_over(400.0, 400.0)]
fn no_class_is_starved(#[case] urgent: f64, #[case] ordinary: f64) {
    let demands = [
        class(URGENT, 1, urgent, 0.32),
        class(ORDINARY, 2, ordinary, 0.32),
    ];
    let shares = allocate_shares(&scarce(45.0), &demands);
    let admitted = shares[0] * urgent + shares[1] * ordinary;
    let overall_share = admitted / (urgent + ordinary);
    assert!(shares[1] >= 0.25 * overall_share, "{shares:?}");
}

#[test]
fn failed_trees_do_not_lower_the_cost_of_successful_ones() {
    let mut costs = TreeCosts::default();
    for _ in 0..50 {
        costs.record_tree(7, true, [(1, 0.32)].into_iter());
    }
    for _ in 0..500 {
        costs.record_tree(7, false, [(1, 0.04)].into_iter());
    }
    let known = costs.route_costs(7);
    assert!((known[0].1 - 0.32).abs() < 1e-9, "{known:?}");
}

#[test]
fn cost_is_estimated_from_failed_trees_until_some_succeed() {
    let mut costs = TreeCosts::default();
    for _ in 0..20 {
        costs.record_tree(7, false, [(1, 0.1)].into_iter());
    }
    assert!(costs.route_costs(7)[0].1 >= 0.2 - 1e-9);
}

#[test]
fn long_queue_lowers_the_assumed_capacity_and_an_empty_one_restores_it() {
    let mut correction = CapacityCorrection::start();
    for _ in 0..12 {
        correction.observe(8.0);
    }
    assert!(
        correction.factor() < 0.3,
        "after three seconds: {}",
        correction.factor()
    );
    for _ in 0..60 {
        correction.observe(0.3);
    }
    assert!(
        correction.factor() > 0.9,
        "after 15 seconds: {}",
        correction.factor()
    );
}
