//! One daemon's part of the repeats that a service may get in a sliding window.
//!
//! The platform counts every arrival at an endpoint beyond the first of a request, over all
//! daemons. Each daemon spends only from its own requests and an even part of the slack, so the sum
//! holds without messages. See `docs/design/retries.md`.

use std::collections::VecDeque;
use std::time::Duration;

/// The part of the bound that is spent; the rest covers windows that slide across both counts.
const SAFETY_FACTOR: f64 = 0.6;
/// Cells that a window is divided into.
const SLICES: u32 = 10;

/// The bound on repeats for one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that all daemons together may add in one window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug)]
struct WindowSlice {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The repeats that this daemon may still send to one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    slices: VecDeque<WindowSlice>,
}

impl RetryWindow {
    /// Counts a request's first arrival.
    pub fn record_request(&mut self, bound: &RetryBound, now: Duration) {
        self.current_slice(bound, now).requests += 1;
    }

    /// Counts a repeat that can't be refused, such as a call of a run that was itself a repeat.
    pub fn record_retry(&mut self, bound: &RetryBound, now: Duration) {
        self.current_slice(bound, now).retries += 1;
    }

    /// Counts a repeat if the window has room for it, for one of `daemons` that share the slack.
    pub fn spend(&mut self, bound: &RetryBound, daemons: usize, now: Duration) -> bool {
        self.current_slice(bound, now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let own_slack = bound.slack / daemons.max(1) as f64;
        let allowed = SAFETY_FACTOR * (bound.ratio * f64::from(requests) + own_slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.record_retry(bound, now);
        true
    }

    fn current_slice(&mut self, bound: &RetryBound, now: Duration) -> &mut WindowSlice {
        let span = (bound.window / SLICES).max(Duration::from_millis(1));
        let index = (now.as_micros() / span.as_micros()) as u64;
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.index + u64::from(SLICES) <= index)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(WindowSlice {
                index,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
