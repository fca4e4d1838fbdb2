//! Defines the headers between daemons and removes headers at each boundary.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::codes::RESULT_HEADER;
use crate::upstream::CONTEXT_HEADER;
use crate::upstream::DEADLINE_HEADER;

/// Envelope of a forwarded call.
pub const ENVELOPE_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-envelope");
/// Proof that a daemon of this fleet wrote the envelope.
pub const PROOF_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-proof");
/// Load report of the executor, in its response.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-load");
/// Retries that the call and its downstream calls did not spend.
pub const RETRIES_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-retries");
/// Id of the call in a query; an executor that receives it reports if the call is in flight.
pub const QUERY_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-query");
/// Set if a downstream service refused a call because of overload.
pub const DOWNSTREAM_OVERLOADED_HEADER: HeaderName =
    HeaderName::from_static("x-marigoldhatch-overloaded-below");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = hyper::header::EXPECT;

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

const INTERNAL: [HeaderName; 8] = [
    QUERY_HEADER,
    ENVELOPE_HEADER,
    PROOF_HEADER,
    LOAD_HEADER,
    RETRIES_HEADER,
    DOWNSTREAM_OVERLOADED_HEADER,
    CONTEXT_HEADER,
    RESULT_HEADER,
];

/// Removes hop-by-hop headers: a fixed list and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// Removes headers that only daemons may set, so that a caller can't impersonate a daemon.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

/// Removes headers that are set again for the next hop.
pub fn strip_addressing(headers: &mut HeaderMap) {
    headers.remove(HOST);
    headers.remove(DEADLINE_HEADER);
}

/// Sets a header; a value that is not valid header text is ignored.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a header's value as text, if it is visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
