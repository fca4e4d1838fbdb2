//! Represents the result of a call on its way back through the daemons.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use super::headers;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::codes::RESULT_HEADER;
use crate::transport::BufferedResponse;

/// Result of a call, with the endpoint's response if there is one.
#[derive(Debug, Clone)]
pub struct CallReply {
    pub code: ResultCode,
    pub response: Option<EndpointResponse>,
    /// Retries that came with the call and were not spent.
    pub unspent_retries: u32,
    /// True if a downstream service refused a call because of overload.
    pub downstream_overloaded: bool,
}

/// HTTP response of the endpoint.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl EndpointResponse {
    /// Removes hop-by-hop and internal headers from a response.
    pub fn from_response(response: BufferedResponse) -> Self {
        let mut headers = response.headers;
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_internal(&mut headers);
        Self {
            status: response.status,
            headers,
            body: response.body,
        }
    }

    /// Approximate memory used, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

impl CallReply {
    /// Creates a reply without an endpoint's response.
    pub fn from_code(code: ResultCode, unspent_retries: u32) -> Self {
        Self {
            code,
            response: None,
            unspent_retries,
            downstream_overloaded: false,
        }
    }

    /// Replaces the code of a completed call, for repeats of the request.
    pub fn with_code(mut self, code: ResultCode) -> Self {
        if self.code.class() == ResultClass::Done {
            self.code = code;
        }
        self
    }

    /// Builds the response to the caller: the endpoint's, or the code's own if there is none.
    pub fn into_response(self) -> Response<Full<Bytes>> {
        let Some(endpoint_response) = self.response else {
            return self.code.response();
        };
        let mut response = Response::new(Full::new(endpoint_response.body));
        *response.status_mut() = endpoint_response.status;
        *response.headers_mut() = endpoint_response.headers;
        headers::set(
            response.headers_mut(),
            RESULT_HEADER,
            &self.code.header_value(),
        );
        response
    }
}
