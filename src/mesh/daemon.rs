//! Starts and shuts down the listeners and tasks of one daemon of the mesh.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::control::confirm_endpoints;
use super::control::track_coldness;
use super::control::update_shares;
use super::entry::serve_callers;
use super::executor::accept_links;
use super::header_names::HeaderNames;
use super::link::listen;
use super::settings::MeshSettings;
use super::state::ConfigDecoder;
use super::state::MeshState;
use crate::clock::DeadlineClock;
use crate::observe::LogEvent;

/// Time in which callers' readiness checks detect the shutdown and send new requests elsewhere.
const READINESS_LAG: Duration = Duration::from_millis(2300);
/// Reserved part of the shutdown's grace period, so that the last responses are sent before the
/// process is killed.
const GRACE_RESERVE: Duration = Duration::from_millis(500);
/// Interval between two checks for open requests and responses, and time after the last response in which
/// the socket buffers are sent.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time in which other daemons receive the last responses and close their links. One that is suspended
/// closes none.
const MAX_LINK_CLOSE_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks for links that are still open.
const LINK_CLOSE_INTERVAL: Duration = Duration::from_millis(5);

/// A running daemon, which must be used on a thread with a `LocalSet`.
pub struct MeshDaemon {
    state: Rc<MeshState>,
    stop: watch::Sender<bool>,
    /// Accepts the links that other daemons open.
    link_listener: JoinHandle<()>,
}

impl MeshDaemon {
    /// Starts to listen for callers and for other daemons. All deadlines are kept on `clock`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the addresses cannot be listened on.
    pub fn start(
        settings: MeshSettings,
        header_names: HeaderNames,
        decode_config: ConfigDecoder,
        clock: Rc<DeadlineClock>,
    ) -> std::io::Result<Self> {
        let callers = listen(settings.caller_address)?;
        let links = listen(settings.link_listen_address)?;
        let event = LogEvent::DaemonStarted.number();
        tracing::warn!(event, vm = settings.vm, "daemon started");
        let state = MeshState::new(settings, header_names, decode_config, clock);
        let (stop, stopped) = watch::channel(false);
        let link_listener = tokio::task::spawn_local(accept_links(state.clone(), links));
        tokio::task::spawn_local(serve_callers(state.clone(), callers, stopped));
        tokio::task::spawn_local(update_shares(state.clone()));
        tokio::task::spawn_local(confirm_endpoints(state.clone()));
        tokio::task::spawn_local(track_coldness(state.clone()));
        Ok(Self {
            state,
            stop,
            link_listener,
        })
    }

    /// Returns the state that the adapter updates.
    pub fn state(&self) -> &Rc<MeshState> {
        &self.state
    }

    /// Shuts down: refuses new requests, completes running ones and closes the connections.
    pub async fn close(self) {
        let started = Instant::now();
        let grace = self
            .state
            .settings()
            .stop_grace
            .saturating_sub(GRACE_RESERVE);
        let event = LogEvent::DaemonStopping.number();
        tracing::warn!(
            event,
            open = self.state.open_requests(),
            "daemon is stopping"
        );
        self.state.begin_shutdown();
        let closes_at = self.state.clock.now() + grace;
        tokio::time::sleep(READINESS_LAG.min(grace)).await;
        self.state.begin_closing(closes_at);
        // This closes the connections; there is no receiver if all of them have ended already.
        self.stop.send_replace(true);
        while started.elapsed() < grace && self.is_busy() {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
        // Other daemons that find the listener closed don't open their links again.
        self.link_listener.abort();
        self.state.close_links();
        let link_limit = grace.min(started.elapsed() + MAX_LINK_CLOSE_TIME);
        while started.elapsed() < link_limit && self.state.open_links() > 0 {
            tokio::time::sleep(LINK_CLOSE_INTERVAL).await;
        }
        let event = LogEvent::DaemonStopped.number();
        let link_bytes = self.state.link_bytes_summary();
        tracing::warn!(
            event,
            open = self.state.open_requests(),
            link_bytes,
            "daemon stopped"
        );
        // The last responses may still be in the socket buffers.
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }

    fn is_busy(&self) -> bool {
        let runs_calls = self.state.open_requests() > 0 || self.state.executor.in_hand() > 0;
        runs_calls || self.state.has_unsent_responses()
    }
}
