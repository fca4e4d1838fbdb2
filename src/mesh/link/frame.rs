//! The messages that daemons exchange.

use std::net::SocketAddrV4;

use hyper::body::Bytes;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::super::fleet::DaemonReport;
use crate::decisions::roots::ClassKey;

/// Header names and values in order.
pub type HeaderPairs<'a> = Vec<(&'a str, &'a [u8])>;

/// Why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The endpoint is gone, drains, is silent or is another one.
    EndpointGone,
    /// Too much work waits for the endpoint.
    QueueFull,
    /// The deadline passed, or would have passed, before the endpoint got the call.
    Expired,
    /// The daemon is stopping.
    Stopping,
    /// The endpoint got the call and said that it did not run it.
    EndpointShed,
    /// The endpoint that got the call was another one and did not run it.
    EndpointReplaced,
}

impl RefusalCause {
    /// Whether the call arrived at an endpoint, which counts as an attempt.
    pub fn reached_endpoint(self) -> bool {
        matches!(self, Self::EndpointShed | Self::EndpointReplaced)
    }
}

/// The request at the top of the call graph that a call belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOrigin {
    pub class: ClassKey,
    /// The call was made by an endpoint for a request that it runs.
    pub nested: bool,
    /// The call, or a call above it, was sent to a second endpoint after it may have run.
    pub possible_duplicate: bool,
}

/// Who opens a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LinkHello {
    /// Drawn at the daemon's start.
    pub incarnation: u64,
    pub address: SocketAddrV4,
    /// Daemons that the sender knows.
    pub known: Vec<SocketAddrV4>,
}

/// Slot time that a call and the calls below it used at one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Hash of the service's name.
    pub service: u32,
    pub slot_us: u32,
}

/// The head of a call; the request's body follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct SubmitHead<'a> {
    pub call: u64,
    pub method: &'a str,
    pub target: &'a str,
    #[serde(borrow)]
    pub headers: HeaderPairs<'a>,
    pub service: &'a str,
    pub idempotent: bool,
    pub origin: CallOrigin,
    pub remaining_ms: u32,
    /// Longest time that the call may wait for a slot.
    pub queue_timeout_ms: u32,
}

/// The head of an endpoint's answer; the answer's body follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseHead<'a> {
    pub call: u64,
    pub status: u16,
    #[serde(borrow)]
    pub headers: HeaderPairs<'a>,
    pub usage: SmallVec<[ServiceUsage; 4]>,
    pub in_hand: u32,
}

/// One message on a link.
#[derive(Debug, Serialize, Deserialize)]
pub enum LinkFrame<'a> {
    Hello(LinkHello),
    Ping {
        sequence: u32,
    },
    /// Answers a ping, or is sent unasked, with sequence 0, when the daemon's state changed.
    Report {
        sequence: u32,
        report: DaemonReport,
    },
    #[serde(borrow)]
    Submit(SubmitHead<'a>),
    #[serde(borrow)]
    Response(ResponseHead<'a>),
    Refused {
        call: u64,
        cause: RefusalCause,
        in_hand: u32,
    },
    /// The endpoint got the call and what became of it can't be known.
    Unknown {
        call: u64,
        in_hand: u32,
    },
    Cancel {
        call: u64,
    },
    /// Asks what became of a call that was submitted on a link that broke.
    Resume {
        call: u64,
    },
    /// Asks for the configuration in force.
    RequestConfig,
    /// The configuration in force, as the platform keeps it, follows.
    Config {
        version: u64,
    },
}

/// Encodes a frame with the body that follows it.
pub fn encode_frame(frame: &LinkFrame<'_>, body: &[u8]) -> Result<Bytes, postcard::Error> {
    let buffer = Vec::with_capacity(256 + body.len());
    let mut bytes = postcard::to_extend(frame, buffer)?;
    bytes.extend_from_slice(body);
    Ok(Bytes::from(bytes))
}

/// Decodes a frame and returns it with the position at which its body begins.
pub fn decode_frame(bytes: &Bytes) -> Result<(LinkFrame<'_>, usize), postcard::Error> {
    let (frame, rest) = postcard::take_from_bytes(bytes)?;
    Ok((frame, bytes.len() - rest.len()))
}

/// Builds a header map; pairs that are no valid headers are left out, as no endpoint took them.
pub fn header_map(pairs: &HeaderPairs<'_>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len() + 4);
    for (name, value) in pairs {
        let parsed = HeaderName::from_bytes(name.as_bytes()).ok();
        if let Some((name, value)) = parsed.zip(HeaderValue::from_bytes(value).ok()) {
            headers.append(name, value);
        }
    }
    headers
}

/// Lists the headers of a map.
pub fn header_pairs(headers: &HeaderMap) -> HeaderPairs<'_> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect()
}
