//! Decides which requests may enter when a service further down can't serve all their call trees.
//!
//! See `docs/design/roots.md`.

mod allocation;
mod correction;
mod costs;
mod usage;

pub use allocation::allocate_shares;
pub use allocation::ClassDemand;
pub use allocation::ClassKey;
pub use allocation::ServiceCapacity;
pub use correction::CapacityCorrection;
pub use costs::TreeCosts;
pub use usage::ServiceUsage;
