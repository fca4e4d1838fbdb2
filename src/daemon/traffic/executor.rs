//! Runs calls as the executor, the daemon beside the endpoint.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::http::request::Parts;
use hyper::Request;
use hyper::Response;
use tokio::sync::watch;
use tracing::info;
use uuid::Uuid;

use super::admission::Admission;
use super::admission::AdmissionRequest;
use super::endpoint_call;
use super::entry::check_key;
use super::headers;
use super::headers::DOWNSTREAM_OVERLOADED_HEADER;
use super::headers::ENVELOPE_HEADER;
use super::headers::LOAD_HEADER;
use super::headers::PROOF_HEADER;
use super::headers::RETRIES_HEADER;
use super::owner_dispatch::request_slot;
use super::reply::CallReply;
use super::request;
use super::request::CleanRequest;
use super::state::ReplyReceiver;
use super::state::TrafficState;
use crate::clock::wall_ms;
use crate::clock::BootTime;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::decisions::admission::RefusalReason;
use crate::decisions::ownership::DedupStatus;
use crate::decisions::ownership::OwnerClaim;
use crate::decisions::ownership::RequestId;
use crate::observe::LogEvent;
use crate::wire::CallEnvelope;

/// Time past the caller's deadline for which a non-idempotent request that has begun may run.
///
/// A repeat then receives the response; cancelling the request would leave its outcome unknown for
/// ever.
const FINISH_GRACE: Duration = Duration::from_secs(10);
/// Maximum time that a request whose birth time is not acknowledged yet waits for confirmation of
/// its owner.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a call that another daemon has forwarded.
pub async fn serve<B>(state: Arc<TrafficState>, request: Request<B>) -> Response<Full<Bytes>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let reply = match parse_call(&state, &head, body).await {
        Ok((envelope, request)) => execute(&state, envelope, request).await,
        Err(code) => CallReply::from_code(code, 0),
    };
    build_response(&state, reply)
}

/// Runs a call at the endpoint on this VM.
pub async fn execute(
    state: &Arc<TrafficState>,
    envelope: CallEnvelope,
    request: CleanRequest,
) -> CallReply {
    let _in_flight = InFlightCall::from_call(state, envelope.call);
    let deadline = state.shared.deadlines.now() + Duration::from_millis(envelope.deadline_ms);
    if envelope.idempotent {
        return admit_and_run(state, &envelope, request, deadline).await;
    }
    match execute_at_most_once(state, envelope, request, deadline).await {
        Ok(reply) => reply,
        Err(code) => CallReply::from_code(code, 0),
    }
}

async fn parse_call<B>(
    state: &TrafficState,
    head: &Parts,
    body: B,
) -> Result<(CallEnvelope, CleanRequest), ResultCode>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let options = &state.shared.options;
    let envelope = headers::text(&head.headers, &ENVELOPE_HEADER).ok_or(ResultCode::BadEnvelope)?;
    let proof = headers::text(&head.headers, &PROOF_HEADER).ok_or(ResultCode::BadEnvelope)?;
    let body = request::read_body(body, options.max_body_bytes, options.body_timeout).await?;
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let proven = options.fleet_key.verify_call(
        proof.as_bytes(),
        envelope.as_bytes(),
        head.method.as_str(),
        target,
        &body,
    );
    if !proven {
        return Err(ResultCode::BadEnvelope);
    }
    let envelope: CallEnvelope =
        serde_json::from_str(envelope).map_err(|_| ResultCode::BadEnvelope)?;
    if envelope.executor != state.shared.incarnation {
        return Err(ResultCode::NotOwner);
    }
    let request = CleanRequest::from_head(head, body)?;
    Ok((envelope, request))
}

fn build_response(state: &TrafficState, reply: CallReply) -> Response<Full<Bytes>> {
    let unspent_retries = reply.unspent_retries.to_string();
    let downstream_overloaded = reply.downstream_overloaded;
    let mut response = reply.into_response();
    let headers = response.headers_mut();
    headers::set(headers, RETRIES_HEADER, &unspent_retries);
    if downstream_overloaded {
        headers::set(headers, DOWNSTREAM_OVERLOADED_HEADER, "1");
    }
    let report = state.admission.report(state.shared.now());
    if let Some(report) = report.and_then(|report| serde_json::to_string(&report).ok()) {
        headers::set(headers, LOAD_HEADER, &report);
    }
    response
}

/// Registers a call as in flight until dropped, so that entries can query it.
struct InFlightCall<'a> {
    state: &'a TrafficState,
    call: Uuid,
}

impl<'a> InFlightCall<'a> {
    fn from_call(state: &'a TrafficState, call: Uuid) -> Self {
        lock(&state.calls_in_flight).insert(call);
        Self { state, call }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        lock(&self.state.calls_in_flight).remove(&self.call);
    }
}

async fn admit_and_run(
    state: &Arc<TrafficState>,
    envelope: &CallEnvelope,
    request: CleanRequest,
    deadline: BootTime,
) -> CallReply {
    let refused = |code| CallReply::from_code(code, envelope.retries);
    let Some(endpoint) = state.shared.endpoint() else {
        return refused(ResultCode::NoEndpoint);
    };
    if endpoint.service != envelope.service {
        return refused(ResultCode::NoEndpoint);
    }
    let now = state.shared.now();
    let remaining = state.shared.deadlines.remaining(deadline);
    let admission_request = AdmissionRequest {
        organisation: &envelope.organisation,
        weight: envelope.weight,
        importance: envelope.importance,
        deadline: now + remaining,
    };
    let admitted = state
        .admission
        .enter(now, endpoint.slots, admission_request)
        .await;
    match admitted {
        Ok(admission) => {
            let (event, reason) = match admission {
                Admission::Immediate => (LogEvent::WorkAdmitted, "below the concurrency limit"),
                Admission::Queued => (LogEvent::WorkQueued, "after waiting in the queue"),
            };
            info!(event = event.number(), request = %envelope.request_key, reason,
                importance = %envelope.importance, organisation = %envelope.organisation,
                "call admitted by the executor");
        }
        Err(reason) => {
            info!(event = LogEvent::WorkRefused.number(), request = %envelope.request_key,
                reason = ?reason, importance = %envelope.importance,
                organisation = %envelope.organisation, "call refused by the executor");
            return refused(match reason {
                RefusalReason::Deadline => ResultCode::DeadlineTooShort,
                RefusalReason::Overload | RefusalReason::Evicted => ResultCode::Overloaded,
            });
        }
    }
    let deadline = match envelope.idempotent {
        true => deadline,
        false => deadline + FINISH_GRACE,
    };
    let permit = endpoint_call::AdmissionPermit::from_admission(state);
    // The API key may have been withdrawn while the call waited.
    if let Err(code) = check_key(&state.shared.view(), &envelope.key_hash) {
        return refused(code);
    }
    endpoint_call::run_at_endpoint(state, envelope, request, endpoint.address, deadline, permit)
        .await
}

/// Action on a non-idempotent request that follows from its entry in the dedup table.
enum DedupAction {
    /// Runs a new request; the sender publishes its reply to all receivers.
    Begin(watch::Sender<Option<CallReply>>, ReplyReceiver),
    /// Waits for the execution in progress.
    Join(ReplyReceiver),
    /// Replies with the recorded response.
    Replay(CallReply),
    Refuse(ResultCode),
}

async fn execute_at_most_once(
    state: &Arc<TrafficState>,
    envelope: CallEnvelope,
    request: CleanRequest,
    deadline: BootTime,
) -> Result<CallReply, ResultCode> {
    check_ownership(state, &envelope, deadline).await?;
    let id = RequestId {
        organisation: envelope.organisation.clone(),
        key: envelope.request_key,
    };
    match check_dedup_table(state, &envelope, &id, request.fingerprint()) {
        DedupAction::Begin(reply_sender, receiver) => {
            let run_state = state.clone();
            // The request runs on if its caller disconnects: a repeat may still ask for the
            // response.
            tokio::spawn(async move {
                execute_and_record(&run_state, &envelope, request, deadline, &id, &reply_sender)
                    .await
            });
            wait_for_run(state, receiver, deadline).await
        }
        DedupAction::Join(receiver) => {
            log_repeat(&envelope, "joined the execution in progress");
            let reply = wait_for_run(state, receiver, deadline).await?;
            Ok(reply.with_code(ResultCode::Joined))
        }
        DedupAction::Replay(reply) => {
            log_repeat(&envelope, "answered with the recorded response");
            Ok(reply.with_code(ResultCode::Replayed))
        }
        DedupAction::Refuse(code) => {
            log_repeat(&envelope, "refused, no response is available");
            Err(code)
        }
    }
}

/// Checks that this daemon owns the request, which no other daemon may then run.
///
/// A birth time that is not acknowledged yet is refused as *not run* only if a majority of
/// witnesses confirmed this owner in the same epoch after the request arrived; otherwise another
/// daemon may have become the owner.
///
/// # Errors
///
/// Returns the code of the refusal if this daemon is not known to be the owner.
async fn check_ownership(
    state: &TrafficState,
    envelope: &CallEnvelope,
    deadline: BootTime,
) -> Result<(), ResultCode> {
    let mut rounds = state.shared.ack_rounds.subscribe();
    let arrival_round = rounds.borrow_and_update().begun;
    let deadlines = &state.shared.deadlines;
    let confirm_deadline = deadline.min(deadlines.now() + CONFIRM_TIMEOUT);
    loop {
        // Read before the claim, which then includes every bound that these rounds acknowledged.
        let ended_rounds = rounds.borrow_and_update().clone();
        let (claim, epoch_number) = owner_claim(state, envelope);
        match claim {
            OwnerClaim::Owned => return Ok(()),
            OwnerClaim::Expired => return Err(ResultCode::RequestTooOld),
            OwnerClaim::Other(_) | OwnerClaim::Unassigned => return Err(ResultCode::NotOwner),
            OwnerClaim::Unacknowledged => {}
        }
        if ended_rounds.is_confirmed_after(&envelope.service, epoch_number, arrival_round) {
            return Err(ResultCode::BirthAhead);
        }
        if deadlines.has_passed(confirm_deadline) {
            return Err(ResultCode::NotOwner);
        }
        // A round may have ended or the view may have changed; the loop checks both.
        let _ = tokio::time::timeout(CONFIRM_POLL_INTERVAL, rounds.changed()).await;
    }
}

/// Returns this daemon's claim to the request and the number of the newest epoch.
fn owner_claim(state: &TrafficState, envelope: &CallEnvelope) -> (OwnerClaim, u64) {
    // The bounds are read first: if the view is newer, the bounds can only be too low, which is
    // safe.
    let ack_bounds = state.shared.ack_bounds.load();
    let view = state.shared.view();
    let Some(chain) = view.ownership.chain(&envelope.service) else {
        return (OwnerClaim::Unassigned, 0);
    };
    let slot = request_slot(&envelope.organisation, envelope.request_key);
    let claim = ack_bounds.claim(state.shared.incarnation, chain, slot, envelope.birth_ms);
    (claim, chain.newest().number)
}

fn check_dedup_table(
    state: &TrafficState,
    envelope: &CallEnvelope,
    id: &RequestId,
    fingerprint: [u8; 32],
) -> DedupAction {
    let mut dedup_table = lock(&state.dedup_table);
    let status = if envelope.lookup {
        let Some(known) = dedup_table.lookup(wall_ms(), id, envelope.birth_ms, fingerprint) else {
            return DedupAction::Refuse(ResultCode::NeverSeen);
        };
        known
    } else {
        dedup_table.begin(wall_ms(), id, envelope.birth_ms, fingerprint)
    };
    match status {
        DedupStatus::New => {
            let (reply_sender, receiver) = watch::channel(None);
            lock(&state.active_runs).insert(id.clone(), receiver.clone());
            DedupAction::Begin(reply_sender, receiver)
        }
        DedupStatus::InProgress => lock(&state.active_runs).get(id).cloned().map_or(
            DedupAction::Refuse(ResultCode::StillUnknown),
            DedupAction::Join,
        ),
        DedupStatus::Completed(reply) => DedupAction::Replay(reply),
        DedupStatus::ResponseDropped => DedupAction::Refuse(ResultCode::AnswerDropped),
        DedupStatus::Unknown => DedupAction::Refuse(ResultCode::StillUnknown),
        DedupStatus::Mismatch => DedupAction::Refuse(ResultCode::RequestKeyReused),
        DedupStatus::TooOld => DedupAction::Refuse(ResultCode::RequestTooOld),
    }
}

async fn execute_and_record(
    state: &Arc<TrafficState>,
    envelope: &CallEnvelope,
    request: CleanRequest,
    deadline: BootTime,
    id: &RequestId,
    reply_sender: &watch::Sender<Option<CallReply>>,
) {
    let reply = admit_and_run(state, envelope, request, deadline).await;
    {
        let mut dedup_table = lock(&state.dedup_table);
        match (reply.code.class(), &reply.response) {
            (ResultClass::NotRun, _) => dedup_table.record_not_run(id),
            (ResultClass::Done, Some(response)) => {
                dedup_table.record_completed(id, reply.clone(), response.size())
            }
            _ => dedup_table.record_unknown(id),
        }
        lock(&state.active_runs).remove(id);
    }
    reply_sender.send_replace(Some(reply));
}

async fn wait_for_run(
    state: &TrafficState,
    mut receiver: ReplyReceiver,
    deadline: BootTime,
) -> Result<CallReply, ResultCode> {
    let reply_ready = receiver.wait_for(Option::is_some);
    let deadlines = &state.shared.deadlines;
    match deadlines.timeout_at(deadline, reply_ready).await {
        None => Err(ResultCode::DeadlinePassed),
        Some(Err(_)) => Err(ResultCode::StillUnknown),
        Some(Ok(reply)) => reply.clone().ok_or(ResultCode::StillUnknown),
    }
}

fn log_repeat(envelope: &CallEnvelope, reason: &str) {
    info!(event = LogEvent::WorkJoined.number(), request = %envelope.request_key, reason,
        "repeated request");
}
