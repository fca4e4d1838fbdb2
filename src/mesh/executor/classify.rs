//! Classifies an endpoint's response and detects one that belongs to another call.

use hyper::HeaderMap;
use hyper::StatusCode;

use super::super::header_names::HeaderNames;
use super::super::link::RefusalCause;
use super::call::CallOutcome;
use crate::transport::is_final_status;

/// Class of a response, which decides the outcome of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response is passed to the caller unchanged.
    Valid,
    /// The endpoint has not run the call.
    Refused(RefusalCause),
    /// No final response has this status; the call may have run.
    InvalidStatus,
    /// The response belongs to another call or did not come from the endpoint; the call may have
    /// run.
    Foreign,
}

/// Classifies a response to the call with the given attempt identifier, by its status and headers.
///
/// `reused` is true if the connection has carried a call before: a response without an identifier may
/// then be that call's, sent once more.
pub fn classify_response(
    header_names: &HeaderNames,
    attempt_id: Option<&[u8]>,
    status: StatusCode,
    headers: &HeaderMap,
    reused: bool,
) -> ResponseClass {
    if !is_final_status(status) {
        return ResponseClass::InvalidStatus;
    }
    let echoed_id = headers
        .get(&header_names.attempt)
        .map(|value| value.as_bytes());
    let refused = headers.contains_key(&header_names.not_executed);
    let replaced = status == StatusCode::MISDIRECTED_REQUEST;
    let belongs_to_call = match echoed_id {
        Some(_) => echoed_id == attempt_id,
        // Only refusals may lack the identifier.
        None => !reused && (refused || replaced),
    };
    if !belongs_to_call {
        return ResponseClass::Foreign;
    }
    if replaced {
        return ResponseClass::Refused(RefusalCause::EndpointReplaced);
    }
    if refused {
        return ResponseClass::Refused(RefusalCause::EndpointShed);
    }
    let encoded = headers.contains_key(hyper::header::CONTENT_ENCODING);
    let unsealed = status.is_success() && !headers.contains_key(&header_names.response_seal);
    if encoded || unsealed {
        return ResponseClass::Foreign;
    }
    ResponseClass::Valid
}

/// Returns the outcome of a response with a truncated body: a refusal is still valid, any other
/// response is not.
pub fn refused_or_unknown(class: ResponseClass) -> CallOutcome {
    match class {
        ResponseClass::Refused(cause) => CallOutcome::Refused(cause),
        _ => CallOutcome::Unknown,
    }
}
