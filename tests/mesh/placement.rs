//! Choice of an executor by its running and waiting calls relative to its slots.

use marigoldhatch::decisions::outliers::OutlierMark;
use marigoldhatch::decisions::placement::pick_executor;
use marigoldhatch::decisions::placement::usable_slots;
use marigoldhatch::decisions::placement::CallTraits;
use marigoldhatch::decisions::placement::ExecutorLoad;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const IDEMPOTENT: CallTraits = CallTraits {
    idempotent: true,
    repeated: false,
};
const NON_IDEMPOTENT: CallTraits = CallTraits {
    idempotent: false,
    repeated: false,
};

fn load(in_hand: u32, same_domain: bool) -> ExecutorLoad {
    ExecutorLoad {
        in_hand,
        slots: 17,
        rated: false,
        cold: false,
        same_domain,
        silent: false,
        outlier: OutlierMark::default(),
    }
}

fn picks(loads: &[ExecutorLoad]) -> Vec<usize> {
    picks_for(IDEMPOTENT, loads, 200)
}

fn picks_for(traits: CallTraits, loads: &[ExecutorLoad], count: usize) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(3);
    let drawn = (0..count).filter_map(|_| pick_executor(loads, traits, &mut rng));
    drawn.collect()
}

/// Returns the load of an endpoint that fails this share of its calls.
fn failing(load: ExecutorLoad, failure_share: f64, set_aside: bool) -> ExecutorLoad {
    let outlier = OutlierMark {
        set_aside,
        failure_share,
        slot_share: 1.0,
    };
    ExecutorLoad { outlier, ..load }
}

#[test]
fn own_failure_domain_is_preferred_while_it_has_capacity() {
    assert!(picks(&[load(0, false), load(6, true)])
        .iter()
        .all(|index| *index == 1));
}

#[test]
fn full_own_failure_domain_is_avoided() {
    assert!(picks(&[load(3, false), load(15, true)])
        .iter()
        .all(|index| *index == 0));
}

#[test]
fn endpoints_get_calls_in_proportion_to_their_speed() {
    let speeds = [0.6, 1.0, 1.4];
    // Times in seconds at which the running calls of each endpoint end.
    let mut end_times: [Vec<f64>; 3] = Default::default();
    let mut call_counts = [0.0; 3];
    let mut rng = SmallRng::seed_from_u64(5);
    for step in 0..40_000 {
        let now = f64::from(step) * 0.001;
        for running in &mut end_times {
            running.retain(|end| *end > now);
        }
        let loads: Vec<ExecutorLoad> = end_times
            .iter()
            .map(|running| load(running.len() as u32, false))
            .collect();
        let Some(index) = pick_executor(&loads, IDEMPOTENT, &mut rng) else {
            continue;
        };
        end_times[index].push(now + 0.040 / speeds[index]);
        call_counts[index] += 1.0;
    }
    let ratio: f64 = call_counts[2] / call_counts[0];
    assert!(
        (ratio - 1.4 / 0.6).abs() < 0.25,
        "ratio of calls at the fast and the slow endpoint: {ratio}"
    );
}

#[test]
fn cold_endpoint_gets_fewer_calls() {
    let cold = ExecutorLoad {
        cold: true,
        ..load(5, false)
    };
    assert!(picks(&[cold, load(8, false)])
        .iter()
        .all(|index| *index == 1));
}

#[test]
fn silent_executor_is_left_while_another_one_answers() {
    // Pattern: a VM is suspended or its link narrows, and its last report shows an idle endpoint.
    let silent = ExecutorLoad {
        silent: true,
        ..load(0, true)
    };
    assert!(picks(&[silent, load(12, false)])
        .iter()
        .all(|index| *index == 1));
    assert!(picks(&[silent]).iter().all(|index| *index == 0));
}

#[test]
fn equal_loads_are_picked_evenly() {
    let picked = picks(&[load(4, false), load(4, false), load(4, false)]);
    for index in 0..3 {
        assert!(picked.iter().filter(|picked| **picked == index).count() > 20);
    }
}

#[test]
fn usable_slots_stay_just_below_the_utilisation_at_which_endpoints_slow_down() {
    for slots in [17_u32, 51, 212, 308] {
        let usable = usable_slots(slots);
        let utilisation = f64::from(usable) / f64::from(slots);
        assert!(
            utilisation < 0.95,
            "{usable} of {slots} slots must be below the slowdown"
        );
        assert!(
            utilisation > 0.9,
            "{usable} of {slots} slots must leave few unused"
        );
        // From a utilisation of 0.95 on, each call takes 1.3 times as long, so using all slots would
        // complete fewer calls.
        assert!(f64::from(usable) > f64::from(slots) / 1.3);
    }
    assert_eq!(usable_slots(1), 1);
}

#[test]
fn endpoint_that_sheds_draws_no_more_calls_than_the_others_under_a_burst() {
    // Pattern: one of three endpoints sheds 40% of its calls at once, and holds only the others, while
    // a burst keeps the service at nine tenths of its slots.
    let mut end_times: [Vec<f64>; 3] = Default::default();
    let mut calls = [0_u32; 3];
    let mut rng = SmallRng::seed_from_u64(8);
    let run_seconds = 0.040;
    for step in 0..36_720 {
        let now = f64::from(step) * run_seconds / (3.0 * 17.0 * 0.9);
        for running in &mut end_times {
            running.retain(|end| *end > now);
        }
        let loads = end_times.iter().enumerate().map(|(index, running)| {
            let share = if index == 0 { 0.4 } else { 0.0 };
            failing(load(running.len() as u32, false), share, false)
        });
        let loads: Vec<ExecutorLoad> = loads.collect();
        let index = pick_executor(&loads, IDEMPOTENT, &mut rng).expect("an executor");
        calls[index] += 1;
        let sheds = index == 0 && calls[0] % 5 < 2;
        if !sheds {
            end_times[index].push(now + run_seconds);
        }
    }
    assert!(calls[0] < calls[1].min(calls[2]), "calls: {calls:?}");
}

#[test]
fn calls_that_cannot_be_repeated_avoid_failures_more() {
    // Pattern: an endpoint fails a tenth of its calls, less than is needed to set it aside.
    let loads = [failing(load(2, false), 0.1, false), load(4, false)];
    let idempotent = picks_for(IDEMPOTENT, &loads, 400);
    let non_idempotent = picks_for(NON_IDEMPOTENT, &loads, 400);
    let failing_picks = |picks: &[usize]| picks.iter().filter(|index| **index == 0).count();
    assert!(failing_picks(&idempotent) > 100, "{idempotent:?}");
    assert!(failing_picks(&non_idempotent) < 20, "{non_idempotent:?}");
}

#[test]
fn endpoint_that_is_set_aside_gets_a_few_idempotent_calls_as_probes() {
    let aside = failing(load(0, true), 0.5, true);
    let loads = [aside, load(5, false), load(6, false), load(7, false)];
    let probes = |picks: Vec<usize>| picks.iter().filter(|index| **index == 0).count();
    let probed = probes(picks_for(IDEMPOTENT, &loads, 4_000));
    // A tenth of its even part of the calls is one in forty.
    assert!((50..150).contains(&probed), "{probed} probes");
    assert_eq!(probes(picks_for(NON_IDEMPOTENT, &loads, 4_000)), 0);
    let repeated = CallTraits {
        repeated: true,
        ..IDEMPOTENT
    };
    assert_eq!(probes(picks_for(repeated, &loads, 4_000)), 0);
}

#[test]
fn endpoint_that_is_set_aside_is_used_once_the_others_are_full() {
    // Pattern: half of the endpoints fail part of their calls while the demand needs all slots.
    let aside = failing(load(2, false), 0.4, true);
    let busy = [aside, load(15, false), load(16, false)];
    assert!(picks_for(NON_IDEMPOTENT, &busy, 200)
        .iter()
        .all(|index| *index != 0));
    let full = [aside, load(40, false), load(41, false)];
    assert!(picks_for(NON_IDEMPOTENT, &full, 200)
        .iter()
        .all(|index| *index == 0));
    assert!(picks(&[aside]).iter().all(|index| *index == 0));
}

#[test]
fn service_that_fails_everywhere_keeps_its_calls_in_the_own_failure_domain() {
    // Pattern: a service below fails, so that all endpoints above it fail alike.
    let own = failing(load(5, true), 0.6, false);
    let other = failing(load(0, false), 0.6, false);
    assert!(picks(&[own, other]).iter().all(|index| *index == 0));
}

#[test]
fn endpoint_that_is_taken_back_gets_fewer_calls_at_first() {
    let outlier = OutlierMark {
        slot_share: 0.2,
        ..OutlierMark::default()
    };
    let returning = ExecutorLoad {
        outlier,
        ..load(3, false)
    };
    assert!(picks(&[returning, load(12, false)])
        .iter()
        .all(|index| *index == 1));
}
