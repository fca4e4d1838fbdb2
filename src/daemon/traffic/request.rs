//! A caller's request, read whole and checked.

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
use crate::upstream::holds_key;
use crate::upstream::strip_credentials;
use crate::upstream::DEADLINE_HEADER;
use crate::upstream::IDEMPOTENCY_HEADER;

/// What goes on to an endpoint, free of keys and of what is only for one hop.
#[derive(Debug, Clone)]
pub struct CleanRequest {
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CleanRequest {
    /// Strips a request and refuses it if a key is left where it can't be stripped.
    pub fn from_head(head: &Parts, body: Bytes) -> Result<Self, ResultCode> {
        let (path, query) = (head.uri.path(), head.uri.query());
        let mut headers = head.headers.clone();
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers::strip_addressing(&mut headers);
        let query = strip_credentials(&mut headers, query);
        if holds_key(path.as_bytes()) || holds_key(&body) {
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

    /// What a repeat of the request must share with it.
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

/// Reads a body whole, within its bounds.
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

/// The deadline that a caller wishes for, if it names one.
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

/// The one idempotency key that a caller names, if any.
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

/// Reads a key that carries its birth time.
pub fn parse_request_key(text: &str) -> Result<(Uuid, u64), ResultCode> {
    let key = Uuid::try_parse(text).map_err(|_| ResultCode::BadRequestKey)?;
    let birth_ms = key_birth_ms(key).ok_or(ResultCode::BadRequestKey)?;
    Ok((key, birth_ms))
}

/// The birth time that a UUID of version 7 carries.
pub fn key_birth_ms(key: Uuid) -> Option<u64> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
