//! HTTP client of the demo.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendOptions;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Client that calls one daemon with one key.
#[derive(Debug)]
pub struct DemoCaller {
    daemon: SocketAddr,
    pub key: String,
    pool: ConnectionPool,
}

/// Response to a call; status 0 without a code if there was none.
#[derive(Debug, Default)]
pub struct DemoResponse {
    pub status: u16,
    pub code: Option<ResultCode>,
    pub body: String,
}

impl DemoResponse {
    /// Returns the class of the result; no response means that the outcome is unknown.
    pub fn class(&self) -> ResultClass {
        self.code.map_or(ResultClass::Unknown, ResultCode::class)
    }
}

impl DemoCaller {
    pub fn new(daemon: SocketAddr, key: &str) -> Self {
        Self {
            daemon,
            key: key.to_string(),
            pool: ConnectionPool::default(),
        }
    }

    pub async fn get(&self, target: &str) -> DemoResponse {
        self.send("GET", target, "", None).await
    }

    pub async fn post(&self, target: &str, body: &str, request_key: &str) -> DemoResponse {
        self.send("POST", target, body, Some(request_key)).await
    }

    async fn send(
        &self,
        method: &str,
        target: &str,
        body: &str,
        request_key: Option<&str>,
    ) -> DemoResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", self.daemon.to_string())
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(key) = request_key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let request = request.body(body).expect("the request is valid");
        let options = SendOptions {
            deadline: Instant::now() + REQUEST_TIMEOUT,
            max_answer_bytes: MAX_RESPONSE_BYTES,
            new_connection: false,
        };
        let Ok(response) = self.pool.send(self.daemon, request, options).await else {
            return DemoResponse::default();
        };
        let result = response.headers.get("x-marigoldhatch-result");
        DemoResponse {
            status: response.status.as_u16(),
            code: result
                .and_then(|value| value.to_str().ok())
                .and_then(ResultCode::from_header_value),
            body: String::from_utf8_lossy(&response.body).trim().to_string(),
        }
    }
}
