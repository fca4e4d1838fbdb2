//! Determines the version of each team's configuration that is in force.
//!
//! See `docs/design/configuration-order.md`.

mod ledger;
mod retention;

pub use ledger::ChangeOutcome;
pub use ledger::ConfigLedger;
pub use ledger::TeamState;
pub use retention::RecordPosition;
pub use retention::RetentionTracker;
pub use retention::StateItem;
