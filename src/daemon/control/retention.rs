//! Appends state in force again before its record in the log expires.

use std::time::Duration;

use tracing::info;

use super::state::ControlContext;
use crate::clock::wall_ms;
use crate::decisions::configuration::StateItem;
use crate::observe::LogEvent;
use crate::wire::LogRecord;

const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Limit on the records of one check, which prevents a burst after a long outage.
const MAX_RESTATED_PER_CHECK: usize = 20;
/// Maximum age of the latest read of the log for state to be restated.
const MAX_LOG_AGE: Duration = Duration::from_millis(4_600);

/// Restates state whose records are due, for as long as the daemon runs.
pub async fn keep_restating(context: &ControlContext) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for record in due_records(context) {
            if context.log.append(&record).await.is_ok() {
                context
                    .shared
                    .metrics
                    .record_control_message("log-append", 1024);
                info!(event = LogEvent::ConfigRestated.number(), "state restated");
            }
        }
    }
}

fn due_records(context: &ControlContext) -> Vec<LogRecord> {
    let now = context.now();
    let state = context.state();
    if !state.caught_up || !state.has_read_log_within(now, MAX_LOG_AGE) {
        return Vec::new();
    }
    let due = state.retention.due(
        wall_ms(),
        state.retention_ms,
        state.restate_jitter,
        MAX_RESTATED_PER_CHECK,
    );
    let mut items: Vec<StateItem> = due;
    let restates_state = items.iter().any(|item| *item != StateItem::Index);
    if restates_state && !items.contains(&StateItem::Index) {
        items.push(StateItem::Index);
    }
    items
        .iter()
        .filter_map(|item| state.build_record(item, state.next_offset))
        .collect()
}
