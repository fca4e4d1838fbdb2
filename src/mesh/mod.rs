//! Request path between daemons on a platform that gives each request a unique identifier.
//!
//! A request passes through the modules in this order: [`entry`] accepts it from its caller, admits
//! it and chooses an executor, [`link`] carries it to the daemon beside the endpoint, and
//! [`executor`] forwards it to the endpoint. [`fleet`] holds a daemon's view of its fleet, which
//! [`control`] keeps up to date. An adapter for the platform starts a [`MeshDaemon`] and supplies
//! it with configurations, announcements and peers; see `docs/design/platform.md`.

pub mod control;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod link;

mod body_budget;
mod body_reader;
mod daemon;
mod header_names;
mod settings;
mod state;

pub use body_budget::BodyBudget;
pub use body_reader::read_body;
pub use body_reader::BodyError;
pub use daemon::MeshDaemon;
pub use header_names::HeaderNames;
pub use settings::MeshSettings;
pub use state::MeshState;
