//! What a run is made of: events, requests, hops, calls and the state that holds them.

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

/// One way between two VMs.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// A caller's patience, and its repeats: it retries hard.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);
pub const MAX_CALLER_RETRIES: u32 = 3;
pub const CALLER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retries that a hop makes where nothing bounds them.
pub const MAX_PLAIN_RETRIES: u32 = 3;
/// Retries for the whole tree of a request.
pub const RETRY_ALLOWANCE: u32 = 2;
/// How long an organisation counts as over its rate after an ideal bucket was empty.
pub const OVER_RATE_PERIOD: Duration = Duration::from_secs(2);
/// How much longer a request that must run once may run than its caller waits.
pub const FINISH_GRACE: Duration = Duration::from_secs(2);
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The dead executor: the first of the deep service.
pub const CRASHING_NODE: usize = ENTRY_COUNT + FRONT_COUNT;
/// Membership knows of a death after this long.
pub const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(3_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimEvent {
    RequestArrival { organisation: usize },
    CallerAttempt { request: usize },
    CallArrival { call: usize },
    WorkDone { call: usize },
    Reply { call: usize, outcome: CallOutcome },
    Deadline { hop: usize },
    Tick,
    Crash,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    Done,
    /// Refused where it was sent.
    Refused,
    /// Refused before it was sent.
    RefusedLocally,
    DownstreamFailure,
    ConnectionLost,
}

/// A caller's request, over all its repeats.
pub struct SimRequest {
    pub organisation: usize,
    pub importance: Importance,
    pub entry: usize,
    pub attempts: u32,
    pub executed: bool,
    pub running: bool,
    pub finished: bool,
    pub succeeded: bool,
    pub arrived_at: Duration,
    /// Its organisation's demand is within its rate.
    pub demand_within_rate: bool,
}

/// A node's attempt to have something done by a service, over all its retries.
pub struct SimHop {
    pub request: usize,
    pub tier: ServiceTier,
    pub source: usize,
    pub parent_call: Option<usize>,
    pub deadline: Duration,
    pub retry_allowance: u32,
    pub tried_nodes: Vec<usize>,
    pub completed: bool,
    pub active_call: Option<usize>,
}

pub struct SimCall {
    pub hop: usize,
    pub node: usize,
    pub sent_at: Duration,
    pub started_at: Duration,
    pub child_hop: Option<usize>,
    /// A repeat of a request that must run once and has run.
    pub is_duplicate: bool,
    pub state: CallState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallState {
    InTransit,
    Waiting,
    Running,
    Completed,
}

/// A bucket by which it is judged what is within a rate.
pub struct IdealBucket {
    pub level: f64,
    pub at: Duration,
    pub empty_at: Option<Duration>,
}

pub struct Simulation {
    pub case: OverloadCase,
    pub policy: ControlPolicy,
    pub now: Duration,
    pub rng: SmallRng,
    pub events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    pub sequence: u64,
    pub fleet: SimFleet,
    pub requests: Vec<SimRequest>,
    pub hops: Vec<SimHop>,
    pub calls: Vec<SimCall>,
    /// Calls that wait at each node, by importance.
    pub waiting_counts: Vec<[u32; 4]>,
    pub ideal_buckets: Vec<IdealBucket>,
    pub stats: RunStats,
}
