//! What an endpoint and its daemon say to each other in the heads of requests and answers.
//!
//! Cancellation is the closing of the connection. Announcements, with slots and draining, come in
//! through the control address; see `docs/operating/endpoints.md`.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::StatusCode;

/// Milliseconds left; on a caller's request its wish, towards an endpoint what remains.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Names the request in flight on whose behalf an endpoint makes calls of its own.
pub const CONTEXT_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-context");
/// The caller's name for a request, the same on each repeat (the Idempotency-Key header draft).
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Set by an endpoint that refused a request without running any of it.
pub const SHED_HEADER: HeaderName = HeaderName::from_static("x-shed");

/// Whether an endpoint's answer says that it did not run the request.
pub fn is_shed_response(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers
            .get(SHED_HEADER)
            .is_some_and(|value| value.as_bytes() == b"not-run")
}
