//! Fleet of three daemons with their endpoints and a log, all in this process.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch::daemon::Daemon;
use marigoldhatch::daemon::DaemonOptions;
use marigoldhatch::operator::config_from_answers;
use marigoldhatch::operator::grant_key;
use marigoldhatch::operator::publish_config;
use marigoldhatch::operator::withdraw_key;
use marigoldhatch::operator::FleetLog;
use marigoldhatch::settings::CheckedDocument;
use marigoldhatch::settings::TeamAnswers;
use marigoldhatch::settings::ANSWERS_SCHEMA;
use marigoldhatch::upstream::hash_key;
use marigoldhatch_standins::endpoint::DaemonAddresses;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use marigoldhatch_standins::endpoint::StandinEndpoint;
use marigoldhatch_standins::log::StandinLog;
use tokio::runtime::Runtime;

const LOG_RETENTION: Duration = Duration::from_secs(3_600);
/// Answers that configure the fleet.
const ANSWERS: &str = include_str!("../answers.jsonc");
/// Service of the endpoint beside each daemon.
const SERVICES: [&str; 3] = ["archive", "filing", "filing"];
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running fleet.
pub struct DemoFleet {
    log: StandinLog,
    daemons: Vec<Daemon>,
    addresses: Vec<DemoAddresses>,
    endpoints: Vec<StandinEndpoint>,
}

/// The addresses of one daemon.
#[derive(Debug, Clone, Copy)]
struct DemoAddresses {
    traffic: SocketAddr,
    local: SocketAddr,
    peer: SocketAddr,
    control: SocketAddr,
}

impl DemoFleet {
    /// Starts the log, publishes the answers and starts the daemons with their endpoints.
    pub fn start(runtime: &Runtime) -> Result<Self, String> {
        let log = runtime.block_on(StandinLog::start(loopback(), LOG_RETENTION));
        runtime.block_on(publish(&log))?;
        let mut fleet = Self {
            log,
            daemons: Vec::new(),
            addresses: Vec::new(),
            endpoints: Vec::new(),
        };
        for (index, service) in SERVICES.iter().enumerate() {
            fleet.add_daemon(runtime, index, service)?;
        }
        Ok(fleet)
    }

    /// Returns the address at which callers reach a daemon.
    pub fn traffic_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].traffic
    }

    /// Grants a key to an organisation and returns it.
    pub async fn grant(&self, organisation: &str) -> String {
        let granted = grant_key(&mut self.open_log().await, organisation, "demo").await;
        granted.expect("failed to grant a key").key
    }

    /// Withdraws a key.
    pub async fn withdraw(&self, key: &str) {
        let withdrawn = withdraw_key(&mut self.open_log().await, &hash_key(key), "demo").await;
        withdrawn.expect("failed to withdraw a key");
    }

    /// Returns how many requests with this body the endpoints received.
    pub fn run_count(&self, body: &str) -> usize {
        self.endpoints
            .iter()
            .flat_map(StandinEndpoint::records)
            .filter(|record| record.body == body.as_bytes())
            .count()
    }

    /// Stops the fleet, one daemon after the other, because each hands over to the remaining ones.
    pub fn close(self, runtime: &Runtime) {
        drop(self.daemons);
        for endpoint in self.endpoints {
            endpoint.close();
        }
        runtime.block_on(self.log.close());
    }

    async fn open_log(&self) -> FleetLog {
        let log = FleetLog::open(&self.log.url()).await;
        log.expect("failed to read the embedded log")
    }

    fn add_daemon(&mut self, runtime: &Runtime, index: usize, service: &str) -> Result<(), String> {
        let daemon_addresses = DemoAddresses {
            traffic: free_address()?,
            local: free_address()?,
            peer: free_address()?,
            control: free_address()?,
        };
        let settings = format!(
            r#"{{
                "vm": "vm-{index}", "failure_domain": "domain-{index}", "region": "loopback",
                "traffic_address": "{}", "local_address": "{}",
                "peer_address": "{}", "control_address": "{}",
                "log_url": "{}", "fleet_secret": "a secret for the demo and nothing else",
                "traffic_threads": 1
            }}"#,
            daemon_addresses.traffic,
            daemon_addresses.local,
            daemon_addresses.peer,
            daemon_addresses.control,
            self.log.url()
        );
        let options = DaemonOptions::from_text("demo settings", &settings)
            .map_err(|error| error.to_string())?;
        let daemon = Daemon::start(options).map_err(|error| error.to_string())?;
        let endpoint_addresses = DaemonAddresses {
            local: daemon_addresses.local,
            control: daemon_addresses.control,
        };
        let behaviour = EndpointBehaviour::from_service(service);
        let endpoint =
            runtime.block_on(StandinEndpoint::start(behaviour, Some(endpoint_addresses)));
        self.daemons.push(daemon);
        self.addresses.push(daemon_addresses);
        self.endpoints.push(endpoint);
        Ok(())
    }
}

/// Waits until a condition holds and returns true, or false if `timeout` passes first.
pub async fn wait_until<F>(timeout: Duration, mut condition: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

async fn publish(log: &StandinLog) -> Result<(), String> {
    let answers: CheckedDocument<TeamAnswers> =
        CheckedDocument::from_text("demo/answers.jsonc", ANSWERS, ANSWERS_SCHEMA)
            .map_err(|error| error.to_string())?;
    let config = config_from_answers(&answers.value);
    let mut fleet = FleetLog::open(&log.url())
        .await
        .map_err(|error| error.to_string())?;
    publish_config(&mut fleet, config, 0, "demo")
        .await
        .map_err(|error| error.to_string())?;
    Ok(())
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address whose port was free when it was checked.
fn free_address() -> Result<SocketAddr, String> {
    std::net::TcpListener::bind(loopback())
        .and_then(|listener| listener.local_addr())
        .map_err(|error| format!("no free loopback port: {error}"))
}
