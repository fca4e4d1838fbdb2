//! Statistics of one endpoint as measured by one entry.

use std::time::Duration;

use crate::wire::LoadReport;

/// Weight of the newest sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time for which an endpoint is avoided after a failure; doubles with each consecutive failure up
/// to the maximum.
const MIN_AVOIDANCE: Duration = Duration::from_millis(200);
const MAX_AVOIDANCE: Duration = Duration::from_secs(5);
/// Age in seconds at which a load report has half its weight.
const REPORT_HALF_LIFE_S: f64 = 0.5;

/// Latency, calls in flight, failures and last load report of an endpoint.
#[derive(Debug, Default)]
pub struct EndpointStats {
    mean_latency_s: f64,
    in_flight: u32,
    consecutive_failures: u32,
    avoid_until: Duration,
    load_report: Option<(LoadReport, Duration)>,
}

impl EndpointStats {
    /// Records the start of a call.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call was abandoned by its caller, which does not reflect on the endpoint.
    pub fn record_abandoned(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response received after `elapsed`.
    pub fn record_success(&mut self, elapsed: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_failures = 0;
        let sample = elapsed.as_secs_f64();
        if self.mean_latency_s == 0.0 {
            self.mean_latency_s = sample;
        }
        self.mean_latency_s += LATENCY_WEIGHT * (sample - self.mean_latency_s);
    }

    /// Records a call without a response in `elapsed`; the endpoint is avoided for some time.
    pub fn record_failure(&mut self, now: Duration, elapsed: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // Otherwise an endpoint that has never responded would seem the fastest one.
        self.mean_latency_s = self.mean_latency_s.max(elapsed.as_secs_f64());
        let doublings = self.consecutive_failures.min(10);
        self.consecutive_failures += 1;
        let avoidance = MIN_AVOIDANCE
            .saturating_mul(1 << doublings)
            .min(MAX_AVOIDANCE);
        self.avoid_until = now + avoidance;
    }

    /// Stores a load report.
    pub fn record_report(&mut self, now: Duration, load_report: LoadReport) {
        self.load_report = Some((load_report, now));
    }

    /// Returns true while the endpoint is avoided because of recent failures.
    pub fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Returns the share of the endpoint's capacity in use.
    ///
    /// It is the larger of the share used by this entry's own calls and the reported utilisation,
    /// whose weight decreases with the age of the report.
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

    /// Returns the expected cost of one more call; lower is better.
    pub fn cost(&self, now: Duration, slots: u32) -> f64 {
        let mean_latency_s = self.mean_latency_s.max(1e-4);
        let waiting = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        mean_latency_s * (1.0 + waiting + self.utilisation(now, slots))
    }
}
