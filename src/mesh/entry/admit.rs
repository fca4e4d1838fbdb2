//! Admission of a request by its route, API key, organisation's quota and class's share.

use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use rand::Rng;

use super::super::fleet::hash_name;
use super::super::fleet::OrganisationRule;
use super::super::fleet::RouteRule;
use super::super::fleet::RouteTable;
use super::super::fleet::RANK_COUNT;
use super::super::link::CallOrigin;
use super::super::state::MeshState;
use super::headers;
use crate::clock::BootTime;
use crate::codes::ResultCode;
use crate::decisions::root_admission::ClassKey;

/// Queue timeout of a new request, as a fraction of its latency target. It is short so that a
/// refused caller can still retry within the target.
const QUEUE_TIMEOUT_FRACTION: f64 = 0.125;
/// Queue timeout of a nested call, as a fraction of the time until its deadline. A request makes
/// several calls in sequence, so one that waits longer would only fail later.
const NESTED_QUEUE_TIMEOUT_FRACTION: f64 = 0.3;
/// Upper bound of `Retry-After`, as a fraction of the latency target. The rest of the target is
/// left for the retried request.
const RETRY_AFTER_TARGET_FRACTION: f64 = 0.5;
/// Upper bound of `Retry-After`, as a fraction of the time until the caller's timeout. Callers
/// accept no longer delay.
const RETRY_AFTER_REMAINING_FRACTION: f64 = 1.0 / 3.0;
/// Random factor on the upper bound of `Retry-After`, so that refused callers don't retry together.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.4..1.0;
/// A request that was admitted, with what its dispatch needs.
#[derive(Debug)]
pub struct AdmittedRequest {
    pub service: Rc<str>,
    pub idempotent: bool,
    pub organisation: Option<String>,
    /// True if the request took a token of its organisation.
    pub charged: bool,
    pub route: String,
    pub origin: CallOrigin,
    /// Identifier of the request at the endpoint on this VM that made this call.
    pub parent: Option<u64>,
    pub deadline: BootTime,
    /// Time from the arrival to the deadline.
    pub timeout: Duration,
    pub queue_timeout: Duration,
    pub max_attempts: u32,
    pub latency_target: Duration,
}

/// A request that was not admitted, with the reason.
#[derive(Debug)]
pub struct RefusedRequest {
    pub code: ResultCode,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Share of the requests of this class that are admitted.
    pub share: f64,
    /// Levels of the organisation's token bucket and of this daemon's part of it, if the quota
    /// refused the request.
    pub quota_levels: Option<(f64, f64)>,
    /// Requests a second that all daemons ask of the quota, and its rate, if it refused the request.
    pub quota_demand: Option<(f64, f64)>,
    pub route: String,
    pub organisation: String,
}

/// Admits or refuses a request that arrived at `arrived`.
///
/// # Errors
///
/// Returns the refused request if no route matches, its key is missing or unknown, the proof of the
/// configuration has expired, the organisation's quota or the class's share is exhausted, or the
/// route has no service.
pub fn admit(
    state: &MeshState,
    routes: &RouteTable,
    path: &str,
    headers: &HeaderMap,
    arrived: BootTime,
) -> Result<AdmittedRequest, Box<RefusedRequest>> {
    let Some(route) = routes.find_route(headers::host(headers), path) else {
        return Err(refused_request(ResultCode::NoRoute, None, ""));
    };
    let organisation = find_organisation(state, routes, route, headers)?;
    let caller_timeout = headers::caller_timeout(&state.header_names, headers);
    let timeout = caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let caller_deadline = arrived + caller_timeout.unwrap_or(route.timeout);
    let attempt_id = headers::attempt_id(&state.header_names, headers);
    let (parent, origin) = find_origin(state, route, organisation, caller_deadline, attempt_id);
    let refuse = |code, share| {
        let remaining = caller_timeout.unwrap_or(route.timeout);
        let retry_after = retry_after(state, route.latency_target, remaining);
        let over_rate = organisation.filter(|_| code == ResultCode::OverRate);
        let quota_levels =
            over_rate.and_then(|rule| state.admission.borrow().quota_levels(&rule.name));
        Err(Box::new(RefusedRequest {
            code,
            retry_after: Some(retry_after),
            share,
            quota_levels,
            quota_demand: over_rate.and_then(|rule| quota_demand(state, rule)),
            route: route.name.clone(),
            organisation: organisation.map_or(String::new(), |rule| rule.name.clone()),
        }))
    };
    // A nested call belongs to a request that was charged where it entered.
    let charged_rule = organisation.filter(|rule| !origin.nested && rule.quota.is_some());
    // The class decides first, so that a request that it refuses takes no token.
    if !origin.nested && !state.admission.borrow_mut().admit_class(origin.class) {
        let share = state.admission.borrow().class_share(origin.class);
        return refuse(ResultCode::RefusedEarly, share);
    }
    if let Some(rule) = charged_rule {
        if !within_quota(state, rule, origin.class) {
            let mut admission = state.admission.borrow_mut();
            admission.return_class(origin.class);
            let share = admission.class_share(origin.class);
            drop(admission);
            return refuse(ResultCode::OverRate, share);
        }
    }
    let weighted = route.pick_service(&mut *state.rng.borrow_mut());
    let Some(weighted) = weighted else {
        if let Some(rule) = charged_rule {
            let mut admission = state.admission.borrow_mut();
            admission.refund_organisation(&rule.name);
        }
        return refuse(ResultCode::NoEndpoint, 1.0);
    };
    let queue_timeout = if origin.nested {
        timeout.mul_f64(NESTED_QUEUE_TIMEOUT_FRACTION)
    } else {
        route.latency_target.mul_f64(QUEUE_TIMEOUT_FRACTION)
    };
    Ok(AdmittedRequest {
        service: weighted.service.clone(),
        idempotent: route.idempotent,
        organisation: organisation.map(|rule| rule.name.clone()),
        charged: charged_rule.is_some(),
        route: route.name.clone(),
        origin,
        parent,
        deadline: arrived + timeout,
        timeout,
        queue_timeout,
        max_attempts: route.max_attempts,
        latency_target: route.latency_target,
    })
}

/// Charges a request that its class admitted and returns true if the quota had room for it.
fn within_quota(state: &MeshState, rule: &OrganisationRule, class: ClassKey) -> bool {
    let Some(quota) = &rule.quota else {
        return true;
    };
    let tolerance = state.settings().quota_tolerance;
    let daemons = state.fleet_size();
    let sample = state.rng.borrow_mut().random_range(0.0..1.0);
    let mut admission = state.admission.borrow_mut();
    !admission.exceeds_class_part(&rule.name, quota, &tolerance, class, sample)
        && admission.admit_organisation(&rule.name, quota, &tolerance, daemons, sample, state.now())
}

/// Returns the requests a second that all daemons ask of a quota, and its rate, for log lines.
fn quota_demand(state: &MeshState, rule: &OrganisationRule) -> Option<(f64, f64)> {
    let demand = state.admission.borrow().quota_demand(&rule.name)?;
    Some((demand, rule.quota?.rate))
}

fn find_organisation<'a>(
    state: &MeshState,
    routes: &'a RouteTable,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<&'a OrganisationRule>, Box<RefusedRequest>> {
    let key = headers::bearer_key(headers);
    let organisation = key.and_then(|key| routes.find_organisation(key));
    let has_organisations = !routes.config().organisations.is_empty();
    let needs_key = has_organisations && !route.allows_anonymous;
    if !needs_key && organisation.is_none() {
        return Ok(None);
    }
    // The key may have been withdrawn. On an open route it still names its organisation.
    if state.proof_expired() {
        let retry_after = state.settings().proof_limits.keys / 4;
        return Err(refused_request(
            ResultCode::CutOff,
            Some(retry_after),
            &route.name,
        ));
    }
    match (key, organisation) {
        (_, Some(rule)) => Ok(Some(rule)),
        (None, _) => Err(refused_request(ResultCode::KeyMissing, None, &route.name)),
        (Some(_), None) => Err(refused_request(ResultCode::KeyRefused, None, &route.name)),
    }
}

/// Returns the parent of a nested call, if it is known, and the origin of the call or request.
///
/// A call from the endpoint on this VM inherits the origin of its parent. Any other request is the
/// root of a new call graph.
fn find_origin(
    state: &MeshState,
    route: &RouteRule,
    organisation: Option<&OrganisationRule>,
    deadline: BootTime,
    attempt_id: &str,
) -> (Option<u64>, CallOrigin) {
    let keyless = route.allows_anonymous && organisation.is_none();
    if keyless {
        if let Some((parent, parent_origin)) = state.executor.find_parent(deadline, attempt_id) {
            let origin = CallOrigin {
                nested: true,
                ..parent_origin
            };
            return (Some(parent), origin);
        }
    }
    let organisation_rank = organisation
        .and_then(|rule| rule.rank)
        .unwrap_or(route.rank);
    let rank = combine_ranks(organisation_rank, route.rank);
    let origin = CallOrigin {
        class: ClassKey {
            // A nested call whose parent isn't known belongs to admitted work and is served first.
            rank: if keyless { 0 } else { rank },
            route: hash_name(&route.name),
        },
        nested: keyless,
        possible_duplicate: false,
    };
    (None, origin)
}

/// Combines the ranks of an organisation and of a route into one, in which the organisation's is the more
/// significant.
fn combine_ranks(organisation_rank: u32, route_rank: u32) -> u8 {
    let last = RANK_COUNT - 1;
    (organisation_rank.min(last) * RANK_COUNT + route_rank.min(last)) as u8
}

/// Returns the time after which a refused caller should retry: soon enough for a response within
/// the latency target, and with jitter so that refused callers don't retry together.
pub fn retry_after(state: &MeshState, latency_target: Duration, remaining: Duration) -> Duration {
    let latest = latency_target
        .mul_f64(RETRY_AFTER_TARGET_FRACTION)
        .min(remaining.mul_f64(RETRY_AFTER_REMAINING_FRACTION));
    let jitter = state.rng.borrow_mut().random_range(RETRY_AFTER_JITTER);
    latest.mul_f64(jitter)
}

fn refused_request(
    code: ResultCode,
    retry_after: Option<Duration>,
    route: &str,
) -> Box<RefusedRequest> {
    Box::new(RefusedRequest {
        code,
        retry_after,
        share: 1.0,
        quota_levels: None,
        quota_demand: None,
        route: route.to_owned(),
        organisation: String::new(),
    })
}
