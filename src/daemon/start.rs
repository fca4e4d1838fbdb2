//! Starts and stops a daemon.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tracing::info;
use uuid::Uuid;

use super::control::run_control;
use super::control::ControlInputs;
use super::options::DaemonOptions;
use super::shared::AckRounds;
use super::shared::SharedState;
use super::shared::TokenRefill;
use super::traffic::TrafficServer;
use super::view::FleetView;
use crate::clock::DeadlineClock;
use crate::clock::ProcessClock;
use crate::decisions::ownership::AckBounds;
use crate::observe::DaemonMetrics;
use crate::observe::LogEvent;
use crate::upstream::LogClient;
use crate::upstream::LogError;

/// Maximum number of token refills that wait for the control thread.
const MAX_TOKEN_REFILLS: usize = 4_096;
/// Maximum number of ping requests that wait for the control thread; further ones would be repeats.
const MAX_PING_REQUESTS: usize = 64;
/// Time for a drain to become known in the fleet before connections are closed.
const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum time that a stopping daemon waits for others to take over its ownership.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum time that a stopping daemon waits for requests in flight.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// Error at the start of a daemon.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address of the settings is in use or not an address of this VM.
    #[error("can't listen on {key} {address}: {cause}")]
    #[diagnostic(help("choose a free port on an address of this VM"))]
    Address {
        key: &'static str,
        address: SocketAddr,
        cause: String,
    },
    /// The URL of the log is invalid.
    #[error("{cause}")]
    Log { cause: String },
    /// The operating system could not start a thread.
    #[error("can't start a thread: {cause}")]
    Thread { cause: String },
}

impl StartError {
    /// Creates the error for an address of the settings that can't be bound.
    pub fn from_address(
        key: &'static str,
        address: SocketAddr,
        cause: &dyn std::error::Error,
    ) -> Self {
        Self::Address {
            key,
            address,
            cause: cause.to_string(),
        }
    }

    fn from_log(error: &LogError) -> Self {
        Self::Log {
            cause: error.to_string(),
        }
    }

    fn from_thread(error: &std::io::Error) -> Self {
        Self::Thread {
            cause: error.to_string(),
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<SharedState>,
    traffic: Runtime,
    server: TrafficServer,
    control: JoinHandle<()>,
    stop: oneshot::Sender<()>,
    drain: oneshot::Sender<()>,
}

impl Daemon {
    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound, the URL of the log is invalid or a thread
    /// can't be started. An unavailable log or unavailable peers don't prevent the start.
    pub fn start(options: DaemonOptions) -> Result<Self, StartError> {
        let log =
            LogClient::from_url(&options.log_url).map_err(|error| StartError::from_log(&error))?;
        let (token_refills, refill_receiver) = mpsc::channel(MAX_TOKEN_REFILLS);
        let (ping_requests, ping_receiver) = mpsc::channel(MAX_PING_REQUESTS);
        let shared = Arc::new(shared_state(options, token_refills, ping_requests));
        let (ready, ready_outcome) = oneshot::channel();
        let (stop, stop_signal) = oneshot::channel();
        let (drain, drain_signal) = oneshot::channel();
        let inputs = ControlInputs {
            shared: shared.clone(),
            log,
            token_refills: refill_receiver,
            ping_requests: ping_receiver,
            ready,
            stop: stop_signal,
            drain: drain_signal,
        };
        let control = start_control(inputs)?;
        let started = ready_outcome.blocking_recv();
        started.map_err(|_| StartError::Thread {
            cause: "the control thread ended during the start".to_string(),
        })??;
        let traffic = traffic_runtime(shared.options.traffic_threads)?;
        let server = traffic.block_on(TrafficServer::start(shared.clone()))?;
        info!(event = LogEvent::DaemonStarted.number(), vm = %shared.options.vm,
            incarnation = %shared.incarnation, traffic = %shared.options.traffic_address,
            "daemon started");
        Ok(Self {
            shared,
            traffic,
            server,
            control,
            stop,
            drain,
        })
    }

    /// Stops gracefully: announces the drain, refuses new requests and completes those in flight.
    pub fn close(self) {
        info!(event = LogEvent::DaemonStopping.number(), "daemon stopping");
        // Errors are ignored: the control thread ends early only if it panicked.
        let _ = self.drain.send(());
        self.traffic.block_on(wait_for_handover(&self.shared));
        self.shared.stopping.store(true, Ordering::SeqCst);
        let finishing = self.server.close(FINISH_TIMEOUT);
        self.traffic.block_on(finishing);
        self.traffic.shutdown_timeout(Duration::from_secs(1));
        let _ = self.stop.send(());
        let _ = self.control.join();
        info!(event = LogEvent::DaemonStopped.number(), "daemon stopped");
    }
}

fn shared_state(
    options: DaemonOptions,
    token_refills: mpsc::Sender<TokenRefill>,
    ping_requests: mpsc::Sender<Uuid>,
) -> SharedState {
    SharedState {
        options,
        incarnation: Uuid::now_v7(),
        clock: ProcessClock::start(),
        deadlines: DeadlineClock::start(),
        peer_address_bound_ms: OnceLock::new(),
        view: ArcSwap::from_pointee(FleetView::default()),
        ack_bounds: ArcSwap::from_pointee(AckBounds::default()),
        ack_rounds: watch::channel(AckRounds::default()).0,
        endpoint: Mutex::new(None),
        stopping: AtomicBool::new(false),
        token_refills,
        ping_requests,
        metrics: DaemonMetrics::start(),
        handover_required: watch::channel(false).0,
        withdrawals: watch::channel(0).0,
    }
}

/// Waits until the drain is known in the fleet and other daemons have taken over as owners and
/// witnesses.
async fn wait_for_handover(shared: &SharedState) {
    tokio::time::sleep(DRAIN_PROPAGATION_DELAY).await;
    let mut handover_required = shared.handover_required.subscribe();
    let handed_over = handover_required.wait_for(|handover_required| !handover_required);
    // While the log is unavailable no daemon can take over, so the stop continues after the
    // timeout.
    let _ = tokio::time::timeout(HANDOVER_TIMEOUT, handed_over).await;
}

fn start_control(inputs: ControlInputs) -> Result<JoinHandle<()>, StartError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError::from_thread(&error))?;
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || runtime.block_on(run_control(inputs)))
        .map_err(|error| StartError::from_thread(&error))
}

fn traffic_runtime(threads: usize) -> Result<Runtime, StartError> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|error| StartError::from_thread(&error))
}
