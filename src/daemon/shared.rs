//! What the control thread and the traffic threads share.

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
use crate::clock::ProcessClock;
use crate::decisions::ownership::AckBounds;
use crate::decisions::rates::GrantedChunk;
use crate::decisions::rates::TokenAsk;
use crate::observe::FleetMetrics;

/// The endpoint beside this daemon, as it last announced itself.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalEndpoint {
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub draining: bool,
}

/// What became of an ask for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenReply {
    /// The home answered, with tokens or without.
    Answered(Option<GrantedChunk>),
    /// No home answered.
    NoHome,
}

/// An ask for tokens that the control thread carries to the organisation's home.
#[derive(Debug)]
pub struct TokenRefill {
    pub organisation: String,
    pub shard: u32,
    pub request: TokenAsk,
    pub reply: tokio::sync::oneshot::Sender<TokenReply>,
}

/// The meeting point of the threads; all of it is cheap to read.
#[derive(Debug)]
pub struct SharedState {
    pub options: DaemonOptions,
    pub incarnation: Uuid,
    pub clock: ProcessClock,
    /// Wall-clock time at which this daemon had taken its peer address, from which on no earlier
    /// daemon can have listened there.
    pub peer_address_bound_ms: OnceLock<u64>,
    pub view: ArcSwap<FleetView>,
    pub ack_bounds: ArcSwap<AckBounds>,
    /// Counts rounds of acknowledgement that began; see `traffic::owned`.
    pub ack_rounds: watch::Sender<AckRounds>,
    pub endpoint: Mutex<Option<LocalEndpoint>>,
    pub stopping: AtomicBool,
    pub token_refills: mpsc::Sender<TokenRefill>,
    /// Daemons that a call could not reach, to be pinged at once.
    pub ping_requests: mpsc::Sender<Uuid>,
    pub metrics: FleetMetrics,
    /// Whether this daemon still owns births of this moment or serves an epoch as witness.
    pub handover_pending: watch::Sender<bool>,
    /// Changes when a key has been withdrawn, for requests that wait.
    pub withdrawals: watch::Sender<u64>,
}

/// Rounds in which this owner asked its witnesses.
#[derive(Debug, Default, Clone)]
pub struct AckRounds {
    /// Rounds that have begun.
    pub begun: u64,
    /// The latest round in which a majority acknowledged an epoch, by scope, with its number.
    confirmed: HashMap<String, (u64, u64)>,
}

impl AckRounds {
    /// Notes that a majority acknowledged an epoch in a round.
    pub fn confirm(&mut self, scope: &str, number: u64, round: u64) {
        self.confirmed.insert(scope.to_string(), (number, round));
    }

    /// Whether a majority acknowledged this very epoch in a round after the given one.
    pub fn is_confirmed_after(&self, scope: &str, number: u64, round: u64) -> bool {
        self.confirmed
            .get(scope)
            .is_some_and(|(held, confirmed)| *held == number && *confirmed > round)
    }
}

impl SharedState {
    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The view in force now.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// The local endpoint, if it has announced itself.
    pub fn endpoint(&self) -> Option<LocalEndpoint> {
        lock(&self.endpoint).clone()
    }

    /// Whether the daemon takes no new work.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(std::sync::atomic::Ordering::SeqCst)
    }
}

/// Locks a mutex; what a panicking holder left is still used, since each holder leaves it whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
