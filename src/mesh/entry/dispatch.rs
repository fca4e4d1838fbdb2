//! Dispatches an admitted request to executors, with retries at further ones.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;

use rand::rngs::SmallRng;
use smallvec::SmallVec;

use super::super::executor::CallOutcome;
use super::super::executor::CallRequest;
use super::super::executor::EndpointResponse;
use super::super::fleet::Peer;
use super::super::fleet::PeerReply;
use super::super::link::RefusalCause;
use super::super::state::MeshState;
use crate::clock::BootTime;
use crate::codes::ResultCode;
use crate::decisions::cold::joins_draw;
use crate::decisions::placement::pick_executor;
use crate::decisions::placement::CallTraits;
use crate::decisions::placement::ExecutorLoad;
use crate::observe::LogEvent;

/// Maximum number of executors tried for one request; each that refuses costs a round trip.
const MAX_EXECUTORS: usize = 3;

/// Outcome of a dispatched request.
#[derive(Debug)]
pub struct DispatchOutcome {
    pub result: Result<EndpointResponse, ResultCode>,
    /// Link address of the executor that was tried last.
    pub last_executor: Option<SocketAddrV4>,
    /// Number of executors that were tried.
    pub executors_tried: usize,
}

/// Limits on the dispatch of a request.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Maximum number of endpoints that the request is sent to.
    pub max_attempts: u32,
    /// Time until which a request waits while no executor of its service is known.
    pub first_executor_by: BootTime,
    /// Time at which the outcome is given up.
    pub until: BootTime,
}

enum ExecutorTarget {
    Local,
    Remote(Rc<Peer>),
}

/// Sends a request to executors until one responds or the limits allow no further one.
pub async fn dispatch(
    state: &MeshState,
    request: &mut CallRequest,
    attempt_id: &str,
    limits: DispatchLimits,
) -> DispatchOutcome {
    let mut tried: SmallVec<[SocketAddrV4; 4]> = SmallVec::new();
    let result = {
        let attempts = pin!(try_executors(
            state, request, attempt_id, limits, &mut tried
        ));
        state.clock.timeout_at(limits.until, attempts).await
    };
    let result = result.unwrap_or(Err(ResultCode::DeadlinePassed));
    DispatchOutcome {
        result,
        last_executor: tried.last().copied(),
        executors_tried: tried.len(),
    }
}

async fn try_executors(
    state: &MeshState,
    request: &mut CallRequest,
    attempt_id: &str,
    limits: DispatchLimits,
    tried: &mut SmallVec<[SocketAddrV4; 4]>,
) -> Result<EndpointResponse, ResultCode> {
    let mut arrivals = 0;
    let mut code = state.missing_executor_code();
    while tried.len() < MAX_EXECUTORS {
        let chosen = match choose_executor(state, request, tried) {
            None if tried.is_empty() => {
                wait_for_executor(state, request, limits.first_executor_by).await
            }
            chosen => chosen,
        };
        let (address, target) = chosen.ok_or(code)?;
        if tried.is_empty() {
            record_first_attempt(state, request);
        }
        tried.push(address);
        let reply = match target {
            ExecutorTarget::Local => run_locally(state, request).await,
            ExecutorTarget::Remote(peer) => {
                let call = state.next_call_id();
                let now = state.clock.now();
                peer.submit(call, request, now, &state.header_codec).await
            }
        };
        let may_have_run = match reply {
            PeerReply::Outcome(CallOutcome::Completed(response)) => return Ok(response),
            PeerReply::Outcome(CallOutcome::Refused(cause)) => {
                code = refusal_code(cause);
                if !cause.reached_endpoint() {
                    continue;
                }
                false
            }
            PeerReply::Outcome(CallOutcome::Unknown) | PeerReply::LinkLost => {
                code = ResultCode::ConnectionLost;
                true
            }
        };
        arrivals += 1;
        let may_retry = (request.idempotent || !may_have_run)
            && arrivals < limits.max_attempts
            && state.spend_retry(&request.service);
        if !may_retry {
            return Err(code);
        }
        request.origin.possible_duplicate |= may_have_run;
        let event = LogEvent::CallRetried.number();
        tracing::warn!(
            event,
            id = attempt_id,
            ?code,
            arrivals,
            executor = %address,
            "retrying the request at another endpoint"
        );
    }
    Err(code)
}

/// Counts the first attempt of a request in the retry budget of its service.
///
/// A nested call of a possibly duplicate run also counts as a retry, even if the budget is
/// exhausted.
fn record_first_attempt(state: &MeshState, request: &CallRequest) {
    let rule = &state.settings().repeat_rule;
    let now = state.now();
    let mut admission = state.admission.borrow_mut();
    let budget = admission.retry_budget(&request.service);
    budget.record_request(rule, now);
    if request.origin.nested && request.origin.possible_duplicate {
        budget.record_retry(rule, now);
    }
}

async fn run_locally(state: &MeshState, request: &CallRequest) -> PeerReply {
    let forwarded = Cell::new(false);
    PeerReply::Outcome(state.executor.run(request, &forwarded).await)
}

fn refusal_code(cause: RefusalCause) -> ResultCode {
    match cause {
        RefusalCause::EndpointGone | RefusalCause::EndpointReplaced => ResultCode::NoEndpoint,
        RefusalCause::QueueFull => ResultCode::Overloaded,
        RefusalCause::Expired => ResultCode::DeadlineTooShort,
        RefusalCause::Stopping => ResultCode::Stopping,
        RefusalCause::EndpointShed => ResultCode::EndpointShed,
        RefusalCause::NoMemory => ResultCode::NoMemory,
        RefusalCause::Evacuated => ResultCode::Evacuated,
    }
}

/// Waits until an executor of a service is known, at most until `until`.
///
/// Links come up a moment after a daemon has started, and the endpoints of a service may all be
/// replaced at once.
async fn wait_for_executor(
    state: &MeshState,
    request: &CallRequest,
    until: BootTime,
) -> Option<(SocketAddrV4, ExecutorTarget)> {
    loop {
        let changed = state.executors_changed.notified();
        if let Some(chosen) = choose_executor(state, request, &[]) {
            return Some(chosen);
        }
        state.clock.timeout_at(until, changed).await?;
    }
}

fn choose_executor(
    state: &MeshState,
    request: &CallRequest,
    tried: &[SocketAddrV4],
) -> Option<(SocketAddrV4, ExecutorTarget)> {
    let service = &*request.service;
    let traits = CallTraits {
        idempotent: request.idempotent,
        repeated: !tried.is_empty(),
    };
    let settings = state.settings();
    let own_address = settings.link_address;
    let may_run_here = !state.is_stopping() && !tried.contains(&own_address);
    let own_load = state.executor_load(service).filter(|_| may_run_here);
    state.with_executors(service, |peers| {
        let mut loads: SmallVec<[ExecutorLoad; 16]> = SmallVec::new();
        // The peer of each entry in `loads`, or none for this daemon.
        let mut candidates: SmallVec<[Option<&Rc<Peer>>; 16]> = SmallVec::new();
        for peer in peers.iter().filter(|peer| !tried.contains(&peer.address)) {
            let load = peer.with_report(|report| {
                report.endpoint.as_ref().map(|endpoint| ExecutorLoad {
                    in_hand: peer.load(),
                    slots: endpoint.slots,
                    cold: endpoint.cold,
                    rated: endpoint.rated,
                    same_domain: peer.is_in_domain(&settings.failure_domain),
                    silent: peer.is_silent(),
                    outlier: peer.outlier_mark.get(),
                })
            });
            if let Some(Some(load)) = load {
                loads.push(load);
                candidates.push(Some(peer));
            }
        }
        if let Some(load) = own_load {
            loads.push(load);
            candidates.push(None);
        }
        let index = pick_index(&loads, traits, &mut state.rng.borrow_mut())?;
        if loads[index].outlier.set_aside {
            state.outliers.count_call();
        }
        Some(match candidates[index] {
            Some(peer) => (peer.address, ExecutorTarget::Remote(peer.clone())),
            None => (own_address, ExecutorTarget::Local),
        })
    })
}

/// Picks an executor among those that take part in the choice for this call: cold endpoints only do so in
/// proportion to what they take. If none takes part, all do.
fn pick_index(loads: &[ExecutorLoad], traits: CallTraits, rng: &mut SmallRng) -> Option<usize> {
    if !loads.iter().any(|load| load.rated) {
        return pick_executor(loads, traits, rng);
    }
    let in_hand: u32 = loads.iter().map(|load| load.in_hand).sum();
    let mut drawn: SmallVec<[usize; 16]> = SmallVec::new();
    for (index, load) in loads.iter().enumerate() {
        if !load.rated || joins_draw(load.slots, in_hand, rng) {
            drawn.push(index);
        }
    }
    if drawn.is_empty() {
        return pick_executor(loads, traits, rng);
    }
    let taking_part: SmallVec<[ExecutorLoad; 16]> = drawn.iter().map(|one| loads[*one]).collect();
    Some(drawn[pick_executor(&taking_part, traits, rng)?])
}
