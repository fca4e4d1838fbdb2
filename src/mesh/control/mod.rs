//! Keeping a daemon's knowledge current: links to the other daemons, and the shares of its gate.

mod announcements;
mod metrics;
mod peer_link;
mod allocation;

pub use peer_link::maintain_link;
pub use allocation::update_shares;
