//! Serves requests as the entry, the first daemon that receives a request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::Request;
use hyper::Response;
use tracing::info;
use uuid::Uuid;

use super::context::CallContext;
use super::dispatch;
use super::owner_dispatch;
use super::rate_limit;
use super::reply::CallReply;
use super::request;
use super::request::CleanRequest;
use super::state::TrafficState;
use crate::clock::wall_ms;
use crate::clock::BootTime;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::daemon::view::FleetView;
use crate::daemon::view::RouteEntry;
use crate::decisions::keys::KeyStatus;
use crate::decisions::retries::RetryAllowance;
use crate::observe::LogEvent;
use crate::upstream::find_caller_key;
use crate::upstream::hash_key;
use crate::upstream::CredentialError;
use crate::upstream::CONTEXT_HEADER;
use crate::wire::Importance;

/// Maximum depth of a chain of calls; a deeper chain is assumed to be a loop.
const MAX_DEPTH: u32 = 32;

/// Origin of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller, which must present an API key.
    Caller,
    /// The endpoint on this VM, which may name the request in flight that it calls for.
    Local,
}

/// Caller on whose behalf a request runs; empty for an open route.
#[derive(Debug, Clone, Default)]
pub struct CallerIdentity {
    pub organisation: String,
    pub key_hash: String,
    pub weight: u32,
}

/// Request with its route, caller and deadline, ready for dispatch.
#[derive(Debug)]
pub struct RoutedCall {
    pub request: CleanRequest,
    pub fingerprint: [u8; 32],
    pub route_entry: RouteEntry,
    pub identity: CallerIdentity,
    pub importance: Importance,
    pub request_key: Uuid,
    pub birth_ms: u64,
    /// True if this daemon generated the request key, so that no other request can have used it.
    pub generated_key: bool,
    pub deadline: BootTime,
    pub depth: u32,
}

/// Serves one request; a failure becomes the response of its result code.
pub async fn serve<B>(
    state: Arc<TrafficState>,
    origin: RequestOrigin,
    request: Request<B>,
) -> Response<Full<Bytes>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let mut label = RequestLabel::default();
    let reply = match serve_parts(&state, origin, &head, body, &mut label).await {
        Ok(reply) => reply,
        Err(code) => CallReply::from_code(code, 0),
    };
    record_outcome(&state, &label, &reply, started.elapsed());
    reply.into_response()
}

/// Labels of a request for its log line and metrics.
#[derive(Debug, Default)]
struct RequestLabel {
    organisation: String,
    service: String,
}

async fn serve_parts<B>(
    state: &Arc<TrafficState>,
    origin: RequestOrigin,
    head: &Parts,
    body: B,
    label: &mut RequestLabel,
) -> Result<CallReply, ResultCode>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let view = state.shared.view();
    let route_entry = view.route(head.uri.path()).ok_or(ResultCode::NoRoute)?;
    label.service.clone_from(&route_entry.service);
    if !route_entry
        .route
        .methods
        .iter()
        .any(|method| method == head.method.as_str())
    {
        return Err(ResultCode::MethodNotAllowed);
    }
    let parent = find_parent(state, origin, head)?;
    let identity = identify(&view, route_entry, parent.as_deref(), head)?;
    label.organisation.clone_from(&identity.organisation);
    let mut timeout = Duration::from_millis(route_entry.route.deadline_ms);
    if let Some(requested) = request::requested_timeout(&head.headers)? {
        timeout = timeout.min(requested);
    }
    let mut deadline = state.shared.deadlines.now() + timeout;
    if let Some(parent) = &parent {
        deadline = deadline.min(parent.deadline);
    }
    let options = &state.shared.options;
    let body = request::read_body(body, options.max_body_bytes, options.body_timeout).await?;
    let clean_request = CleanRequest::from_head(head, body)?;
    let call = build_call(
        route_entry,
        identity,
        parent.as_deref(),
        head,
        clean_request,
        deadline,
    )?;
    if state.shared.is_stopping() && origin == RequestOrigin::Caller {
        return Ok(owner_dispatch::refuse(state, &call, ResultCode::Stopping, 0).await);
    }
    if parent.is_none() && !call.identity.organisation.is_empty() {
        if let Err(refusal) = charge(state, &call).await {
            return Ok(owner_dispatch::refuse(state, &call, refusal, 0).await);
        }
    }
    let reply = run_call(state, &call, parent.as_deref(), route_entry.retry_allowance).await;
    let not_run = reply.code.class() == ResultClass::NotRun;
    if not_run && parent.is_none() && !call.identity.organisation.is_empty() {
        rate_limit::refund(state, &call.identity.organisation);
    }
    Ok(reply)
}

async fn charge(state: &Arc<TrafficState>, call: &RoutedCall) -> Result<(), ResultCode> {
    let timeout = state.shared.deadlines.remaining(call.deadline);
    rate_limit::charge(state, &call.identity.organisation, timeout).await?;
    // The API key may have been withdrawn while the call waited for a token.
    check_key(&state.shared.view(), &call.identity.key_hash)
}

async fn run_call(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    parent: Option<&CallContext>,
    total_allowance: u32,
) -> CallReply {
    let (mut allowance, retries) = match parent {
        None => (RetryAllowance::from_count(total_allowance), 0),
        Some(parent) => {
            let retries = crate::daemon::shared::lock(&parent.allowance).split();
            (RetryAllowance::from_count(retries), retries)
        }
    };
    let reply = dispatch::dispatch(state, call, &mut allowance).await;
    if let Some(parent) = parent {
        crate::daemon::shared::lock(&parent.allowance).refund(allowance.left(), retries);
        if reply.code.is_overload() || reply.downstream_overloaded {
            parent.mark_overloaded();
        }
    }
    reply
}

/// Returns the context of the request in flight that a call from the local endpoint names, if any.
fn find_parent(
    state: &TrafficState,
    origin: RequestOrigin,
    head: &Parts,
) -> Result<Option<Arc<CallContext>>, ResultCode> {
    let Some(name) = head.headers.get(CONTEXT_HEADER) else {
        return Ok(None);
    };
    if origin == RequestOrigin::Caller {
        return Err(ResultCode::ContextUnknown);
    }
    let parent = name
        .to_str()
        .ok()
        .and_then(|name| state.contexts.find(name))
        .ok_or(ResultCode::ContextUnknown)?;
    if parent.depth >= MAX_DEPTH {
        return Err(ResultCode::TooDeep);
    }
    Ok(Some(parent))
}

fn identify(
    view: &FleetView,
    route_entry: &RouteEntry,
    parent: Option<&CallContext>,
    head: &Parts,
) -> Result<CallerIdentity, ResultCode> {
    let route = &route_entry.route;
    let identity = match parent {
        Some(parent) => CallerIdentity {
            organisation: parent.organisation.clone(),
            key_hash: parent.key_hash.clone(),
            weight: parent.weight,
        },
        None => identify_caller(view, route.open, head)?,
    };
    check_key(view, &identity.key_hash)?;
    if !route.open && !route.allowed.contains(&identity.organisation) {
        return Err(ResultCode::NotAllowed);
    }
    Ok(identity)
}

fn identify_caller(
    view: &FleetView,
    open: bool,
    head: &Parts,
) -> Result<CallerIdentity, ResultCode> {
    let key = match find_caller_key(&head.headers, head.uri.query()) {
        Ok(key) => key,
        Err(CredentialError::Duplicate) => return Err(ResultCode::KeyDuplicate),
        Err(CredentialError::Missing) if open => return Ok(CallerIdentity::default()),
        Err(CredentialError::Missing) => return Err(ResultCode::KeyMissing),
    };
    if open {
        return Ok(CallerIdentity::default());
    }
    let key_hash = hash_key(&key);
    let KeyStatus::Granted(organisation) = view.keys.status(&key_hash) else {
        return Err(ResultCode::KeyRefused);
    };
    let terms = view.organisations.get(organisation);
    Ok(CallerIdentity {
        organisation: organisation.to_string(),
        weight: terms.map_or(1, |terms| terms.weight),
        key_hash,
    })
}

/// Checks that an API key is in force; an empty hash stands for the caller of an open route.
///
/// # Errors
///
/// Returns the code of the refusal if the key is not in force or the daemon can't tell.
pub fn check_key(view: &FleetView, key_hash: &str) -> Result<(), ResultCode> {
    if key_hash.is_empty() {
        return Ok(());
    }
    if view.cut_off {
        return Err(ResultCode::CutOff);
    }
    match view.keys.status(key_hash) {
        KeyStatus::Granted(_) => Ok(()),
        KeyStatus::Withdrawn | KeyStatus::Unknown => Err(ResultCode::KeyRefused),
    }
}

fn build_call(
    route_entry: &RouteEntry,
    identity: CallerIdentity,
    parent: Option<&CallContext>,
    head: &Parts,
    clean_request: CleanRequest,
    deadline: BootTime,
) -> Result<RoutedCall, ResultCode> {
    let idempotency_key = request::idempotency_key(&head.headers)?;
    let (request_key, birth_ms, generated_key) = match (parent, idempotency_key) {
        (Some(parent), idempotency_key) => {
            let key = parent.child_key(&clean_request.target, idempotency_key);
            (key, parent.birth_ms, false)
        }
        (None, Some(idempotency_key)) if !route_entry.route.idempotent => {
            let (key, birth_ms) = request::parse_request_key(idempotency_key)?;
            (key, birth_ms, false)
        }
        (None, _) => {
            let key = Uuid::now_v7();
            (
                key,
                request::key_birth_ms(key).unwrap_or_else(wall_ms),
                true,
            )
        }
    };
    Ok(RoutedCall {
        fingerprint: clean_request.fingerprint(),
        request: clean_request,
        route_entry: route_entry.clone(),
        identity,
        importance: parent.map_or(route_entry.route.importance, |parent| parent.importance),
        request_key,
        birth_ms,
        generated_key,
        deadline,
        depth: parent.map_or(0, |parent| parent.depth + 1),
    })
}

fn record_outcome(
    state: &TrafficState,
    label: &RequestLabel,
    reply: &CallReply,
    elapsed: Duration,
) {
    let code = reply.code;
    state
        .shared
        .metrics
        .record_request(&label.organisation, &label.service, code, elapsed);
    match code.class() {
        ResultClass::Done => {}
        ResultClass::NotRun => info!(event = LogEvent::CallRefused.number(),
            result = code.number(), organisation = %label.organisation,
            service = %label.service, "request refused"),
        ResultClass::Unknown => info!(event = LogEvent::CallUnknown.number(),
            result = code.number(), organisation = %label.organisation,
            service = %label.service, "request outcome unknown"),
    }
}
