//! Pooled connections that are retired when they may have gone silent.
//!
//! A time-out retires the connection that it happened on together with every idle connection to the
//! same address that was opened before, since whatever lost track of one may have lost track of all.

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

use crate::codes::ResultCode;

/// Idle connections kept for each address.
const MAX_IDLE: usize = 64;
/// An idle connection older than this is not used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer that arrived whole.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Bounds on one exchange.
#[derive(Debug, Clone, Copy)]
pub struct SendPlan {
    /// When to give up.
    pub deadline: Instant,
    pub max_answer_bytes: usize,
    /// Open a new connection even if an idle one is there.
    pub fresh: bool,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[error("no connection to {0}")]
    NotSent(SocketAddr),
    /// The request may have arrived.
    #[error("the connection to {0} was lost after the request was sent")]
    Lost(SocketAddr),
    /// The request may have arrived; the connection is not used again.
    #[error("no answer from {0} in time")]
    TimedOut(SocketAddr),
    /// The request was answered with more than the bound.
    #[error("the answer of {0} is larger than the bound")]
    TooLarge(SocketAddr),
    /// The request was answered and the answer broke off.
    #[error("the answer of {0} broke off")]
    Cut(SocketAddr),
}

impl SendError {
    /// The code that a lost try leaves its caller with.
    pub fn code(self) -> ResultCode {
        match self {
            Self::NotSent(_) => ResultCode::NoEndpoint,
            Self::Lost(_) => ResultCode::ConnectionLost,
            Self::TimedOut(_) => ResultCode::DeadlinePassed,
            Self::TooLarge(_) => ResultCode::AnswerTooLarge,
            Self::Cut(_) => ResultCode::AnswerCut,
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
struct AddressLine {
    generation: u64,
    idle: Vec<IdleConnection>,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    lines: Mutex<HashMap<SocketAddr, AddressLine>>,
}

impl ConnectionPool {
    /// Sends a request and collects the whole answer.
    ///
    /// Dropping the future closes the connection, by which the other side learns of the
    /// cancellation.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        plan: SendPlan,
    ) -> Result<WholeAnswer, SendError> {
        let deadline = tokio::time::Instant::from_std(plan.deadline);
        let (mut sender, generation) = self.connection(address, &plan).await?;
        let sending = timeout_at(deadline, sender.try_send_request(request)).await;
        let response = match sending {
            Err(_) => return Err(self.timed_out(address)),
            Ok(Err(mut error)) => return Err(lost(address, error.take_message().is_some())),
            Ok(Ok(response)) => response,
        };
        let collecting = collect(address, response, plan.max_answer_bytes);
        let Ok(answer) = timeout_at(deadline, collecting).await else {
            return Err(self.timed_out(address));
        };
        let answer = answer?;
        self.keep(address, sender, generation);
        Ok(answer)
    }

    /// Retires every connection to an address that is open now.
    pub fn retire(&self, address: SocketAddr) {
        let mut lines = self.lock();
        let line = lines.entry(address).or_default();
        line.generation += 1;
        line.idle.clear();
    }

    async fn connection(
        &self,
        address: SocketAddr,
        plan: &SendPlan,
    ) -> Result<(Sender, u64), SendError> {
        while let Some(idle) = self.take_idle(address, plan.fresh) {
            let mut sender = idle.sender;
            if sender.ready().await.is_ok() {
                return Ok((sender, idle.generation));
            }
        }
        let generation = self.lock().entry(address).or_default().generation;
        let sender = open(address, plan.deadline).await?;
        Ok((sender, generation))
    }

    fn take_idle(&self, address: SocketAddr, fresh: bool) -> Option<IdleConnection> {
        if fresh {
            return None;
        }
        let mut lines = self.lock();
        let idle = lines.get_mut(&address)?.idle.pop()?;
        (idle.since.elapsed() < MAX_IDLE_AGE).then_some(idle)
    }

    fn keep(&self, address: SocketAddr, sender: Sender, generation: u64) {
        let mut lines = self.lock();
        let line = lines.entry(address).or_default();
        if line.generation != generation || line.idle.len() >= MAX_IDLE || sender.is_closed() {
            return;
        }
        line.idle.push(IdleConnection {
            sender,
            generation,
            since: Instant::now(),
        });
    }

    fn timed_out(&self, address: SocketAddr) -> SendError {
        self.retire(address);
        SendError::TimedOut(address)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, AddressLine>> {
        self.lines
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr, deadline: Instant) -> Result<Sender, SendError> {
    let give_up = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The exchange itself reports what becomes of it.
            let _ = connection.await;
        });
        Some(sender)
    };
    timeout_at(tokio::time::Instant::from_std(give_up), opening)
        .await
        .ok()
        .flatten()
        .ok_or(SendError::NotSent(address))
}

async fn collect(
    address: SocketAddr,
    response: Response<hyper::body::Incoming>,
    max_bytes: usize,
) -> Result<WholeAnswer, SendError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                SendError::TooLarge(address)
            } else {
                SendError::Cut(address)
            }
        })?
        .to_bytes();
    Ok(WholeAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn lost(address: SocketAddr, unsent: bool) -> SendError {
    if unsent {
        SendError::NotSent(address)
    } else {
        SendError::Lost(address)
    }
}
