//! Makes one attempt of a call at one executor.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::header::HOST;
use hyper::Request;
use uuid::Uuid;

use super::entry::RoutedCall;
use super::executor;
use super::headers;
use super::headers::DOWNSTREAM_OVERLOADED_HEADER;
use super::headers::ENVELOPE_HEADER;
use super::headers::LOAD_HEADER;
use super::headers::PROOF_HEADER;
use super::headers::RETRIES_HEADER;
use super::query;
use super::reply::CallReply;
use super::reply::EndpointResponse;
use super::state::TrafficState;
use crate::clock::BootTime;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::codes::RESULT_HEADER;
use crate::daemon::shared::lock;
use crate::daemon::view::EndpointEntry;
use crate::transport::BufferedResponse;
use crate::transport::SendError;
use crate::transport::SendOptions;
use crate::wire::CallEnvelope;

/// Time reserved for the response's return, so that an executor times out before its entry does.
const RETURN_MARGIN: Duration = Duration::from_millis(2);

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The executor replied.
    Answered(CallReply),
    /// No byte reached the executor.
    NotSent,
    /// The request may have reached the executor.
    Lost(SendError),
}

/// Options of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions {
    /// Retries that the executor may spend on downstream calls.
    pub retries: u32,
    pub deadline: BootTime,
    /// Open a new connection even if an idle one exists.
    pub new_connection: bool,
    /// Only ask the owner if it knows the request; don't run it.
    pub lookup: bool,
}

/// Sends the call to an executor, or runs it here when the executor is this daemon.
pub async fn attempt(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    target: &EndpointEntry,
    options: AttemptOptions,
) -> AttemptOutcome {
    let envelope = build_envelope(state, call, target.incarnation, options);
    let mut guard = AttemptGuard::from_start(state, target.incarnation);
    let outcome = if target.incarnation == state.shared.incarnation {
        let reply = executor::execute(state, envelope, call.request.clone()).await;
        record_own_load(state);
        AttemptOutcome::Answered(reply)
    } else {
        forward(state, call, target, &envelope, options).await
    };
    guard.record(&outcome);
    outcome
}

fn build_envelope(
    state: &TrafficState,
    call: &RoutedCall,
    executor: Uuid,
    options: AttemptOptions,
) -> CallEnvelope {
    let remaining = state.shared.deadlines.remaining(call.deadline);
    CallEnvelope {
        call: Uuid::now_v7(),
        entry: state.shared.incarnation,
        executor,
        service: call.route_entry.service.clone(),
        organisation: call.identity.organisation.clone(),
        key_hash: call.identity.key_hash.clone(),
        weight: call.identity.weight,
        importance: call.importance,
        idempotent: call.route_entry.route.idempotent,
        request_key: call.request_key,
        birth_ms: call.birth_ms,
        deadline_ms: remaining.saturating_sub(RETURN_MARGIN).as_millis() as u64,
        depth: call.depth,
        retries: options.retries,
        lookup: options.lookup,
    }
}

async fn forward(
    state: &TrafficState,
    call: &RoutedCall,
    target: &EndpointEntry,
    envelope: &CallEnvelope,
    options: AttemptOptions,
) -> AttemptOutcome {
    let request = forwarded_request(state, call, target, envelope);
    let deadlines = &state.shared.deadlines;
    let sending = state.peer_connections.send(
        target.traffic_address,
        request,
        SendOptions {
            deadline: Instant::now() + deadlines.remaining(options.deadline),
            max_answer_bytes: state.shared.options.max_answer_bytes,
            new_connection: options.new_connection,
        },
    );
    let sent = tokio::select! {
        sent = deadlines.timeout_at(options.deadline, sending) => sent.unwrap_or_else(|| {
            state.peer_connections.retire(target.traffic_address);
            Err(SendError::TimedOut(target.traffic_address))
        }),
        () = query::wait_until_lost(state, target, envelope) => {
            state.peer_connections.retire(target.traffic_address);
            Err(SendError::TimedOut(target.traffic_address))
        }
    };
    match sent {
        Ok(response) => read_reply(state, target.incarnation, response),
        Err(error) => {
            // If the queue is full, the ping is dropped: other failed calls request it as well.
            let _ = state.shared.ping_requests.try_send(target.incarnation);
            match error {
                SendError::NotSent(_) => AttemptOutcome::NotSent,
                error => AttemptOutcome::Lost(error),
            }
        }
    }
}

fn forwarded_request(
    state: &TrafficState,
    call: &RoutedCall,
    target: &EndpointEntry,
    envelope: &CallEnvelope,
) -> Request<Full<hyper::body::Bytes>> {
    let envelope = serde_json::to_string(envelope).unwrap_or_default();
    let request = &call.request;
    let proof = state.shared.options.fleet_key.call_proof(
        envelope.as_bytes(),
        request.method.as_str(),
        &request.target,
        &request.body,
    );
    let mut forwarded = Request::new(Full::new(request.body.clone()));
    *forwarded.method_mut() = request.method.clone();
    *forwarded.uri_mut() = request.target.parse().unwrap_or_default();
    *forwarded.headers_mut() = request.headers.clone();
    let headers = forwarded.headers_mut();
    headers::set(headers, HOST, &target.traffic_address.to_string());
    headers::set(headers, ENVELOPE_HEADER, &envelope);
    headers::set(headers, PROOF_HEADER, &proof);
    forwarded
}

fn read_reply(state: &TrafficState, executor: Uuid, response: BufferedResponse) -> AttemptOutcome {
    let code =
        headers::text(&response.headers, &RESULT_HEADER).and_then(ResultCode::from_header_value);
    let Some(code) = code else {
        return AttemptOutcome::Answered(CallReply::from_code(ResultCode::AnswerCut, 0));
    };
    record_load(state, executor, &response.headers);
    let unspent_retries = headers::text(&response.headers, &RETRIES_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let downstream_overloaded = response.headers.contains_key(DOWNSTREAM_OVERLOADED_HEADER);
    let from_endpoint = code.class() == ResultClass::Done && code != ResultCode::AnswerDropped;
    AttemptOutcome::Answered(CallReply {
        code,
        response: from_endpoint.then(|| EndpointResponse::from_response(response)),
        unspent_retries,
        downstream_overloaded,
    })
}

/// Records the load report of this daemon's own executor, as for any other executor.
fn record_own_load(state: &TrafficState) {
    let now = state.shared.now();
    let Some(report) = state.admission.report(now) else {
        return;
    };
    if let Some(stats) = lock(&state.endpoint_stats).get_mut(&state.shared.incarnation) {
        stats.record_report(now, report);
    }
}

fn record_load(state: &TrafficState, executor: Uuid, headers: &HeaderMap) {
    let report =
        headers::text(headers, &LOAD_HEADER).and_then(|text| serde_json::from_str(text).ok());
    let Some(report) = report else {
        return;
    };
    let now = state.shared.now();
    if let Some(stats) = lock(&state.endpoint_stats).get_mut(&executor) {
        stats.record_report(now, report);
    }
}

/// Records an attempt's outcome in the executor's statistics, also if the attempt is cancelled.
struct AttemptGuard<'a> {
    state: &'a TrafficState,
    executor: Uuid,
    started: Instant,
    recorded: bool,
}

impl<'a> AttemptGuard<'a> {
    fn from_start(state: &'a TrafficState, executor: Uuid) -> Self {
        lock(&state.endpoint_stats)
            .entry(executor)
            .or_default()
            .record_start();
        Self {
            state,
            executor,
            started: Instant::now(),
            recorded: false,
        }
    }

    fn record(&mut self, outcome: &AttemptOutcome) {
        self.recorded = true;
        let now = self.state.shared.now();
        let elapsed = self.started.elapsed();
        let mut endpoint_stats = lock(&self.state.endpoint_stats);
        let stats = endpoint_stats.entry(self.executor).or_default();
        match outcome {
            AttemptOutcome::Answered(reply) if reply.code == ResultCode::Done => {
                stats.record_success(elapsed);
            }
            AttemptOutcome::Answered(reply) if counts_as_failure(reply.code) => {
                stats.record_failure(now, elapsed);
            }
            AttemptOutcome::Answered(_) => stats.record_abandoned(),
            AttemptOutcome::NotSent | AttemptOutcome::Lost(_) => {
                stats.record_failure(now, elapsed);
            }
        }
    }
}

fn counts_as_failure(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Stopping
            | ResultCode::NoEndpoint
            | ResultCode::ConnectionLost
            | ResultCode::DeadlinePassed
            | ResultCode::DeadlineTooShort
    )
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            lock(&self.state.endpoint_stats)
                .entry(self.executor)
                .or_default()
                .record_abandoned();
        }
    }
}
