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
use crate::transport::BufferedResponse;

/// What became of a call, with the endpoint's answer if there is one.
#[derive(Debug, Clone)]
pub struct StoredReply {
    pub code: ResultCode,
    pub answer: Option<EndpointAnswer>,
    /// Retries that came with the call and were not spent.
    pub unspent: u32,
    /// A service further down refused because of overload.
    pub overloaded_below: bool,
}

/// The endpoint's own answer.
#[derive(Debug, Clone)]
pub struct EndpointAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl EndpointAnswer {
    /// Takes an answer, without what was only for its hop.
    pub fn from_whole(answer: BufferedResponse) -> Self {
        let mut headers = answer.headers;
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_internal(&mut headers);
        Self {
            status: answer.status,
            headers,
            body: answer.body,
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

impl StoredReply {
    /// A reply without an endpoint's answer.
    pub fn from_code(code: ResultCode, unspent: u32) -> Self {
        Self {
            code,
            answer: None,
            unspent,
            overloaded_below: false,
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
        let Some(answer) = self.answer else {
            return self.code.response();
        };
        let mut response = Response::new(Full::new(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        headers::set(
            response.headers_mut(),
            RESULT_HEADER,
            &self.code.header_value(),
        );
        response
    }
}
