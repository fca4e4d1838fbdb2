//! Builders of small fleets and of callers.

mod caller;
mod daemon;
mod fleet;

pub use caller::Caller;
pub use caller::CallerResponse;
pub use fleet::Fleet;
pub use fleet::FleetBuilder;
