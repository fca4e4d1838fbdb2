//! Reports that a daemon sends about itself to the daemons that may send it calls.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::super::link::ServiceUsage;
use crate::decisions::root_admission::ClassKey;

/// A daemon's state, demand and load; see `docs/design/platform.md`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DaemonReport {
    /// True if the daemon accepts no new calls and only completes running ones.
    pub stopping: bool,
    pub config_version: u64,
    /// Age of the proof that this version is the newest, or none if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// True if the daemon reads the store continuously and its last read succeeded.
    pub reads_store: bool,
    /// The endpoint on the daemon's VM, while it accepts new calls.
    pub endpoint: Option<EndpointReport>,
    /// Demand of organisations with recent requests.
    pub organisations: Vec<OrganisationDemand>,
    /// Demand of request classes with recent requests.
    pub classes: Vec<ClassRate>,
}

/// State of an endpoint that accepts new calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub service: String,
    pub failure_domain: String,
    pub slots: u32,
    /// True while the endpoint is slow after its start.
    pub cold: bool,
    /// Number of calls that run or wait.
    pub in_hand: u32,
}

/// Requests of one organisation at the daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrganisationDemand {
    pub name_hash: u32,
    /// Requests per ten seconds, whether admitted or not.
    pub requests_per_10s: u32,
    /// Requests admitted since the daemon's start.
    pub admitted: u64,
}

/// Request rate and cost of one class at an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassRate {
    pub class: ClassKey,
    /// Requests per hundred seconds, whether admitted or not.
    pub requests_per_100s: u32,
    /// Slot time of a whole call tree by service, as measured at this entry.
    pub costs: SmallVec<[ServiceUsage; 4]>,
}
