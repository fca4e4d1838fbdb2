//! Keeping a daemon's knowledge current: links to the other daemons, and the shares of its gate.

mod announcements;
mod metrics;
mod peer_link;
mod tick;

pub use peer_link::keep_link;
pub use tick::keep_shares;
