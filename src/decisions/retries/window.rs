//! One daemon's part of the repeats that a service may get in a sliding window.
//!
//! The platform counts every arrival at an endpoint beyond the first of a request, over all
//! daemons. Each daemon spends only from its own requests and an even part of the slack, so the sum
//! holds without messages. See `docs/design/retries.md`.

use std::collections::VecDeque;
use std::time::Duration;

/// The part of the bound that is spent; the rest covers windows that slide across both counts.
const SAFETY: f64 = 0.6;
/// Cells that a window is divided into.
const CELLS: u32 = 10;

/// The bound on repeats for one service.
#[derive(Debug, Clone, Copy)]
pub struct RepeatRule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that all daemons together may add in one window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug)]
struct WindowCell {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// The repeats that this daemon may still send to one service.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    cells: VecDeque<WindowCell>,
}

impl RepeatBudget {
    /// Counts a request's first arrival.
    pub fn first(&mut self, rule: &RepeatRule, now: Duration) {
        self.cell(rule, now).requests += 1;
    }

    /// Counts a repeat that can't be refused, such as a call of a run that was itself a repeat.
    pub fn charge(&mut self, rule: &RepeatRule, now: Duration) {
        self.cell(rule, now).repeats += 1;
    }

    /// Counts a repeat if the window has room for it, for one of `daemons` that share the slack.
    pub fn spend(&mut self, rule: &RepeatRule, daemons: usize, now: Duration) -> bool {
        self.cell(rule, now);
        let requests: u32 = self.cells.iter().map(|cell| cell.requests).sum();
        let repeats: u32 = self.cells.iter().map(|cell| cell.repeats).sum();
        let part = rule.slack / daemons.max(1) as f64;
        let allowed = SAFETY * (rule.ratio * f64::from(requests) + part);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.charge(rule, now);
        true
    }

    fn cell(&mut self, rule: &RepeatRule, now: Duration) -> &mut WindowCell {
        let span = (rule.window / CELLS).max(Duration::from_millis(1));
        let index = (now.as_micros() / span.as_micros()) as u64;
        while self
            .cells
            .front()
            .is_some_and(|cell| cell.index + u64::from(CELLS) <= index)
        {
            self.cells.pop_front();
        }
        if self.cells.back().is_none_or(|cell| cell.index != index) {
            self.cells.push_back(WindowCell {
                index,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.cells.len() - 1;
        &mut self.cells[last]
    }
}
