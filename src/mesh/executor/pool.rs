//! Connection pool of the endpoint; each connection carries one call at a time.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::HeaderMap;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio::time::Instant;

use super::super::link::configure_stream;
use super::limited_stream::LimitedStream;
use super::limited_stream::ReadAllowance;

/// Timeout of a connection attempt. An endpoint on the same VM that doesn't accept in this time is
/// not running.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a connection accepts the next call after a complete exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum size of a connection's read buffer, and so of a response's headers.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes up to the end of a response's headers, with interim responses and the part of
/// the body that is read with them.
pub const MAX_HEAD_READ_BYTES: usize = 2 * MAX_BUFFER_BYTES;
/// Idle time after which a connection is not reused, if the endpoint sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the endpoint's `Keep-Alive` timeout for which an idle connection is reused. The
/// endpoint's timeout starts at a different moment than the one measured here.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Connection to the endpoint. Dropping it closes the connection, which cancels a running call.
#[derive(Debug)]
pub struct EndpointConnection {
    pub sender: SendRequest<Full<Bytes>>,
    /// True if the connection has carried a call before.
    pub reused: bool,
    /// Bytes that may still be read.
    pub allowance: ReadAllowance,
    driver: AbortHandle,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections to one incarnation of the endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<EndpointConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection, which is the least likely to have been closed.
    ///
    /// A connection on which the body of an earlier call is still being sent is closed: the endpoint has
    /// rejected that call, and the next one would wait behind the rest of it.
    pub async fn take(&self) -> Option<EndpointConnection> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            let unexpired = connection.idle_since.elapsed() < connection.idle_timeout;
            if !unexpired || connection.sender.is_closed() {
                continue;
            }
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool after a complete response, unless the endpoint closes it.
    pub fn put_back(&self, mut connection: EndpointConnection, headers: &HeaderMap) {
        let closes = headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        connection.reused = true;
        connection.idle_since = now;
        if let Some(limit) = keep_alive_timeout(headers) {
            connection.idle_timeout = limit.mul_f64(IDLE_TIMEOUT_FRACTION);
        }
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now.duration_since(idle.idle_since) < idle.idle_timeout);
        idle.push(connection);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Returns the timeout of a `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Opens a connection to the endpoint.
///
/// # Errors
///
/// Returns an error if the connection or its HTTP handshake fails or times out.
pub async fn connect(address: SocketAddrV4) -> std::io::Result<EndpointConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    configure_stream(&stream)?;
    let allowance = ReadAllowance::from_bytes(MAX_HEAD_READ_BYTES);
    let limited = LimitedStream::from_stream(stream, allowance.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(limited))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The call on the connection gets the same error, so this one is ignored.
        drop(driver.await);
    });
    Ok(EndpointConnection {
        sender,
        reused: false,
        allowance,
        driver: task.abort_handle(),
        idle_since: Instant::now(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}
