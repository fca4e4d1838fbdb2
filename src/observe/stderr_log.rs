//! Log lines, written by a thread of their own.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the writer; more are dropped, since a call must never wait for a log.
const MAX_BUFFERED_LINES: usize = 65_536;

/// Writes what is buffered when it is closed.
#[derive(Debug)]
pub struct LogGuard {
    worker: WorkerGuard,
}

impl LogGuard {
    /// Waits until the buffered lines are written.
    pub fn close(self) {
        drop(self.worker);
    }
}

/// Starts writing JSON lines to standard error; a filter that can't be read means `info`.
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
    // A second start in one process keeps the first writer, as the demo does.
    drop(started);
    LogGuard { worker }
}
