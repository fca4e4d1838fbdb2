//! Endpoints that fail part of their calls while their status checks are good.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use marigoldhatch::decisions::outliers::set_aside;
use marigoldhatch::decisions::outliers::EndpointHealth;
use marigoldhatch::decisions::outliers::EndpointOutcome;
use marigoldhatch::decisions::outliers::FailureReport;
use marigoldhatch::decisions::outliers::OutcomeTable;
use marigoldhatch::decisions::outliers::OutlierChange;
use marigoldhatch::decisions::outliers::OutlierView;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const OWN_DOMAIN: u32 = 1;
const OTHER_DOMAIN: u32 = 2;
const RUN_TIME: Duration = Duration::from_millis(40);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn health(failure_percent: u8) -> EndpointHealth {
    EndpointHealth {
        failure_percent,
        slots: 20,
        set_aside: false,
    }
}

fn aside_count(shares: &[u8]) -> usize {
    let healths: Vec<EndpointHealth> = shares.iter().map(|share| health(*share)).collect();
    set_aside(&healths).iter().filter(|aside| **aside).count()
}

/// Endpoint that answers calls of two failure domains at a steady rate.
struct Endpoint {
    outcomes: OutcomeTable,
    rng: SmallRng,
    now: Duration,
    reports: Vec<FailureReport>,
}

impl Endpoint {
    fn start(seed: u64) -> Self {
        Self {
            outcomes: OutcomeTable::default(),
            rng: SmallRng::seed_from_u64(seed),
            now: seconds(1.0),
            reports: Vec::new(),
        }
    }

    /// Answers calls for some time, a tenth of a second apart from `calls_per_s` on, with these shares
    /// of failures in the calls of the two failure domains.
    fn run(&mut self, time: Duration, calls_per_s: f64, own_share: f64, other_share: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += seconds(1.0 / calls_per_s);
            let own = self.rng.random_bool(0.5);
            let (domain, share) = if own {
                (OWN_DOMAIN, own_share)
            } else {
                (OTHER_DOMAIN, other_share)
            };
            let outcome = if self.rng.random_bool(share) {
                EndpointOutcome::Failed
            } else {
                EndpointOutcome::Good
            };
            self.outcomes.record(domain, outcome, RUN_TIME, self.now);
            self.report();
        }
    }

    fn report(&mut self) -> FailureReport {
        let report = self.outcomes.report(self.now);
        if self.reports.last() != Some(&report) {
            self.reports.push(report);
        }
        report
    }
}

#[test]
fn endpoint_that_fails_two_fifths_of_its_calls_is_reported_within_a_second() {
    // Load: 30 calls a second, as one of 30 endpoints gets when the service gets 900.
    let mut endpoint = Endpoint::start(1);
    endpoint.run(seconds(5.0), 30.0, 0.0, 0.0);
    assert_eq!(endpoint.report(), FailureReport::default());
    endpoint.run(seconds(1.0), 30.0, 0.4, 0.4);
    assert!(endpoint.report().percent >= 10, "{:?}", endpoint.reports);
    endpoint.run(seconds(2.0), 30.0, 0.4, 0.4);
    assert!(
        (30..=50).contains(&endpoint.report().percent),
        "{:?}",
        endpoint.reports
    );
    endpoint.run(seconds(7.0), 30.0, 0.0, 0.0);
    assert_eq!(endpoint.report(), FailureReport::default());
}

#[test]
fn steady_share_of_failures_is_reported_rarely() {
    // Load: an endpoint that fails two fifths of its calls for a minute.
    let mut endpoint = Endpoint::start(2);
    endpoint.run(seconds(60.0), 30.0, 0.4, 0.4);
    let reports = endpoint.reports.len();
    assert!(reports <= 20, "{reports}: {:?}", endpoint.reports);
}

#[test]
fn few_failures_by_chance_are_not_reported() {
    // Load: answers of all endpoints get lost once in fifty times.
    for seed in 0..20 {
        let mut endpoint = Endpoint::start(seed);
        endpoint.run(seconds(30.0), 30.0, 0.02, 0.02);
        let worst = endpoint.reports.iter().map(|report| report.percent).max();
        assert!(worst <= Some(10), "seed {seed}: {:?}", endpoint.reports);
    }
}

#[test]
fn too_few_answers_tell_nothing() {
    // Load: one call a second, and the first three fail.
    let mut endpoint = Endpoint::start(3);
    endpoint.run(seconds(3.0), 1.0, 1.0, 1.0);
    assert_eq!(endpoint.report(), FailureReport::default());
}

#[test]
fn probes_keep_the_report_until_they_succeed() {
    // Load: an endpoint that is set aside gets a probe a second and still fails most.
    let mut endpoint = Endpoint::start(4);
    endpoint.run(seconds(3.0), 30.0, 0.6, 0.6);
    endpoint.run(seconds(20.0), 1.0, 0.8, 0.8);
    assert!(endpoint.report().percent >= 20, "{:?}", endpoint.reports);
    endpoint.run(seconds(8.0), 1.0, 0.0, 0.0);
    assert_eq!(endpoint.report(), FailureReport::default());
}

#[test]
fn failures_in_one_failure_domain_are_reported_on_their_own() {
    // Load: an endpoint fails the calls of one failure domain only.
    let mut endpoint = Endpoint::start(5);
    endpoint.run(seconds(6.0), 30.0, 0.5, 0.0);
    let report = endpoint.report();
    assert!(report.percent_for(OWN_DOMAIN) >= 30, "{report:?}");
    assert_eq!(report.percent_for(OTHER_DOMAIN), 0, "{report:?}");
    endpoint.run(seconds(7.0), 30.0, 0.5, 0.5);
    let report = endpoint.report();
    assert!(report.percent_for(OTHER_DOMAIN) >= 30, "{report:?}");
}

#[test]
fn caller_that_gives_up_early_says_nothing_of_the_endpoint() {
    let mut endpoint = Endpoint::start(6);
    endpoint.run(seconds(5.0), 30.0, 0.0, 0.0);
    let unanswered = |endpoint: &mut Endpoint, held: Duration| {
        for _ in 0..30 {
            endpoint.now += seconds(0.05);
            let outcome = EndpointOutcome::Unanswered;
            endpoint
                .outcomes
                .record(OWN_DOMAIN, outcome, held, endpoint.now);
        }
        endpoint.report()
    };
    assert_eq!(
        unanswered(&mut endpoint, RUN_TIME * 2),
        FailureReport::default()
    );
    // A call that gets no answer for far longer than others take is the endpoint's failure.
    let report = unanswered(&mut endpoint, seconds(1.0));
    assert!(report.percent_for(OWN_DOMAIN) >= 20, "{report:?}");
}

#[test]
fn outlier_is_set_aside() {
    assert_eq!(aside_count(&[0, 0, 40, 0]), 1);
    assert_eq!(aside_count(&[0, 50]), 1);
}

#[test]
fn service_that_fails_alike_keeps_all_endpoints() {
    // Load: a service below fails, and all endpoints above it answer with errors.
    assert_eq!(aside_count(&[50, 60, 50, 60, 50]), 0);
    assert_eq!(aside_count(&[100; 8]), 0);
    assert_eq!(aside_count(&[40, 40, 40, 90]), 1);
}

#[test]
fn small_share_of_failures_sets_none_aside() {
    assert_eq!(aside_count(&[0, 10, 0, 10]), 0);
}

#[test]
fn no_more_than_half_of_the_slots_are_set_aside() {
    // Load: half of the endpoints fail part of their calls.
    assert_eq!(aside_count(&[40, 0, 40, 0, 40, 0, 40, 0]), 4);
    let mut uneven = [health(0), health(30), health(60)];
    uneven[1].slots = 10;
    uneven[2].slots = 30;
    let mask = set_aside(&uneven);
    assert_eq!(mask.as_slice(), [false, false, true]);
    assert_eq!(aside_count(&[50]), 0, "the only endpoint is kept");
}

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn update(view: &mut OutlierView, shares: [u8; 3], now: f64) -> (Vec<OutlierChange>, [f64; 3]) {
    let endpoints = [1, 2, 3].map(|port| (address(port), health(shares[usize::from(port) - 1])));
    let mut changes = Vec::new();
    let marks = view.update(&endpoints, seconds(now), |change| changes.push(change));
    (changes, [0, 1, 2].map(|index| marks[index].slot_share))
}

#[test]
fn endpoint_is_taken_back_slowly_and_set_aside_again_after_a_relapse() {
    let mut view = OutlierView::default();
    let (changes, _) = update(&mut view, [0, 0, 40], 1.0);
    let change = changes[0];
    assert_eq!(change.address, address(3));
    assert_eq!((change.failure_percent, change.median_percent), (40, 0));
    assert_eq!(view.set_aside_count(), 1);
    // Just below the threshold at which it was set aside, it stays.
    assert!(update(&mut view, [0, 0, 10], 3.0).0.is_empty());
    let (changes, shares) = update(&mut view, [0, 0, 0], 8.0);
    assert!(!changes[0].set_aside);
    assert!(shares[2] < 0.3 && shares[0] == 1.0, "{shares:?}");
    let (_, shares) = update(&mut view, [0, 0, 0], 9.5);
    assert!((0.4..0.8).contains(&shares[2]), "{shares:?}");
    let (changes, _) = update(&mut view, [0, 0, 30], 10.0);
    assert!(changes[0].set_aside, "a relapse during the return counts");
    update(&mut view, [0, 0, 0], 14.0);
    let (_, shares) = update(&mut view, [0, 0, 0], 18.0);
    assert_eq!(shares, [1.0; 3]);
    assert!(view.is_empty());
}

#[test]
fn endpoint_that_is_gone_is_forgotten() {
    let mut view = OutlierView::default();
    update(&mut view, [0, 0, 40], 1.0);
    let left = [(address(1), health(0)), (address(2), health(0))];
    view.update(&left, seconds(2.0), |_| {});
    assert!(view.is_empty());
}
