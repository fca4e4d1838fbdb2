//! Stand-in for the platform's append-only log, with injectable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dropshot::endpoint;
use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpServer;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::TypedBody;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;

const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: usize = 512;

/// A record with its offset and time of append.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StoredRecord {
    pub offset: u64,
    pub appended_ms: u64,
    pub record: Value,
}

#[derive(Debug, Serialize, JsonSchema)]
struct RecordPage {
    first_offset: u64,
    next_offset: u64,
    retention_ms: u64,
    records: Vec<StoredRecord>,
}

#[derive(Debug, Serialize, JsonSchema)]
struct AppendedOffset {
    offset: u64,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ReadRange {
    from: u64,
    wait_ms: u64,
}

#[derive(Debug)]
struct LogState {
    records: Vec<StoredRecord>,
    next_offset: u64,
    retention: Duration,
    unavailable: bool,
    delay: Duration,
    lost_answers: u32,
    appends: u64,
}

#[derive(Debug)]
struct LogContext {
    state: Mutex<LogState>,
    appended: Notify,
}

impl LogContext {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn inject_faults(&self) -> Result<(), HttpError> {
        let (unavailable, delay) = {
            let state = self.lock();
            (state.unavailable, state.delay)
        };
        tokio::time::sleep(delay).await;
        if unavailable {
            return Err(HttpError::for_unavail(
                None,
                "the log is unavailable".to_string(),
            ));
        }
        Ok(())
    }

    fn append(&self, record: Value) -> (u64, bool) {
        let mut state = self.lock();
        let offset = state.next_offset;
        state.next_offset += 1;
        state.appends += 1;
        state.records.push(StoredRecord {
            offset,
            appended_ms: wall_ms(),
            record,
        });
        let lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        (offset, lost)
    }

    fn page(&self, from: u64) -> RecordPage {
        let mut state = self.lock();
        let oldest = wall_ms().saturating_sub(state.retention.as_millis() as u64);
        state.records.retain(|record| record.appended_ms >= oldest);
        let first_offset = state
            .records
            .first()
            .map_or(state.next_offset, |record| record.offset);
        let records: Vec<StoredRecord> = state
            .records
            .iter()
            .filter(|record| record.offset >= from)
            .take(MAX_PAGE_RECORDS)
            .cloned()
            .collect();
        let next_offset = records
            .last()
            .map_or(state.next_offset.max(from), |record| record.offset + 1);
        RecordPage {
            first_offset,
            next_offset,
            retention_ms: state.retention.as_millis() as u64,
            records,
        }
    }
}

#[endpoint { method = POST, path = "/records" }]
async fn append_record(
    request: RequestContext<Arc<LogContext>>,
    body: TypedBody<Value>,
) -> Result<HttpResponseOk<AppendedOffset>, HttpError> {
    let context = request.context();
    context.inject_faults().await?;
    let (offset, lost) = context.append(body.into_inner());
    context.appended.notify_waiters();
    if lost {
        return Err(HttpError::for_internal_error(
            "response lost by fault injection".to_string(),
        ));
    }
    Ok(HttpResponseOk(AppendedOffset { offset }))
}

#[endpoint { method = GET, path = "/records" }]
async fn read_records(
    request: RequestContext<Arc<LogContext>>,
    range: Query<ReadRange>,
) -> Result<HttpResponseOk<RecordPage>, HttpError> {
    let context = request.context();
    context.inject_faults().await?;
    let range = range.into_inner();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(range.wait_ms);
    loop {
        let appended = context.appended.notified();
        let page = context.page(range.from);
        let timed_out = tokio::time::Instant::now() >= deadline;
        if !page.records.is_empty() || timed_out {
            context.inject_faults().await?;
            return Ok(HttpResponseOk(page));
        }
        // A new record or the deadline ends the wait; the loop checks both.
        let _ = tokio::time::timeout_at(deadline, appended).await;
    }
}

/// A running stand-in for the log.
pub struct StandinLog {
    context: Arc<LogContext>,
    server: HttpServer<Arc<LogContext>>,
}

impl StandinLog {
    /// Starts the log on an address; port 0 selects a free port.
    pub async fn start(address: SocketAddr, retention: Duration) -> Self {
        let context = Arc::new(LogContext {
            state: Mutex::new(LogState {
                records: Vec::new(),
                next_offset: 0,
                retention,
                unavailable: false,
                delay: Duration::ZERO,
                lost_answers: 0,
                appends: 0,
            }),
            appended: Notify::new(),
        });
        let mut api = ApiDescription::new();
        api.register(append_record)
            .expect("the endpoint declarations are valid");
        api.register(read_records)
            .expect("the endpoint declarations are valid");
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_RECORD_BYTES,
            ..ConfigDropshot::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, context.clone(), logger)
            .config(config)
            .start()
            .expect("failed to start the server of the log");
        Self { context, server }
    }

    /// Returns the address that the log listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the URL for the `log_url` of a daemon's settings.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Refuses all requests, or serves them again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.context.lock().unavailable = unavailable;
        self.context.appended.notify_waiters();
    }

    /// Delays all responses.
    pub fn set_delay(&self, delay: Duration) {
        self.context.lock().delay = delay;
    }

    /// Appends the next `count` records but answers each append with an error.
    pub fn lose_answers(&self, count: u32) {
        self.context.lock().lost_answers = count;
    }

    /// Appends a record of another program, which need not be a valid one of this project.
    pub fn append_raw(&self, record: Value) {
        self.context.append(record);
        self.context.appended.notify_waiters();
    }

    /// Changes the retention of the records.
    pub fn set_retention(&self, retention: Duration) {
        self.context.lock().retention = retention;
    }

    /// Returns all records that the log holds.
    pub fn records(&self) -> Vec<StoredRecord> {
        self.context.lock().records.clone()
    }

    /// Returns the number of records ever appended.
    pub fn appends(&self) -> u64 {
        self.context.lock().appends
    }

    /// Stops the log and discards its records.
    pub async fn close(self) {
        // An error only means that the server had already stopped.
        let _ = self.server.close().await;
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
