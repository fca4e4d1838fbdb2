//! Pace of the requests to an endpoint that names a limit.

use std::time::Duration;

use marigoldhatch::decisions::pacing::RateSource;
use marigoldhatch::decisions::pacing::RequestPacer;

/// Length of the window in which an endpoint's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Counts the requests that pass in a window with an arrival each millisecond.
fn passed(pacer: &mut RequestPacer, start: Duration) -> f64 {
    let arrivals = (0..WINDOW.as_millis() as u64).map(Duration::from_millis);
    arrivals
        .filter(|elapsed| pacer.take(start + *elapsed).is_ok())
        .count() as f64
}

/// Guards against the fault of issue 23, by which an endpoint got far more requests than the limit
/// that it had named (LIMIT).
#[rstest::rstest]
#[case(34.2)]
#[case(62.2)]
#[case(500.0)]
fn no_window_exceeds_the_named_rate_and_its_burst(#[case] rate: f64) {
    let mut pacer = RequestPacer::default();
    let start = Duration::from_secs(7);
    assert_eq!(passed(&mut pacer, Duration::ZERO), 4000.0);
    assert!(pacer.set_rate(RateSource::Endpoint, Some(rate), start));
    let limit = rate * (WINDOW.as_secs_f64() + 0.1) + 1.0;
    let passed = passed(&mut pacer, start);
    assert!(passed <= limit, "{passed} of {limit}");
    assert!(passed >= rate * WINDOW.as_secs_f64() - 1.0, "{passed}");
}

#[test]
fn idle_time_saves_up_no_more_than_the_burst() {
    let mut pacer = RequestPacer::default();
    pacer.set_rate(RateSource::Endpoint, Some(50.0), Duration::ZERO);
    let later = Duration::from_secs(3600);
    let taken = (0..100).filter(|_| pacer.take(later).is_ok()).count();
    assert_eq!(taken, 5);
    let wait = pacer.take(later).expect_err("the bucket is empty");
    assert_eq!(wait, Duration::from_millis(20));
    assert!(pacer.take(later + wait).is_ok());
}

#[rstest::rstest]
#[case::no_requests(0.0, 2)]
#[case::slow(0.7, 3)]
fn endpoint_that_takes_nothing_is_still_asked(#[case] rate: f64, #[case] expected: usize) {
    let mut pacer = RequestPacer::default();
    pacer.set_rate(RateSource::Endpoint, Some(rate), Duration::ZERO);
    let arrivals = (0..=400).map(|step| Duration::from_millis(step * 10));
    let passed = arrivals.filter(|now| pacer.take(*now).is_ok()).count();
    assert!((1..=expected).contains(&passed), "{passed}");
}

#[test]
fn withdrawn_limit_lets_all_requests_pass() {
    let mut pacer = RequestPacer::default();
    pacer.set_rate(RateSource::Endpoint, Some(1.0), Duration::ZERO);
    assert!(
        !pacer.set_rate(RateSource::Endpoint, Some(1.0), Duration::ZERO),
        "nothing changed"
    );
    assert!(pacer.set_rate(RateSource::Endpoint, None, Duration::from_secs(1)));
    assert!((0..100).all(|_| pacer.take(Duration::from_secs(1)).is_ok()));
}
