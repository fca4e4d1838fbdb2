//! The operator's configuration in the project's own words.

use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::quota::QuotaRule;

/// One version of the configuration.
#[derive(Debug)]
pub struct MeshConfig {
    pub version: u64,
    pub routes: Vec<RouteRule>,
    pub organisations: Vec<OrganisationRule>,
    pub limits: CallerLimits,
}

/// How requests of one host and path prefix are handled.
#[derive(Debug)]
pub struct RouteRule {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub idempotent: bool,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// 0 is served first.
    pub rank: u8,
    pub services: SmallVec<[WeightedService; 2]>,
    /// Endpoints that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub allows_anonymous: bool,
}

/// A service that gets a share of a route's requests.
#[derive(Debug)]
pub struct WeightedService {
    pub service: Rc<str>,
    pub weight: u32,
}

/// An organisation with its keys and quota.
#[derive(Debug)]
pub struct OrganisationRule {
    pub name: String,
    pub keys: Vec<String>,
    /// Goes before the rank of a route.
    pub rank: Option<u8>,
    /// None means that there is no limit.
    pub quota: Option<QuotaRule>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub idle_timeout: Duration,
}
