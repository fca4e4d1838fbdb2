//! Calls that endpoints run, and their outcomes.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::Uri;

use super::super::link::CallOrigin;
use super::super::link::RefusalCause;
use super::parents::TreeUsage;
use crate::clock::BootTime;

/// A call that an endpoint is to run.
#[derive(Debug, Clone)]
pub struct CallRequest {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub service: Rc<str>,
    pub idempotent: bool,
    pub origin: CallOrigin,
    /// Hash of the name of the failure domain in which the caller is.
    pub caller_domain: u32,
    pub deadline: BootTime,
    /// Maximum time that the call waits for a slot.
    pub queue_timeout: Duration,
}

/// Complete response of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Slot time of the call and of the calls below it.
    pub usage: TreeUsage,
}

/// Outcome of a call.
#[derive(Debug, Clone)]
pub enum CallOutcome {
    /// The endpoint responded.
    Completed(EndpointResponse),
    /// The call has not run and never will.
    Refused(RefusalCause),
    /// The call may have reached the endpoint, and no complete response arrived.
    Unknown,
}
