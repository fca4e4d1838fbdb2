//! Gives an endpoint that finds its pace the answers that it needs for it.

use rand::Rng;

/// Decides whether an endpoint that finds its pace gets one call, before endpoints are compared by how busy
/// they are.
///
/// By its low limit alone it would look busy beside idle endpoints, get no calls and never find its pace. It
/// gets as many as its room holds, and at most an equal part of those of `endpoints`.
pub fn wins_draw(
    room: u32,
    in_hand: u32,
    calls_in_hand: u32,
    endpoints: usize,
    rng: &mut impl Rng,
) -> bool {
    if in_hand >= room {
        return false;
    }
    let share = f64::from(room) / f64::from(calls_in_hand.max(1));
    rng.random_bool(share.min(1.0 / endpoints.max(1) as f64))
}
