//! The tokens that one entry holds for one organisation.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::GrantedChunk;
use super::CHUNK_LIFETIME;
use crate::wire::ChunkSettlement;

/// How much demand an entry stocks for.
const STOCK_DURATION: Duration = Duration::from_millis(300);
/// Below this demand an entry asks for each token when it needs it, and so hoards none.
const MIN_STOCK_RATE: f64 = 3.0;
/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;
/// Tokens that were not needed for this long go back to the home.
const RETURN_AFTER: Duration = Duration::from_millis(400);
/// Spent tokens are reported at least this often, so that the home may mint again.
const REPORT_AFTER: Duration = Duration::from_millis(200);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct TokenChunk {
    number: u64,
    tokens: f64,
    unreported: f64,
    expires: Duration,
}

/// What the entry asks of the home.
#[derive(Debug, Clone, PartialEq)]
pub struct RefillRequest {
    pub want: f64,
    pub settlements: SmallVec<[ChunkSettlement; 4]>,
}

/// The purse; it only ever holds tokens that no one else has.
#[derive(Debug, Default)]
pub struct TokenCache {
    chunks: VecDeque<TokenChunk>,
    demand: f64,
    demand_updated: Duration,
    last_demand: Duration,
    last_request: Duration,
    request_pending: bool,
}

impl TokenCache {
    /// Notes that a call wants a token, whether it gets one or not.
    pub fn record_demand(&mut self, now: Duration) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_WINDOW_S;
        self.last_demand = now;
    }

    /// Spends one token if one is held.
    pub fn spend(&mut self, now: Duration) -> bool {
        self.drop_expired(now);
        let Some(chunk) = self.chunks.iter_mut().find(|chunk| chunk.tokens >= 1.0) else {
            return false;
        };
        chunk.tokens -= 1.0;
        chunk.unreported += 1.0;
        true
    }

    /// Puts back the token of a call that was not run after all, unless its chunk is gone or the home
    /// has been told that it is spent.
    pub fn refund(&mut self) -> bool {
        let taken = self.chunks.iter_mut().find(|chunk| chunk.unreported >= 1.0);
        let Some(chunk) = taken else {
            return false;
        };
        chunk.tokens += 1.0;
        chunk.unreported -= 1.0;
        true
    }

    /// What to ask the home now, if anything; `waiting` calls are without a token.
    ///
    /// Returned tokens leave the purse here, before the message is sent.
    pub fn begin_refill(&mut self, now: Duration, waiting: usize) -> Option<RefillRequest> {
        if self.request_pending {
            return None;
        }
        self.drop_expired(now);
        self.decay_demand(now);
        let held = self.held();
        let target_stock = self.target_stock();
        let refill = waiting > 0 || (target_stock > 0.0 && held < target_stock / 2.0);
        let idle = now.saturating_sub(self.last_demand) > RETURN_AFTER;
        let unreported = self.chunks.iter().any(|chunk| chunk.unreported > 0.0);
        let overdue = unreported && now.saturating_sub(self.last_request) > REPORT_AFTER;
        let returns = idle && held > 0.0;
        if !(refill || overdue || returns) {
            return None;
        }
        self.request_pending = true;
        self.last_request = now;
        let want = waiting as f64 + (target_stock - held).max(0.0);
        Some(RefillRequest {
            want: if refill { want.ceil() } else { 0.0 },
            settlements: self.take_settlements(idle),
        })
    }

    /// Takes the home's answer; `None` when it gave nothing or did not answer.
    pub fn finish_refill(&mut self, now: Duration, granted: Option<GrantedChunk>) {
        self.request_pending = false;
        if let Some(granted) = granted {
            self.chunks.push_back(TokenChunk {
                number: granted.number,
                tokens: granted.tokens,
                unreported: 0.0,
                expires: now + CHUNK_LIFETIME,
            });
        }
    }

    /// Tokens held.
    pub fn held(&self) -> f64 {
        self.chunks.iter().map(|chunk| chunk.tokens).sum()
    }

    /// Whether the purse holds nothing and has not been used for a while.
    pub fn is_idle(&self, now: Duration) -> bool {
        let quiet = now.saturating_sub(self.last_demand) > IDLE_TIMEOUT;
        quiet && self.chunks.is_empty() && !self.request_pending
    }

    fn take_settlements(&mut self, give_back: bool) -> SmallVec<[ChunkSettlement; 4]> {
        let mut settlements = SmallVec::new();
        for chunk in &mut self.chunks {
            let returned = if give_back { chunk.tokens } else { 0.0 };
            let spent = std::mem::take(&mut chunk.unreported);
            chunk.tokens -= returned;
            if spent + returned > 0.0 {
                settlements.push(ChunkSettlement {
                    chunk: chunk.number,
                    spent,
                    returned,
                });
            }
        }
        self.chunks.retain(|chunk| chunk.tokens >= 1.0);
        settlements
    }

    fn target_stock(&self) -> f64 {
        if self.demand < MIN_STOCK_RATE {
            return 0.0;
        }
        (self.demand * STOCK_DURATION.as_secs_f64()).ceil()
    }

    fn drop_expired(&mut self, now: Duration) {
        self.chunks.retain(|chunk| chunk.expires > now);
    }

    fn decay_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_updated).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_WINDOW_S).exp();
        self.demand_updated = now;
    }
}
