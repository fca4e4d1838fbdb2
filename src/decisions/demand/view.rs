//! A daemon's view of the demand at all other daemons.

use std::time::Duration;

use super::received::ReceivedDemand;
use super::received::RelayedDemand;
use super::report::DemandReport;

/// Time for which the last sum is used when no relay can be reached. A daemon that is cut off must
/// not take the whole of a quota for itself.
const LAST_SUM_RETENTION: Duration = Duration::from_secs(10);

/// Sums over all other daemons, as the relays of the own failure domain sent them.
#[derive(Debug, Default)]
pub struct DemandView {
    sums: RelayedDemand,
}

impl DemandView {
    /// Records the sum that a relay sent.
    pub fn record(&mut self, relay: u64, report: DemandReport, now: Duration) {
        self.sums.record(relay, report, now);
    }

    /// Returns the sum in use, or the last one for some time if no relay sends any.
    pub fn others(&self, now: Duration) -> Option<&DemandReport> {
        Some(&self.sum(now)?.report)
    }

    /// Returns the age of the sum that [`Self::others`] returns.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.sum(now)?.age(now))
    }

    /// Returns the requests of an organisation that the others admitted, counted from an arbitrary
    /// start.
    pub fn admitted(&self, organisation: u32) -> u64 {
        self.sums.admitted(organisation)
    }

    fn sum(&self, now: Duration) -> Option<&ReceivedDemand> {
        let retained = |sum: &&ReceivedDemand| sum.age(now) <= LAST_SUM_RETENTION;
        let sum = self.sums.preferred(now);
        sum.or_else(|| self.sums.newest(now).filter(retained))
    }
}
