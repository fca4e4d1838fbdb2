//! Log lines that never hold up the thread that writes them.
//!
//! Lines collect in memory and a thread writes them out. When the writer falls behind, lines about
//! ordinary successes are dropped first; what was dropped is counted and said.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of waiting lines above which lines about ordinary successes are dropped.
const MAX_PENDING_BYTES_INFO: usize = 256 * 1024;
/// Bytes of waiting lines above which every line is dropped.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Time between two writes; one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The lines that wait to be written.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    pending: Arc<Mutex<PendingLines>>,
}

/// Takes one line into the buffer.
#[derive(Debug)]
pub struct LineWriter<'a> {
    buffer: &'a LineBuffer,
    limit: usize,
}

impl LineBuffer {
    /// Returns the waiting bytes and the lines dropped since the last call.
    pub fn take(&self) -> (Vec<u8>, u64) {
        // A poisoned lock only means that another thread ended within a line.
        let mut pending = self.pending.lock().unwrap_or_else(|lock| lock.into_inner());
        let taken = std::mem::take(&mut *pending);
        (taken.bytes, taken.dropped)
    }

    /// Writes all waiting lines to `output`.
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
        // Refusals, failures and changed beliefs are warnings; successes are at level info.
        let is_info = *meta.level() >= Level::INFO;
        LineWriter {
            buffer: self,
            limit: if is_info { MAX_PENDING_BYTES_INFO } else { MAX_PENDING_BYTES },
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

/// Starts the thread that writes lines to standard output, and the subscriber that makes them.
pub fn start_stdout_log(level: Level) -> LineBuffer {
    let buffer = LineBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_max_level(level)
        .with_writer(buffer.clone());
    // A second start in one process keeps the first subscriber.
    drop(subscriber.try_init());
    let lines = buffer.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(FLUSH_INTERVAL);
        if lines.flush(&mut std::io::stdout().lock()).is_err() {
            // Nobody reads standard output any more; the daemon goes on without lines.
            return;
        }
    });
    buffer
}
