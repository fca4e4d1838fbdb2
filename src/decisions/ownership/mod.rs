//! Who may run a non-idempotent request: exactly one daemon for each slot and birth time.
//!
//! See `docs/design/at-most-once.md`.

mod acknowledgement;
mod chain;
mod dedup;
mod plan;
mod witness;

pub use acknowledgement::AckBounds;
pub use acknowledgement::OwnerClaim;
pub use chain::EpochChain;
pub use chain::EpochOutcome;
pub use chain::OwnershipLedger;
pub use chain::SlotOwner;
pub use dedup::DedupStatus;
pub use dedup::DedupTable;
pub use dedup::RequestId;
pub use plan::plan_epoch;
pub use plan::EpochPlan;
pub use plan::PlanInput;
pub use witness::max_acknowledgeable_ms;
pub use witness::WitnessLedger;

/// Slots of each scope; requests are spread over them by the hash of their key.
pub const SLOT_COUNT: u32 = 32;
/// Witnesses of an epoch, as far as the fleet has that many daemons.
pub const WITNESS_COUNT: usize = 5;
/// How far ahead of its clock an owner has births acknowledged.
pub const ACK_LEAD_MS: u64 = 4_000;
/// The most that a bound may lie beyond the lead by a witness's own clock. It bounds what a witness
/// can have acknowledged before its death, also when its memory is gone.
pub const ACK_SLACK_MS: u64 = 1_000;
/// How often an owner renews its acknowledgements.
pub const ACK_INTERVAL_MS: u64 = 2_000;
/// The scope that decides which daemon is the home of an organisation's rate.
pub const RATE_SCOPE: &str = "rates";

/// The slot of a request key or an organisation's name.
pub fn slot_of(parts: &[&[u8]]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) % SLOT_COUNT
}
