//! Rate and burst of an organisation over the whole fleet.
//!
//! Tokens are minted by one home for each organisation and move to the entries in chunks. They are
//! deducted before they are sent, a lost message loses them, and an expired chunk is not given back,
//! so whatever crashes or pauses, no more than `rate × time + burst` is ever spent. See
//! `docs/design/rates.md`.

mod bucket;
mod cache;

pub use bucket::GrantedChunk;
pub use bucket::TokenBucket;
pub use cache::RefillRequest;
pub use cache::TokenCache;

use std::time::Duration;

/// Parts into which an organisation's rate is split, each with a home of its own, so that the loss
/// of one home leaves most of the rate.
pub const MAX_SHARDS: u32 = 3;
/// The least burst of a part; a smaller burst is not split so far.
const MIN_SHARD_BURST: f64 = 8.0;

/// Parts of an organisation's rate; every daemon works out the same from the terms in force.
pub fn shard_count(burst: f64) -> u32 {
    ((burst / MIN_SHARD_BURST) as u32).clamp(1, MAX_SHARDS)
}

/// How long an entry may hold tokens before it must have spent them.
pub const CHUNK_LIFETIME: Duration = Duration::from_millis(1_000);
/// How much longer the home counts a chunk as unspent, for messages on their way and slow clocks.
pub const CHUNK_MARGIN: Duration = Duration::from_millis(500);
