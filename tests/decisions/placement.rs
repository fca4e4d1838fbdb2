//! Tests of endpoint selection and endpoint statistics.

use std::time::Duration;

use marigoldhatch::decisions::placement::choose_endpoint;
use marigoldhatch::decisions::placement::ChoiceReason;
use marigoldhatch::decisions::placement::EndpointCandidate;
use marigoldhatch::decisions::placement::EndpointStats;
use marigoldhatch::wire::Importance;
use marigoldhatch::wire::LoadReport;
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn candidate(index: usize, same_domain: bool) -> EndpointCandidate {
    EndpointCandidate {
        index,
        same_domain,
        unhealthy: false,
        utilisation: 0.1,
        cost: 1.0,
    }
}

#[test]
fn own_failure_domain_is_preferred_until_it_is_busy_or_unhealthy() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut candidates = [candidate(0, true), candidate(1, false), candidate(2, false)];
    let choice = choose_endpoint(&candidates, &mut rng).expect("an endpoint is selected");
    assert_eq!((choice.index, choice.reason), (0, ChoiceReason::OwnDomain));

    candidates[0].utilisation = 1.0;
    candidates[0].cost = 9.0;
    let choices: Vec<_> = (0..20)
        .filter_map(|_| choose_endpoint(&candidates, &mut rng))
        .collect();
    assert!(choices
        .iter()
        .all(|choice| choice.reason == ChoiceReason::OtherDomain));

    candidates[0].unhealthy = true;
    let choices: Vec<_> = (0..20)
        .filter_map(|_| choose_endpoint(&candidates, &mut rng))
        .collect();
    assert!(choices.iter().all(|choice| choice.index != 0));

    candidates
        .iter_mut()
        .for_each(|candidate| candidate.unhealthy = true);
    let choice = choose_endpoint(&candidates, &mut rng).expect("an unhealthy endpoint is selected");
    assert_eq!(choice.reason, ChoiceReason::LastResort);
    assert_eq!(choose_endpoint(&[], &mut rng), None);
}

#[test]
fn endpoint_with_the_lowest_cost_does_not_attract_all_calls() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut candidates: Vec<_> = (0..10).map(|index| candidate(index, true)).collect();
    candidates[4].cost = 0.1;
    let chosen = (0..1_000)
        .filter_map(|_| choose_endpoint(&candidates, &mut rng))
        .filter(|choice| choice.index == 4)
        .count();
    assert!(
        chosen < 300,
        "{chosen} of 1000 calls went to the endpoint with the lowest cost"
    );
}

#[test]
fn avoidance_grows_with_consecutive_failures_and_a_success_resets_it() {
    let mut stats = EndpointStats::default();
    let now = Duration::from_secs(10);
    stats.record_start();
    stats.record_failure(now, Duration::ZERO);
    assert!(stats.is_avoided(now));
    assert!(!stats.is_avoided(now + Duration::from_millis(250)));
    stats.record_start();
    stats.record_failure(now, Duration::ZERO);
    assert!(stats.is_avoided(now + Duration::from_millis(250)));
    stats.record_start();
    stats.record_success(Duration::from_millis(5));
    stats.record_start();
    stats.record_failure(now, Duration::ZERO);
    assert!(!stats.is_avoided(now + Duration::from_millis(250)));
}

#[test]
fn endpoint_without_responses_costs_more_than_one_that_responds() {
    let now = Duration::from_secs(10);
    let mut silent = EndpointStats::default();
    silent.record_start();
    silent.record_failure(now, Duration::from_millis(800));
    let mut healthy = EndpointStats::default();
    healthy.record_start();
    healthy.record_success(Duration::from_millis(5));
    let later = now + Duration::from_secs(1);
    assert!(!silent.is_avoided(later));
    let (silent, healthy) = (silent.cost(later, 8), healthy.cost(later, 8));
    assert!(
        silent > healthy,
        "cost {silent} without responses, {healthy} with responses"
    );
}

#[test]
fn weight_of_a_load_report_decreases_with_its_age() {
    let mut stats = EndpointStats::default();
    let report = LoadReport {
        limit: 10,
        running: 10,
        queued: 10,
        admits: Importance::Critical,
    };
    stats.record_report(Duration::ZERO, report);
    let fresh = stats.utilisation(Duration::ZERO, 10);
    let old = stats.utilisation(Duration::from_secs(5), 10);
    assert!(fresh > 1.9, "{fresh}");
    assert!(old < 0.01, "{old}");
}
