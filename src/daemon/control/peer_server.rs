//! Serves the JSON-RPC calls of peers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::server::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tracing::warn;

use super::gossip;
use super::peer_client::method;
use super::peer_client::open_message;
use super::rate_homes;
use super::state::ControlContext;
use crate::clock::wall_ms;
use crate::decisions::ownership::max_acknowledgeable_ms;
use crate::observe::LogEvent;
use crate::wire::AckAnswer;
use crate::wire::AckRequest;
use crate::wire::CloseAnswer;
use crate::wire::CloseRequest;
use crate::wire::PingMessage;
use crate::wire::ProbeAnswer;
use crate::wire::ProbeRequest;
use crate::wire::PullRequest;
use crate::wire::SealedMessage;
use crate::wire::TokenRequest;

/// JSON-RPC error code, from the range reserved for servers.
const NOT_OF_THIS_FLEET: i32 = -32_001;
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
const MAX_CONNECTIONS: u32 = 8_192;
/// Timeout of a probe on behalf of a peer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts serving peers on `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_peers(
    context: Arc<ControlContext>,
    address: SocketAddr,
) -> std::io::Result<ServerHandle> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .http_only()
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    let mut module = RpcModule::new(context);
    register(&mut module, method::PING, answer_ping);
    register(&mut module, method::PROBE, answer_probe);
    register(
        &mut module,
        method::PULL,
        |context, request: PullRequest| async move { gossip::build_pull_answer(&context, &request) },
    );
    register(&mut module, method::ACKNOWLEDGE, answer_acknowledge);
    register(&mut module, method::CLOSE_EPOCH, answer_close);
    register(
        &mut module,
        method::TOKENS,
        |context, request: TokenRequest| async move { rate_homes::grant_tokens(&context, &request) },
    );
    Ok(server.start(module))
}

fn register<M, A, F>(
    module: &mut RpcModule<Arc<ControlContext>>,
    method: &'static str,
    answer: fn(Arc<ControlContext>, M) -> F,
) where
    M: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send + 'static,
{
    let registered = module.register_async_method(method, move |params, context, _| async move {
        let sealed: SealedMessage = params.one()?;
        let context: Arc<ControlContext> = context.as_ref().clone();
        let message = open(&context, method, &sealed)?;
        context
            .shared
            .metrics
            .record_control_message(method, sealed.body.len());
        let answer = answer(context.clone(), message).await;
        let body = serde_json::to_string(&answer).unwrap_or_default();
        let key = &context.shared.options.fleet_key;
        RpcResult::Ok(key.seal(context.shared.incarnation, method, body))
    });
    registered.expect("each method is registered once");
}

fn open<M: DeserializeOwned>(
    context: &ControlContext,
    method: &'static str,
    sealed: &SealedMessage,
) -> RpcResult<M> {
    open_message(&context.shared.options.fleet_key, method, sealed).ok_or_else(|| {
        warn!(
            event = LogEvent::PeerRejected.number(),
            method, "control message not from this fleet rejected"
        );
        ErrorObjectOwned::owned(NOT_OF_THIS_FLEET, "not of this fleet", None::<()>)
    })
}

async fn answer_ping(context: Arc<ControlContext>, ping: PingMessage) -> PingMessage {
    gossip::handle_ping(&context, &ping);
    gossip::build_ping(&context)
}

async fn answer_probe(context: Arc<ControlContext>, request: ProbeRequest) -> ProbeAnswer {
    let ping = gossip::build_ping(&context);
    let answer: Result<PingMessage, _> = context
        .clients
        .call(&request.peer_address, method::PING, &ping, PROBE_TIMEOUT)
        .await;
    if let Ok(answer) = &answer {
        gossip::handle_ping(&context, answer);
    }
    ProbeAnswer {
        reached: answer.is_ok(),
    }
}

async fn answer_acknowledge(context: Arc<ControlContext>, request: AckRequest) -> AckAnswer {
    AckAnswer {
        acknowledged: acknowledge_here(&context, &request),
    }
}

async fn answer_close(context: Arc<ControlContext>, request: CloseRequest) -> CloseAnswer {
    let highest = close_here(&context, &request);
    CloseAnswer {
        closed: highest.is_some(),
        highest_ms: highest.unwrap_or(0),
    }
}

/// Acknowledges, as a witness, that an owner may run requests with birth times before the request's
/// bound; returns false if this daemon may not acknowledge it.
pub fn acknowledge_here(context: &ControlContext, request: &AckRequest) -> bool {
    let state = &mut *context.state();
    let own = state.own_incarnation();
    state.witness.acknowledge(
        own,
        &state.ownership,
        &request.scope,
        request.number,
        request.bound_ms,
        wall_ms(),
    )
}

/// Closes an epoch as a witness, or on behalf of an earlier daemon of this VM that was the witness.
///
/// Returns the highest bound in Unix milliseconds that the witness may have acknowledged. This
/// daemon listens on the peer address of the earlier one, which therefore has stopped: it
/// acknowledges nothing more, and nothing beyond what its clock allowed before this daemon bound
/// the address.
pub fn close_here(context: &ControlContext, request: &CloseRequest) -> Option<u64> {
    let state = &mut *context.state();
    let own = state.own_incarnation();
    if request.witness != own {
        let same_vm = request.witness_vm == context.shared.options.vm;
        let bound_ms = context
            .shared
            .peer_address_bound_ms
            .get()
            .filter(|_| same_vm)?;
        return Some(max_acknowledgeable_ms(*bound_ms));
    }
    state
        .witness
        .close(own, &state.ownership, &request.scope, request.number)
}
