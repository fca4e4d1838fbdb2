//! Totals of admitted requests from senders whose own counts start at different values.

use std::collections::HashMap;

use super::report::OrganisationDemand;

/// Totals of admitted requests by organisation.
///
/// A sender's count starts anew when it restarts, and two relays of one failure domain count from
/// different starts. So only the increments of each sender's count are added.
#[derive(Debug, Default)]
pub struct AdmissionLedger {
    /// Counts by sender and organisation.
    senders: HashMap<(u64, u32), SenderCount>,
    totals: HashMap<u32, u64>,
}

/// Count of one sender for one organisation.
#[derive(Debug)]
struct SenderCount {
    last: u64,
    /// Sum of the increments that were added to the total.
    added: u64,
}

impl AdmissionLedger {
    /// Records the counts of a sender. Their increments are added to the totals if `counts` is
    /// true; otherwise another sender covers the same requests.
    pub fn record(&mut self, sender: u64, demands: &[OrganisationDemand], counts: bool) {
        for demand in demands {
            let key = (sender, demand.name_hash);
            let count = self.senders.entry(key).or_insert(SenderCount {
                last: demand.admitted,
                added: 0,
            });
            let increment = demand.admitted.saturating_sub(count.last);
            count.last = demand.admitted;
            if counts {
                count.added += increment;
                *self.totals.entry(demand.name_hash).or_default() += increment;
            }
        }
    }

    /// Returns the admitted requests of an organisation, counted from an arbitrary start.
    pub fn total(&self, organisation: u32) -> u64 {
        self.totals.get(&organisation).copied().unwrap_or(0)
    }

    /// Returns the part of an organisation's total that one sender added.
    pub fn added_by(&self, sender: u64, organisation: u32) -> u64 {
        let count = self.senders.get(&(sender, organisation));
        count.map_or(0, |count| count.added)
    }
}
