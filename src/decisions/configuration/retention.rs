//! Selects the state that must be appended again before its records expire from the log.

use std::collections::BTreeMap;

/// State in force that is stored in one record of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateItem {
    Team(String),
    Grant(String),
    Withdrawal(String),
    Drain(String),
    Epoch(String),
    Index,
}

/// Position of an item's newest record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordPosition {
    pub offset: u64,
    pub appended_ms: u64,
}

/// Positions of the newest records of all items in force.
#[derive(Debug, Default)]
pub struct RetentionTracker {
    positions: BTreeMap<StateItem, RecordPosition>,
}

impl RetentionTracker {
    /// Records the position of an item's record, unless a newer one is known.
    pub fn record(&mut self, item: StateItem, position: RecordPosition) {
        let newest = self.positions.entry(item).or_insert(position);
        if position.offset > newest.offset {
            *newest = position;
        }
    }

    /// Removes an item that is no longer in force.
    pub fn remove(&mut self, item: &StateItem) {
        self.positions.remove(item);
    }

    /// Returns the items recorded at or after an offset, for a peer that has the earlier state.
    pub fn since(&self, from: u64) -> impl Iterator<Item = (&StateItem, &RecordPosition)> {
        self.positions
            .iter()
            .filter(move |(_, position)| position.offset >= from)
    }

    /// Returns up to `max_items` items whose records have less than half of their retention left.
    ///
    /// `jitter` is a random number from 0 to 1, fixed for each daemon. It spreads the daemons over
    /// a quarter of the retention, so that one of them appends a record before the others are due.
    pub fn due(
        &self,
        now_ms: u64,
        retention_ms: u64,
        jitter: f64,
        max_items: usize,
    ) -> Vec<StateItem> {
        let max_age_ms = retention_ms as f64 * (0.5 + 0.25 * jitter);
        let oldest = now_ms.saturating_sub(max_age_ms as u64);
        self.positions
            .iter()
            .filter(|(_, position)| position.appended_ms < oldest)
            .map(|(item, _)| item.clone())
            .take(max_items)
            .collect()
    }
}
