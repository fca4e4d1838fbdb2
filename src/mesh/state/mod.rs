//! State that all tasks of one daemon share; they run on one thread.

mod configuration;
mod evacuation;
mod fleet;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::body_budget::BodyBudget;
use super::entry::EntryAdmission;
use super::entry::OutlierTable;
use super::executor::CallTable;
use super::executor::EndpointExecutor;
use super::fleet::hash_name;
use super::fleet::DaemonReport;
use super::fleet::DaemonStatus;
use super::fleet::EndpointReport;
use super::fleet::MeshConfig;
use super::fleet::Peer;
use super::fleet::RouteTable;
use super::header_names::HeaderNames;
use super::link::HeaderCodec;
use super::link::LinkHello;
use super::link::LinkSender;
use super::link::LinkTraffic;
use super::settings::MeshSettings;
use crate::clock::BootTime;
use crate::clock::DeadlineClock;
use crate::decisions::demand::DemandReport;
use crate::decisions::demand::DemandView;
use crate::decisions::demand::RelayTable;
use crate::decisions::demand::ServiceLoad;
use crate::decisions::evacuation::EvacuationSet;
use crate::decisions::placement::ExecutorLoad;
use crate::observe::DaemonMetrics;
use crate::observe::LogEvent;

/// Part of the memory for bodies that retained outcomes may take.
const OUTCOME_MEMORY_DIVISOR: usize = 4;

/// Decodes a configuration in the platform's format.
pub type ConfigDecoder = Box<dyn Fn(&[u8]) -> Result<MeshConfig, String>>;

/// State of one daemon, shared by its tasks.
pub struct MeshState {
    settings: RefCell<Rc<MeshSettings>>,
    pub header_names: HeaderNames,
    pub header_codec: Rc<HeaderCodec>,
    pub executor: EndpointExecutor,
    pub calls: RefCell<CallTable>,
    pub admission: RefCell<EntryAdmission>,
    pub rng: RefCell<SmallRng>,
    pub metrics: DaemonMetrics,
    pub link_traffic: Rc<LinkTraffic>,
    pub body_budget: BodyBudget,
    /// Clock of all deadlines that others know of.
    pub clock: Rc<DeadlineClock>,
    started: Instant,
    incarnation: u64,
    next_call_id: Cell<u64>,
    decode_config: ConfigDecoder,
    routes: RefCell<Option<Rc<RouteTable>>>,
    raw_config: RefCell<Bytes>,
    /// Latest time since boot at which the configuration in force is known to have been the newest.
    proven_at: Cell<Option<Duration>>,
    /// Time since boot from which the store's newest configuration is one that cannot be decoded.
    unreadable_since: Cell<Option<Duration>>,
    /// Evacuated failure domains.
    evacuations: RefCell<EvacuationSet>,
    reads_store: Cell<bool>,
    config_requested_at: Cell<Option<Instant>>,
    peers: RefCell<HashMap<SocketAddrV4, Rc<Peer>>>,
    by_service: RefCell<HashMap<String, Vec<Rc<Peer>>>>,
    /// Links on which other daemons receive reports of changes.
    subscribers: RefCell<Vec<LinkSender>>,
    /// Report that was last sent to all subscribers.
    last_report: RefCell<DaemonReport>,
    /// Endpoints that fail far more calls than the others of their service.
    pub outliers: OutlierTable,
    /// Notified when an executor may have become available.
    pub executors_changed: Notify,
    /// Demand at the other daemons, as the relays of the failure domain sent it.
    pub demand_view: RefCell<DemandView>,
    /// Demand that this daemon has received for others, if it is a relay.
    pub relay_table: RefCell<RelayTable>,
    /// Time since which this daemon is a relay of its failure domain.
    relay_since: Cell<Option<Duration>>,
    control_time: Cell<Duration>,
    discovery_complete: Cell<bool>,
    stopping: Cell<bool>,
    /// Time at which this daemon ends, once callers' readiness checks have seen that it stops.
    closes_at: Cell<Option<BootTime>>,
    open_requests: Cell<u32>,
    open_connections: Cell<u32>,
    /// Links on which other daemons send calls.
    open_links: Cell<u32>,
}

impl MeshState {
    /// Creates the state of a daemon without a configuration, an endpoint or peers.
    pub fn new(
        settings: MeshSettings,
        header_names: HeaderNames,
        decode_config: ConfigDecoder,
        clock: Rc<DeadlineClock>,
    ) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        let incarnation = rng.random();
        let body_budget = BodyBudget::from_limit(settings.body_memory_bytes);
        let max_outcome_bytes = settings.body_memory_bytes / OUTCOME_MEMORY_DIVISOR;
        let executor = EndpointExecutor::new(
            header_names.clone(),
            settings.announce_interval,
            body_budget.clone(),
            clock.clone(),
        );
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            header_codec: Rc::new(HeaderCodec::from_names(&header_names)),
            header_names,
            executor,
            calls: RefCell::new(CallTable::from_limit(max_outcome_bytes)),
            admission: RefCell::new(EntryAdmission::default()),
            rng: RefCell::new(rng),
            metrics: DaemonMetrics::start(),
            link_traffic: Rc::new(LinkTraffic::default()),
            body_budget,
            clock,
            started: Instant::now(),
            incarnation,
            next_call_id: Cell::new(1),
            decode_config,
            routes: RefCell::new(None),
            raw_config: RefCell::new(Bytes::new()),
            proven_at: Cell::new(None),
            unreadable_since: Cell::new(None),
            evacuations: RefCell::new(EvacuationSet::default()),
            reads_store: Cell::new(false),
            config_requested_at: Cell::new(None),
            peers: RefCell::new(HashMap::new()),
            by_service: RefCell::new(HashMap::new()),
            subscribers: RefCell::new(Vec::new()),
            last_report: RefCell::new(DaemonReport::default()),
            outliers: OutlierTable::default(),
            executors_changed: Notify::new(),
            demand_view: RefCell::new(DemandView::default()),
            relay_table: RefCell::new(RelayTable::default()),
            relay_since: Cell::new(None),
            control_time: Cell::new(Duration::ZERO),
            discovery_complete: Cell::new(false),
            stopping: Cell::new(false),
            closes_at: Cell::new(None),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            open_links: Cell::new(0),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<MeshSettings> {
        self.settings.borrow().clone()
    }

    /// Applies changed settings, except for the addresses, because the sockets are bound already.
    pub fn reload(&self, settings: MeshSettings) {
        let event = LogEvent::SettingsReloaded.number();
        tracing::warn!(event, ?settings, "reloaded the settings");
        let old = self.settings();
        self.executor
            .set_announce_interval(settings.announce_interval);
        *self.settings.borrow_mut() = Rc::new(MeshSettings {
            caller_address: old.caller_address,
            link_address: old.link_address,
            link_listen_address: old.link_listen_address,
            ..settings
        });
    }

    /// Returns the time since the start of the daemon.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Logs a suspension of the VM since the last call and wakes the timers of deadlines, if there was
    /// one.
    pub fn detect_suspension(&self) {
        if let Some(suspension) = self.clock.detect_suspension() {
            let event = LogEvent::VmSuspended.number();
            let suspended_ms = suspension.as_millis() as u64;
            let open = self.open_requests();
            tracing::warn!(event, suspended_ms, open, "the VM was suspended");
        }
    }

    /// Returns a new number for a call that this daemon sends.
    pub fn next_call_id(&self) -> u64 {
        let call = self.next_call_id.get();
        self.next_call_id.set(call + 1);
        call
    }

    /// Returns the first frame that this daemon sends on a link.
    pub fn hello(&self) -> LinkHello {
        LinkHello {
            incarnation: self.incarnation,
            address: self.settings().link_address,
            failure_domain: self.settings().failure_domain.clone(),
            known: self.sample_known_daemons(),
        }
    }

    /// Returns the report that this daemon sends about itself.
    pub fn report(&self) -> DaemonReport {
        DaemonReport {
            stopping: self.stopping.get(),
            config_version: self.config_version(),
            reads_store: self.reads_store.get(),
            endpoint: self.endpoint_report(),
            evacuations: self.evacuations(),
        }
    }

    /// Returns the reply to a ping.
    pub fn status(&self) -> DaemonStatus {
        DaemonStatus {
            config_version: self.config_version(),
            proof_age_ms: self.proof_age().map(|age| age.as_millis() as u32),
            in_hand: self.executor.in_hand(),
            evacuations: self.evacuations(),
        }
    }

    /// Returns the state of the endpoint on this VM, while it accepts new calls.
    pub fn endpoint_report(&self) -> Option<EndpointReport> {
        let is_rated = self.executor.cold_rate().is_some();
        self.executor
            .with_usable_endpoint(|announcement, cold| EndpointReport {
                service: announcement.service.clone(),
                slots: self.executor.paced_slots(announcement.slots),
                cold: !cold.is_zero() && !is_rated,
                rated: is_rated,
                failures: self.executor.outcomes.report(),
            })
    }

    /// Returns the load of the endpoint on this VM, while it accepts new calls to `service`.
    pub fn executor_load(&self, service: &str) -> Option<ExecutorLoad> {
        let is_rated = self.executor.cold_rate().is_some();
        let load = self.executor.with_usable_endpoint(|announcement, cold| {
            (announcement.service == service).then(|| ExecutorLoad {
                in_hand: self.executor.in_hand(),
                slots: self.executor.paced_slots(announcement.slots),
                cold: !cold.is_zero() && !is_rated,
                rated: is_rated,
                same_domain: true,
                silent: false,
                outlier: self.outliers.own_mark(),
            })
        });
        load.flatten()
    }

    /// Returns the demand and load at this daemon.
    pub fn demand_report(&self) -> DemandReport {
        let admission = self.admission.borrow();
        let load = self.endpoint_report().map(|endpoint| ServiceLoad {
            name_hash: hash_name(&endpoint.service),
            slots: endpoint.slots,
            in_hand: self.executor.in_hand(),
        });
        DemandReport {
            organisations: admission.organisation_demand(),
            classes: admission.class_rates(),
            services: load.into_iter().collect(),
        }
    }

    /// Sets whether this daemon is a relay of its failure domain.
    pub fn set_relay(&self, is_relay: bool) {
        let since = self.relay_since.get().unwrap_or(self.now());
        self.relay_since.set(is_relay.then_some(since));
    }

    /// Returns the time for which this daemon has been a relay, or none if it is not one.
    pub fn relay_time(&self) -> Option<Duration> {
        let since = self.relay_since.get()?;
        Some(self.now().saturating_sub(since))
    }

    /// Returns the total time that the thread has spent on share allocation and peer reports.
    pub fn control_time(&self) -> Duration {
        self.control_time.get()
    }

    /// Runs `work` and adds its duration to the control time. `work` is synchronous, so nothing
    /// else runs on the thread meanwhile.
    pub fn measure_control_time<T>(&self, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.control_time
            .set(self.control_time.get() + started.elapsed());
        result
    }

    /// Returns true if callers on this VM may send new requests to this daemon.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && !self.proof_expired()
    }

    /// Returns true if the daemon is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Stops accepting new calls for the endpoint and reports that to all linked daemons.
    pub fn begin_shutdown(&self) {
        self.stopping.set(true);
        self.executor.stop();
        self.broadcast_report();
    }

    /// Takes from now on only requests that end before `closes_at`.
    pub fn begin_closing(&self, closes_at: BootTime) {
        self.closes_at.set(Some(closes_at));
    }

    /// Returns true if a request that ends at `deadline` at the latest ends before this daemon does.
    pub fn ends_in_time(&self, deadline: BootTime) -> bool {
        let closes_at = self.closes_at.get();
        closes_at.is_none_or(|closes_at| deadline <= closes_at)
    }

    /// Returns true if a response is not yet written to its caller or to the daemon that waits for it.
    pub fn has_unsent_responses(&self) -> bool {
        let subscribers = self.subscribers.borrow();
        self.open_connections.get() > 0 || subscribers.iter().any(LinkSender::has_unsent)
    }

    /// Adds `change` to the number of callers' connections.
    pub fn adjust_open_connections(&self, change: i32) {
        let open_connections = self.open_connections.get();
        self.open_connections
            .set(open_connections.saturating_add_signed(change));
    }

    /// Returns the number of links that other daemons have opened and not closed.
    pub fn open_links(&self) -> u32 {
        self.open_links.get()
    }

    /// Adds `change` to the number of links that other daemons have opened.
    pub fn adjust_open_links(&self, change: i32) {
        let open_links = self.open_links.get();
        self.open_links
            .set(open_links.saturating_add_signed(change));
    }

    /// Closes the links that other daemons have opened. Each is open until its peer has received all that
    /// was sent on it.
    pub fn close_links(&self) {
        for subscriber in self.subscribers.borrow().iter() {
            subscriber.close();
        }
    }

    /// Returns the number of callers' requests that have no response yet.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Adds `change` to the number of callers' requests that have no response yet.
    pub fn adjust_open_requests(&self, change: i32) {
        let open_requests = self.open_requests.get();
        self.open_requests
            .set(open_requests.saturating_add_signed(change));
    }
}
