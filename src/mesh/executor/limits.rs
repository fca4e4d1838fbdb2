//! Reads the limits that an endpoint names in its responses.

use hyper::HeaderMap;

use super::super::header_names::HeaderNames;

/// Limits that an endpoint names in a response. They hold until another response names others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointLimits {
    /// Requests per second that the endpoint takes from all callers together, or none without a limit.
    pub rate: Option<f64>,
    /// True if the endpoint leaves and takes no new requests.
    pub leaving: bool,
}

impl EndpointLimits {
    /// Reads the headers of a response.
    ///
    /// # Errors
    ///
    /// Returns the text of a rate that is not a finite number of zero or more.
    pub fn from_headers(names: &HeaderNames, headers: &HeaderMap) -> Result<Self, String> {
        let rate = headers.get(&names.request_rate).map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
            let number = text.trim().parse::<f64>().ok();
            let valid = number.filter(|rate| rate.is_finite() && *rate >= 0.0);
            valid.ok_or(text)
        });
        Ok(Self {
            rate: rate.transpose()?,
            leaving: headers
                .get(&names.leaving)
                .is_some_and(|value| value.as_bytes() == b"1"),
        })
    }
}
