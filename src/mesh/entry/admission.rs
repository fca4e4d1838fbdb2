//! Admission state of the entry: organisations' quotas, classes' shares and retry budgets.

use std::collections::HashMap;
use std::time::Duration;

use super::super::fleet::hash_name;
use super::charge_counts::ChargeCounts;
use super::class_state::ClassState;
use crate::decisions::demand::ClassRate;
use crate::decisions::demand::DemandReport;
use crate::decisions::demand::OrganisationDemand;
use crate::decisions::quota::PeerDemand;
use crate::decisions::quota::QuotaRule;
use crate::decisions::quota::QuotaShare;
use crate::decisions::quota::QuotaTolerance;
use crate::decisions::retries::RetryBound;
use crate::decisions::retries::RetryWindow;
use crate::decisions::root_admission::allocate_shares;
use crate::decisions::root_admission::CapacityCorrection;
use crate::decisions::root_admission::ClassDemand;
use crate::decisions::root_admission::ClassKey;
use crate::decisions::root_admission::ServiceCapacity;
use crate::decisions::root_admission::ServiceUsage;
use crate::decisions::root_admission::TreeCosts;
use crate::observe::LogEvent;

/// Utilisation of a service's slots that is allocated; service times grow near full utilisation.
const TARGET_UTILISATION: f64 = 0.93;
/// Reports carry the rate of a class as a whole number of requests in this many seconds.
const CLASS_RATE_SECONDS: f64 = 100.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// A share above this counts as admission of all requests.
const FULL_SHARE: f64 = 0.999;
/// Classes with fewer requests per second are left out of reports.
const MIN_REPORTED_RATE: f64 = 0.02;
/// Number of allocations per logged one.
const ALLOCATIONS_PER_LOG_LINE: u32 = 4;

/// Admission state of one entry.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    classes: HashMap<ClassKey, ClassState>,
    quotas: HashMap<u32, QuotaShare>,
    others_demand: Option<OthersDemand>,
    /// Requests that the other daemons have admitted, by hash of the organisation's name.
    others_admitted: HashMap<u32, u64>,
    costs: TreeCosts,
    corrections: HashMap<u32, CapacityCorrection>,
    planned_capacities: HashMap<u32, f64>,
    retry_budgets: HashMap<u32, RetryWindow>,
    charges: ChargeCounts,
    /// True while a failure domain is evacuated, so that a service may have no slots at all.
    evacuating: bool,
    /// Number of allocations since the start.
    allocations: u32,
}

impl EntryAdmission {
    /// Counts a request of a class and returns true if it is admitted. Over time, the class's share
    /// of its requests is admitted.
    pub fn admit_class(&mut self, class: ClassKey) -> bool {
        self.classes.entry(class).or_default().admit()
    }

    /// Takes back a request that its class admitted and its organisation's quota refused.
    pub fn return_class(&mut self, class: ClassKey) {
        self.classes.entry(class).or_default().return_admission();
    }

    /// Returns the admitted share of each class, for metrics.
    pub fn shares(&self) -> impl Iterator<Item = (ClassKey, f64)> + '_ {
        let classes = self.classes.iter();
        classes.map(|(class, state)| (*class, state.share()))
    }

    /// Returns the capacity of a service that was last allocated, in slot-seconds per second, for
    /// metrics.
    pub fn planned_capacity(&self, service: &str) -> Option<f64> {
        self.planned_capacities.get(&hash_name(service)).copied()
    }

    /// Returns the admitted share of a class, for log lines.
    pub fn class_share(&self, class: ClassKey) -> f64 {
        self.classes.get(&class).map_or(1.0, ClassState::share)
    }

    /// Charges one request to an organisation's quota, which `daemons` daemons share, and returns
    /// true if the quota had room for it. `sample` is uniformly distributed from 0 to 1.
    pub fn admit_organisation(
        &mut self,
        name: &str,
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        daemons: usize,
        sample: f64,
        now: Duration,
    ) -> bool {
        let share = self.quota_share(hash_name(name), sample);
        share.set_daemons(daemons);
        let admitted = share.admit(rule, tolerance, now);
        let within_rate = share.total_demand() <= rule.rate;
        self.charges.taken += u64::from(admitted);
        self.charges.refused_within_rate += u64::from(!admitted && within_rate);
        admitted
    }

    /// Returns true if a request that its class admitted exceeds the part of the class that its
    /// organisation's quota entitles it to. `sample` is uniformly distributed from 0 to 1.
    pub fn exceeds_class_part(
        &mut self,
        name: &str,
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        class: ClassKey,
        sample: f64,
    ) -> bool {
        let class_share = self.class_share(class);
        let share = self.quota_share(hash_name(name), sample);
        let exceeds = share.exceeds_class_part(rule, tolerance, class_share);
        self.charges.refused_in_full_class += u64::from(exceeds);
        exceeds
    }

    /// Returns the token of a request that has not run and never will.
    pub fn refund_organisation(&mut self, name: &str) {
        // An organisation without a share here has not been charged.
        if let Some(share) = self.quotas.get_mut(&hash_name(name)) {
            self.charges.returned += u64::from(share.refund());
        }
    }

    /// Returns the counts of tokens, for metrics.
    pub fn charge_counts(&self) -> ChargeCounts {
        self.charges
    }

    fn quota_share(&mut self, name_hash: u32, sample: f64) -> &mut QuotaShare {
        self.quotas.entry(name_hash).or_insert_with(|| {
            let mut share = QuotaShare::start(sample);
            if let Some(others) = &self.others_demand {
                share.set_peer_demand(Some(others.rate(name_hash)), others.delay);
            }
            share
        })
    }

    /// Returns the levels of an organisation's token bucket and of this daemon's part of it, for
    /// log lines.
    pub fn quota_levels(&self, name: &str) -> Option<(f64, f64)> {
        Some(self.quotas.get(&hash_name(name))?.levels())
    }

    /// Returns the requests a second that all daemons ask of an organisation's quota, for log
    /// lines.
    pub fn quota_demand(&self, name: &str) -> Option<f64> {
        Some(self.quotas.get(&hash_name(name))?.total_demand())
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&mut self, service: &str) -> &mut RetryWindow {
        self.retry_budgets.entry(hash_name(service)).or_default()
    }

    /// Spends one retry to a service and returns true if its budget had room for it.
    pub fn spend_retry(
        &mut self,
        service: &str,
        rule: &RetryBound,
        daemons: usize,
        now: Duration,
    ) -> bool {
        self.retry_budget(service).spend(rule, daemons, now)
    }

    /// Records the slot time that the call tree of a request took, and whether it succeeded.
    pub fn record_tree(&mut self, route: u32, succeeded: bool, usage: &[ServiceUsage]) {
        let costs = usage.iter();
        let costs = costs.map(|usage| {
            (
                usage.service,
                f64::from(usage.slot_us) / MICROSECONDS_PER_SECOND,
            )
        });
        self.costs.record_tree(route, succeeded, costs);
    }

    /// Adds the arrivals since the last allocation to the smoothed rates.
    pub fn update_offered_rates(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        for state in self.classes.values_mut() {
            state.update_rate(seconds);
        }
    }

    /// Updates this daemon's part of each quota from the demand at the other daemons.
    ///
    /// `admitted` returns the requests of an organisation that the others have admitted.
    pub fn update_quotas(
        &mut self,
        others: Option<&DemandReport>,
        admitted: impl Fn(u32) -> u64,
        daemons: usize,
        elapsed: Duration,
        demand_delay: Duration,
    ) {
        self.others_demand = others.map(|report| OthersDemand::from_report(report, demand_delay));
        for (name_hash, quota) in &mut self.quotas {
            let total = admitted(*name_hash);
            let last = self.others_admitted.insert(*name_hash, total);
            let others = self.others_demand.as_ref();
            let peers = PeerDemand {
                rate: others.map(|others| others.rate(*name_hash)),
                admitted: last.map_or(0, |last| total.saturating_sub(last)) as f64,
                report_age: demand_delay,
            };
            quota.set_daemons(daemons);
            quota.apply_reports(peers, elapsed);
        }
    }

    /// Sets whether a failure domain is evacuated. A service that no report names then has no capacity;
    /// without an evacuation its endpoints may just not have reported yet.
    pub fn set_evacuating(&mut self, evacuating: bool) {
        self.evacuating = evacuating;
    }

    /// Allocates to each class the share of its requests that the services have capacity for.
    ///
    /// The correction of the capacities follows the load only while it is current.
    pub fn update_class_shares(
        &mut self,
        others: Option<&DemandReport>,
        own: &DemandReport,
        load_is_current: bool,
    ) {
        let mut fleet = FleetTotals::default();
        for report in others.into_iter().chain([own]) {
            fleet.add(report);
        }
        if self.evacuating && load_is_current && others.is_some() {
            fleet.add_services_without_slots();
        }
        let services: Vec<u32> = fleet.services.keys().copied().collect();
        let capacities: Vec<ServiceCapacity> = services
            .iter()
            .map(|service| {
                self.service_capacity(*service, &fleet.services[service], load_is_current)
            })
            .collect();
        let planned = services.iter().zip(&capacities);
        self.planned_capacities = planned
            .map(|(service, capacity)| (*service, capacity.capacity))
            .collect();
        let demands: Vec<ClassDemand> = fleet
            .classes
            .iter()
            .map(|(key, totals)| totals.demand(*key, &services))
            .collect();
        let shares = allocate_shares(&capacities, &demands);
        self.log_allocation(&services, &fleet, &capacities, &demands, &shares);
        for (demand, share) in demands.iter().zip(shares) {
            if let Some(state) = self.classes.get_mut(&demand.key) {
                state.set_share(share);
            }
        }
    }

    /// Logs the inputs and results of the allocation once per second while some requests are
    /// refused.
    fn log_allocation(
        &mut self,
        services: &[u32],
        fleet: &FleetTotals,
        capacities: &[ServiceCapacity],
        demands: &[ClassDemand],
        shares: &[f64],
    ) {
        self.allocations += 1;
        let all_admitted = shares.iter().all(|share| *share >= FULL_SHARE);
        if all_admitted || !self.allocations.is_multiple_of(ALLOCATIONS_PER_LOG_LINE) {
            return;
        }
        let event = LogEvent::SharesDealt.number();
        for (index, service) in services.iter().enumerate() {
            let totals = &fleet.services[service];
            let (slots, in_hand) = (totals.slots, totals.in_hand);
            let supply = capacities[index].capacity;
            tracing::warn!(
                event,
                service,
                slots,
                in_hand,
                supply,
                "capacity of a service"
            );
        }
        for (demand, share) in demands.iter().zip(shares) {
            let ClassKey { rank, route } = demand.key;
            let (offered, costs) = (demand.offered, &demand.costs);
            tracing::warn!(
                event,
                route,
                rank,
                offered,
                share,
                ?costs,
                "admitted share of a class"
            );
        }
    }

    /// Returns the request rate and the cost of each class at this entry, without idle classes.
    pub fn class_rates(&self) -> Vec<ClassRate> {
        let active = self
            .classes
            .iter()
            .filter(|(_, state)| state.offered_rate() > MIN_REPORTED_RATE);
        active
            .map(|(class, state)| ClassRate {
                class: *class,
                requests_per_100s: (state.offered_rate() * CLASS_RATE_SECONDS) as u32,
                costs: self
                    .costs
                    .route_costs(class.route)
                    .iter()
                    .map(encode_usage)
                    .collect(),
            })
            .collect()
    }

    /// Returns each organisation's request rate and admitted requests at this entry. An
    /// organisation without requests for a second or two is left out: its admitted requests have
    /// been reported, and the count continues from there.
    pub fn organisation_demand(&self) -> Vec<OrganisationDemand> {
        let quotas = self.quotas.iter();
        quotas
            .map(|(name_hash, quota)| OrganisationDemand {
                name_hash: *name_hash,
                requests_per_10s: (quota.demand() * 10.0) as u32,
                admitted: quota.admitted(),
            })
            .filter(|demand| demand.requests_per_10s > 0)
            .collect()
    }

    fn service_capacity(
        &mut self,
        service: u32,
        totals: &ServiceTotals,
        load_is_current: bool,
    ) -> ServiceCapacity {
        let correction = self
            .corrections
            .entry(service)
            .or_insert_with(CapacityCorrection::start);
        if load_is_current && totals.slots > 0.0 {
            correction.observe(totals.in_hand / totals.slots.max(1.0));
        }
        ServiceCapacity {
            capacity: totals.slots * TARGET_UTILISATION * correction.factor(),
        }
    }
}

/// Demand of all organisations at the other daemons, as last received.
#[derive(Debug)]
struct OthersDemand {
    /// Requests per ten seconds by hash of the organisation's name.
    requests_per_10s: HashMap<u32, u32>,
    /// Time after which the other daemons know of a request here.
    delay: Duration,
}

impl OthersDemand {
    fn from_report(report: &DemandReport, delay: Duration) -> Self {
        let demands = report.organisations.iter();
        Self {
            requests_per_10s: demands
                .map(|demand| (demand.name_hash, demand.requests_per_10s))
                .collect(),
            delay,
        }
    }

    /// Returns the requests a second of one organisation.
    fn rate(&self, name_hash: u32) -> f64 {
        let requests = self.requests_per_10s.get(&name_hash);
        f64::from(requests.copied().unwrap_or(0)) / 10.0
    }
}

/// Slots of a service and calls that run or wait there, summed over its endpoints.
#[derive(Debug, Default)]
struct ServiceTotals {
    slots: f64,
    in_hand: f64,
}

/// Demand of a class, summed over all entries.
#[derive(Debug, Default)]
struct ClassTotals {
    /// Requests per second.
    offered: f64,
    /// Slot-seconds by service, summed over the entries that know them and weighted by their
    /// demand.
    weighted_costs: HashMap<u32, f64>,
    /// Requests per second at the entries that know the costs.
    known_offered: f64,
}

impl ClassTotals {
    fn add(&mut self, rate: &ClassRate) {
        let offered = f64::from(rate.requests_per_100s) / CLASS_RATE_SECONDS;
        self.offered += offered;
        if rate.costs.is_empty() {
            return;
        }
        self.known_offered += offered;
        for usage in &rate.costs {
            let seconds = f64::from(usage.slot_us) / MICROSECONDS_PER_SECOND;
            *self.weighted_costs.entry(usage.service).or_default() += offered * seconds;
        }
    }

    fn demand(&self, key: ClassKey, services: &[u32]) -> ClassDemand {
        let known_offered = self.known_offered.max(f64::MIN_POSITIVE);
        let costs = services.iter().enumerate().filter_map(|(index, service)| {
            let weighted_cost = self.weighted_costs.get(service)?;
            Some((index, weighted_cost / known_offered))
        });
        ClassDemand {
            key,
            offered: self.offered,
            costs: costs.collect(),
        }
    }
}

/// Sums over the reports of all daemons.
#[derive(Debug, Default)]
struct FleetTotals {
    services: HashMap<u32, ServiceTotals>,
    classes: HashMap<ClassKey, ClassTotals>,
}

impl FleetTotals {
    /// Adds the services that requests use and no endpoint serves.
    fn add_services_without_slots(&mut self) {
        let costs = self.classes.values();
        for service in costs.flat_map(|totals| totals.weighted_costs.keys()) {
            self.services.entry(*service).or_default();
        }
    }

    fn add(&mut self, report: &DemandReport) {
        for rate in &report.classes {
            self.classes.entry(rate.class).or_default().add(rate);
        }
        for load in &report.services {
            let totals = self.services.entry(load.name_hash).or_default();
            totals.slots += f64::from(load.slots);
            totals.in_hand += f64::from(load.in_hand);
        }
    }
}

fn encode_usage((service, seconds): &(u32, f64)) -> ServiceUsage {
    ServiceUsage {
        service: *service,
        slot_us: (seconds * MICROSECONDS_PER_SECOND) as u32,
    }
}
