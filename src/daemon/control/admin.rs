//! Serves the control address: announcements of the endpoint, and status and metrics for operators.

use std::sync::Arc;
use std::time::Duration;

use dropshot::endpoint;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpResponseUpdatedNoContent;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::TypedBody;
use hyper::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use tracing::info;
use tracing::warn;

use super::state::ControlContext;
use crate::clock::wall_ms;
use crate::daemon::shared::lock;
use crate::daemon::shared::LocalEndpoint;
use crate::observe::LogEvent;
use crate::wire::LogRecord;

/// Time without an announcement after which an endpoint is considered stopped.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(3_000);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_BODY_BYTES: usize = 64 * 1024;
const PUBLISH_POLL_INTERVAL: Duration = Duration::from_millis(2);
const MAX_PUBLISH_POLLS: u32 = 250;

/// Announcement of an endpoint.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
pub struct AnnouncementBody {
    pub service: String,
    pub address: String,
    pub slots: u32,
    pub draining: bool,
}

/// Configuration version of a team in force on this daemon.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct TeamStatus {
    pub team: String,
    pub version: u64,
    pub change: String,
    pub author: String,
    pub since_ms: u64,
}

/// Member of the fleet as known to this daemon.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct MemberStatus {
    pub vm: String,
    pub incarnation: String,
    pub service: String,
    pub failure_domain: String,
    pub state: String,
    pub draining: bool,
    pub peer_address: String,
}

/// Newest ownership epoch of a scope.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct ScopeStatus {
    pub scope: String,
    pub number: u64,
    pub owners: usize,
    pub witnesses: usize,
    pub until_ms: u64,
}

/// Status of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct DaemonStatus {
    pub vm: String,
    pub incarnation: String,
    pub now_ms: u64,
    pub next_offset: u64,
    pub log_age_ms: u64,
    pub cut_off: bool,
    pub keys_granted: usize,
    pub keys_withdrawn: usize,
    pub teams: Vec<TeamStatus>,
    pub scopes: Vec<ScopeStatus>,
    pub members: Vec<MemberStatus>,
}

/// Starts serving the control address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn serve_admin(
    context: Arc<ControlContext>,
) -> Result<HttpServer<Arc<ControlContext>>, dropshot::BuildError> {
    let mut api = ApiDescription::new();
    api.register(announce)
        .expect("endpoint definition must be valid");
    api.register(status)
        .expect("endpoint definition must be valid");
    api.register(metrics)
        .expect("endpoint definition must be valid");
    let config = ConfigDropshot {
        bind_address: context.shared.options.control_address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, context, logger)
        .config(config)
        .start()
}

/// Removes the endpoint when its announcements stop, for as long as the daemon runs.
pub async fn watch_endpoint(context: &ControlContext) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let last = *context.endpoint_announced_at.borrow();
        let silent = context.now().saturating_sub(last) > ANNOUNCEMENT_LIFETIME;
        let announced = context.shared.endpoint();
        if let Some(endpoint) = announced.filter(|_| silent) {
            warn!(event = LogEvent::EndpointSilent.number(), service = %endpoint.service,
                "endpoint stopped announcing itself");
            *lock(&context.shared.endpoint) = None;
            update_own_record(context, None).await;
        }
    }
}

#[endpoint { method = PUT, path = "/announcement" }]
async fn announce(
    request: RequestContext<Arc<ControlContext>>,
    body: TypedBody<AnnouncementBody>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let context = request.context();
    let body = body.into_inner();
    let address = body.address.parse().map_err(|_| {
        let text = format!(
            "address {:?} must be an IP address and a port",
            body.address
        );
        HttpError::for_bad_request(None, text)
    })?;
    let endpoint = LocalEndpoint {
        service: body.service,
        address,
        slots: body.slots.max(1),
        draining: body.draining,
    };
    context.endpoint_announced_at.send_replace(context.now());
    let previous = context.shared.endpoint();
    if previous.as_ref() != Some(&endpoint) {
        info!(event = LogEvent::EndpointAnnounced.number(), service = %endpoint.service,
            address = %endpoint.address, slots = endpoint.slots, draining = endpoint.draining,
            "endpoint announced");
        *lock(&context.shared.endpoint) = Some(endpoint.clone());
        update_own_record(context, Some(&endpoint)).await;
    }
    Ok(HttpResponseUpdatedNoContent())
}

async fn update_own_record(context: &ControlContext, endpoint: Option<&LocalEndpoint>) {
    let record = {
        let mut state = context.state();
        let stopping = context.shared.is_stopping();
        state.members.update_own(|own| {
            own.draining = stopping || endpoint.is_none_or(|endpoint| endpoint.draining);
            if let Some(endpoint) = endpoint {
                own.service.clone_from(&endpoint.service);
                own.slots = endpoint.slots;
            }
        });
        state.members.own().clone()
    };
    context.mark_changed();
    context
        .shared
        .metrics
        .record_control_message("log-append", 512);
    // If the log can't be written, peers learn of the change by gossip.
    let _ = context.log.append(&LogRecord::Member(record)).await;
}

#[endpoint { method = GET, path = "/status" }]
async fn status(
    request: RequestContext<Arc<ControlContext>>,
) -> Result<HttpResponseOk<DaemonStatus>, HttpError> {
    let context = request.context();
    wait_until_published(context).await;
    Ok(HttpResponseOk(daemon_status(context)))
}

#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(
    request: RequestContext<Arc<ControlContext>>,
) -> Result<Response<Body>, HttpError> {
    let text = request.context().shared.metrics.render();
    Ok(Response::new(Body::from(text)))
}

/// Waits until pending changes are published, so that a status shows what is in force for traffic.
async fn wait_until_published(context: &ControlContext) {
    for _ in 0..MAX_PUBLISH_POLLS {
        if !context.state().dirty {
            return;
        }
        tokio::time::sleep(PUBLISH_POLL_INTERVAL).await;
    }
}

fn daemon_status(context: &ControlContext) -> DaemonStatus {
    let now = context.now();
    let state = context.state();
    let own = state.members.own();
    DaemonStatus {
        vm: own.vm.clone(),
        incarnation: own.incarnation.to_string(),
        now_ms: wall_ms(),
        next_offset: state.next_offset,
        log_age_ms: state.log_age(now).as_millis() as u64,
        cut_off: context.shared.view().cut_off,
        keys_granted: state.keys.grants().count(),
        keys_withdrawn: state.keys.withdrawals().count(),
        teams: state
            .config
            .teams()
            .map(|(team, current)| TeamStatus {
                team: team.clone(),
                version: current.version,
                change: current.change_id.to_string(),
                author: current.author.clone(),
                since_ms: current.at_ms,
            })
            .collect(),
        scopes: state
            .ownership
            .chains()
            .map(|(scope, chain)| ScopeStatus {
                scope: scope.clone(),
                number: chain.newest().number,
                owners: chain.newest().owners.len(),
                witnesses: chain.newest().witnesses.len(),
                until_ms: chain.newest().until_ms,
            })
            .collect(),
        members: state
            .members
            .members()
            .map(|view| MemberStatus {
                vm: view.record.vm.clone(),
                incarnation: view.record.incarnation.to_string(),
                service: view.record.service.clone(),
                failure_domain: view.record.failure_domain.clone(),
                state: view.state.to_string(),
                draining: state.is_draining(&view.record),
                peer_address: view.record.peer_address.clone(),
            })
            .collect(),
    }
}
