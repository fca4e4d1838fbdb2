//! Settings of a mesh daemon on loopback, for tests and benchmarks without a platform.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::header::HeaderName;
use marigoldhatch::decisions::quota::QuotaTolerance;
use marigoldhatch::decisions::readers::ProofLimits;
use marigoldhatch::decisions::retries::RetryBound;
use marigoldhatch::mesh::HeaderNames;
use marigoldhatch::mesh::MeshSettings;

/// Returns header names that belong to no platform.
pub fn plain_header_names() -> HeaderNames {
    HeaderNames {
        attempt: HeaderName::from_static("x-attempt"),
        deadline: HeaderName::from_static("x-deadline"),
        expected_endpoint: HeaderName::from_static("x-expected"),
        organisation: HeaderName::from_static("x-organisation"),
        caller_service: HeaderName::from_static("x-caller"),
        not_executed: HeaderName::from_static("x-not-run"),
        response_seal: HeaderName::from_static("x-seal"),
        request_rate: HeaderName::from_static("x-rate"),
        leaving: HeaderName::from_static("x-leaving"),
        endpoint: HeaderName::from_static("x-endpoint"),
        cold_remaining: HeaderName::from_static("x-cold-ms"),
    }
}

/// Returns the settings of a daemon beside an endpoint of `service`, with limits like those of the
/// users' platform.
pub fn loopback_settings(
    service: &str,
    callers: SocketAddrV4,
    links: SocketAddrV4,
) -> MeshSettings {
    MeshSettings {
        vm: links.to_string(),
        failure_domain: "domain".to_owned(),
        service: service.to_owned(),
        caller_address: callers,
        link_address: links,
        link_listen_address: links,
        announce_interval: Duration::from_secs(1),
        proof_limits: ProofLimits {
            keys: Duration::from_millis(4400),
            version: Duration::from_secs(2),
        },
        repeat_rule: RetryBound {
            ratio: 0.2,
            slack: 48.0,
            window: Duration::from_secs(10),
        },
        quota_tolerance: QuotaTolerance {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        },
        cold_bound: None,
        body_memory_bytes: 32 * 1024 * 1024,
        stop_grace: Duration::from_secs(6),
    }
}
