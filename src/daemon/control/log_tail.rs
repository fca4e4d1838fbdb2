//! Reads the tail of the log.

use std::time::Duration;

use rand::Rng;
use tracing::info;
use tracing::warn;

use super::apply::apply_records;
use super::state::ControlContext;
use crate::observe::LogEvent;
use crate::wire::LogPage;

/// Maximum time that the log holds a read open for a record. A read that takes much longer is
/// assumed to be on a dead connection and is repeated on another.
const READ_WAIT: Duration = Duration::from_millis(3_000);
/// Pause after a failed read, plus a random time of up to the same length.
const RETRY_DELAY_MS: u64 = 200;

/// Reads the log for as long as the daemon runs.
pub async fn follow_log(context: &ControlContext) {
    let mut was_readable = true;
    loop {
        let from = context.state().tail_offset;
        match context.log.read(from, READ_WAIT).await {
            Ok(page) => {
                log_readability(&mut was_readable, true, "");
                apply_page(context, &page);
            }
            Err(error) => {
                log_readability(&mut was_readable, false, &error.to_string());
                // Peers are asked for the state while the log is unreadable.
                context.state().own_log_read_at = None;
                let jitter = context.state().rng.random_range(0..RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS + jitter)).await;
            }
        }
    }
}

/// Applies a page that was read at the tail offset.
pub fn apply_page(context: &ControlContext, page: &LogPage) {
    context
        .shared
        .metrics
        .record_control_message("log-read", page.records.len() * 256);
    {
        let mut state = context.state();
        let now = context.now();
        if state.tail_offset == 0 {
            state.reset_at_offset(page.first_offset);
        }
        state.record_log_read(now, Duration::ZERO);
        state.own_log_read_at = Some(now);
        state.retention_ms = page.retention_ms;
        state.caught_up |= page.next_offset <= state.tail_offset;
    }
    apply_records(context, &page.records);
    let mut state = context.state();
    state.tail_offset = state.tail_offset.max(page.next_offset);
    state.next_offset = state.next_offset.max(page.next_offset);
}

fn log_readability(was_readable: &mut bool, is_readable: bool, cause: &str) {
    if *was_readable && !is_readable {
        warn!(
            event = LogEvent::LogUnreadable.number(),
            cause, "log unreadable"
        );
    }
    if !*was_readable && is_readable {
        info!(event = LogEvent::LogReadable.number(), "log readable again");
    }
    *was_readable = is_readable;
}
