//! Models the demand of organisations.

use std::time::Duration;

use marigoldhatch::wire::Importance;
use rand::rngs::SmallRng;
use rand::Rng;

use super::case::OverloadCase;
use super::case::GREEDY_FACTOR;
use super::case::SURGE_FACTOR;
use super::case::TRIGGER_START;

/// Requests per second that the deep service can complete without a fault.
pub const CAPACITY: f64 = 1_500.0;
/// Demand outside the trigger, as a share of capacity.
pub const BASE_LOAD: f64 = 0.6;
/// Share of demand of each organisation: a few large ones and several small ones.
pub const DEMAND_SHARES: [f64; 8] = [0.3, 0.3, 0.1, 0.08, 0.07, 0.06, 0.05, 0.04];
/// Index of the organisation that exceeds its rate in the greedy case.
pub const GREEDY_ORGANISATION: usize = 0;
/// Ratio of rate to base demand in the cases in which rates limit demand.
const RATE_MARGIN: f64 = 1.25;
/// Ratio of rate to base demand in the cases in which admission limits demand.
const OPEN_RATE_MARGIN: f64 = 50.0;
const CRITICAL_SHARE: f64 = 0.1;
const LOW_SHARE: f64 = 0.3;

/// Requests per second that an organisation sends at time `now`.
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

/// Rate of an organisation, in requests per second.
pub fn rate(case: OverloadCase, organisation: usize) -> f64 {
    let base_rate = CAPACITY * BASE_LOAD * DEMAND_SHARES[organisation];
    let margin = if case.has_demand_surge() {
        OPEN_RATE_MARGIN
    } else {
        RATE_MARGIN
    };
    base_rate * margin
}

/// Burst of an organisation, in requests.
pub fn burst(case: OverloadCase, organisation: usize) -> f64 {
    rate(case, organisation).max(8.0)
}

/// Weight of every organisation; equal, so that large organisations can't claim the share of small
/// ones.
pub const WEIGHT: u32 = 1;

/// Samples the importance of a request.
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

/// Samples the time to the next event of a Poisson process.
pub fn sample_interval(rng: &mut SmallRng, per_second: f64) -> Duration {
    let sample: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64((-sample.ln() / per_second.max(1e-6)).min(3_600.0))
}

/// Returns the max-min fair share of a capacity for each of the offered demands.
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
