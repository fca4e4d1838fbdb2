//! Hands an admitted call to the endpoint and takes its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::Full;
use hyper::header::HOST;
use hyper::Request;

use super::context::CallContext;
use super::headers;
use super::reply::EndpointAnswer;
use super::reply::StoredReply;
use super::request::CleanRequest;
use super::state::TrafficState;
use crate::codes::ResultCode;
use crate::daemon::shared::lock;
use crate::transport::SendError;
use crate::transport::SendPlan;
use crate::upstream::endpoint_shed;
use crate::upstream::CONTEXT_HEADER;
use crate::upstream::DEADLINE_HEADER;
use crate::wire::CallEnvelope;

/// A place at the gate, given back when the call ends however it ends.
pub struct GatePlace<'a> {
    state: &'a TrafficState,
    started: Instant,
    ended: bool,
}

impl<'a> GatePlace<'a> {
    /// Takes over the place of a call that was let through.
    pub fn from_entry(state: &'a TrafficState) -> Self {
        Self {
            state,
            started: Instant::now(),
            ended: false,
        }
    }

    fn finish(mut self, succeeded: bool) {
        self.ended = true;
        let elapsed = self.started.elapsed();
        self.state
            .gate
            .finish(self.state.shared.now(), elapsed, succeeded);
    }

    fn shed(mut self) {
        self.ended = true;
        self.state.gate.endpoint_shed(self.state.shared.now());
    }
}

impl Drop for GatePlace<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.started.elapsed();
            self.state
                .gate
                .finish(self.state.shared.now(), elapsed, true);
        }
    }
}

/// Ends the context when the call ends, also by cancellation.
struct OpenContext<'a> {
    state: &'a TrafficState,
    name: String,
}

impl Drop for OpenContext<'_> {
    fn drop(&mut self) {
        self.state.contexts.end(&self.name);
    }
}

/// Runs the call; the reply says whether a byte of it can have reached the endpoint.
pub async fn run_at_endpoint(
    state: &TrafficState,
    envelope: &CallEnvelope,
    clean: CleanRequest,
    address: SocketAddr,
    deadline: Instant,
    place: GatePlace<'_>,
) -> StoredReply {
    let context = Arc::new(CallContext::from_envelope(envelope, deadline));
    let open = OpenContext {
        state,
        name: state.contexts.open(context.clone()),
    };
    let sent = exchange(state, envelope, &clean, &open.name, address, deadline).await;
    drop(open);
    let unspent = lock(&context.allowance).left();
    let mut reply = StoredReply::from_code(ResultCode::Done, unspent);
    reply.overloaded_below = context
        .overloaded_below
        .load(std::sync::atomic::Ordering::Relaxed);
    match sent {
        Ok(answer) if endpoint_shed(answer.status, &answer.headers) => {
            place.shed();
            reply.code = ResultCode::EndpointShed;
        }
        Ok(answer) => {
            place.finish(true);
            reply.answer = Some(EndpointAnswer::from_whole(answer));
        }
        Err(error) => {
            place.finish(false);
            reply.code = error.code();
        }
    }
    reply
}

/// A non-idempotent request always has a connection of its own: one that went silent while idle
/// would leave its outcome unknown.
async fn exchange(
    state: &TrafficState,
    envelope: &CallEnvelope,
    clean: &CleanRequest,
    context: &str,
    address: SocketAddr,
    deadline: Instant,
) -> Result<crate::transport::WholeAnswer, SendError> {
    let plan = SendPlan {
        deadline,
        max_answer_bytes: state.shared.options.max_answer_bytes,
        fresh: !envelope.idempotent,
    };
    let request = to_endpoint(clean, context, address, deadline);
    state.endpoint.send(address, request, plan).await
}

fn to_endpoint(
    clean: &CleanRequest,
    context: &str,
    address: SocketAddr,
    deadline: Instant,
) -> Request<Full<hyper::body::Bytes>> {
    let mut request = Request::new(Full::new(clean.body.clone()));
    *request.method_mut() = clean.method.clone();
    *request.uri_mut() = clean.target.parse().unwrap_or_default();
    *request.headers_mut() = clean.headers.clone();
    let left = deadline.saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    headers::set(headers, HOST, &address.to_string());
    headers::set(headers, DEADLINE_HEADER, &left.as_millis().to_string());
    headers::set(headers, CONTEXT_HEADER, context);
    request
}
