//! Selects the executor with the lowest occupancy (calls in hand over slots).
//!
//! Endpoints of one service differ in speed. A slow one holds each call longer, so equal occupancy
//! distributes calls in proportion to speed without an estimate of it. One that fails part of its
//! calls at once holds fewer and would seem idle, so its share of failures counts too. See
//! `docs/design/placement.md` and `docs/design/outliers.md`.

use rand::Rng;

use crate::decisions::outliers::OutlierMark;

/// Occupancy below which an executor in the own failure domain is preferred. Queueing begins well
/// above it.
const MAX_DOMAIN_OCCUPANCY: f64 = 0.5;
/// Share of its slots that counts for a cold endpoint, which runs at about half speed.
const COLD_SLOT_SHARE: f64 = 0.5;
/// Range of the random number added to an occupancy, so that entries with the same reports don't
/// select the same executor.
const OCCUPANCY_JITTER: f64 = 0.06;

/// Occupancy that weighs as much as the failure of all idempotent calls. One that fails costs its time
/// and a repetition elsewhere.
const FAILURE_WEIGHT: f64 = 1.0;
/// Ratio of the weight for a call that can't be repeated, and is lost if it fails.
const NON_IDEMPOTENT_FACTOR: f64 = 2.0;
/// Smallest share of successes that counts for the slots, so that an endpoint that fails everything
/// keeps an order among others that do.
const MIN_SUCCESS_SHARE: f64 = 0.1;
/// Occupancy that is added to an endpoint that is set aside: it is used once the others are full.
const ASIDE_OCCUPANCY: f64 = 0.7;
/// Share of its even part of the calls that an endpoint gets as probes while it is set aside.
const PROBE_SHARE: f64 = 0.1;

/// Share of its slots in use from which an endpoint may slow down.
const SLOWDOWN_SHARE: f64 = 0.95;

/// Returns the number of calls that an endpoint may run at once.
///
/// It stays below the share of the slots from which some endpoints slow down. An endpoint that does
/// not slow down loses less by this limit than one that does would lose without it.
pub fn usable_slots(announced: u32) -> u32 {
    let first_slow = (f64::from(announced) * SLOWDOWN_SHARE).ceil() as u32;
    first_slow.saturating_sub(1).max(1)
}

/// Load of one executor, as known to an entry.
#[derive(Debug, Clone, Copy)]
pub struct ExecutorLoad {
    /// Calls that run or wait there according to its last report, and those sent since.
    pub in_hand: u32,
    /// Calls that the endpoint runs at once.
    pub slots: u32,
    pub cold: bool,
    /// True if the endpoint is cold and takes few requests a second, which its slots show.
    pub rated: bool,
    pub same_domain: bool,
    /// True if its daemon has not answered for longer than a link in order takes.
    pub silent: bool,
    /// Standing of its endpoint among those of the service.
    pub outlier: OutlierMark,
}

/// What the choice of an executor depends on in a call.
#[derive(Debug, Clone, Copy)]
pub struct CallTraits {
    pub idempotent: bool,
    /// True if another executor was tried before.
    pub repeated: bool,
}

impl ExecutorLoad {
    fn occupancy(&self) -> f64 {
        let share = if self.cold { COLD_SLOT_SHARE } else { 1.0 };
        let slots = f64::from(self.slots.max(1)) * share * self.outlier.slot_share;
        (f64::from(self.in_hand) + 1.0) / slots
    }

    /// Returns the occupancy at which a sound endpoint would be as good a choice for the call.
    ///
    /// `lowest_failure` is the lowest share of failures of the service. What all endpoints fail alike
    /// makes none of them worse.
    fn equivalent_occupancy(&self, traits: CallTraits, lowest_failure: f64) -> f64 {
        let excess = self.outlier.failure_share - lowest_failure;
        // A call that fails at once holds no slot, so that the calls in hand are only those that don't.
        let occupancy = self.occupancy() / (1.0 - excess).max(MIN_SUCCESS_SHARE);
        let weight = if traits.idempotent {
            FAILURE_WEIGHT
        } else {
            FAILURE_WEIGHT * NON_IDEMPOTENT_FACTOR
        };
        let aside = if self.outlier.set_aside {
            ASIDE_OCCUPANCY
        } else {
            0.0
        };
        occupancy + weight * excess + aside
    }
}

/// Returns the index of the executor for the next call, or `None` if `loads` is empty.
///
/// An executor whose daemon is silent is picked only if all are: the daemon may be suspended, cut
/// off or behind a narrow link, and what is sent to it may run late or not at all. One whose endpoint
/// is set aside gets a few calls as probes, or what the others have no slots for.
pub fn pick_executor(
    loads: &[ExecutorLoad],
    traits: CallTraits,
    rng: &mut impl Rng,
) -> Option<usize> {
    let all_silent = loads.iter().all(|load| load.silent);
    if let Some(index) = pick_probe(loads, traits, rng) {
        return Some(index);
    }
    let lowest_failure = lowest_failure_share(loads);
    let mut best: Option<(usize, f64)> = None;
    let mut best_local: Option<(usize, f64)> = None;
    let candidates = loads.iter().enumerate();
    for (index, load) in candidates.filter(|(_, load)| all_silent || !load.silent) {
        let occupancy = load.equivalent_occupancy(traits, lowest_failure);
        let score = occupancy + rng.random_range(0.0..OCCUPANCY_JITTER);
        if best.is_none_or(|(_, low)| score < low) {
            best = Some((index, score));
        }
        let local = load.same_domain && occupancy < MAX_DOMAIN_OCCUPANCY;
        if local && best_local.is_none_or(|(_, low)| score < low) {
            best_local = Some((index, score));
        }
    }
    best_local.or(best).map(|(index, _)| index)
}

/// Returns an executor whose endpoint is set aside, for a small share of the calls.
///
/// Only idempotent calls probe, and only at their first try, so that a call that fails can be repeated
/// elsewhere.
fn pick_probe(loads: &[ExecutorLoad], traits: CallTraits, rng: &mut impl Rng) -> Option<usize> {
    let is_probed = |load: &ExecutorLoad| load.outlier.set_aside && !load.silent;
    if !traits.idempotent || traits.repeated || !loads.iter().any(is_probed) {
        return None;
    }
    // Each endpoint is drawn as often as its even share of the calls would have it.
    let drawn = rng.random_range(0.0..loads.len() as f64 / PROBE_SHARE);
    let load = loads.get(drawn as usize)?;
    let has_slot = load.in_hand < load.slots;
    (is_probed(load) && has_slot).then_some(drawn as usize)
}

fn lowest_failure_share(loads: &[ExecutorLoad]) -> f64 {
    let shares = loads.iter().map(|load| load.outlier.failure_share);
    shares.min_by(f64::total_cmp).unwrap_or(0.0)
}
