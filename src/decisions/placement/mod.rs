//! Load balancing: selects the endpoint or executor for a call.
//!
//! See `docs/design/placement.md`.

mod balance;
mod choice;
#[cfg(feature = "product")]
mod stats;

pub use balance::pick_executor;
pub use balance::usable_slots;
pub use balance::CallTraits;
pub use balance::ExecutorLoad;
pub use choice::choose_endpoint;
pub use choice::ChoiceReason;
pub use choice::EndpointCandidate;
pub use choice::EndpointChoice;
#[cfg(feature = "product")]
pub use stats::EndpointStats;
