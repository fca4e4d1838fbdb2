//! Maps the ranks of a configuration, which have no upper bound, to the few that a call can carry.

use super::config::MeshConfig;

/// Number of ranks of organisations and of routes that are told apart.
pub const RANK_COUNT: u32 = 16;

/// Replaces the ranks of organisations and routes by their positions in the common order, unless all of
/// them are below [`RANK_COUNT`]. Ranks beyond the last position share it.
pub fn compact_ranks(config: &mut MeshConfig) {
    let route_ranks = config.routes.iter_mut().map(|route| &mut route.rank);
    let organisations = config.organisations.iter_mut();
    let organisation_ranks = organisations.filter_map(|rule| rule.rank.as_mut());
    let mut ranks: Vec<&mut u32> = route_ranks.chain(organisation_ranks).collect();
    if ranks.iter().all(|rank| **rank < RANK_COUNT) {
        return;
    }
    let mut order: Vec<u32> = ranks.iter().map(|rank| **rank).collect();
    order.sort_unstable();
    order.dedup();
    for rank in &mut ranks {
        let position = order.partition_point(|other| *other < **rank) as u32;
        **rank = position.min(RANK_COUNT - 1);
    }
}
