//! Settings of a daemon's request path.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::decisions::cold::ColdBound;
use crate::decisions::quota::QuotaTolerance;
use crate::decisions::readers::ProofLimits;
use crate::decisions::retries::RetryBound;

/// Settings of the request path; the platform's adapter derives them from its own settings.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    pub vm: String,
    pub failure_domain: String,
    /// Service of the endpoint on this VM.
    pub service: String,
    /// Address to which callers and the endpoint on this VM send requests.
    pub caller_address: SocketAddrV4,
    /// Address to which other daemons connect, and by which they identify this daemon.
    pub link_address: SocketAddrV4,
    /// Address at which links are accepted; it differs from `link_address` behind a forwarder.
    pub link_listen_address: SocketAddrV4,
    /// Interval between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Limits on the age of the proof that the configuration is the newest.
    pub proof_limits: ProofLimits,
    /// Bound on retries at a further endpoint.
    pub repeat_rule: RetryBound,
    /// Tolerated excess over an organisation's quota.
    pub quota_tolerance: QuotaTolerance,
    /// Bound on the requests to a cold endpoint in one second, if there is one.
    pub cold_bound: Option<ColdBound>,
    /// Maximum memory for request and response bodies, in bytes.
    pub body_memory_bytes: usize,
    /// Time from the request to shut down until the process is killed.
    pub stop_grace: Duration,
}
