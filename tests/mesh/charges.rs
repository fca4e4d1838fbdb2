//! What an organisation is charged for when its requests are refused and come back.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldhatch::decisions::demand::DemandReport;
use marigoldhatch::decisions::demand::ServiceLoad;
use marigoldhatch::decisions::quota::PeerDemand;
use marigoldhatch::decisions::quota::QuotaRule;
use marigoldhatch::decisions::quota::QuotaShare;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::decisions::root_admission::ServiceUsage;
use marigoldhatch::mesh::entry::EntryAdmission;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use rstest::rstest;

use super::quota::assert_within_bound;
use super::quota::QuotaFleet;
use super::quota::STEP;
use super::quota::STEPS_PER_UPDATE;
use super::quota::TOLERANCE;

const STEPS_PER_SECOND: usize = 100;
/// Time for which an admitted request waits at an endpoint until it runs or is refused.
const QUEUE_STEPS: usize = 20;
/// Time after which a refused caller comes back.
const RETURN_STEPS: usize = 30;
const CALLER_TRIES: u32 = 3;
const SEEDS: [u64; 4] = [5, 11, 21, 31];

/// What callers ask of a service and what it does with their requests, by the second.
struct CallerLoad<'a> {
    /// New requests a second; each comes up to [`CALLER_TRIES`] times.
    demand: &'a dyn Fn(usize) -> f64,
    /// Share of the requests that their class admits.
    class_share: &'a dyn Fn(usize) -> f64,
    /// True if endpoints run what reaches them, false if they refuse it as not run.
    runs: &'a dyn Fn(usize) -> bool,
    /// Second in which all daemons are killed and start again.
    restart: Option<usize>,
}

/// Counts of one step.
#[derive(Debug, Default, Clone, Copy)]
struct StepCounts {
    /// Requests that their class admitted.
    class_admitted: u32,
    /// Those that the quota refused.
    quota_refused: u32,
    /// Requests that an endpoint began to run.
    ran: u32,
}

struct WaitingRequest {
    daemon: usize,
    tries: u32,
}

fn simulate(
    daemons: usize,
    rule: QuotaRule,
    load: &CallerLoad<'_>,
    seconds: usize,
    seed: u64,
) -> Vec<StepCounts> {
    let mut fleet = QuotaFleet::of(daemons);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut started = Duration::ZERO;
    let mut counts = vec![];
    let mut queue: VecDeque<Vec<WaitingRequest>> = (0..QUEUE_STEPS).map(|_| vec![]).collect();
    let mut returning: VecDeque<Vec<u32>> = (0..RETURN_STEPS).map(|_| vec![]).collect();
    for step in 0..seconds * STEPS_PER_SECOND {
        let mut count = StepCounts::default();
        let second = step / STEPS_PER_SECOND;
        if load.restart == Some(second) {
            // Endpoints may still run what the killed daemons had sent them.
            let sent: usize = queue
                .iter_mut()
                .map(|requests| requests.drain(..).len())
                .sum();
            count.ran += sent as u32;
            counts.push(count);
            fleet.restart();
            started = STEP * step as u32;
            continue;
        }
        let warm_up = Duration::from_secs(if started.is_zero() { 8 } else { 0 });
        let now = warm_up + STEP * step as u32 - started;
        if step % STEPS_PER_UPDATE == STEPS_PER_UPDATE - 1 {
            fleet.update_shares();
        }
        let mut callers = returning.pop_front().expect("a queue of fixed length");
        returning.push_back(vec![]);
        let mean = (load.demand)(second) * STEP.as_secs_f64();
        for _ in 0..10 {
            if rng.random_bool((mean / 10.0).min(1.0)) {
                callers.push(1);
            }
        }
        let mut refused = vec![];
        for settled in queue.pop_front().expect("a queue of fixed length") {
            if (load.runs)(second) {
                count.ran += 1;
            } else {
                fleet.shares[settled.daemon].refund();
                refused.push(settled.tries);
            }
        }
        let mut sent = vec![];
        let class_share = (load.class_share)(second);
        for tries in callers {
            if !rng.random_bool(class_share) {
                refused.push(tries);
                continue;
            }
            count.class_admitted += 1;
            let daemon = rng.random_range(0..daemons);
            let share = &mut fleet.shares[daemon];
            let admitted = !share.exceeds_class_part(&rule, &TOLERANCE, class_share)
                && share.admit(&rule, &TOLERANCE, now);
            if admitted {
                sent.push(WaitingRequest { daemon, tries });
            } else {
                count.quota_refused += 1;
                refused.push(tries);
            }
        }
        queue.push_back(sent);
        let last = returning.back_mut().expect("a queue of fixed length");
        let repeated = refused.iter().filter(|tries| **tries < CALLER_TRIES);
        last.extend(repeated.map(|tries| tries + 1));
        counts.push(count);
    }
    counts
}

fn refused_share(counts: &[StepCounts]) -> f64 {
    let asked: u32 = counts.iter().map(|count| count.class_admitted).sum();
    let refused: u32 = counts.iter().map(|count| count.quota_refused).sum();
    f64::from(refused) / f64::from(asked.max(1))
}

fn assert_run_within_bound(rule: &QuotaRule, counts: &[StepCounts]) {
    let pairs: Vec<(u32, u32)> = counts.iter().map(|count| (0, count.ran)).collect();
    assert_within_bound(rule, &pairs);
}

/// Load: callers of an organisation within its rate repeat three times against a full service.
#[rstest]
#[case::small_fleet(13, 63.0, 0.3)]
#[case::small_organisation(83, 20.0, 0.3)]
#[case::large_fleet(83, 160.0, 0.3)]
#[case::hardly_open(83, 160.0, 0.1)]
fn callers_who_repeat_against_a_full_service_use_up_no_tokens(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] class_share: f64,
) {
    let rule = QuotaRule { rate, burst: rate };
    let load = CallerLoad {
        demand: &|_| rate * 0.6,
        class_share: &|_| class_share,
        runs: &|_| true,
        restart: None,
    };
    for seed in SEEDS {
        let counts = simulate(daemons, rule, &load, 40, seed);
        let refused = refused_share(&counts);
        assert!(refused < 0.005, "seed {seed}: refused a share of {refused}");
    }
}

/// Load: the endpoints refuse all requests as not run for five seconds, then run them again.
#[rstest]
#[case::small_fleet(13, 63.0)]
#[case::small_organisation(83, 20.0)]
#[case::large_fleet(83, 160.0)]
fn requests_that_endpoints_refuse_use_up_no_tokens(#[case] daemons: usize, #[case] rate: f64) {
    let rule = QuotaRule { rate, burst: rate };
    let load = CallerLoad {
        demand: &|_| rate * 0.6,
        class_share: &|_| 1.0,
        runs: &|second| !(10..15).contains(&second),
        restart: None,
    };
    for seed in SEEDS {
        let counts = simulate(daemons, rule, &load, 30, seed);
        // While all repeat, the organisation asks for 1.8 times its rate.
        let refused = refused_share(&counts[1550..]);
        assert!(
            refused < 0.005,
            "seed {seed}: refused a share of {refused} afterwards"
        );
        assert_run_within_bound(&rule, &counts);
    }
}

/// Load: an organisation asks for several times its rate while endpoints refuse its requests, and
/// then all that wait run at once.
#[rstest]
#[case::small_fleet(13, 63.0, 8.0)]
#[case::tokens_return(13, 268.0, 1.0)]
#[case::most_that_return(13, 268.0, 2.9)]
#[case::large_fleet(83, 160.0, 8.0)]
#[case::large_organisation(83, 444.0, 2.9)]
#[case::large_fleet_at_its_rate(83, 444.0, 1.2)]
fn returned_tokens_stay_within_the_bound(
    #[case] daemons: usize,
    #[case] rate: f64,
    #[case] overload_factor: f64,
) {
    let rule = QuotaRule { rate, burst: rate };
    for class_share in [1.0, 0.3] {
        for restart in [None, Some(12), Some(16)] {
            let load = CallerLoad {
                demand: &|second| {
                    if (5..20).contains(&second) {
                        rate * overload_factor
                    } else {
                        rate * 0.6
                    }
                },
                class_share: &|second| if second < 15 { class_share } else { 1.0 },
                runs: &|second| !(8..15).contains(&second),
                restart,
            };
            for seed in SEEDS {
                let counts = simulate(daemons, rule, &load, 25, seed);
                assert_run_within_bound(&rule, &counts);
            }
        }
    }
}

/// Load: an organisation asks for eight times its rate while all daemons are killed with tokens out.
#[rstest]
#[case::small_fleet(13, 63.0)]
#[case::large_fleet(83, 160.0)]
#[case::large_fleet_large_organisation(83, 444.0)]
fn kill_of_all_daemons_with_tokens_out_stays_within_the_bound(
    #[case] daemons: usize,
    #[case] rate: f64,
) {
    let rule = QuotaRule { rate, burst: rate };
    for restart in [Some(6), Some(9), Some(13)] {
        let load = CallerLoad {
            demand: &|second| rate * if (3..19).contains(&second) { 8.0 } else { 0.7 },
            class_share: &|second| if second % 4 < 2 { 0.3 } else { 1.0 },
            runs: &|second| second % 3 != 1,
            restart,
        };
        for seed in SEEDS {
            let counts = simulate(daemons, rule, &load, 24, seed);
            assert_run_within_bound(&rule, &counts);
        }
    }
}

/// Load: an organisation asks for four times its rate while its class is full, then one within its
/// rate does. Both get the same.
#[test]
fn hot_organisation_gets_no_more_of_a_full_class_than_one_at_its_rate() {
    let rule = QuotaRule {
        rate: 160.0,
        burst: 160.0,
    };
    let ran_at = |factor: f64| {
        let load = CallerLoad {
            demand: &|_| rule.rate * factor,
            class_share: &|_| 0.3,
            runs: &|_| true,
            restart: None,
        };
        let counts = simulate(83, rule, &load, 40, SEEDS[0]);
        let ran: u32 = counts[2000..].iter().map(|count| count.ran).sum();
        f64::from(ran) / 20.0
    };
    let (usual, hot) = (ran_at(1.0), ran_at(4.0));
    // The burst of a window, a fifth of the rate, is granted on top.
    assert!(hot <= usual * 1.3, "{hot} instead of {usual} a second");
    assert!(hot >= usual * 0.9, "{hot} instead of {usual} a second");
}

fn started_share() -> (QuotaShare, QuotaRule) {
    let rule = QuotaRule {
        rate: 50.0,
        burst: 50.0,
    };
    let mut share = QuotaShare::start(0.0);
    share.set_daemons(1);
    (share, rule)
}

fn reports(admitted: f64) -> PeerDemand {
    PeerDemand {
        rate: Some(0.0),
        admitted,
        report_age: Duration::from_millis(400),
    }
}

const UPDATE: Duration = Duration::from_millis(100);

#[test]
fn refund_before_the_report_is_never_reported() {
    let (mut share, rule) = started_share();
    assert!(share.admit(&rule, &TOLERANCE, Duration::from_secs(1)));
    assert!(share.refund());
    assert_eq!(share.admitted(), 0);
}

#[test]
fn refund_after_the_report_covers_the_next_admission() {
    let (mut share, rule) = started_share();
    let now = Duration::from_secs(1);
    assert!(share.admit(&rule, &TOLERANCE, now));
    share.apply_reports(reports(0.0), UPDATE);
    assert!(share.refund());
    assert_eq!(share.admitted(), 1, "a reported count went backwards");
    assert!(share.admit(&rule, &TOLERANCE, now));
    assert_eq!(share.admitted(), 1, "the request was charged twice");
    assert!(share.admit(&rule, &TOLERANCE, now));
    assert_eq!(share.admitted(), 2);
}

#[test]
fn refund_that_is_not_used_soon_is_lost() {
    let (mut share, rule) = started_share();
    assert!(share.admit(&rule, &TOLERANCE, Duration::from_secs(1)));
    share.apply_reports(reports(0.0), UPDATE);
    assert!(share.refund());
    // The other daemons' buckets have refilled since they paid for the token.
    for _ in 0..10 {
        share.apply_reports(reports(0.0), UPDATE);
    }
    assert!(share.admit(&rule, &TOLERANCE, Duration::from_secs(2)));
    assert_eq!(share.admitted(), 2);
}

#[test]
fn refund_of_a_full_bucket_adds_nothing() {
    let (mut share, rule) = started_share();
    assert!(share.admit(&rule, &TOLERANCE, Duration::from_secs(1)));
    assert!(share.refund());
    let later = Duration::from_secs(20);
    share.admit(&rule, &TOLERANCE, later);
    assert!(share.refund());
    share.admit(&rule, &TOLERANCE, later);
    let (level, _) = share.levels();
    assert!(level <= rule.burst, "{level} of {} tokens", rule.burst);
}

const CLASS: ClassKey = ClassKey { rank: 16, route: 3 };
const SERVICE: u32 = 9;
/// Slots of the service, each of which a request holds for a tenth of a second.
const SLOTS: u32 = 20;

/// One daemon whose organisations share the class of one service.
struct ClassEntry {
    admission: EntryAdmission,
    rng: SmallRng,
}

impl ClassEntry {
    fn start() -> Self {
        let mut admission = EntryAdmission::default();
        let usage = ServiceUsage {
            service: SERVICE,
            slot_us: 100_000,
        };
        for _ in 0..20 {
            admission.record_tree(CLASS.route, true, &[usage]);
        }
        Self {
            admission,
            rng: SmallRng::seed_from_u64(3),
        }
    }

    fn admit(&mut self, name: &str, rule: &QuotaRule, now: Duration) -> bool {
        if !self.admission.admit_class(CLASS) {
            return false;
        }
        let admission = &mut self.admission;
        let admitted = !admission.exceeds_class_part(name, rule, &TOLERANCE, CLASS, 0.5)
            && admission.admit_organisation(name, rule, &TOLERANCE, 1, 0.5, now);
        if !admitted {
            admission.return_class(CLASS);
        }
        admitted
    }

    fn update(&mut self, step: usize) {
        if step.is_multiple_of(STEPS_PER_UPDATE) {
            let others = DemandReport::default();
            let delay = Duration::from_millis(400);
            self.admission
                .update_quotas(Some(&others), |_| 0, 1, UPDATE, delay);
        }
        if step.is_multiple_of(25) {
            self.admission
                .update_offered_rates(Duration::from_millis(250));
            let own = DemandReport {
                classes: self.admission.class_rates(),
                services: vec![ServiceLoad {
                    name_hash: SERVICE,
                    slots: SLOTS,
                    in_hand: SLOTS,
                }],
                ..DemandReport::default()
            };
            self.admission.update_class_shares(None, &own, true);
        }
    }

    /// Returns the admitted requests a second of an organisation that asks for `hot_demand` and of
    /// four others that ask for 60 a second each, from the tenth second on.
    fn admitted_rates(&mut self, rule: &QuotaRule, hot_demand: f64) -> (f64, f64) {
        let mut admitted = [0.0; 5];
        for step in 0..4000 {
            let now = STEP * step as u32;
            self.update(step);
            for _ in 0..10 {
                for (organisation, count) in admitted.iter_mut().enumerate() {
                    let demand = if organisation == 0 { hot_demand } else { 60.0 };
                    if !self.rng.random_bool(demand / 1000.0) {
                        continue;
                    }
                    let name = format!("organisation-{organisation}");
                    if self.admit(&name, rule, now) && step >= 1000 {
                        *count += 1.0 / 30.0;
                    }
                }
            }
        }
        (admitted[0], admitted[1..].iter().sum())
    }
}

const CLASS_RULE: QuotaRule = QuotaRule {
    rate: 70.0,
    burst: 70.0,
};

/// Load: one organisation at four times its rate while its class is full. It may take no more of
/// the class from the others than one that asks for its rate and whose callers repeat.
#[test]
fn hot_organisation_takes_no_class_capacity_that_its_quota_denies() {
    let (_, usual) = ClassEntry::start().admitted_rates(&CLASS_RULE, 70.0);
    let (_, repeating) = ClassEntry::start().admitted_rates(&CLASS_RULE, 140.0);
    let (hot, others) = ClassEntry::start().admitted_rates(&CLASS_RULE, 280.0);
    assert!(
        others >= repeating * 0.9,
        "the others get {others} a second beside {hot}, {repeating} beside one that repeats, \
         {usual} beside one at its rate"
    );
}

/// Load: one organisation far over its rate in a class that is full without it. All of the capacity
/// is used, and no more.
#[test]
fn class_beside_an_organisation_over_its_rate_uses_its_whole_capacity() {
    let (hot, others) = ClassEntry::start().admitted_rates(&CLASS_RULE, 700.0);
    let capacity = f64::from(SLOTS) / 0.1;
    let admitted = hot + others;
    assert!(
        admitted >= 0.8 * capacity,
        "{admitted} of {capacity} a second"
    );
    assert!(admitted <= 1.1 * capacity, "{admitted} of {capacity}");
}

/// Load: an organisation far over its rate at a service with room. Its class stays open.
#[test]
fn requests_beyond_a_quota_are_no_demand_of_their_class() {
    let mut entry = ClassEntry::start();
    let rule = QuotaRule {
        rate: 30.0,
        burst: 30.0,
    };
    for step in 0..2000 {
        entry.update(step);
        for _ in 0..5 {
            entry.admit("first", &rule, STEP * step as u32);
        }
    }
    let share = entry.admission.class_share(CLASS);
    assert!(share > 0.999, "the class admits a share of {share}");
}
