//! The choice of an executor by work in hand over slots.
//!
//! Endpoints of one service differ in speed. A slow one holds each call longer, so equal occupancy
//! gives each endpoint work in proportion to its speed without an estimate of it. See
//! `docs/design/placement.md`.

use rand::Rng;

/// The own failure domain is kept while its occupancy is below this: queueing begins well above.
const MAX_DOMAIN_OCCUPANCY: f64 = 0.5;
/// A cold endpoint counts as having this share of its slots, since it runs at about half speed.
const COLD_SLOT_SHARE: f64 = 0.5;
/// Occupancies closer than this count as equal, so that entries with the same reports spread.
const OCCUPANCY_JITTER: f64 = 0.06;

/// Share of its slots from which an endpoint may slow down when it is nearly full.
const SLOWDOWN_SHARE: f64 = 0.95;

/// The calls that an endpoint is given at once: as many as stay below the share of its slots at
/// which some endpoints slow down. One that doesn't slow down loses less by this than one that does
/// would by being driven over it.
pub fn usable_slots(announced: u32) -> u32 {
    let first_slow = (f64::from(announced) * SLOWDOWN_SHARE).ceil() as u32;
    first_slow.saturating_sub(1).max(1)
}

/// What an entry knows of one executor.
#[derive(Debug, Clone, Copy)]
pub struct ExecutorLoad {
    /// Calls that run or wait there, as reported, and those sent since.
    pub in_hand: u32,
    /// Calls that the endpoint runs at once.
    pub slots: u32,
    pub cold: bool,
    pub same_domain: bool,
}

impl ExecutorLoad {
    fn occupancy(&self) -> f64 {
        let share = if self.cold { COLD_SLOT_SHARE } else { 1.0 };
        (f64::from(self.in_hand) + 1.0) / (f64::from(self.slots.max(1)) * share)
    }
}

/// Picks the position of the executor that takes the next call, or none if there is none.
pub fn pick_executor(loads: &[ExecutorLoad], rng: &mut impl Rng) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut best_local: Option<(usize, f64)> = None;
    for (index, load) in loads.iter().enumerate() {
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
