//! Corrects the assumed supply of a service by the queue that forms there.

/// Work in hand over slots above which too much was let in.
const OVERFULL: f64 = 1.1;
/// Work in hand over slots below which more may enter.
const ROOMY: f64 = 0.92;
const CUT: f64 = 0.94;
const RAISE: f64 = 1.02;
const MIN_TRIM: f64 = 0.4;
const MAX_TRIM: f64 = 1.15;

/// A factor on the slots of one service; it falls quickly and rises slowly.
#[derive(Debug, Clone, Copy)]
pub struct SupplyTrim {
    factor: f64,
}

impl SupplyTrim {
    /// Starts at the announced slots.
    pub fn start() -> Self {
        Self { factor: 1.0 }
    }

    /// Takes the work in hand over slots of one more report.
    pub fn observe(&mut self, occupancy: f64) {
        if occupancy > OVERFULL {
            self.factor = (self.factor * CUT).max(MIN_TRIM);
        } else if occupancy < ROOMY {
            self.factor = (self.factor * RAISE).min(MAX_TRIM);
        }
    }

    /// What the slots are multiplied by.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
