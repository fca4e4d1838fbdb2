//! Limits that endpoints name in their responses and announcements.

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::HeaderMap;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::placement::usable_slots;
use marigoldhatch::mesh::executor::EndpointLimits;
use marigoldhatch_standins::mesh::plain_header_names;
use rstest::rstest;

use super::proof::new_state;

fn read(pairs: &[(&'static str, &'static str)]) -> Result<EndpointLimits, String> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    EndpointLimits::from_headers(&plain_header_names(), &headers)
}

#[rstest]
#[case::none(&[], None, false)]
#[case::decimal(&[("x-rate", "62.2")], Some(62.2), false)]
#[case::whole(&[("x-rate", " 40 ")], Some(40.0), false)]
#[case::zero(&[("x-rate", "0")], Some(0.0), false)]
#[case::leaving(&[("x-leaving", "1")], None, true)]
#[case::not_leaving(&[("x-leaving", "0"), ("x-rate", "1")], Some(1.0), false)]
fn limits_are_read(
    #[case] pairs: &[(&'static str, &'static str)],
    #[case] rate: Option<f64>,
    #[case] leaving: bool,
) {
    assert_eq!(read(pairs), Ok(EndpointLimits { rate, leaving }));
}

#[rstest]
#[case("")]
#[case("many")]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("1,5")]
fn invalid_rate_is_an_error(#[case] text: &'static str) {
    assert_eq!(read(&[("x-rate", text)]), Err(text.to_owned()));
}

/// Guards against an endpoint that gets as many requests at once as it took at its start, although it
/// has announced fewer slots since.
#[tokio::test]
async fn later_announcement_changes_the_number_of_slots() {
    let state = new_state();
    for (sequence, slots) in [(1, 64), (2, 8), (3, 32)] {
        state.handle_announcement(EndpointAnnouncement {
            id: "archive-1".to_owned(),
            service: "archive".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            slots,
            state: EndpointState::Ready,
            sequence,
            born_ms: 1,
            cold: Duration::ZERO,
        });
        assert_eq!(state.executor.limit(), usable_slots(slots));
    }
}
