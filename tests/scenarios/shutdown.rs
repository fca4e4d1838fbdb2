//! Tests that a graceful shutdown completes all requests and a draining endpoint gets no new ones.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use uuid::Uuid;

use crate::support::Caller;
use crate::support::CallerResponse;
use crate::support::Fleet;
use crate::support::FleetBuilder;

/// Longest time for which a draining endpoint may get new requests.
///
/// The requirement is: "A leaving upstream gets no new work after a few seconds."
const DRAIN_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Returns the behaviour of an endpoint that takes 200 ms for each request.
fn slow_behaviour(service: &str) -> EndpointBehaviour {
    let mut behaviour = EndpointBehaviour::from_service(service);
    behaviour.service_time = Duration::from_millis(200);
    behaviour
}

/// Starts three slow endpoints of one service with a GET and a POST route.
async fn start_fleet() -> Fleet {
    FleetBuilder::new()
        .endpoint(slow_behaviour("archive"))
        .endpoint(slow_behaviour("archive"))
        .endpoint(slow_behaviour("archive"))
        .get_route("archive", "/a")
        .post_route("archive", "/f")
        .start()
        .await
}

/// Sends GET and POST requests to one daemon until `stop` is set; returns the responses.
async fn send_until_stopped(caller: Arc<Caller>, stop: Arc<AtomicBool>) -> Vec<CallerResponse> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let post_caller = caller.clone();
        let get_caller = caller.clone();
        calls.push(tokio::spawn(async move { get_caller.get("/a").await }));
        calls.push(tokio::spawn(async move {
            let key = Uuid::now_v7().to_string();
            post_caller.post("/f", &key, &key).await
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.expect("join the request task"));
    }
    responses
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_all_requests() {
    let mut fleet = start_fleet().await;
    let caller = Arc::new(fleet.caller(0, "acme").await);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_until_stopped(caller, stop.clone()));
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.daemons[2].stop().await;

    tokio::time::sleep(Duration::from_secs(3)).await;
    stop.store(true, Ordering::SeqCst);
    let responses = load.await.expect("join the load task");
    let failed_responses: Vec<&CallerResponse> = responses
        .iter()
        .filter(|response| response.class() != ResultClass::Done)
        .collect();
    assert!(
        failed_responses.is_empty(),
        "{} of {} requests failed, the first with {:?}",
        failed_responses.len(),
        responses.len(),
        failed_responses.first()
    );
    assert!(fleet.records().iter().all(|record| record.finished));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_completes_requests_of_its_callers_before_it_stops() {
    let mut fleet = start_fleet().await;
    let caller = fleet.caller(1, "acme").await;
    let running = tokio::spawn(async move { caller.get("/a").await });
    tokio::time::sleep(Duration::from_millis(80)).await;

    fleet.daemons[1].stop().await;

    let response = running.await.expect("join the request task");
    assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
}

/// Asserts that requests succeed and a draining endpoint gets none after the time limit.
async fn assert_drained(fleet: &Fleet, endpoint_index: usize, caller: Caller) {
    let drain_start = Instant::now();
    let mut pair_count = 0;
    while drain_start.elapsed() < DRAIN_TIME_LIMIT + Duration::from_secs(3) {
        let get_response = caller.get("/a").await;
        assert_eq!(
            get_response.code,
            Some(ResultCode::Done),
            "{get_response:?}"
        );
        let key = Uuid::now_v7().to_string();
        let post_response = caller.post("/f", &key, &key).await;
        assert_eq!(
            post_response.class(),
            ResultClass::Done,
            "{post_response:?}"
        );
        pair_count += 1;
    }
    let late_records: Vec<_> = fleet.endpoints[endpoint_index]
        .records()
        .into_iter()
        .filter(|record| record.at > drain_start + DRAIN_TIME_LIMIT)
        .collect();
    assert!(
        late_records.is_empty(),
        "{} requests reached the draining endpoint late, of {pair_count} GET and POST pairs",
        late_records.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_announced_as_draining_gets_no_requests() {
    let fleet = start_fleet().await;
    let caller = fleet.caller(0, "acme").await;

    fleet.endpoints[0].change(|behaviour| behaviour.draining = true);

    assert_drained(&fleet, 0, caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_drained_by_an_operator_gets_no_requests() {
    let fleet = start_fleet().await;
    let caller = fleet.caller(0, "acme").await;
    fleet.drain("vm-1").await;

    assert_drained(&fleet, 1, caller).await;
}
