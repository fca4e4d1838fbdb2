//! Connections that go silent for good while new ones work; answers that come late or crossed.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use uuid::Uuid;

use crate::support::FleetBuilder;

/// A call through a silent connection is answered well within its deadline of 10 s.
const SILENCE_BOUND: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_over_a_silent_connection_is_answered_over_another() {
    let fleet = FleetBuilder::new()
        .endpoints("other", 1)
        .endpoints("archive", 2)
        .get_route("archive", "/a")
        .relayed()
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;
    for _ in 0..10 {
        assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));
    }

    for relay in &fleet.traffic_relays {
        relay.silence_open_connections();
    }

    for _ in 0..10 {
        let start = Instant::now();
        let response = caller.get("/a").await;
        assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
        assert!(start.elapsed() < SILENCE_BOUND, "{:?}", start.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_filing_over_a_silent_connection_runs_once_and_is_answered() {
    let fleet = FleetBuilder::new()
        .endpoints("other", 1)
        .endpoints("filing", 2)
        .post_route("filing", "/f")
        .relayed()
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;
    for _ in 0..10 {
        let key = Uuid::now_v7().to_string();
        assert_eq!(
            caller.post("/f", &key, &key).await.class(),
            ResultClass::Done
        );
    }

    for relay in &fleet.traffic_relays {
        relay.silence_open_connections();
    }

    for _ in 0..10 {
        let start = Instant::now();
        let key = Uuid::now_v7().to_string();
        let response = caller.post("/f", &key, &key).await;
        assert_eq!(response.class(), ResultClass::Done, "{response:?}");
        assert!(start.elapsed() < SILENCE_BOUND, "{:?}", start.elapsed());
        assert_eq!(fleet.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_call_is_not_taken_for_a_silent_connection() {
    let mut behaviour = EndpointBehaviour::from_service("archive");
    behaviour.service_time = Duration::from_secs(5);
    let fleet = FleetBuilder::new()
        .endpoints("other", 1)
        .endpoint(behaviour)
        .get_route("archive", "/a")
        .post_route("archive", "/f")
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;

    let key = Uuid::now_v7().to_string();
    let (lookup, filing) = tokio::join!(caller.get("/a"), caller.post("/f", "long", &key));

    assert_eq!(lookup.code, Some(ResultCode::Done), "{lookup:?}");
    assert_eq!(filing.code, Some(ResultCode::Done), "{filing:?}");
    assert_eq!(fleet.records().len(), 2, "each was handed over once");
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_the_answer_to_its_own_request_when_answers_cross() {
    let mut fast = EndpointBehaviour::from_service("archive");
    fast.slots = 64;
    let mut late = fast.clone();
    late.service_time = Duration::from_millis(150);
    let fleet = FleetBuilder::new()
        .endpoint(fast)
        .endpoint(late)
        .get_route("archive", "/a")
        .organisation("zenith", 10_000.0, 20_000.0)
        .start()
        .await;
    let acme = std::sync::Arc::new(fleet.caller(0, "acme").await);
    let zenith = std::sync::Arc::new(fleet.caller(1, "zenith").await);

    let calls: Vec<_> = (0..120)
        .map(|number| {
            let caller = if number % 2 == 0 {
                acme.clone()
            } else {
                zenith.clone()
            };
            tokio::spawn(async move { (number, caller.get(&format!("/a/{number}")).await) })
        })
        .collect();

    let mut done = 0;
    for call in calls {
        let (number, response) = call.await.expect("the call ends");
        if response.class() == ResultClass::Done {
            assert_eq!(response.body, format!("archive ran /a/{number} "));
            done += 1;
        }
    }
    assert!(done > 60, "only {done} were done");
}
