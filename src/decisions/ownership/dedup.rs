//! Deduplication table of an owner for the non-idempotent requests in its slots.

use std::collections::BTreeSet;
use std::collections::HashMap;

use uuid::Uuid;

/// Identifier of a request; the same key of two organisations identifies two requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    pub organisation: String,
    pub key: Uuid,
}

/// Status of an arriving request.
#[derive(Debug, PartialEq, Eq)]
pub enum DedupStatus<R> {
    /// The request is new and has been recorded as in progress.
    New,
    /// The request is in progress; the caller should wait for its response.
    InProgress,
    /// The request has run, with this response.
    Completed(R),
    /// The request has run, but its response is no longer stored.
    ResponseDropped,
    /// The request was sent to the endpoint and no response was received.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The request is older than the entries kept.
    TooOld,
}

#[derive(Debug)]
enum RequestState<R> {
    Running,
    Completed { response: R, size: usize },
    ResponseDropped,
    Unknown,
}

#[derive(Debug)]
struct DedupEntry<R> {
    fingerprint: [u8; 32],
    birth_ms: u64,
    state: RequestState<R>,
}

/// Deduplication table of one owner, limited by age, entries and bytes.
#[derive(Debug)]
pub struct DedupTable<R> {
    entries: HashMap<RequestId, DedupEntry<R>>,
    by_birth: BTreeSet<(u64, RequestId)>,
    /// Requests whose response is stored, oldest birth time first.
    responses: BTreeSet<(u64, RequestId)>,
    response_bytes: usize,
    oldest_birth_ms: u64,
    retention_ms: u64,
    max_entries: usize,
    max_response_bytes: usize,
}

impl<R: Clone> DedupTable<R> {
    /// Creates a table that keeps entries for `retention_ms`, or less if a limit is reached.
    pub fn from_bounds(retention_ms: u64, max_entries: usize, max_response_bytes: usize) -> Self {
        Self {
            entries: HashMap::new(),
            by_birth: BTreeSet::new(),
            responses: BTreeSet::new(),
            response_bytes: 0,
            oldest_birth_ms: 0,
            retention_ms,
            max_entries,
            max_response_bytes,
        }
    }

    /// Looks up a request and records it as in progress if it is new.
    ///
    /// The caller must have checked that this daemon owns the request's birth time.
    pub fn begin(
        &mut self,
        now_ms: u64,
        id: &RequestId,
        birth_ms: u64,
        fingerprint: [u8; 32],
    ) -> DedupStatus<R> {
        self.expire_before(now_ms.saturating_sub(self.retention_ms));
        if let Some(entry) = self.entries.get(id) {
            return status_of(entry, &fingerprint);
        }
        if birth_ms < self.oldest_birth_ms {
            return DedupStatus::TooOld;
        }
        self.enforce_max_entries();
        self.by_birth.insert((birth_ms, id.clone()));
        self.entries.insert(
            id.clone(),
            DedupEntry {
                fingerprint,
                birth_ms,
                state: RequestState::Running,
            },
        );
        if birth_ms < self.oldest_birth_ms {
            self.remove(id);
            return DedupStatus::TooOld;
        }
        DedupStatus::New
    }

    /// Looks up a request without recording it; returns `None` if it has no entry.
    pub fn lookup(
        &mut self,
        now_ms: u64,
        id: &RequestId,
        birth_ms: u64,
        fingerprint: [u8; 32],
    ) -> Option<DedupStatus<R>> {
        self.expire_before(now_ms.saturating_sub(self.retention_ms));
        if let Some(entry) = self.entries.get(id) {
            return Some(status_of(entry, &fingerprint));
        }
        (birth_ms < self.oldest_birth_ms).then_some(DedupStatus::TooOld)
    }

    /// Removes a request of which no byte reached the endpoint, or which the endpoint shed.
    pub fn record_not_run(&mut self, id: &RequestId) {
        self.remove(id);
    }

    /// Records that a request has run and stores its response of `size` bytes.
    pub fn record_completed(&mut self, id: &RequestId, response: R, size: usize) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.state = RequestState::Completed { response, size };
        self.responses.insert((entry.birth_ms, id.clone()));
        self.response_bytes += size;
        while self.response_bytes > self.max_response_bytes {
            let Some((_, oldest)) = self.responses.pop_first() else {
                return;
            };
            self.drop_response(&oldest);
        }
    }

    /// Records that the request may have run: it was sent and no response was received.
    pub fn record_unknown(&mut self, id: &RequestId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = RequestState::Unknown;
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the oldest birth time kept; requests born before it are refused.
    pub fn oldest_birth_ms(&self) -> u64 {
        self.oldest_birth_ms
    }

    fn expire_before(&mut self, oldest_birth_ms: u64) {
        self.oldest_birth_ms = self.oldest_birth_ms.max(oldest_birth_ms);
        while self
            .by_birth
            .first()
            .is_some_and(|(birth_ms, _)| *birth_ms < self.oldest_birth_ms)
        {
            self.remove_oldest();
        }
    }

    fn enforce_max_entries(&mut self) {
        while self.entries.len() >= self.max_entries {
            let Some((birth_ms, _)) = self.by_birth.first() else {
                return;
            };
            self.expire_before(birth_ms + 1);
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.by_birth.pop_first() {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.by_birth.remove(&(entry.birth_ms, id.clone()));
        if let RequestState::Completed { size, .. } = entry.state {
            self.responses.remove(&(entry.birth_ms, id.clone()));
            self.response_bytes -= size;
        }
    }

    fn drop_response(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let RequestState::Completed { size, .. } = entry.state {
            self.response_bytes -= size;
            entry.state = RequestState::ResponseDropped;
        }
    }
}

fn status_of<R: Clone>(entry: &DedupEntry<R>, fingerprint: &[u8; 32]) -> DedupStatus<R> {
    if entry.fingerprint != *fingerprint {
        return DedupStatus::Mismatch;
    }
    match &entry.state {
        RequestState::Running => DedupStatus::InProgress,
        RequestState::Completed { response, .. } => DedupStatus::Completed(response.clone()),
        RequestState::ResponseDropped => DedupStatus::ResponseDropped,
        RequestState::Unknown => DedupStatus::Unknown,
    }
}
