//! Tests of admission: priority, fairness between organisations, the limit and throttling.

use std::collections::BTreeSet;
use std::time::Duration;

use marigoldhatch::decisions::admission::AdaptiveThrottle;
use marigoldhatch::decisions::admission::AdmissionController;
use marigoldhatch::decisions::admission::AdmissionDecision;
use marigoldhatch::decisions::admission::AdmissionQueue;
use marigoldhatch::decisions::admission::CallTicket;
use marigoldhatch::decisions::admission::ConcurrencyLimit;
use marigoldhatch::decisions::admission::QueueActions;
use marigoldhatch::decisions::admission::QueuedCall;
use marigoldhatch::decisions::admission::ThrottleClass;
use marigoldhatch::wire::Importance;
use marigoldhatch::wire::IMPORTANCES;
use proptest::prelude::*;

fn queued_call(ticket: u64, organisation: &str, importance: Importance, weight: u32) -> QueuedCall {
    QueuedCall {
        ticket: CallTicket(ticket),
        organisation: organisation.to_string(),
        weight,
        importance,
        deadline: Duration::from_secs(60),
    }
}

proptest! {
    #[test]
    fn queue_serves_higher_importance_first(ranks in prop::collection::vec(0_usize..4, 1..80)) {
        let mut queue = AdmissionQueue::default();
        for (ticket, rank) in ranks.iter().enumerate() {
            let organisation = format!("org-{}", ticket % 3);
            queue.push(queued_call(ticket as u64, &organisation, IMPORTANCES[*rank], 1));
        }
        let mut served = Vec::new();
        while let Some(call) = queue.pop() {
            served.push(call.importance as usize);
        }
        prop_assert_eq!(served.len(), ranks.len());
        prop_assert!(served.windows(2).all(|pair| pair[0] <= pair[1]), "{:?}", served);
    }

    #[test]
    fn backlogged_organisations_are_served_by_weight(weight in 1_u32..5) {
        let mut queue = AdmissionQueue::default();
        for ticket in 0..600 {
            queue.push(queued_call(ticket, "large", Importance::Normal, weight));
            queue.push(queued_call(1_000 + ticket, "small", Importance::Normal, 1));
        }
        let served: Vec<QueuedCall> = (0..300).filter_map(|_| queue.pop()).collect();
        let large = served.iter().filter(|call| call.organisation == "large").count() as f64;
        let expected = 300.0 * f64::from(weight) / f64::from(weight + 1);
        prop_assert!(
            (large - expected).abs() <= 2.0,
            "{} calls of the large organisation served, expected {}",
            large,
            expected
        );
    }

    #[test]
    fn every_call_runs_or_is_refused_and_running_calls_stay_within_the_slots(
        arrivals in prop::collection::vec((0_usize..4, 0_u8..5, 0_u64..30), 1..200),
    ) {
        let slots = 5;
        let mut controller = AdmissionController::from_slots(slots, Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut running: BTreeSet<u64> = BTreeSet::new();
        let mut waiting: BTreeSet<u64> = BTreeSet::new();
        let mut completed = 0_usize;
        let total = arrivals.len();
        for (ticket, (rank, organisation, gap)) in arrivals.into_iter().enumerate() {
            now += Duration::from_millis(gap);
            let mut arriving =
                queued_call(ticket as u64, &organisation.to_string(), IMPORTANCES[rank], 1);
            arriving.deadline = now + Duration::from_millis(400);
            let mut actions = QueueActions::default();
            match controller.admit(now, arriving, &mut actions) {
                AdmissionDecision::Run => { running.insert(ticket as u64); }
                AdmissionDecision::Wait => { waiting.insert(ticket as u64); }
                AdmissionDecision::Refuse(_) => completed += 1,
            }
            completed += carry_out(&actions, &mut running, &mut waiting);
            if ticket % 3 == 0 {
                if let Some(done) = running.pop_first() {
                    let actions = controller.finish(now, Duration::from_millis(50), true);
                    completed += 1 + carry_out(&actions, &mut running, &mut waiting);
                    let _ = done;
                }
            }
            prop_assert!(running.len() <= slots as usize, "{} calls run", running.len());
            prop_assert_eq!(running.len() as u32, controller.running());
        }
        let actions = controller.tick(now + Duration::from_secs(60));
        completed += carry_out(&actions, &mut running, &mut waiting);
        prop_assert!(waiting.is_empty(), "neither run nor refused: {:?}", waiting);
        prop_assert_eq!(completed + running.len(), total);
    }
}

/// Applies the actions to the sets of tickets and returns the number of refused calls.
fn carry_out(
    actions: &QueueActions,
    running: &mut BTreeSet<u64>,
    waiting: &mut BTreeSet<u64>,
) -> usize {
    for ticket in &actions.run {
        assert!(waiting.remove(&ticket.0), "{ticket:?} was not queued");
        running.insert(ticket.0);
    }
    for (ticket, _) in &actions.refuse {
        assert!(waiting.remove(&ticket.0), "{ticket:?} was not queued");
    }
    actions.refuse.len()
}

#[test]
fn limit_stays_within_announced_slots_and_falls_when_concurrency_only_adds_latency() {
    let mut limit = ConcurrencyLimit::from_announced(100, Duration::ZERO);
    let mut now = Duration::ZERO;
    // The endpoint runs at most 40 calls at once, each in 10 ms, although it announces 100 slots.
    for _ in 0..60_000 {
        let rate = 4_000.0 * (f64::from(limit.current()) / 40.0).min(1.0);
        now += Duration::from_secs_f64(1.0 / rate);
        limit.finish(now, true, true);
        assert!(limit.current() <= 100);
    }
    assert!(
        limit.current() < 60,
        "limit {} is far above the 40 calls that the endpoint runs at once",
        limit.current()
    );
    assert!(
        limit.current() >= 36,
        "limit {} is below the 40 calls that the endpoint runs at once",
        limit.current()
    );
}

#[test]
fn endpoint_is_tried_again_after_a_slow_call() {
    let mut controller = AdmissionController::from_slots(4, Duration::ZERO);
    let mut actions = QueueActions::default();
    let admit = |controller: &mut AdmissionController,
                 now: Duration,
                 ticket,
                 actions: &mut QueueActions| {
        let mut arriving = queued_call(ticket, "org", Importance::Normal, 1);
        arriving.deadline = now + Duration::from_millis(800);
        controller.admit(now, arriving, actions)
    };
    assert_eq!(
        admit(&mut controller, Duration::ZERO, 1, &mut actions),
        AdmissionDecision::Run
    );
    let slow = Duration::from_secs(10);
    controller.finish(slow, slow, false);
    let decision = admit(&mut controller, slow, 2, &mut actions);
    assert!(
        matches!(decision, AdmissionDecision::Refuse(_)),
        "{decision:?}"
    );
    let later = slow + Duration::from_secs(10);
    assert_eq!(
        admit(&mut controller, later, 3, &mut actions),
        AdmissionDecision::Run
    );
}

#[test]
fn throttling_ends_soon_after_executors_stop_refusing() {
    let class = ThrottleClass {
        service: "s".to_string(),
        importance: Importance::Normal,
        organisation: "o".to_string(),
    };
    let mut throttle = AdaptiveThrottle::default();
    let mut now = Duration::ZERO;
    for _ in 0..500 {
        now += Duration::from_millis(2);
        if throttle.admit(now, &class, 0.5) {
            throttle.record_refusal(now, &class);
        }
    }
    assert!(
        !throttle.admit(now, &class, 0.5),
        "calls of a refused class are throttled"
    );
    let later = now + Duration::from_millis(300);
    assert!(
        throttle.admit(later, &class, 0.0),
        "calls are forwarded again once refusals end"
    );
}
