//! Limits the rate and burst of an organisation over all daemons by demand-based shares.
//!
//! See `docs/design/rates.md`, part "On a platform with slack", and `docs/design/charges.md`.

mod class_part;
mod returned;
mod share;

pub use share::PeerDemand;
pub use share::QuotaRule;
pub use share::QuotaShare;
pub use share::QuotaTolerance;
