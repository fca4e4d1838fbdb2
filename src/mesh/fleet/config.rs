//! Types of the operator's configuration, independent of the platform's format.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decisions::cold::ColdLimit;
use crate::decisions::quota::QuotaRule;

/// One version of the configuration.
#[derive(Debug)]
pub struct MeshConfig {
    pub version: u64,
    pub routes: Vec<RouteRule>,
    pub organisations: Vec<OrganisationRule>,
    /// Paths of status checks by service.
    pub status_paths: HashMap<String, String>,
    /// Limits on the requests to cold endpoints by service; services without one are not limited.
    pub cold_limits: HashMap<String, ColdLimit>,
    pub limits: CallerLimits,
    /// Parts of the configuration that were not understood, for the log.
    pub warnings: Vec<String>,
}

/// Rule for the requests of one host and path prefix.
#[derive(Debug)]
pub struct RouteRule {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub idempotent: bool,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Time within which a response has its full value to the caller.
    pub latency_target: Duration,
    /// Priority of the requests; 0 is served first.
    pub rank: u32,
    pub services: SmallVec<[WeightedService; 2]>,
    /// Maximum number of endpoints that one attempt of a caller is sent to.
    pub max_attempts: u32,
    /// True if a request needs no API key.
    pub allows_anonymous: bool,
}

/// A service that receives a share of a route's requests in proportion to its weight.
#[derive(Debug)]
pub struct WeightedService {
    pub service: Rc<str>,
    pub weight: f64,
}

/// Rule for the requests of one organisation, identified by its API keys.
#[derive(Debug)]
pub struct OrganisationRule {
    pub name: String,
    pub keys: Vec<String>,
    /// Priority of the requests, more significant than the rank of their route; 0 is served first.
    pub rank: Option<u32>,
    /// Limit of the request rate; none means unlimited.
    pub quota: Option<QuotaRule>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub idle_timeout: Duration,
}
