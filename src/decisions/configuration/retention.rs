//! Which state must be appended again before the log forgets it.

use std::collections::BTreeMap;

/// One thing in force that a record of the log carries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateItem {
    Team(String),
    Grant(String),
    Withdrawal(String),
    Drain(String),
    Epoch(String),
    Index,
}

/// Where an item's newest record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordPosition {
    pub offset: u64,
    pub appended_ms: u64,
}

/// The newest record of each item in force.
#[derive(Debug, Default)]
pub struct RetentionTracker {
    positions: BTreeMap<StateItem, RecordPosition>,
}

impl RetentionTracker {
    /// Notes a record that carries an item; an older one changes nothing.
    pub fn record(&mut self, item: StateItem, position: RecordPosition) {
        let newest = self.positions.entry(item).or_insert(position);
        if position.offset > newest.offset {
            *newest = position;
        }
    }

    /// An item is no longer in force.
    pub fn remove(&mut self, item: &StateItem) {
        self.positions.remove(item);
    }

    /// Items recorded at an offset or after it, for a peer that holds the state before it.
    pub fn since(&self, from: u64) -> impl Iterator<Item = (&StateItem, &RecordPosition)> {
        self.positions
            .iter()
            .filter(move |(_, position)| position.offset >= from)
    }

    /// Up to `max_items` items whose records have less than half of their time left.
    ///
    /// `jitter`, from 0 to 1 and each daemon's own, spreads the daemons over a quarter of the
    /// retention, so that one of them appends and the others see its record first.
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
