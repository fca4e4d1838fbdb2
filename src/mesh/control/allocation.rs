//! Periodically updates the quota and class shares that admission uses.

use std::rc::Rc;
use std::time::Duration;

use super::super::state::MeshState;
use super::demand::exchange_demand;

/// Interval between two exchanges of demand, each followed by an update of the quotas.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two allocations of class shares.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which all daemons know of a request: it waits for an exchange at its daemon and at a
/// relay of each of two failure domains, and then for an update.
const DEMAND_DELAY: Duration = Duration::from_millis(400);

/// Age of the sum of the others up to which its load shows the effect of the admitted shares.
const MAX_LOAD_AGE: Duration = Duration::from_millis(300);
/// Time after which failed discovery counts as complete with the daemons that are known by then.
/// Daemons that know this one connect to it within their longest reconnect backoff of 2 s.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Updates the shares until the task is dropped.
pub async fn update_shares(state: Rc<MeshState>) {
    let mut last_exchange = state.now();
    let mut last_allocation = state.now();
    for exchange in 0_u32.. {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        state.detect_suspension();
        let now = state.now();
        if now > DISCOVERY_TIMEOUT {
            state.mark_discovery_complete();
        }
        state.measure_control_time(|| {
            exchange_demand(&state, exchange);
            update_quotas(&state, now.saturating_sub(last_exchange));
            let elapsed = now.saturating_sub(last_allocation);
            if elapsed >= ALLOCATION_INTERVAL {
                last_allocation = now;
                allocate_shares(&state, elapsed);
            }
            state.update_outliers();
        });
        last_exchange = now;
        // An endpoint whose announcements stopped is withdrawn without waiting for a ping.
        state.broadcast_changes();
    }
}

fn update_quotas(state: &MeshState, elapsed: Duration) {
    let view = state.demand_view.borrow();
    let others = view.others(state.now());
    let admitted = |organisation| view.admitted(organisation);
    let daemons = state.fleet_size();
    let mut admission = state.admission.borrow_mut();
    admission.update_quotas(others, admitted, daemons, elapsed, DEMAND_DELAY);
}

fn allocate_shares(state: &MeshState, elapsed: Duration) {
    state.admission.borrow_mut().update_offered_rates(elapsed);
    let own = state.demand_report();
    let view = state.demand_view.borrow();
    let others = view.others(state.now());
    // Without other daemons there is no sum, and the own load is always current.
    let age = view.age(state.now()).unwrap_or(Duration::ZERO);
    let evacuating = !state.evacuations().domains().is_empty();
    let mut admission = state.admission.borrow_mut();
    admission.set_evacuating(evacuating);
    admission.update_class_shares(others, &own, age <= MAX_LOAD_AGE);
}
