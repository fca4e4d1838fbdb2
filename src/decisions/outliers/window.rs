//! The most recent answers of an endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Age up to which an answer counts. An endpoint that is well again is taken back within this time.
const ANSWER_RETENTION: Duration = Duration::from_secs(6);
/// Maximum number of answers that count, so that a busy endpoint is judged by its last seconds.
const MAX_ANSWERS: usize = 64;
/// Number of answers from which a share of failures means anything.
pub(super) const MIN_ANSWERS: usize = 10;

#[derive(Debug)]
struct EndpointAnswer {
    at: Duration,
    failed: bool,
}

/// Recent answers of an endpoint, oldest first.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    answers: VecDeque<EndpointAnswer>,
    failures: u32,
}

impl OutcomeWindow {
    /// Adds an answer.
    pub fn record(&mut self, failed: bool, now: Duration) {
        self.expire(now);
        if self.answers.len() == MAX_ANSWERS {
            self.remove_oldest();
        }
        self.answers.push_back(EndpointAnswer { at: now, failed });
        self.failures += u32::from(failed);
    }

    /// Returns the share of failures in percent, or none if there are too few answers to tell.
    pub fn failure_percent(&mut self, now: Duration) -> Option<u8> {
        self.expire(now);
        let answers = self.answers.len();
        if answers < MIN_ANSWERS {
            return None;
        }
        Some((self.failures * 100 / answers as u32) as u8)
    }

    /// Returns the number of answers that count.
    pub fn answers(&self) -> usize {
        self.answers.len()
    }

    /// Returns the number of failures among the answers that count.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn expire(&mut self, now: Duration) {
        while self
            .answers
            .front()
            .is_some_and(|oldest| now.saturating_sub(oldest.at) > ANSWER_RETENTION)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.answers.pop_front() {
            self.failures -= u32::from(oldest.failed);
        }
    }
}
