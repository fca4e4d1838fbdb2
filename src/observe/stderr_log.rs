//! Writes log lines to standard error on a background thread.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the writer; further ones are dropped, so that logging never blocks a
/// call.
const MAX_BUFFERED_LINES: usize = 65_536;

/// Flushes the buffered log lines when it is closed.
#[derive(Debug)]
pub struct LogGuard {
    worker: WorkerGuard,
}

impl LogGuard {
    /// Waits until all buffered lines are written.
    pub fn close(self) {
        drop(self.worker);
    }
}

/// Installs a subscriber that logs JSON lines to standard error.
///
/// An invalid `filter` is replaced by `info`.
pub fn start_stderr_log(filter: &str) -> LogGuard {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stderr());
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    // A second call in the same process, as in the demo, keeps the first subscriber.
    drop(started);
    LogGuard { worker }
}
