//! Asks an executor if a call without a response is still in flight there.
//!
//! A connection can stop delivering data for good while new connections work. So an entry that has
//! waited for a while asks the executor over a new connection. If the executor does not have the
//! call, the request never arrived or its response was lost; in both cases the connection is
//! unusable.

use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use uuid::Uuid;

use super::headers;
use super::headers::PROOF_HEADER;
use super::headers::QUERY_HEADER;
use super::state::TrafficState;
use crate::daemon::shared::lock;
use crate::daemon::view::EndpointEntry;
use crate::transport::SendOptions;
use crate::wire::CallEnvelope;

/// Time without a response before each query.
const QUERY_INTERVAL: Duration = Duration::from_millis(1_000);
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time allowed for a response that is in transit while the query is answered.
const IN_TRANSIT_GRACE: Duration = Duration::from_millis(200);
/// Consecutive unanswered queries after which the executor is considered unreachable.
const MAX_UNANSWERED: u32 = 3;
const MAX_ANSWER_BYTES: usize = 1024;
const QUERY_PATH: &str = "/";

/// Returns when the executor no longer has the call or can't be reached.
pub async fn wait_until_lost(
    state: &TrafficState,
    target: &EndpointEntry,
    envelope: &CallEnvelope,
) {
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED {
        tokio::time::sleep(QUERY_INTERVAL).await;
        match ask_executor(state, target, envelope.call).await {
            Some(true) => unanswered = 0,
            Some(false) => break,
            None => unanswered += 1,
        }
    }
    tokio::time::sleep(IN_TRANSIT_GRACE).await;
}

/// Responds to a query: 200 if the call is in flight here, 404 if not, 403 without a valid proof.
pub fn answer(state: &TrafficState, call: &str, proof: &[u8]) -> Response<Full<Bytes>> {
    let key = &state.shared.options.fleet_key;
    let mut response = Response::new(Full::default());
    let proven = key.verify_call(proof, call.as_bytes(), "GET", QUERY_PATH, b"");
    let taken =
        Uuid::try_parse(call).is_ok_and(|call| lock(&state.calls_in_flight).contains(&call));
    *response.status_mut() = match (proven, taken) {
        (false, _) => StatusCode::FORBIDDEN,
        (true, false) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
    };
    response
}

/// Returns true if the executor has the call and `None` if it does not respond.
async fn ask_executor(state: &TrafficState, target: &EndpointEntry, call: Uuid) -> Option<bool> {
    let call = call.to_string();
    let key = &state.shared.options.fleet_key;
    let proof = key.call_proof(call.as_bytes(), "GET", QUERY_PATH, b"");
    let mut request = Request::new(Full::<Bytes>::default());
    let headers = request.headers_mut();
    headers::set(headers, HOST, &target.traffic_address.to_string());
    headers::set(headers, QUERY_HEADER, &call);
    headers::set(headers, PROOF_HEADER, &proof);
    let options = SendOptions {
        deadline: Instant::now() + QUERY_TIMEOUT,
        max_answer_bytes: MAX_ANSWER_BYTES,
        new_connection: true,
    };
    let response = state
        .peer_connections
        .send(target.traffic_address, request, options)
        .await;
    Some(response.ok()?.status == StatusCode::OK)
}
