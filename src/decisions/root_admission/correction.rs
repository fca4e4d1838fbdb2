//! Corrects the assumed capacity of a service by its measured occupancy.
//!
//! The costs of call trees are estimates, and none exist after a restart of the whole fleet, when
//! all callers return at once. A long queue then lowers the capacity until call trees complete
//! again. The correction is a proportional-integral controller.

/// Occupancy (calls in hand over slots) at which a service is neither idle nor queueing.
const TARGET_OCCUPANCY: f64 = 1.0;
/// Weight of the newest report in the moving average of the occupancy.
const REPORT_WEIGHT: f64 = 0.35;
/// Relative change of the integral factor with each report, for each unit of occupancy error.
const INTEGRAL_GAIN: f64 = 0.06;
/// Maximum relative changes with one report, because the load lags admission by about a second.
const MAX_STEP_UP: f64 = 0.03;
const MAX_STEP_DOWN: f64 = 0.06;
/// Immediate correction for each unit of occupancy error, in addition to the integral factor.
const PROPORTIONAL_GAIN: f64 = 0.9;
const MAX_PROPORTIONAL: f64 = 0.6;
const MIN_FACTOR: f64 = 0.45;
const MAX_FACTOR: f64 = 1.4;

/// Correction factor on the slots of one service.
#[derive(Debug, Clone, Copy)]
pub struct CapacityCorrection {
    factor: f64,
    occupancy: f64,
}

impl CapacityCorrection {
    /// Creates a correction with a factor of 1.
    pub fn start() -> Self {
        Self {
            factor: 1.0,
            occupancy: 0.0,
        }
    }

    /// Updates the correction with the occupancy of a new report.
    pub fn observe(&mut self, occupancy: f64) {
        self.occupancy += REPORT_WEIGHT * (occupancy - self.occupancy);
        let step = (INTEGRAL_GAIN * (TARGET_OCCUPANCY - self.occupancy))
            .clamp(-MAX_STEP_DOWN, MAX_STEP_UP);
        self.factor = (self.factor * (1.0 + step)).clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// Returns the factor by which the announced slots are multiplied.
    pub fn factor(&self) -> f64 {
        let proportional = (PROPORTIONAL_GAIN * (TARGET_OCCUPANCY - self.occupancy))
            .clamp(-MAX_PROPORTIONAL, MAX_PROPORTIONAL);
        self.factor * (1.0 + proportional)
    }
}
