//! Names of the headers that a platform's callers and endpoints use.

use hyper::header::HeaderName;

/// Names of the headers with a meaning to the daemon; the platform's adapter supplies them.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller.
    pub attempt: HeaderName,
    /// Time in milliseconds until the sender's timeout.
    pub deadline: HeaderName,
    /// Incarnation of the endpoint that the request is addressed to.
    pub expected_endpoint: HeaderName,
    /// Organisation that the caller's API key belongs to.
    pub organisation: HeaderName,
    /// Service on the VM where the request entered.
    pub caller_service: HeaderName,
    /// Present on the response of an endpoint that has not run the request.
    pub not_executed: HeaderName,
    /// Present on every response that the endpoint itself sent.
    pub response_seal: HeaderName,
    /// Requests per second that the endpoint takes from all callers together, while it needs a limit.
    pub request_rate: HeaderName,
    /// Present on the responses of an endpoint that leaves.
    pub leaving: HeaderName,
    /// Identifier of the endpoint that answers a status check.
    pub endpoint: HeaderName,
    /// Time in milliseconds for which an endpoint that answers a status check stays cold.
    pub cold_remaining: HeaderName,
}
