//! Dispatch of non-idempotent requests to the one daemon that owns them.
//!
//! A request may be sent to its owner more than once, since the owner's journal joins repeats; it is
//! never sent to anyone else for the same birth time. See `docs/design/at-most-once.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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
use crate::daemon::view::EndpointEntry;
use crate::daemon::view::FleetView;
use crate::decisions::ownership::slot_of;
use crate::decisions::ownership::SlotOwner;
use crate::decisions::retries::RetryAllowance;
use crate::observe::LogEvent;

/// Pause before the owner is looked up again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);

/// How long an owner is looked for to confirm a refusal.
const CONFIRM_TIME: Duration = Duration::from_millis(1_000);

/// The slot of a request within its service.
pub fn request_slot(organisation: &str, key: Uuid) -> u32 {
    slot_of(&[organisation.as_bytes(), key.as_bytes()])
}

/// What is known of a request while its owner is looked for.
#[derive(Debug)]
struct OwnedSearch {
    request_key: Uuid,
    birth_ms: u64,
    /// A try may have reached an owner.
    handed_over: bool,
    /// The reply to give when the time is over.
    last: ResultCode,
}

/// Runs a non-idempotent request at its owner, or says what is known.
pub async fn dispatch_to_owner(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    allowance: &mut RetryAllowance,
) -> CallReply {
    let mut search = OwnedSearch {
        request_key: call.request_key,
        birth_ms: call.birth_ms,
        handed_over: false,
        last: ResultCode::NoOwner,
    };
    loop {
        let view = state.shared.view();
        match find_owner(&view, call, &search) {
            OwnerPlace::Reachable(target) => {
                let reply = try_owner(state, call, &target, allowance, &mut search).await;
                if let Some(reply) = reply {
                    return reply;
                }
            }
            OwnerPlace::Gone => {
                let reply = owner_gone(call, &mut search);
                if let Some(code) = reply {
                    return CallReply::from_code(code, allowance.left());
                }
            }
            OwnerPlace::Nobody => search.last = ResultCode::NoOwner,
            OwnerPlace::Forgotten => {
                return CallReply::from_code(ResultCode::RequestTooOld, allowance.left());
            }
        }
        if Instant::now() + LOOKUP_PAUSE >= call.deadline {
            let code = out_of_time(call, &search);
            return CallReply::from_code(code, allowance.left());
        }
        tokio::time::sleep(LOOKUP_PAUSE).await;
    }
}

/// Refuses a request that this entry will not send on.
///
/// A caller may repeat a request that has run before, so "not run" is said of a non-idempotent
/// request with a key of its caller's only when the owner has never seen it. If the owner knows it,
/// its answer goes before the refusal; if the owner can't be asked, the outcome is unknown.
pub async fn refuse(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    refusal: ResultCode,
    unspent_retries: u32,
) -> CallReply {
    if call.generated_key || call.route_entry.route.idempotent {
        return CallReply::from_code(refusal, unspent_retries);
    }
    let search = OwnedSearch {
        request_key: call.request_key,
        birth_ms: call.birth_ms,
        handed_over: true,
        last: refusal,
    };
    let give_up = call.deadline.min(Instant::now() + CONFIRM_TIME);
    while Instant::now() < give_up {
        if let OwnerPlace::Reachable(target) = find_owner(&state.shared.view(), call, &search) {
            let options = AttemptOptions {
                retries: 0,
                deadline: call.deadline,
                fresh_connection: false,
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
        tokio::time::sleep(LOOKUP_PAUSE).await;
    }
    CallReply::from_code(ResultCode::OwnerUnreached, unspent_retries)
}

/// Where the owner of a request is.
enum OwnerPlace {
    Reachable(EndpointEntry),
    Gone,
    Nobody,
    Forgotten,
}

fn find_owner(view: &FleetView, call: &RoutedCall, search: &OwnedSearch) -> OwnerPlace {
    let Some(chain) = view.ownership.chain(&call.route_entry.service) else {
        return OwnerPlace::Nobody;
    };
    let slot = request_slot(&call.identity.organisation, search.request_key);
    let (owner, number) = match chain.owner(slot, search.birth_ms) {
        SlotOwner::Settled { owner, number } | SlotOwner::Current { owner, number } => {
            (owner, number)
        }
        SlotOwner::Forgotten => return OwnerPlace::Forgotten,
        SlotOwner::Unassigned => return OwnerPlace::Nobody,
    };
    let found = view.daemons.get(&owner);
    info!(event = LogEvent::CallOwned.number(), request = %search.request_key,
        service = %call.route_entry.service, slot, epoch = number, owner = %owner,
        chosen = found.map_or("", |target| target.vm.as_str()),
        reason = "owner of the slot and birth time", "call owned");
    match found {
        Some(target) => OwnerPlace::Reachable(target.clone()),
        None => OwnerPlace::Gone,
    }
}

async fn try_owner(
    state: &Arc<TrafficState>,
    call: &RoutedCall,
    target: &EndpointEntry,
    allowance: &mut RetryAllowance,
    search: &mut OwnedSearch,
) -> Option<CallReply> {
    let retries = allowance.split();
    let options = AttemptOptions {
        retries,
        deadline: call.deadline,
        fresh_connection: search.handed_over,
        lookup: false,
    };
    let sent = with_birth(call, search);
    match attempt(state, &sent, target, options).await {
        AttemptOutcome::Answered(reply) => {
            allowance.give_back(reply.unspent_retries, retries);
            let moved_on = matches!(reply.code, ResultCode::NotOwner | ResultCode::Stopping);
            if !moved_on {
                return Some(reply);
            }
            search.last = reply.code;
            renew_birth(call, search);
            None
        }
        AttemptOutcome::NotSent => {
            allowance.give_back(retries, retries);
            renew_birth(call, search);
            search.last = ResultCode::NoEndpoint;
            None
        }
        AttemptOutcome::Lost(error) => {
            dispatch::log_lost_connection(target, error);
            search.handed_over = true;
            search.last = error.code();
            None
        }
    }
}

/// The owner that may have run the request is gone, unless nothing was ever handed to it.
fn owner_gone(call: &RoutedCall, search: &mut OwnedSearch) -> Option<ResultCode> {
    if search.handed_over || !call.generated_key {
        // A later epoch may still cover a birth that no one owned finally.
        search.last = ResultCode::OwnerGone;
        return None;
    }
    renew_birth(call, search);
    search.last = ResultCode::NoEndpoint;
    None
}

/// A request whose key was made here and that no one has seen may be born again, later.
fn renew_birth(call: &RoutedCall, search: &mut OwnedSearch) {
    if !call.generated_key || search.handed_over {
        return;
    }
    let key = Uuid::now_v7();
    search.request_key = key;
    search.birth_ms = key_birth_ms(key).unwrap_or(search.birth_ms);
}

fn out_of_time(call: &RoutedCall, search: &OwnedSearch) -> ResultCode {
    let never_ran = call.generated_key && !search.handed_over;
    match search.last {
        ResultCode::NoOwner => ResultCode::NoOwner,
        last if never_ran => last,
        ResultCode::NotOwner | ResultCode::Stopping | ResultCode::NoEndpoint => {
            ResultCode::OwnerUnreached
        }
        last => last,
    }
}

fn with_birth(call: &RoutedCall, search: &OwnedSearch) -> RoutedCall {
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
