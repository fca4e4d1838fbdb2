//! Reads a request, checks it and removes its credentials.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::Method;
use uuid::Uuid;

use super::headers;
use crate::codes::ResultCode;
use crate::upstream::contains_key;
use crate::upstream::strip_credentials;
use crate::upstream::DEADLINE_HEADER;
use crate::upstream::IDEMPOTENCY_HEADER;

/// Request as forwarded to an endpoint, without API keys and hop-by-hop headers.
#[derive(Debug, Clone)]
pub struct CleanRequest {
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CleanRequest {
    /// Removes credentials, hop-by-hop headers and internal headers from a request.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::KeyInRequest`] if the path or the body contains an API key.
    pub fn from_head(head: &Parts, body: Bytes) -> Result<Self, ResultCode> {
        let (path, query) = (head.uri.path(), head.uri.query());
        let mut headers = head.headers.clone();
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers::strip_addressing(&mut headers);
        let query = strip_credentials(&mut headers, query);
        if contains_key(path.as_bytes()) || contains_key(&body) {
            return Err(ResultCode::KeyInRequest);
        }
        let target = match query {
            Some(query) => format!("{path}?{query}"),
            None => path.to_string(),
        };
        Ok(Self {
            method: head.method.clone(),
            target,
            headers,
            body,
        })
    }

    /// Hash of method, target and body, which must be equal in a repeat of the request.
    pub fn fingerprint(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for part in [
            self.method.as_str().as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns an error if the body is larger than `max_bytes`, takes longer than `timeout` or breaks
/// off.
pub async fn read_body<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, ResultCode>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collecting = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(timeout, collecting).await {
        Err(_) => Err(ResultCode::BodyTimeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Ok(Err(_)) => Err(ResultCode::CallerGone),
    }
}

/// Returns the timeout that the caller requests in the deadline header, if any.
///
/// # Errors
///
/// Returns an error unless the header occurs once and is a whole number of milliseconds.
pub fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ResultCode> {
    let mut values = headers.get_all(DEADLINE_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match (parsed, values.next()) {
        (Some(ms), None) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(ResultCode::BadDeadline),
    }
}

/// Returns the idempotency key that the caller sends, if any.
///
/// # Errors
///
/// Returns an error if there is more than one key or the key is not text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ResultCode> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim().trim_matches('"'))),
        _ => Err(ResultCode::BadRequestKey),
    }
}

/// Parses a request key and its birth time in Unix milliseconds.
///
/// # Errors
///
/// Returns an error if the text is not a UUID of version 7.
pub fn parse_request_key(text: &str) -> Result<(Uuid, u64), ResultCode> {
    let key = Uuid::try_parse(text).map_err(|_| ResultCode::BadRequestKey)?;
    let birth_ms = key_birth_ms(key).ok_or(ResultCode::BadRequestKey)?;
    Ok((key, birth_ms))
}

/// Returns the birth time of a request key, the Unix milliseconds in a UUID of version 7.
pub fn key_birth_ms(key: Uuid) -> Option<u64> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
