//! Deadlines of requests that are open while the VM is suspended.
//!
//! The clock of deadlines is moved on by the length of a suspension, while the steady clock and the
//! timers of the runtime are not, as after a suspension.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch::clock::time_since_boot;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::mesh::fleet::CallerLimits;
use marigoldhatch::mesh::fleet::MeshConfig;
use marigoldhatch::mesh::fleet::RouteRule;
use marigoldhatch::mesh::fleet::WeightedService;
use marigoldhatch::mesh::MeshDaemon;
use marigoldhatch_standins::mesh::loopback_settings;
use marigoldhatch_standins::mesh::plain_header_names;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::LocalSet;

const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after its route's time-out within which a request must have its response.
const RESPONSE_LIMIT: Duration = Duration::from_millis(500);

/// Length of the suspensions so far, in milliseconds.
#[derive(Debug, Clone, Default)]
struct SuspendedVm {
    suspended_ms: Arc<AtomicU64>,
}

impl SuspendedVm {
    fn suspend(&self, length: Duration) {
        let added = length.as_millis() as u64;
        self.suspended_ms.fetch_add(added, Ordering::Relaxed);
    }

    fn clock(&self) -> Rc<DeadlineClock> {
        let suspended_ms = self.suspended_ms.clone();
        Rc::new(DeadlineClock::from_reader(Box::new(move || {
            time_since_boot() + Duration::from_millis(suspended_ms.load(Ordering::Relaxed))
        })))
    }
}

/// Heads of the requests that an endpoint has received.
type ReceivedHeads = Rc<RefCell<Vec<String>>>;

/// Starts an endpoint that receives requests and never responds.
async fn start_silent_endpoint() -> (SocketAddrV4, ReceivedHeads) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let SocketAddr::V4(address) = listener.local_addr().expect("local address") else {
        panic!("the listener has an IPv4 address");
    };
    let heads = ReceivedHeads::default();
    let received = heads.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = received.clone();
            spawn_local(async move {
                let mut buffer = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    received.borrow_mut().push(text);
                }
            });
        }
    });
    (address, heads)
}

fn configuration() -> MeshConfig {
    MeshConfig {
        warnings: Vec::new(),
        version: 1,
        routes: vec![RouteRule {
            name: "file".to_owned(),
            host: "h.example".to_owned(),
            path_prefix: "/file/".to_owned(),
            idempotent: false,
            timeout: ROUTE_TIMEOUT,
            latency_target: ROUTE_TIMEOUT,
            rank: 1,
            services: std::iter::once(WeightedService {
                service: Rc::from("archive"),
                weight: 1.0,
            })
            .collect(),
            max_attempts: 1,
            allows_anonymous: false,
        }],
        organisations: Vec::new(),
        status_paths: HashMap::new(),
        cold_limits: HashMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1024,
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Returns an address of this process for a daemon's listener. Outgoing connections start from
/// 127.0.0.1, so none can take it.
fn daemon_address(port: u16) -> SocketAddrV4 {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 231, high, low), port)
}

/// Starts a daemon beside the endpoint at `endpoint`; returns it with its address for callers.
fn start_daemon(vm: &SuspendedVm, endpoint: SocketAddrV4, port: u16) -> (MeshDaemon, SocketAddrV4) {
    let callers = daemon_address(port);
    let settings = loopback_settings("archive", callers, daemon_address(port + 1));
    let decode = Box::new(|_: &[u8]| Ok(configuration()));
    let daemon = MeshDaemon::start(settings, plain_header_names(), decode, vm.clock());
    let daemon = daemon.expect("start the daemon");
    daemon.state().apply_config(&"1".into(), "test");
    daemon.state().handle_announcement(EndpointAnnouncement {
        id: "archive-1".to_owned(),
        service: "archive".to_owned(),
        address: endpoint,
        slots: 8,
        state: EndpointState::Ready,
        sequence: 1,
        born_ms: 1,
        cold: Duration::ZERO,
    });
    (daemon, callers)
}

/// Sends a request and returns the status line of its response.
async fn send_request(address: SocketAddrV4) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let request = "GET /file/1 HTTP/1.1\r\nHost: h.example\r\nx-attempt: one\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut response = [0; 1024];
    let length = stream.read(&mut response).await.expect("read the response");
    let text = String::from_utf8_lossy(&response[..length]);
    text.lines().next().unwrap_or("").to_owned()
}

async fn wait_until(holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(10), "timed out");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against the fault of issue 23, by which requests were held past their route's time-out for as
/// long as the VM had been suspended (CONFIG).
#[tokio::test]
async fn request_is_answered_at_its_time_out_although_the_vm_was_suspended() {
    LocalSet::new()
        .run_until(async {
            let vm = SuspendedVm::default();
            let (endpoint, heads) = start_silent_endpoint().await;
            let (_daemon, callers) = start_daemon(&vm, endpoint, 8001);
            let sent = spawn_local(send_request(callers));
            wait_until(|| !heads.borrow().is_empty()).await;
            vm.suspend(ROUTE_TIMEOUT);
            let resumed = Instant::now();
            let status = sent.await.expect("the caller's task");
            let held = resumed.elapsed();
            assert!(held < RESPONSE_LIMIT, "held on for {held:?}");
            assert!(status.starts_with("HTTP/1.1 50"), "{status}");
        })
        .await;
}

/// Guards against an endpoint that is told of more time than the caller of a queued request still has.
#[tokio::test]
async fn endpoint_gets_the_time_that_is_left_after_a_suspension() {
    LocalSet::new()
        .run_until(async {
            let vm = SuspendedVm::default();
            let (endpoint, heads) = start_silent_endpoint().await;
            let (daemon, callers) = start_daemon(&vm, endpoint, 8011);
            let limit = daemon.state().executor.limit() as usize;
            let running: Vec<_> = (0..limit)
                .map(|_| spawn_local(send_request(callers)))
                .collect();
            wait_until(|| heads.borrow().len() == limit).await;
            spawn_local(send_request(callers));
            wait_until(|| daemon.state().executor.in_hand() as usize > limit).await;
            vm.suspend(Duration::from_millis(400));
            // A caller that leaves frees a slot for the queued request.
            running[0].abort();
            wait_until(|| heads.borrow().len() > limit).await;
            let heads = heads.borrow();
            let line = heads[limit]
                .lines()
                .find_map(|line| line.strip_prefix("x-deadline: "));
            let left: u64 = line.and_then(|text| text.parse().ok()).expect("a deadline");
            let longest = ROUTE_TIMEOUT - Duration::from_millis(400);
            assert!(u128::from(left) <= longest.as_millis(), "{left} ms left");
        })
        .await;
}
