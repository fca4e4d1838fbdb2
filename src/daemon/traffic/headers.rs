//! Heads between daemons, and what is stripped at each boundary.

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

/// The envelope of a forwarded call.
pub const ENVELOPE_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-envelope");
/// The proof that a daemon of this fleet wrote the envelope.
pub const PROOF_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-proof");
/// The executor's load, with its answer.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-load");
/// Retries that the call and everything below it did not spend.
pub const RETRIES_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-retries");
/// Asks an executor whether it has a call, which is named instead of an envelope.
pub const QUERY_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-query");
/// Set when a service further down refused because of overload.
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

/// Removes what is only for one hop: the fixed list and whatever `Connection` names.
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

/// Removes what only daemons may say, so that a caller can't pretend to be one.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

/// Removes what the next hop sets anew.
pub fn strip_addressing(headers: &mut HeaderMap) {
    headers.remove(HOST);
    headers.remove(DEADLINE_HEADER);
}

/// Sets a header whose value is made here; a value that is no header text is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
