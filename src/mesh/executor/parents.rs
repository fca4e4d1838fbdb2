//! Which request at the endpoint a call of the endpoint belongs to.
//!
//! A call carries its parent's deadline and nothing else that is promised. Where the requests that
//! run here and end at that moment are all of one class, it is one of them. At a busy endpoint
//! several classes end within the same milliseconds; then an identity that begins with that of a
//! request running here decides, and without one the nearest deadline among the classes that were
//! seen to call. What is learned serves admission only, so a wrong match harms no promise.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::super::link::CallOrigin;
use crate::decisions::roots::ClassKey;

/// Deadlines differ by the rounding to milliseconds and the time on the way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);
/// Separates the identity of a request from what a call of its tree adds.
const TREE_SEPARATOR: char = '.';

/// The requests that the endpoint runs.
#[derive(Debug, Default)]
pub struct ParentTable {
    running: BTreeMap<(Instant, u64), CallOrigin>,
    trees: HashMap<Box<str>, (u32, CallOrigin)>,
    callers: HashSet<ClassKey>,
    sequence: u64,
}

/// Removes a request that has ended.
#[derive(Debug)]
pub struct ParentKey {
    place: (Instant, u64),
    tree: Box<str>,
}

impl ParentTable {
    /// Adds a request and returns what removes it.
    pub fn add(&mut self, deadline: Instant, attempt: &str, origin: CallOrigin) -> ParentKey {
        self.sequence += 1;
        let place = (deadline, self.sequence);
        self.running.insert(place, origin);
        let tree: Box<str> = tree_id(attempt).into();
        self.trees.entry(tree.clone()).or_insert((0, origin)).0 += 1;
        ParentKey { place, tree }
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: &ParentKey) {
        self.running.remove(&key.place);
        if let Some((count, _)) = self.trees.get_mut(&key.tree) {
            *count -= 1;
            if *count == 0 {
                self.trees.remove(&key.tree);
            }
        }
    }

    /// The request that a call with this deadline and identity belongs to, if one is likely.
    pub fn find(&mut self, deadline: Instant, attempt: &str) -> Option<CallOrigin> {
        let from = (deadline - DEADLINE_TOLERANCE, 0);
        let to = (deadline + DEADLINE_TOLERANCE, u64::MAX);
        let mut nearest: Option<(Duration, CallOrigin)> = None;
        let mut classes: Option<ClassKey> = None;
        let mut alone = true;
        for ((at, _), origin) in self.running.range(from..=to) {
            alone &= *classes.get_or_insert(origin.class) == origin.class;
            let gap = distance(*at, deadline);
            let calls = self.callers.is_empty() || self.callers.contains(&origin.class);
            if calls && nearest.is_none_or(|(least, _)| gap < least) {
                nearest = Some((gap, *origin));
            }
        }
        let named = self.trees.get(tree_id(attempt)).map(|(_, origin)| *origin);
        let found = named.or(nearest.map(|(_, origin)| origin));
        if let Some(origin) = found.filter(|_| alone || named.is_some()) {
            self.callers.insert(origin.class);
        }
        found
    }
}

fn tree_id(attempt: &str) -> &str {
    attempt.split(TREE_SEPARATOR).next().unwrap_or(attempt)
}

fn distance(one: Instant, two: Instant) -> Duration {
    one.max(two).saturating_duration_since(one.min(two))
}
