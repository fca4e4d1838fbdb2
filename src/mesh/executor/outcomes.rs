//! Records what the outcomes of calls say of the endpoint on the same VM.
//!
//! A failure of a call below the endpoint is not its own: the endpoint answers with an error because a
//! call that it needs failed. See `docs/design/outliers.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::Instant;

use super::super::link::RefusalCause;
use super::call::CallOutcome;
use crate::decisions::outliers::EndpointOutcome;
use crate::decisions::outliers::FailureReport;
use crate::decisions::outliers::OutcomeTable;
use crate::observe::LogEvent;

/// Progress of one call at the endpoint.
#[derive(Debug)]
pub struct CallProgress<'a> {
    /// Set before the first byte of the call can reach the endpoint.
    pub forwarded: &'a Cell<bool>,
    /// Set when the call ends while one of the calls that it made is open or after one of them failed.
    pub failed_below: Cell<bool>,
}

impl<'a> CallProgress<'a> {
    /// Creates the progress of a call that has not been forwarded.
    pub fn from_flag(forwarded: &'a Cell<bool>) -> Self {
        Self {
            forwarded,
            failed_below: Cell::new(false),
        }
    }
}

/// Recent outcomes of the calls at the endpoint.
#[derive(Debug)]
pub struct OutcomeRecorder {
    started: Instant,
    table: RefCell<OutcomeTable>,
}

/// Records a call as unanswered on drop, unless its outcome was recorded.
#[derive(Debug)]
pub struct OutcomeGuard<'a> {
    recorder: &'a OutcomeRecorder,
    progress: &'a CallProgress<'a>,
    domain: u32,
    began: Instant,
    recorded: bool,
}

impl OutcomeRecorder {
    /// Creates a recorder without outcomes.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            table: RefCell::new(OutcomeTable::default()),
        }
    }

    /// Forgets all outcomes, because another incarnation of the endpoint has started.
    pub fn clear(&self) {
        self.table.take();
    }

    /// Watches a call of a failure domain that holds a slot from now on.
    pub fn watch<'a>(&'a self, domain: u32, progress: &'a CallProgress<'a>) -> OutcomeGuard<'a> {
        OutcomeGuard {
            recorder: self,
            progress,
            domain,
            began: Instant::now(),
            recorded: false,
        }
    }

    /// Returns the share of failures that is reported to other daemons.
    pub fn report(&self) -> FailureReport {
        self.table.borrow().last_report()
    }

    /// Updates the reported share of failures, and logs it if it has changed.
    pub fn update_report(&self) {
        let mut table = self.table.borrow_mut();
        let before = table.last_report();
        let after = table.report(self.started.elapsed());
        if after == before {
            return;
        }
        let event = LogEvent::FailureShareChanged.number();
        let (answers, failures) = table.counts();
        tracing::warn!(
            event,
            percent = after.percent,
            before = before.percent,
            domain = ?after.domain,
            answers,
            failures,
            "the endpoint's share of failures changed"
        );
    }

    fn record(&self, domain: u32, outcome: EndpointOutcome, held: Duration) {
        let now = self.started.elapsed();
        let mut table = self.table.borrow_mut();
        table.record(domain, outcome, held, now);
    }
}

impl OutcomeGuard<'_> {
    /// Records the outcome of the call and returns the time for which it held its slot. `by_deadline` is
    /// true if time is left until its deadline, `limited` if the endpoint names a limit of requests a second.
    pub fn close(mut self, outcome: &CallOutcome, by_deadline: bool, limited: bool) -> Duration {
        self.recorded = true;
        let held = self.began.elapsed();
        if self.progress.failed_below.get() && !is_success(outcome) {
            return held;
        }
        if let Some(outcome) = judge_outcome(outcome, by_deadline, limited) {
            self.recorder.record(self.domain, outcome, held);
        }
        held
    }
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        let abandoned = !self.recorded && self.progress.forwarded.get();
        if abandoned && !self.progress.failed_below.get() {
            let outcome = EndpointOutcome::Unanswered;
            self.recorder
                .record(self.domain, outcome, self.began.elapsed());
        }
    }
}

fn is_success(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Completed(response) if !response.status.is_server_error())
}

/// Returns what an outcome says of the endpoint, or none if it says nothing.
pub fn judge_outcome(
    outcome: &CallOutcome,
    by_deadline: bool,
    limited: bool,
) -> Option<EndpointOutcome> {
    let failed = if by_deadline {
        EndpointOutcome::Failed
    } else {
        EndpointOutcome::Unanswered
    };
    match outcome {
        CallOutcome::Completed(response) if !response.status.is_server_error() => {
            Some(EndpointOutcome::Good)
        }
        CallOutcome::Completed(response) if response.status == StatusCode::GATEWAY_TIMEOUT => {
            Some(EndpointOutcome::Unanswered)
        }
        CallOutcome::Completed(_) | CallOutcome::Unknown => Some(failed),
        // An endpoint that names a limit refuses what goes beyond it.
        CallOutcome::Refused(RefusalCause::EndpointShed) => (!limited).then_some(failed),
        CallOutcome::Refused(_) => None,
    }
}
