//! Evacuation of the endpoint on this VM together with its failure domain.

use std::cell::Cell;

use super::endpoint::EndpointExecutor;

/// Whether the endpoint's failure domain is evacuated, and how many calls were refused for that.
#[derive(Debug, Default)]
pub struct EvacuationGate {
    evacuated: Cell<bool>,
    refused: Cell<u64>,
}

impl EvacuationGate {
    /// Returns true if the endpoint may get no new call.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.get()
    }

    /// Counts a call that was refused because of the evacuation.
    pub fn record_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }
}

impl EndpointExecutor {
    /// Sets whether the endpoint's failure domain is evacuated.
    ///
    /// From the start of an evacuation no call begins at the endpoint: waiting calls are refused as not
    /// run, running ones end as usual. See `docs/design/evacuation.md`.
    pub fn set_evacuated(&self, evacuated: bool) {
        if self.evacuation.evacuated.replace(evacuated) == evacuated {
            return;
        }
        if evacuated {
            self.slots.reject_waiting();
        } else {
            self.begin_recovery();
        }
    }

    /// Returns the number of calls that were refused because the endpoint's domain is evacuated.
    pub fn evacuation_refusals(&self) -> u64 {
        self.evacuation.refused.get()
    }
}
