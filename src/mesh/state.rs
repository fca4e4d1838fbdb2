//! What all tasks of one daemon share; they run on one thread.

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
use tokio::time::Instant;

use super::dialect::HeaderDialect;
use super::entry::EntryGate;
use super::executor::CallTable;
use super::executor::EndpointExecutor;
use super::fleet::hash_name;
use super::fleet::DaemonReport;
use super::fleet::EndpointReport;
use super::fleet::MeshConfig;
use super::fleet::Peer;
use super::fleet::RouteTable;
use super::link::LinkFrame;
use super::link::LinkHello;
use super::link::LinkSender;
use super::settings::MeshSettings;
use crate::clock::boot_now;
use crate::decisions::readers::is_old;
use crate::decisions::readers::should_read;
use crate::decisions::readers::PeerReader;
use crate::observe::FleetMetrics;
use crate::observe::LogEvent;

/// Time that the store's own delivery of a new configuration gets before a peer is asked.
const CONFIG_PATIENCE: Duration = Duration::from_millis(300);
/// A peer that was asked for its configuration has this long before another one is asked.
const CONFIG_ASK_EVERY: Duration = Duration::from_millis(250);

/// Size that a fleet is taken to have before its daemons were looked up: as large as the largest of
/// the users' deployments.
const UNKNOWN_FLEET: usize = 100;

/// Reads a configuration as the platform keeps it.
pub type ConfigDecoder = Box<dyn Fn(&[u8]) -> Result<MeshConfig, String>>;

/// The state of one daemon.
pub struct MeshState {
    settings: RefCell<Rc<MeshSettings>>,
    pub dialect: HeaderDialect,
    pub executor: EndpointExecutor,
    pub calls: RefCell<CallTable>,
    pub gate: RefCell<EntryGate>,
    pub rng: RefCell<SmallRng>,
    pub metrics: FleetMetrics,
    started: Instant,
    incarnation: u64,
    next_call: Cell<u64>,
    decode_config: ConfigDecoder,
    routes: RefCell<Option<Rc<RouteTable>>>,
    raw_config: RefCell<Bytes>,
    proven: Cell<Option<Duration>>,
    reads_store: Cell<bool>,
    config_asked: Cell<Option<Instant>>,
    peers: RefCell<HashMap<SocketAddrV4, Rc<Peer>>>,
    by_service: RefCell<HashMap<String, Vec<Rc<Peer>>>>,
    listeners: RefCell<Vec<LinkSender>>,
    control_time: Cell<Duration>,
    looked_up: Cell<bool>,
    stopping: Cell<bool>,
    open_requests: Cell<u32>,
}

impl MeshState {
    /// Starts with no configuration, no endpoint and no peers.
    pub fn start(
        settings: MeshSettings,
        dialect: HeaderDialect,
        decode_config: ConfigDecoder,
    ) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        let incarnation = rng.random();
        let executor = EndpointExecutor::start(dialect.clone(), settings.announce_interval);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            executor,
            calls: RefCell::new(CallTable::default()),
            gate: RefCell::new(EntryGate::default()),
            rng: RefCell::new(rng),
            metrics: FleetMetrics::start(),
            started: Instant::now(),
            incarnation,
            next_call: Cell::new(1),
            decode_config,
            routes: RefCell::new(None),
            raw_config: RefCell::new(Bytes::new()),
            proven: Cell::new(None),
            reads_store: Cell::new(false),
            config_asked: Cell::new(None),
            peers: RefCell::new(HashMap::new()),
            by_service: RefCell::new(HashMap::new()),
            listeners: RefCell::new(Vec::new()),
            control_time: Cell::new(Duration::ZERO),
            looked_up: Cell::new(false),
            stopping: Cell::new(false),
            open_requests: Cell::new(0),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<MeshSettings> {
        self.settings.borrow().clone()
    }

    /// Puts changed settings in force; addresses stay as they were, since sockets are bound.
    pub fn reload(&self, settings: MeshSettings) {
        let event = LogEvent::SettingsReloaded.number();
        tracing::warn!(event, ?settings, "the settings were read again");
        let old = self.settings();
        self.executor.set_interval(settings.announce_interval);
        *self.settings.borrow_mut() = Rc::new(MeshSettings {
            caller_address: old.caller_address,
            link_address: old.link_address,
            link_listen_address: old.link_listen_address,
            ..settings
        });
    }

    /// Time since the start of the daemon.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A number for the next call that this daemon sends.
    pub fn next_call(&self) -> u64 {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        call
    }

    /// What a link begins with.
    pub fn hello(&self) -> LinkHello {
        LinkHello {
            incarnation: self.incarnation,
            address: self.settings().link_address,
            known: self.peers.borrow().keys().copied().collect(),
        }
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The version in force; 0 before there is one.
    pub fn config_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(0, |one| one.config().version)
    }

    /// The configuration in force as the platform keeps it.
    pub fn raw_config(&self) -> (u64, Bytes) {
        (self.config_version(), self.raw_config.borrow().clone())
    }

    /// Puts a configuration in force if it is newer; what can't be read is passed over.
    pub fn apply_config(&self, raw: &Bytes, source: &'static str) {
        let config = match (self.decode_config)(raw) {
            Ok(config) => config,
            Err(error) => {
                let event = LogEvent::LogRecordBad.number();
                tracing::warn!(event, source, error, "a configuration can't be read");
                return;
            }
        };
        let (old, new) = (self.config_version(), config.version);
        if new <= old {
            return;
        }
        let event = LogEvent::ConfigInForce.number();
        let (routes, organisations) = (config.routes.len(), config.organisations.len());
        tracing::warn!(
            event,
            old,
            new,
            source,
            routes,
            organisations,
            "configuration in force"
        );
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::from_config(config)));
        // A proof for an older version stays good: this one includes all that was in force then.
        *self.raw_config.borrow_mut() = raw.clone();
        if self.reads_store.get() {
            // The others wait for their readers' word.
            self.announce();
        }
    }

    /// Notes that `version` was the newest at `at` on the clock that suspension doesn't stop.
    pub fn prove_newest(&self, version: u64, at: Duration) {
        // A newer version includes all that an older one that was the newest at `at` did.
        if version > 0 && version <= self.config_version() {
            self.proven.set(self.proven.get().max(Some(at)));
        }
    }

    /// Whether this daemon should read the store now, for itself or for the fleet.
    pub fn should_read_store(&self) -> bool {
        let peers = self.peers();
        let peers = peers.iter().filter_map(|peer| {
            let order = reader_order(peer.address);
            peer.with_report(|report| PeerReader {
                order,
                reads: report.reads_store,
            })
        });
        let settings = self.settings();
        let own = reader_order(settings.link_address);
        should_read(own, peers, self.proof_age(), settings.proof_age_limit)
    }

    /// Whether what peers prove has become too old to wait for more of it.
    pub fn proof_is_old(&self) -> bool {
        is_old(self.proof_age(), self.settings().proof_age_limit)
    }

    /// Notes whether this daemon reads the store, for its peers to count on.
    pub fn set_reads_store(&self, reads: bool) {
        if self.reads_store.replace(reads) != reads {
            let event = LogEvent::ReaderChanged.number();
            tracing::warn!(event, reads, "reads the store for the fleet");
        }
    }

    /// Whether a peer that has a newer configuration may be asked for it, `waited` after it was
    /// first heard of; a moment later another one may.
    pub fn may_ask_config(&self, waited: Duration) -> bool {
        let known = self.config_version() > 0;
        // A reader hears from the store itself.
        if known && self.reads_store.get() && waited < CONFIG_PATIENCE {
            return false;
        }
        let asked = self.config_asked.get();
        if known && asked.is_some_and(|at| at.elapsed() < CONFIG_ASK_EVERY) {
            return false;
        }
        self.config_asked.set(Some(Instant::now()));
        true
    }

    /// Age of the proof that the configuration in force is the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        Some(boot_now().saturating_sub(self.proven.get()?))
    }

    /// Whether a withdrawal of a key may have been missed for longer than the bound.
    pub fn proof_too_old(&self) -> bool {
        self.proof_age()
            .is_none_or(|age| age > self.settings().proof_age_limit)
    }

    /// Adds a daemon and links to it, unless it is known.
    pub fn meet(self: &Rc<Self>, address: SocketAddrV4) {
        if address == self.settings().link_address || self.peers.borrow().contains_key(&address) {
            return;
        }
        let peer = Rc::new(Peer::from_address(address));
        self.peers.borrow_mut().insert(address, peer.clone());
        let event = LogEvent::MemberChanged.number();
        tracing::info!(event, peer = %address, "a daemon is known");
        let state = self.clone();
        tokio::task::spawn_local(super::control::keep_link(state, peer));
    }

    /// Forgets a daemon that has been gone for long.
    pub fn forget(&self, address: SocketAddrV4) {
        self.peers.borrow_mut().remove(&address);
        self.index_services();
        let event = LogEvent::MemberChanged.number();
        tracing::warn!(event, peer = %address, "a daemon is forgotten");
    }

    /// Notes that the daemons of the fleet were looked up, so that all of them are known.
    pub fn note_looked_up(&self) {
        self.looked_up.set(true);
    }

    /// Daemons that share what the fleet may spend, this one included. Those that aren't linked yet
    /// serve their callers too, and before the lookup all of them may have just started.
    pub fn fleet_size(&self) -> usize {
        let known = 1 + self.peers.borrow().len();
        if self.looked_up.get() {
            known
        } else {
            known.max(UNKNOWN_FLEET)
        }
    }

    /// The other daemons.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Daemons that are linked, this one included.
    pub fn linked_daemons(&self) -> usize {
        let peers = self.peers.borrow();
        1 + peers.values().filter(|one| one.sender().is_some()).count()
    }

    /// Spends one repeat to a service from this daemon's part of the budget, if that has room.
    pub fn spend_repeat(&self, service: &str) -> bool {
        let rule = self.settings().repeat_rule;
        let daemons = self.fleet_size();
        let mut gate = self.gate.borrow_mut();
        gate.spend_repeat(service, &rule, daemons, self.now())
    }

    /// Runs `read` on the daemons beside endpoints of a service that take new work.
    pub fn with_executors<T>(&self, service: &str, read: impl FnOnce(&[Rc<Peer>]) -> T) -> T {
        let index = self.by_service.borrow();
        read(index.get(service).map_or(&[], |peers| peers.as_slice()))
    }

    /// Builds the index of daemons by service anew, after a change.
    pub fn index_services(&self) {
        let mut index: HashMap<String, Vec<Rc<Peer>>> = HashMap::new();
        for peer in self.peers.borrow().values() {
            let service = peer.with_report(|report| {
                let endpoint = report.endpoint.as_ref().filter(|_| !report.stopping);
                endpoint.map(|one| one.service.clone())
            });
            if let Some(Some(service)) = service {
                index.entry(service).or_default().push(peer.clone());
            }
        }
        *self.by_service.borrow_mut() = index;
    }

    /// Adds a link on which another daemon hears of this one's changes.
    pub fn add_listener(&self, sender: LinkSender) {
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|one| !one.is_closed());
        listeners.push(sender);
    }

    /// Tells all daemons of this one's state without waiting for them to ask.
    pub fn announce(&self) {
        let report = self.report();
        self.gate.borrow_mut().note_reported();
        for listener in self.listeners.borrow().iter() {
            let report = report.clone();
            let sequence = 0;
            listener.send(&LinkFrame::Report { sequence, report }, &[]);
        }
    }

    /// What this daemon says of itself.
    pub fn report(&self) -> DaemonReport {
        let gate = self.gate.borrow();
        DaemonReport {
            stopping: self.stopping.get(),
            config_version: self.config_version(),
            proof_age_ms: self.proof_age().map(|age| age.as_millis() as u32),
            reads_store: self.reads_store.get(),
            endpoint: self.endpoint_report(),
            organisations: gate.organisation_demand(),
            classes: gate.class_rates(),
        }
    }

    /// The endpoint beside this daemon, while it may get new work.
    pub fn endpoint_report(&self) -> Option<EndpointReport> {
        let (beat, cold) = self.executor.usable()?;
        Some(EndpointReport {
            service: beat.service,
            failure_domain: self.settings().failure_domain.clone(),
            slots: beat.slots,
            cold: !cold.is_zero(),
            in_hand: self.executor.in_hand(),
        })
    }

    /// Whether this daemon reads the store for the fleet.
    pub fn reads_store(&self) -> bool {
        self.reads_store.get()
    }

    /// Time that the thread has spent on control: dealing shares and taking reports.
    pub fn control_time(&self) -> Duration {
        self.control_time.get()
    }

    /// Does some work of control and counts its time; nothing else runs on the thread meanwhile.
    pub fn spend_control<T>(&self, work: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = work();
        self.control_time
            .set(self.control_time.get() + begun.elapsed());
        result
    }

    /// Whether callers on this VM may send new work here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && !self.proof_too_old()
    }

    /// Whether the daemon was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Takes no new work for the endpoint and tells all daemons so.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.executor.stop();
        self.announce();
    }

    /// Requests of callers that have no answer yet.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Counts a request of a caller that is being answered.
    pub fn open_request(&self, change: i32) {
        let open = self.open_requests.get();
        self.open_requests.set(open.saturating_add_signed(change));
    }
}

/// The same order at every daemon, and one in which failure domains are mixed.
fn reader_order(address: SocketAddrV4) -> u64 {
    u64::from(hash_name(&address.to_string()))
}
