//! Token bucket of an organisation's rate, held by its home daemon.

use std::collections::VecDeque;

use super::CHUNK_LIFETIME;
use super::CHUNK_MARGIN;
use crate::wire::ChunkSettlement;

/// Factor from a bucket's start in milliseconds to its first chunk number. It keeps the numbers of
/// successive homes apart.
const CHUNK_NUMBERS_PER_MS: u64 = 1 << 12;

/// Granted tokens that an entry may still hold.
#[derive(Debug)]
struct OutstandingChunk {
    number: u64,
    expires_ms: u64,
    tokens: f64,
}

/// Tokens granted to an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantedChunk {
    pub number: u64,
    pub tokens: f64,
}

/// Token bucket of one organisation, or of one shard of its rate.
///
/// The tokens in the bucket and the outstanding ones never exceed the burst together. This keeps
/// every window within `rate × time + burst`, not only those that start with a full bucket.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    outstanding: VecDeque<OutstandingChunk>,
    refilled_until_ms: u64,
    next_chunk: u64,
    started_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket for an organisation that never had one.
    pub fn from_full(rate_per_s: f64, burst: f64, start_ms: u64) -> Self {
        Self {
            rate_per_ms: rate_per_s / 1000.0,
            burst,
            level: burst,
            outstanding: VecDeque::new(),
            refilled_until_ms: start_ms,
            next_chunk: start_ms.wrapping_mul(CHUNK_NUMBERS_PER_MS),
            started_ms: start_ms,
        }
    }

    /// Creates an empty bucket that replaces the one of another home as of `start_ms`.
    ///
    /// Entries may still hold tokens of the previous home, up to the whole burst, so no token is
    /// added until all of them have expired.
    pub fn from_takeover(rate_per_s: f64, burst: f64, start_ms: u64) -> Self {
        Self {
            level: 0.0,
            refilled_until_ms: start_ms + chunk_expiry_ms(),
            ..Self::from_full(rate_per_s, burst, start_ms)
        }
    }

    /// Returns the start of the interval for which this bucket adds tokens, in Unix milliseconds.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Updates the rate and burst; tokens above a smaller burst are dropped.
    pub fn set_terms(&mut self, rate_per_s: f64, burst: f64) {
        self.rate_per_ms = rate_per_s / 1000.0;
        self.burst = burst;
        self.level = self.level.min(self.issuable());
    }

    /// Grants up to `want` whole tokens.
    ///
    /// Tokens are added only for the time before `bound_ms`; no other home adds tokens for it.
    pub fn grant(&mut self, now_ms: u64, bound_ms: u64, want: f64) -> Option<GrantedChunk> {
        self.expire(now_ms);
        self.refill(now_ms.min(bound_ms));
        let tokens = want.min(self.level).floor();
        if tokens < 1.0 {
            return None;
        }
        self.level -= tokens;
        let number = self.next_chunk;
        self.next_chunk += 1;
        self.outstanding.push_back(OutstandingChunk {
            number,
            expires_ms: now_ms + chunk_expiry_ms(),
            tokens,
        });
        Some(GrantedChunk { number, tokens })
    }

    /// Returns true while tokens of the previous home may be outstanding and none are granted.
    pub fn awaits_expiry(&self, now_ms: u64) -> bool {
        now_ms < self.refilled_until_ms && self.level < 1.0
    }

    /// Returns the time in milliseconds in which the bucket reaches one token at its rate.
    pub fn wait_ms(&self) -> u64 {
        let missing = (1.0 - self.level).max(0.0);
        (missing / self.rate_per_ms.max(1e-9)).ceil().min(60_000.0) as u64
    }

    /// Settles a chunk: spent tokens are no longer outstanding, returned ones go into the bucket.
    ///
    /// The settlement of an expired chunk is ignored. Tokens for the time up to now are added
    /// before the settlement, because the outstanding ones left no room for them until now.
    pub fn settle(&mut self, now_ms: u64, bound_ms: u64, settlement: &ChunkSettlement) {
        self.expire(now_ms);
        self.refill(now_ms.min(bound_ms));
        let Some(chunk) = self
            .outstanding
            .iter_mut()
            .find(|chunk| chunk.number == settlement.chunk)
        else {
            return;
        };
        let spent = settlement.spent.clamp(0.0, chunk.tokens);
        chunk.tokens -= spent;
        let returned = settlement.returned.clamp(0.0, chunk.tokens);
        chunk.tokens -= returned;
        self.level = (self.level + returned).min(self.burst);
        self.outstanding.retain(|chunk| chunk.tokens > 0.0);
    }

    fn refill(&mut self, until_ms: u64) {
        let elapsed = until_ms.saturating_sub(self.refilled_until_ms);
        self.refilled_until_ms = self.refilled_until_ms.max(until_ms);
        let added = self.rate_per_ms * elapsed as f64;
        let cap = self.issuable().max(self.level);
        self.level = (self.level + added).min(cap);
    }

    fn issuable(&self) -> f64 {
        let held: f64 = self.outstanding.iter().map(|chunk| chunk.tokens).sum();
        (self.burst - held).max(0.0)
    }

    fn expire(&mut self, now_ms: u64) {
        self.outstanding.retain(|chunk| chunk.expires_ms > now_ms);
    }
}

fn chunk_expiry_ms() -> u64 {
    (CHUNK_LIFETIME + CHUNK_MARGIN).as_millis() as u64
}
