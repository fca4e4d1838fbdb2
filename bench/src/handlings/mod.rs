//! Measures the CPU time that a daemon of the mesh spends on one handling of a call: one pass of
//! the call through the daemon.
//!
//! The last table shows the same for a load like that of a day, where the links and tasks are idle most of
//! the time.
//!
//! The callers, the entry, the executor and the endpoint each run on their own thread, so that the
//! CPU time of the two daemons is separate from that of the load. The same load goes
//! through two forwarders on pooled HTTP/1.1 connections for comparison.

mod day;
mod forward;
mod load;
mod thread;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::body::Bytes;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::readers::ProofLimits;
use marigoldhatch::mesh::fleet::CallerLimits;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::fleet::RouteRule;
use marigoldhatch::mesh::fleet::WeightedService;
use marigoldhatch::mesh::MeshDaemon;
use marigoldhatch::mesh::MeshSettings;
use marigoldhatch_standins::mesh::loopback_settings;
use marigoldhatch_standins::mesh::plain_header_names;
use tokio::sync::oneshot;

use forward::serve_endpoint;
use forward::serve_forwarder;
use load::run_load;
use thread::ServerThread;

const SERVICE: &str = "deep";
/// Numbers of requests in flight between the two daemons.
const IN_FLIGHT: [usize; 3] = [1, 30, 300];
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);
/// Target CPU time of one handling, in microseconds.
const TARGET_US_PER_HANDLING: f64 = 30.0;
/// A call is handled by the entry and by the executor.
const HANDLINGS_PER_CALL: f64 = 2.0;

/// The entry, the executor and the endpoint on one path of a call.
struct CallPath {
    name: &'static str,
    entry: ServerThread,
    executor: ServerThread,
    endpoint: ServerThread,
}

/// Measures both paths at each load and prints a table.
pub fn run() {
    println!(
        "{:<22} {:>9} {:>9} {:>10} {:>12} {:>11}",
        "path", "in flight", "calls/s", "entry us", "executor us", "handling us"
    );
    for in_flight in IN_FLIGHT {
        for path in [start_forwarders(), start_mesh()] {
            path.measure(in_flight);
            path.close();
        }
    }
    println!("target: at most {TARGET_US_PER_HANDLING} us per handling");
    day::run();
}

impl CallPath {
    fn measure(&self, in_flight: usize) {
        run_load(self.entry.address, in_flight, WARM_UP_DURATION);
        let (entry, executor) = (self.entry.cpu_time(), self.executor.cpu_time());
        let start = Instant::now();
        let calls = run_load(self.entry.address, in_flight, MEASUREMENT_DURATION);
        let seconds = start.elapsed().as_secs_f64();
        let cost = |before: Duration, after: Duration| {
            (after - before).as_secs_f64() * 1e6 / calls.max(1) as f64
        };
        let entry = cost(entry, self.entry.cpu_time());
        let executor = cost(executor, self.executor.cpu_time());
        println!(
            "{:<22} {:>9} {:>9.0} {:>10.1} {:>12.1} {:>11.1}",
            self.name,
            in_flight,
            calls as f64 / seconds,
            entry,
            executor,
            (entry + executor) / HANDLINGS_PER_CALL
        );
    }

    fn close(self) {
        self.entry.close();
        self.executor.close();
        self.endpoint.close();
    }
}

fn start_forwarders() -> CallPath {
    let endpoint = start_endpoint();
    let endpoint_address = endpoint.address;
    let executor =
        ServerThread::start(move |address, stop| serve_forwarder(address, endpoint_address, stop));
    let next = executor.address;
    let entry = ServerThread::start(move |address, stop| serve_forwarder(address, next, stop));
    CallPath {
        name: "pooled HTTP/1.1",
        entry,
        executor,
        endpoint,
    }
}

fn start_mesh() -> CallPath {
    let endpoint = start_endpoint();
    let endpoint_address = endpoint.address;
    let link = free_address();
    let executor = ServerThread::start(move |callers, stop| {
        let addresses = MeshAddresses {
            callers,
            link,
            endpoint: Some(endpoint_address),
            peer: None,
        };
        serve_daemon(addresses, stop)
    });
    let entry = ServerThread::start(move |callers, stop| {
        let addresses = MeshAddresses {
            callers,
            link: free_address(),
            endpoint: None,
            peer: Some(link),
        };
        serve_daemon(addresses, stop)
    });
    CallPath {
        name: "links between daemons",
        entry,
        executor,
        endpoint,
    }
}

fn start_endpoint() -> ServerThread {
    ServerThread::start(serve_endpoint).wait_until_listening()
}

/// Addresses that a daemon listens on and connects to.
struct MeshAddresses {
    callers: SocketAddr,
    link: SocketAddrV4,
    endpoint: Option<SocketAddr>,
    peer: Option<SocketAddrV4>,
}

async fn serve_daemon(addresses: MeshAddresses, stop: oneshot::Receiver<()>) {
    let decode = Box::new(|_: &[u8]| Ok(configuration()));
    let daemon = MeshDaemon::start(
        settings(addresses.callers, addresses.link),
        plain_header_names(),
        decode,
        Rc::new(DeadlineClock::start()),
    )
    .expect("failed to start the daemon");
    let state = daemon.state().clone();
    state.apply_config(&Bytes::from_static(b"bench"), "bench");
    state.record_proof(1, marigoldhatch::clock::time_since_boot());
    if let Some(SocketAddr::V4(address)) = addresses.endpoint {
        state.handle_announcement(announcement(address));
    }
    if let Some(address) = addresses.peer {
        state.add_peer(address);
    }
    // Dropping the sender stops the daemon too.
    drop(stop.await);
}

/// Returns a loopback address with a free port.
fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .expect("failed to bind to a free port");
    let port = listener
        .local_addr()
        .expect("the listener has an address")
        .port();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn announcement(address: SocketAddrV4) -> EndpointAnnouncement {
    EndpointAnnouncement {
        id: "endpoint-1".to_owned(),
        service: SERVICE.to_owned(),
        address,
        slots: 1000,
        state: EndpointState::Ready,
        sequence: 1,
        born_ms: 1,
        cold: Duration::ZERO,
    }
}

fn settings(callers: SocketAddr, link: SocketAddrV4) -> MeshSettings {
    let SocketAddr::V4(callers) = callers else {
        panic!("expected an IPv4 address for the callers, got {callers}");
    };
    MeshSettings {
        // Disables periodic announcements and proofs during a measurement.
        announce_interval: Duration::from_secs(3600),
        proof_limits: ProofLimits {
            keys: Duration::from_secs(3600),
            version: Duration::from_secs(3600),
        },
        ..loopback_settings(SERVICE, callers, link)
    }
}

fn configuration() -> MeshConfig {
    let service = WeightedService {
        service: SERVICE.into(),
        weight: 1.0,
    };
    let route = RouteRule {
        name: "bench".to_owned(),
        host: "deep.example".to_owned(),
        path_prefix: "/deep/".to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_secs(5),
        rank: 0,
        services: [service].into_iter().collect(),
        max_attempts: 2,
        allows_anonymous: true,
    };
    MeshConfig {
        warnings: Vec::new(),
        version: 1,
        routes: vec![route],
        organisations: Vec::new(),
        status_paths: HashMap::new(),
        cold_limits: HashMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(60),
        },
    }
}
