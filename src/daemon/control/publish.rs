//! Publishes the control state as a read-only view for the traffic threads.

use std::sync::Arc;
use std::time::Duration;

use tracing::info;
use tracing::warn;

use super::state::ControlContext;
use super::state::ControlState;
use crate::daemon::view::FleetView;
use crate::observe::LogEvent;
use crate::wire::MemberState;

/// Time over which changes are collected into one view.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Interval between two checks if the daemon is cut off.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Publishes a view after each change, for as long as the daemon runs.
pub async fn keep_publishing(context: &ControlContext) {
    let mut was_cut_off = false;
    loop {
        let notified =
            tokio::time::timeout(CUT_OFF_CHECK_INTERVAL, context.state_changed.notified()).await;
        if notified.is_ok() {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        let now = context.now();
        let mut state = context.state();
        let is_cut_off = state.reachability.is_cut_off(state.log_age(now));
        if is_cut_off != was_cut_off {
            was_cut_off = is_cut_off;
            state.dirty = true;
            log_cut_off(was_cut_off);
        }
        if std::mem::take(&mut state.dirty) {
            let view = state.view(was_cut_off);
            let withdrawal_count = state.withdrawal_count;
            drop(state);
            context.shared.view.store(Arc::new(view));
            context.shared.withdrawals.send_replace(withdrawal_count);
        }
    }
}

fn log_cut_off(cut_off: bool) {
    if cut_off {
        warn!(
            event = LogEvent::CutOffBegan.number(),
            "cut off from the log and from most peers"
        );
    } else {
        info!(event = LogEvent::CutOffEnded.number(), "no longer cut off");
    }
}

impl ControlState {
    fn view(&self, cut_off: bool) -> FleetView {
        let mut view = FleetView::default();
        view.keys = self.keys.clone();
        view.ownership = self.ownership.clone();
        view.cut_off = cut_off;
        view.add_teams(self.config.teams().map(|(_, state)| state));
        let own = self.members.own();
        view.add_member(own, MemberState::Alive, self.is_drained(&own.vm));
        for member in self.members.members() {
            let drained = self.is_drained(&member.record.vm);
            view.add_member(&member.record, member.state, drained);
        }
        view
    }
}
