//! Paces the requests to an endpoint that takes a limited number of them a second: one that names a limit
//! in its responses, or a cold one.
//!
//! All requests for an endpoint pass through the daemon beside it, so that daemon's bucket of tokens
//! holds for the whole fleet. See `docs/design/placement.md` and
//! `docs/design/cold-endpoints.md`.

use std::time::Duration;

/// Time whose tokens may accumulate; it evens out gaps between arrivals.
pub const BURST_TIME: Duration = Duration::from_millis(100);
/// Lowest rate in requests per second. An endpoint withdraws its limit in a response, so some
/// requests must reach it.
const MIN_RATE: f64 = 0.5;
/// Highest rate in requests per second that counts as a limit.
const MAX_RATE: f64 = 1e6;

/// Reason why an endpoint takes a limited number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateSource {
    /// The endpoint names the limit in its responses.
    Endpoint,
    /// The endpoint is cold.
    Cold,
}

/// Bucket of tokens, one for each request, that fills at the lower one of the rates of both sources.
#[derive(Debug, Default)]
pub struct RequestPacer {
    /// Requests per second by source, or none without a limit.
    rates: [Option<f64>; 2],
    tokens: f64,
    updated_at: Duration,
}

impl RequestPacer {
    /// Sets the rate of a source in requests per second, or none without a limit; returns true if that is
    /// a change.
    pub fn set_rate(&mut self, source: RateSource, rate: Option<f64>, now: Duration) -> bool {
        let rate = rate
            .filter(|rate| *rate < MAX_RATE)
            .map(|rate| rate.max(MIN_RATE));
        if rate == self.rates[source as usize] {
            return false;
        }
        // A bucket that was full at a higher rate must not outlive it.
        self.refill(now);
        self.rates[source as usize] = rate;
        self.tokens = self.tokens.min(self.capacity());
        true
    }

    /// Returns the rate in force in requests per second, or none without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.rates.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the rate of one source in requests per second, or none without a limit.
    pub fn source_rate(&self, source: RateSource) -> Option<f64> {
        self.rates[source as usize]
    }

    /// Returns the time until there are tokens for this number of requests.
    pub fn delay(&self, requests: f64, now: Duration) -> Duration {
        let Some(rate) = self.rate() else {
            return Duration::ZERO;
        };
        let missing = (requests - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / rate)
    }

    /// Takes the token of one request.
    ///
    /// # Errors
    ///
    /// Returns the time until there is a token.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if self.rate().is_none() {
            return Ok(());
        }
        self.refill(now);
        let delay = self.delay(1.0, now);
        if !delay.is_zero() {
            return Err(delay);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Returns the token of a request that was not sent.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let rate = self.rate().unwrap_or(0.0);
        (self.tokens + rate * elapsed).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        let rate = self.rate().unwrap_or(0.0);
        (rate * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
