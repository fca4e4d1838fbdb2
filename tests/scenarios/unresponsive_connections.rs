//! Tests connections that stay open but deliver no more bytes, and late or out-of-order responses.
//!
//! New connections work, so a request can succeed over another one.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use uuid::Uuid;

use crate::support::FleetBuilder;

/// Longest time of a call over an unresponsive connection, well within its deadline of 10 s.
const RESPONSE_TIME_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_over_a_new_connection() {
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
        assert!(
            start.elapsed() < RESPONSE_TIME_LIMIT,
            "{:?}",
            start.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_over_an_unresponsive_connection_runs_once() {
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
        assert!(
            start.elapsed() < RESPONSE_TIME_LIMIT,
            "{:?}",
            start.elapsed()
        );
        assert_eq!(fleet.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_call_is_not_mistaken_for_an_unresponsive_connection() {
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
    let (get_response, post_response) =
        tokio::join!(caller.get("/a"), caller.post("/f", "long", &key));

    assert_eq!(
        get_response.code,
        Some(ResultCode::Done),
        "{get_response:?}"
    );
    assert_eq!(
        post_response.code,
        Some(ResultCode::Done),
        "{post_response:?}"
    );
    assert_eq!(fleet.records().len(), 2, "each request is forwarded once");
}

#[tokio::test(flavor = "multi_thread")]
async fn out_of_order_responses_reach_their_own_callers() {
    let mut fast_endpoint = EndpointBehaviour::from_service("archive");
    fast_endpoint.slots = 64;
    let mut slow_endpoint = fast_endpoint.clone();
    slow_endpoint.service_time = Duration::from_millis(150);
    let fleet = FleetBuilder::new()
        .endpoint(fast_endpoint)
        .endpoint(slow_endpoint)
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

    let mut done_count = 0;
    for call in calls {
        let (number, response) = call.await.expect("join the request task");
        if response.class() == ResultClass::Done {
            assert_eq!(response.body, format!("archive ran /a/{number} "));
            done_count += 1;
        }
    }
    assert!(
        done_count > 60,
        "only {done_count} of 120 requests were done"
    );
}
