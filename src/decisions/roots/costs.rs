//! What the whole tree of a route's request costs at each service, learned from use.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

/// Memory of use and admissions. Both decay alike, so their ratio holds while admission changes
/// quickly and the use that belongs to it comes later.
const MEMORY: Duration = Duration::from_secs(8);
/// Fewer admitted requests than this say too little about a cost.
const MIN_REQUESTS: f64 = 5.0;
/// Costs below this, in slot-seconds, don't count.
const MIN_COST: f64 = 0.002;

/// Decayed sums of slot-seconds and of admitted requests.
#[derive(Debug, Default)]
pub struct TreeCosts {
    busy: HashMap<(u32, u32), f64>,
    admitted: HashMap<u32, f64>,
}

impl TreeCosts {
    /// Forgets a part of what was seen, before the observations of the next `elapsed`.
    pub fn decay(&mut self, elapsed: Duration) {
        let keep = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.busy.values_mut().for_each(|sum| *sum *= keep);
        self.admitted.values_mut().for_each(|sum| *sum *= keep);
        self.busy.retain(|_, sum| *sum > 1e-3);
        self.admitted.retain(|_, sum| *sum > 1e-3);
    }

    /// Notes slot-seconds that trees of a route used at a service.
    pub fn note_busy(&mut self, route: u32, service: u32, seconds: f64) {
        *self.busy.entry((route, service)).or_default() += seconds;
    }

    /// Notes requests of a route that were let in.
    pub fn note_admitted(&mut self, route: u32, requests: f64) {
        *self.admitted.entry(route).or_default() += requests;
    }

    /// The costs of one route at the given services, by their positions.
    pub fn at(&self, route: u32, services: &[u32]) -> SmallVec<[(usize, f64); 4]> {
        let mut found = SmallVec::new();
        let admitted = self.admitted.get(&route).copied().unwrap_or(0.0);
        if admitted < MIN_REQUESTS {
            return found;
        }
        for (index, service) in services.iter().enumerate() {
            let busy = self.busy.get(&(route, *service)).copied().unwrap_or(0.0);
            let cost = busy / admitted;
            if cost >= MIN_COST {
                found.push((index, cost));
            }
        }
        found
    }
}
