//! Defines the state of a simulation: events, requests, hops and calls.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use marigoldhatch::wire::Importance;
use rand::rngs::SmallRng;

use super::case::OverloadCase;
use super::fleet::ServiceTier;
use super::fleet::SimFleet;
use super::fleet::ENTRY_COUNT;
use super::fleet::FRONT_COUNT;
use super::policy::ControlPolicy;
use super::stats::RunStats;

/// One-way network delay between two VMs.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Timeout of one attempt of a caller.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Retries of a caller after its first attempt.
pub const MAX_CALLER_RETRIES: u32 = 3;
/// Delay before a retry of a caller; short, so that callers retry aggressively.
pub const CALLER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retries of a hop under the policies that have no retry allowance or budget.
pub const MAX_PLAIN_RETRIES: u32 = 3;
/// Retries allowed for the whole call tree of a request.
pub const RETRY_ALLOWANCE: u32 = 2;
/// Time for which an organisation counts as over its rate after its ideal bucket was empty.
pub const OVER_RATE_PERIOD: Duration = Duration::from_secs(2);
/// Time that a non-idempotent request may run after its caller's deadline.
pub const FINISH_GRACE: Duration = Duration::from_secs(2);
/// Interval of the periodic work of the nodes.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Index of the executor that crashes: the first of the deep service.
pub const CRASHING_NODE: usize = ENTRY_COUNT + FRONT_COUNT;
/// Time until the membership protocol has detected a crash.
pub const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(3_000);

/// An event in the event queue; indices refer to the vectors of [`Simulation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimEvent {
    /// An organisation may send a new request.
    RequestArrival {
        organisation: usize,
    },
    /// A caller sends a request to its entry, as a first attempt or a retry.
    CallerAttempt {
        request: usize,
    },
    /// A call arrives at its node.
    CallArrival {
        call: usize,
    },
    /// A node has finished its own work on a call.
    WorkDone {
        call: usize,
    },
    /// The reply to a call reaches the node that sent the call.
    Reply {
        call: usize,
        outcome: CallOutcome,
    },
    /// The deadline of a hop has passed.
    Deadline {
        hop: usize,
    },
    Tick,
    Crash,
}

/// Outcome of a call or a hop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    Succeeded,
    /// Refused by the node that it was sent to.
    Refused,
    /// Refused by the throttle of the sending node, before it was sent.
    RefusedLocally,
    /// Failed because a call further down its tree did not succeed.
    DownstreamFailure,
    /// Lost because the node crashed.
    ConnectionLost,
}

/// A caller's request, across all its attempts.
pub struct SimRequest {
    pub organisation: usize,
    pub importance: Importance,
    pub entry: usize,
    pub attempts: u32,
    /// A run of the request has started.
    pub executed: bool,
    pub running: bool,
    /// A run has succeeded, so its response is available.
    pub finished: bool,
    /// The caller has received a successful response.
    pub succeeded: bool,
    pub arrived_at: Duration,
    /// The organisation's demand is within its rate.
    pub demand_within_rate: bool,
}

/// A request from one node to a service, across all its retries.
pub struct SimHop {
    pub request: usize,
    pub tier: ServiceTier,
    /// Node that sends the calls.
    pub source: usize,
    /// Call that this hop belongs to; none at an entry.
    pub parent_call: Option<usize>,
    pub deadline: Duration,
    pub retry_allowance: u32,
    pub tried_nodes: Vec<usize>,
    /// A result was reported, the deadline has passed or the hop was cancelled.
    pub completed: bool,
    /// The most recent call of the hop.
    pub active_call: Option<usize>,
}

/// One attempt of a hop at one node.
pub struct SimCall {
    pub hop: usize,
    pub node: usize,
    pub sent_at: Duration,
    pub started_at: Duration,
    pub child_hop: Option<usize>,
    /// A retry of a non-idempotent request that has already run.
    pub is_duplicate: bool,
    pub state: CallState,
}

/// State of a call at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    InTransit,
    Waiting,
    Running,
    /// Replied to or cancelled.
    Completed,
}

/// A single token bucket for the whole fleet, the reference for what is within a rate.
pub struct IdealBucket {
    pub level: f64,
    pub updated_at: Duration,
    pub empty_at: Option<Duration>,
}

/// State of a running simulation.
pub struct Simulation {
    pub case: OverloadCase,
    pub policy: ControlPolicy,
    pub now: Duration,
    pub rng: SmallRng,
    pub events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    /// Number of events scheduled so far; orders events with the same time.
    pub sequence: u64,
    pub fleet: SimFleet,
    pub requests: Vec<SimRequest>,
    pub hops: Vec<SimHop>,
    pub calls: Vec<SimCall>,
    /// Number of calls waiting at each node, by importance.
    pub waiting_counts: Vec<[u32; 4]>,
    /// Ideal bucket of each organisation.
    pub ideal_buckets: Vec<IdealBucket>,
    pub stats: RunStats,
}
