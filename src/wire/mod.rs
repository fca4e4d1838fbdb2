//! Log records and the messages between daemons, generated from `schema/wire.json`.

#[rustfmt::skip]
#[allow(clippy::clone_on_copy)]
mod generated;
pub mod seal;

pub use generated::*;

/// All importances, ordered from the one shed last to the one shed first.
pub const IMPORTANCES: [Importance; 4] = [
    Importance::Critical,
    Importance::High,
    Importance::Normal,
    Importance::Low,
];

/// Returns the position of an importance in [`IMPORTANCES`]; a lower rank is shed later.
pub fn importance_rank(importance: Importance) -> usize {
    importance as usize
}
