//! Stand-in for an upstream endpoint that records every request it receives.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const DOWNSTREAM_TIMEOUT: Duration = Duration::from_secs(20);

/// A nested call that the endpoint makes for each request.
#[derive(Debug, Clone)]
pub struct DownstreamCall {
    pub method: String,
    pub path: String,
}

/// Behaviour of the endpoint; it can be changed while the endpoint runs.
#[derive(Debug, Clone)]
pub struct EndpointBehaviour {
    pub service: String,
    /// Announced number of requests that it runs concurrently; not enforced.
    pub slots: u32,
    pub service_time: Duration,
    pub draining: bool,
    /// Refuses every request without running it.
    pub shed: bool,
    /// Accepts requests and never answers them.
    pub unresponsive: bool,
    /// Calls made in sequence through the daemon on the same VM.
    pub downstream: Vec<DownstreamCall>,
}

impl EndpointBehaviour {
    /// Behaviour of an endpoint of `service` that answers immediately.
    pub fn from_service(service: &str) -> Self {
        Self {
            service: service.to_string(),
            slots: 16,
            service_time: Duration::ZERO,
            draining: false,
            shed: false,
            unresponsive: false,
            downstream: Vec::new(),
        }
    }
}

/// A request as the endpoint received it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// True if the endpoint finished the request.
    pub finished: bool,
    /// True if the connection was closed before the request finished.
    pub cancelled: bool,
}

#[derive(Debug)]
struct EndpointState {
    behaviour: Mutex<EndpointBehaviour>,
    records: Mutex<Vec<RequestRecord>>,
    local_daemon: Option<SocketAddr>,
    sheds: AtomicUsize,
}

impl EndpointState {
    fn behaviour(&self) -> MutexGuard<'_, EndpointBehaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn records(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.records
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Addresses at which the endpoint's daemon accepts nested calls and announcements.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    pub local: SocketAddr,
    pub control: SocketAddr,
}

/// A running stand-in for an endpoint.
#[derive(Debug)]
pub struct StandinEndpoint {
    address: SocketAddr,
    state: Arc<EndpointState>,
    tasks: Vec<JoinHandle<()>>,
}

impl StandinEndpoint {
    /// Starts an endpoint on a free loopback port; it announces itself to its daemon, if any.
    pub async fn start(behaviour: EndpointBehaviour, daemon: Option<DaemonAddresses>) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), behaviour, daemon).await
    }

    /// Starts an endpoint on an address; it announces itself to its daemon, if any.
    pub async fn start_at(
        address: SocketAddr,
        behaviour: EndpointBehaviour,
        daemon: Option<DaemonAddresses>,
    ) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("failed to bind the address of the endpoint");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(EndpointState {
            behaviour: Mutex::new(behaviour),
            records: Mutex::new(Vec::new()),
            local_daemon: daemon.map(|addresses| addresses.local),
            sheds: AtomicUsize::new(0),
        });
        let mut tasks = vec![tokio::spawn(accept(listener, state.clone()))];
        if let Some(addresses) = daemon {
            tasks.push(tokio::spawn(announce(
                addresses.control,
                address,
                state.clone(),
            )));
        }
        Self {
            address,
            state,
            tasks,
        }
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour for the next requests.
    pub fn change(&self, change: impl FnOnce(&mut EndpointBehaviour)) {
        change(&mut self.state.behaviour());
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> EndpointBehaviour {
        self.state.behaviour().clone()
    }

    /// Returns all requests received, in order, without those that were shed.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.state.records().clone()
    }

    /// Returns the number of requests refused without running them.
    pub fn sheds(&self) -> usize {
        self.state.sheds.load(Ordering::SeqCst)
    }

    /// Stops accepting connections and sending announcements.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<EndpointState>) {
    while let Ok((stream, _)) = listener.accept().await {
        // Without Nagle's algorithm, small responses are sent without delay.
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle_request(request, state.clone()));
            // A lost connection is visible in the record of its request.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Marks a record as cancelled on drop unless its request finished.
struct RunGuard {
    state: Arc<EndpointState>,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut records = self.state.records();
        let record = &mut records[self.index];
        record.cancelled = !record.finished;
    }
}

async fn handle_request(
    request: Request<Incoming>,
    state: Arc<EndpointState>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let behaviour = state.behaviour().clone();
    if behaviour.shed {
        state.sheds.fetch_add(1, Ordering::SeqCst);
        return Ok(shed_answer());
    }
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|body| body.to_bytes().to_vec())
        .unwrap_or_default();
    let headers: BTreeMap<String, String> = head
        .headers
        .iter()
        .map(|(name, value)| {
            let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), text)
        })
        .collect();
    let target = head.uri.to_string();
    let context = headers.get("x-marigoldhatch-context").cloned();
    let guard = start_record(&state, head.method.as_str(), &target, headers, &body);
    if !behaviour.service_time.is_zero() {
        tokio::time::sleep(behaviour.service_time).await;
    }
    if behaviour.unresponsive {
        std::future::pending::<()>().await;
    }
    for call in &behaviour.downstream {
        let status = call_downstream(&state, call, context.as_deref()).await;
        if !status.is_success() {
            state.records()[guard.index].finished = true;
            return Ok(answer(
                StatusCode::BAD_GATEWAY,
                format!("nested call failed: {status}"),
            ));
        }
    }
    state.records()[guard.index].finished = true;
    let text = format!(
        "{} ran {} {}",
        behaviour.service,
        target,
        String::from_utf8_lossy(&body)
    );
    Ok(answer(StatusCode::OK, text))
}

fn start_record(
    state: &Arc<EndpointState>,
    method: &str,
    target: &str,
    headers: BTreeMap<String, String>,
    body: &[u8],
) -> RunGuard {
    let mut records = state.records();
    records.push(RequestRecord {
        at: Instant::now(),
        method: method.to_string(),
        target: target.to_string(),
        headers,
        body: body.to_vec(),
        finished: false,
        cancelled: false,
    });
    RunGuard {
        state: state.clone(),
        index: records.len() - 1,
    }
}

fn shed_answer() -> Response<Full<Bytes>> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "shed".to_string());
    response
        .headers_mut()
        .insert("x-shed", hyper::header::HeaderValue::from_static("not-run"));
    response
}

fn answer(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

async fn call_downstream(
    state: &EndpointState,
    call: &DownstreamCall,
    context: Option<&str>,
) -> StatusCode {
    let Some(daemon) = state.local_daemon else {
        return StatusCode::BAD_GATEWAY;
    };
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header("host", daemon.to_string());
    if let Some(context) = context {
        request = request.header("x-marigoldhatch-context", context);
    }
    let request = request
        .body(Full::new(Bytes::new()))
        .expect("the nested call is a valid request");
    send(daemon, request)
        .await
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<StatusCode> {
    let sending = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let driving = tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        driving.abort();
        Some(status)
    };
    tokio::time::timeout(DOWNSTREAM_TIMEOUT, sending)
        .await
        .ok()?
}

async fn announce(control: SocketAddr, address: SocketAddr, state: Arc<EndpointState>) {
    loop {
        let behaviour = state.behaviour().clone();
        let body = serde_json::json!({
            "service": behaviour.service,
            "address": address.to_string(),
            "slots": behaviour.slots,
            "draining": behaviour.draining,
        });
        let request = Request::builder()
            .method("PUT")
            .uri("/announcement")
            .header("host", control.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the announcement is a valid request");
        // A daemon that is not running yet receives a later announcement.
        let _ = send(control, request).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
