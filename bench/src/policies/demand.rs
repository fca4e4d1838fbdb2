//! Organisations and what they send.

use std::time::Duration;

use marigoldhatch::wire::Importance;
use rand::rngs::SmallRng;
use rand::Rng;

use super::case::OverloadCase;
use super::case::GREEDY_FACTOR;
use super::case::SURGE_FACTOR;
use super::case::TRIGGER_START;

/// Whole requests a second that the deep service can answer when nothing is wrong.
pub const CAPACITY: f64 = 1_500.0;
/// Demand in quiet times, as a share of capacity.
pub const BASE_LOAD: f64 = 0.6;
/// Shares of demand: a few large organisations and several small ones.
pub const DEMAND_SHARES: [f64; 8] = [0.3, 0.3, 0.1, 0.08, 0.07, 0.06, 0.05, 0.04];
/// The organisation that sends too much in the greedy case.
pub const GREEDY_ORGANISATION: usize = 0;
/// Rate over quiet demand, where rates are meant to bind.
const RATE_MARGIN: f64 = 1.25;
/// Rate over quiet demand, where admission is meant to bind.
const OPEN_RATE_MARGIN: f64 = 50.0;
const CRITICAL_SHARE: f64 = 0.1;
const LOW_SHARE: f64 = 0.3;

/// Requests a second that an organisation sends at a time.
pub fn offered_rate(case: OverloadCase, organisation: usize, now: Duration) -> f64 {
    let base_rate = CAPACITY * BASE_LOAD * DEMAND_SHARES[organisation];
    let triggered = (TRIGGER_START..case.trigger_end()).contains(&now);
    if !triggered {
        return base_rate;
    }
    if case.has_demand_surge() {
        return CAPACITY * SURGE_FACTOR * DEMAND_SHARES[organisation];
    }
    if case == OverloadCase::GreedyOrganisation && organisation == GREEDY_ORGANISATION {
        return rate(case, organisation) * GREEDY_FACTOR;
    }
    base_rate
}

/// The rate of an organisation.
pub fn rate(case: OverloadCase, organisation: usize) -> f64 {
    let base_rate = CAPACITY * BASE_LOAD * DEMAND_SHARES[organisation];
    let margin = if case.has_demand_surge() {
        OPEN_RATE_MARGIN
    } else {
        RATE_MARGIN
    };
    base_rate * margin
}

/// The burst of an organisation.
pub fn burst(case: OverloadCase, organisation: usize) -> f64 {
    rate(case, organisation).max(8.0)
}

/// Weights are equal, so that the large ones have no claim on the small ones' part.
pub const WEIGHT: u32 = 1;

/// Draws what a request is.
pub fn sample_importance(rng: &mut SmallRng) -> Importance {
    let sample: f64 = rng.random_range(0.0..1.0);
    if sample < CRITICAL_SHARE {
        Importance::Critical
    } else if sample < 1.0 - LOW_SHARE {
        Importance::Normal
    } else {
        Importance::Low
    }
}

/// Draws the time to the next event of a Poisson process.
pub fn sample_interval(rng: &mut SmallRng, per_second: f64) -> Duration {
    let sample: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64((-sample.ln() / per_second.max(1e-6)).min(3_600.0))
}

/// The max-min fair part of a capacity for each of several demands.
pub fn max_min_shares(offered: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; offered.len()];
    let mut remaining = capacity;
    let mut unsatisfied: Vec<usize> = (0..offered.len()).collect();
    while !unsatisfied.is_empty() {
        let share = remaining / unsatisfied.len() as f64;
        let (satisfied, larger): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|index| offered[**index] <= share);
        if satisfied.is_empty() {
            for index in larger {
                shares[index] = share;
            }
            break;
        }
        for index in satisfied {
            shares[index] = offered[index];
            remaining -= offered[index];
        }
        unsatisfied = larger;
    }
    shares
}
