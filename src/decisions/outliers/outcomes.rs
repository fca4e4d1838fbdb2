//! Outcomes of the calls at one endpoint, by the failure domain of the callers.

use std::time::Duration;

use smallvec::SmallVec;

use super::step::DomainFailures;
use super::step::FailureReport;
use super::step::FailureStep;
use super::step::STEP_PERCENT;
use super::window::OutcomeWindow;
use super::window::MIN_ANSWERS;

/// Maximum number of failure domains that are told apart; calls of further ones count only in the total.
const MAX_DOMAINS: usize = 8;
/// Share of failures in percent from which a failure domain is reported on its own.
const MIN_DOMAIN_PERCENT: u8 = 20;
/// Ratio of a domain's share of failures to that of the others from which it is reported on its own.
const DOMAIN_RATIO: u8 = 3;
/// Shortest time between two changes of the report, which goes to all daemons.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the newest call in the mean run time.
const RUN_TIME_SMOOTHING: f64 = 0.1;
/// Ratio to the mean run time from which a call without an answer counts against the endpoint. A
/// caller may give up earlier, or leave too little time.
const UNANSWERED_RATIO: f64 = 4.0;
/// Shortest time after which a call without an answer counts against the endpoint.
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(500);

/// What the outcome of a call says of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered as it should.
    Good,
    /// It refused the call, answered with an error of its own or not with a valid response.
    Failed,
    /// It gave no answer while the caller waited.
    Unanswered,
}

#[derive(Debug, Default)]
struct DomainOutcomes {
    domain: u32,
    window: OutcomeWindow,
    step: FailureStep,
}

/// Recent outcomes of the calls at one endpoint.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    /// By failure domain, in the order of their first calls.
    domains: SmallVec<[DomainOutcomes; 4]>,
    all: DomainOutcomes,
    mean_run_seconds: f64,
    report: FailureReport,
    changed_at: Duration,
}

impl OutcomeTable {
    /// Records the outcome of a call of a failure domain that held a slot for `held`.
    pub fn record(&mut self, domain: u32, outcome: EndpointOutcome, held: Duration, now: Duration) {
        let failed = match outcome {
            EndpointOutcome::Good => {
                self.record_run_time(held.as_secs_f64());
                false
            }
            EndpointOutcome::Failed => true,
            EndpointOutcome::Unanswered if self.is_overdue(held) => true,
            EndpointOutcome::Unanswered => return,
        };
        self.all.window.record(failed, now);
        let known = self.domains.iter_mut().find(|one| one.domain == domain);
        if let Some(outcomes) = known {
            outcomes.window.record(failed, now);
        } else if self.domains.len() < MAX_DOMAINS {
            let mut outcomes = DomainOutcomes {
                domain,
                ..DomainOutcomes::default()
            };
            outcomes.window.record(failed, now);
            self.domains.push(outcomes);
        }
    }

    /// Returns the share of failures to report, in steps. It changes at most once in a short interval.
    pub fn report(&mut self, now: Duration) -> FailureReport {
        if now.saturating_sub(self.changed_at) >= MIN_REPORT_INTERVAL {
            let report = self.measure(now);
            if report != self.report {
                self.report = report;
                self.changed_at = now;
            }
        }
        self.report
    }

    /// Returns the share of failures that was last reported.
    pub fn last_report(&self) -> FailureReport {
        self.report
    }

    /// Returns the number of answers and of failures that count.
    pub fn counts(&self) -> (usize, u32) {
        (self.all.window.answers(), self.all.window.failures())
    }

    fn measure(&mut self, now: Duration) -> FailureReport {
        let percent = self.all.step.update(&mut self.all.window, now);
        for outcomes in &mut self.domains {
            outcomes.step.update(&mut outcomes.window, now);
        }
        let worst = self.domains.iter().max_by_key(|one| one.step.percent());
        let alone = worst.and_then(|worst| self.failures_alone(worst));
        alone.unwrap_or(FailureReport {
            percent,
            domain: None,
        })
    }

    /// Returns a report of a domain's failures on their own if the calls of the others fail far less
    /// often.
    fn failures_alone(&self, worst: &DomainOutcomes) -> Option<FailureReport> {
        let others = self.domains.iter().filter(|one| one.domain != worst.domain);
        let (answers, failures) = others.fold((0, 0), |(answers, failures), one| {
            let window = &one.window;
            (answers + window.answers(), failures + window.failures())
        });
        let worst_percent = worst.step.percent();
        if worst_percent < MIN_DOMAIN_PERCENT || answers < MIN_ANSWERS {
            return None;
        }
        let others_percent = (failures * 100 / answers as u32) as u8;
        let stands_out = worst_percent / DOMAIN_RATIO >= others_percent;
        stands_out.then(|| FailureReport {
            percent: others_percent / STEP_PERCENT * STEP_PERCENT,
            domain: Some(DomainFailures {
                domain: worst.domain,
                percent: worst_percent,
            }),
        })
    }

    fn is_overdue(&self, held: Duration) -> bool {
        let overdue_seconds = self.mean_run_seconds * UNANSWERED_RATIO;
        held >= MIN_UNANSWERED_TIME && held.as_secs_f64() >= overdue_seconds
    }

    fn record_run_time(&mut self, seconds: f64) {
        if self.mean_run_seconds == 0.0 {
            self.mean_run_seconds = seconds;
        }
        self.mean_run_seconds += RUN_TIME_SMOOTHING * (seconds - self.mean_run_seconds);
    }
}
