//! Generates load from callers that each have one request in flight.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);
/// Delay after a failed connection or an unsuccessful response, as from a daemon that is starting.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What the callers of a load do.
#[derive(Debug, Clone, Copy)]
pub struct LoadShape {
    /// Number of callers, each with one request at a time.
    pub in_flight: usize,
    /// Time between a response and the caller's next request.
    pub pause: Duration,
    /// Number of requests after which a caller opens a new connection.
    pub requests_per_connection: u64,
    /// API key that the requests carry.
    pub api_key: Option<&'static str>,
}

/// Keeps `in_flight` requests open for `duration` and returns the number of successful ones.
pub fn run_load(address: SocketAddr, in_flight: usize, duration: Duration) -> u64 {
    let shape = LoadShape {
        in_flight,
        pause: Duration::ZERO,
        requests_per_connection: u64::MAX,
        api_key: None,
    };
    run_paced_load(address, shape, duration)
}

/// Sends requests for `duration` and returns the number of successful ones.
pub fn run_paced_load(address: SocketAddr, shape: LoadShape, duration: Duration) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    runtime.block_on(async {
        let end = Instant::now() + duration;
        let callers: Vec<_> = (0..shape.in_flight)
            .map(|_| tokio::spawn(send_until(address, shape, end)))
            .collect();
        let mut success_count = 0;
        for caller in callers {
            success_count += caller.await.expect("a caller panicked");
        }
        success_count
    })
}

/// Sends requests one after another until `end` and returns the number of successful ones.
async fn send_until(address: SocketAddr, shape: LoadShape, end: Instant) -> u64 {
    let mut success_count = 0;
    while Instant::now() < end {
        let stream = connect(address).await;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("the HTTP handshake failed");
        tokio::spawn(connection);
        let mut sent = 0;
        while sent < shape.requests_per_connection && Instant::now() < end {
            sent += 1;
            sender.ready().await.expect("the connection was closed");
            let response = sender
                .send_request(build_request(shape.api_key))
                .await
                .expect("failed to read the response");
            let is_success = response.status().is_success();
            let body = response.into_body().collect().await;
            if is_success && body.is_ok() {
                success_count += 1;
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            if !shape.pause.is_zero() {
                tokio::time::sleep(shape.pause).await;
            }
        }
    }
    success_count
}

/// Connects to a server, retrying until it accepts.
async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => {
                stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
                return stream;
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn build_request(api_key: Option<&str>) -> Request<Empty<Bytes>> {
    let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    let mut request = Request::builder();
    if let Some(key) = api_key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    request
        .uri("/deep/get")
        .header("host", "deep.example")
        .header("x-attempt", format!("{attempt:016x}"))
        .header("x-deadline", "5000")
        .header("accept", "application/json")
        .body(Empty::new())
        .expect("the request is valid")
}
