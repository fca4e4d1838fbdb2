//! What one entry has measured of one endpoint.

use std::time::Duration;

use crate::wire::LoadReport;

const LATENCY_WEIGHT: f64 = 0.1;
/// How long an endpoint is avoided after failures in a row; it doubles with each up to the maximum.
const MIN_AVOID: Duration = Duration::from_millis(200);
const MAX_AVOID: Duration = Duration::from_secs(5);
/// Age at which a load report has lost half its weight.
const REPORT_HALF_LIFE: f64 = 0.5;

/// Latency, own calls under way, failures and the last load report.
#[derive(Debug, Default)]
pub struct EndpointMeasure {
    latency: f64,
    outstanding: u32,
    failures: u32,
    avoid_until: Duration,
    report: Option<(LoadReport, Duration)>,
}

impl EndpointMeasure {
    /// Notes a call that leaves.
    pub fn start(&mut self) {
        self.outstanding += 1;
    }

    /// Notes a call that was abandoned by its caller; it says nothing about the endpoint.
    pub fn abandon(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Notes an answer.
    pub fn succeed(&mut self, elapsed: Duration) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.failures = 0;
        let sample = elapsed.as_secs_f64();
        if self.latency == 0.0 {
            self.latency = sample;
        }
        self.latency += LATENCY_WEIGHT * (sample - self.latency);
    }

    /// Notes a call that got no answer in `elapsed`, and avoids the endpoint for a while.
    pub fn fail(&mut self, now: Duration, elapsed: Duration) {
        self.outstanding = self.outstanding.saturating_sub(1);
        // Without this an endpoint that has never answered would look like the fastest one.
        self.latency = self.latency.max(elapsed.as_secs_f64());
        let doublings = self.failures.min(10);
        self.failures += 1;
        let avoid = MIN_AVOID.saturating_mul(1 << doublings).min(MAX_AVOID);
        self.avoid_until = now + avoid;
    }

    /// Takes a load report.
    pub fn report(&mut self, now: Duration, report: LoadReport) {
        self.report = Some((report, now));
    }

    /// Whether recent failures say to stay away.
    pub fn is_avoided(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Share of the endpoint's capacity in use, from own calls and the ageing report.
    pub fn utilisation(&self, now: Duration, slots: u32) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(slots.max(1));
        let Some((report, at)) = &self.report else {
            return own;
        };
        let age = now.saturating_sub(*at).as_secs_f64();
        let trust = 0.5_f64.powf(age / REPORT_HALF_LIFE);
        let busy = f64::from(report.running + report.queued) / f64::from(report.limit.max(1));
        own.max(busy * trust)
    }

    /// Expected cost of one more call; lower is better.
    pub fn cost(&self, now: Duration, slots: u32) -> f64 {
        let latency = self.latency.max(1e-4);
        let waiting = f64::from(self.outstanding + 1) / f64::from(slots.max(1));
        latency * (1.0 + waiting + self.utilisation(now, slots))
    }
}
