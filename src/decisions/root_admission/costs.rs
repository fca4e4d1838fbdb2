//! Estimates the cost of a route's whole call tree at each service.
//!
//! The estimate uses the trees of successful requests. Failed ones stop part-way, so that including
//! them would underestimate the cost during an overload collapse. Until enough requests have
//! succeeded, such as after a restart of the whole fleet under full load, twice the cost of the
//! failed trees is used instead.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Weight of the newest tree in the mean; the first trees weigh more.
const MIN_TREE_WEIGHT: f64 = 0.04;
/// Mean cost in slot-seconds below which a service is left out.
const MIN_COST_SLOT_S: f64 = 0.002;

/// Number of successful trees from which the failed ones are ignored.
const MIN_ANSWERED_TREES: u32 = 8;
/// Factor from the cost of a failed tree to that of a whole one: failed trees use about half.
const FAILED_TREE_FACTOR: f64 = 2.0;

#[derive(Debug, Default)]
struct MeanCosts {
    trees: u32,
    mean: HashMap<u32, f64>,
}

#[derive(Debug, Default)]
struct RouteCosts {
    answered: MeanCosts,
    failed: MeanCosts,
}

/// Moving averages of the slot-seconds that each route's call trees use at each service.
#[derive(Debug, Default)]
pub struct TreeCosts {
    routes: HashMap<u32, RouteCosts>,
}

impl TreeCosts {
    /// Records the slot-seconds that one call tree used, by service, and whether it succeeded.
    pub fn record_tree(
        &mut self,
        route: u32,
        answered: bool,
        used: impl Iterator<Item = (u32, f64)>,
    ) {
        let costs = self.routes.entry(route).or_default();
        if answered {
            costs.answered.record(used);
        } else {
            costs.failed.record(used);
        }
    }

    /// Returns the estimated cost of a route as pairs of a service and its slot-seconds.
    pub fn route_costs(&self, route: u32) -> SmallVec<[(u32, f64); 4]> {
        let Some(costs) = self.routes.get(&route) else {
            return SmallVec::new();
        };
        let mut means = costs.answered.mean.clone();
        if costs.answered.trees < MIN_ANSWERED_TREES {
            for (service, used) in &costs.failed.mean {
                let mean = means.entry(*service).or_default();
                *mean = mean.max(used * FAILED_TREE_FACTOR);
            }
        }
        means.retain(|_, cost| *cost >= MIN_COST_SLOT_S);
        means.into_iter().collect()
    }
}

impl MeanCosts {
    fn record(&mut self, used: impl Iterator<Item = (u32, f64)>) {
        self.trees = self.trees.saturating_add(1);
        let weight = MIN_TREE_WEIGHT.max(1.0 / f64::from(self.trees));
        self.mean
            .values_mut()
            .for_each(|mean| *mean *= 1.0 - weight);
        for (service, seconds) in used {
            *self.mean.entry(service).or_default() += weight * seconds;
        }
    }
}
