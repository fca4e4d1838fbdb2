//! Sums of the demand and load of all daemons, collected through a few relays.
//!
//! A daemon sends its own demand only to the relays of its failure domain. They exchange the sums
//! of their domains with the relays of the others and return to each daemon the sum over all other
//! daemons. The traffic for each daemon therefore stays constant as the fleet grows, and only sums
//! cross between failure domains. See `docs/design/demand.md`.

mod choice;
mod ledger;
mod received;
mod relay;
mod report;
mod sum;
mod view;

pub use choice::choose_relays;
pub use relay::RelayTable;
pub use report::ClassRate;
pub use report::DemandReport;
pub use report::OrganisationDemand;
pub use report::ServiceLoad;
pub use sum::DemandSum;
pub use view::DemandView;
