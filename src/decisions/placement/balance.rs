//! Selects the executor with the lowest occupancy (calls in hand over slots).
//!
//! Endpoints of one service differ in speed. A slow one holds each call longer, so equal occupancy
//! distributes calls in proportion to speed without an estimate of it. See
//! `docs/design/placement.md`.

use rand::Rng;

/// Occupancy below which an executor in the own failure domain is preferred. Queueing begins well
/// above it.
const MAX_DOMAIN_OCCUPANCY: f64 = 0.5;
/// Share of its slots that counts for a cold endpoint, which runs at about half speed.
const COLD_SLOT_SHARE: f64 = 0.5;
/// Range of the random number added to an occupancy, so that entries with the same reports don't
/// select the same executor.
const OCCUPANCY_JITTER: f64 = 0.06;

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
}

impl ExecutorLoad {
    fn occupancy(&self) -> f64 {
        let share = if self.cold { COLD_SLOT_SHARE } else { 1.0 };
        (f64::from(self.in_hand) + 1.0) / (f64::from(self.slots.max(1)) * share)
    }
}

/// Returns the index of the executor for the next call, or `None` if `loads` is empty.
///
/// An executor whose daemon is silent is picked only if all are: the daemon may be suspended, cut
/// off or behind a narrow link, and what is sent to it may run late or not at all.
pub fn pick_executor(loads: &[ExecutorLoad], rng: &mut impl Rng) -> Option<usize> {
    let all_silent = loads.iter().all(|load| load.silent);
    let mut best: Option<(usize, f64)> = None;
    let mut best_local: Option<(usize, f64)> = None;
    let candidates = loads.iter().enumerate();
    for (index, load) in candidates.filter(|(_, load)| all_silent || !load.silent) {
        let occupancy = load.occupancy();
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
