//! Exchanges the demand at this daemon for the sum of the demand at all others, through relays.
//!
//! See `docs/design/demand.md`.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::super::fleet::daemon_order;
use super::super::fleet::hash_name;
use super::super::fleet::Peer;
use super::super::link::LinkFrame;
use super::super::state::MeshState;
use crate::decisions::demand::choose_relays;

/// Time for which a new relay collects reports before it sends sums, which would otherwise lack
/// most of the demand, unless all daemons have reported before.
const RELAY_WARM_UP: Duration = Duration::from_millis(500);
/// Share of the known daemons with a link from which the linked ones count as all.
const LINKED_SHARE: f64 = 0.75;

/// Number of exchanges of which one includes the second relay of each failure domain, which only
/// stands by.
const EXCHANGES_PER_STANDBY: u32 = 5;

/// The other daemons of one failure domain, by their position in the order of daemons.
type DomainPeers = BTreeMap<u64, Rc<Peer>>;

/// Sends this daemon's demand to the relays of its failure domain and, if it is one of them, the
/// sums to the relays of the other domains and to the daemons of its own.
///
/// `exchange` counts the exchanges; not every one includes the second relays.
pub fn exchange_demand(state: &MeshState, exchange: u32) {
    let includes_standby = exchange.is_multiple_of(EXCHANGES_PER_STANDBY);
    let relay_count = if includes_standby { usize::MAX } else { 1 };
    let own_order = daemon_order(state.settings().link_address);
    let own_domain = state.settings().failure_domain.clone();
    let mut domains = group_by_domain(state);
    let members = domains.remove(&*own_domain).unwrap_or_default();
    let own_order_if_running = (!state.is_stopping()).then_some(own_order);
    let relays = choose_relays(members.keys().copied().chain(own_order_if_running));
    let report = state.demand_report();
    for relay in relays.iter().take(relay_count) {
        if let Some(peer) = members.get(relay) {
            send(peer, &LinkFrame::Demand(report.clone()));
        }
    }
    let own_rank = relays.iter().position(|relay| *relay == own_order);
    state.set_relay(own_rank.is_some());
    if own_rank.is_some() {
        let mut table = state.relay_table.borrow_mut();
        table.record_member(own_order, report, state.now());
        table.remove_expired(state.now());
    }
    if own_rank.is_some_and(|rank| rank < relay_count) {
        relay_demand(state, &members, &domains, relay_count);
    }
}

/// Sends the sums that this relay holds, once they include most of the fleet.
fn relay_demand(
    state: &MeshState,
    members: &DomainPeers,
    domains: &BTreeMap<Rc<str>, DomainPeers>,
    relay_count: usize,
) {
    let table = state.relay_table.borrow();
    let now = state.now();
    let linked = state.linked_daemons() as f64 >= state.fleet_size() as f64 * LINKED_SHARE;
    let has_members = linked && table.members() > members.len();
    let is_warm = state.relay_time().is_some_and(|time| time >= RELAY_WARM_UP);
    if !is_warm && !has_members {
        return;
    }
    let frame = LinkFrame::DomainDemand {
        domain: hash_name(&state.settings().failure_domain),
        report: table.domain_report(),
    };
    for peers in domains.values() {
        let relays = choose_relays(peers.keys().copied());
        for relay in relays.iter().take(relay_count) {
            if let Some(peer) = peers.get(relay) {
                send(peer, &frame);
            }
        }
    }
    if !is_warm && table.domains(now) < domains.len() {
        return;
    }
    let fleet_sum = table.fleet_sum(now);
    for (member, peer) in members {
        let others = table.others_report(*member, &fleet_sum);
        send(peer, &LinkFrame::OthersDemand(others));
    }
    let own_order = daemon_order(state.settings().link_address);
    let others = table.others_report(own_order, &fleet_sum);
    let mut view = state.demand_view.borrow_mut();
    view.record(own_order, others, now);
}

/// Returns the linked daemons that accept calls, by failure domain.
fn group_by_domain(state: &MeshState) -> BTreeMap<Rc<str>, DomainPeers> {
    let mut domains: BTreeMap<Rc<str>, DomainPeers> = BTreeMap::new();
    for peer in state.peers() {
        if peer.with_report(|report| !report.stopping) == Some(true) {
            let members = domains.entry(peer.failure_domain()).or_default();
            members.insert(peer.order, peer);
        }
    }
    domains
}

fn send(peer: &Peer, frame: &LinkFrame<'_>) {
    // A link that breaks at this moment is replaced, and the next exchange follows soon.
    if let Some(sender) = peer.sender() {
        sender.send(frame, &[]);
    }
}
