//! The request path between daemons on a platform that gives each request an identity of its own.
//!
//! A request goes one way through the folders: [`entry`] takes it from its caller and decides
//! whether it may enter and where it goes, [`link`] carries it to the daemon beside the endpoint,
//! and [`executor`] hands it to the endpoint. [`fleet`] is what a daemon knows of its fleet and
//! [`control`] keeps that current. An adapter starts a [`MeshDaemon`] and feeds it; see
//! `docs/design/platform.md`.

pub mod control;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod link;

mod daemon;
mod header_names;
mod settings;
mod state;

pub use daemon::MeshDaemon;
pub use header_names::HeaderNames;
pub use settings::MeshSettings;
pub use state::MeshState;
