//! Handles announcements and deregistrations of the endpoint on this VM.

use std::rc::Rc;
use std::time::Duration;

use super::super::executor::check_status;
use super::super::state::MeshState;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointChange;
use crate::decisions::announcement::EndpointStatus;
use crate::observe::LogEvent;

/// Interval of checks for the first configuration, which names the paths of status checks.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Confirms endpoints that are older than this daemon by a status check, for as long as the daemon runs.
pub async fn confirm_endpoints(state: Rc<MeshState>) {
    loop {
        if let Some(announcement) = state.executor.unchecked_endpoint() {
            let Some(routes) = state.routes() else {
                tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
                continue;
            };
            let path = routes.status_path(&announcement.service);
            let status = match path {
                Some(path) => read_status(&state, &announcement, path).await,
                // There is nothing to ask; the announcement is all there is.
                None => EndpointStatus::Serving,
            };
            state.record_status(&announcement, status);
        }
        state.executor.announced.notified().await;
    }
}

async fn read_status(
    state: &MeshState,
    announcement: &EndpointAnnouncement,
    path: &str,
) -> EndpointStatus {
    let asked_at = state.executor.now();
    match check_status(&state.header_names, announcement, path).await {
        Ok(reply) => {
            let executor = &state.executor;
            executor.record_cold_check(announcement, reply, asked_at);
            reply.status
        }
        Err(error) => {
            let event = LogEvent::EndpointChecked.number();
            tracing::warn!(event, endpoint = announcement.id, %error, "the status check failed");
            EndpointStatus::Unknown
        }
    }
}

impl MeshState {
    /// Handles an announcement of the endpoint on this VM.
    pub fn handle_announcement(&self, announcement: EndpointAnnouncement) {
        let (id, sequence, born_ms) = (
            announcement.id.clone(),
            announcement.sequence,
            announcement.born_ms,
        );
        let (state, service) = (announcement.state, announcement.service.clone());
        let change = self.executor.handle_announcement(announcement);
        let event = LogEvent::EndpointAnnounced.number();
        match change {
            EndpointChange::Nothing => {}
            EndpointChange::Stale => {
                tracing::warn!(
                    event,
                    endpoint = id,
                    sequence,
                    born_ms,
                    "ignoring a stale announcement"
                );
            }
            _ => {
                tracing::warn!(
                    event,
                    endpoint = id,
                    sequence,
                    born_ms,
                    service,
                    ?state,
                    ?change,
                    "the endpoint's state changed"
                );
                self.broadcast_report();
                self.executors_changed.notify_waiters();
            }
        }
    }

    /// Records the result of a status check of the endpoint on this VM.
    fn record_status(&self, checked: &EndpointAnnouncement, status: EndpointStatus) {
        let confirmed = self.executor.record_status(checked, status);
        let event = LogEvent::EndpointChecked.number();
        let endpoint = checked.id.as_str();
        tracing::warn!(event, endpoint, ?status, confirmed, "checked the endpoint");
        if confirmed {
            self.broadcast_report();
            self.executors_changed.notify_waiters();
        }
    }

    /// Handles the deregistration of the endpoint on this VM, which starts to bind this daemon even if the
    /// endpoint is not announced yet. `born_ms` is the start of its incarnation, if the endpoint names it.
    pub fn handle_deregistration(&self, id: &str, born_ms: Option<u64>) {
        let current = self.executor.handle_deregistration(id, born_ms);
        let event = LogEvent::EndpointSilent.number();
        let service = &self.settings().service;
        tracing::warn!(
            event,
            endpoint = id,
            born_ms,
            service,
            current,
            "the endpoint deregistered"
        );
        if current {
            self.broadcast_report();
        }
    }
}
