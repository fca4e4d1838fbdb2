//! Whether this daemon may be on the small side of a split.

use std::collections::VecDeque;
use std::time::Duration;

/// Pings remembered.
const WINDOW_SIZE: usize = 6;
/// How old the newest read of the log known of may be before contact with peers decides.
const MAX_LOG_AGE: Duration = Duration::from_secs(6);

/// The outcomes of the latest pings.
#[derive(Debug, Default)]
pub struct ReachabilityWindow {
    outcomes: VecDeque<bool>,
}

impl ReachabilityWindow {
    /// Notes whether a member that was believed live answered.
    pub fn record(&mut self, answered: bool) {
        if self.outcomes.len() >= WINDOW_SIZE {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(answered);
    }

    /// Whether withdrawals may be missed: no one in reach reads the log, and most pings fail.
    ///
    /// While most members answer, an unreadable log is taken for an outage of the log itself, in
    /// which no one can withdraw a key. See `docs/design/keys.md`.
    pub fn is_cut_off(&self, log_age: Duration) -> bool {
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        log_age > MAX_LOG_AGE && answered * 2 < self.outcomes.len()
    }
}
