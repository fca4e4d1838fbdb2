//! Choice of the relays of a failure domain.

use smallvec::SmallVec;

/// Relays of each failure domain: with two, one remains if the other is lost.
const RELAY_COUNT: usize = 2;

/// Returns the relays among the daemons of one failure domain, the preferred one first.
///
/// Daemons are identified by their position in an order that is the same at every daemon. All
/// daemons that see the same members therefore choose the same relays.
pub fn choose_relays(members: impl Iterator<Item = u64>) -> SmallVec<[u64; RELAY_COUNT]> {
    let mut relays: SmallVec<[u64; RELAY_COUNT]> = SmallVec::new();
    for member in members {
        let position = relays.iter().position(|relay| *relay < member);
        relays.insert(position.unwrap_or(relays.len()), member);
        relays.truncate(RELAY_COUNT);
    }
    relays
}
