//! Asks an endpoint whether it serves or leaves.

use std::net::SocketAddrV4;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::header::HOST;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use thiserror::Error;
use tokio::time::timeout;

use super::super::header_names::HeaderNames;
use super::pool::connect;
use crate::decisions::announcement::EndpointAnnouncement;
use crate::decisions::announcement::EndpointStatus;
use crate::transport::is_final_status;

/// Time in which an endpoint answers; one that is full may not have a slot for the check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which an endpoint can say that it stays cold.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// What an endpoint says of itself in a status check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusReply {
    pub status: EndpointStatus,
    /// Time for which the endpoint stays cold, or none if it can't be read.
    pub cold: Option<Duration>,
}

/// Reasons why an endpoint could not be asked.
#[derive(Debug, Error)]
pub enum StatusError {
    #[error("the path {0:?} of the status check isn't valid")]
    InvalidPath(String),
    #[error("can't connect to the endpoint: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("the status check failed: {0}")]
    Failed(#[from] hyper::Error),
    #[error("the endpoint didn't answer the status check in {CHECK_TIMEOUT:?}")]
    TimedOut,
}

/// Sends a status check to the endpoint that made an announcement.
///
/// # Errors
///
/// Returns an error if the endpoint can't be reached or doesn't answer in time.
pub async fn check_status(
    names: &HeaderNames,
    announcement: &EndpointAnnouncement,
    path: &str,
) -> Result<StatusReply, StatusError> {
    let target: Uri = path
        .parse()
        .map_err(|_| StatusError::InvalidPath(path.to_owned()))?;
    let exchange = request_status(announcement.address, target);
    let result = timeout(CHECK_TIMEOUT, exchange).await;
    let (status, headers) = result.map_err(|_| StatusError::TimedOut)??;
    Ok(StatusReply {
        status: classify_status(names, &announcement.id, status, &headers),
        cold: read_cold_time(names, &headers),
    })
}

async fn request_status(
    address: SocketAddrV4,
    target: Uri,
) -> Result<(StatusCode, HeaderMap), StatusError> {
    let mut connection = connect(address).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = target;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    let response = connection.sender.send_request(request).await?;
    let (head, _) = response.into_parts();
    Ok((head.status, head.headers))
}

/// Returns the time for which the endpoint that sent these headers stays cold: none at all without the
/// header, and nothing if it can't be read.
pub fn read_cold_time(names: &HeaderNames, headers: &HeaderMap) -> Option<Duration> {
    let Some(value) = headers.get(&names.cold_remaining) else {
        return Some(Duration::ZERO);
    };
    let milliseconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let seconds = (milliseconds / 1000.0).clamp(0.0, MAX_COLD_TIME.as_secs_f64());
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns what the answer to a status check of the endpoint `id` says.
pub fn classify_status(
    names: &HeaderNames,
    id: &str,
    status: StatusCode,
    headers: &HeaderMap,
) -> EndpointStatus {
    let answered_by = headers.get(&names.endpoint);
    let answered_by = answered_by.map(|value| value.as_bytes() == id.as_bytes());
    let is_refused = headers.contains_key(&names.not_executed);
    let leaves = headers
        .get(&names.leaving)
        .is_some_and(|value| value.as_bytes() == b"1");
    match (answered_by, status) {
        _ if !is_final_status(status) => EndpointStatus::Unknown,
        _ if leaves => EndpointStatus::Unavailable,
        (Some(false), _) => EndpointStatus::Unavailable,
        (Some(true), StatusCode::OK) => EndpointStatus::Serving,
        (_, StatusCode::SERVICE_UNAVAILABLE) if !is_refused => EndpointStatus::Unavailable,
        _ => EndpointStatus::Unknown,
    }
}
