//! Fleet membership and failure detection.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala, 2002): each daemon pings one member in
//! each period, requests indirect pings from other members if it gets no response, and disseminates
//! rumours with its pings. Each start of a daemon is a new member (an incarnation), so that a
//! restarted daemon is never confused with its predecessor. See `docs/design/membership.md`.

use std::time::Duration;

mod reachability;
mod table;

pub use reachability::ReachabilityWindow;
pub use table::MemberTable;
pub use table::MemberView;
pub use table::ProbeTarget;

/// Interval between the pings of one daemon.
pub const PING_INTERVAL: Duration = Duration::from_millis(2_000);
/// Timeout of a direct ping.
pub const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which a suspected member must refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of members asked for an indirect ping after a direct ping has failed.
pub const INDIRECT_PROBES: usize = 3;
/// Maximum number of rumours in one ping.
pub const RUMOURS_PER_PING: usize = 6;
