//! Selects the daemons that read the platform's store for the whole fleet.
//!
//! Every read is charged, and a daemon passes what it has read to the others, together with a proof
//! of the time at which it was the newest. So only a few daemons read continuously; any other reads
//! when the proof it received from its peers becomes stale. See `docs/design/platform.md`.

use std::time::Duration;

/// Number of daemons that read continuously: with three, one remains if one is lost and the store
/// rejects another.
const READER_COUNT: usize = 3;
/// Proof age from which a daemon reads for itself, as a share of the age at which requests with a
/// key are refused. It leaves time for a silent connection to time out and for a second attempt.
const STALE_SHARE: f64 = 0.5;

/// Reader state reported by a peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerReader {
    /// Position in the fleet's order of readers; the daemons with the lowest positions read.
    pub order: u64,
    /// True if its last read succeeded and it continues to read.
    pub reads: bool,
}

/// Returns true if a daemon should read, by its position in the order, its peers and the age of its
/// proof.
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

/// Returns true if a proof is so old that its daemon must read instead of waiting for its peers.
pub fn is_stale(proof_age: Option<Duration>, age_limit: Duration) -> bool {
    proof_age.is_none_or(|age| age > age_limit.mul_f64(STALE_SHARE))
}
