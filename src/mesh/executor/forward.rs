//! Forwards a call to the endpoint on the same VM and reads its response.

use std::pin::pin;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::Request;
use hyper::Response;

use super::super::body_reader::read_body;
use super::super::link::RefusalCause;
use super::call::CallOutcome;
use super::call::CallRequest;
use super::call::EndpointResponse;
use super::classify::classify_response;
use super::classify::refused_or_unknown;
use super::classify::ResponseClass;
use super::endpoint::EndpointExecutor;
use super::outcomes::CallProgress;
use super::parents::ParentGuard;
use super::parents::TreeUsage;
use super::pool::connect;
use super::pool::EndpointConnection;
use super::pool::MAX_HEAD_READ_BYTES;
use crate::clock::BootTime;
use crate::decisions::announcement::EndpointAnnouncement;

/// A call with less time than this until its deadline is not forwarded: no endpoint responds
/// faster.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);
/// Time past the deadline for which the endpoint's response is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// Maximum size of a response body. An endpoint in trouble may send bytes without end.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes of a body with the frames around its chunks.
const MAX_BODY_READ_BYTES: usize = 4 * MAX_RESPONSE_BYTES;

impl EndpointExecutor {
    /// Forwards a call that holds a slot, once more on a new connection if nothing was sent on the first.
    pub(super) async fn forward(
        &self,
        call: &CallRequest,
        progress: &CallProgress<'_>,
    ) -> CallOutcome {
        // If the connection closed before it sent a byte of the call, retry once on a new one.
        for new_connection in [false, true] {
            let Some(announcement) = self.usable_endpoint_for(&call.service) else {
                return CallOutcome::Refused(self.refusal_cause(&call.service));
            };
            if self.clock.remaining(call.deadline) < MIN_REMAINING_TIME {
                return CallOutcome::Refused(RefusalCause::Expired);
            }
            let connection = match self.get_connection(&announcement, new_connection).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.mark_endpoint_unreachable(&announcement, &error.to_string());
                    return CallOutcome::Refused(RefusalCause::EndpointGone);
                }
            };
            // The endpoint may have left while the call waited for the connection.
            let is_same = |current: &EndpointAnnouncement| {
                current.service == *call.service && current.is_same_incarnation(&announcement)
            };
            if self.with_usable_endpoint(|current, _| is_same(current)) != Some(true) {
                return CallOutcome::Refused(RefusalCause::EndpointGone);
            }
            if let Some(outcome) = self
                .exchange(call, &announcement, connection, progress)
                .await
            {
                return outcome;
            }
        }
        CallOutcome::Refused(RefusalCause::EndpointGone)
    }

    /// Sends the call on one connection; returns none if no byte of the call was sent.
    async fn exchange(
        &self,
        call: &CallRequest,
        announcement: &EndpointAnnouncement,
        mut connection: EndpointConnection,
        progress: &CallProgress<'_>,
    ) -> Option<CallOutcome> {
        let request = self.build_request(call, &announcement.id);
        let until = call.deadline + RESPONSE_GRACE;
        progress.forwarded.set(true);
        let guard = ParentGuard::from_request(
            &self.parents,
            call.deadline,
            self.attempt_id(call),
            call.origin,
            &progress.failed_below,
        );
        connection.allowance.set(MAX_HEAD_READ_BYTES);
        let sent = pin!(connection.sender.try_send_request(request));
        let response = match self.clock.timeout_at(until, sent).await {
            Some(Ok(response)) => response,
            Some(Err(mut error)) => {
                if error.take_message().is_some() {
                    progress.forwarded.set(false);
                    return None;
                }
                self.record_break();
                self.log_unknown_outcome(call, &error.into_error().to_string());
                return Some(CallOutcome::Unknown);
            }
            None => {
                self.log_unknown_outcome(call, "no response by the deadline");
                return Some(CallOutcome::Unknown);
            }
        };
        let mut outcome = self
            .read_response(call, announcement, connection, response, until)
            .await;
        if let CallOutcome::Completed(response) = &mut outcome {
            response.usage = guard.close();
        }
        Some(outcome)
    }

    async fn read_response(
        &self,
        call: &CallRequest,
        announcement: &EndpointAnnouncement,
        connection: EndpointConnection,
        response: Response<hyper::body::Incoming>,
        until: BootTime,
    ) -> CallOutcome {
        self.record_answer();
        let (head, body) = response.into_parts();
        let attempt_id = call.headers.get(&self.header_names.attempt);
        let attempt_id = attempt_id.map(|value| value.as_bytes());
        let class = classify_response(
            &self.header_names,
            attempt_id,
            head.status,
            &head.headers,
            connection.reused,
        );
        if class == ResponseClass::InvalidStatus {
            let error = format!("no final response has the status {}", head.status.as_u16());
            self.log_unknown_outcome(call, &error);
            return CallOutcome::Unknown;
        }
        if class == ResponseClass::Foreign {
            self.log_unknown_outcome(call, "the response does not belong to this call");
            return CallOutcome::Unknown;
        }
        connection.allowance.set(MAX_BODY_READ_BYTES);
        let read = pin!(read_body(body, MAX_RESPONSE_BYTES, &self.body_budget));
        if class != ResponseClass::Refused(RefusalCause::EndpointReplaced) {
            self.apply_limits(announcement, &head.headers);
        }
        let body = match self.clock.timeout_at(until, read).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => {
                self.log_unknown_outcome(call, &error.to_string());
                return refused_or_unknown(class);
            }
            None => {
                self.log_unknown_outcome(call, "the response was incomplete at the deadline");
                return refused_or_unknown(class);
            }
        };
        self.pool.put_back(connection, &head.headers);
        match class {
            ResponseClass::Refused(cause) => CallOutcome::Refused(cause),
            _ => CallOutcome::Completed(EndpointResponse {
                status: head.status,
                headers: head.headers,
                body,
                usage: TreeUsage::new(),
            }),
        }
    }

    fn build_request(&self, call: &CallRequest, endpoint: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.clone();
        let mut headers = call.headers.clone();
        let remaining = self.clock.remaining(call.deadline);
        let milliseconds = remaining.as_millis() as u64;
        headers.insert(&self.header_names.deadline, HeaderValue::from(milliseconds));
        match HeaderValue::from_str(endpoint) {
            Ok(value) => {
                headers.insert(&self.header_names.expected_endpoint, value);
            }
            Err(error) => tracing::error!(endpoint, %error, "endpoint id: invalid header value"),
        }
        *request.headers_mut() = headers;
        request
    }

    async fn get_connection(
        &self,
        announcement: &EndpointAnnouncement,
        new_connection: bool,
    ) -> std::io::Result<EndpointConnection> {
        if !new_connection {
            if let Some(connection) = self.pool.take().await {
                return Ok(connection);
            }
        }
        connect(announcement.address).await
    }
}
