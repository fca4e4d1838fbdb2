//! Corrects the assumed supply of a service by the queue that forms there.
//!
//! What trees cost is learned, and after a restart of the whole fleet nothing is known while all
//! callers come back at once. A long queue then cuts the supply until trees are finished again.

/// Work in hand over slots at which a service is neither idle nor queueing.
const FULL: f64 = 1.0;
/// Weight of one more report in the smoothed work in hand.
const REPORT_WEIGHT: f64 = 0.35;
/// Change of the factor for each unit of work in hand off the mark.
const GAIN: f64 = 0.06;
/// Largest changes with one report: use follows admission by about a second.
const MAX_RAISE: f64 = 0.03;
const MAX_CUT: f64 = 0.06;
/// Prompt answer to the work in hand, beside the slow one.
const PROMPT_GAIN: f64 = 0.9;
const MAX_LEAN: f64 = 0.6;
const MIN_TRIM: f64 = 0.45;
const MAX_TRIM: f64 = 1.4;

/// A factor on the slots of one service.
#[derive(Debug, Clone, Copy)]
pub struct SupplyTrim {
    factor: f64,
    occupancy: f64,
}

impl SupplyTrim {
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
        let step = (GAIN * (FULL - self.occupancy)).clamp(-MAX_CUT, MAX_RAISE);
        self.factor = (self.factor * (1.0 + step)).clamp(MIN_TRIM, MAX_TRIM);
    }

    /// What the slots are multiplied by.
    pub fn factor(&self) -> f64 {
        let lean = (PROMPT_GAIN * (FULL - self.occupancy)).clamp(-MAX_LEAN, MAX_LEAN);
        self.factor * (1.0 + lean)
    }
}
