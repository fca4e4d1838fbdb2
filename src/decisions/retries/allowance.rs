//! The retries that are left for a request and everything below it.

/// An allowance that is moved and never copied, so that the sum over a tree can't grow.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    left: u32,
}

impl RetryAllowance {
    /// The whole allowance of a request, or the part that came with a call.
    pub fn from_count(left: u32) -> Self {
        Self { left }
    }

    /// Retries left here.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.left > 0;
        self.left -= u32::from(allowed);
        allowed
    }

    /// Moves half of the rest out, to go with a call further down.
    ///
    /// The half that stays pays for retries of the call itself, which a lost call could not give
    /// back.
    pub fn split(&mut self) -> u32 {
        let moved = self.left / 2;
        self.left -= moved;
        moved
    }

    /// Takes back what a call did not spend; never more than was moved with it.
    pub fn refund(&mut self, unspent: u32, moved: u32) {
        self.left += unspent.min(moved);
    }
}
