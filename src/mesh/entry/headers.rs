//! Reads request headers and removes those that are not forwarded.

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

/// Returns the `Host` header, or an empty string if there is none.
pub fn host(headers: &HeaderMap) -> &str {
    let value = headers.get(HOST);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Returns the bearer token of the `Authorization` header, which is the caller's API key.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let scheme = text.get(..BEARER.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER)
        .then(|| text[BEARER.len()..].trim())
}

/// Returns the time until the caller's deadline, if the request carries one in milliseconds.
pub fn caller_timeout(header_names: &HeaderNames, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&header_names.deadline)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Returns the attempt identifier, or an empty string if there is none.
pub fn attempt_id<'a>(header_names: &HeaderNames, headers: &'a HeaderMap) -> &'a str {
    let value = headers.get(&header_names.attempt);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Prepares the headers of a request for its endpoint.
///
/// Removes hop-by-hop headers, the API key and headers that only the daemons may set, and adds the
/// organisation and the calling service.
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

/// Prepares the headers of an endpoint's response for the caller by removing hop-by-hop headers.
pub fn prepare_response(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in &connection_headers {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
