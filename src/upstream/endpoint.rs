//! HTTP headers exchanged between an endpoint and its daemon.
//!
//! A request is cancelled by closing its connection. Announcements, which carry slots and draining,
//! arrive at the control address; see `docs/operating/endpoints.md`.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::StatusCode;

/// Deadline in milliseconds: the requested time from a caller, the remaining time to an endpoint.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identifies the request in flight for which an endpoint makes a nested call.
pub const CONTEXT_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-context");
/// Idempotency key of a request, equal on each retry (IETF draft of the Idempotency-Key header).
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Set by an endpoint that refused a request without running any of it.
pub const SHED_HEADER: HeaderName = HeaderName::from_static("x-shed");

/// Returns true if an endpoint's response says that it did not run the request.
pub fn is_shed_response(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers
            .get(SHED_HEADER)
            .is_some_and(|value| value.as_bytes() == b"not-run")
}
