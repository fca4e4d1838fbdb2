//! Frames that daemons exchange on a link.
//!
//! Postcard encodes variants and fields by their order, so the order must not change.

use std::net::SocketAddrV4;

use hyper::body::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::super::body_budget::BodyBudget;
use super::super::fleet::DaemonReport;
use super::super::fleet::DaemonStatus;
use super::header_codec::HeaderPairs;
use super::traffic::TrafficCause;
use crate::decisions::demand::DemandReport;
use crate::decisions::root_admission::ClassKey;
use crate::decisions::root_admission::ServiceUsage;

/// Reason for which a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No endpoint of the service accepts calls: it has stopped, drains, sends no announcements or
    /// belongs to another service.
    EndpointGone,
    /// The wait for a slot would exceed the call's queue timeout.
    QueueFull,
    /// The deadline passed, or was too close, before the call was forwarded to the endpoint.
    Expired,
    /// The daemon is stopping.
    Stopping,
    /// The endpoint received the call and refused to run it.
    EndpointShed,
    /// A different incarnation of the endpoint received the call and refused to run it.
    EndpointReplaced,
    /// The daemon has no memory for the call's body.
    NoMemory,
    /// The endpoint's failure domain is evacuated.
    Evacuated,
}

impl RefusalCause {
    /// Returns true if the call reached an endpoint, which counts as an attempt.
    pub fn reached_endpoint(self) -> bool {
        matches!(self, Self::EndpointShed | Self::EndpointReplaced)
    }
}

/// Properties that a call inherits from the root request of its call graph.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOrigin {
    pub class: ClassKey,
    /// True if an endpoint made the call for a request that it runs.
    pub nested: bool,
    /// True if the call, or a call above it, was retried after it may have run already.
    pub possible_duplicate: bool,
}

/// First frame in each direction of a link, which identifies the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LinkHello {
    /// Random number that is chosen when the daemon starts.
    pub incarnation: u64,
    /// Link address of the sender.
    pub address: SocketAddrV4,
    pub failure_domain: String,
    /// Link addresses of the daemons that the sender knows.
    pub known: Vec<SocketAddrV4>,
}

/// Head of a call; the request's body follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct SubmitHead<'a> {
    /// Number of the call, unique in the sender's incarnation.
    pub call: u64,
    pub method: &'a str,
    pub target: &'a str,
    #[serde(borrow)]
    pub headers: HeaderPairs<'a>,
    pub service: &'a str,
    pub idempotent: bool,
    pub origin: CallOrigin,
    /// Time until the deadline.
    pub remaining_ms: u32,
    /// Maximum time that the call waits for a slot.
    pub queue_timeout_ms: u32,
}

/// Head of an endpoint's response; the response's body follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseHead<'a> {
    pub call: u64,
    pub status: u16,
    #[serde(borrow)]
    pub headers: HeaderPairs<'a>,
    pub usage: SmallVec<[ServiceUsage; 4]>,
    /// Number of calls that run or wait at the executor.
    pub in_hand: u32,
}

/// One frame on a link.
#[derive(Debug, Serialize, Deserialize)]
pub enum LinkFrame<'a> {
    Hello(LinkHello),
    Ping {
        sequence: u32,
    },
    /// Reply to the ping with this sequence number.
    Pong {
        sequence: u32,
        status: DaemonStatus,
    },
    /// State of the sender, sent when a link opens and when it changes.
    Report(DaemonReport),
    #[serde(borrow)]
    Submit(SubmitHead<'a>),
    #[serde(borrow)]
    Response(ResponseHead<'a>),
    /// The call was not run and never will be.
    Refused {
        call: u64,
        cause: RefusalCause,
        in_hand: u32,
    },
    /// The call may have reached the endpoint, and its outcome can't be known.
    Unknown {
        call: u64,
        in_hand: u32,
    },
    Cancel {
        call: u64,
    },
    /// Requests the outcome of a call that was submitted on an earlier link.
    Resume {
        call: u64,
    },
    /// Demand at the sender, for a relay of its failure domain.
    Demand(DemandReport),
    /// Sum of the demand in the sender's failure domain, for a relay of another one.
    DomainDemand {
        /// Hash of the failure domain's name.
        domain: u32,
        report: DemandReport,
    },
    /// Sum of the demand at all daemons but the receiver, from a relay of its failure domain.
    OthersDemand(DemandReport),
    /// Requests the configuration in force.
    RequestConfig,
    /// Head of the configuration in force; the configuration in the platform's format follows.
    Config {
        version: u64,
    },
}

/// Encoded frame with the body that follows its head.
#[derive(Debug, Clone)]
pub struct EncodedFrame {
    pub bytes: Bytes,
    pub body_bytes: usize,
    pub head_cause: TrafficCause,
    pub body_cause: TrafficCause,
}

impl EncodedFrame {
    /// Counts a large frame in `budget` until its bytes are dropped, if the budget has room for it. One
    /// that has none is sent all the same: the call has run.
    pub fn reserve(self, budget: &BodyBudget) -> Self {
        let mut reservation = budget.start();
        // Without room the reservation stays empty, and the bytes are returned as they are.
        reservation.grow_to(self.bytes.len());
        Self {
            bytes: reservation.attach(self.bytes),
            ..self
        }
    }
}

impl LinkFrame<'_> {
    /// Returns the causes to which the bytes of the head and of the body are counted.
    fn traffic_causes(&self) -> (TrafficCause, TrafficCause) {
        match self {
            Self::Hello(_) => (TrafficCause::Hello, TrafficCause::Hello),
            Self::Ping { .. } | Self::Pong { .. } => (TrafficCause::Ping, TrafficCause::Ping),
            Self::Report(_) => (TrafficCause::Report, TrafficCause::Report),
            Self::Demand(_) | Self::DomainDemand { .. } | Self::OthersDemand(_) => {
                (TrafficCause::Demand, TrafficCause::Demand)
            }
            Self::Submit(_) | Self::Cancel { .. } | Self::Resume { .. } => {
                (TrafficCause::CallHead, TrafficCause::CallBody)
            }
            Self::Response(_) | Self::Refused { .. } | Self::Unknown { .. } => {
                (TrafficCause::ReplyHead, TrafficCause::ReplyBody)
            }
            Self::RequestConfig | Self::Config { .. } => {
                (TrafficCause::Config, TrafficCause::Config)
            }
        }
    }
}

/// Encodes a frame and appends the body that follows it.
///
/// # Errors
///
/// Returns an error if postcard cannot encode the frame.
pub fn encode_frame(frame: &LinkFrame<'_>, body: &[u8]) -> Result<EncodedFrame, postcard::Error> {
    let buffer = Vec::with_capacity(256 + body.len());
    let mut bytes = postcard::to_extend(frame, buffer)?;
    bytes.extend_from_slice(body);
    let (head_cause, body_cause) = frame.traffic_causes();
    Ok(EncodedFrame {
        bytes: Bytes::from(bytes),
        body_bytes: body.len(),
        head_cause,
        body_cause,
    })
}

/// Decodes a frame and returns it with the offset of its body in `bytes`.
///
/// # Errors
///
/// Returns an error if the bytes don't begin with a valid frame.
pub fn decode_frame(bytes: &Bytes) -> Result<(LinkFrame<'_>, usize), postcard::Error> {
    let (frame, rest) = postcard::take_from_bytes(bytes)?;
    Ok((frame, bytes.len() - rest.len()))
}
