//! Which request at the endpoint a call of the endpoint belongs to.
//!
//! A call carries its parent's deadline and nothing else that is promised. The request that runs
//! here and ends at that moment is its parent; two with the same deadline are of the same kind more
//! often than not. What is learned serves admission only, so a wrong match harms no promise.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::super::link::CallOrigin;

/// Deadlines differ by the rounding to milliseconds and the time on the way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);

/// The requests that the endpoint runs, by deadline.
#[derive(Debug, Default)]
pub struct ParentTable {
    running: BTreeMap<(Instant, u64), CallOrigin>,
    sequence: u64,
}

impl ParentTable {
    /// Adds a request and returns what removes it.
    pub fn add(&mut self, deadline: Instant, origin: CallOrigin) -> (Instant, u64) {
        self.sequence += 1;
        let key = (deadline, self.sequence);
        self.running.insert(key, origin);
        key
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: (Instant, u64)) {
        self.running.remove(&key);
    }

    /// The request whose deadline is nearest, if one is near.
    pub fn find(&self, deadline: Instant) -> Option<CallOrigin> {
        let after = self.running.range((deadline, 0)..).next();
        let before = self.running.range(..(deadline, 0)).next_back();
        let near = [before, after].into_iter().flatten();
        near.map(|((at, _), origin)| (distance(*at, deadline), *origin))
            .filter(|(gap, _)| *gap <= DEADLINE_TOLERANCE)
            .min_by_key(|(gap, _)| *gap)
            .map(|(_, origin)| origin)
    }
}

fn distance(one: Instant, two: Instant) -> Duration {
    one.max(two).saturating_duration_since(one.min(two))
}
