//! Keeps the contexts of requests in flight, for downstream calls that the endpoint makes for them.
//!
//! The endpoint receives an opaque name for each request. The name is valid on this daemon only,
//! and only while the request is in flight. See `docs/design/keys.md`.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use rand::Rng;
use uuid::Uuid;

use crate::clock::BootTime;
use crate::daemon::shared::lock;
use crate::decisions::retries::RetryAllowance;
use crate::wire::CallEnvelope;
use crate::wire::Importance;

/// Properties that downstream calls inherit from the request in flight.
#[derive(Debug)]
pub struct CallContext {
    pub organisation: String,
    pub key_hash: String,
    pub weight: u32,
    pub importance: Importance,
    pub request_key: Uuid,
    pub birth_ms: u64,
    pub depth: u32,
    pub deadline: BootTime,
    pub allowance: Mutex<RetryAllowance>,
    /// Set when a downstream call was refused because of overload.
    pub downstream_overloaded: AtomicBool,
    /// Number of downstream calls without an idempotency key so far.
    unnamed_calls: AtomicU64,
}

impl CallContext {
    /// Creates the context of a call that is about to run.
    pub fn from_envelope(envelope: &CallEnvelope, deadline: BootTime) -> Self {
        Self {
            organisation: envelope.organisation.clone(),
            key_hash: envelope.key_hash.clone(),
            weight: envelope.weight,
            importance: envelope.importance,
            request_key: envelope.request_key,
            birth_ms: envelope.birth_ms,
            depth: envelope.depth,
            deadline,
            allowance: Mutex::new(RetryAllowance::from_count(envelope.retries)),
            downstream_overloaded: AtomicBool::new(false),
            unnamed_calls: AtomicU64::new(0),
        }
    }

    /// Derives the request key of a downstream call.
    ///
    /// The key depends on the request's own key, the target and the idempotency key of the
    /// endpoint, or the call's index among the request's calls if there is none. So a parent that
    /// runs again gives the same downstream call the same key.
    pub fn child_key(&self, target: &str, idempotency_key: Option<&str>) -> Uuid {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.request_key.as_bytes());
        hasher.update(target.as_bytes());
        match idempotency_key {
            Some(idempotency_key) => hasher.update(idempotency_key.as_bytes()),
            None => {
                let index = self.unnamed_calls.fetch_add(1, Ordering::Relaxed);
                hasher.update(&index.to_le_bytes())
            }
        };
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        uuid::Builder::from_custom_bytes(bytes).into_uuid()
    }

    /// Records that a downstream call was refused because of overload.
    pub fn mark_overloaded(&self) {
        self.downstream_overloaded.store(true, Ordering::Relaxed);
    }
}

/// Call contexts by the name that the endpoint receives.
#[derive(Debug, Default)]
pub struct ContextTable {
    contexts: Mutex<HashMap<String, Arc<CallContext>>>,
}

impl ContextTable {
    /// Adds a context and returns its name.
    pub fn open(&self, context: Arc<CallContext>) -> String {
        let name = format!("{:032x}", rand::rng().random::<u128>());
        lock(&self.contexts).insert(name.clone(), context);
        name
    }

    /// Returns the context of a request in flight.
    pub fn find(&self, name: &str) -> Option<Arc<CallContext>> {
        lock(&self.contexts).get(name).cloned()
    }

    /// Removes a context, which invalidates its name.
    pub fn end(&self, name: &str) {
        lock(&self.contexts).remove(name);
    }
}
