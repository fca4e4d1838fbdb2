//! The share of failures that a daemon reports, in steps that keep reports rare.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::window::OutcomeWindow;

/// Size of a reported step, in percent.
pub(super) const STEP_PERCENT: u8 = 10;
/// Difference in percent between the measured share and a reported step of 0 from which the step
/// follows.
const STEP_HYSTERESIS: u8 = 9;
/// Part of the reported step that adds to the difference, since a larger share varies more by chance.
const HYSTERESIS_DIVISOR: u8 = 8;
/// Measured share in percent below which an endpoint counts as sound.
const SOUND_PERCENT: u8 = 5;
/// Number of failures from which a sound endpoint counts as failing, so that a few by chance say
/// nothing of it.
const MIN_FAILURES: u32 = 4;

/// Share of failures of an endpoint in the calls of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainFailures {
    /// Hash of the domain's name.
    pub domain: u32,
    pub percent: u8,
}

/// Share of failures that the daemon beside an endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    pub percent: u8,
    /// The failure domain whose calls fail far more often than the others, if there is one.
    /// `percent` is then the share in the calls of the others.
    pub domain: Option<DomainFailures>,
}

impl FailureReport {
    /// Returns the share of failures in percent that callers in a failure domain see.
    pub fn percent_for(&self, domain: u32) -> u8 {
        match self.domain {
            Some(failures) if failures.domain == domain => failures.percent,
            _ => self.percent,
        }
    }
}

/// Reported step of one share of failures.
#[derive(Debug, Default)]
pub struct FailureStep {
    percent: u8,
}

impl FailureStep {
    /// Returns the reported step in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Follows the measured share and returns the step in percent.
    ///
    /// An endpoint that was set aside gets few calls. Its step stays while these are too few to tell,
    /// unless none of them failed.
    pub fn update(&mut self, window: &mut OutcomeWindow, now: Duration) -> u8 {
        match window.failure_percent(now) {
            None if window.failures() == 0 => self.percent = 0,
            None => {}
            Some(measured) if measured < SOUND_PERCENT => self.percent = 0,
            Some(_) if self.percent == 0 && window.failures() < MIN_FAILURES => {}
            Some(measured) if measured.abs_diff(self.percent) >= self.hysteresis() => {
                self.percent = (measured + STEP_PERCENT / 2) / STEP_PERCENT * STEP_PERCENT;
            }
            Some(_) => {}
        }
        self.percent
    }

    fn hysteresis(&self) -> u8 {
        STEP_HYSTERESIS + self.percent / HYSTERESIS_DIVISOR
    }
}
