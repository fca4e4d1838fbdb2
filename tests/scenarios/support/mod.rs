//! Builds small fleets of daemon processes and sends requests to them.

mod caller;
mod daemon;
mod fleet;

pub use caller::Caller;
pub use caller::CallerResponse;
pub use fleet::Fleet;
pub use fleet::FleetBuilder;
