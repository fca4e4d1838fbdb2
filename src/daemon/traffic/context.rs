//! Requests in flight at this executor, on whose behalf the endpoint may call further down.
//!
//! The endpoint is given an opaque name for the request. It works on this daemon only, and only
//! while the request is in flight. See `docs/design/keys.md`.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use rand::Rng;
use uuid::Uuid;

use crate::daemon::shared::lock;
use crate::decisions::retries::RetryAllowance;
use crate::wire::CallEnvelope;
use crate::wire::Importance;

/// What calls further down inherit from the request in flight.
#[derive(Debug)]
pub struct CallContext {
    pub organisation: String,
    pub key_hash: String,
    pub weight: u32,
    pub importance: Importance,
    pub request_key: Uuid,
    pub birth_ms: u64,
    pub depth: u32,
    pub deadline: Instant,
    pub allowance: Mutex<RetryAllowance>,
    /// Set when a call further down was refused because of overload.
    pub downstream_overloaded: AtomicBool,
    children: AtomicU64,
}

impl CallContext {
    /// The context of a call that is about to run.
    pub fn from_envelope(envelope: &CallEnvelope, deadline: Instant) -> Self {
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
            children: AtomicU64::new(0),
        }
    }

    /// The key of a call further down.
    ///
    /// It follows from the request's own key and the endpoint's, or from the call's place among the
    /// request's calls, so that a parent that runs again names the same child.
    pub fn child_key(&self, target: &str, given: Option<&str>) -> Uuid {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.request_key.as_bytes());
        hasher.update(target.as_bytes());
        match given {
            Some(given) => hasher.update(given.as_bytes()),
            None => {
                let place = self.children.fetch_add(1, Ordering::Relaxed);
                hasher.update(&place.to_le_bytes())
            }
        };
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        uuid::Builder::from_custom_bytes(bytes).into_uuid()
    }

    /// Notes that a call further down was refused because of overload.
    pub fn mark_overloaded(&self) {
        self.downstream_overloaded.store(true, Ordering::Relaxed);
    }
}

/// Contexts by the name that the endpoint holds.
#[derive(Debug, Default)]
pub struct ContextTable {
    contexts: Mutex<HashMap<String, Arc<CallContext>>>,
}

impl ContextTable {
    /// Opens a context and returns its name.
    pub fn open(&self, context: Arc<CallContext>) -> String {
        let name = format!("{:032x}", rand::rng().random::<u128>());
        lock(&self.contexts).insert(name.clone(), context);
        name
    }

    /// The context of a request in flight.
    pub fn find(&self, name: &str) -> Option<Arc<CallContext>> {
        lock(&self.contexts).get(name).cloned()
    }

    /// Ends a context; its name works no more.
    pub fn end(&self, name: &str) {
        lock(&self.contexts).remove(name);
    }
}
