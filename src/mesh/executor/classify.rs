//! What an endpoint's answer says, and whether it is the answer to this call at all.

use hyper::HeaderMap;
use hyper::StatusCode;

use super::super::header_names::HeaderNames;
use super::super::link::RefusalCause;

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// It goes to the caller as it is.
    Valid,
    /// The endpoint has not run the call.
    Refused(RefusalCause),
    /// It belongs to another call or isn't the endpoint's; the call may have run.
    Foreign,
}

/// Judges the head of an answer to the attempt `attempt`.
pub fn classify_response(
    header_names: &HeaderNames,
    attempt: Option<&[u8]>,
    status: StatusCode,
    headers: &HeaderMap,
) -> ResponseClass {
    let echoed = headers.get(&header_names.attempt).map(|value| value.as_bytes());
    let refused = headers.contains_key(&header_names.not_executed);
    // A refusal without an identity comes on a connection that carried this call alone.
    if echoed.is_some() && echoed != attempt || (echoed.is_none() && !refused) {
        let replaced = echoed.is_none() && status == StatusCode::MISDIRECTED_REQUEST;
        return if replaced {
            ResponseClass::Refused(RefusalCause::EndpointReplaced)
        } else {
            ResponseClass::Foreign
        };
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
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
