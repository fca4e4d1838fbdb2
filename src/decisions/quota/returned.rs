//! Tokens that came back after the report of their admission was sent.

use std::time::Duration;

/// Half of the longest time for which a returned token covers a later admission. The other daemons
/// have paid for the token at the time of the report, so one that is used much later would be
/// unseen in its window.
const GENERATION_AGE: Duration = Duration::from_millis(500);

/// Reported admissions whose requests did not run.
///
/// A reported count never goes backwards, since others add its increments. So a returned token
/// covers the next admission instead, which then is not counted.
#[derive(Debug, Default)]
pub struct ReturnedTokens {
    recent: u32,
    older: u32,
    age: Duration,
}

impl ReturnedTokens {
    /// Adds a token.
    pub fn add(&mut self) {
        self.recent += 1;
    }

    /// Takes a token, the oldest first, and returns true if there was one.
    pub fn take(&mut self) -> bool {
        let generation = if self.older > 0 {
            &mut self.older
        } else {
            &mut self.recent
        };
        let available = *generation > 0;
        *generation = generation.saturating_sub(1);
        available
    }

    /// Drops the tokens that are too old.
    pub fn advance(&mut self, elapsed: Duration) {
        self.age += elapsed;
        if self.age >= GENERATION_AGE {
            self.older = std::mem::take(&mut self.recent);
            self.age = Duration::ZERO;
        }
    }
}
