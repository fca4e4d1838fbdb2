//! Whether a request may enter: its route, its key, its organisation's quota and its class's share.

use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use rand::Rng;
use tokio::time::Instant;

use super::super::fleet::hash_name;
use super::super::fleet::OrganisationRule;
use super::super::fleet::RouteRule;
use super::super::fleet::RouteTable;
use super::super::link::CallOrigin;
use super::super::state::MeshState;
use super::headers;
use crate::codes::ResultCode;
use crate::decisions::roots::ClassKey;

/// A new request waits for a slot for at most this part of its latency target; then it is refused
/// while its caller can still come back in time.
const QUEUE_TIMEOUT_FRACTION: f64 = 0.125;
/// A call waits for a slot for at most this part of the time that is left. Trees make several calls
/// in turn, and one that waits longer only fails later.
const NESTED_QUEUE_TIMEOUT_FRACTION: f64 = 0.3;
/// A refused request comes back within this part of its latency target, to be answered in the rest.
const RETRY_AFTER_TARGET_FRACTION: f64 = 0.5;
/// Callers take a time to come back of up to this part of the time that they have left.
const RETRY_AFTER_REMAINING_FRACTION: f64 = 1.0 / 3.0;
/// Returns are spread over this part of that time.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.4..1.0;
/// Ranks of organisations and of routes are below this; an organisation's goes first.
const RANK_COUNT: u8 = 16;

/// A request that may go to a service.
#[derive(Debug)]
pub struct AdmittedRequest {
    pub service: Rc<str>,
    pub idempotent: bool,
    pub organisation: Option<String>,
    pub route: String,
    pub origin: CallOrigin,
    /// The request at the endpoint on this VM that made this call.
    pub parent: Option<u64>,
    pub deadline: Instant,
    pub queue_timeout: Duration,
    pub max_attempts: u32,
    pub latency_target: Duration,
}

/// A request that doesn't enter.
#[derive(Debug)]
pub struct RefusedRequest {
    pub code: ResultCode,
    /// Time after which the caller may find room.
    pub retry_after: Option<Duration>,
    /// The share that was dealt to the request's class.
    pub share: f64,
    /// Levels of the organisation's bucket and of this daemon's own part, if the quota refused it.
    pub quota: Option<(f64, f64)>,
    pub route: String,
    pub organisation: String,
}

/// Decides about a request that arrived at `arrived`.
pub fn admit(
    state: &MeshState,
    routes: &RouteTable,
    path: &str,
    headers: &HeaderMap,
    arrived: Instant,
) -> Result<AdmittedRequest, Box<RefusedRequest>> {
    let Some(route) = routes.find_route(headers::host(headers), path) else {
        return Err(refused(ResultCode::NoRoute, None, ""));
    };
    let organisation = find_organisation(state, routes, route, headers)?;
    let caller_timeout = headers::caller_timeout(&state.header_names, headers);
    let time = caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let own_deadline = arrived + caller_timeout.unwrap_or(route.timeout);
    let attempt = headers::attempt_id(&state.header_names, headers);
    let (parent, origin) = find_origin(state, route, organisation, own_deadline, attempt);
    let refuse = |code, share| {
        let left = caller_timeout.unwrap_or(route.timeout);
        let retry_after = retry_after(state, route.latency_target, left);
        let over_rate = organisation.filter(|_| code == ResultCode::OverRate);
        let quota = over_rate.and_then(|one| state.admission.borrow().quota_levels(&one.name));
        Err(Box::new(RefusedRequest {
            code,
            retry_after: Some(retry_after),
            share,
            quota,
            route: route.name.clone(),
            organisation: organisation.map_or(String::new(), |one| one.name.clone()),
        }))
    };
    if let Some(owner) = organisation.filter(|_| !origin.nested) {
        if !within_quota(state, owner) {
            return refuse(ResultCode::OverRate, 1.0);
        }
    }
    if !origin.nested {
        let mut admission = state.admission.borrow_mut();
        if !admission.admit_class(origin.class) {
            return refuse(ResultCode::RefusedEarly, admission.class_share(origin.class));
        }
    }
    let service = route.pick_service(&mut *state.rng.borrow_mut());
    let Some(service) = service else {
        return refuse(ResultCode::NoEndpoint, 1.0);
    };
    let queue_timeout = if origin.nested {
        time.mul_f64(NESTED_QUEUE_TIMEOUT_FRACTION)
    } else {
        route.latency_target.mul_f64(QUEUE_TIMEOUT_FRACTION)
    };
    Ok(AdmittedRequest {
        service: service.service.clone(),
        idempotent: route.idempotent,
        organisation: organisation.map(|one| one.name.clone()),
        route: route.name.clone(),
        origin,
        parent,
        deadline: arrived + time,
        queue_timeout,
        max_attempts: route.max_attempts,
        latency_target: route.latency_target,
    })
}

fn within_quota(state: &MeshState, owner: &OrganisationRule) -> bool {
    let Some(rule) = &owner.quota else {
        return true;
    };
    let tolerance = state.settings().quota_tolerance;
    let daemons = state.fleet_size();
    let mut admission = state.admission.borrow_mut();
    admission.admit_organisation(&owner.name, rule, &tolerance, daemons, state.now())
}

fn find_organisation<'a>(
    state: &MeshState,
    routes: &'a RouteTable,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<&'a OrganisationRule>, Box<RefusedRequest>> {
    let key = headers::bearer_key(headers);
    let organisation = key.and_then(|key| routes.find_organisation(key));
    let tenanted = !routes.config().organisations.is_empty();
    if route.allows_anonymous || !tenanted {
        return Ok(organisation);
    }
    if state.proof_expired() {
        let wait = state.settings().proof_age_limit / 4;
        return Err(refused(ResultCode::CutOff, Some(wait), &route.name));
    }
    match (key, organisation) {
        (None, _) => Err(refused(ResultCode::KeyMissing, None, &route.name)),
        (Some(_), None) => Err(refused(ResultCode::KeyRefused, None, &route.name)),
        (Some(_), found) => Ok(found),
    }
}

/// A call of the endpoint on this VM carries its parent's origin on; all else begins here.
fn find_origin(
    state: &MeshState,
    route: &RouteRule,
    organisation: Option<&OrganisationRule>,
    deadline: Instant,
    attempt: &str,
) -> (Option<u64>, CallOrigin) {
    let keyless = route.allows_anonymous && organisation.is_none();
    if keyless {
        if let Some((number, parent)) = state.executor.find_parent(deadline, attempt) {
            let origin = CallOrigin {
                nested: true,
                ..parent
            };
            return (Some(number), origin);
        }
    }
    let owner_rank = organisation.and_then(|one| one.rank).unwrap_or(route.rank);
    let rank = owner_rank.min(RANK_COUNT - 1) * RANK_COUNT + route.rank.min(RANK_COUNT - 1);
    let origin = CallOrigin {
        class: ClassKey {
            // A call whose request isn't known belongs to admitted work and goes first.
            rank: if keyless { 0 } else { rank },
            route: hash_name(&route.name),
        },
        nested: keyless,
        possible_duplicate: false,
    };
    (None, origin)
}

/// When to come back: soon enough to be answered within the latency target, and spread, so that the
/// refused don't return together.
pub fn retry_after(state: &MeshState, target: Duration, left: Duration) -> Duration {
    let latest = target.mul_f64(RETRY_AFTER_TARGET_FRACTION).min(left.mul_f64(RETRY_AFTER_REMAINING_FRACTION));
    let part = state.rng.borrow_mut().random_range(RETRY_AFTER_JITTER);
    latest.mul_f64(part)
}

fn refused(code: ResultCode, retry_after: Option<Duration>, route: &str) -> Box<RefusedRequest> {
    Box::new(RefusedRequest {
        code,
        retry_after,
        share: 1.0,
        quota: None,
        route: route.to_owned(),
        organisation: String::new(),
    })
}
