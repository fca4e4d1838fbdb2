//! Runs the control tasks on the control thread.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use uuid::Uuid;

use super::admin;
use super::gossip;
use super::log_tail;
use super::ownership;
use super::peer_server;
use super::publish;
use super::rate_homes;
use super::retention;
use super::state::ControlContext;
use crate::clock::wall_ms;
use crate::daemon::shared::SharedState;
use crate::daemon::shared::TokenRefill;
use crate::daemon::start::StartError;
use crate::upstream::LogClient;
use crate::wire::LogRecord;

/// Maximum time that a daemon reads the log at its start before it continues with its peers' state.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Inputs of the control thread.
#[derive(Debug)]
pub struct ControlInputs {
    pub shared: Arc<SharedState>,
    pub log: LogClient,
    pub token_refills: mpsc::Receiver<TokenRefill>,
    pub ping_requests: mpsc::Receiver<Uuid>,
    /// Receives `Ok` once the daemon may accept traffic, or the error that prevents it.
    pub ready: oneshot::Sender<Result<(), StartError>>,
    /// Ends the thread.
    pub stop: oneshot::Receiver<()>,
    /// Announces the drain, before the traffic threads stop.
    pub drain: oneshot::Receiver<()>,
}

/// Runs the control tasks until the stop signal.
pub async fn run_control(inputs: ControlInputs) {
    let options = inputs.shared.options.clone();
    let context = Arc::new(ControlContext::from_shared(inputs.shared, inputs.log));
    let peers = match peer_server::serve_peers(context.clone(), options.peer_address).await {
        Ok(peers) => peers,
        Err(error) => {
            let failed = StartError::from_address("peer_address", options.peer_address, &error);
            // The receiver is dropped only if the starting thread has ended.
            let _ = inputs.ready.send(Err(failed));
            return;
        }
    };
    // This is the only place that sets the time, so it can't be set already.
    let _ = context.shared.peer_address_bound_ms.set(wall_ms());
    read_log_backlog(&context).await;
    gossip::join_fleet(&context).await;
    let admin = match admin::serve_admin(context.clone()) {
        Ok(admin) => admin,
        Err(error) => {
            let failed =
                StartError::from_address("control_address", options.control_address, &error);
            let _ = inputs.ready.send(Err(failed));
            return;
        }
    };
    let tasks = start_tasks(&context, inputs.token_refills, inputs.ping_requests);
    announce_start(&context);
    let _ = inputs.ready.send(Ok(()));
    let drain_task = tokio::spawn(announce_drain(context.clone(), inputs.drain));
    // A dropped sender means that the daemon stops as well.
    let _ = inputs.stop.await;
    for task in tasks.into_iter().chain([drain_task]) {
        task.abort();
    }
    // Errors mean that a server has already stopped.
    let _ = peers.stop();
    let _ = admin.close().await;
}

async fn read_log_backlog(context: &ControlContext) {
    let reading = async {
        loop {
            let from = context.state().tail_offset;
            let Ok(page) = context.log.read(from, Duration::ZERO).await else {
                return;
            };
            log_tail::apply_page(context, &page);
            if page.next_offset == from {
                return;
            }
        }
    };
    // After the timeout the tail reads the rest of the log; the daemon starts with what it has.
    let _ = tokio::time::timeout(FIRST_READ_TIMEOUT, reading).await;
}

fn start_tasks(
    context: &Arc<ControlContext>,
    token_refills: mpsc::Receiver<TokenRefill>,
    ping_requests: mpsc::Receiver<Uuid>,
) -> Vec<JoinHandle<()>> {
    vec![
        spawn(context, |context| async move {
            log_tail::follow_log(&context).await
        }),
        spawn(context, |context| async move {
            gossip::keep_pinging(&context).await
        }),
        spawn(context, |context| async move {
            gossip::serve_ping_requests(&context, ping_requests).await
        }),
        spawn(context, |context| async move {
            ownership::keep_renewing(&context).await
        }),
        spawn(context, |context| async move {
            ownership::keep_planning(&context).await
        }),
        spawn(context, |context| async move {
            retention::keep_restating(&context).await
        }),
        spawn(context, |context| async move {
            publish::keep_publishing(&context).await
        }),
        spawn(context, |context| async move {
            admin::watch_endpoint(&context).await
        }),
        spawn(context, |context| async move {
            rate_homes::serve_token_refills(&context, token_refills).await
        }),
    ]
}

fn spawn<F>(
    context: &Arc<ControlContext>,
    task: impl FnOnce(Arc<ControlContext>) -> F,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(task(context.clone()))
}

fn announce_start(context: &Arc<ControlContext>) {
    let context = context.clone();
    tokio::spawn(async move {
        let record = context.state().members.own().clone();
        // If the log can't be written, peers learn of the start by gossip.
        let _ = context.log.append(&LogRecord::Member(record)).await;
    });
}

/// Waits for the drain signal and publishes that this daemon drains and stops.
async fn announce_drain(context: Arc<ControlContext>, drain: oneshot::Receiver<()>) {
    if drain.await.is_err() {
        return;
    }
    let record = {
        let mut state = context.state();
        state.members.update_own(|own| {
            own.draining = true;
            own.stopping = true;
        });
        state.members.own().clone()
    };
    context.mark_changed();
    let _ = context.log.append(&LogRecord::Member(record)).await;
}
