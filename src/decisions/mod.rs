//! Every decision as plain functions and structs without I/O.
//!
//! Each takes the time, messages and, where it draws lots, a seeded generator, and returns what to
//! do. The shells in `crate::daemon` and [`crate::mesh`] carry it out. This keeps each policy measurable under paused
//! time; see `docs/design/`.

#[cfg(feature = "product")]
pub mod admission;
pub mod announcement;
#[cfg(feature = "product")]
pub mod configuration;
#[cfg(feature = "product")]
pub mod keys;
#[cfg(feature = "product")]
pub mod membership;
#[cfg(feature = "product")]
pub mod ownership;
pub mod placement;
pub mod quota;
#[cfg(feature = "product")]
pub mod rates;
pub mod readers;
pub mod retries;
pub mod root_admission;
