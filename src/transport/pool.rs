//! HTTP/1.1 connection pool that drops connections which may be dead.
//!
//! A timeout retires its connection and every connection to the same address that was opened before
//! it: if a network device lost the state of one connection, it may have lost that of all.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::status::is_final_status;
use crate::codes::ResultCode;

/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum time that a connection may be idle before it is no longer reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Limits and connection choice of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Time at which the exchange is aborted.
    pub deadline: Instant,
    /// Largest accepted response body, in bytes.
    pub max_answer_bytes: usize,
    /// Opens a new connection even if an idle one exists.
    pub new_connection: bool,
}

/// Reason why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("no connection to {0}")]
    NotSent(SocketAddr),
    /// The connection was lost; the request may have arrived.
    #[error("the connection to {0} was lost after the request was sent")]
    ConnectionLost(SocketAddr),
    /// The deadline passed; the request may have arrived and the connection is retired.
    #[error("no complete response from {0} before the deadline")]
    TimedOut(SocketAddr),
    /// The response body exceeds the limit.
    #[error("the response of {0} is larger than the limit")]
    ResponseTooLarge(SocketAddr),
    /// No final response has the status of the response; the request may have run.
    #[error("the response of {0} has an invalid status")]
    InvalidStatus(SocketAddr),
    /// The connection was lost in the middle of the response.
    #[error("the response of {0} is incomplete")]
    ResponseTruncated(SocketAddr),
}

impl SendError {
    /// Returns the result code that the caller gets when an attempt fails with this error.
    pub fn code(self) -> ResultCode {
        match self {
            Self::NotSent(_) => ResultCode::NoEndpoint,
            Self::ConnectionLost(_) => ResultCode::ConnectionLost,
            Self::TimedOut(_) => ResultCode::DeadlinePassed,
            Self::ResponseTooLarge(_) => ResultCode::AnswerTooLarge,
            Self::InvalidStatus(_) => ResultCode::AnswerInvalid,
            Self::ResponseTruncated(_) => ResultCode::AnswerCut,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    generation: u64,
    since: Instant,
}

#[derive(Debug, Default)]
struct AddressPool {
    /// Incremented when the open connections are retired; older ones are not pooled again.
    generation: u64,
    idle: Vec<IdleConnection>,
}

/// Pool of idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    pools: Mutex<HashMap<SocketAddr, AddressPool>>,
}

impl ConnectionPool {
    /// Sends a request and reads the complete response.
    ///
    /// Dropping the future closes the connection, which cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<BufferedResponse, SendError> {
        let deadline = tokio::time::Instant::from_std(options.deadline);
        let (mut sender, generation) = self.connection(address, &options).await?;
        let sent = timeout_at(deadline, sender.try_send_request(request)).await;
        let response = match sent {
            Err(_) => return Err(self.retire_timed_out(address)),
            Ok(Err(mut error)) => {
                return Err(send_failure(address, error.take_message().is_some()))
            }
            Ok(Ok(response)) => response,
        };
        if !is_final_status(response.status()) {
            return Err(SendError::InvalidStatus(address));
        }
        let reading = read_response(address, response, options.max_answer_bytes);
        let Ok(response) = timeout_at(deadline, reading).await else {
            return Err(self.retire_timed_out(address));
        };
        let response = response?;
        self.release(address, sender, generation);
        Ok(response)
    }

    /// Retires all connections to an address that are open now.
    pub fn retire(&self, address: SocketAddr) {
        let mut pools = self.lock();
        let pool = pools.entry(address).or_default();
        pool.generation += 1;
        pool.idle.clear();
    }

    async fn connection(
        &self,
        address: SocketAddr,
        options: &SendOptions,
    ) -> Result<(Sender, u64), SendError> {
        while let Some(idle) = self.take_idle(address, options.new_connection) {
            let mut sender = idle.sender;
            if sender.ready().await.is_ok() {
                return Ok((sender, idle.generation));
            }
        }
        let generation = self.lock().entry(address).or_default().generation;
        let sender = open(address, options.deadline).await?;
        Ok((sender, generation))
    }

    fn take_idle(&self, address: SocketAddr, new_connection: bool) -> Option<IdleConnection> {
        if new_connection {
            return None;
        }
        let mut pools = self.lock();
        let idle = pools.get_mut(&address)?.idle.pop()?;
        (idle.since.elapsed() < MAX_IDLE_AGE).then_some(idle)
    }

    fn release(&self, address: SocketAddr, sender: Sender, generation: u64) {
        let mut pools = self.lock();
        let pool = pools.entry(address).or_default();
        if pool.generation != generation
            || pool.idle.len() >= MAX_IDLE_CONNECTIONS
            || sender.is_closed()
        {
            return;
        }
        pool.idle.push(IdleConnection {
            sender,
            generation,
            since: Instant::now(),
        });
    }

    fn retire_timed_out(&self, address: SocketAddr) -> SendError {
        self.retire(address);
        SendError::TimedOut(address)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
        self.pools
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr, deadline: Instant) -> Result<Sender, SendError> {
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Errors of the connection are reported by the exchange that uses it.
            let _ = connection.await;
        });
        Some(sender)
    };
    timeout_at(tokio::time::Instant::from_std(connect_deadline), opening)
        .await
        .ok()
        .flatten()
        .ok_or(SendError::NotSent(address))
}

async fn read_response(
    address: SocketAddr,
    response: Response<hyper::body::Incoming>,
    max_bytes: usize,
) -> Result<BufferedResponse, SendError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                SendError::ResponseTooLarge(address)
            } else {
                SendError::ResponseTruncated(address)
            }
        })?
        .to_bytes();
    Ok(BufferedResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn send_failure(address: SocketAddr, unsent: bool) -> SendError {
    if unsent {
        SendError::NotSent(address)
    } else {
        SendError::ConnectionLost(address)
    }
}
