//! Corrects the assumed supply of a service by the queue that forms there.
//!
//! What trees cost is learned, and after a restart of the whole fleet nothing is known while all
//! callers come back at once. A long queue then cuts the supply until trees are finished again.

/// Work in hand over slots at which a service is neither idle nor queueing.
const TARGET_OCCUPANCY: f64 = 1.0;
/// Weight of one more report in the smoothed work in hand.
const REPORT_WEIGHT: f64 = 0.35;
/// Change of the factor for each unit of work in hand off the mark.
const INTEGRAL_GAIN: f64 = 0.06;
/// Largest changes with one report: use follows admission by about a second.
const MAX_STEP_UP: f64 = 0.03;
const MAX_STEP_DOWN: f64 = 0.06;
/// Prompt answer to the work in hand, beside the slow one.
const PROPORTIONAL_GAIN: f64 = 0.9;
const MAX_PROPORTIONAL: f64 = 0.6;
const MIN_FACTOR: f64 = 0.45;
const MAX_FACTOR: f64 = 1.4;

/// A factor on the slots of one service.
#[derive(Debug, Clone, Copy)]
pub struct CapacityCorrection {
    factor: f64,
    occupancy: f64,
}

impl CapacityCorrection {
    /// Starts at the announced slots.
    pub fn start() -> Self {
        Self {
            factor: 1.0,
            occupancy: 0.0,
        }
    }

    /// Takes the work in hand over slots of one more report.
    pub fn observe(&mut self, occupancy: f64) {
        self.occupancy += REPORT_WEIGHT * (occupancy - self.occupancy);
        let step = (INTEGRAL_GAIN * (TARGET_OCCUPANCY - self.occupancy))
            .clamp(-MAX_STEP_DOWN, MAX_STEP_UP);
        self.factor = (self.factor * (1.0 + step)).clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// What the slots are multiplied by.
    pub fn factor(&self) -> f64 {
        let proportional = (PROPORTIONAL_GAIN * (TARGET_OCCUPANCY - self.occupancy))
            .clamp(-MAX_PROPORTIONAL, MAX_PROPORTIONAL);
        self.factor * (1.0 + proportional)
    }
}
