//! Adds up demand reports.

use std::collections::BTreeMap;

use super::report::ClassRate;
use super::report::DemandReport;
use super::report::OrganisationDemand;
use super::report::ServiceLoad;
use crate::decisions::root_admission::ClassKey;
use crate::decisions::root_admission::ServiceUsage;

/// Sum of several demand reports, without the counts of admitted requests.
#[derive(Debug, Clone, Default)]
pub struct DemandSum {
    /// Requests per ten seconds by organisation.
    organisations: BTreeMap<u32, u32>,
    classes: BTreeMap<ClassKey, ClassSum>,
    services: BTreeMap<u32, (u32, u32)>,
}

#[derive(Debug, Clone, Default)]
struct ClassSum {
    offered: u64,
    /// Part of `offered` from reports that know the costs.
    known: u64,
    /// Slot time by service, weighted with the offered requests.
    weighted_us: BTreeMap<u32, u64>,
}

impl DemandSum {
    /// Adds a report.
    pub fn add(&mut self, report: &DemandReport) {
        self.combine(report, u32::saturating_add, u64::saturating_add);
    }

    /// Subtracts a report that was added before.
    pub fn subtract(&mut self, report: &DemandReport) {
        self.combine(report, u32::saturating_sub, u64::saturating_sub);
    }

    /// Returns the sum as a report; `admitted` returns an organisation's admitted requests.
    pub fn report(&self, admitted: impl Fn(u32) -> u64) -> DemandReport {
        let organisations = self.organisations.iter().filter(|(_, rate)| **rate > 0);
        let classes = self.classes.iter().filter(|(_, class)| class.offered > 0);
        let services = self.services.iter().filter(|(_, load)| load.0 > 0);
        DemandReport {
            organisations: organisations
                .map(|(name_hash, rate)| OrganisationDemand {
                    name_hash: *name_hash,
                    requests_per_10s: *rate,
                    admitted: admitted(*name_hash),
                })
                .collect(),
            classes: classes.map(|(key, class)| class.rate(*key)).collect(),
            services: services
                .map(|(name_hash, (slots, in_hand))| ServiceLoad {
                    name_hash: *name_hash,
                    slots: *slots,
                    in_hand: *in_hand,
                })
                .collect(),
        }
    }

    fn combine(
        &mut self,
        report: &DemandReport,
        narrow: impl Fn(u32, u32) -> u32,
        wide: impl Fn(u64, u64) -> u64,
    ) {
        for demand in &report.organisations {
            let rate = self.organisations.entry(demand.name_hash).or_default();
            *rate = narrow(*rate, demand.requests_per_10s);
        }
        for rate in &report.classes {
            let class = self.classes.entry(rate.class).or_default();
            let offered = u64::from(rate.requests_per_100s);
            class.offered = wide(class.offered, offered);
            if rate.costs.is_empty() {
                continue;
            }
            class.known = wide(class.known, offered);
            for usage in &rate.costs {
                let weighted = class.weighted_us.entry(usage.service).or_default();
                *weighted = wide(*weighted, offered * u64::from(usage.slot_us));
            }
        }
        for load in &report.services {
            let (slots, in_hand) = self.services.entry(load.name_hash).or_default();
            *slots = narrow(*slots, load.slots);
            *in_hand = narrow(*in_hand, load.in_hand);
        }
    }
}

impl ClassSum {
    fn rate(&self, class: ClassKey) -> ClassRate {
        let costs = self.weighted_us.iter().filter_map(|(service, weighted)| {
            let slot_us = weighted.checked_div(self.known)?;
            Some(ServiceUsage {
                service: *service,
                slot_us: u32::try_from(slot_us).unwrap_or(u32::MAX),
            })
        });
        ClassRate {
            class,
            requests_per_100s: u32::try_from(self.offered).unwrap_or(u32::MAX),
            costs: costs.filter(|usage| usage.slot_us > 0).collect(),
        }
    }
}
