//! Allocates to each request class the share that may enter, by the cost of its whole call tree.
//!
//! A call that is refused deep in a tree wastes all the work done above it, so requests are refused
//! where they enter. Classes are served in order of rank, and within a rank in order of cost,
//! because the same capacity then serves more requests. A minimum share keeps every class from
//! starving.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Share of every class that is allocated before any class receives more, if the capacity suffices.
const MIN_CLASS_SHARE: f64 = 0.18;

/// Key of a request class: the requests of one route at one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey {
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Hash of the route's name.
    pub route: u32,
}

/// Capacity of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceCapacity {
    /// Slot-seconds a second.
    pub capacity: f64,
}

/// Demand of one request class.
#[derive(Debug, Clone)]
pub struct ClassDemand {
    pub key: ClassKey,
    /// Requests a second over all entries.
    pub offered: f64,
    /// Slot-seconds that one request uses at each service, by index into the capacities.
    pub costs: SmallVec<[(usize, f64); 4]>,
}

/// Returns, for each demand, the share of its requests that may enter.
pub fn allocate_shares(capacities: &[ServiceCapacity], demands: &[ClassDemand]) -> Vec<f64> {
    let mut remaining: Vec<f64> = capacities.iter().map(|service| service.capacity).collect();
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|first, second| {
        let (one, two) = (&demands[*first], &demands[*second]);
        let costs = bottleneck_use(one, capacities).total_cmp(&bottleneck_use(two, capacities));
        one.key.rank.cmp(&two.key.rank).then(costs)
    });
    allocate_minimum_shares(&mut remaining, demands, &mut shares);
    for index in order {
        let wanted_share = 1.0 - shares[index];
        shares[index] += allocate(&mut remaining, &demands[index], wanted_share);
    }
    shares
}

/// Returns the largest share of any one service's capacity that a single request uses.
fn bottleneck_use(demand: &ClassDemand, capacities: &[ServiceCapacity]) -> f64 {
    let fractions = demand
        .costs
        .iter()
        .map(|(index, cost)| cost / capacities[*index].capacity.max(f64::MIN_POSITIVE));
    fractions.fold(0.0, f64::max)
}

/// Allocates the same minimum share to all classes, or less where the minimum exceeds a capacity.
fn allocate_minimum_shares(remaining: &mut [f64], demands: &[ClassDemand], shares: &mut [f64]) {
    let mut demanded = vec![0.0; remaining.len()];
    for demand in demands {
        for (index, cost) in &demand.costs {
            demanded[*index] += demand.offered * cost;
        }
    }
    for (demand, share) in demands.iter().zip(shares.iter_mut()) {
        let limits = demand.costs.iter().map(|(index, _)| {
            if demanded[*index] > 0.0 {
                remaining[*index] / demanded[*index]
            } else {
                1.0
            }
        });
        *share = limits.fold(MIN_CLASS_SHARE, f64::min);
    }
    for (demand, share) in demands.iter().zip(shares.iter()) {
        for (index, cost) in &demand.costs {
            remaining[*index] = (remaining[*index] - demand.offered * cost * share).max(0.0);
        }
    }
}

/// Allocates up to `wanted_share` of a class from the remaining capacity and returns the share.
fn allocate(remaining: &mut [f64], demand: &ClassDemand, wanted_share: f64) -> f64 {
    let mut share = wanted_share;
    for (index, cost) in &demand.costs {
        let demanded = demand.offered * cost;
        if demanded > 0.0 {
            share = share.min(remaining[*index] / demanded);
        }
    }
    for (index, cost) in &demand.costs {
        remaining[*index] = (remaining[*index] - demand.offered * cost * share).max(0.0);
    }
    share
}
