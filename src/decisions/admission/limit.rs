//! Concurrency limit of one endpoint, derived from measured throughput.
//!
//! The limit alternates between values slightly above and below its centre, and the throughput at
//! both is compared. The centre rises while higher concurrency increases throughput and falls once
//! it only increases latency. Latency itself is not used as the signal, because a slow dependency
//! raises it at any concurrency. The announced slots are an upper bound and never raise the limit.

use std::time::Duration;

/// Distance of the probes from the centre, as a share of it.
const PROBE_SPAN: f64 = 0.05;
/// Minimum number of completions for a valid throughput measurement.
const MIN_PROBE_COMPLETIONS: u32 = 40;
/// Completions in a probe for each slot of the centre.
const COMPLETIONS_PER_SLOT: f64 = 6.0;
/// A probe that takes longer is restarted: a nearly idle endpoint does not reveal its limit.
const MAX_PROBE_DURATION: Duration = Duration::from_secs(2);
/// Weight of the newest comparison in the moving average of the elasticity.
const ELASTICITY_WEIGHT: f64 = 0.3;
/// Elasticity of throughput above which the limit is raised.
const RAISE_ELASTICITY: f64 = 0.55;
/// Elasticity below which the limit is lowered, since more concurrency only adds latency.
const LOWER_ELASTICITY: f64 = 0.25;
const RAISE_FACTOR: f64 = 1.06;
const LOWER_FACTOR: f64 = 0.97;
/// Rounds without a probe after the limit has reached the announced slots.
const PAUSED_ROUNDS: u32 = 8;
/// Share of its slots at which a cold endpoint starts.
const COLD_SHARE: f64 = 0.25;
const COLD_MIN_LIMIT: f64 = 4.0;
/// Growth of a cold endpoint's limit in each [`COLD_GROWTH_INTERVAL`] of successful calls.
const COLD_GROWTH_FACTOR: f64 = 1.3;
const COLD_GROWTH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum of the limit as a share of the announced slots; it keeps noise from lowering it to zero.
const MIN_LIMIT_SHARE: f64 = 0.1;

/// Concurrency limit with the state of the current probe.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    announced_slots: f64,
    centre: f64,
    cold: bool,
    last_growth: Duration,
    probing_high: bool,
    /// Remaining rounds before the next probe.
    paused_rounds: u32,
    probe_start: Duration,
    completions: u32,
    saturated: u32,
    /// Throughput of the last probe above the centre, in calls a second.
    high_rate: Option<f64>,
    /// Relative change of throughput for a relative change of concurrency, smoothed.
    elasticity: f64,
}

impl ConcurrencyLimit {
    /// Creates a cold limit below the announced slots.
    pub fn from_announced(slots: u32, now: Duration) -> Self {
        let announced_slots = f64::from(slots.max(1));
        Self {
            announced_slots,
            centre: (announced_slots * COLD_SHARE)
                .max(COLD_MIN_LIMIT)
                .min(announced_slots),
            cold: true,
            last_growth: now,
            probing_high: true,
            paused_rounds: 0,
            probe_start: now,
            completions: 0,
            saturated: 0,
            high_rate: None,
            elasticity: 1.0,
        }
    }

    /// Updates the announced slots; fewer slots lower the limit at once, more never raise it.
    pub fn set_announced_slots(&mut self, slots: u32) {
        self.announced_slots = f64::from(slots.max(1));
        self.centre = self.centre.min(self.announced_slots);
    }

    /// Returns the number of calls that may run at once.
    pub fn current(&self) -> u32 {
        if self.cold {
            return self.centre as u32;
        }
        if self.paused_rounds > 0 {
            return self.centre.round().clamp(1.0, self.announced_slots) as u32;
        }
        let span = if self.probing_high {
            1.0 + PROBE_SPAN
        } else {
            1.0 - PROBE_SPAN
        };
        (self.centre * span)
            .round()
            .clamp(1.0, self.announced_slots) as u32
    }

    /// Records a finished call; `saturated` is true if calls were queued or the limit was reached.
    pub fn finish(&mut self, now: Duration, succeeded: bool, saturated: bool) {
        self.completions += 1;
        self.saturated += u32::from(saturated);
        if self.cold {
            self.warm_up(now, succeeded);
            return;
        }
        let needed = (self.centre * COMPLETIONS_PER_SLOT) as u32;
        if self.completions >= needed.max(MIN_PROBE_COMPLETIONS) {
            self.end_probe(now);
        } else if now.saturating_sub(self.probe_start) > MAX_PROBE_DURATION {
            self.restart_probe(now);
        }
    }

    /// Lowers the limit after the endpoint shed a call, which shows that the limit is too high.
    pub fn endpoint_shed(&mut self, now: Duration) {
        self.cold = false;
        self.centre = (self.centre * LOWER_FACTOR).max(self.min_limit());
        self.restart_probe(now);
    }

    fn warm_up(&mut self, now: Duration, succeeded: bool) {
        if !succeeded {
            self.cold = false;
            self.restart_probe(now);
            return;
        }
        if now.saturating_sub(self.last_growth) < COLD_GROWTH_INTERVAL {
            return;
        }
        self.last_growth = now;
        self.centre = (self.centre * COLD_GROWTH_FACTOR).min(self.announced_slots);
        if self.centre >= self.announced_slots {
            self.cold = false;
            self.restart_probe(now);
        }
    }

    fn end_probe(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.probe_start).as_secs_f64();
        let rate = f64::from(self.completions) / elapsed.max(1e-6);
        let was_saturated = f64::from(self.saturated) > 0.9 * f64::from(self.completions);
        if !was_saturated {
            self.restart_probe(now);
            return;
        }
        if self.paused_rounds > 0 {
            self.paused_rounds -= 1;
            self.reset_counts(now);
            return;
        }
        if self.probing_high {
            self.high_rate = Some(rate);
        } else if let Some(high_rate) = self.high_rate.take() {
            self.adjust_centre(high_rate, rate);
        }
        self.probing_high = !self.probing_high;
        self.reset_counts(now);
    }

    fn adjust_centre(&mut self, high_rate: f64, low_rate: f64) {
        let gain = high_rate / low_rate.max(1e-6) - 1.0;
        let step = (1.0 + PROBE_SPAN) / (1.0 - PROBE_SPAN) - 1.0;
        let measured = (gain / step).clamp(-1.0, 2.0);
        self.elasticity += ELASTICITY_WEIGHT * (measured - self.elasticity);
        if self.elasticity > RAISE_ELASTICITY {
            self.centre = (self.centre * RAISE_FACTOR).min(self.announced_slots);
            // At the upper bound a probe below it costs throughput and can only confirm the limit.
            self.paused_rounds = if self.centre >= self.announced_slots {
                PAUSED_ROUNDS
            } else {
                0
            };
        } else if self.elasticity < LOWER_ELASTICITY {
            self.centre = (self.centre * LOWER_FACTOR).max(self.min_limit());
        }
    }

    fn min_limit(&self) -> f64 {
        (self.announced_slots * MIN_LIMIT_SHARE).max(1.0)
    }

    fn restart_probe(&mut self, now: Duration) {
        self.high_rate = None;
        self.probing_high = true;
        self.reset_counts(now);
    }

    fn reset_counts(&mut self, now: Duration) {
        self.probe_start = now;
        self.completions = 0;
        self.saturated = 0;
    }
}
