//! Holds the state of the control thread.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::sync::Notify;
use uuid::Uuid;

use super::peer_client::PeerClients;
use crate::daemon::shared::lock;
use crate::daemon::shared::SharedState;
use crate::decisions::configuration::ConfigLedger;
use crate::decisions::configuration::RetentionTracker;
use crate::decisions::keys::KeyRing;
use crate::decisions::membership::MemberTable;
use crate::decisions::membership::ReachabilityWindow;
use crate::decisions::ownership::AckBounds;
use crate::decisions::ownership::OwnershipLedger;
use crate::decisions::ownership::WitnessLedger;
use crate::decisions::rates::TokenBucket;
use crate::upstream::LogClient;
use crate::wire::EndpointDrain;
use crate::wire::MemberRecord;

/// Mutable state of the control thread, which alone locks it, and never across an await.
#[derive(Debug)]
pub struct ControlState {
    pub members: MemberTable,
    pub config: ConfigLedger,
    pub keys: KeyRing,
    pub drains: BTreeMap<String, EndpointDrain>,
    pub ownership: OwnershipLedger,
    pub witness: WitnessLedger,
    pub ack_bounds: AckBounds,
    /// Token buckets for which this daemon is the home, by organisation and shard.
    pub token_buckets: HashMap<(String, u32), TokenBucket>,
    pub retention: RetentionTracker,
    pub reachability: ReachabilityWindow,
    /// Members from the log, which may no longer run; addresses for joining the fleet at the start.
    pub bootstrap_members: Vec<MemberRecord>,
    /// Offset of the next read of the log.
    pub tail_offset: u64,
    /// Offset before which all records are applied, from the log or from a peer.
    pub next_offset: u64,
    pub retention_ms: u64,
    /// Time of the latest read of the log by this daemon or, as reported, by a peer.
    pub log_read_at: Option<Duration>,
    /// Time of the latest read of the log by this daemon; `None` after a failed read.
    pub own_log_read_at: Option<Duration>,
    /// True once the log has been read to its end or a peer has sent its state.
    pub caught_up: bool,
    /// True once a peer has sent its records of all members.
    pub joined: bool,
    /// Time since which a scope has needed a new epoch.
    pub epoch_needed_since: HashMap<String, Duration>,
    /// Change count of the members and log offset of the latest plan, and its time.
    pub last_plan: ((u64, u64), Duration),
    /// True if the published view is out of date.
    pub dirty: bool,
    pub withdrawal_count: u64,
    pub rng: StdRng,
    /// Random number of this daemon from 0 to 1, which spreads over time work that any daemon may
    /// do.
    pub restate_jitter: f64,
}

/// Context shared by all control tasks.
#[derive(Debug)]
pub struct ControlContext {
    pub shared: Arc<SharedState>,
    pub log: LogClient,
    pub clients: PeerClients,
    pub state_changed: Notify,
    pub renewal_requested: Notify,
    /// Time of the endpoint's latest announcement.
    pub endpoint_announced_at: watch::Sender<Duration>,
    state: Mutex<ControlState>,
}

impl ControlContext {
    /// Creates the context of a daemon that starts, with empty state.
    pub fn from_shared(shared: Arc<SharedState>, log: LogClient) -> Self {
        let clients = PeerClients::from_shared(&shared);
        let state = ControlState::from_own(own_record(&shared));
        Self {
            shared,
            log,
            clients,
            state_changed: Notify::new(),
            renewal_requested: Notify::new(),
            endpoint_announced_at: watch::channel(Duration::ZERO).0,
            state: Mutex::new(state),
        }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ControlState> {
        lock(&self.state)
    }

    /// Marks the view as out of date and wakes the task that publishes it.
    pub fn mark_changed(&self) {
        self.state().dirty = true;
        self.state_changed.notify_one();
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }
}

impl ControlState {
    fn from_own(own: MemberRecord) -> Self {
        let mut rng = StdRng::from_rng(&mut rand::rng());
        let restate_jitter = rng.random_range(0.0..1.0);
        Self {
            members: MemberTable::from_own(own),
            config: ConfigLedger::default(),
            keys: KeyRing::default(),
            drains: BTreeMap::new(),
            ownership: OwnershipLedger::default(),
            witness: WitnessLedger::default(),
            ack_bounds: AckBounds::default(),
            token_buckets: HashMap::new(),
            retention: RetentionTracker::default(),
            reachability: ReachabilityWindow::default(),
            bootstrap_members: Vec::new(),
            tail_offset: 0,
            next_offset: 0,
            retention_ms: 0,
            log_read_at: None,
            own_log_read_at: None,
            caught_up: false,
            joined: false,
            epoch_needed_since: HashMap::new(),
            last_plan: ((0, 0), Duration::ZERO),
            dirty: true,
            withdrawal_count: 0,
            rng,
            restate_jitter,
        }
    }

    /// Age of the latest known read of the log by any daemon.
    pub fn log_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.log_read_at.unwrap_or(Duration::ZERO))
    }

    /// Records that this daemon or a peer read the log `age` ago.
    pub fn record_log_read(&mut self, now: Duration, age: Duration) {
        let read_at = now.saturating_sub(age);
        if self.log_read_at.is_none_or(|latest| read_at > latest) {
            self.log_read_at = Some(read_at);
        }
    }

    /// Returns true if this daemon itself has read the log within `max_age`.
    pub fn has_read_log_within(&self, now: Duration, max_age: Duration) -> bool {
        self.own_log_read_at
            .is_some_and(|read_at| now.saturating_sub(read_at) <= max_age)
    }

    /// Live members whose endpoint belongs to a service and accepts new work.
    pub fn endpoints_of(&self, service: &str) -> Vec<&MemberRecord> {
        self.members
            .live()
            .into_iter()
            .filter(|record| record.service == service && !self.is_draining(record))
            .collect()
    }

    /// Returns true if a member drains, on its own or by an operator's request.
    pub fn is_draining(&self, record: &MemberRecord) -> bool {
        record.draining || self.is_drained(&record.vm)
    }

    /// Returns true if an operator has requested a drain of a VM's endpoint.
    pub fn is_drained(&self, vm: &str) -> bool {
        self.drains.get(vm).is_some_and(|drain| drain.draining)
    }

    /// Incarnation of this daemon.
    pub fn own_incarnation(&self) -> Uuid {
        self.members.own().incarnation
    }
}

fn own_record(shared: &SharedState) -> MemberRecord {
    let options = &shared.options;
    MemberRecord {
        incarnation: shared.incarnation,
        vm: options.vm.clone(),
        failure_domain: options.failure_domain.clone(),
        region: options.region.clone(),
        traffic_address: options.advertised_traffic_address.to_string(),
        peer_address: options.advertised_peer_address.to_string(),
        service: String::new(),
        slots: 0,
        draining: false,
        stopping: false,
        revision: 0,
    }
}
