//! The header names that a platform's callers and endpoints use.

use hyper::header::HeaderName;

/// Which header holds what; an adapter fills it in.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller.
    pub attempt: HeaderName,
    /// Milliseconds that the sender goes on waiting.
    pub deadline: HeaderName,
    /// Incarnation of the endpoint that the request is meant for.
    pub expected_endpoint: HeaderName,
    /// Organisation that the caller's key belongs to.
    pub organisation: HeaderName,
    /// Service on the VM where the request began.
    pub caller_service: HeaderName,
    /// Present on an answer of an endpoint that has not run the request.
    pub not_executed: HeaderName,
    /// Present on every answer that is the endpoint's own.
    pub response_seal: HeaderName,
}
