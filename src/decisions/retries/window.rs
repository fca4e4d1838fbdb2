//! One daemon's share of the retries that a service may receive in a sliding window.
//!
//! The platform counts as a retry every arrival of a request at an endpoint after the first, over
//! all daemons. Each daemon's limit is based on its own requests and an even share of the slack, so
//! that the sum stays within the bound without coordination. See `docs/design/retries.md`.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of the bound that is used; the rest covers window positions in which the platform's counts
/// of requests and retries differ from those kept here.
const SAFETY_FACTOR: f64 = 0.6;
/// Number of slices of a window.
const SLICES: u32 = 10;

/// Bound on the retries to one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries in one window, over all daemons.
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

/// Requests and retries that this daemon sent to one service, by slice of the window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    slices: VecDeque<WindowSlice>,
}

impl RetryWindow {
    /// Records the first arrival of a request.
    pub fn record_request(&mut self, bound: &RetryBound, now: Duration) {
        self.current_slice(bound, now).requests += 1;
    }

    /// Records a retry that can't be refused, such as a call made by a request that is itself a
    /// retry.
    pub fn record_retry(&mut self, bound: &RetryBound, now: Duration) {
        self.current_slice(bound, now).retries += 1;
    }

    /// Records a retry if the bound allows it, for one of `daemons` that share the slack.
    ///
    /// Returns false if the retry is not allowed.
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
