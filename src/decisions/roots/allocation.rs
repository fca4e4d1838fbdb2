//! The share of each class of requests that may enter, from what its whole tree costs.
//!
//! A call that is refused wastes all the work done above it, so work is refused where it enters.
//! The classes are filled in order of rank, and within a rank the cheapest tree first, since the
//! same scarce time then serves more requests. Every class keeps a floor so that none starves.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Share of a class that enters before any class gets more, while the supply lasts.
const CLASS_FLOOR: f64 = 0.18;

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
pub struct ServiceSupply {
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
pub fn share_supply(supplies: &[ServiceSupply], demands: &[ClassDemand]) -> Vec<f64> {
    let mut left: Vec<f64> = supplies.iter().map(|supply| supply.capacity).collect();
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|first, second| {
        let (one, two) = (&demands[*first], &demands[*second]);
        let costs = scarcity(one, supplies).total_cmp(&scarcity(two, supplies));
        one.key.rank.cmp(&two.key.rank).then(costs)
    });
    fill_floors(&mut left, demands, &mut shares);
    for index in order {
        let room = 1.0 - shares[index];
        shares[index] += take(&mut left, &demands[index], room);
    }
    shares
}

/// The largest part of any one supply that a single request takes.
fn scarcity(demand: &ClassDemand, supplies: &[ServiceSupply]) -> f64 {
    let parts = demand
        .costs
        .iter()
        .map(|(index, cost)| cost / supplies[*index].capacity.max(f64::MIN_POSITIVE));
    parts.fold(0.0, f64::max)
}

/// Gives all classes the same floor, cut down where even the floors exceed a supply.
fn fill_floors(left: &mut [f64], demands: &[ClassDemand], shares: &mut [f64]) {
    let mut asked = vec![0.0; left.len()];
    for demand in demands {
        for (index, cost) in &demand.costs {
            asked[*index] += demand.offered * cost;
        }
    }
    for (demand, share) in demands.iter().zip(shares.iter_mut()) {
        let fits = demand.costs.iter().map(|(index, _)| {
            if asked[*index] > 0.0 {
                left[*index] / asked[*index]
            } else {
                1.0
            }
        });
        *share = fits.fold(CLASS_FLOOR, f64::min);
    }
    for (demand, share) in demands.iter().zip(shares.iter()) {
        for (index, cost) in &demand.costs {
            left[*index] = (left[*index] - demand.offered * cost * share).max(0.0);
        }
    }
}

/// Takes up to `room` of a class from the supplies and returns the share that fits.
fn take(left: &mut [f64], demand: &ClassDemand, room: f64) -> f64 {
    let mut share = room;
    for (index, cost) in &demand.costs {
        let asked = demand.offered * cost;
        if asked > 0.0 {
            share = share.min(left[*index] / asked);
        }
    }
    for (index, cost) in &demand.costs {
        left[*index] = (left[*index] - demand.offered * cost * share).max(0.0);
    }
    share
}
