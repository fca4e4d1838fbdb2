//! Who is in the fleet and who is alive.
//!
//! Liveness follows SWIM (Das, Gupta, Motivala, 2002): each daemon pings one member in each period,
//! asks others to try when no answer comes, and passes rumours on with its pings. Each start of a
//! daemon is a member of its own, so a restarted one is never taken for its predecessor. See
//! `docs/design/membership.md`.

mod reachability;
mod table;

pub use reachability::ReachabilityWindow;
pub use table::MemberTable;
pub use table::MemberView;
pub use table::ProbeTarget;

use std::time::Duration;

/// Time between two pings of one daemon.
pub const PING_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a direct ping may take.
pub const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a suspect has to refute before it counts as dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Members asked to try when a direct ping has failed.
pub const INDIRECT_PROBES: usize = 3;
/// Rumours carried by one ping.
pub const RUMOURS_PER_PING: usize = 6;
