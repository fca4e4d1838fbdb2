//! Starts a small fleet of daemons, endpoints and a log on loopback addresses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch::operator::drain_endpoint;
use marigoldhatch::operator::grant_key;
use marigoldhatch::operator::publish_config;
use marigoldhatch::operator::withdraw_key;
use marigoldhatch::operator::FleetLog;
use marigoldhatch::upstream::hash_key;
use marigoldhatch::wire::Importance;
use marigoldhatch::wire::OrganisationTerms;
use marigoldhatch::wire::ServiceConfig;
use marigoldhatch::wire::ServiceRoute;
use marigoldhatch::wire::TeamConfig;
use marigoldhatch_standins::endpoint::DaemonAddresses;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use marigoldhatch_standins::endpoint::RequestRecord;
use marigoldhatch_standins::endpoint::StandinEndpoint;
use marigoldhatch_standins::log::StandinLog;
use marigoldhatch_standins::relay::TcpRelay;
use serde_json::Value;
use tempfile::TempDir;

use super::daemon::DaemonProcess;
use super::daemon::DaemonSettings;
use super::Caller;

/// Time limit for the daemons to reach an expected state; long enough for a slow machine.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(45);
/// Interval between two reads of a daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Retention of the log's records unless a test sets another.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3_600);

/// Number of the next fleet of this process, from which its addresses are derived.
static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Endpoints, configuration and log retention of a fleet to be started.
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    endpoints: Vec<EndpointBehaviour>,
    config: TeamConfig,
    retention: Duration,
    use_relays: bool,
}

/// Running fleet with one daemon process beside each endpoint.
pub struct Fleet {
    pub log: StandinLog,
    pub daemons: Vec<DaemonProcess>,
    pub endpoints: Vec<StandinEndpoint>,
    /// One relay between each daemon and the log.
    pub log_relays: Vec<TcpRelay>,
    /// One relay in front of each daemon's peer address, if enabled in the builder.
    pub peer_relays: Vec<TcpRelay>,
    /// One relay in front of each daemon's traffic address, if enabled; only other daemons use it.
    pub traffic_relays: Vec<TcpRelay>,
    pub config: TeamConfig,
    directory: TempDir,
}

impl FleetBuilder {
    /// Creates a fleet without endpoints and with one organisation, whose rate is far above the tests' load.
    pub fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            config: TeamConfig {
                team: "team".to_string(),
                organisations: vec![organisation_terms("acme", 10_000.0, 20_000.0)],
                services: Vec::new(),
            },
            retention: DEFAULT_RETENTION,
            use_relays: false,
        }
    }

    /// Adds endpoints of a service that respond immediately.
    pub fn endpoints(self, service: &str, count: usize) -> Self {
        let behaviour = EndpointBehaviour::from_service(service);
        (0..count).fold(self, |fleet, _| fleet.endpoint(behaviour.clone()))
    }

    /// Adds one endpoint.
    pub fn endpoint(mut self, behaviour: EndpointBehaviour) -> Self {
        self.endpoints.push(behaviour);
        self
    }

    /// Adds or replaces an organisation and allows it on all routes added so far.
    pub fn organisation(mut self, name: &str, rate_per_s: f64, burst: f64) -> Self {
        self.config
            .organisations
            .retain(|existing| existing.name != name);
        self.config
            .organisations
            .push(organisation_terms(name, rate_per_s, burst));
        for service in &mut self.config.services {
            for route in &mut service.routes {
                route.allowed.push(name.to_string());
            }
        }
        self
    }

    /// Adds an idempotent GET route of normal importance.
    pub fn get_route(self, service: &str, path: &str) -> Self {
        self.route(service, path, "GET", true, Importance::Normal)
    }

    /// Adds a non-idempotent POST route of critical importance.
    pub fn post_route(self, service: &str, path: &str) -> Self {
        self.route(service, path, "POST", false, Importance::Critical)
    }

    /// Adds a route that all organisations added so far may call.
    pub fn route(
        mut self,
        service: &str,
        path: &str,
        method: &str,
        idempotent: bool,
        importance: Importance,
    ) -> Self {
        let allowed = self
            .config
            .organisations
            .iter()
            .map(|organisation| organisation.name.clone());
        let route = ServiceRoute {
            path: path.to_string(),
            methods: vec![method.to_string()],
            idempotent,
            importance,
            open: false,
            deadline_ms: 10_000,
            allowed: allowed.collect(),
        };
        let services = &mut self.config.services;
        match services
            .iter_mut()
            .find(|existing| existing.name == service)
        {
            Some(existing) => existing.routes.push(route),
            None => services.push(ServiceConfig {
                name: service.to_string(),
                routes: vec![route],
                retry_allowance: 2,
                retry_budget_percent: 20,
                outage_bridge_s: 3_600,
            }),
        }
        self
    }

    /// Applies a change to the configuration.
    pub fn configure(mut self, change: impl FnOnce(&mut TeamConfig)) -> Self {
        change(&mut self.config);
        self
    }

    /// Sets the retention of the log's records.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Routes connections between daemons through relays, which can close or silence them.
    pub fn relayed(mut self) -> Self {
        self.use_relays = true;
        self
    }

    /// Starts the fleet and waits until all daemons have converged.
    pub async fn start(self) -> Fleet {
        let network = unused_loopback_network();
        let log = StandinLog::start(SocketAddr::from(([127, 0, 0, 1], 0)), self.retention).await;
        let mut fleet = Fleet {
            log,
            daemons: Vec::new(),
            endpoints: Vec::new(),
            log_relays: Vec::new(),
            peer_relays: Vec::new(),
            traffic_relays: Vec::new(),
            config: self.config.clone(),
            directory: TempDir::new().expect("a temporary directory"),
        };
        fleet.publish(self.config.clone(), 0).await;
        for (index, behaviour) in self.endpoints.iter().enumerate() {
            fleet
                .add_vm(network, index, behaviour.clone(), self.use_relays)
                .await;
        }
        fleet.wait_until_converged().await;
        fleet
    }
}

impl Fleet {
    /// Creates a caller of the daemon at an index, with a new key of an organisation.
    pub async fn caller(&self, daemon: usize, organisation: &str) -> Caller {
        let key = self.grant(organisation).await;
        Caller::new(self.daemons[daemon].settings.traffic_address(), &key)
    }

    /// Grants a new key and waits until every daemon has read the grant.
    pub async fn grant(&self, organisation: &str) -> String {
        let mut log = self.open_log().await;
        let granted = grant_key(&mut log, organisation, "test")
            .await
            .expect("grant the key");
        let offset = log.next_offset();
        self.wait_for_status("the grant has been read", |status| {
            status["next_offset"].as_u64() >= Some(offset)
        })
        .await;
        granted.key
    }

    /// Withdraws a key without waiting for the daemons to read the withdrawal.
    pub async fn withdraw(&self, key: &str) {
        let mut log = self.open_log().await;
        withdraw_key(&mut log, &hash_key(key), "test")
            .await
            .expect("withdraw the key");
    }

    /// Drains a VM's endpoint as an operator.
    pub async fn drain(&self, vm: &str) {
        let mut log = self.open_log().await;
        drain_endpoint(&mut log, vm, true, "test")
            .await
            .expect("drain the endpoint");
    }

    async fn open_log(&self) -> FleetLog {
        FleetLog::open(&self.log.url()).await.expect("open the log")
    }

    /// Publishes a configuration based on a version; 0 stands for none.
    pub async fn publish(&self, config: TeamConfig, based_on: u64) {
        let mut log = self.open_log().await;
        publish_config(&mut log, config, based_on, "test")
            .await
            .expect("publish the configuration");
    }

    /// Polls until the status of each daemon has satisfied a condition.
    ///
    /// # Panics
    ///
    /// Panics if a daemon doesn't satisfy it within [`CONVERGENCE_TIMEOUT`].
    pub async fn wait_for_status(&self, condition: &str, holds: impl Fn(&Value) -> bool) {
        let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
        for daemon in &self.daemons {
            loop {
                let status = daemon.status().await;
                if status.as_ref().is_some_and(&holds) {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{}: timed out waiting until {condition}; last status: {status:?}\n{}",
                    daemon.settings.vm,
                    self.log_tail(&daemon.settings.vm)
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Waits until every daemon knows all others, the configuration and the owners of each scope.
    pub async fn wait_until_converged(&self) {
        let other_daemons = self.daemons.len() - 1;
        let owned_scopes: Vec<String> = self
            .config
            .services
            .iter()
            .filter(|service| service.routes.iter().any(|route| !route.idempotent))
            .map(|service| service.name.clone())
            .chain(["rates".to_string()])
            .collect();
        let expected: Vec<(String, usize)> = owned_scopes
            .into_iter()
            .map(|scope| {
                let count = self.expected_owner_count(&scope);
                (scope, count)
            })
            .collect();
        self.wait_for_status("the fleet has converged", |status| {
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let alive = members
                .iter()
                .filter(|member| member["state"] == "alive" && member["service"] != "")
                .count();
            let teams = status["teams"].as_array().map_or(0, Vec::len);
            let scopes = status["scopes"].as_array().cloned().unwrap_or_default();
            let owners_ready = expected.iter().all(|(scope, count)| {
                *count == 0
                    || scopes.iter().any(|reported| {
                        reported["scope"] == *scope
                            && reported["owners"].as_u64() == Some(*count as u64)
                    })
            });
            alive == other_daemons && teams > 0 && owners_ready
        })
        .await;
    }

    fn expected_owner_count(&self, scope: &str) -> usize {
        if scope == "rates" {
            return self.daemons.len().min(8);
        }
        let services = &self.endpoint_services();
        services.iter().filter(|service| *service == scope).count()
    }

    fn endpoint_services(&self) -> Vec<String> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.behaviour().service)
            .collect()
    }

    /// Returns all requests that the endpoints received, without those that they shed.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.endpoints
            .iter()
            .flat_map(StandinEndpoint::records)
            .collect()
    }

    /// Returns the number of requests with this body that the endpoints received.
    pub fn run_count(&self, body: &str) -> usize {
        self.records()
            .iter()
            .filter(|record| record.body == body.as_bytes())
            .count()
    }

    /// Kills the daemon of a VM and starts another one, which has no state.
    pub async fn restart(&mut self, index: usize) {
        self.daemons[index].kill();
        let settings = self.daemons[index].settings.clone();
        self.daemons[index] = DaemonProcess::start(settings, self.directory.path()).await;
    }

    /// Returns the last 40 lines of a daemon's log, for the message of a failed assertion.
    pub fn log_tail(&self, vm: &str) -> String {
        let path = self.directory.path().join(format!("{vm}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(40)..].join("\n")
    }

    /// Returns a daemon's log up to now.
    pub fn daemon_log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.directory.path().join(format!("{vm}.log"))).unwrap_or_default()
    }

    async fn add_vm(
        &mut self,
        network: [u8; 3],
        index: usize,
        behaviour: EndpointBehaviour,
        use_relays: bool,
    ) {
        let host = u8::try_from(index + 1).expect("a fleet has fewer than 256 VMs");
        let ip = IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], host));
        let log_relay = TcpRelay::start(self.log.address()).await;
        let mut settings = DaemonSettings {
            vm: format!("vm-{index}"),
            failure_domain: format!("domain-{}", index % 3),
            ip,
            log_url: format!("http://{}", log_relay.address()),
            advertised_peer: None,
            advertised_traffic: None,
            bootstrap_peers: self
                .daemons
                .iter()
                .map(|daemon| daemon.settings.peer_address())
                .collect(),
        };
        self.log_relays.push(log_relay);
        if use_relays {
            let peer = TcpRelay::start(settings.peer_address()).await;
            let traffic = TcpRelay::start(settings.traffic_address()).await;
            settings.advertised_peer = Some(peer.address());
            settings.advertised_traffic = Some(traffic.address());
            settings.bootstrap_peers = self.peer_relays.iter().map(TcpRelay::address).collect();
            self.peer_relays.push(peer);
            self.traffic_relays.push(traffic);
        }
        let addresses = DaemonAddresses {
            local: settings.local_address(),
            control: settings.control_address(),
        };
        self.daemons
            .push(DaemonProcess::start(settings, self.directory.path()).await);
        self.endpoints
            .push(StandinEndpoint::start(behaviour, Some(addresses)).await);
    }
}

fn organisation_terms(name: &str, rate_per_s: f64, burst: f64) -> OrganisationTerms {
    OrganisationTerms {
        name: name.to_string(),
        rate_per_s,
        burst,
        weight: 1,
    }
}

/// Returns the first three bytes of a loopback network that no other fleet uses.
///
/// The bytes are derived from the process id and a counter; the bind shows that they are unused.
fn unused_loopback_network() -> [u8; 3] {
    let process = std::process::id();
    loop {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::SeqCst);
        let hash = process
            .wrapping_mul(31)
            .wrapping_add(number.wrapping_mul(7919));
        let network = [127, (hash >> 8) as u8 | 1, hash as u8];
        let probe = SocketAddr::from(([network[0], network[1], network[2], 1], 7100));
        if std::net::TcpListener::bind(probe).is_ok() {
            return network;
        }
    }
}
