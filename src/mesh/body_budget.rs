//! Bounds the memory that request and response bodies take in a daemon.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use hyper::body::Bytes;

/// Size from which a body is counted; the number of calls in flight bounds the smaller ones.
const MIN_COUNTED_BYTES: usize = 16 * 1024;

/// Bytes of bodies that a daemon holds, and their limit.
///
/// Clones share the same count.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    limit: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
}

/// Part of a budget, which is released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    state: Arc<BudgetState>,
    bytes: usize,
}

/// Body that keeps its reservation until the last reference to its bytes is dropped.
struct ReservedBody {
    bytes: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn from_limit(limit: usize) -> Self {
        Self {
            state: Arc::new(BudgetState {
                limit,
                held: AtomicUsize::new(0),
                peak: AtomicUsize::new(0),
            }),
        }
    }

    /// Returns an empty reservation, which grows with the body that is read.
    pub fn start(&self) -> BodyReservation {
        BodyReservation {
            state: self.state.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are held now.
    pub fn held(&self) -> usize {
        self.state.held.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that were held at once.
    pub fn peak(&self) -> usize {
        self.state.peak.load(Ordering::Relaxed)
    }
}

impl BodyReservation {
    /// Sets the size of the body so far; returns false if the budget has no room for it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes < MIN_COUNTED_BYTES || bytes <= self.bytes {
            return true;
        }
        let added = bytes - self.bytes;
        let held = self.state.held.fetch_add(added, Ordering::Relaxed) + added;
        if held > self.state.limit {
            self.state.held.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.state.peak.fetch_max(held, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Returns the body with this reservation, which is released with the last reference to it.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBody {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.state.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
