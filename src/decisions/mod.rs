//! Implements every control policy as plain functions and structs without I/O.
//!
//! A policy takes the current time, messages and, if it is randomised, a seeded random number
//! generator, and returns the actions to take. `crate::daemon` and [`crate::mesh`] perform them.
//! This allows each policy to be tested and benchmarked under simulated time; see `docs/design/`.

#[cfg(feature = "product")]
pub mod admission;
pub mod announcement;
pub mod cold;
#[cfg(feature = "product")]
pub mod configuration;
pub mod demand;
pub mod evacuation;
#[cfg(feature = "product")]
pub mod keys;
#[cfg(feature = "product")]
pub mod membership;
pub mod outliers;
#[cfg(feature = "product")]
pub mod ownership;
pub mod pace;
pub mod pacing;
pub mod placement;
pub mod quota;
#[cfg(feature = "product")]
pub mod rates;
pub mod readers;
pub mod retries;
pub mod root_admission;
