//! Serves the HTTP connections of callers, with one request at a time on each.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::super::body_reader::read_body;
use super::super::body_reader::BodyError;
use super::super::executor::CallRequest;
use super::super::executor::EndpointResponse;
use super::super::fleet::hash_name;
use super::super::state::MeshState;
use super::admit::admit;
use super::admit::retry_after;
use super::admit::AdmittedRequest;
use super::admit::RefusedRequest;
use super::dispatch::dispatch;
use super::dispatch::DispatchLimits;
use super::dispatch::DispatchOutcome;
use super::headers;
use crate::clock::BootTime;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::observe::LogEvent;
use crate::transport::serve_connection;
use crate::transport::RequestBody;

/// Time past the deadline in which an outcome that is under way may still arrive.
const OUTCOME_GRACE: Duration = Duration::from_millis(150);
/// Added to the idle timeout that callers are promised, for requests that are under way when it
/// expires.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Idle timeout until a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum size of hyper's read buffer.
const MIN_HEADER_BYTES: usize = 8192;
/// Limit of the header size until a configuration is in force.
const DEFAULT_HEADER_BYTES: usize = 64 * 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// `Retry-After` of requests that arrive before a configuration is in force.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time from the start of a daemon in which its links come up and its endpoint announces itself.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Part of its latency target for which a request waits for an executor during the startup.
const STARTUP_WAIT_FRACTION: f64 = 0.5;

type CallerResponse = Response<Full<Bytes>>;

/// Accepts connections of callers until `stopped` becomes true.
pub async fn serve_callers(
    state: Rc<MeshState>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let task = serve_caller(state.clone(), stream, stopped.clone());
                tokio::task::spawn_local(task);
            }
            Err(error) => {
                let event = LogEvent::CallerBroken.number();
                tracing::warn!(event, %error, "cannot accept a caller's connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(state: Rc<MeshState>, stream: TcpStream, stopped: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::warn!(%error, "cannot set TCP_NODELAY on a caller's connection");
    }
    let limits = state.routes().map(|routes| routes.config().limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    state.adjust_open_connections(1);
    let _guard = ConnectionGuard { state: &state };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_TIMEOUT_MARGIN)
        .max_buf_size(header_bytes.max(MIN_HEADER_BYTES).saturating_mul(2));
    let respond_to = |request| respond(state.clone(), request);
    let ended = serve_connection(stream, &builder, respond_to, stopped).await;
    if let Err(error) = ended {
        let event = LogEvent::CallerBroken.number();
        tracing::debug!(event, %error, "a caller's connection failed");
    }
}

/// Counts a caller's connection as open until it is closed.
struct ConnectionGuard<'a> {
    state: &'a MeshState,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.state.adjust_open_connections(-1);
    }
}

/// Counts a request as open until it has its response or its caller disconnects.
struct OpenRequestGuard<'a> {
    state: &'a MeshState,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.state.adjust_open_requests(-1);
    }
}

/// Handles a request and echoes its attempt identifier in the response.
async fn respond(state: Rc<MeshState>, request: Request<RequestBody>) -> CallerResponse {
    state.adjust_open_requests(1);
    let _guard = OpenRequestGuard { state: &state };
    let attempt_id = request.headers().get(&state.header_names.attempt).cloned();
    let mut response = handle_request(&state, request).await;
    if let Some(value) = attempt_id {
        response
            .headers_mut()
            .insert(&state.header_names.attempt, value);
    }
    response
}

async fn handle_request(state: &MeshState, request: Request<RequestBody>) -> CallerResponse {
    let arrived = state.clock.now();
    let (mut parts, body) = request.into_parts();
    let Some(routes) = state.routes() else {
        let event = LogEvent::CallRefused.number();
        let id = headers::attempt_id(&state.header_names, &parts.headers);
        tracing::warn!(event, id, "request refused: no configuration is in force");
        return daemon_response(ResultCode::CutOff, Some(NO_CONFIG_RETRY_AFTER));
    };
    let decision = admit(state, &routes, parts.uri.path(), &parts.headers, arrived);
    let admitted = match decision {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(state, &parts.headers, &refused),
    };
    let limit = routes.config().limits.body_bytes;
    drop(routes);
    let parent = admitted.parent;
    let nested_call = parent.map(|parent| state.executor.begin_nested_call(parent));
    let read = {
        let read = pin!(read_body(body, limit, &state.body_budget));
        state.clock.timeout_at(admitted.deadline, read).await
    };
    let body = match read {
        Some(Ok(body)) => body,
        Some(Err(error)) => {
            let code = match error {
                BodyError::TooLarge(_) => ResultCode::BodyTooLarge,
                BodyError::NoMemory(_) => ResultCode::NoMemory,
                BodyError::Incomplete(_) => ResultCode::BodyTimeout,
            };
            return refuse_body(state, &parts.headers, &admitted, code, &error.to_string());
        }
        None => {
            let code = ResultCode::BodyTimeout;
            return refuse_body(state, &parts.headers, &admitted, code, "deadline passed");
        }
    };
    // A body may arrive so late that the daemon ends before its request does. A nested call belongs to a
    // request that runs already.
    if !admitted.origin.nested && !state.ends_in_time(admitted.deadline + OUTCOME_GRACE) {
        let code = ResultCode::Stopping;
        return refuse_body(state, &parts.headers, &admitted, code, "the daemon stops");
    }
    let organisation = admitted.organisation.as_deref();
    let settings = state.settings();
    let service = settings.service.as_str();
    headers::prepare_request(
        &state.header_names,
        &mut parts.headers,
        organisation,
        service,
    );
    let target = parts.uri.path_and_query().cloned().map(Uri::from);
    let mut call = CallRequest {
        method: parts.method,
        target: target.unwrap_or(parts.uri),
        headers: parts.headers,
        body,
        service: admitted.service.clone(),
        idempotent: admitted.idempotent,
        origin: admitted.origin,
        caller_domain: hash_name(&settings.failure_domain),
        deadline: admitted.deadline,
        queue_timeout: admitted.queue_timeout,
    };
    let response = dispatch_call(state, &mut call, &admitted, arrived).await;
    if let Some(nested_call) = nested_call {
        nested_call.close(response.status().is_success());
    }
    response
}

/// Dispatches a call and builds the caller's response from its outcome.
async fn dispatch_call(
    state: &MeshState,
    call: &mut CallRequest,
    admitted: &AdmittedRequest,
    arrived: BootTime,
) -> CallerResponse {
    let id = headers::attempt_id(&state.header_names, &call.headers).to_owned();
    let limits = DispatchLimits {
        max_attempts: admitted.max_attempts,
        first_executor_by: arrived + first_executor_timeout(state, admitted),
        until: admitted.deadline + OUTCOME_GRACE,
    };
    let outcome = dispatch(state, call, &id, limits).await;
    let elapsed = state.clock.elapsed(arrived);
    record_outcome(state, admitted, &outcome, &id, elapsed);
    match outcome.result {
        Ok(endpoint_response) => {
            record_usage(state, admitted, &endpoint_response);
            let mut response = Response::new(Full::new(endpoint_response.body));
            *response.status_mut() = endpoint_response.status;
            *response.headers_mut() = endpoint_response.headers;
            headers::prepare_response(response.headers_mut());
            response
        }
        Err(code) => {
            // A code of the last attempt says nothing of an earlier one whose outcome is unknown.
            if !call.origin.possible_duplicate {
                refund(state, admitted, code);
            }
            let remaining = state.clock.remaining(admitted.deadline);
            let retry_after = retry_after(state, admitted.latency_target, remaining);
            daemon_response(code, Some(retry_after))
        }
    }
}

/// Returns the token of a request whose final outcome says that it has not run.
fn refund(state: &MeshState, admitted: &AdmittedRequest, code: ResultCode) {
    let organisation = admitted.organisation.as_deref();
    let organisation = organisation.filter(|_| admitted.charged);
    if code.class() != ResultClass::NotRun {
        return;
    }
    if let Some(name) = organisation {
        state.admission.borrow_mut().refund_organisation(name);
    }
}

/// Returns the time for which a request waits until an executor of its service is known.
fn first_executor_timeout(state: &MeshState, admitted: &AdmittedRequest) -> Duration {
    if state.now() < STARTUP_PERIOD {
        admitted.latency_target.mul_f64(STARTUP_WAIT_FRACTION)
    } else {
        admitted.queue_timeout
    }
}

/// Logs the outcome of a request, and counts it in the metrics unless it is a nested call.
fn record_outcome(
    state: &MeshState,
    admitted: &AdmittedRequest,
    outcome: &DispatchOutcome,
    id: &str,
    elapsed: Duration,
) {
    let (route, service) = (admitted.route.as_str(), &*admitted.service);
    let nested = admitted.origin.nested;
    let organisation = admitted.organisation.as_deref().unwrap_or("");
    let executor = outcome.last_executor.map(|address| address.to_string());
    let asked = outcome.executors_tried;
    let took_ms = elapsed.as_millis() as u64;
    let code = match &outcome.result {
        Ok(response) => {
            let event = LogEvent::CallPlaced.number();
            let status = response.status.as_u16();
            tracing::info!(
                event,
                id,
                route,
                service,
                executor,
                asked,
                status,
                took_ms,
                nested,
                "request completed"
            );
            ResultCode::Done
        }
        Err(code) => {
            let event = LogEvent::CallRefused.number();
            let (config, proof_ms) = config_version_and_proof(state);
            let endpoints = state.with_executors(service, <[_]>::len);
            let linked = state.linked_daemons();
            let age_ms = state.now().as_millis() as u64;
            let timeout_ms = admitted.timeout.as_millis() as u64;
            tracing::warn!(
                event,
                id,
                ?code,
                route,
                organisation,
                service,
                executor,
                asked,
                endpoints,
                linked,
                age_ms,
                took_ms,
                timeout_ms,
                nested,
                config,
                proof_ms,
                "request failed"
            );
            *code
        }
    };
    if !nested {
        state
            .metrics
            .record_request(organisation, route, code, elapsed);
    }
}

/// Adds the slot time of a call tree to its parent's, or to the cost of the route at its root.
fn record_usage(state: &MeshState, admitted: &AdmittedRequest, response: &EndpointResponse) {
    if let Some(parent) = admitted.parent {
        state.executor.add_usage(parent, &response.usage);
    } else if !admitted.origin.nested {
        let route = admitted.origin.class.route;
        let mut admission = state.admission.borrow_mut();
        admission.record_tree(route, response.status.is_success(), &response.usage);
    }
}

/// Returns the configuration version in force and the age of its proof in milliseconds, for log
/// lines.
fn config_version_and_proof(state: &MeshState) -> (u64, Option<u64>) {
    let proof_ms = state.proof_age().map(|age| age.as_millis() as u64);
    (state.config_version(), proof_ms)
}

fn refuse(state: &MeshState, headers: &HeaderMap, refused: &RefusedRequest) -> CallerResponse {
    let event = LogEvent::CallRefused.number();
    let id = headers::attempt_id(&state.header_names, headers);
    let (config, proof_ms) = config_version_and_proof(state);
    let RefusedRequest {
        code,
        share,
        route,
        organisation,
        quota_levels,
        quota_demand,
        ..
    } = refused;
    let (bucket_level, own_level) = quota_levels.unzip();
    let (demand, rate) = quota_demand.unzip();
    tracing::warn!(
        event,
        id,
        ?code,
        route,
        organisation,
        share,
        bucket_level,
        own_level,
        demand,
        rate,
        config,
        proof_ms,
        "request refused"
    );
    let elapsed = Duration::ZERO;
    state
        .metrics
        .record_request(organisation, route, *code, elapsed);
    daemon_response(refused.code, refused.retry_after)
}

fn refuse_body(
    state: &MeshState,
    headers: &HeaderMap,
    admitted: &AdmittedRequest,
    code: ResultCode,
    error: &str,
) -> CallerResponse {
    let event = LogEvent::CallRefused.number();
    let id = headers::attempt_id(&state.header_names, headers);
    let route = admitted.route.as_str();
    let held_bytes = state.body_budget.held();
    tracing::warn!(
        event,
        id,
        ?code,
        route,
        error,
        held_bytes,
        "request refused: cannot read its body"
    );
    // A request whose body wasn't read has been sent to no endpoint.
    refund(state, admitted, code);
    let remaining = state.clock.remaining(admitted.deadline);
    let retry_after = retry_after(state, admitted.latency_target, remaining);
    daemon_response(code, Some(retry_after))
}

/// Builds a response of the daemon's own. Only one that says that the request was not run may carry
/// `Retry-After`.
fn daemon_response(code: ResultCode, retry_after: Option<Duration>) -> CallerResponse {
    let mut response = code.response();
    let status = response.status().as_u16();
    if let Some(delay) = retry_after.filter(|_| status == 503 || status == 429) {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
