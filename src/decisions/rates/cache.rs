//! Cache of the tokens that one entry holds for one organisation.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::GrantedChunk;
use super::CHUNK_LIFETIME;
use crate::wire::ChunkSettlement;

/// Time for which the cached tokens should cover the demand.
const STOCK_DURATION: Duration = Duration::from_millis(300);
/// Demand in calls a second below which an entry caches no tokens and requests each when needed.
const MIN_STOCK_RATE: f64 = 3.0;
/// Time constant in seconds of the demand average.
const DEMAND_WINDOW_S: f64 = 1.0;
/// Time without demand after which tokens are returned to the home.
const RETURN_AFTER: Duration = Duration::from_millis(400);
/// Maximum time between reports of spent tokens, on which the home depends to add new ones.
const REPORT_AFTER: Duration = Duration::from_millis(200);
/// Time without demand after which an empty cache may be removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct TokenChunk {
    number: u64,
    tokens: f64,
    unreported: f64,
    expires: Duration,
}

/// Request for tokens to the home, with settlements of earlier chunks.
#[derive(Debug, Clone, PartialEq)]
pub struct RefillRequest {
    pub want: f64,
    pub settlements: SmallVec<[ChunkSettlement; 4]>,
}

/// Tokens held by one entry; the home counts them as outstanding.
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
    /// Records that a call needs a token, whether it gets one or not.
    pub fn record_demand(&mut self, now: Duration) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_WINDOW_S;
        self.last_demand = now;
    }

    /// Spends one token; returns false if none is held.
    pub fn spend(&mut self, now: Duration) -> bool {
        self.drop_expired(now);
        let Some(chunk) = self.chunks.iter_mut().find(|chunk| chunk.tokens >= 1.0) else {
            return false;
        };
        chunk.tokens -= 1.0;
        chunk.unreported += 1.0;
        true
    }

    /// Refunds the token of a call that did not run.
    ///
    /// Returns false if the chunk has expired or the token has been reported to the home as spent.
    pub fn refund(&mut self) -> bool {
        let taken = self.chunks.iter_mut().find(|chunk| chunk.unreported >= 1.0);
        let Some(chunk) = taken else {
            return false;
        };
        chunk.tokens += 1.0;
        chunk.unreported -= 1.0;
        true
    }

    /// Returns the request to send to the home now, if any; `waiting` calls have no token.
    ///
    /// Returned tokens are removed from the cache before the message is sent.
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

    /// Handles the home's response; `None` if it granted nothing or did not respond.
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

    /// Returns the number of tokens held.
    pub fn held(&self) -> f64 {
        self.chunks.iter().map(|chunk| chunk.tokens).sum()
    }

    /// Returns true if the cache is empty and has not been used for a while.
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
