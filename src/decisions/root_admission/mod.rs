//! Which requests enter when a service far below can't carry the whole tree of each.
//!
//! See `docs/design/roots.md`.

mod allocation;
mod correction;
mod costs;

pub use allocation::allocate_shares;
pub use allocation::ClassDemand;
pub use allocation::ClassKey;
pub use allocation::ServiceCapacity;
pub use correction::CapacityCorrection;
pub use costs::TreeCosts;
