//! Which request at the endpoint a call of the endpoint belongs to, and what its tree has used.
//!
//! Where the identity of a call extends that of a request that runs here, that request is the
//! parent. Nothing promises such identities; without them the parent is the request with the
//! nearest deadline, since a call carries its parent's. What is learned serves admission only, so a
//! wrong match harms no promise.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::super::link::CallOrigin;
use super::super::link::ServiceUsage;

/// Deadlines differ by the rounding to milliseconds and the time on the way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);
/// Separates the identity of a request from what a call adds.
const CALL_SEPARATOR: char = '.';

/// Slot time at each service.
pub type TreeUsage = SmallVec<[ServiceUsage; 4]>;

#[derive(Debug)]
struct ParentRecord {
    origin: CallOrigin,
    deadline: Instant,
    attempt: Box<str>,
    usage: TreeUsage,
}

/// The requests that the endpoint runs.
#[derive(Debug, Default)]
pub struct ParentTable {
    running: HashMap<u64, ParentRecord>,
    by_deadline: BTreeMap<(Instant, u64), ()>,
    by_attempt: HashMap<Box<str>, u64>,
    sequence: u64,
}

impl ParentTable {
    /// Adds a request and returns its number.
    pub fn add(&mut self, deadline: Instant, attempt: &str, origin: CallOrigin) -> u64 {
        self.sequence += 1;
        let number = self.sequence;
        let record = ParentRecord {
            origin,
            deadline,
            attempt: attempt.into(),
            usage: TreeUsage::new(),
        };
        self.by_attempt.insert(record.attempt.clone(), number);
        self.by_deadline.insert((deadline, number), ());
        self.running.insert(number, record);
        number
    }

    /// Removes a request that has ended and returns what its calls used.
    pub fn remove(&mut self, number: u64) -> TreeUsage {
        let Some(record) = self.running.remove(&number) else {
            return TreeUsage::new();
        };
        self.by_deadline.remove(&(record.deadline, number));
        self.by_attempt.remove(&record.attempt);
        record.usage
    }

    /// The request that a call with this deadline and identity belongs to, if one is likely.
    pub fn find(&self, deadline: Instant, attempt: &str) -> Option<(u64, CallOrigin)> {
        let named = attempt.rsplit_once(CALL_SEPARATOR);
        let named = named.and_then(|(parent, _)| self.by_attempt.get(parent).copied());
        let number = named.or_else(|| self.nearest_by_deadline(deadline))?;
        Some((number, self.running.get(&number)?.origin))
    }

    /// Adds what a call of a running request used.
    pub fn add_usage(&mut self, number: u64, usage: &[ServiceUsage]) {
        if let Some(record) = self.running.get_mut(&number) {
            merge_usage(&mut record.usage, usage);
        }
    }

    fn nearest_by_deadline(&self, deadline: Instant) -> Option<u64> {
        let after = self.by_deadline.range((deadline, 0)..).next();
        let before = self.by_deadline.range(..(deadline, 0)).next_back();
        let near = [before, after].into_iter().flatten();
        near.map(|((at, number), ())| (time_between(*at, deadline), *number))
            .filter(|(gap, _)| *gap <= DEADLINE_TOLERANCE)
            .min_by_key(|(gap, _)| *gap)
            .map(|(_, number)| number)
    }
}

/// Adds slot times, service by service.
pub fn merge_usage(total: &mut TreeUsage, usage: &[ServiceUsage]) {
    for one in usage {
        match total.iter_mut().find(|sum| sum.service == one.service) {
            Some(sum) => sum.slot_us = sum.slot_us.saturating_add(one.slot_us),
            None => total.push(*one),
        }
    }
}

fn time_between(one: Instant, two: Instant) -> Duration {
    one.max(two).saturating_duration_since(one.min(two))
}
