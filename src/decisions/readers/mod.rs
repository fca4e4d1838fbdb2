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
/// Time for a read of the store over a new connection, and for applying what it returns.
const READ_TIME: Duration = Duration::from_millis(200);
/// Lower bound of the proof age from which a daemon reads for itself, as a share of the time in which a
/// version must be in force.
const MIN_STALE_SHARE: f64 = 0.5;

/// Number of daemons that retry promptly: twice the readers, as some may be cut off themselves.
const PROMPT_COUNT: usize = 2 * READER_COUNT;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MAX_UNLINKED_DELAY: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 5;

/// Reader state reported by a peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerReader {
    /// Position in the fleet's order of readers; the daemons with the lowest positions read.
    pub order: u64,
    /// True if its last read succeeded and it continues to read.
    pub reads: bool,
}

/// Limits that follow from the age of the proof that a configuration is the newest.
#[derive(Debug, Clone, Copy)]
pub struct ProofLimits {
    /// Age of the proof above which requests with a key are refused.
    pub keys: Duration,
    /// Time after the confirmation of a version in which it must be in force.
    pub version: Duration,
}

/// Returns the age of its proof from which a daemon reads the store itself.
///
/// A version may have been confirmed right after the newest proof, and all readers may have lost the
/// store since without knowing it. So the age leaves time to read a version within its limit.
pub fn stale_age(limits: &ProofLimits) -> Duration {
    let for_version = limits.version.saturating_sub(READ_TIME);
    let for_version = for_version.max(limits.version.mul_f64(MIN_STALE_SHARE));
    limits.keys.mul_f64(STALE_SHARE).min(for_version)
}

/// Returns true if a daemon should read, by its position in the order, its peers and the age of its
/// proof.
pub fn should_read(
    own_order: u64,
    peers: impl Iterator<Item = PeerReader>,
    proof_age: Option<Duration>,
    stale_age: Duration,
) -> bool {
    if is_stale(proof_age, stale_age) {
        return true;
    }
    let earlier_readers = peers.filter(|peer| peer.reads && peer.order < own_order);
    earlier_readers.take(READER_COUNT).count() < READER_COUNT
}

/// Returns the delay before the next read of a daemon whose last `failures` reads failed.
///
/// While the store is down, the first daemons in the order retry promptly and pass its return on to
/// the others, which retry less and less often: every call is charged, also a rejected one.
/// `jitter` is uniformly distributed from 0 to 1 and keeps daemons from retrying together.
pub fn retry_delay(
    own_order: u64,
    mut peers: impl Iterator<Item = u64>,
    failures: u32,
    jitter: f64,
) -> Duration {
    let Some(first) = peers.next() else {
        // Without links, no other daemon passes on that the store is back.
        return backoff(failures, MAX_UNLINKED_DELAY, jitter);
    };
    let peers = std::iter::once(first).chain(peers);
    let earlier = peers.filter(|order| *order < own_order);
    if earlier.take(PROMPT_COUNT).count() < PROMPT_COUNT {
        return MIN_RETRY_DELAY;
    }
    backoff(failures, MAX_RETRY_DELAY, jitter)
}

fn backoff(failures: u32, max_delay: Duration, jitter: f64) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let delay = (MIN_RETRY_DELAY * (1 << doublings)).min(max_delay);
    delay.mul_f64(0.5 + 0.5 * jitter)
}

/// Returns true if a proof is so old that its daemon must read instead of waiting for its peers.
fn is_stale(proof_age: Option<Duration>, stale_age: Duration) -> bool {
    proof_age.is_none_or(|age| age >= stale_age)
}
