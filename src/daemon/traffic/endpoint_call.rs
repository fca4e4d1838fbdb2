//! Sends an admitted call to the endpoint and builds the reply from its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::header::HOST;
use hyper::Request;

use super::context::CallContext;
use super::headers;
use super::reply::CallReply;
use super::reply::EndpointResponse;
use super::request::CleanRequest;
use super::state::TrafficState;
use crate::clock::BootTime;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::transport::SendError;
use crate::transport::SendOptions;
use crate::upstream::is_shed_response;
use crate::upstream::CONTEXT_HEADER;
use crate::upstream::DEADLINE_HEADER;
use crate::wire::CallEnvelope;

/// Permit of an admitted call, released when the call ends or is cancelled.
pub struct AdmissionPermit<'a> {
    state: &'a TrafficState,
    started: Instant,
    released: bool,
}

impl<'a> AdmissionPermit<'a> {
    /// Creates the permit of a call that the admission controller admitted.
    pub fn from_admission(state: &'a TrafficState) -> Self {
        Self {
            state,
            started: Instant::now(),
            released: false,
        }
    }

    fn finish(mut self, succeeded: bool) {
        self.released = true;
        let elapsed = self.started.elapsed();
        self.state
            .admission
            .finish(self.state.shared.now(), elapsed, succeeded);
    }

    fn shed(mut self) {
        self.released = true;
        self.state.admission.endpoint_shed(self.state.shared.now());
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        if !self.released {
            let elapsed = self.started.elapsed();
            self.state
                .admission
                .finish(self.state.shared.now(), elapsed, true);
        }
    }
}

/// Removes the call context when the call ends or is cancelled.
struct ContextGuard<'a> {
    state: &'a TrafficState,
    name: String,
}

impl Drop for ContextGuard<'_> {
    fn drop(&mut self) {
        self.state.contexts.end(&self.name);
    }
}

/// Sends the call to the endpoint; the reply code tells if any byte may have reached the endpoint.
pub async fn run_at_endpoint(
    state: &TrafficState,
    envelope: &CallEnvelope,
    request: CleanRequest,
    address: SocketAddr,
    deadline: BootTime,
    permit: AdmissionPermit<'_>,
) -> CallReply {
    let context = Arc::new(CallContext::from_envelope(envelope, deadline));
    let guard = ContextGuard {
        state,
        name: state.contexts.open(context.clone()),
    };
    let sent = send_request(state, envelope, &request, &guard.name, address, deadline).await;
    drop(guard);
    let unspent_retries = lock(&context.allowance).left();
    let mut reply = CallReply::from_code(ResultCode::Done, unspent_retries);
    reply.downstream_overloaded = context
        .downstream_overloaded
        .load(std::sync::atomic::Ordering::Relaxed);
    match sent {
        Ok(response) if is_shed_response(response.status, &response.headers) => {
            permit.shed();
            reply.code = ResultCode::EndpointShed;
        }
        Ok(response) => {
            permit.finish(true);
            reply.response = Some(EndpointResponse::from_response(response));
        }
        Err(error) => {
            permit.finish(false);
            reply.code = error.code();
        }
    }
    reply
}

/// Sends the request over a pooled connection, or over a new one if it is not idempotent: an idle
/// connection may have died unnoticed, which would leave the outcome unknown.
async fn send_request(
    state: &TrafficState,
    envelope: &CallEnvelope,
    request: &CleanRequest,
    context: &str,
    address: SocketAddr,
    deadline: BootTime,
) -> Result<crate::transport::BufferedResponse, SendError> {
    let deadlines = &state.shared.deadlines;
    let remaining = deadlines.remaining(deadline);
    let options = SendOptions {
        deadline: Instant::now() + remaining,
        max_answer_bytes: state.shared.options.max_answer_bytes,
        new_connection: !envelope.idempotent,
    };
    let request = build_request(request, context, address, remaining);
    let sending = state.endpoint_connections.send(address, request, options);
    let sent = deadlines.timeout_at(deadline, sending).await;
    sent.unwrap_or_else(|| {
        state.endpoint_connections.retire(address);
        Err(SendError::TimedOut(address))
    })
}

fn build_request(
    request: &CleanRequest,
    context: &str,
    address: SocketAddr,
    remaining: Duration,
) -> Request<Full<hyper::body::Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse().unwrap_or_default();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers::set(headers, HOST, &address.to_string());
    headers::set(headers, DEADLINE_HEADER, &remaining.as_millis().to_string());
    headers::set(headers, CONTEXT_HEADER, context);
    outgoing
}
