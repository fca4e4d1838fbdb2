//! What a daemon is told at its start.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::decisions::quota::QuotaTolerance;
use crate::decisions::retries::RetryBound;

/// Settings of the request path; an adapter fills them in from its platform's.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    pub vm: String,
    pub failure_domain: String,
    /// Service of the endpoint on this VM.
    pub service: String,
    /// Where callers and the endpoint on this VM send requests.
    pub caller_address: SocketAddrV4,
    /// Where other daemons connect; it names this daemon among them.
    pub link_address: SocketAddrV4,
    /// Where links are accepted; it differs from the address above behind something that forwards.
    pub link_listen_address: SocketAddrV4,
    /// Time between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Age of the proof that the configuration is the newest, from which keyed requests are refused.
    pub proof_age_limit: Duration,
    /// Bound on requests sent to a second endpoint.
    pub repeat_rule: RetryBound,
    /// What the operator tolerates beyond an organisation's quota.
    pub quota_tolerance: QuotaTolerance,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
}
