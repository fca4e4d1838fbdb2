//! Buffers log lines in memory so that logging never blocks the calling thread.
//!
//! A background thread writes the lines to standard output. If it falls behind, lines at level info
//! and below are dropped first; the number of dropped lines is logged.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// Buffered bytes above which lines at level info and below are dropped.
const MAX_PENDING_BYTES_INFO: usize = 256 * 1024;
/// Buffered bytes above which all lines are dropped.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Interval between two writes; one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Holds log lines until the background thread writes them.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    pending: Arc<Mutex<PendingLines>>,
}

/// Appends a log line to the buffer, or drops it above a limit in bytes.
#[derive(Debug)]
pub struct LineWriter<'a> {
    buffer: &'a LineBuffer,
    limit: usize,
}

impl LineBuffer {
    /// Returns the buffered bytes and the number of lines dropped since the last call.
    pub fn take(&self) -> (Vec<u8>, u64) {
        // A poisoned lock only means that another thread panicked while it logged a line.
        let mut pending = self.pending.lock().unwrap_or_else(|lock| lock.into_inner());
        let taken = std::mem::take(&mut *pending);
        (taken.bytes, taken.dropped)
    }

    /// Writes all buffered lines to `output`.
    ///
    /// # Errors
    ///
    /// Fails if `output` can't be written.
    pub fn flush(&self, output: &mut impl Write) -> std::io::Result<()> {
        let (bytes, dropped) = self.take();
        output.write_all(&bytes)?;
        if dropped > 0 {
            writeln!(
                output,
                "{{\"level\":\"WARN\",\"event\":1004,\"dropped\":{dropped}}}"
            )?;
        }
        output.flush()
    }
}

impl<'a> MakeWriter<'a> for LineBuffer {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        LineWriter {
            buffer: self,
            limit: MAX_PENDING_BYTES,
        }
    }

    fn make_writer_for(&'a self, meta: &tracing::Metadata<'_>) -> LineWriter<'a> {
        // Refusals, failures and changes of state are warnings; successes are at level info.
        let is_info = *meta.level() >= Level::INFO;
        LineWriter {
            buffer: self,
            limit: if is_info {
                MAX_PENDING_BYTES_INFO
            } else {
                MAX_PENDING_BYTES
            },
        }
    }
}

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut pending = self
            .buffer
            .pending
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        if pending.bytes.len() + line.len() > self.limit {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Installs a subscriber that logs JSON lines to standard output through a background thread.
pub fn start_stdout_log(level: Level) -> LineBuffer {
    start_log(level, std::io::stdout())
}

/// Installs a subscriber that logs JSON lines to `output` through a background thread.
pub fn start_log(level: Level, mut output: impl Write + Send + 'static) -> LineBuffer {
    let buffer = LineBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_max_level(level)
        .with_writer(buffer.clone());
    // A second call in the same process keeps the first subscriber.
    drop(subscriber.try_init());
    let lines = buffer.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(FLUSH_INTERVAL);
        if lines.flush(&mut output).is_err() {
            // The output is closed; the daemon continues without logging.
            return;
        }
    });
    buffer
}
