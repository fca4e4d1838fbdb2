//! An answer on its way back through the daemons.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use super::headers;
use crate::codes::ResultClass;
use crate::codes::ResultCode;
use crate::codes::RESULT_HEADER;
use crate::transport::WholeAnswer;

/// What became of a call, with the endpoint's answer if there is one.
#[derive(Debug, Clone)]
pub struct CallReply {
    pub code: ResultCode,
    pub response: Option<EndpointResponse>,
    /// Retries that came with the call and were not spent.
    pub unspent_retries: u32,
    /// A service further down refused because of overload.
    pub downstream_overloaded: bool,
}

/// The endpoint's own answer.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl EndpointResponse {
    /// Takes an answer, without what was only for its hop.
    pub fn from_response(response: WholeAnswer) -> Self {
        let mut headers = response.headers;
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_internal(&mut headers);
        Self {
            status: response.status,
            headers,
            body: response.body,
        }
    }

    /// Bytes held for it, roughly.
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
    /// A reply without an endpoint's answer.
    pub fn from_code(code: ResultCode, unspent_retries: u32) -> Self {
        Self {
            code,
            response: None,
            unspent_retries,
            downstream_overloaded: false,
        }
    }

    /// The same answer under another code, for those who repeat a request.
    pub fn with_code(mut self, code: ResultCode) -> Self {
        if self.code.class() == ResultClass::Done {
            self.code = code;
        }
        self
    }

    /// The response to a caller: the endpoint's answer, or the code's own.
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
