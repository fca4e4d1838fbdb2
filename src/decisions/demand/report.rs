//! Demand and load of one daemon, or their sums over several.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::decisions::root_admission::ClassKey;
use crate::decisions::root_admission::ServiceUsage;

/// Demand and load of one daemon, or their sums over several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Demand of organisations with recent requests.
    pub organisations: Vec<OrganisationDemand>,
    /// Demand of request classes with recent requests.
    pub classes: Vec<ClassRate>,
    /// Load of the services whose endpoints accept new calls.
    pub services: Vec<ServiceLoad>,
}

/// Requests of one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    pub name_hash: u32,
    /// Requests per ten seconds, whether admitted or not.
    pub requests_per_10s: u32,
    /// Number of admitted requests, counted from an arbitrary start.
    pub admitted: u64,
}

/// Request rate and cost of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRate {
    pub class: ClassKey,
    /// Requests per hundred seconds, whether admitted or not.
    pub requests_per_100s: u32,
    /// Slot time of a whole call tree by service, or nothing if it is not known yet.
    pub costs: SmallVec<[ServiceUsage; 4]>,
}

/// Slots of a service and calls that run or wait there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    pub name_hash: u32,
    pub slots: u32,
    pub in_hand: u32,
}
