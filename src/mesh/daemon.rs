//! One daemon of the mesh: its listeners, its tasks and its end.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::control::update_shares;
use super::header_names::HeaderNames;
use super::entry::serve_callers;
use super::executor::accept_links;
use super::link::listen;
use super::settings::MeshSettings;
use super::state::ConfigDecoder;
use super::state::MeshState;
use crate::observe::LogEvent;

/// Callers' readiness checks take this long to move new work elsewhere.
const READINESS_LAG: Duration = Duration::from_millis(2300);
/// Kept back from the grace, so that the last answers leave before the process is killed.
const GRACE_RESERVE: Duration = Duration::from_millis(500);
const STOP_POLL: Duration = Duration::from_millis(50);

/// A running daemon; it must live on a thread with a `LocalSet`.
pub struct MeshDaemon {
    state: Rc<MeshState>,
    stop: watch::Sender<bool>,
}

impl MeshDaemon {
    /// Listens for callers and for other daemons.
    pub fn start(
        settings: MeshSettings,
        header_names: HeaderNames,
        decode_config: ConfigDecoder,
    ) -> std::io::Result<Self> {
        let callers = listen(settings.caller_address)?;
        let links = listen(settings.link_listen_address)?;
        let event = LogEvent::DaemonStarted.number();
        tracing::warn!(event, vm = settings.vm, "the daemon has started");
        let state = MeshState::new(settings, header_names, decode_config);
        let (stop, stopped) = watch::channel(false);
        tokio::task::spawn_local(accept_links(state.clone(), links));
        tokio::task::spawn_local(serve_callers(state.clone(), callers, stopped));
        tokio::task::spawn_local(update_shares(state.clone()));
        Ok(Self { state, stop })
    }

    /// The state that the adapter feeds.
    pub fn state(&self) -> &Rc<MeshState> {
        &self.state
    }

    /// Stops: new work goes elsewhere, what runs is finished, connections are closed.
    pub async fn close(self) {
        let begun = Instant::now();
        let grace = self
            .state
            .settings()
            .stop_grace
            .saturating_sub(GRACE_RESERVE);
        let event = LogEvent::DaemonStopping.number();
        tracing::warn!(
            event,
            open = self.state.open_requests(),
            "the daemon is stopping"
        );
        self.state.begin_shutdown();
        tokio::time::sleep(READINESS_LAG.min(grace)).await;
        // Nobody waits on the other side if all connections have ended.
        self.stop.send_replace(true);
        while begun.elapsed() < grace && self.is_busy() {
            tokio::time::sleep(STOP_POLL).await;
        }
        let event = LogEvent::DaemonStopped.number();
        tracing::warn!(
            event,
            open = self.state.open_requests(),
            "the daemon has stopped"
        );
        // The last answers leave the socket buffers.
        tokio::time::sleep(STOP_POLL).await;
    }

    fn is_busy(&self) -> bool {
        self.state.open_requests() > 0 || self.state.executor.in_hand() > 0
    }
}
