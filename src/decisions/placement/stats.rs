//! What one entry has measured of one endpoint.

use std::time::Duration;

use crate::wire::LoadReport;

const LATENCY_WEIGHT: f64 = 0.1;
/// How long an endpoint is avoided after failures in a row; it doubles with each up to the maximum.
const MIN_AVOIDANCE: Duration = Duration::from_millis(200);
const MAX_AVOIDANCE: Duration = Duration::from_secs(5);
/// Age at which a load report has lost half its weight.
const REPORT_HALF_LIFE_S: f64 = 0.5;

/// Latency, own calls under way, failures and the last load report.
#[derive(Debug, Default)]
pub struct EndpointStats {
    mean_latency_s: f64,
    in_flight: u32,
    consecutive_failures: u32,
    avoid_until: Duration,
    load_report: Option<(LoadReport, Duration)>,
}

impl EndpointStats {
    /// Notes a call that leaves.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Notes a call that was abandoned by its caller; it says nothing about the endpoint.
    pub fn record_abandoned(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes an answer.
    pub fn record_success(&mut self, elapsed: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_failures = 0;
        let sample = elapsed.as_secs_f64();
        if self.mean_latency_s == 0.0 {
            self.mean_latency_s = sample;
        }
        self.mean_latency_s += LATENCY_WEIGHT * (sample - self.mean_latency_s);
    }

    /// Notes a call that got no answer in `elapsed`, and avoids the endpoint for a while.
    pub fn record_failure(&mut self, now: Duration, elapsed: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // Without this an endpoint that has never answered would look like the fastest one.
        self.mean_latency_s = self.mean_latency_s.max(elapsed.as_secs_f64());
        let doublings = self.consecutive_failures.min(10);
        self.consecutive_failures += 1;
        let avoidance = MIN_AVOIDANCE
            .saturating_mul(1 << doublings)
            .min(MAX_AVOIDANCE);
        self.avoid_until = now + avoidance;
    }

    /// Takes a load report.
    pub fn record_report(&mut self, now: Duration, load_report: LoadReport) {
        self.load_report = Some((load_report, now));
    }

    /// Whether recent failures say to stay away.
    pub fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Share of the endpoint's capacity in use, from own calls and the ageing report.
    pub fn utilisation(&self, now: Duration, slots: u32) -> f64 {
        let own = f64::from(self.in_flight) / f64::from(slots.max(1));
        let Some((load_report, at)) = &self.load_report else {
            return own;
        };
        let age = now.saturating_sub(*at).as_secs_f64();
        let report_weight = 0.5_f64.powf(age / REPORT_HALF_LIFE_S);
        let busy = f64::from(load_report.running + load_report.queued)
            / f64::from(load_report.limit.max(1));
        own.max(busy * report_weight)
    }

    /// Expected cost of one more call; lower is better.
    pub fn cost(&self, now: Duration, slots: u32) -> f64 {
        let mean_latency_s = self.mean_latency_s.max(1e-4);
        let waiting = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        mean_latency_s * (1.0 + waiting + self.utilisation(now, slots))
    }
}
