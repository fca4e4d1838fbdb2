//! Sends requests to a daemon as a caller with an API key.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendError;
use marigoldhatch::transport::SendOptions;
use serde_json::Value;

/// Timeout of a request, longer than any deadline in these scenarios.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// Client that sends requests to one daemon with one API key.
#[derive(Debug)]
pub struct Caller {
    pub daemon: SocketAddr,
    pub key: String,
    headers: Vec<(String, String)>,
    pool: ConnectionPool,
}

/// Response as the caller received it.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// HTTP status, or 0 if the request failed without a response.
    pub status: u16,
    pub code: Option<ResultCode>,
    pub body: String,
}

impl CallerResponse {
    /// Returns the class of the result code, or [`ResultClass::Unknown`] without one.
    pub fn class(&self) -> ResultClass {
        self.code.map_or(ResultClass::Unknown, ResultCode::class)
    }
}

impl Caller {
    pub fn new(daemon: SocketAddr, key: &str) -> Self {
        Self {
            daemon,
            key: key.to_string(),
            headers: Vec::new(),
            pool: ConnectionPool::default(),
        }
    }

    /// Adds a header to every request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends a GET request without a body.
    pub async fn get(&self, target: &str) -> CallerResponse {
        self.send("GET", target, "", None).await
    }

    /// Sends a POST request with a request key.
    pub async fn post(&self, target: &str, body: &str, request_key: &str) -> CallerResponse {
        self.send("POST", target, body, Some(request_key)).await
    }

    /// Sends a request; a transport error becomes a response with status 0.
    pub async fn send(
        &self,
        method: &str,
        target: &str,
        body: &str,
        request_key: Option<&str>,
    ) -> CallerResponse {
        match self.try_send(method, target, body, request_key).await {
            Ok(response) => response,
            Err(error) => CallerResponse {
                status: 0,
                code: None,
                body: error.to_string(),
            },
        }
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within [`RESPONSE_TIMEOUT`].
    pub async fn try_send(
        &self,
        method: &str,
        target: &str,
        body: &str,
        request_key: Option<&str>,
    ) -> Result<CallerResponse, SendError> {
        let mut request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", self.daemon.to_string());
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        if let Some(key) = request_key {
            request = request.header("idempotency-key", key);
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("a valid request");
        let options = SendOptions {
            deadline: Instant::now() + RESPONSE_TIMEOUT,
            max_answer_bytes: 16 * 1024 * 1024,
            new_connection: false,
        };
        let response = self.pool.send(self.daemon, request, options).await?;
        let code = response
            .headers
            .get("x-marigoldhatch-result")
            .and_then(|value| value.to_str().ok())
            .and_then(ResultCode::from_header_value);
        Ok(CallerResponse {
            status: response.status.as_u16(),
            code,
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }
}

/// Reads `/status` from a control address; returns `None` if the daemon doesn't serve it.
pub async fn fetch_status(control: SocketAddr) -> Option<Value> {
    let request = Request::builder()
        .uri("/status")
        .header("host", control.to_string())
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(2),
        max_answer_bytes: 16 * 1024 * 1024,
        new_connection: true,
    };
    let response = ConnectionPool::default()
        .send(control, request, options)
        .await;
    serde_json::from_slice(&response.ok()?.body).ok()
}
