//! Encodes headers for links, with numbers in place of the names that most messages have.

use std::collections::HashMap;

use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::bytes::BytesMut;

use super::super::header_names::HeaderNames;

/// Names of HTTP that have a number, after those of the platform. The order must not change while
/// daemons of two builds are linked.
const COMMON_NAMES: [HeaderName; 14] = [
    header::HOST,
    header::ACCEPT,
    header::ACCEPT_ENCODING,
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::RETRY_AFTER,
    header::SERVER,
    header::USER_AGENT,
    header::VARY,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that a receiver adds to a message.
const ADDED_HEADERS: usize = 2;

/// Name of a header on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeaderKey<'a> {
    /// Position in the table of names.
    Known(u8),
    Name(&'a str),
}

/// Header names and values, in the order of the message.
pub type HeaderPairs<'a> = Vec<(HeaderKey<'a>, &'a [u8])>;

/// Table of the names that have numbers, the same at every daemon.
#[derive(Debug)]
pub struct HeaderCodec {
    names: Vec<HeaderName>,
    numbers: HashMap<HeaderName, u8>,
    /// Headers that the receiver of a response sets itself or removes.
    omitted_in_responses: [HeaderName; 3],
}

impl HeaderCodec {
    /// Creates the table from the platform's names and those of HTTP.
    pub fn from_names(names: &HeaderNames) -> Self {
        let platform_names = [
            &names.attempt,
            &names.deadline,
            &names.expected_endpoint,
            &names.organisation,
            &names.caller_service,
            &names.not_executed,
            &names.response_seal,
        ];
        let platform_names = platform_names.into_iter().cloned();
        let all: Vec<HeaderName> = platform_names.chain(COMMON_NAMES).collect();
        let numbered = all.iter().cloned().zip(0_u8..);
        Self {
            numbers: numbered.collect(),
            names: all,
            omitted_in_responses: [names.attempt.clone(), header::CONTENT_LENGTH, KEEP_ALIVE],
        }
    }

    /// Returns the headers of a request as pairs.
    pub fn encode_request<'a>(&self, headers: &'a HeaderMap) -> HeaderPairs<'a> {
        headers.iter().map(|pair| self.encode(pair)).collect()
    }

    /// Returns the headers of a response as pairs, without those that the receiver replaces.
    pub fn encode_response<'a>(&self, headers: &'a HeaderMap) -> HeaderPairs<'a> {
        let sent = headers
            .iter()
            .filter(|(name, _)| !self.omitted_in_responses.contains(name));
        sent.map(|pair| self.encode(pair)).collect()
    }

    /// Builds a header map; pairs that are not valid headers are skipped, as no endpoint would
    /// accept them.
    pub fn decode(&self, pairs: &HeaderPairs<'_>) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(pairs.len() + ADDED_HEADERS);
        // All values share one allocation.
        let value_bytes = pairs.iter().map(|(_, value)| value.len()).sum();
        let mut values = BytesMut::with_capacity(value_bytes);
        for (_, value) in pairs {
            values.extend_from_slice(value);
        }
        let mut values = values.freeze();
        for (key, value) in pairs {
            let value = values.split_to(value.len());
            let name = match key {
                HeaderKey::Known(number) => self.names.get(usize::from(*number)).cloned(),
                HeaderKey::Name(text) => HeaderName::from_bytes(text.as_bytes()).ok(),
            };
            if let Some((name, value)) = name.zip(HeaderValue::from_maybe_shared(value).ok()) {
                headers.append(name, value);
            }
        }
        headers
    }

    fn encode<'a>(&self, pair: (&'a HeaderName, &'a HeaderValue)) -> (HeaderKey<'a>, &'a [u8]) {
        let (name, value) = pair;
        let key = match self.numbers.get(name) {
            Some(number) => HeaderKey::Known(*number),
            None => HeaderKey::Name(name.as_str()),
        };
        (key, value.as_bytes())
    }
}
