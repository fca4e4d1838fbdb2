//! What the whole tree of a route's request costs at each service.
//!
//! Learned from the trees of requests that were answered: those that failed stopped half-way and
//! would make a collapse look cheap.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Weight of one more tree, once enough were seen.
const TREE_WEIGHT: f64 = 0.04;
/// Costs below this, in slot-seconds, don't count.
const MIN_COST: f64 = 0.002;

#[derive(Debug, Default)]
struct RouteCosts {
    trees: u32,
    mean: HashMap<u32, f64>,
}

/// Smoothed slot-seconds of each route's trees at each service.
#[derive(Debug, Default)]
pub struct TreeCosts {
    routes: HashMap<u32, RouteCosts>,
}

impl TreeCosts {
    /// Takes the slot-seconds that one whole tree used, by service.
    pub fn note_tree(&mut self, route: u32, used: impl Iterator<Item = (u32, f64)>) {
        let costs = self.routes.entry(route).or_default();
        costs.trees = costs.trees.saturating_add(1);
        let weight = TREE_WEIGHT.max(1.0 / f64::from(costs.trees));
        costs
            .mean
            .values_mut()
            .for_each(|mean| *mean *= 1.0 - weight);
        for (service, seconds) in used {
            *costs.mean.entry(service).or_default() += weight * seconds;
        }
    }

    /// What is known of a route: pairs of a service and slot-seconds.
    pub fn of(&self, route: u32) -> SmallVec<[(u32, f64); 4]> {
        let costs = self.routes.get(&route).into_iter();
        costs
            .flat_map(|one| one.mean.iter())
            .filter(|(_, cost)| **cost >= MIN_COST)
            .map(|(service, cost)| (*service, *cost))
            .collect()
    }
}
