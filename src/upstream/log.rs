//! Client of the platform's append-only log.
//!
//! All use of the log goes through three functions of [`LogClient`], so that another service can
//! replace it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use hyper::StatusCode;
use serde_json::value::RawValue;
use tracing::warn;

use crate::observe::LogEvent;
use crate::transport::BufferedResponse;
use crate::transport::ConnectionPool;
use crate::transport::SendError;
use crate::transport::SendOptions;
use crate::wire::AppendAnswer;
use crate::wire::LogPage;
use crate::wire::LogRecord;

/// Timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time that a read may take beyond its requested wait before it times out.
const READ_MARGIN: Duration = Duration::from_millis(1_500);
/// Largest accepted response of the log, in bytes.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Reason why an operation on the log failed.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The `log_url` of the settings is invalid.
    #[error(
        "log_url {0:?} must be http:// with an IP address and a port, such as http://10.0.0.7:7400"
    )]
    BadUrl(String),
    /// The record was not appended.
    #[error("the log can't be reached: {0}")]
    NotAppended(SendError),
    /// The record may have been appended; read the log back before appending it again.
    #[error("the log did not confirm the append: {0}")]
    OutcomeUnknown(String),
    /// A read failed.
    #[error("the log can't be read: {0}")]
    ReadFailed(String),
}

/// HTTP client of the log, which is a single stream of records.
#[derive(Debug)]
pub struct LogClient {
    address: SocketAddr,
    pool: ConnectionPool,
}

impl LogClient {
    /// Creates a client from the URL in the settings.
    ///
    /// # Errors
    ///
    /// Fails if the URL is not `http://` with an IP address and port.
    pub fn from_url(url: &str) -> Result<Self, LogError> {
        let address = url
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'))
            .and_then(|rest| rest.parse().ok())
            .ok_or_else(|| LogError::BadUrl(url.to_string()))?;
        Ok(Self {
            address,
            pool: ConnectionPool::default(),
        })
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::OutcomeUnknown`] means that the record may have been appended.
    pub async fn append(&self, record: &LogRecord) -> Result<u64, LogError> {
        let body = serde_json::to_vec(record)
            .map_err(|error| LogError::OutcomeUnknown(error.to_string()))?;
        let request = self.request("POST", "/records", body);
        match self.send(request, APPEND_TIMEOUT).await {
            Ok(response) if response.status.is_success() => {
                let parsed: AppendAnswer = serde_json::from_slice(&response.body)
                    .map_err(|error| LogError::OutcomeUnknown(error.to_string()))?;
                Ok(parsed.offset)
            }
            Ok(response) => Err(LogError::OutcomeUnknown(unexpected_status(response.status))),
            Err(error @ SendError::NotSent(_)) => Err(LogError::NotAppended(error)),
            Err(error) => Err(LogError::OutcomeUnknown(error.to_string())),
        }
    }

    /// Reads a page of records from an offset on, waiting up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// Fails if no complete page arrives in time; the next read then uses a new connection.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<LogPage, LogError> {
        let path = format!("/records?from={from}&wait_ms={}", wait.as_millis());
        let request = self.request("GET", &path, Vec::new());
        let response = self
            .send(request, wait + READ_MARGIN)
            .await
            .map_err(|error| LogError::ReadFailed(error.to_string()))?;
        if !response.status.is_success() {
            return Err(LogError::ReadFailed(unexpected_status(response.status)));
        }
        let page: RawPage = serde_json::from_slice(&response.body)
            .map_err(|error| LogError::ReadFailed(error.to_string()))?;
        Ok(page.into_page())
    }

    /// Reads all records from an offset on up to the current end of the log.
    ///
    /// # Errors
    ///
    /// Fails if one of its calls of [`LogClient::read`] fails.
    pub async fn read_to_end(&self, from: u64) -> Result<LogPage, LogError> {
        let mut result = self.read(from, Duration::ZERO).await?;
        loop {
            let page = self.read(result.next_offset, Duration::ZERO).await?;
            if page.next_offset == result.next_offset {
                return Ok(result);
            }
            result.next_offset = page.next_offset;
            result.records.extend(page.records);
        }
    }

    fn request(&self, method: &str, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method.parse().unwrap_or_default();
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = self.address.to_string().parse() {
            headers.insert(hyper::header::HOST, host);
        }
        headers.insert(
            hyper::header::CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        request
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<BufferedResponse, SendError> {
        let options = SendOptions {
            deadline: Instant::now() + timeout,
            max_answer_bytes: MAX_PAGE_BYTES,
            new_connection: false,
        };
        self.pool.send(self.address, request, options).await
    }
}

/// A page with unparsed records, so that a malformed record does not fail the whole page. Neither its
/// depth nor the size of its numbers is checked here.
#[derive(Debug, serde::Deserialize)]
struct RawPage {
    first_offset: u64,
    next_offset: u64,
    retention_ms: u64,
    records: Vec<Box<RawValue>>,
}

/// The part of a malformed record that is logged.
#[derive(Debug, serde::Deserialize)]
struct RecordPosition {
    offset: u64,
}

impl RawPage {
    /// Parses the records and skips foreign ones and ones of an unknown kind.
    fn into_page(self) -> LogPage {
        let mut records = Vec::with_capacity(self.records.len());
        for record in self.records {
            match serde_json::from_str(record.get()) {
                Ok(record) => records.push(record),
                Err(error) => {
                    let position = serde_json::from_str::<RecordPosition>(record.get());
                    let offset = position.ok().map(|position| position.offset);
                    warn!(event = LogEvent::LogRecordBad.number(), offset,
                        cause = %error, "log record skipped");
                }
            }
        }
        LogPage {
            first_offset: self.first_offset,
            next_offset: self.next_offset,
            retention_ms: self.retention_ms,
            records,
        }
    }
}

fn unexpected_status(status: StatusCode) -> String {
    format!("unexpected status {status}")
}
