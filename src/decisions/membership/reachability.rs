//! Detects that this daemon may be in the minority of a network partition.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent pings considered.
const WINDOW_SIZE: usize = 6;
/// Age of the newest known read of the log above which the outcomes of pings are considered.
const MAX_LOG_AGE: Duration = Duration::from_secs(6);

/// Outcomes of the most recent pings.
#[derive(Debug, Default)]
pub struct ReachabilityWindow {
    outcomes: VecDeque<bool>,
}

impl ReachabilityWindow {
    /// Records whether a member that was considered live responded to a ping.
    pub fn record(&mut self, answered: bool) {
        if self.outcomes.len() >= WINDOW_SIZE {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(answered);
    }

    /// Returns true if key withdrawals may be missed: no reachable daemon reads the log and most
    /// pings fail.
    ///
    /// While most members respond, an unreadable log is considered an outage of the log itself,
    /// during which no key can be withdrawn. See `docs/design/keys.md`.
    pub fn is_cut_off(&self, log_age: Duration) -> bool {
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        log_age > MAX_LOG_AGE && answered * 2 < self.outcomes.len()
    }
}
