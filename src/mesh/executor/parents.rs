//! Matches calls that the endpoint makes to the requests that it runs, and sums their slot time.
//!
//! If the attempt identifier of a call extends that of a running request, that request is the
//! parent. The platform guarantees no such identifiers; otherwise the parent is the request with
//! the nearest deadline, because a call inherits its parent's deadline. The result is only used for
//! admission, so a wrong match breaks no guarantee.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use super::super::link::CallOrigin;
use crate::clock::BootTime;
use crate::decisions::root_admission::ServiceUsage;

/// Largest difference of the deadlines of a call and its parent, which differ by rounding to
/// milliseconds and by transmission time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(40);
/// Separates the attempt identifier of a request from the suffix that a call adds.
const CALL_SEPARATOR: char = '.';

/// Bits of a request's number that hold its place; those above hold the generation.
const PLACE_BITS: u32 = 32;

/// Slot time by service.
pub type TreeUsage = SmallVec<[ServiceUsage; 4]>;

#[derive(Debug)]
struct ParentRecord {
    origin: CallOrigin,
    deadline: BootTime,
    attempt_id: Rc<str>,
    usage: TreeUsage,
    /// Number of its calls that have no outcome yet.
    open_calls: u32,
    /// True if one of its calls failed.
    call_failed: bool,
}

/// Place of a record, which another request takes once the first has ended.
#[derive(Debug, Default)]
struct ParentPlace {
    /// Number of requests that had the place before, which tells their numbers apart.
    generation: u32,
    record: Option<ParentRecord>,
}

/// Requests that the endpoint runs.
///
/// A record stays in its place from the start to the end of its request. An endpoint runs no more requests
/// at once than it has slots, so that an ordered list of deadlines is smaller and faster than a tree.
#[derive(Debug, Default)]
pub struct ParentTable {
    places: Vec<ParentPlace>,
    free_places: Vec<u32>,
    /// Deadlines and numbers of the running requests, in order.
    by_deadline: Vec<(BootTime, u64)>,
    by_attempt_id: HashMap<Rc<str>, u64>,
}

impl ParentTable {
    /// Adds a request and returns its number.
    pub fn add(&mut self, deadline: BootTime, attempt_id: &str, origin: CallOrigin) -> u64 {
        let index = self.free_places.pop().unwrap_or_else(|| {
            self.places.push(ParentPlace::default());
            (self.places.len() - 1) as u32
        });
        let place = &mut self.places[index as usize];
        let number = u64::from(place.generation) << PLACE_BITS | u64::from(index);
        let attempt_id: Rc<str> = Rc::from(attempt_id);
        place.record = Some(ParentRecord {
            origin,
            deadline,
            attempt_id: attempt_id.clone(),
            usage: TreeUsage::new(),
            open_calls: 0,
            call_failed: false,
        });
        self.by_attempt_id.insert(attempt_id, number);
        let position = self.deadline_position(deadline, number);
        self.by_deadline.insert(position, (deadline, number));
        number
    }

    /// Removes a completed request and returns the slot time of its calls.
    pub fn remove(&mut self, number: u64) -> TreeUsage {
        let (index, generation) = split_number(number);
        let place = self.places.get_mut(index);
        let place = place.filter(|place| place.generation == generation);
        let Some((place, record)) =
            place.and_then(|place| place.record.take().map(|record| (place, record)))
        else {
            return TreeUsage::new();
        };
        place.generation = generation.wrapping_add(1);
        self.free_places.push(index as u32);
        let position = self.deadline_position(record.deadline, number);
        self.by_deadline.remove(position);
        self.by_attempt_id.remove(&record.attempt_id);
        record.usage
    }

    /// Returns the number and origin of the likely parent of a call, if there is one.
    pub fn find(&self, deadline: BootTime, attempt_id: &str) -> Option<(u64, CallOrigin)> {
        let split_id = attempt_id.rsplit_once(CALL_SEPARATOR);
        let by_id = split_id.and_then(|(parent_id, _)| self.by_attempt_id.get(parent_id).copied());
        let number = by_id.or_else(|| self.nearest_by_deadline(deadline))?;
        Some((number, self.record(number)?.origin))
    }

    /// Adds the slot time of a call to the request that made it.
    pub fn add_usage(&mut self, number: u64, usage: &[ServiceUsage]) {
        if let Some(record) = self.record_mut(number) {
            merge_usage(&mut record.usage, usage);
        }
    }

    fn record(&self, number: u64) -> Option<&ParentRecord> {
        let (index, generation) = split_number(number);
        let place = self.places.get(index)?;
        let is_current = place.generation == generation;
        place.record.as_ref().filter(|_| is_current)
    }

    fn record_mut(&mut self, number: u64) -> Option<&mut ParentRecord> {
        let (index, generation) = split_number(number);
        let place = self.places.get_mut(index)?;
        let is_current = place.generation == generation;
        place.record.as_mut().filter(|_| is_current)
    }

    /// Returns the position of the first deadline that is not before this one.
    fn deadline_position(&self, deadline: BootTime, number: u64) -> usize {
        self.by_deadline
            .partition_point(|other| *other < (deadline, number))
    }

    /// Records that a request has made a call.
    pub fn begin_call(&mut self, number: u64) {
        if let Some(record) = self.record_mut(number) {
            record.open_calls += 1;
        }
    }

    /// Records that a call of a request has ended.
    pub fn end_call(&mut self, number: u64, succeeded: bool) {
        if let Some(record) = self.record_mut(number) {
            record.open_calls = record.open_calls.saturating_sub(1);
            record.call_failed |= !succeeded;
        }
    }

    /// Returns true if a call of a request failed or has no outcome yet, so that a failure of the
    /// request may not be the endpoint's own.
    pub fn failed_below(&self, number: u64) -> bool {
        let record = self.record(number);
        record.is_some_and(|record| record.call_failed || record.open_calls > 0)
    }

    fn nearest_by_deadline(&self, deadline: BootTime) -> Option<u64> {
        let (before, after) = self
            .by_deadline
            .split_at(self.deadline_position(deadline, 0));
        let neighbours = [before.last(), after.first()].into_iter().flatten();
        neighbours
            .map(|(neighbour, number)| (time_between(*neighbour, deadline), *number))
            .filter(|(difference, _)| *difference <= DEADLINE_TOLERANCE)
            .min_by_key(|(difference, _)| *difference)
            .map(|(_, number)| number)
    }
}

/// Request in a parent table, which is removed on drop.
pub struct ParentGuard<'a> {
    parents: &'a RefCell<ParentTable>,
    number: u64,
    /// Set at the end if a call of the request failed or is open.
    failed_below: &'a Cell<bool>,
}

impl<'a> ParentGuard<'a> {
    /// Adds a request that is about to run.
    pub fn from_request(
        parents: &'a RefCell<ParentTable>,
        deadline: BootTime,
        attempt_id: &str,
        origin: CallOrigin,
        failed_below: &'a Cell<bool>,
    ) -> Self {
        let number = parents.borrow_mut().add(deadline, attempt_id, origin);
        Self {
            parents,
            number,
            failed_below,
        }
    }

    /// Removes the request and returns the slot time of its nested calls.
    pub fn close(self) -> TreeUsage {
        self.remove()
    }

    fn remove(&self) -> TreeUsage {
        let mut parents = self.parents.borrow_mut();
        if parents.failed_below(self.number) {
            self.failed_below.set(true);
        }
        parents.remove(self.number)
    }
}

impl Drop for ParentGuard<'_> {
    fn drop(&mut self) {
        self.remove();
    }
}

/// Call that a running request has made. Unless it ends with a success, the request's failure is not
/// the endpoint's own.
pub struct NestedCall<'a> {
    parents: &'a RefCell<ParentTable>,
    parent: u64,
    succeeded: bool,
}

impl<'a> NestedCall<'a> {
    /// Records that the request with this number has made a call.
    pub fn begin(parents: &'a RefCell<ParentTable>, parent: u64) -> Self {
        parents.borrow_mut().begin_call(parent);
        Self {
            parents,
            parent,
            succeeded: false,
        }
    }

    /// Records the outcome of the call.
    pub fn close(mut self, succeeded: bool) {
        self.succeeded = succeeded;
    }
}

impl Drop for NestedCall<'_> {
    fn drop(&mut self) {
        let mut parents = self.parents.borrow_mut();
        parents.end_call(self.parent, self.succeeded);
    }
}

/// Adds slot times, service by service.
pub fn merge_usage(total: &mut TreeUsage, usage: &[ServiceUsage]) {
    for added in usage {
        match total.iter_mut().find(|sum| sum.service == added.service) {
            Some(sum) => sum.slot_us = sum.slot_us.saturating_add(added.slot_us),
            None => total.push(*added),
        }
    }
}

/// Returns the place and the generation of a request's number.
fn split_number(number: u64) -> (usize, u32) {
    (number as u32 as usize, (number >> PLACE_BITS) as u32)
}

fn time_between(first: BootTime, second: BootTime) -> Duration {
    first
        .max(second)
        .saturating_duration_since(first.min(second))
}
