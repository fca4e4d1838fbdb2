//! Which daemons read the platform's store for the whole fleet.
//!
//! Every read has a price, and what one daemon has read the others get from it, together with the
//! moment at which it was the newest. So only a few read all the time; any other reads when what its
//! peers tell it gets old. See `docs/design/platform.md`.

use std::time::Duration;

/// Daemons that read all the time: with three, one that is lost and one that is turned away leave
/// one over.
const READER_COUNT: usize = 3;
/// Part of the age at which keyed requests are refused from which a daemon reads for itself. It
/// leaves time for a connection that has gone silent and for one more try.
const STALE_SHARE: f64 = 0.5;

/// What a peer says of its reading.
#[derive(Debug, Clone, Copy)]
pub struct PeerReader {
    /// Place in the fleet's order of readers; the lowest read.
    pub order: u64,
    /// Whether its last read succeeded and it goes on reading.
    pub reads: bool,
}

/// Whether a daemon should read, by its place in the order, its peers and the age of its proof.
pub fn should_read(
    own_order: u64,
    peers: impl Iterator<Item = PeerReader>,
    proof_age: Option<Duration>,
    age_limit: Duration,
) -> bool {
    if is_stale(proof_age, age_limit) {
        return true;
    }
    let earlier_readers = peers.filter(|peer| peer.reads && peer.order < own_order);
    earlier_readers.take(READER_COUNT).count() < READER_COUNT
}

/// Whether a proof is so old that its daemon must not wait for its peers any longer.
pub fn is_stale(proof_age: Option<Duration>, age_limit: Duration) -> bool {
    proof_age.is_none_or(|age| age > age_limit.mul_f64(STALE_SHARE))
}
