//! The share of each class of requests that may enter, from what its whole tree costs.
//!
//! A call that is refused wastes all the work done above it, so work is refused where it enters.
//! The classes are filled in order of rank, and within a rank the cheapest tree first, since the
//! same scarce time then serves more requests. Every class keeps a floor so that none starves.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Share of a class that enters before any class gets more, while the supply lasts.
const MIN_CLASS_SHARE: f64 = 0.18;

/// Requests of one route at one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey {
    /// 0 is served first.
    pub rank: u8,
    /// Hash of the route's name.
    pub route: u32,
}

/// What one service can give.
#[derive(Debug, Clone, Copy)]
pub struct ServiceCapacity {
    /// Slot-seconds a second.
    pub capacity: f64,
}

/// What one class asks for.
#[derive(Debug, Clone)]
pub struct ClassDemand {
    pub key: ClassKey,
    /// Requests a second at all entries.
    pub offered: f64,
    /// Slot-seconds that one request costs at each service, by position in the supplies.
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

/// The largest part of any one supply that a single request takes.
fn bottleneck_use(demand: &ClassDemand, capacities: &[ServiceCapacity]) -> f64 {
    let fractions = demand
        .costs
        .iter()
        .map(|(index, cost)| cost / capacities[*index].capacity.max(f64::MIN_POSITIVE));
    fractions.fold(0.0, f64::max)
}

/// Gives all classes the same floor, cut down where even the floors exceed a supply.
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

/// Takes up to `wanted_share` of a class from the supplies and returns the share that fits.
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
