//! Queue of an executor: strict priority by importance, fair queueing of organisations within it.
//!
//! Within an importance, start-time fair queueing selects the organisation with the least service
//! relative to its weight. A full queue evicts a call of the least importance, and within the same
//! importance one of the organisation with the longest queue relative to its weight.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::wire::importance_rank;
use crate::wire::Importance;
use crate::wire::IMPORTANCES;

/// Identifier of a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallTicket(pub u64);

/// Attributes of a call that determine its place in the queue.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    pub ticket: CallTicket,
    pub organisation: String,
    pub weight: u32,
    pub importance: Importance,
    /// Time after which a response is no longer useful.
    pub deadline: Duration,
}

#[derive(Debug)]
struct OrganisationQueue {
    weight: f64,
    /// Virtual time at which the next call may start.
    start_tag: f64,
    waiting: VecDeque<QueuedCall>,
}

impl OrganisationQueue {
    fn weighted_length(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }
}

#[derive(Debug, Default)]
struct ImportanceQueue {
    virtual_time: f64,
    /// Sorted by organisation name, which makes the order of calls deterministic.
    queues: BTreeMap<String, OrganisationQueue>,
    waiting: usize,
}

/// Queue of the calls that wait at one executor.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    levels: [ImportanceQueue; IMPORTANCES.len()],
}

impl AdmissionQueue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.levels.iter().map(|level| level.waiting).sum()
    }

    /// Returns true if no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of calls that would be served before a new one with these attributes.
    ///
    /// Within the same importance these are the organisation's own calls and the fair share of the
    /// other organisations, not the whole of a longer queue.
    pub fn count_ahead(&self, importance: Importance, organisation: &str, weight: u32) -> usize {
        let rank = importance_rank(importance);
        let more_important: usize = self.levels[..rank].iter().map(|level| level.waiting).sum();
        more_important + self.levels[rank].count_ahead(organisation, f64::from(weight.max(1)))
    }

    /// Appends a call to the queue of its organisation.
    pub fn push(&mut self, call: QueuedCall) {
        self.levels[importance_rank(call.importance)].push(call);
    }

    /// Removes and returns the next call to run.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.levels.iter_mut().find_map(ImportanceQueue::pop)
    }

    /// Removes a call whose caller disconnected.
    pub fn cancel(&mut self, ticket: CallTicket) -> Option<QueuedCall> {
        self.levels
            .iter_mut()
            .find_map(|level| level.cancel(ticket))
    }

    /// Removes all calls that would miss their deadline if they took `service_time` from now.
    pub fn expire(&mut self, now: Duration, service_time: Duration) -> Vec<QueuedCall> {
        let latest = now + service_time;
        let mut expired = Vec::new();
        for level in &mut self.levels {
            level.expire(latest, &mut expired);
        }
        expired
    }

    /// Evicts a call over which `arriving` has precedence, if there is one.
    pub fn evict_for(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        let rank = importance_rank(arriving.importance);
        for level in self.levels[rank + 1..].iter_mut().rev() {
            if let Some(evicted) = level.evict_longest() {
                return Some(evicted);
            }
        }
        self.levels[rank].evict_longer_than(arriving)
    }

    /// Returns true if a call of lower importance is queued.
    pub fn has_less_important(&self, importance: Importance) -> bool {
        let rank = importance_rank(importance);
        self.levels[rank + 1..]
            .iter()
            .any(|level| level.waiting > 0)
    }
}

impl ImportanceQueue {
    fn push(&mut self, call: QueuedCall) {
        let weight = f64::from(call.weight.max(1));
        let virtual_time = self.virtual_time;
        let queue = self
            .queues
            .entry(call.organisation.clone())
            .or_insert_with(|| OrganisationQueue {
                weight,
                start_tag: virtual_time,
                waiting: VecDeque::new(),
            });
        queue.weight = weight;
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.waiting.push_back(call);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<QueuedCall> {
        if self.waiting == 0 {
            return None;
        }
        let queue = self
            .queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty())
            .min_by(|a, b| a.start_tag.total_cmp(&b.start_tag).then(compare_age(a, b)))?;
        let call = queue.waiting.pop_front()?;
        self.virtual_time = queue.start_tag;
        queue.start_tag += 1.0 / queue.weight;
        self.waiting -= 1;
        self.remove_idle();
        Some(call)
    }

    fn count_ahead(&self, organisation: &str, weight: f64) -> usize {
        let own = self
            .queues
            .get(organisation)
            .map_or(0, |queue| queue.waiting.len());
        let turns = (own + 1) as f64 / weight;
        let others: f64 = self
            .queues
            .iter()
            .filter(|(name, _)| name.as_str() != organisation)
            .map(|(_, queue)| (queue.waiting.len() as f64).min(turns * queue.weight))
            .sum();
        own + others as usize
    }

    fn cancel(&mut self, ticket: CallTicket) -> Option<QueuedCall> {
        for queue in self.queues.values_mut() {
            let position = queue.waiting.iter().position(|call| call.ticket == ticket);
            if let Some(call) = position.and_then(|at| queue.waiting.remove(at)) {
                self.waiting -= 1;
                return Some(call);
            }
        }
        None
    }

    fn expire(&mut self, latest: Duration, expired: &mut Vec<QueuedCall>) {
        let before = expired.len();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|call| {
                let alive = call.deadline >= latest;
                if !alive {
                    expired.push(call.clone());
                }
                alive
            });
        }
        self.waiting -= expired.len() - before;
    }

    fn evict_longest(&mut self) -> Option<QueuedCall> {
        let queue = self.longest_queue()?;
        let call = queue.waiting.pop_back();
        self.waiting -= usize::from(call.is_some());
        call
    }

    fn evict_longer_than(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        let weight = f64::from(arriving.weight.max(1));
        let own = self
            .queues
            .get(&arriving.organisation)
            .map_or(0, |queue| queue.waiting.len());
        let own_length = (own + 1) as f64 / weight;
        let longest = self.longest_queue()?.weighted_length();
        if longest <= own_length {
            return None;
        }
        self.evict_longest()
    }

    fn longest_queue(&mut self) -> Option<&mut OrganisationQueue> {
        self.queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty())
            .max_by(|a, b| {
                a.weighted_length()
                    .total_cmp(&b.weighted_length())
                    .then(compare_age(a, b))
            })
    }

    /// Removes empty queues whose start tag has passed: a new queue would start the same way.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.start_tag > virtual_time);
    }
}

/// Orders queues by the age of their first call; breaks ties deterministically.
fn compare_age(a: &OrganisationQueue, b: &OrganisationQueue) -> std::cmp::Ordering {
    let front = |queue: &OrganisationQueue| queue.waiting.front().map(|call| call.ticket);
    front(a).cmp(&front(b))
}
