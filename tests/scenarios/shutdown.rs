//! A graceful shutdown cuts no request; a leaving endpoint gets no new work.

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

/// "A leaving upstream gets no new work after a few seconds."
const LEAVE_BOUND: Duration = Duration::from_secs(5);

fn slow(service: &str) -> EndpointBehaviour {
    let mut behaviour = EndpointBehaviour::from_service(service);
    behaviour.service_time = Duration::from_millis(200);
    behaviour
}

async fn two_services() -> Fleet {
    FleetBuilder::new()
        .endpoint(slow("archive"))
        .endpoint(slow("archive"))
        .endpoint(slow("archive"))
        .get_route("archive", "/a")
        .post_route("archive", "/f")
        .start()
        .await
}

/// Sends lookups and filings through one daemon until told to stop.
async fn steady_load(caller: Arc<Caller>, stop: Arc<AtomicBool>) -> Vec<CallerResponse> {
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let filing = caller.clone();
        let lookup = caller.clone();
        calls.push(tokio::spawn(async move { lookup.get("/a").await }));
        calls.push(tokio::spawn(async move {
            let key = Uuid::now_v7().to_string();
            filing.post("/f", &key, &key).await
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.expect("the call ends"));
    }
    responses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_request() {
    let mut fleet = two_services().await;
    let caller = Arc::new(fleet.caller(0, "acme").await);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(steady_load(caller, stop.clone()));
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.daemons[2].stop().await;

    tokio::time::sleep(Duration::from_secs(3)).await;
    stop.store(true, Ordering::SeqCst);
    let responses = load.await.expect("the load ends");
    let bad: Vec<&CallerResponse> = responses
        .iter()
        .filter(|response| response.class() != ResultClass::Done)
        .collect();
    assert!(
        bad.is_empty(),
        "{} of {}: {:?}",
        bad.len(),
        responses.len(),
        bad.first()
    );
    assert!(fleet.records().iter().all(|record| record.finished));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_finishes_the_requests_of_its_own_callers() {
    let mut fleet = two_services().await;
    let caller = fleet.caller(1, "acme").await;
    let running = tokio::spawn(async move { caller.get("/a").await });
    tokio::time::sleep(Duration::from_millis(80)).await;

    fleet.daemons[1].stop().await;

    let response = running.await.expect("the call ends");
    assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
}

async fn assert_left(fleet: &Fleet, leaving: usize, caller: Caller) {
    let left = Instant::now();
    let mut filed = 0;
    while left.elapsed() < LEAVE_BOUND + Duration::from_secs(3) {
        let lookup = caller.get("/a").await;
        assert_eq!(lookup.code, Some(ResultCode::Done), "{lookup:?}");
        let key = Uuid::now_v7().to_string();
        let filing = caller.post("/f", &key, &key).await;
        assert_eq!(filing.class(), ResultClass::Done, "{filing:?}");
        filed += 1;
    }
    let late: Vec<_> = fleet.endpoints[leaving]
        .records()
        .into_iter()
        .filter(|record| record.at > left + LEAVE_BOUND)
        .collect();
    assert!(late.is_empty(), "{} of {filed} came late", late.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_it_drains_is_left() {
    let fleet = two_services().await;
    let caller = fleet.caller(0, "acme").await;

    fleet.endpoints[0].change(|behaviour| behaviour.draining = true);

    assert_left(&fleet, 0, caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_an_operator_drains_is_left() {
    let fleet = two_services().await;
    let caller = fleet.caller(0, "acme").await;
    fleet.drain("vm-1").await;

    assert_left(&fleet, 1, caller).await;
}
