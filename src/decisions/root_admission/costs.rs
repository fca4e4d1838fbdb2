//! What the whole tree of a route's request costs at each service.
//!
//! Learned from the trees of requests that were answered: those that failed stopped half-way and
//! would make a collapse look cheap. Until enough were answered, as after a restart of the whole
//! fleet into full load, twice what failed trees used stands in for it.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Weight of one more tree, once enough were seen.
const MIN_TREE_WEIGHT: f64 = 0.04;
/// Costs below this, in slot-seconds, don't count.
const MIN_COST_SLOT_S: f64 = 0.002;

/// Answered trees from which their mean is trusted alone.
const MIN_ANSWERED_TREES: u32 = 8;
/// A tree that fails has used about half of what it would have.
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

/// Smoothed slot-seconds of each route's trees at each service.
#[derive(Debug, Default)]
pub struct TreeCosts {
    routes: HashMap<u32, RouteCosts>,
}

impl TreeCosts {
    /// Takes the slot-seconds that one tree used, by service, and whether it was answered well.
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

    /// What is known of a route: pairs of a service and slot-seconds.
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
