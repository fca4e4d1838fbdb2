//! Wall-clock time in the unit that the log and the messages use.
//!
//! Decisions never read a clock; the shells read it here and hand it in.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}

/// A monotonic clock that starts when the process does.
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

    /// Time since the start; it never goes back.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Time since the machine started, which goes on while the VM is suspended.
///
/// Knowledge that must not outlive a bound is dated by it, since the steady clock stands still in a
/// suspended VM. A clock that can't be read gives zero, which makes all such knowledge too old.
pub fn time_since_boot() -> Duration {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .unwrap_or(Duration::ZERO)
}
