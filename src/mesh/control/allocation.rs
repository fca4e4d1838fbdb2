//! Deals the shares of the gate anew a few times a second.

use std::rc::Rc;
use std::time::Duration;

use super::super::fleet::DaemonReport;
use super::super::state::MeshState;
use super::peer_link::ping_interval;

/// Time between two deals; reports of peers come about as often.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(250);

/// If the daemons can't be looked up for this long, those that have linked to this one are taken to
/// be all: a daemon that others know hears from them within their longest pause, 2 s.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Deals until the task is dropped.
pub async fn update_shares(state: Rc<MeshState>) {
    let mut last = state.now();
    let mut known = state.endpoint_report().map(|one| one.service);
    loop {
        tokio::time::sleep(ALLOCATION_INTERVAL).await;
        let now = state.now();
        if now > DISCOVERY_TIMEOUT {
            state.mark_discovery_complete();
        }
        state.measure_control_time(|| allocate(&state, now.saturating_sub(last)));
        last = now;
        if state.admission.borrow().is_surging() {
            state.broadcast_report();
        }
        // An endpoint that fell silent is taken out without waiting for the next ping.
        let service = state.endpoint_report().map(|one| one.service);
        if service != known {
            known = service;
            state.broadcast_report();
        }
    }
}

fn allocate(state: &MeshState, elapsed: Duration) {
    let peers = state.peers();
    let mut reports: Vec<(u64, DaemonReport)> = Vec::with_capacity(peers.len() + 1);
    for peer in &peers {
        if let Some(report) = peer.with_report(Clone::clone) {
            let id =
                (u64::from(u32::from(*peer.address.ip())) << 16) | u64::from(peer.address.port());
            reports.push((id, report));
        }
    }
    let mut admission = state.admission.borrow_mut();
    admission.update_offered_rates(elapsed);
    let own = state.endpoint_report();
    let report_age = ping_interval(reports.len() + 1) + elapsed;
    admission.update_quotas(&reports, state.fleet_size(), elapsed, report_age);
    admission.update_class_shares(&reports, own.as_ref());
}
