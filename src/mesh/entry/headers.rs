//! The heads of requests and answers: what is passed on and what isn't.

use std::time::Duration;

use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::HeaderMap;
use smallvec::SmallVec;

use super::super::header_names::HeaderNames;

const BEARER: &str = "bearer ";
/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The host that the request names.
pub fn host(headers: &HeaderMap) -> &str {
    let value = headers.get(HOST);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// The key that the request presents.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = text.get(..BEARER.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER)
        .then(|| text[BEARER.len()..].trim())
}

/// How long the caller goes on waiting, if it says so.
pub fn caller_timeout(header_names: &HeaderNames, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&header_names.deadline)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// The identity of the attempt, for log lines.
pub fn attempt_id<'a>(header_names: &HeaderNames, headers: &'a HeaderMap) -> &'a str {
    let value = headers.get(&header_names.attempt);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Removes what concerns one connection, any key, and what only this system may say.
pub fn prepare_request(
    header_names: &HeaderNames,
    headers: &mut HeaderMap,
    organisation: Option<&str>,
    caller_service: &str,
) {
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(AUTHORIZATION);
    headers.remove(&header_names.expected_endpoint);
    headers.remove(&header_names.organisation);
    headers.remove(&header_names.deadline);
    if let Some(value) = organisation.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(&header_names.organisation, value);
    }
    headers.remove(&header_names.caller_service);
    if let Ok(value) = HeaderValue::from_str(caller_service) {
        headers.insert(&header_names.caller_service, value);
    }
}

/// Removes what concerns the connection between the daemon and its endpoint.
pub fn prepare_response(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
