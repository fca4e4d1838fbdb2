//! Accepts connections from callers, other daemons and the local endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tracing::info;
use tracing::warn;

use super::entry;
use super::entry::RequestOrigin;
use super::executor;
use super::headers;
use super::headers::ENVELOPE_HEADER;
use super::headers::PROOF_HEADER;
use super::headers::QUERY_HEADER;
use super::query;
use super::rate_limit;
use super::state::TrafficState;
use crate::daemon::shared::SharedState;
use crate::daemon::start::StartError;
use crate::observe::LogEvent;
use crate::transport::serve_connection;
use crate::transport::RequestBody;

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 128;
const ADMISSION_TICK: Duration = Duration::from_millis(20);

/// Listener that accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListenerKind {
    /// The traffic address, for callers and other daemons.
    Fleet,
    /// The local address, for the endpoint on this VM.
    Local,
}

/// Listeners and background tasks of the traffic threads.
#[derive(Debug)]
pub struct TrafficServer {
    stop: watch::Sender<bool>,
    listeners: Vec<JoinHandle<()>>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl TrafficServer {
    /// Binds the traffic address and the local address and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(shared: Arc<SharedState>) -> Result<Self, StartError> {
        let options = shared.options.clone();
        let state = Arc::new(TrafficState::from_shared(shared));
        let fleet = listen("traffic_address", options.traffic_address).await?;
        let local = listen("local_address", options.local_address).await?;
        let (stop, stopping) = watch::channel(false);
        let listeners = vec![
            tokio::spawn(accept(
                fleet,
                ListenerKind::Fleet,
                state.clone(),
                stopping.clone(),
            )),
            tokio::spawn(accept(local, ListenerKind::Local, state.clone(), stopping)),
        ];
        let settlement_state = state.clone();
        let background_tasks = vec![
            tokio::spawn(async move { rate_limit::keep_settling(&settlement_state).await }),
            tokio::spawn(async move { keep_ticking(&state).await }),
        ];
        Ok(Self {
            stop,
            listeners,
            background_tasks,
        })
    }

    /// Stops accepting connections and waits for the requests in flight, up to `timeout`.
    pub async fn close(self, timeout: Duration) {
        self.stop.send_replace(true);
        let finishing = async {
            for listener in self.listeners {
                // A listener task that panicked accepts no connection either.
                let _ = listener.await;
            }
            // Each connection holds a receiver until it is closed.
            self.stop.closed().await;
        };
        // The deadlines of requests that still run after `timeout` have passed.
        let _ = tokio::time::timeout(timeout, finishing).await;
        for task in self.background_tasks {
            task.abort();
        }
    }
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::from_address(key, address, &error))
}

async fn keep_ticking(state: &TrafficState) {
    let mut ticks = tokio::time::interval(ADMISSION_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        detect_suspension(&state.shared);
        state.admission.tick(state.shared.now());
    }
}

fn detect_suspension(shared: &SharedState) {
    if let Some(suspension) = shared.deadlines.detect_suspension() {
        let suspended_ms = suspension.as_millis() as u64;
        warn!(
            event = LogEvent::VmSuspended.number(),
            suspended_ms, "the VM was suspended"
        );
    }
}

async fn accept(
    listener: TcpListener,
    kind: ListenerKind,
    state: Arc<TrafficState>,
    mut stopping: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely out of file descriptors, which are freed as requests end.
            tokio::time::sleep(ADMISSION_TICK).await;
            continue;
        };
        tokio::spawn(serve_caller(stream, kind, state.clone(), stopping.clone()));
    }
}

async fn serve_caller(
    stream: TcpStream,
    kind: ListenerKind,
    state: Arc<TrafficState>,
    stopping: watch::Receiver<bool>,
) {
    // Nagle's algorithm would delay responses. If setting the option fails, the connection is
    // broken and fails on its first read.
    let _ = stream.set_nodelay(true);
    let head_timeout = state.shared.options.body_timeout;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let respond = |request| handle(request, kind, state.clone());
    if let Err(error) = serve_connection(stream, &builder, respond, stopping).await {
        info!(event = LogEvent::CallerBroken.number(), cause = %error, "connection from a caller failed");
    }
}

async fn handle(
    request: Request<RequestBody>,
    kind: ListenerKind,
    state: Arc<TrafficState>,
) -> Response<Full<Bytes>> {
    let headers = request.headers();
    match kind {
        ListenerKind::Local => entry::serve(state, RequestOrigin::Local, request).await,
        ListenerKind::Fleet if headers.contains_key(QUERY_HEADER) => {
            let call = headers::text(headers, &QUERY_HEADER).unwrap_or_default();
            let proof = headers::text(headers, &PROOF_HEADER).unwrap_or_default();
            query::answer(&state, call, proof.as_bytes())
        }
        ListenerKind::Fleet if headers.contains_key(ENVELOPE_HEADER) => {
            executor::serve(state, request).await
        }
        ListenerKind::Fleet => entry::serve(state, RequestOrigin::Caller, request).await,
    }
}
