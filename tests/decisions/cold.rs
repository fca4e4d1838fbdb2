//! Requests to endpoints that are cold or may be.

use std::time::Duration;

use marigoldhatch::decisions::cold::joins_draw;
use marigoldhatch::decisions::cold::ColdBound;
use marigoldhatch::decisions::cold::ColdLimit;
use marigoldhatch::decisions::cold::ColdTracker;
use marigoldhatch::decisions::pacing::RateSource;
use marigoldhatch::decisions::pacing::RequestPacer;
use marigoldhatch::decisions::pacing::BURST_TIME;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rstest::rstest;

const LIMIT: ColdLimit = ColdLimit {
    requests_per_second: 17.0,
    duration: Duration::from_secs(3),
};
const BOUND: ColdBound = ColdBound {
    overage: 1.5,
    slack: 8.0,
};
const COLD_TIME: Duration = Duration::from_secs(3);
const START: Duration = Duration::from_secs(60);

/// Sends a request each millisecond of a span; returns the times of those that pass.
fn press(
    pacer: &mut RequestPacer,
    tracker: &ColdTracker,
    from: Duration,
    span: Duration,
) -> Vec<Duration> {
    let arrivals = (0..span.as_millis() as u64).map(|step| from + Duration::from_millis(step));
    let passes = |now: &Duration| {
        pacer.set_rate(RateSource::Cold, tracker.rate(LIMIT, *now), *now);
        pacer.take(*now).is_ok()
    };
    arrivals.filter(passes).collect()
}

/// Returns the largest number of requests in one second.
fn most_in_one_second(times: &[Duration]) -> usize {
    let from = |index: usize| {
        let until = times[index] + Duration::from_secs(1);
        times[index..].iter().take_while(|at| **at < until).count()
    };
    (0..times.len()).map(from).max().unwrap_or(0)
}

fn allowed(limit: ColdLimit, bound: ColdBound) -> f64 {
    limit.requests_per_second * bound.overage + bound.slack
}

fn cold_tracker(now: Duration) -> ColdTracker {
    let mut tracker = ColdTracker::default();
    tracker.start(COLD_TIME, now);
    tracker
}

/// An endpoint that returns cold under a burst takes no more than its rate, and all again afterwards.
#[test]
fn burst_on_an_endpoint_that_returns_cold_stays_within_the_bound() {
    let mut pacer = RequestPacer::default();
    let tracker = cold_tracker(START);
    let passed = press(&mut pacer, &tracker, START, COLD_TIME);
    let most = most_in_one_second(&passed) as f64;
    assert!(most <= allowed(LIMIT, BOUND), "{most} in one second");
    let expected = LIMIT.requests_per_second * COLD_TIME.as_secs_f64();
    assert!(passed.len() as f64 >= expected - 2.0, "{}", passed.len());
    let warm = press(&mut pacer, &tracker, START + COLD_TIME, COLD_TIME);
    assert_eq!(warm.len(), 3000, "nothing limits the endpoint any more");
}

/// Of a service with a domain that returns cold, each cold endpoint is offered about what it takes while
/// all entries see it idle, and the warm ones get the rest.
#[test]
fn domain_that_returns_cold_is_offered_what_it_takes() {
    let (cold_endpoints, room, in_hand, requests_per_second) = (10, 3, 180, 1300);
    let mut rng = SmallRng::seed_from_u64(1);
    let seconds = 20;
    let calls = requests_per_second * seconds;
    let offered = (0..calls * cold_endpoints).filter(|_| joins_draw(room, in_hand, &mut rng));
    let offered = offered.count() as f64 / f64::from(cold_endpoints * seconds);
    let takes = LIMIT.requests_per_second;
    assert!(
        (takes..takes * BOUND.overage).contains(&offered),
        "{offered}"
    );
}

#[test]
fn service_with_little_work_leaves_no_cold_endpoint_out() {
    let mut rng = SmallRng::seed_from_u64(1);
    assert!((0..100).all(|_| joins_draw(3, 2, &mut rng)));
    assert!((0..100).all(|_| joins_draw(1, 0, &mut rng)));
}

/// An endpoint that turns cold while it runs gets no burst of saved tokens.
#[test]
fn endpoint_that_turns_cold_under_load_is_limited_at_once() {
    let mut pacer = RequestPacer::default();
    let mut tracker = ColdTracker::default();
    tracker.start(Duration::ZERO, Duration::ZERO);
    let before = press(&mut pacer, &tracker, START - COLD_TIME, COLD_TIME);
    assert_eq!(before.len(), 3000);
    tracker.announce(COLD_TIME, START);
    let passed = press(&mut pacer, &tracker, START, Duration::from_secs(1));
    assert!(
        passed.len() as f64 <= LIMIT.requests_per_second,
        "{}",
        passed.len()
    );
}

/// A daemon that restarts beside a cold endpoint adds its first second to the last one of the process
/// before it.
#[test]
fn restarted_daemon_beside_a_cold_endpoint_stays_within_the_bound() {
    let restart = START + Duration::from_millis(1300);
    let mut before = RequestPacer::default();
    let mut tracker = cold_tracker(START);
    let mut passed = press(&mut before, &tracker, START, restart - START);
    let mut after = RequestPacer::default();
    tracker.start(COLD_TIME - (restart - START), restart);
    passed.extend(press(&mut after, &tracker, restart, Duration::from_secs(1)));
    let most = most_in_one_second(&passed) as f64;
    assert!(most <= allowed(LIMIT, BOUND), "{most} in one second");
}

/// An announcement sent before the endpoint broke down arrives after it.
#[test]
fn late_announcement_does_not_lift_a_suspicion() {
    let mut tracker = ColdTracker::default();
    tracker.start(Duration::ZERO, Duration::ZERO);
    assert_eq!(tracker.rate(LIMIT, START), None);
    tracker.suspect(START);
    assert_eq!(tracker.rate(LIMIT, START), Some(17.0));
    tracker.announce(Duration::ZERO, START + Duration::from_millis(10));
    let later = START + Duration::from_secs(2);
    assert_eq!(tracker.rate(LIMIT, later), Some(17.0), "it may be late");
    tracker.announce(Duration::ZERO, later);
    assert_eq!(tracker.rate(LIMIT, later), None, "it was sent since");
}

#[test]
fn announcement_of_a_remaining_time_holds_for_that_time() {
    let mut tracker = cold_tracker(START);
    let end = START + COLD_TIME;
    assert_eq!(tracker.remaining(START), COLD_TIME);
    assert!(tracker.is_cold(end - Duration::from_millis(1)));
    assert!(!tracker.is_cold(end));
    tracker.announce(COLD_TIME, end);
    assert!(tracker.is_cold(end), "it has turned cold again");
    tracker.announce(Duration::ZERO, end + Duration::from_secs(1));
    assert!(!tracker.is_cold(end + Duration::from_secs(1)));
}

#[test]
fn status_check_lifts_only_suspicions_from_before_it() {
    let mut tracker = ColdTracker::default();
    tracker.suspect(START);
    let later = START + Duration::from_millis(20);
    assert!(!tracker.record_check(Duration::ZERO, START - BURST_TIME, later));
    assert!(tracker.is_suspect());
    assert!(tracker.record_check(Duration::ZERO, START, later));
    assert!(!tracker.is_cold(later));
    tracker.suspect(later);
    assert!(tracker.record_check(COLD_TIME, later, later));
    assert!(!tracker.is_suspect());
    assert_eq!(tracker.remaining(later), COLD_TIME);
}

#[test]
fn new_incarnation_is_not_suspected_for_the_one_before() {
    let mut tracker = ColdTracker::default();
    tracker.suspect(START);
    tracker.start(COLD_TIME, START);
    assert!(tracker.is_cold(START));
    assert!(!tracker.is_cold(START + COLD_TIME));
}

#[rstest]
#[case::room_for_the_rate(1.5, 8.0)]
#[case::no_slack(1.0, 0.0)]
#[case::little(0.5, 2.0)]
fn rate_is_lowered_as_far_as_the_bound_asks_for(#[case] overage: f64, #[case] slack: f64) {
    let bound = ColdBound { overage, slack };
    let limit = LIMIT.within(bound, BURST_TIME);
    let mut pacer = RequestPacer::default();
    pacer.set_rate(RateSource::Cold, Some(limit.requests_per_second), START);
    let idle = START + Duration::from_secs(10);
    let steps = (0..3000).map(|step| idle + Duration::from_millis(step));
    let passed: Vec<Duration> = steps.filter(|now| pacer.take(*now).is_ok()).collect();
    let most = most_in_one_second(&passed) as f64;
    assert!(most <= allowed(LIMIT, bound), "{most} in one second");
}
