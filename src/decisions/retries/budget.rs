//! Budget of the retries that one entry may send to one service, as a share of first attempts.

/// Initial balance in retries, which allows retries to a service with few calls.
const INITIAL_BALANCE: f64 = 3.0;
/// Maximum balance in retries.
const MAX_BALANCE: f64 = 50.0;

/// Retry budget that first attempts increase and retries reduce.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries for each hundred first attempts.
    pub fn from_percent(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            balance: INITIAL_BALANCE,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
