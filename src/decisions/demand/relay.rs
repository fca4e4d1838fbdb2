//! The sums that a relay keeps.

use std::collections::HashMap;
use std::time::Duration;

use super::ledger::AdmissionLedger;
use super::received::ReceivedDemand;
use super::received::RelayedDemand;
use super::report::DemandReport;
use super::sum::DemandSum;

/// Demand that a relay has received.
#[derive(Debug, Default)]
pub struct RelayTable {
    /// Newest report of each daemon of the relay's own failure domain.
    members: HashMap<u64, ReceivedDemand>,
    /// Requests that these daemons have admitted.
    admitted: AdmissionLedger,
    /// Sums of the other failure domains.
    domains: HashMap<u32, RelayedDemand>,
}

impl RelayTable {
    /// Records the report of a daemon of the own failure domain.
    pub fn record_member(&mut self, member: u64, report: DemandReport, now: Duration) {
        self.admitted.record(member, &report.organisations, true);
        let received = ReceivedDemand::from_report(report, now);
        self.members.insert(member, received);
    }

    /// Records the sum of another failure domain, as one of its relays sent it.
    pub fn record_domain(&mut self, domain: u32, relay: u64, report: DemandReport, now: Duration) {
        let demand = self.domains.entry(domain).or_default();
        demand.record(relay, report, now);
    }

    /// Removes daemons of the own failure domain whose reports have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        self.members.retain(|_, demand| !demand.is_expired(now));
    }

    /// Returns the number of daemons of the own failure domain whose reports are held.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of other failure domains whose sums are current.
    pub fn domains(&self, now: Duration) -> usize {
        let domains = self.domains.values();
        let current = domains.filter(|domain| domain.preferred(now).is_some());
        current.count()
    }

    /// Returns the sum over the daemons of the own failure domain.
    pub fn domain_report(&self) -> DemandReport {
        self.domain_sum()
            .report(|organisation| self.admitted.total(organisation))
    }

    /// Returns the sum over the daemons of all failure domains.
    pub fn fleet_sum(&self, now: Duration) -> DemandSum {
        let mut sum = self.domain_sum();
        for domain in self.domains.values() {
            if let Some(demand) = domain.preferred(now) {
                sum.add(&demand.report);
            }
        }
        sum
    }

    /// Returns the part of `fleet_sum` that comes from daemons other than `member`.
    pub fn others_report(&self, member: u64, fleet_sum: &DemandSum) -> DemandReport {
        let mut sum = fleet_sum.clone();
        if let Some(demand) = self.members.get(&member) {
            sum.subtract(&demand.report);
        }
        sum.report(|organisation| {
            let domains = self.domains.values();
            let elsewhere: u64 = domains.map(|domain| domain.admitted(organisation)).sum();
            let total = self.admitted.total(organisation) + elsewhere;
            total.saturating_sub(self.admitted.added_by(member, organisation))
        })
    }

    fn domain_sum(&self) -> DemandSum {
        let mut sum = DemandSum::default();
        for demand in self.members.values() {
            sum.add(&demand.report);
        }
        sum
    }
}
