//! What the whole tree of a route's request costs at each service, learned from use.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Weight of a new observation: reports come a few times a second and are noisy.
const NEW_WEIGHT: f64 = 0.12;
/// Fewer admitted requests a second than this say too little about a cost.
const MIN_RATE: f64 = 1.0;
/// Costs below this, in slot-seconds, don't count.
const MIN_COST: f64 = 0.002;

/// Smoothed slot-seconds of each route at each service.
#[derive(Debug, Default)]
pub struct TreeCosts {
    costs: HashMap<(u32, u32), f64>,
}

impl TreeCosts {
    /// Notes that `busy` slot-seconds a second at `service` served `admitted` requests a second.
    pub fn observe(&mut self, route: u32, service: u32, busy: f64, admitted: f64) {
        if admitted < MIN_RATE {
            return;
        }
        let seen = busy / admitted;
        let cost = self.costs.entry((route, service)).or_insert(seen);
        *cost += NEW_WEIGHT * (seen - *cost);
    }

    /// The costs of one route at the given services, by their positions.
    pub fn at(&self, route: u32, services: &[u32]) -> SmallVec<[(usize, f64); 4]> {
        let mut found = SmallVec::new();
        for (index, service) in services.iter().enumerate() {
            match self.costs.get(&(route, *service)) {
                Some(cost) if *cost >= MIN_COST => found.push((index, *cost)),
                _ => {}
            }
        }
        found
    }
}
