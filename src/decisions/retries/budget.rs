//! The retries that one entry may send to one service, as a share of recent first tries.

/// Retries that a quiet service always allows.
const INITIAL_BALANCE: f64 = 3.0;
/// Unspent retries never pile up beyond this many.
const MAX_BALANCE: f64 = 50.0;

/// A budget that first tries fill and retries drain.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Allows `percent` retries for each hundred first tries.
    pub fn from_percent(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            balance: INITIAL_BALANCE,
        }
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Spends one retry if the budget has one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
