//! Holds the state that the traffic threads keep between calls.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::sync::watch;
use uuid::Uuid;

use super::admission::SharedController;
use super::context::ContextTable;
use super::rate_limit::RateLimiter;
use super::reply::CallReply;
use crate::daemon::shared::SharedState;
use crate::decisions::admission::AdaptiveThrottle;
use crate::decisions::ownership::DedupTable;
use crate::decisions::ownership::RequestId;
use crate::decisions::placement::EndpointStats;
use crate::decisions::retries::RetryBudget;
use crate::transport::ConnectionPool;

/// Time for which responses to non-idempotent requests are kept for repeated requests.
pub const DEDUP_WINDOW_MS: u64 = 15 * 60 * 1000;
const MAX_DEDUP_ENTRIES: usize = 200_000;
const MAX_DEDUP_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Receives the reply of an execution when it ends, for repeats of the same request.
pub type ReplyReceiver = watch::Receiver<Option<CallReply>>;

/// Traffic state of one daemon.
#[derive(Debug)]
pub struct TrafficState {
    pub shared: Arc<SharedState>,
    /// Connections to other daemons.
    pub peer_connections: ConnectionPool,
    /// Connections to the endpoint on this VM.
    pub endpoint_connections: ConnectionPool,
    pub admission: SharedController,
    pub contexts: ContextTable,
    pub rate_limiter: RateLimiter,
    pub throttle: Mutex<AdaptiveThrottle>,
    pub endpoint_stats: Mutex<HashMap<Uuid, EndpointStats>>,
    pub retry_budgets: Mutex<HashMap<String, RetryBudget>>,
    pub dedup_table: Mutex<DedupTable<CallReply>>,
    /// Executions of non-idempotent requests in progress.
    pub active_runs: Mutex<HashMap<RequestId, ReplyReceiver>>,
    /// Calls that this executor has accepted and not yet answered.
    pub calls_in_flight: Mutex<HashSet<Uuid>>,
    pub rng: Mutex<SmallRng>,
}

impl TrafficState {
    /// Creates the state of a daemon that has not handled any traffic.
    pub fn from_shared(shared: Arc<SharedState>) -> Self {
        Self {
            peer_connections: ConnectionPool::default(),
            endpoint_connections: ConnectionPool::default(),
            admission: SharedController::default(),
            contexts: ContextTable::default(),
            rate_limiter: RateLimiter::default(),
            throttle: Mutex::new(AdaptiveThrottle::default()),
            endpoint_stats: Mutex::new(HashMap::new()),
            retry_budgets: Mutex::new(HashMap::new()),
            dedup_table: Mutex::new(DedupTable::from_bounds(
                DEDUP_WINDOW_MS,
                MAX_DEDUP_ENTRIES,
                MAX_DEDUP_RESPONSE_BYTES,
            )),
            active_runs: Mutex::new(HashMap::new()),
            calls_in_flight: Mutex::new(HashSet::new()),
            rng: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
            shared,
        }
    }
}
