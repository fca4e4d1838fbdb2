//! Slot time that a call tree uses at one service.

use serde::Deserialize;
use serde::Serialize;

/// Slot time of a call and the calls below it at one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Hash of the service's name.
    pub service: u32,
    /// Slot time in microseconds.
    pub slot_us: u32,
}
