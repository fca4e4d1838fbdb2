//! Dispatches non-idempotent requests to the daemon that owns them.
//!
//! A request may be sent to its owner more than once, since the owner's dedup table recognises
//! repeats. With the same birth time it is never sent to another daemon. See
//! `docs/design/at-most-once.md`.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tracing::info;
use uuid::Uuid;

use super::attempt::attempt;
use super::attempt::AttemptOptions;
use super::attempt::AttemptOutcome;
use super::dispatch;
use super::entry::RoutedCall;
use super::reply::CallReply;
use super::request::key_birth_ms;
use super::state::TrafficState;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::daemon::view::EndpointEntry;
use crate::daemon::view::FleetView;
use crate::decisions::ownership::slot_of;
use crate::decisions::ownership::SlotOwner;
use crate::decisions::retries::RetryAllowance;
use crate::observe::LogEvent;

/// Pause between two lookups of the owner.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before a request is sent again to an owner whose queue was full.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(200);
/// Random factor on the pause, so that refused requests don't return together.
const OVERLOAD_PAUSE_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// Maximum time that a refusal waits for the owner's confirmation that it has not seen the request.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the slot of a request within its service.
pub fn request_slot(organisation: &str, key: Uuid) -> u32 {
    slot_of(&[organisation.as_bytes(), key.as_bytes()])
}

/// State of the search for a request's owner.
#[derive(Debug)]
struct OwnerSearch {
    request_key: Uuid,
    birth_ms: u64,
    /// True if an attempt may have reached an owner.
    may_have_reached_owner: bool,
    /// Code of the latest failure, for the reply after the deadline.
    last_code: ResultCode,
}

/// Runs a non-idempotent request at its owner; the reply says what is known if that fails.
pub async fn dispatch_to_owner(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    allowance: &mut RetryAllowance,
) -> CallReply {
    let mut search = OwnerSearch {
        request_key: call.request_key,
        birth_ms: call.birth_ms,
        may_have_reached_owner: false,
        last_code: ResultCode::NoOwner,
    };
    let deadlines = &state.shared.deadlines;
    loop {
        let view = state.shared.view();
        match find_owner(&view, call, &search) {
            OwnerLookup::Reachable(target) => {
                let reply = try_owner(state, call, &target, allowance, &mut search).await;
                if let Some(reply) = reply {
                    return reply;
                }
            }
            OwnerLookup::Dead => {
                let reply = handle_dead_owner(call, &mut search);
                if let Some(code) = reply {
                    return CallReply::from_code(code, allowance.left());
                }
            }
            OwnerLookup::Unassigned => search.last_code = ResultCode::NoOwner,
            OwnerLookup::Expired => {
                return CallReply::from_code(ResultCode::RequestTooOld, allowance.left());
            }
        }
        if deadlines.remaining(call.deadline) <= LOOKUP_INTERVAL {
            let code = timeout_code(call, &search);
            return CallReply::from_code(code, allowance.left());
        }
        tokio::time::sleep(LOOKUP_INTERVAL).await;
    }
}

/// Refuses a request that this entry does not dispatch.
///
/// The request may be a repeat of one that has run. So a non-idempotent request with a caller's key
/// is refused as *not run* only if its owner has not seen it. If the owner knows the request, its
/// reply is returned instead of the refusal; if the owner can't be asked, the outcome is unknown.
pub async fn refuse(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    refusal: ResultCode,
    unspent_retries: u32,
) -> CallReply {
    if call.generated_key || call.route_entry.route.idempotent {
        return CallReply::from_code(refusal, unspent_retries);
    }
    let search = OwnerSearch {
        request_key: call.request_key,
        birth_ms: call.birth_ms,
        may_have_reached_owner: true,
        last_code: refusal,
    };
    let deadlines = &state.shared.deadlines;
    let confirm_deadline = call.deadline.min(deadlines.now() + CONFIRM_TIMEOUT);
    while !deadlines.has_passed(confirm_deadline) {
        if let OwnerLookup::Reachable(target) = find_owner(&state.shared.view(), call, &search) {
            let options = AttemptOptions {
                retries: 0,
                deadline: call.deadline,
                new_connection: false,
                lookup: true,
            };
            match attempt(state, call, &target, options).await {
                AttemptOutcome::Answered(reply) if reply.code == ResultCode::NeverSeen => {
                    return CallReply::from_code(refusal, unspent_retries);
                }
                AttemptOutcome::Answered(reply) if reply.code != ResultCode::NotOwner => {
                    return reply;
                }
                _ => {}
            }
        }
        tokio::time::sleep(LOOKUP_INTERVAL).await;
    }
    CallReply::from_code(ResultCode::OwnerUnreached, unspent_retries)
}

/// Result of looking up the owner of a request.
enum OwnerLookup {
    Reachable(EndpointEntry),
    /// The owner is not among the live daemons.
    Dead,
    /// No epoch assigns the slot yet.
    Unassigned,
    /// The birth time is before the oldest known epoch.
    Expired,
}

fn find_owner(view: &FleetView, call: &RoutedCall, search: &OwnerSearch) -> OwnerLookup {
    let Some(chain) = view.ownership.chain(&call.route_entry.service) else {
        return OwnerLookup::Unassigned;
    };
    let slot = request_slot(&call.identity.organisation, search.request_key);
    let (owner, number) = match chain.owner(slot, search.birth_ms) {
        SlotOwner::Settled { owner, number } | SlotOwner::Current { owner, number } => {
            (owner, number)
        }
        SlotOwner::Expired => return OwnerLookup::Expired,
        SlotOwner::Unassigned => return OwnerLookup::Unassigned,
    };
    let found = view.daemons.get(&owner);
    info!(event = LogEvent::CallOwned.number(), request = %search.request_key,
        service = %call.route_entry.service, slot, epoch = number, owner = %owner,
        chosen = found.map_or("", |target| target.vm.as_str()),
        reason = "owner of the slot and birth time", "owner of a request looked up");
    match found {
        Some(target) => OwnerLookup::Reachable(target.clone()),
        None => OwnerLookup::Dead,
    }
}

async fn try_owner(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    target: &EndpointEntry,
    allowance: &mut RetryAllowance,
    search: &mut OwnerSearch,
) -> Option<CallReply> {
    let retries = allowance.split();
    let options = AttemptOptions {
        retries,
        deadline: call.deadline,
        new_connection: search.may_have_reached_owner,
        lookup: false,
    };
    let keyed_call = with_request_key(call, search);
    match attempt(state, &keyed_call, target, options).await {
        AttemptOutcome::Answered(reply) => {
            allowance.refund(reply.unspent_retries, retries);
            let owner_refused = matches!(reply.code, ResultCode::NotOwner | ResultCode::Stopping);
            // Only this owner may run the request, and its queue is often full only for a moment:
            // after an ownership change it gets at once what waited for the change.
            let retries_later = reply.code == ResultCode::Overloaded
                && state.shared.deadlines.remaining(call.deadline) > OVERLOAD_PAUSE
                && dispatch::spend_retry(state, call, allowance);
            if !owner_refused && !retries_later {
                return Some(reply);
            }
            if retries_later {
                let jitter = lock(&state.rng).random_range(OVERLOAD_PAUSE_JITTER);
                tokio::time::sleep(OVERLOAD_PAUSE.mul_f64(jitter)).await;
            }
            search.last_code = reply.code;
            renew_request_key(call, search);
            None
        }
        AttemptOutcome::NotSent => {
            allowance.refund(retries, retries);
            renew_request_key(call, search);
            search.last_code = ResultCode::NoEndpoint;
            None
        }
        AttemptOutcome::Lost(error) => {
            dispatch::log_lost_connection(target, error);
            search.may_have_reached_owner = true;
            search.last_code = error.code();
            None
        }
    }
}

/// Handles the death of the owner: it may have run the request unless the key was generated here
/// and no attempt can have reached an owner.
fn handle_dead_owner(call: &RoutedCall, search: &mut OwnerSearch) -> Option<ResultCode> {
    if search.may_have_reached_owner || !call.generated_key {
        // The next epoch may still start before the birth time and assign it to another owner.
        search.last_code = ResultCode::OwnerGone;
        return None;
    }
    renew_request_key(call, search);
    search.last_code = ResultCode::NoEndpoint;
    None
}

/// Generates a new request key, with a later birth time, if no owner can have seen the old one.
fn renew_request_key(call: &RoutedCall, search: &mut OwnerSearch) {
    if !call.generated_key || search.may_have_reached_owner {
        return;
    }
    let key = Uuid::now_v7();
    search.request_key = key;
    search.birth_ms = key_birth_ms(key).unwrap_or(search.birth_ms);
}

/// Returns the code of a request whose deadline passed before its owner replied.
fn timeout_code(call: &RoutedCall, search: &OwnerSearch) -> ResultCode {
    let cannot_have_run = call.generated_key && !search.may_have_reached_owner;
    match search.last_code {
        ResultCode::NoOwner => ResultCode::NoOwner,
        last_code if cannot_have_run => last_code,
        ResultCode::NotOwner | ResultCode::Stopping | ResultCode::NoEndpoint => {
            ResultCode::OwnerUnreached
        }
        last_code => last_code,
    }
}

fn with_request_key(call: &RoutedCall, search: &OwnerSearch) -> RoutedCall {
    RoutedCall {
        request: call.request.clone(),
        fingerprint: call.fingerprint,
        route_entry: call.route_entry.clone(),
        identity: call.identity.clone(),
        importance: call.importance,
        request_key: search.request_key,
        birth_ms: search.birth_ms,
        generated_key: call.generated_key,
        deadline: call.deadline,
        depth: call.depth,
    }
}
