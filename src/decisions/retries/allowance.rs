//! Remaining retries of a request and its whole call tree.

/// Number of retries that may still be used. It is moved and never copied, so that the sum over a
/// call tree can't grow.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    left: u32,
}

impl RetryAllowance {
    /// Creates an allowance of `left` retries: that of a whole request or the part sent with a
    /// call.
    pub fn from_count(left: u32) -> Self {
        Self { left }
    }

    /// Returns the number of retries left.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.left > 0;
        self.left -= u32::from(allowed);
        allowed
    }

    /// Removes and returns half of the remaining retries, to be sent with a downstream call.
    ///
    /// The other half is kept for retries of the call itself, because a lost call can't return what
    /// was sent with it.
    pub fn split(&mut self) -> u32 {
        let moved = self.left / 2;
        self.left -= moved;
        moved
    }

    /// Adds the retries that a call did not spend, at most the number that was sent with it.
    pub fn refund(&mut self, unspent: u32, moved: u32) {
        self.left += unspent.min(moved);
    }
}
