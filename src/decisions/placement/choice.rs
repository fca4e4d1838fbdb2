//! The choice among the endpoints of a service.
//!
//! Two endpoints are drawn and the one that costs less is taken, so that a stale report of an idle
//! endpoint draws no herd (Mitzenmacher, *The Power of Two Choices in Randomized Load Balancing*).

use rand::Rng;
use smallvec::SmallVec;

/// The own failure domain is left once its endpoints are this busy on average.
const MAX_DOMAIN_UTILISATION: f64 = 0.9;

/// One endpoint that might take the call.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate {
    /// Position in the caller's list.
    pub index: usize,
    pub same_domain: bool,
    /// Suspected by membership or avoided after failures.
    pub unhealthy: bool,
    pub utilisation: f64,
    pub cost: f64,
}

/// Why an endpoint was taken, for the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// Cheapest of two in the own failure domain.
    OwnDomain,
    /// The own failure domain has no healthy endpoint with room.
    OtherDomain,
    /// Every endpoint is doubtful; one of them is tried.
    LastResort,
}

/// The endpoint taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointChoice {
    pub index: usize,
    pub reason: ChoiceReason,
}

/// Chooses an endpoint, or none if there is no candidate.
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
