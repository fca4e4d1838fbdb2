//! Calls peers over JSON-RPC.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde::de::DeserializeOwned;
use serde::Serialize;
use uuid::Uuid;

use crate::daemon::shared::lock;
use crate::daemon::shared::SharedState;
use crate::wire::seal::FleetKey;
use crate::wire::SealedMessage;

/// Maximum number of peers whose clients are kept.
const MAX_CLIENTS: usize = 64;

/// Names of the JSON-RPC methods of peers.
pub mod method {
    pub const PING: &str = "ping";
    pub const PROBE: &str = "probe";
    pub const PULL: &str = "pull";
    pub const ACKNOWLEDGE: &str = "acknowledge";
    pub const CLOSE_EPOCH: &str = "close_epoch";
    pub const TOKENS: &str = "tokens";
}

/// Error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer did not answer in time, or the connection failed.
    #[error("{address} did not answer {method}: {cause}")]
    NoAnswer {
        address: String,
        method: &'static str,
        cause: String,
    },
    /// The answer is not sealed with this fleet's key or can't be parsed.
    #[error("the answer of {address} to {method} is not a valid message of this fleet")]
    BadAnswer {
        address: String,
        method: &'static str,
    },
}

/// JSON-RPC clients by peer address.
#[derive(Debug)]
pub struct PeerClients {
    shared: Arc<SharedState>,
    clients: Mutex<HashMap<String, HttpClient>>,
}

impl PeerClients {
    /// Creates clients that seal their messages with the fleet's key.
    pub fn from_shared(shared: &Arc<SharedState>) -> Self {
        Self {
            shared: shared.clone(),
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// Calls a method of a peer; a connection without a timely answer is not used again.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout` or it is not of this fleet.
    pub async fn call<M: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        method: &'static str,
        message: &M,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let body = serde_json::to_string(message).unwrap_or_default();
        let sealed = self.key().seal(self.own_incarnation(), method, body);
        self.shared
            .metrics
            .record_control_message(method, sealed.body.len());
        let no_answer = |cause: String| PeerError::NoAnswer {
            address: address.to_string(),
            method,
            cause,
        };
        let client = self
            .client(address)
            .ok_or_else(|| no_answer("not a valid address".to_string()))?;
        let calling = client.request::<SealedMessage, _>(method, rpc_params![sealed]);
        let answer = match tokio::time::timeout(timeout, calling).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.drop_client(address);
                return Err(no_answer(error.to_string()));
            }
            Err(_) => {
                self.drop_client(address);
                return Err(no_answer("timed out".to_string()));
            }
        };
        open_message(self.key(), method, &answer).ok_or_else(|| PeerError::BadAnswer {
            address: address.to_string(),
            method,
        })
    }

    fn client(&self, address: &str) -> Option<HttpClient> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let client = HttpClientBuilder::default()
            .build(format!("http://{address}"))
            .ok()?;
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(address.to_string(), client.clone());
        Some(client)
    }

    fn drop_client(&self, address: &str) {
        lock(&self.clients).remove(address);
    }

    fn key(&self) -> &FleetKey {
        &self.shared.options.fleet_key
    }

    fn own_incarnation(&self) -> Uuid {
        self.shared.incarnation
    }
}

/// Opens a sealed message; returns `None` if its seal is not of this fleet or it can't be parsed.
pub fn open_message<M: DeserializeOwned>(
    key: &FleetKey,
    method: &str,
    message: &SealedMessage,
) -> Option<M> {
    if !key.verify_message(method, message) {
        return None;
    }
    serde_json::from_str(&message.body).ok()
}
