//! Spreads calls of many entries over endpoints that take few requests a second.

use rand::Rng;

/// Decides whether a cold endpoint takes part in the choice of an executor for one call.
///
/// An idle cold endpoint looks better than busy warm ones to every entry at once, and load reports are too
/// slow to tell them of each other. `room` is the number of slots that its rate keeps busy and
/// `calls_in_hand` that of the whole service; their ratio is the part of the service's calls that it takes,
/// so it takes part in that share of the choices.
pub fn joins_draw(room: u32, calls_in_hand: u32, rng: &mut impl Rng) -> bool {
    let share = f64::from(room) / f64::from(calls_in_hand.max(1));
    share >= 1.0 || rng.random_bool(share)
}
