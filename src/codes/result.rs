//! Result codes and classes that tell a caller the outcome of its request.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderName;
use hyper::Response;
use hyper::StatusCode;

/// Response header with the number and class of the result.
pub const RESULT_HEADER: HeaderName = HeaderName::from_static("x-marigoldhatch-result");

/// Class of a result: whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResultClass {
    /// The endpoint answered the request.
    Done,
    /// The request did not run: no byte reached an endpoint, or the endpoint shed it.
    NotRun,
    /// The request may have run.
    Unknown,
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// Numbered result of a request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $(#[doc = $text] $name = $number,)*
        }

        impl ResultCode {
            /// All codes, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status of the response; an endpoint's own status takes precedence.
            pub fn status(self) -> StatusCode {
                let status = match self {
                    $(Self::$name => $status,)*
                };
                StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
            }

            /// Returns the sentence that explains the result to the caller.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the code with this number.
            pub fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }
        }
    };
}

result_codes! {
    Done = 100, 200, "The endpoint answered.";
    Joined = 101, 200, "The same request was under way; this is its answer.";
    Replayed = 102, 200, "The same request has run before; this is its answer.";
    AnswerDropped = 103, 410, "The request has run before; its answer is no longer held.";
    KeyMissing = 201, 401, "The route needs a key and none was presented.";
    KeyRefused = 202, 401, "The key is not in force.";
    KeyDuplicate = 203, 400, "More than one credential was presented.";
    NoRoute = 204, 404, "No route matches the path.";
    MethodNotAllowed = 205, 405, "The route does not take this method.";
    NotAllowed = 206, 403, "The organisation may not call this route.";
    OverRate = 207, 429, "The organisation is over its rate.";
    DeadlineTooShort = 208, 503, "The deadline would pass before the answer.";
    Overloaded = 209, 503, "The service is overloaded.";
    RefusedEarly = 210, 503, "The service or one below it is overloaded.";
    NoEndpoint = 211, 503, "No endpoint of the service can be reached.";
    BodyTooLarge = 212, 413, "The body is larger than the bound.";
    BodyTimeout = 213, 408, "The body did not arrive in time.";
    KeyInRequest = 214, 400, "A key stands where it would reach an endpoint.";
    BadRequestKey = 215, 400, "The Idempotency-Key of this route must be one UUID of version 7.";
    BirthAhead = 216, 425, "The Idempotency-Key was born in the future; correct the clock or wait.";
    RequestKeyReused = 217, 422, "The Idempotency-Key was used for another request.";
    Stopping = 219, 503, "The daemon is stopping.";
    CutOff = 220, 503, "The daemon is cut off and can't know which keys are withdrawn.";
    EndpointShed = 221, 503, "The endpoint refused the request without running it.";
    ContextUnknown = 222, 403, "The call context is not of a request in flight here.";
    TooDeep = 223, 508, "The call chain is too deep.";
    NotOwner = 224, 503, "Another daemon owns this request.";
    NoOwner = 225, 503, "No daemon owns requests of this service yet.";
    BadEnvelope = 226, 403, "The call does not come from a daemon of this fleet.";
    CallerGone = 227, 499, "The caller has gone.";
    BadDeadline = 228, 400, "The deadline header must be one whole number of milliseconds.";
    RateUnknown = 230, 503, "No home of the organisation's rate can be reached.";
    NoMemory = 231, 503, "The daemon has no memory for the body now.";
    Evacuated = 235, 503, "No endpoint of the service is known outside the evacuated failure domains.";
    NeverSeen = 229, 404, "The owner has not seen the request.";
    ConnectionLost = 301, 502, "The connection was lost after the request was handed over.";
    DeadlinePassed = 302, 504, "The deadline passed while the request may have been running.";
    OwnerGone = 303, 504, "The daemon that may have run the request is gone.";
    RequestTooOld = 304, 409, "The Idempotency-Key is older than what is remembered.";
    AnswerTooLarge = 305, 502, "The endpoint's answer was larger than the bound.";
    AnswerCut = 306, 502, "The endpoint's answer broke off.";
    AnswerInvalid = 309, 502, "The endpoint's answer had no valid status.";
    StillUnknown = 307, 504, "The request was handed to an endpoint before and no answer came.";
    OwnerUnreached = 308, 504, "The owner of the request could not be reached in time.";
}

impl ResultCode {
    /// Returns the number that the table, the header and the log lines show.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the class of the result.
    pub fn class(self) -> ResultClass {
        match self.number() / 100 {
            1 => ResultClass::Done,
            2 => ResultClass::NotRun,
            _ => ResultClass::Unknown,
        }
    }

    /// Returns the name of the class in the header.
    pub fn class_name(self) -> &'static str {
        match self.class() {
            ResultClass::Done => "done",
            ResultClass::NotRun => "not-run",
            ResultClass::Unknown => "outcome-unknown",
        }
    }

    /// Returns the value of the result header.
    pub fn header_value(self) -> String {
        format!("{} {}", self.number(), self.class_name())
    }

    /// Parses the value of a result header.
    pub fn from_header_value(value: &str) -> Option<Self> {
        let number = value.split(' ').next()?;
        Self::from_number(number.parse().ok()?)
    }

    /// Returns true if the refusal is due to overload, so that a later attempt or another endpoint may
    /// succeed.
    pub fn is_overload(self) -> bool {
        matches!(
            self,
            Self::Overloaded | Self::RefusedEarly | Self::EndpointShed | Self::DeadlineTooShort
        )
    }

    /// Builds the response to a caller when there is none from an endpoint.
    pub fn response(self) -> Response<Full<Bytes>> {
        let body = format!(
            "{{\"result\":{},\"class\":\"{}\",\"message\":\"{}\"}}\n",
            self.number(),
            self.class_name(),
            self.text()
        );
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            hyper::header::CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if let Ok(value) = hyper::header::HeaderValue::from_str(&self.header_value()) {
            headers.insert(RESULT_HEADER, value);
        }
        response
    }
}
