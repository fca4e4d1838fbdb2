//! Implements the daemon: input, output and timers around the logic of the `decisions` module.
//!
//! The control thread holds the control state: it reads the log, exchanges messages with peers,
//! renews ownership and publishes a read-only view. The traffic threads handle requests and read
//! that view. See `docs/design/shape.md`.

mod control;
mod options;
mod shared;
mod start;
mod traffic;
mod view;

pub use options::DaemonOptions;
pub use options::OptionsError;
pub use start::Daemon;
pub use start::StartError;
