//! A load like that of a day on a deployment: few requests at a time, most of them with nested calls,
//! log lines, links to many idle daemons and callers that open new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use hyper::Request;
use marigoldhatch::clock::time_since_boot;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::quota::QuotaRule;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::fleet::OrganisationRule;
use marigoldhatch::mesh::fleet::RouteRule;
use marigoldhatch::mesh::fleet::WeightedService;
use marigoldhatch::mesh::MeshDaemon;
use marigoldhatch::mesh::MeshSettings;
use marigoldhatch::observe::start_log;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendOptions;
use marigoldhatch_standins::mesh::plain_header_names;
use tokio::sync::oneshot;

use super::forward::endpoint_response;
use super::forward::serve;
use super::free_address;
use super::load::run_paced_load;
use super::load::LoadShape;
use super::thread::ServerThread;

/// Service that the callers ask; its endpoint makes nested calls.
const ROOT_SERVICE: &str = "deep";
/// Service of the nested calls.
const LEAF_SERVICE: &str = "leaf";
/// Nested calls that a request makes, one after another.
const NESTED_CALLS: u64 = 4;
/// Time that an endpoint works on a call.
const WORK_TIME: Duration = Duration::from_millis(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 1 << 20;
const API_KEY: &str = "key-of-the-day";
/// Daemons without load. Their links are pinged as often in all as those of a fleet of 80, whose
/// pings are rarer.
const IDLE_DAEMONS: usize = 26;
const FAILURE_DOMAINS: usize = 4;
const WARM_UP_DURATION: Duration = Duration::from_secs(3);
const REST_DURATION: Duration = Duration::from_secs(3);
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Callers of a day: requests take about 60 ms, so that the two daemons handle about 500 calls a second
/// each.
const DAY_LOAD: LoadShape = LoadShape {
    in_flight: 11,
    pause: Duration::from_millis(45),
    requests_per_connection: 2,
    api_key: Some(API_KEY),
};

/// Addresses and endpoint of one daemon.
struct DayMember {
    callers: SocketAddr,
    link: SocketAddrV4,
    peer: Option<SocketAddrV4>,
    service: &'static str,
    endpoint: SocketAddr,
    domain: usize,
}

/// Measures two daemons under the load and prints a table.
pub fn run() {
    drop(start_log(tracing::Level::INFO, std::io::sink()));
    // The endpoint of the root service calls the daemon beside it, which starts later.
    let right_callers = Arc::new(OnceLock::new());
    let calls_to = right_callers.clone();
    let root_endpoint =
        ServerThread::start(move |address, stop| serve_root_endpoint(address, calls_to, stop))
            .wait_until_listening();
    let leaf_endpoint = ServerThread::start(serve_leaf_endpoint).wait_until_listening();
    let (left_link, right_link) = (free_address(), free_address());
    let endpoint = leaf_endpoint.address;
    let left = start_daemon(left_link, None, LEAF_SERVICE, endpoint);
    let endpoint = root_endpoint.address;
    let right = start_daemon(right_link, Some(left_link), ROOT_SERVICE, endpoint);
    right_callers
        .set(right.address)
        .expect("the address is set once");
    let idle = ServerThread::start(move |_, stop| serve_idle_daemons(left_link, stop));

    run_paced_load(left.address, DAY_LOAD, WARM_UP_DURATION);
    let cpu_time = || left.cpu_time() + right.cpu_time();
    let (before, start) = (cpu_time(), Instant::now());
    std::thread::sleep(REST_DURATION);
    let rest = (cpu_time() - before).as_secs_f64() / start.elapsed().as_secs_f64();
    let (before, start) = (cpu_time(), Instant::now());
    let requests = run_paced_load(left.address, DAY_LOAD, LOAD_DURATION);
    let seconds = start.elapsed().as_secs_f64();
    let busy = (cpu_time() - before).as_secs_f64();
    // Each call is handled by an entry and by an executor.
    let handlings = (requests * (1 + NESTED_CALLS) * 2).max(1) as f64;
    println!(
        "as on a day: {:.0} handlings/s a daemon, {:.0} us of processor time each; \
         at rest {:.2} ms a second for each daemon, without it {:.0} us a handling",
        handlings / seconds / 2.0,
        busy * 1e6 / handlings,
        rest * 1e3 / 2.0,
        (busy - rest * seconds) * 1e6 / handlings
    );
    for thread in [left, right, idle, root_endpoint, leaf_endpoint] {
        thread.close();
    }
}

fn start_daemon(
    link: SocketAddrV4,
    peer: Option<SocketAddrV4>,
    service: &'static str,
    endpoint: SocketAddr,
) -> ServerThread {
    ServerThread::start(move |callers, stop| async move {
        let member = DayMember {
            callers,
            link,
            peer,
            service,
            endpoint,
            domain: 0,
        };
        let _daemon = start_member(&member);
        // Dropping the sender stops the daemon too.
        drop(stop.await);
    })
}

async fn serve_idle_daemons(peer: SocketAddrV4, stop: oneshot::Receiver<()>) {
    let mut daemons = Vec::with_capacity(IDLE_DAEMONS);
    for index in 0..IDLE_DAEMONS {
        daemons.push(start_member(&DayMember {
            callers: free_address().into(),
            link: free_address(),
            peer: Some(peer),
            service: "idle",
            endpoint: free_address().into(),
            domain: index % FAILURE_DOMAINS,
        }));
    }
    drop(stop.await);
}

fn start_member(member: &DayMember) -> MeshDaemon {
    let settings = MeshSettings {
        failure_domain: format!("domain-{}", member.domain),
        ..super::settings(member.callers, member.link)
    };
    let decode = Box::new(|_: &[u8]| Ok(configuration()));
    let clock = Rc::new(DeadlineClock::start());
    let daemon = MeshDaemon::start(settings, plain_header_names(), decode, clock)
        .expect("failed to start the daemon");
    let state = daemon.state();
    state.apply_config(&Bytes::from_static(b"bench"), "bench");
    state.record_proof(1, time_since_boot());
    if let SocketAddr::V4(address) = member.endpoint {
        state.handle_announcement(EndpointAnnouncement {
            service: member.service.to_owned(),
            ..super::announcement(address)
        });
    }
    if let Some(peer) = member.peer {
        state.add_peer(peer);
    }
    daemon
}

async fn serve_leaf_endpoint(address: SocketAddr, stop: oneshot::Receiver<()>) {
    serve(address, stop, |request| async move {
        tokio::time::sleep(WORK_TIME).await;
        endpoint_response(request.headers())
    })
    .await;
}

/// Serves an endpoint that makes nested calls through the daemon at the address in `daemon`.
async fn serve_root_endpoint(
    address: SocketAddr,
    daemon: Arc<OnceLock<SocketAddr>>,
    stop: oneshot::Receiver<()>,
) {
    let pool = Rc::new(ConnectionPool::default());
    serve(address, stop, move |request| {
        let pool = pool.clone();
        let daemon = daemon.get().copied();
        async move {
            tokio::time::sleep(WORK_TIME).await;
            let daemon = daemon.expect("the daemon has started");
            for number in 0..NESTED_CALLS {
                let options = SendOptions {
                    deadline: Instant::now() + CALL_TIMEOUT,
                    max_answer_bytes: MAX_RESPONSE_BYTES,
                    new_connection: false,
                };
                let call = nested_call(request.headers(), number);
                let response = pool.send(daemon, call, options).await;
                let succeeded = response.is_ok_and(|response| response.status.is_success());
                assert!(succeeded, "a nested call failed");
            }
            endpoint_response(request.headers())
        }
    })
    .await;
}

fn nested_call(parent: &HeaderMap, number: u64) -> Request<Full<Bytes>> {
    let parent_id = parent.get("x-attempt").map(HeaderValue::as_bytes);
    let parent_id = String::from_utf8_lossy(parent_id.unwrap_or(b""));
    Request::builder()
        .uri("/leaf/get")
        .header("host", "leaf.example")
        .header("x-attempt", format!("{parent_id}.{number}"))
        .header("x-deadline", CALL_TIMEOUT.as_millis().to_string())
        .header("accept", "application/json")
        .body(Full::new(Bytes::new()))
        .expect("the request is valid")
}

fn configuration() -> MeshConfig {
    let rate = QuotaRule {
        rate: 1_000_000.0,
        burst: 1_000_000.0,
    };
    let organisation = OrganisationRule {
        name: "bench".to_owned(),
        keys: vec![API_KEY.to_owned()],
        rank: Some(0),
        quota: Some(rate),
    };
    MeshConfig {
        routes: vec![
            route(ROOT_SERVICE, "/deep/", false),
            route(LEAF_SERVICE, "/leaf/", true),
        ],
        organisations: vec![organisation],
        status_paths: HashMap::new(),
        ..super::configuration()
    }
}

fn route(service: &str, path_prefix: &str, allows_anonymous: bool) -> RouteRule {
    let weighted = WeightedService {
        service: service.into(),
        weight: 1.0,
    };
    RouteRule {
        name: service.to_owned(),
        host: format!("{service}.example"),
        path_prefix: path_prefix.to_owned(),
        idempotent: true,
        timeout: CALL_TIMEOUT,
        latency_target: CALL_TIMEOUT,
        rank: 0,
        services: [weighted].into_iter().collect(),
        max_attempts: 2,
        allows_anonymous,
    }
}
