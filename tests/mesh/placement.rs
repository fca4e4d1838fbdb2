//! Placement by work in hand over slots.

use marigoldhatch::decisions::placement::pick_executor;
use marigoldhatch::decisions::placement::usable_slots;
use marigoldhatch::decisions::placement::ExecutorLoad;
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn load(in_hand: u32, same_domain: bool) -> ExecutorLoad {
    ExecutorLoad {
        in_hand,
        slots: 17,
        cold: false,
        same_domain,
    }
}

fn picks(loads: &[ExecutorLoad]) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(3);
    let drawn = (0..200).filter_map(|_| pick_executor(loads, &mut rng));
    drawn.collect()
}

#[test]
fn the_own_domain_is_kept_while_it_has_slack() {
    assert!(picks(&[load(0, false), load(6, true)])
        .iter()
        .all(|index| *index == 1));
}

#[test]
fn a_full_own_domain_is_left() {
    assert!(picks(&[load(3, false), load(15, true)])
        .iter()
        .all(|index| *index == 0));
}

#[test]
fn slow_endpoint_gets_work_by_its_speed() {
    let speeds = [0.6, 1.0, 1.4];
    let mut running: [Vec<f64>; 3] = Default::default();
    let mut given = [0.0; 3];
    let mut rng = SmallRng::seed_from_u64(5);
    for step in 0..40_000 {
        let now = f64::from(step) * 0.001;
        for ends in &mut running {
            ends.retain(|end| *end > now);
        }
        let loads: Vec<ExecutorLoad> = running
            .iter()
            .map(|ends| load(ends.len() as u32, false))
            .collect();
        let Some(index) = pick_executor(&loads, &mut rng) else {
            continue;
        };
        running[index].push(now + 0.040 / speeds[index]);
        given[index] += 1.0;
    }
    let ratio: f64 = given[2] / given[0];
    assert!((ratio - 1.4 / 0.6).abs() < 0.25, "fast over slow: {ratio}");
}

#[test]
fn cold_endpoints_get_less() {
    let cold = ExecutorLoad {
        cold: true,
        ..load(5, false)
    };
    assert!(picks(&[cold, load(8, false)])
        .iter()
        .all(|index| *index == 1));
}

#[test]
fn entries_with_the_same_reports_spread() {
    let picked = picks(&[load(4, false), load(4, false), load(4, false)]);
    for index in 0..3 {
        assert!(picked.iter().filter(|one| **one == index).count() > 20);
    }
}

#[test]
fn an_endpoint_that_slows_down_when_nearly_full_finishes_more_below_that() {
    for slots in [17_u32, 51, 212, 308] {
        let given = usable_slots(slots);
        let used = f64::from(given) / f64::from(slots);
        assert!(used < 0.95, "{given} of {slots} is below the share");
        assert!(used > 0.9, "{given} of {slots} leaves little unused");
        // At and above the share each call takes 1.3 times as long.
        assert!(f64::from(given) > f64::from(slots) / 1.3);
    }
    assert_eq!(usable_slots(1), 1);
}
