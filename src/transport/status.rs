//! Statuses of final responses.

use hyper::StatusCode;

/// Returns true if a final response may have this status.
///
/// RFC 9110 has no class for 600 and more, and 1xx are those of interim responses. What such a status says of
/// the request is not known.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
