//! Dispatches calls: adaptive throttling, choice of an endpoint and retries.

use std::sync::Arc;

use rand::Rng;
use smallvec::SmallVec;
use tracing::info;
use uuid::Uuid;

use super::attempt::attempt;
use super::attempt::AttemptOptions;
use super::attempt::AttemptOutcome;
use super::entry::RoutedCall;
use super::owner_dispatch;
use super::reply::CallReply;
use super::state::TrafficState;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::daemon::view::EndpointEntry;
use crate::daemon::view::FleetView;
use crate::decisions::admission::ThrottleClass;
use crate::decisions::placement::choose_endpoint;
use crate::decisions::placement::ChoiceReason;
use crate::decisions::placement::EndpointCandidate;
use crate::decisions::retries::RetryAllowance;
use crate::decisions::retries::RetryBudget;
use crate::observe::LogEvent;
use crate::transport::SendError;

/// Executors that were already tried for a call.
type TriedList = SmallVec<[Uuid; 4]>;

/// Runs a call at an executor; the reply has the reason if it was not run.
pub async fn dispatch(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    allowance: &mut RetryAllowance,
) -> CallReply {
    let class = throttle_class(call);
    let sample = lock(&state.rng).random_range(0.0..1.0);
    if !lock(&state.throttle).admit(state.shared.now(), &class, sample) {
        lock(&state.throttle).record_local_refusal(state.shared.now(), &class);
        return owner_dispatch::refuse(state, call, ResultCode::RefusedEarly, allowance.left())
            .await;
    }
    let reply = match call.route_entry.route.idempotent {
        true => dispatch_idempotent(state, call, allowance).await,
        false => owner_dispatch::dispatch_to_owner(state, call, allowance).await,
    };
    let now = state.shared.now();
    match is_accepted(&reply) {
        true => lock(&state.throttle).record_accept(now, &class),
        false => lock(&state.throttle).record_refusal(now, &class),
    }
    reply
}

/// Returns true unless the call was refused by overload here or downstream or its outcome is
/// unknown.
///
/// The throttle admits more calls of the same class after an accepted one.
fn is_accepted(reply: &CallReply) -> bool {
    let failed_downstream = reply.downstream_overloaded
        && reply
            .response
            .as_ref()
            .is_none_or(|response| response.status.is_server_error());
    !reply.code.is_overload() && reply.code.class() != ResultClass::Unknown && !failed_downstream
}

fn throttle_class(call: &RoutedCall) -> ThrottleClass {
    ThrottleClass {
        service: call.route_entry.service.clone(),
        importance: call.importance,
        organisation: call.identity.organisation.clone(),
    }
}

async fn dispatch_idempotent(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    allowance: &mut RetryAllowance,
) -> CallReply {
    let mut tried = TriedList::new();
    record_first_attempt(state, call);
    loop {
        let view = state.shared.view();
        let Some(target) = choose(state, &view, call, &tried) else {
            return CallReply::from_code(ResultCode::NoEndpoint, allowance.left());
        };
        let retries = allowance.split();
        let options = AttemptOptions {
            retries,
            deadline: call.deadline,
            new_connection: !tried.is_empty(),
            lookup: false,
        };
        let outcome = attempt(state, call, &target, options).await;
        tried.push(target.incarnation);
        let reply = match outcome {
            AttemptOutcome::Answered(reply) => {
                allowance.refund(reply.unspent_retries, retries);
                reply
            }
            AttemptOutcome::NotSent => {
                allowance.refund(retries, retries);
                CallReply::from_code(ResultCode::NoEndpoint, retries)
            }
            AttemptOutcome::Lost(error) => {
                log_lost_connection(&target, error);
                CallReply::from_code(error.code(), 0)
            }
        };
        if !may_retry(reply.code) || state.shared.deadlines.has_passed(call.deadline) {
            return reply;
        }
        if !spend_retry(state, call, allowance) {
            return reply;
        }
        info!(event = LogEvent::CallRetried.number(), request = %call.request_key,
            after = reply.code.number(), tried = tried.len(), left = allowance.left(),
            "call retried");
    }
}

/// Logs an attempt that got no response.
pub fn log_lost_connection(target: &EndpointEntry, error: SendError) {
    info!(event = LogEvent::ConnectionSilent.number(), executor = %target.incarnation,
        vm = %target.vm, cause = %error, "executor did not respond; connection retired");
}

fn may_retry(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Overloaded
            | ResultCode::DeadlineTooShort
            | ResultCode::EndpointShed
            | ResultCode::Stopping
            | ResultCode::NoEndpoint
            | ResultCode::NotOwner
            | ResultCode::ConnectionLost
            | ResultCode::DeadlinePassed
            | ResultCode::AnswerCut
            | ResultCode::AnswerInvalid
    )
}

fn record_first_attempt(state: &TrafficState, call: &RoutedCall) {
    with_budget(state, call, RetryBudget::record_first_attempt);
}

/// Spends one retry of the request's allowance and of the service's budget; returns false if either
/// is exhausted.
pub fn spend_retry(
    state: &TrafficState,
    call: &RoutedCall,
    allowance: &mut RetryAllowance,
) -> bool {
    if allowance.left() == 0 || !with_budget(state, call, RetryBudget::spend) {
        return false;
    }
    state.shared.metrics.record_retry(&call.route_entry.service);
    allowance.spend()
}

fn with_budget<R>(
    state: &TrafficState,
    call: &RoutedCall,
    act: impl FnOnce(&mut RetryBudget) -> R,
) -> R {
    let mut retry_budgets = lock(&state.retry_budgets);
    let budget = retry_budgets
        .entry(call.route_entry.service.clone())
        .or_insert_with(|| RetryBudget::from_percent(call.route_entry.retry_budget_percent));
    act(budget)
}

fn choose(
    state: &TrafficState,
    view: &FleetView,
    call: &RoutedCall,
    tried: &TriedList,
) -> Option<EndpointEntry> {
    let endpoints = view.services.get(&call.route_entry.service)?;
    let candidates = candidates(state, endpoints, tried);
    let choice = choose_endpoint(&candidates, &mut *lock(&state.rng))?;
    let target = &endpoints[choice.index];
    let reason = match choice.reason {
        ChoiceReason::OwnDomain => "own-domain",
        ChoiceReason::OtherDomain => "other-domain",
        ChoiceReason::LastResort => "last-resort",
    };
    info!(event = LogEvent::CallPlaced.number(), request = %call.request_key,
        service = %call.route_entry.service, chosen = %target.vm, domain = %target.failure_domain,
        candidates = candidates.len(), reason, "endpoint chosen for a call");
    Some(target.clone())
}

fn candidates(
    state: &TrafficState,
    endpoints: &[EndpointEntry],
    tried: &TriedList,
) -> SmallVec<[EndpointCandidate; 8]> {
    let now = state.shared.now();
    let own_domain = &state.shared.options.failure_domain;
    let endpoint_stats = lock(&state.endpoint_stats);
    endpoints
        .iter()
        .enumerate()
        .filter(|(_, endpoint)| !endpoint.draining && !tried.contains(&endpoint.incarnation))
        .map(|(index, endpoint)| {
            let stats = endpoint_stats.get(&endpoint.incarnation);
            EndpointCandidate {
                index,
                same_domain: endpoint.failure_domain == *own_domain,
                unhealthy: endpoint.suspect || stats.is_some_and(|stats| stats.is_avoided(now)),
                utilisation: stats.map_or(0.0, |stats| stats.utilisation(now, endpoint.slots)),
                cost: stats.map_or(0.0, |stats| stats.cost(now, endpoint.slots)),
            }
        })
        .collect()
}
