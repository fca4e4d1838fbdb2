//! What one daemon says of itself to the daemons that may send it work.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::super::link::ServiceUsage;
use crate::decisions::roots::ClassKey;

/// A daemon's own state, demand and use; see `docs/design/platform.md`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DaemonReport {
    /// The daemon finishes what it has and takes no new work.
    pub stopping: bool,
    pub config_version: u64,
    /// Age of the proof that this version is the newest, or none if there is no proof.
    pub proof_age_ms: Option<u32>,
    /// Whether the daemon reads the store all the time and its last read succeeded.
    pub reads_store: bool,
    pub endpoint: Option<EndpointReport>,
    /// Organisations that ask for something now.
    pub organisations: Vec<OrganisationDemand>,
    pub classes: Vec<ClassRate>,
}

/// The endpoint beside the daemon, present while it may get new work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointReport {
    pub service: String,
    pub failure_domain: String,
    pub slots: u32,
    pub cold: bool,
    /// Calls that run or wait.
    pub in_hand: u32,
}

/// What one organisation asks of the daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrganisationDemand {
    pub name_hash: u32,
    /// Requests in ten seconds.
    pub requests_per_10s: u32,
    /// Requests admitted since the daemon's start.
    pub admitted: u64,
}

/// Requests of one class at this entry, in hundred seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClassRate {
    pub class: ClassKey,
    pub requests_per_100s: u32,
    /// What a whole tree uses, as this entry has seen it.
    pub costs: SmallVec<[ServiceUsage; 4]>,
}
