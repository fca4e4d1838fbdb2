//! Periodically updates the quota and class shares that admission uses.

use std::rc::Rc;
use std::time::Duration;

use super::super::fleet::DaemonReport;
use super::super::state::MeshState;
use super::peer_link::ping_interval;

/// Interval between two allocations, which is about that of the peers' reports.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which failed discovery counts as complete with the daemons that are known by then.
/// Daemons that know this one connect to it within their longest reconnect backoff of 2 s.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Updates the shares until the task is dropped.
pub async fn update_shares(state: Rc<MeshState>) {
    let mut last_allocation = state.now();
    let mut reported_service = state.endpoint_report().map(|endpoint| endpoint.service);
    loop {
        tokio::time::sleep(ALLOCATION_INTERVAL).await;
        let now = state.now();
        if now > DISCOVERY_TIMEOUT {
            state.mark_discovery_complete();
        }
        state.measure_control_time(|| allocate_shares(&state, now.saturating_sub(last_allocation)));
        last_allocation = now;
        if state.admission.borrow().is_report_due() {
            state.broadcast_report();
        }
        // An endpoint whose announcements stopped is withdrawn without waiting for the next ping.
        let service = state.endpoint_report().map(|endpoint| endpoint.service);
        if service != reported_service {
            reported_service = service;
            state.broadcast_report();
        }
    }
}

fn allocate_shares(state: &MeshState, elapsed: Duration) {
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
