//! Follows the coldness of the endpoint on this VM.

use std::rc::Rc;

use super::super::executor::check_status;
use super::super::state::MeshState;
use crate::observe::LogEvent;

/// Ends the rate of a cold endpoint in time, tells the other daemons of each change, and asks an endpoint
/// that may be cold, for as long as the daemon runs.
pub async fn track_coldness(state: Rc<MeshState>) {
    loop {
        let changed = state.executor.cold_changed().notified();
        match state.executor.cold_wait() {
            Some(wait) => drop(tokio::time::timeout(wait, changed).await),
            None => changed.await,
        }
        state.executor.update_cold_rate();
        state.broadcast_changes();
        ask_endpoint(&state).await;
    }
}

/// Asks an endpoint that may be cold, if its service answers status checks.
async fn ask_endpoint(state: &MeshState) {
    let Some(routes) = state.routes() else {
        return;
    };
    let Some((announcement, asked_at)) = state.executor.take_cold_check() else {
        return;
    };
    let Some(path) = routes.status_path(&announcement.service) else {
        return;
    };
    let event = LogEvent::ColdChecked.number();
    let endpoint = announcement.id.as_str();
    match check_status(&state.header_names, &announcement, path).await {
        Ok(reply) => {
            tracing::warn!(
                event,
                endpoint,
                ?reply,
                "asked whether the endpoint is cold"
            );
            let executor = &state.executor;
            executor.record_cold_check(&announcement, reply, asked_at);
        }
        Err(error) => {
            tracing::warn!(event, endpoint, %error, "can't ask whether the endpoint is cold");
        }
    }
}
