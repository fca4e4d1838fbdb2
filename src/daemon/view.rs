//! Provides the read-only view of the fleet for the traffic threads.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use uuid::Uuid;

use crate::decisions::configuration::TeamState;
use crate::decisions::keys::KeyRing;
use crate::decisions::ownership::OwnershipLedger;
use crate::wire::MemberRecord;
use crate::wire::MemberState;
use crate::wire::OrganisationTerms;
use crate::wire::ServiceConfig;
use crate::wire::ServiceRoute;

/// Route with the service that it belongs to.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    pub service: String,
    pub route: ServiceRoute,
    pub retry_allowance: u32,
    pub retry_budget_percent: u32,
}

/// Endpoint that may be called, with its daemon.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    pub incarnation: Uuid,
    pub vm: String,
    pub failure_domain: String,
    pub traffic_address: SocketAddr,
    pub slots: u32,
    pub suspect: bool,
    pub draining: bool,
}

/// Snapshot of the fleet's state that calls depend on.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Routes by path prefix.
    routes: BTreeMap<String, RouteEntry>,
    pub organisations: HashMap<String, OrganisationTerms>,
    pub keys: KeyRing,
    pub services: HashMap<String, Vec<EndpointEntry>>,
    /// All live daemons, for calls to an owner whose endpoint drains.
    pub daemons: HashMap<Uuid, EndpointEntry>,
    /// Incarnations that are known to be dead or to have left.
    pub dead: Vec<Uuid>,
    pub ownership: OwnershipLedger,
    pub cut_off: bool,
}

impl FleetView {
    /// Adds the routes and organisations of the teams' configurations in force.
    pub fn add_teams<'a>(&mut self, teams: impl Iterator<Item = &'a TeamState>) {
        for state in teams {
            for terms in &state.config.organisations {
                self.organisations.insert(terms.name.clone(), terms.clone());
            }
            for service in &state.config.services {
                self.add_service(service);
            }
        }
    }

    fn add_service(&mut self, service: &ServiceConfig) {
        for route in &service.routes {
            let entry = RouteEntry {
                service: service.name.clone(),
                route: route.clone(),
                retry_allowance: service.retry_allowance,
                retry_budget_percent: service.retry_budget_percent,
            };
            self.routes.entry(route.path.clone()).or_insert(entry);
        }
    }

    /// Adds a member with its state; `drained` is true if an operator drains its VM.
    pub fn add_member(&mut self, record: &MemberRecord, state: MemberState, drained: bool) {
        if matches!(state, MemberState::Dead | MemberState::Left) {
            self.dead.push(record.incarnation);
            return;
        }
        let Ok(traffic_address) = record.traffic_address.parse() else {
            return;
        };
        let entry = EndpointEntry {
            incarnation: record.incarnation,
            vm: record.vm.clone(),
            failure_domain: record.failure_domain.clone(),
            traffic_address,
            slots: record.slots,
            suspect: state == MemberState::Suspect,
            draining: record.draining || drained,
        };
        if !record.service.is_empty() {
            self.services
                .entry(record.service.clone())
                .or_default()
                .push(entry.clone());
        }
        self.daemons.insert(record.incarnation, entry);
    }

    /// Returns the route with the longest prefix of the path; a prefix ends at a slash or at the
    /// path's end.
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        let mut end = path.len();
        loop {
            let prefix = &path[..end];
            if let Some(entry) = self.routes.get(prefix) {
                return Some(entry);
            }
            if let Some(entry) = self.routes.get(prefix.trim_end_matches('/')) {
                return Some(entry);
            }
            end = prefix.trim_end_matches('/').rfind('/')?;
            if end == 0 {
                return self.routes.get("/");
            }
        }
    }

    /// Returns true if an incarnation is known to be dead or to have left.
    pub fn is_dead(&self, incarnation: Uuid) -> bool {
        self.dead.contains(&incarnation)
    }
}
