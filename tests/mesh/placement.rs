//! Choice of an executor by its running and waiting calls relative to its slots.

use marigoldhatch::decisions::placement::pick_executor;
use marigoldhatch::decisions::placement::usable_slots;
use marigoldhatch::decisions::placement::ExecutorLoad;
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn load(in_hand: u32, same_domain: bool) -> ExecutorLoad {
    ExecutorLoad {
        in_hand,
        slots: 17,
        rated: false,
        cold: false,
        same_domain,
        silent: false,
    }
}

fn picks(loads: &[ExecutorLoad]) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(3);
    let drawn = (0..200).filter_map(|_| pick_executor(loads, &mut rng));
    drawn.collect()
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
        let Some(index) = pick_executor(&loads, &mut rng) else {
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
