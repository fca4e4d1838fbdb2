//! Distributed token buckets that limit the rate and burst of an organisation over the whole fleet.
//!
//! One daemon, the home of the organisation, holds its token bucket and grants tokens to the
//! entries in chunks. Tokens are deducted before they are sent, a lost message loses them, and an
//! expired chunk is not returned. So crashes and pauses never let more than `rate × time + burst`
//! be spent. See `docs/design/rates.md`.

use std::time::Duration;

mod bucket;
mod cache;

pub use bucket::GrantedChunk;
pub use bucket::TokenBucket;
pub use cache::RefillRequest;
pub use cache::TokenCache;

/// Maximum number of shards of an organisation's rate. Each has its own home, so that the loss of
/// one home leaves most of the rate.
pub const MAX_SHARDS: u32 = 3;
/// Minimum burst of a shard; it limits the number of shards of a small burst.
const MIN_SHARD_BURST: f64 = 8.0;

/// Returns the number of shards of an organisation's rate.
///
/// It depends only on the configuration in force, so that all daemons compute the same number.
pub fn shard_count(burst: f64) -> u32 {
    ((burst / MIN_SHARD_BURST) as u32).clamp(1, MAX_SHARDS)
}

/// Time for which an entry may spend the tokens of a chunk.
pub const CHUNK_LIFETIME: Duration = Duration::from_millis(1_000);
/// Additional time for which the home counts a chunk as outstanding, to allow for messages in
/// transit and slow clocks.
pub const CHUNK_MARGIN: Duration = Duration::from_millis(500);
