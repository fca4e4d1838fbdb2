//! Assigns every non-idempotent request to exactly one daemon, by its slot and birth time.
//!
//! The birth time of a request is the time of its creation.
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

/// Number of slots of each scope; a request's slot is the hash of its key.
pub const SLOT_COUNT: u32 = 32;
/// Number of witnesses of an epoch in a fleet with at least that many daemons.
pub const WITNESS_COUNT: usize = 5;
/// Time ahead of its clock up to which an owner has birth times acknowledged, in milliseconds.
pub const ACK_LEAD_MS: u64 = 4_000;
/// Maximum excess of a bound over the lead by the witness's clock, in milliseconds. It limits the
/// bounds that a witness can have acknowledged before a crash in which its state was lost.
pub const ACK_SLACK_MS: u64 = 1_000;
/// Interval in milliseconds at which an owner renews its acknowledgements.
pub const ACK_INTERVAL_MS: u64 = 2_000;
/// Scope that determines which daemon is the home of an organisation's rate.
pub const RATE_SCOPE: &str = "rates";

/// Returns the slot of a request key or an organisation's name.
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
