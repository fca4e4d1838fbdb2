//! Reports as they were received, and the choice among the relays that sent the same sum.

use std::collections::HashMap;
use std::time::Duration;

use super::ledger::AdmissionLedger;
use super::report::DemandReport;

/// Age from which a report is ignored; a live daemon sends several a second.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);
/// Age of its newest report up to which a relay counts as active. The second relay of a failure
/// domain sends less often than the first, but within this time.
const MAX_ACTIVE_AGE: Duration = Duration::from_millis(600);

/// Report of a sender and the time of its arrival.
#[derive(Debug)]
pub struct ReceivedDemand {
    pub report: DemandReport,
    received_at: Duration,
}

impl ReceivedDemand {
    /// Records a report that arrived at `now`.
    pub fn from_report(report: DemandReport, now: Duration) -> Self {
        Self {
            report,
            received_at: now,
        }
    }

    /// Returns true if the report is too old to be used.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.age(now) > REPORT_EXPIRY
    }

    /// Returns the time since the report arrived.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }
}

/// The same sum as several relays sent it.
#[derive(Debug, Default)]
pub struct RelayedDemand {
    /// Newest report of each relay, by its position in the order of daemons.
    by_relay: HashMap<u64, ReceivedDemand>,
    admitted: AdmissionLedger,
}

impl RelayedDemand {
    /// Records the sum that a relay sent.
    pub fn record(&mut self, relay: u64, report: DemandReport, now: Duration) {
        let received = ReceivedDemand::from_report(report, now);
        self.by_relay.insert(relay, received);
        // The other relays cover the same requests.
        let counts = self.preferred_relay(now) == Some(relay);
        if let Some(received) = self.by_relay.get(&relay) {
            let organisations = &received.report.organisations;
            self.admitted.record(relay, organisations, counts);
        }
    }

    /// Returns the sum in use: that of the highest relay among those that send regularly, or else
    /// the newest one that has not expired.
    pub fn preferred(&self, now: Duration) -> Option<&ReceivedDemand> {
        self.by_relay.get(&self.preferred_relay(now)?)
    }

    /// Returns the newest sum, even if it has expired.
    pub fn newest(&self, now: Duration) -> Option<&ReceivedDemand> {
        self.by_relay.values().min_by_key(|demand| demand.age(now))
    }

    /// Returns the admitted requests of an organisation, counted from an arbitrary start.
    pub fn admitted(&self, organisation: u32) -> u64 {
        self.admitted.total(organisation)
    }

    fn preferred_relay(&self, now: Duration) -> Option<u64> {
        let relays = self.by_relay.iter();
        let active = relays.filter(|(_, demand)| demand.age(now) <= MAX_ACTIVE_AGE);
        let highest = active.map(|(relay, _)| *relay).max();
        highest.or_else(|| {
            let relays = self.by_relay.iter();
            let unexpired = relays.filter(|(_, demand)| !demand.is_expired(now));
            let newest = unexpired.min_by_key(|(relay, demand)| (demand.age(now), **relay))?;
            Some(*newest.0)
        })
    }
}
