//! Work that waits at an executor: importance first, organisations fairly within one importance.
//!
//! Within an importance the organisation with the least served work for its weight goes next
//! (start-time fair queueing). When the queue is full, room is made at the expense of the least
//! important work, then of the organisation with the longest line for its weight.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::wire::importance_rank;
use crate::wire::Importance;
use crate::wire::IMPORTANCES;

/// Names one piece of queued work for as long as it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallTicket(pub u64);

/// What the queue must know of a call.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    pub ticket: CallTicket,
    pub organisation: String,
    pub weight: u32,
    pub importance: Importance,
    /// When its answer is of no more use.
    pub deadline: Duration,
}

#[derive(Debug)]
struct OrganisationQueue {
    weight: f64,
    /// Virtual time at which its next work may start.
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
    /// In the order of the organisations' names, so that the same calls get the same order.
    queues: BTreeMap<String, OrganisationQueue>,
    waiting: usize,
}

/// The queue of one executor.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    levels: [ImportanceQueue; IMPORTANCES.len()],
}

impl AdmissionQueue {
    /// Work that waits.
    pub fn len(&self) -> usize {
        self.levels.iter().map(|level| level.waiting).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Work that would be served before new work of this importance and organisation.
    ///
    /// Within the importance an organisation waits for its own line and for its fair turn among
    /// the other lines, never for the whole of a longer one.
    pub fn count_ahead(&self, importance: Importance, organisation: &str, weight: u32) -> usize {
        let rank = importance_rank(importance);
        let more_important: usize = self.levels[..rank].iter().map(|level| level.waiting).sum();
        more_important + self.levels[rank].count_ahead(organisation, f64::from(weight.max(1)))
    }

    /// Appends work to its organisation's line.
    pub fn push(&mut self, call: QueuedCall) {
        self.levels[importance_rank(call.importance)].push(call);
    }

    /// Takes the work that is due next.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.levels.iter_mut().find_map(ImportanceQueue::pop)
    }

    /// Takes out work whose caller has gone.
    pub fn cancel(&mut self, ticket: CallTicket) -> Option<QueuedCall> {
        self.levels
            .iter_mut()
            .find_map(|level| level.cancel(ticket))
    }

    /// Takes out all work that can't be answered any more if it still takes `service_time`.
    pub fn expire(&mut self, now: Duration, service_time: Duration) -> Vec<QueuedCall> {
        let latest = now + service_time;
        let mut expired = Vec::new();
        for level in &mut self.levels {
            level.expire(latest, &mut expired);
        }
        expired
    }

    /// Makes room for `arriving` by evicting work that ranks below it, if there is any.
    pub fn evict_for(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        let rank = importance_rank(arriving.importance);
        for level in self.levels[rank + 1..].iter_mut().rev() {
            if let Some(evicted) = level.evict_longest() {
                return Some(evicted);
            }
        }
        self.levels[rank].evict_longer_than(arriving)
    }

    /// Whether work of less importance than this waits.
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

    /// Lines that are empty and owe nothing carry no state worth keeping.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.start_tag > virtual_time);
    }
}

/// Breaks ties by age, so that the order never depends on a hash.
fn compare_age(a: &OrganisationQueue, b: &OrganisationQueue) -> std::cmp::Ordering {
    let front = |queue: &OrganisationQueue| queue.waiting.front().map(|call| call.ticket);
    front(a).cmp(&front(b))
}
