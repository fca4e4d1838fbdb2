//! Holds the state shared by the control thread and the traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio::sync::watch;
use uuid::Uuid;

use super::options::DaemonOptions;
use super::view::FleetView;
use crate::clock::DeadlineClock;
use crate::clock::ProcessClock;
use crate::decisions::ownership::AckBounds;
use crate::decisions::rates::GrantedChunk;
use crate::decisions::rates::RefillRequest;
use crate::observe::DaemonMetrics;

/// Latest announcement of the endpoint on this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalEndpoint {
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub draining: bool,
}

/// Result of a token refill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenReply {
    /// The home answered, with or without tokens.
    Answered(Option<GrantedChunk>),
    /// No home answered.
    NoHome,
}

/// Refill request that the control thread sends to the organisation's home.
#[derive(Debug)]
pub struct TokenRefill {
    pub organisation: String,
    pub shard: u32,
    pub request: RefillRequest,
    pub reply: tokio::sync::oneshot::Sender<TokenReply>,
}

/// State shared by the threads; all of it is cheap to read.
#[derive(Debug)]
pub struct SharedState {
    pub options: DaemonOptions,
    pub incarnation: Uuid,
    pub clock: ProcessClock,
    /// Clock of the deadlines of requests.
    pub deadlines: DeadlineClock,
    /// Unix milliseconds at which this daemon had bound its peer address; no earlier daemon of this
    /// VM can have listened there after that.
    pub peer_address_bound_ms: OnceLock<u64>,
    pub view: ArcSwap<FleetView>,
    pub ack_bounds: ArcSwap<AckBounds>,
    /// Rounds of acknowledgement; see `traffic::executor`.
    pub ack_rounds: watch::Sender<AckRounds>,
    pub endpoint: Mutex<Option<LocalEndpoint>>,
    pub stopping: AtomicBool,
    pub token_refills: mpsc::Sender<TokenRefill>,
    /// Incarnations of daemons that a call could not reach, to be pinged at once.
    pub ping_requests: mpsc::Sender<Uuid>,
    pub metrics: DaemonMetrics,
    /// True while this daemon is an owner or a witness of a current epoch; a stop waits until it is
    /// not.
    pub handover_required: watch::Sender<bool>,
    /// Number of keys withdrawn so far, published after each view.
    pub withdrawals: watch::Sender<u64>,
}

/// Rounds in which this owner asks its witnesses for acknowledgements.
#[derive(Debug, Default, Clone)]
pub struct AckRounds {
    /// Number of rounds that have begun.
    pub begun: u64,
    /// Epoch number and latest round in which a majority acknowledged it, by scope.
    confirmed: HashMap<String, (u64, u64)>,
}

impl AckRounds {
    /// Records that a majority acknowledged an epoch in a round.
    pub fn confirm(&mut self, scope: &str, number: u64, round: u64) {
        self.confirmed.insert(scope.to_string(), (number, round));
    }

    /// Returns true if a majority acknowledged this epoch in a round after the given one.
    pub fn is_confirmed_after(&self, scope: &str, number: u64, round: u64) -> bool {
        self.confirmed
            .get(scope)
            .is_some_and(|(epoch, confirmed)| *epoch == number && *confirmed > round)
    }
}

impl SharedState {
    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Returns the local endpoint, if it has announced itself.
    pub fn endpoint(&self) -> Option<LocalEndpoint> {
        lock(&self.endpoint).clone()
    }

    /// Returns true if the daemon refuses new requests because it stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::SeqCst)
    }
}

/// Locks a mutex and ignores poisoning: holders keep the data consistent even if they panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
