//! Coldness of an endpoint in the executor beside it, without a network.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::HeaderMap;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::announcement::EndpointStatus;
use marigoldhatch::decisions::cold::ColdLimit;
use marigoldhatch::mesh::executor::read_cold_time;
use marigoldhatch::mesh::executor::StatusReply;
use marigoldhatch::mesh::MeshState;
use marigoldhatch_standins::mesh::plain_header_names;
use rstest::rstest;

use super::proof::new_state;

const COLD_TIME: Duration = Duration::from_secs(3);

/// Later than the start of any daemon, so that the endpoint needs no confirmation.
const BORN_MS: u64 = u64::MAX / 2;

fn announcement(sequence: u64, cold: Duration) -> EndpointAnnouncement {
    EndpointAnnouncement {
        id: "archive-1".to_owned(),
        service: "archive".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        slots: 64,
        state: EndpointState::Ready,
        sequence,
        born_ms: BORN_MS,
        cold,
    }
}

fn cold_limits() -> HashMap<String, ColdLimit> {
    let limit = ColdLimit {
        requests_per_second: 17.0,
        duration: COLD_TIME,
    };
    HashMap::from([("archive".to_owned(), limit)])
}

fn limited_state() -> Rc<MeshState> {
    let state = new_state();
    state.executor.set_cold_limits(&cold_limits(), None);
    state
}

#[tokio::test]
async fn cold_endpoint_is_reported_with_the_slots_that_its_rate_keeps_busy() {
    let state = limited_state();
    state.handle_announcement(announcement(1, COLD_TIME));
    assert_eq!(state.executor.rate(), Some(17.0));
    let report = state.endpoint_report().expect("a usable endpoint");
    assert!(report.rated && !report.cold, "its slots count once");
    assert_eq!(report.slots, 1, "no run time is known yet");
    state.handle_announcement(announcement(2, Duration::ZERO));
    let report = state.endpoint_report().expect("a usable endpoint");
    assert_eq!((report.slots, report.rated), (64, false));
}

/// Endpoints of services without a rate for cold ones are served as before.
#[tokio::test]
async fn cold_endpoint_without_a_rate_is_not_limited() {
    let state = new_state();
    state.executor.set_cold_limits(&HashMap::new(), None);
    state.handle_announcement(announcement(1, COLD_TIME));
    state.executor.begin_recovery();
    assert_eq!(state.executor.rate(), None);
    assert!(state.executor.take_cold_check().is_none());
    let report = state.endpoint_report().expect("a usable endpoint");
    assert_eq!((report.slots, report.cold, report.rated), (64, true, false));
}

#[tokio::test]
async fn cold_endpoint_waits_for_the_configuration_that_names_its_rate() {
    let state = new_state();
    state.handle_announcement(announcement(1, COLD_TIME));
    assert_eq!(state.executor.rate(), Some(1.0));
    state.executor.set_cold_limits(&cold_limits(), None);
    assert_eq!(state.executor.rate(), Some(17.0));
}

/// An endpoint that is used again after an evacuation is asked once.
#[tokio::test]
async fn recovered_endpoint_is_cold_until_it_says_otherwise() {
    let state = limited_state();
    state.handle_announcement(announcement(1, Duration::ZERO));
    assert_eq!(state.executor.rate(), None);
    state.executor.begin_recovery();
    assert_eq!(state.executor.rate(), Some(17.0));
    let (checked, asked_at) = state.executor.take_cold_check().expect("a check is due");
    assert!(state.executor.take_cold_check().is_none(), "one check");
    let reply = |status| StatusReply {
        status,
        cold: Some(Duration::ZERO),
    };
    let executor = &state.executor;
    executor.record_cold_check(&checked, reply(EndpointStatus::Unknown), asked_at);
    assert_eq!(executor.rate(), Some(17.0));
    executor.record_cold_check(&checked, reply(EndpointStatus::Serving), asked_at);
    assert_eq!(executor.rate(), None);
}

#[tokio::test(start_paused = true)]
async fn endpoint_that_was_silent_may_be_cold() {
    let state = limited_state();
    state.handle_announcement(announcement(1, Duration::ZERO));
    tokio::time::sleep(Duration::from_secs(60)).await;
    state.handle_announcement(announcement(2, Duration::ZERO));
    assert_eq!(state.executor.rate(), Some(17.0), "this one may be late");
    state.handle_announcement(announcement(3, Duration::ZERO));
    assert_eq!(state.executor.rate(), None);
}

#[rstest]
#[case::no_header(None, Some(0))]
#[case::whole(Some("1400"), Some(1400))]
#[case::fraction(Some(" 0.0 "), Some(0))]
#[case::huge(Some("1e300"), Some(600_000))]
#[case::negative(Some("-5"), Some(0))]
#[case::text(Some("soon"), None)]
#[case::no_number(Some("NaN"), None)]
fn cold_time_of_a_status_check_is_read(
    #[case] value: Option<&'static str>,
    #[case] expected_ms: Option<u64>,
) {
    let mut headers = HeaderMap::new();
    if let Some(value) = value {
        headers.insert("x-cold-ms", HeaderValue::from_static(value));
    }
    let cold = read_cold_time(&plain_header_names(), &headers);
    assert_eq!(cold, expected_ms.map(Duration::from_millis));
}
