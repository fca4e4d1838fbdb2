//! Background tasks of a daemon: links to its peers, share allocation, endpoint announcements and
//! metrics.

mod allocation;
mod announcements;
mod demand;
mod metrics;
mod peer_link;

pub use allocation::update_shares;
pub use announcements::confirm_endpoints;
pub use peer_link::maintain_link;
