//! Wall-clock, monotonic and boot-time clocks.
//!
//! The code in `decisions` never reads a clock; its callers read the time here and pass it in.

mod deadline;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub use deadline::BootReader;
pub use deadline::BootTime;
pub use deadline::DeadlineClock;

/// Returns the milliseconds since the Unix epoch, the unit of the log and of messages.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}

/// Monotonic clock that starts at zero with the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: std::time::Instant,
}

impl ProcessClock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Returns the time since the machine booted, including time in which the VM was suspended.
///
/// State that must not exceed a maximum age is dated with this clock, because the monotonic clock
/// stops while a VM is suspended. If the clock can't be read, the result is zero, so that state dated
/// with it counts as expired once the clock can be read.
pub fn time_since_boot() -> Duration {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .unwrap_or(Duration::ZERO)
}
