//! Selects an endpoint of a service by the power of two choices.
//!
//! Two endpoints are drawn at random and the one with the lower cost is selected, so that a stale
//! report of an idle endpoint does not attract all calls (Mitzenmacher, *The Power of Two Choices
//! in Randomized Load Balancing*).

use rand::Rng;
use smallvec::SmallVec;

/// Average utilisation of the own failure domain from which other domains are used as well.
const MAX_DOMAIN_UTILISATION: f64 = 0.9;

/// Endpoint that may be selected for a call.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate {
    /// Index in the caller's list.
    pub index: usize,
    pub same_domain: bool,
    /// True if membership suspects the endpoint's daemon or the endpoint is avoided after failures.
    pub unhealthy: bool,
    pub utilisation: f64,
    pub cost: f64,
}

/// Reason for selecting an endpoint, for logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The endpoint has the lower cost of two in the own failure domain.
    OwnDomain,
    /// The own failure domain has no healthy endpoints, or they are too busy.
    OtherDomain,
    /// All endpoints are unhealthy.
    LastResort,
}

/// Selected endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointChoice {
    pub index: usize,
    pub reason: ChoiceReason,
}

/// Selects an endpoint; returns `None` if there are no candidates.
pub fn choose_endpoint(
    candidates: &[EndpointCandidate],
    rng: &mut impl Rng,
) -> Option<EndpointChoice> {
    let healthy: SmallVec<[&EndpointCandidate; 8]> = candidates
        .iter()
        .filter(|candidate| !candidate.unhealthy)
        .collect();
    if healthy.is_empty() {
        let all: SmallVec<[&EndpointCandidate; 8]> = candidates.iter().collect();
        return cheaper_of_two(&all, rng, ChoiceReason::LastResort);
    }
    let local: SmallVec<[&EndpointCandidate; 8]> = healthy
        .iter()
        .copied()
        .filter(|candidate| candidate.same_domain)
        .collect();
    if has_room(&local) {
        return cheaper_of_two(&local, rng, ChoiceReason::OwnDomain);
    }
    cheaper_of_two(&healthy, rng, ChoiceReason::OtherDomain)
}

fn has_room(local: &[&EndpointCandidate]) -> bool {
    let busy: f64 = local.iter().map(|candidate| candidate.utilisation).sum();
    !local.is_empty() && busy / (local.len() as f64) < MAX_DOMAIN_UTILISATION
}

fn cheaper_of_two(
    candidates: &[&EndpointCandidate],
    rng: &mut impl Rng,
    reason: ChoiceReason,
) -> Option<EndpointChoice> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let cheaper = if second.cost < first.cost {
        second
    } else {
        first
    };
    Some(EndpointChoice {
        index: cheaper.index,
        reason,
    })
}
