//! Background tasks of a daemon: links to its peers, share allocation, endpoint announcements and
//! metrics.

mod allocation;
mod announcements;
mod coldness;
mod demand;
mod metrics;
mod peer_link;

pub use allocation::update_shares;
pub use announcements::confirm_endpoints;
pub use coldness::track_coldness;
pub use peer_link::maintain_link;
