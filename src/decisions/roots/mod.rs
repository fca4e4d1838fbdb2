//! Which requests enter when a service far below can't carry the whole tree of each.
//!
//! See `docs/design/roots.md`.

mod allocation;
mod costs;
mod trim;

pub use allocation::share_supply;
pub use allocation::ClassDemand;
pub use allocation::ClassKey;
pub use allocation::ServiceSupply;
pub use costs::TreeCosts;
pub use trim::SupplyTrim;
