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

/// Keeps `in_flight` requests open for `duration` and returns the number of successful ones.
pub fn run_load(address: SocketAddr, in_flight: usize, duration: Duration) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    runtime.block_on(async {
        let end = Instant::now() + duration;
        let callers: Vec<_> = (0..in_flight)
            .map(|_| tokio::spawn(send_until(address, end)))
            .collect();
        let mut success_count = 0;
        for caller in callers {
            success_count += caller.await.expect("a caller panicked");
        }
        success_count
    })
}

/// Sends requests one after another until `end` and returns the number of successful ones.
async fn send_until(address: SocketAddr, end: Instant) -> u64 {
    let stream = connect(address).await;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("the HTTP handshake failed");
    tokio::spawn(connection);
    let mut success_count = 0;
    while Instant::now() < end {
        sender.ready().await.expect("the connection was closed");
        let response = sender
            .send_request(build_request())
            .await
            .expect("failed to read the response");
        let is_success = response.status().is_success();
        let body = response.into_body().collect().await;
        if is_success && body.is_ok() {
            success_count += 1;
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
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

fn build_request() -> Request<Empty<Bytes>> {
    let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    Request::builder()
        .uri("/deep/get")
        .header("host", "deep.example")
        .header("x-attempt", format!("{attempt:016x}"))
        .header("x-deadline", "5000")
        .header("accept", "application/json")
        .body(Empty::new())
        .expect("the request is valid")
}
