//! Pace of endpoints that have just started or recovered.

use std::time::Duration;

use marigoldhatch::decisions::pace::wins_draw;
use marigoldhatch::decisions::pace::PaceLimit;
use marigoldhatch::decisions::pace::PaceOutcome;
use marigoldhatch::decisions::pace::PaceSample;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const SLOTS: u32 = 127;
const USUAL_MS: f64 = 140.0;
const FULL_DEMAND: u32 = 1000;

/// Endpoint under a constant demand of requests at once.
struct PacedEndpoint {
    pace: PaceLimit,
    /// Requests that callers would have run at once.
    demand: u32,
    elapsed_ms: f64,
    answers: u32,
    most_at_once: u32,
}

impl PacedEndpoint {
    /// Returns an endpoint whose usual time is known from before, that begins anew.
    fn begin(demand: u32) -> Self {
        let mut pace = PaceLimit::default();
        assert_eq!(pace.limit(SLOTS), SLOTS, "nothing has begun yet");
        for _ in 0..50 {
            pace.record(sample(USUAL_MS, PaceOutcome::Answered, 1));
        }
        pace.begin();
        Self {
            pace,
            demand,
            elapsed_ms: 0.0,
            answers: 0,
            most_at_once: 0,
        }
    }

    /// Runs this number of requests; `run` returns the time and outcome of one of those that run at once.
    fn run(&mut self, requests: u32, run: impl Fn(u32) -> (f64, PaceOutcome)) {
        for _ in 0..requests {
            let running = self.limit().min(self.demand).max(1);
            self.most_at_once = self.most_at_once.max(running);
            let (time_ms, outcome) = run(running);
            self.elapsed_ms += time_ms / f64::from(running);
            self.answers += u32::from(outcome == PaceOutcome::Answered);
            self.pace.record(sample(time_ms, outcome, running));
        }
    }

    fn limit(&mut self) -> u32 {
        self.pace.limit(SLOTS)
    }
}

fn sample(time_ms: f64, outcome: PaceOutcome, running: u32) -> PaceSample {
    PaceSample {
        kind: 7,
        run_time: Duration::from_secs_f64(time_ms / 1000.0),
        outcome,
        running,
    }
}

fn in_time(_: u32) -> (f64, PaceOutcome) {
    (USUAL_MS, PaceOutcome::Answered)
}

/// Runs at once as many as `knee`, beyond which each further request slows all down.
fn slows_beyond(knee: u32) -> impl Fn(u32) -> (f64, PaceOutcome) {
    move |running| {
        let crowding = f64::from(running) / f64::from(knee);
        (USUAL_MS * crowding.max(1.0).powi(2), PaceOutcome::Answered)
    }
}

#[test]
fn fast_starter_under_full_demand_has_its_slots_after_a_few_run_times() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    assert_eq!(endpoint.limit(), 4);
    while endpoint.limit() < SLOTS {
        endpoint.run(1, in_time);
    }
    assert!(endpoint.pace.is_done());
    let run_times = endpoint.elapsed_ms / USUAL_MS;
    assert!(run_times < 8.0, "{run_times} run times");
}

#[test]
fn slow_starter_gets_few_at_once_until_it_is_faster() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    endpoint.run(400, slows_beyond(10));
    assert!(!endpoint.pace.is_done());
    assert!(endpoint.most_at_once <= 20, "{}", endpoint.most_at_once);
    assert!(endpoint.limit() >= 4);
    endpoint.run(800, slows_beyond(SLOTS));
    assert!(endpoint.pace.is_done(), "limit {}", endpoint.limit());
}

/// An endpoint that is slow at any load is not held down: fewer requests don't make it faster.
#[test]
fn endpoint_whose_slowness_is_not_from_load_gets_its_slots() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    endpoint.run(600, |_| (USUAL_MS * 3.0, PaceOutcome::Answered));
    assert!(endpoint.pace.is_done(), "limit {}", endpoint.limit());
}

#[test]
fn endpoint_that_recovers_under_a_burst_and_sheds_gets_what_it_takes() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    let sheds = |running| match running {
        0..=40 => (USUAL_MS, PaceOutcome::Answered),
        _ => (1.0, PaceOutcome::Shed),
    };
    endpoint.run(2000, sheds);
    assert!(endpoint.most_at_once <= 80, "{}", endpoint.most_at_once);
    assert!(
        (16..=80).contains(&endpoint.limit()),
        "{}",
        endpoint.limit()
    );
    let answered = f64::from(endpoint.answers) / 2000.0;
    assert!(answered > 0.5, "{answered} answered");
    endpoint.run(1200, in_time);
    assert!(endpoint.pace.is_done());
}

#[test]
fn relapse_lowers_the_limit_at_once_and_it_grows_more_carefully_afterwards() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    while endpoint.limit() < 60 {
        endpoint.run(1, in_time);
    }
    let before = endpoint.limit();
    endpoint.run(before, |_| (USUAL_MS, PaceOutcome::Failed));
    assert_eq!(endpoint.limit(), before / 2);
    let lowered = endpoint.limit();
    endpoint.run(lowered, in_time);
    assert_eq!(endpoint.limit(), lowered * 5 / 4);
}

/// A few single failures among many answers, as any endpoint has them, don't lower the limit.
#[test]
fn single_failures_do_not_hold_an_endpoint_down() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    for _ in 0..60 {
        endpoint.run(9, in_time);
        endpoint.run(1, |_| (USUAL_MS, PaceOutcome::Failed));
    }
    assert!(endpoint.pace.is_done(), "limit {}", endpoint.limit());
}

#[test]
fn too_few_answers_to_reach_the_limit_do_not_hold_it_down_for_ever() {
    let mut endpoint = PacedEndpoint::begin(1);
    endpoint.run(200, in_time);
    assert!(endpoint.pace.is_done(), "limit {}", endpoint.limit());
}

#[test]
fn without_an_answer_the_limit_stays() {
    let mut endpoint = PacedEndpoint::begin(FULL_DEMAND);
    endpoint.run(3, in_time);
    assert_eq!(endpoint.limit(), 4);
    endpoint.pace.end();
    assert_eq!(endpoint.limit(), SLOTS);
}

/// A new endpoint of a service of which nothing is known learns the usual time at its low limit.
#[test]
fn first_answers_tell_the_usual_time_if_none_is_known() {
    let mut pace = PaceLimit::default();
    pace.begin();
    for _ in 0..8 {
        pace.record(sample(USUAL_MS, PaceOutcome::Answered, 4));
    }
    assert_eq!(pace.limit(SLOTS), 8);
    for _ in 0..16 {
        pace.record(sample(USUAL_MS * 2.0, PaceOutcome::Answered, 8));
    }
    assert_eq!(pace.limit(SLOTS), 4, "twice as slow at twice as many");
}

/// Among idle endpoints one that finds its pace looks busy with a single call; it still gets an equal part,
/// and no more than it has room for.
#[test]
fn endpoint_that_finds_its_pace_gets_calls_beside_idle_ones() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share = |room, in_hand, calls_in_hand| {
        let won = (0..10_000).filter(|_| wins_draw(room, in_hand, calls_in_hand, 16, &mut rng));
        won.count() as f64 / 10_000.0
    };
    assert!((0.05..0.075).contains(&share(4, 0, 3)), "an equal part");
    assert!(
        (0.0..0.03).contains(&share(4, 0, 200)),
        "what it has room for"
    );
    assert_eq!(share(4, 4, 3), 0.0, "it is full");
}
