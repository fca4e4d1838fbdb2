//! Clock and timers of deadlines, which run on while the VM is suspended.
//!
//! The steady clock, and with it each timer of the runtime, stops while a VM is suspended. A deadline is
//! a promise to somebody outside of the VM, whose time goes on. See
//! `docs/incidents/config-held-requests.md`.

use std::fmt::Debug;
use std::fmt::Formatter;
use std::future::Future;
use std::ops::Add;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::time_since_boot;

/// Shortest suspension that is reported; the two clocks can't be read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Point in time on the clock that suspension doesn't stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// Reads the time since boot.
pub type BootReader = Box<dyn Fn() -> Duration + Send + Sync>;

/// Clock of deadlines and the timers on it.
///
/// The runtime's timers stop with the steady clock, so [`detect_suspension`] must be called at short
/// intervals: it wakes the timers after a suspension.
///
/// [`detect_suspension`]: Self::detect_suspension
pub struct DeadlineClock {
    read_boot: BootReader,
    started: Instant,
    started_at: BootTime,
    /// Time in suspension since the start, in microseconds.
    suspended_us: AtomicU64,
    /// Notified when a suspension has been detected.
    resumed: Notify,
}

impl Debug for DeadlineClock {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("DeadlineClock")
            .field("now", &self.now())
            .field("suspended", &self.suspended())
            .finish_non_exhaustive()
    }
}

impl DeadlineClock {
    /// Starts the clock of this machine.
    pub fn start() -> Self {
        Self::from_reader(Box::new(time_since_boot))
    }

    /// Starts a clock that reads the time since boot with `read_boot`.
    pub fn from_reader(read_boot: BootReader) -> Self {
        Self {
            started: Instant::now(),
            started_at: BootTime(read_boot()),
            read_boot,
            suspended_us: AtomicU64::new(0),
            resumed: Notify::new(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> BootTime {
        BootTime((self.read_boot)())
    }

    /// Returns the time until `deadline`, or zero if it has passed.
    pub fn remaining(&self, deadline: BootTime) -> Duration {
        deadline.saturating_duration_since(self.now())
    }

    /// Returns true if `deadline` has passed.
    pub fn has_passed(&self, deadline: BootTime) -> bool {
        self.now() >= deadline
    }

    /// Returns the time since `earlier`.
    pub fn elapsed(&self, earlier: BootTime) -> Duration {
        self.now().saturating_duration_since(earlier)
    }

    /// Returns the time in suspension since the start that has been detected.
    pub fn suspended(&self) -> Duration {
        Duration::from_micros(self.suspended_us.load(Ordering::Relaxed))
    }

    /// Returns the length of a suspension since the last call, if there was one, and wakes all timers
    /// so that they count it.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let total = self
            .elapsed(self.started_at)
            .saturating_sub(self.started.elapsed());
        let suspension = total.saturating_sub(self.suspended());
        if suspension < MIN_SUSPENSION {
            return None;
        }
        let total_us = total.as_micros() as u64;
        self.suspended_us.store(total_us, Ordering::Relaxed);
        self.resumed.notify_waiters();
        Some(suspension)
    }

    /// Runs `future` until `deadline`; returns none if the deadline passes first.
    ///
    /// The returned future holds `future` twice, as an argument and pinned. A large one is passed as a
    /// pinned reference, since nested timeouts would double it each time.
    pub async fn timeout_at<F: Future>(&self, deadline: BootTime, future: F) -> Option<F::Output> {
        tokio::pin!(future);
        loop {
            let resumed = self.resumed.notified();
            tokio::pin!(resumed);
            // A suspension that ends after the clock has been read must not be missed.
            resumed.as_mut().enable();
            tokio::select! {
                biased;
                output = &mut future => return Some(output),
                () = tokio::time::sleep(self.remaining(deadline)) => return None,
                () = resumed => {}
            }
        }
    }
}
