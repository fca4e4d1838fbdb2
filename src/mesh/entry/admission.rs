//! The entry's knowledge for admission: quotas, shares of classes and budgets of repeats.

use std::collections::HashMap;
use std::time::Duration;

use super::super::fleet::hash_name;
use super::super::fleet::ClassRate;
use super::super::fleet::DaemonReport;
use super::super::fleet::EndpointReport;
use super::super::fleet::OrganisationDemand;
use super::super::link::ServiceUsage;
use crate::decisions::quota::PeerDemand;
use crate::decisions::quota::QuotaRule;
use crate::decisions::quota::QuotaShare;
use crate::decisions::quota::QuotaTolerance;
use crate::decisions::retries::RepeatBudget;
use crate::decisions::retries::RepeatRule;
use crate::decisions::roots::share_supply;
use crate::decisions::roots::ClassDemand;
use crate::decisions::roots::ClassKey;
use crate::decisions::roots::ServiceSupply;
use crate::decisions::roots::SupplyTrim;
use crate::decisions::roots::TreeCosts;
use crate::observe::LogEvent;

/// Smoothing of rates over a deal; a second or so of memory follows a burst closely enough.
const RATE_SMOOTHING: f64 = 0.25;
/// Share of a service's slots that is planned for; near full, service times grow.
const TARGET_UTILISATION: f64 = 0.93;
/// Rates travel as whole numbers of requests in this many seconds.
const CLASS_RATE_SECONDS: f64 = 100.0;
const MICROSECONDS: f64 = 1e6;
/// Shares above this refuse nobody.
const FULL_SHARE: f64 = 0.999;
/// Deals between two log lines about them.
const ALLOCATIONS_PER_LOG_LINE: u32 = 4;

#[derive(Debug)]
struct ClassState {
    offered: u32,
    offered_rate: f64,
    share: f64,
    credit: f64,
}

impl Default for ClassState {
    fn default() -> Self {
        Self {
            offered: 0,
            offered_rate: 0.0,
            share: 1.0,
            credit: 0.5,
        }
    }
}

/// The gate of one entry.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    classes: HashMap<ClassKey, ClassState>,
    quotas: HashMap<u32, QuotaShare>,
    peer_admitted: HashMap<(u64, u32), u64>,
    costs: TreeCosts,
    trims: HashMap<u32, SupplyTrim>,
    planned_capacities: HashMap<u32, f64>,
    retry_budgets: HashMap<u32, RepeatBudget>,
    allocations: u32,
}

impl EntryAdmission {
    /// Lets a request of a class in, or not, by the share that was dealt to it.
    pub fn admit_class(&mut self, class: ClassKey) -> bool {
        let state = self.classes.entry(class).or_default();
        state.offered += 1;
        state.credit = (state.credit + state.share).min(2.0);
        if state.credit < 1.0 {
            return false;
        }
        state.credit -= 1.0;
        true
    }

    /// The share of each class, for metrics.
    pub fn shares(&self) -> impl Iterator<Item = (ClassKey, f64)> + '_ {
        let classes = self.classes.iter();
        classes.map(|(class, state)| (*class, state.share))
    }

    /// Slot-seconds a second that were last dealt out for a service, for metrics.
    pub fn planned_capacity(&self, service: &str) -> Option<f64> {
        self.planned_capacities.get(&hash_name(service)).copied()
    }

    /// The share that was dealt to a class, for log lines.
    pub fn class_share(&self, class: ClassKey) -> f64 {
        self.classes.get(&class).map_or(1.0, |state| state.share)
    }

    /// Charges an organisation's quota, if it has room, at one of `daemons` that share it.
    pub fn admit_organisation(
        &mut self,
        name: &str,
        rule: &QuotaRule,
        tolerance: &QuotaTolerance,
        daemons: usize,
        now: Duration,
    ) -> bool {
        let quota = self.quotas.entry(hash_name(name));
        let share = quota.or_insert_with(QuotaShare::start);
        share.set_daemons(daemons);
        share.admit(rule, tolerance, now)
    }

    /// Whether an organisation was admitted so much here that the other daemons must hear of it now.
    pub fn is_surging(&self) -> bool {
        self.quotas.values().any(QuotaShare::is_surging)
    }

    /// Notes that the other daemons were just told what was admitted here.
    pub fn note_reported(&mut self) {
        let surging = self.quotas.values_mut().filter(|one| one.is_surging());
        surging.for_each(QuotaShare::note_reported);
    }

    /// Levels of an organisation's bucket and of this daemon's own part, for log lines.
    pub fn quota_levels(&self, name: &str) -> Option<(f64, f64)> {
        Some(self.quotas.get(&hash_name(name))?.levels())
    }

    /// The budget of repeats to a service.
    pub fn retry_budget(&mut self, service: &str) -> &mut RepeatBudget {
        self.retry_budgets.entry(hash_name(service)).or_default()
    }

    /// Spends one repeat to a service, if its budget has room.
    pub fn spend_retry(
        &mut self,
        service: &str,
        rule: &RepeatRule,
        daemons: usize,
        now: Duration,
    ) -> bool {
        self.retry_budget(service).spend(rule, daemons, now)
    }

    /// Takes what the tree of a request used, and whether it was answered well.
    pub fn record_tree(&mut self, route: u32, succeeded: bool, usage: &[ServiceUsage]) {
        let pairs = usage.iter();
        let pairs = pairs.map(|one| (one.service, f64::from(one.slot_us) / MICROSECONDS));
        self.costs.note_tree(route, succeeded, pairs);
    }

    /// Smooths what this daemon saw since the last deal.
    pub fn update_offered_rates(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.01);
        for state in self.classes.values_mut() {
            let seen = f64::from(state.offered) / seconds;
            state.offered_rate += RATE_SMOOTHING * (seen - state.offered_rate);
            state.offered = 0;
        }
    }

    /// Deals each quota by the demand that all of `daemons` report.
    pub fn update_quotas(
        &mut self,
        reports: &[(u64, DaemonReport)],
        daemons: usize,
        elapsed: Duration,
        report_age: Duration,
    ) {
        for (name, quota) in &mut self.quotas {
            let mut peers = PeerDemand {
                report_age,
                ..PeerDemand::default()
            };
            for (peer, report) in reports {
                let mut demands = report.organisations.iter();
                let Some(demand) = demands.find(|one| one.name_hash == *name) else {
                    continue;
                };
                peers.rate += f64::from(demand.requests_per_10s) / 10.0;
                let last = self.peer_admitted.insert((*peer, *name), demand.admitted);
                // A daemon that restarted counts from nothing again.
                let new = last.map_or(0, |last| demand.admitted.saturating_sub(last));
                peers.admitted += new as f64;
            }
            quota.set_daemons(daemons);
            quota.learn(peers, elapsed);
        }
    }

    /// Deals each class the share that the scarce services can carry.
    pub fn update_class_shares(&mut self, reports: &[(u64, DaemonReport)], own: Option<&EndpointReport>) {
        let mut fleet = FleetTotals::default();
        for (_, report) in reports {
            fleet.add(report.endpoint.as_ref(), &report.classes);
        }
        fleet.add(own, &self.class_rates());
        let services: Vec<u32> = fleet.services.keys().copied().collect();
        let supplies: Vec<ServiceSupply> = services
            .iter()
            .map(|service| self.supply(*service, &fleet.services[service]))
            .collect();
        let planned_capacities = services.iter().zip(&supplies);
        self.planned_capacities = planned_capacities.map(|(id, one)| (*id, one.capacity)).collect();
        let demands: Vec<ClassDemand> = fleet
            .classes
            .iter()
            .map(|(key, view)| view.demand(*key, &services))
            .collect();
        let shares = share_supply(&supplies, &demands);
        self.log_allocation(&services, &fleet, &supplies, &demands, &shares);
        for (demand, share) in demands.iter().zip(shares) {
            if let Some(state) = self.classes.get_mut(&demand.key) {
                state.share = share;
            }
        }
    }

    /// Says once a second what the shares were dealt from, while not all requests may enter.
    fn log_allocation(
        &mut self,
        services: &[u32],
        fleet: &FleetTotals,
        supplies: &[ServiceSupply],
        demands: &[ClassDemand],
        shares: &[f64],
    ) {
        self.allocations += 1;
        let whole = shares.iter().all(|share| *share >= FULL_SHARE);
        if whole || !self.allocations.is_multiple_of(ALLOCATIONS_PER_LOG_LINE) {
            return;
        }
        let event = LogEvent::SharesDealt.number();
        for (index, service) in services.iter().enumerate() {
            let view = &fleet.services[service];
            let (slots, in_hand) = (view.slots, view.in_hand);
            let supply = supplies[index].capacity;
            tracing::warn!(event, service, slots, in_hand, supply, "supply");
        }
        for (demand, share) in demands.iter().zip(shares) {
            let ClassKey { rank, route } = demand.key;
            let (offered, costs) = (demand.offered, &demand.costs);
            tracing::warn!(event, route, rank, offered, share, ?costs, "share");
        }
    }

    /// What this entry is asked for and what it costs, by class.
    pub fn class_rates(&self) -> Vec<ClassRate> {
        let live = self
            .classes
            .iter()
            .filter(|(_, one)| one.offered_rate > 0.02);
        live.map(|(class, state)| ClassRate {
            class: *class,
            requests_per_100s: (state.offered_rate * CLASS_RATE_SECONDS) as u32,
            costs: self.costs.of(class.route).iter().map(encode_usage).collect(),
        })
        .collect()
    }

    /// What each organisation asks of this entry. One that has asked for nothing for a second or two
    /// is left out: what it was admitted has been told, and counts go on from there.
    pub fn organisation_demand(&self) -> Vec<OrganisationDemand> {
        let quotas = self.quotas.iter();
        quotas
            .map(|(name, quota)| OrganisationDemand {
                name_hash: *name,
                requests_per_10s: (quota.demand() * 10.0) as u32,
                admitted: quota.admitted(),
            })
            .filter(|demand| demand.requests_per_10s > 0)
            .collect()
    }

    fn supply(&mut self, service: u32, view: &ServiceTotals) -> ServiceSupply {
        let trim = self.trims.entry(service).or_insert_with(SupplyTrim::start);
        trim.observe(view.in_hand / view.slots.max(1.0));
        ServiceSupply {
            capacity: view.slots * TARGET_UTILISATION * trim.factor(),
        }
    }
}

#[derive(Debug, Default)]
struct ServiceTotals {
    slots: f64,
    in_hand: f64,
}

/// A class over all entries.
#[derive(Debug, Default)]
struct ClassTotals {
    offered: f64,
    /// Slot-seconds by service, summed over the entries that know them, by their demand.
    weighted_costs: HashMap<u32, f64>,
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
        for one in &rate.costs {
            let seconds = f64::from(one.slot_us) / MICROSECONDS;
            *self.weighted_costs.entry(one.service).or_default() += offered * seconds;
        }
    }

    fn demand(&self, key: ClassKey, services: &[u32]) -> ClassDemand {
        let known = self.known_offered.max(f64::MIN_POSITIVE);
        let costs = services.iter().enumerate().filter_map(|(index, service)| {
            let sum = self.weighted_costs.get(service)?;
            Some((index, sum / known))
        });
        ClassDemand {
            key,
            offered: self.offered,
            costs: costs.collect(),
        }
    }
}

/// The sum of all reports.
#[derive(Debug, Default)]
struct FleetTotals {
    services: HashMap<u32, ServiceTotals>,
    classes: HashMap<ClassKey, ClassTotals>,
}

impl FleetTotals {
    fn add(&mut self, endpoint: Option<&EndpointReport>, classes: &[ClassRate]) {
        for rate in classes {
            self.classes.entry(rate.class).or_default().add(rate);
        }
        if let Some(endpoint) = endpoint {
            let service = hash_name(&endpoint.service);
            let view = self.services.entry(service).or_default();
            view.slots += f64::from(endpoint.slots);
            view.in_hand += f64::from(endpoint.in_hand);
        }
    }
}

fn encode_usage((service, seconds): &(u32, f64)) -> ServiceUsage {
    ServiceUsage {
        service: *service,
        slot_us: (seconds * MICROSECONDS) as u32,
    }
}
