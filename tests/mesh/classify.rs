//! Classification of responses, among them those that belong to another call.

use hyper::header::HeaderValue;
use hyper::HeaderMap;
use hyper::StatusCode;
use marigoldhatch::decisions::announcement::EndpointStatus;
use marigoldhatch::mesh::executor::classify_response;
use marigoldhatch::mesh::executor::classify_status;
use marigoldhatch::mesh::executor::ResponseClass;
use marigoldhatch::mesh::link::RefusalCause;
use marigoldhatch_standins::mesh::plain_header_names;
use rstest::rstest;

#[rstest]
#[case::whole(200, &[("x-attempt", "a"), ("x-seal", "s")], ResponseClass::Valid)]
#[case::endpoint_failure(500, &[("x-attempt", "a"), ("x-seal", "s")], ResponseClass::Valid)]
#[case::of_another_call(200, &[("x-attempt", "b"), ("x-seal", "s")], ResponseClass::Foreign)]
#[case::without_identity(200, &[("x-seal", "s")], ResponseClass::Foreign)]
#[case::success_without_seal(200, &[("x-attempt", "a")], ResponseClass::Foreign)]
#[case::encoded(200, &[("x-attempt", "a"), ("x-seal", "s"), ("content-encoding", "gzip")], ResponseClass::Foreign)]
#[case::shed(503, &[("x-attempt", "a"), ("x-not-run", "1")], ResponseClass::Refused(RefusalCause::EndpointShed))]
#[case::late_refusal_of_another_call(503, &[("x-attempt", "b"), ("x-not-run", "1")], ResponseClass::Foreign)]
#[case::another_endpoint(421, &[("x-attempt", "a")], ResponseClass::Refused(RefusalCause::EndpointReplaced))]
#[case::switched_protocol(101, &[("x-attempt", "a"), ("x-seal", "s")], ResponseClass::InvalidStatus)]
#[case::status_of_no_class(600, &[("x-attempt", "a"), ("x-seal", "s")], ResponseClass::InvalidStatus)]
#[case::refusal_with_such_a_status(999, &[("x-attempt", "a"), ("x-not-run", "1")], ResponseClass::InvalidStatus)]
fn response_class_follows_from_status_and_headers(
    #[case] status: u16,
    #[case] pairs: &[(&'static str, &'static str)],
    #[case] expected: ResponseClass,
    #[values(false, true)] reused: bool,
) {
    assert_eq!(classify(status, pairs, reused), expected);
}

/// Guards against the fault of issue 23, by which an endpoint's earlier refusal, sent once more on a kept
/// connection, was taken for that of a request that ran (REFUSED, TWICE).
#[rstest]
#[case::shed(503, &[("x-not-run", "1")], RefusalCause::EndpointShed)]
#[case::another_endpoint(421, &[], RefusalCause::EndpointReplaced)]
fn refusal_without_identity_is_believed_on_a_new_connection_only(
    #[case] status: u16,
    #[case] pairs: &[(&'static str, &'static str)],
    #[case] cause: RefusalCause,
) {
    assert_eq!(
        classify(status, pairs, false),
        ResponseClass::Refused(cause)
    );
    assert_eq!(classify(status, pairs, true), ResponseClass::Foreign);
}

fn classify(status: u16, pairs: &[(&'static str, &'static str)], reused: bool) -> ResponseClass {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("valid status code");
    classify_response(&plain_header_names(), Some(b"a"), status, &headers, reused)
}

#[rstest]
#[case::serving(200, &[("x-endpoint", "a")], EndpointStatus::Serving)]
#[case::leaving(503, &[("x-endpoint", "a")], EndpointStatus::Unavailable)]
#[case::leaving_without_identity(503, &[], EndpointStatus::Unavailable)]
#[case::leaving_by_header(200, &[("x-endpoint", "a"), ("x-leaving", "1")], EndpointStatus::Unavailable)]
#[case::full(503, &[("x-not-run", "1")], EndpointStatus::Unknown)]
#[case::another_endpoint(200, &[("x-endpoint", "b")], EndpointStatus::Unavailable)]
#[case::without_identity(200, &[], EndpointStatus::Unknown)]
#[case::no_such_path(404, &[], EndpointStatus::Unknown)]
#[case::switched_protocol(101, &[("x-endpoint", "b")], EndpointStatus::Unknown)]
#[case::status_of_no_class(600, &[("x-endpoint", "a"), ("x-leaving", "1")], EndpointStatus::Unknown)]
fn answer_to_a_status_check_tells_whether_the_endpoint_serves(
    #[case] status: u16,
    #[case] pairs: &[(&'static str, &'static str)],
    #[case] expected: EndpointStatus,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    let found = classify_status(&plain_header_names(), "a", status, &headers);
    assert_eq!(found, expected);
}
