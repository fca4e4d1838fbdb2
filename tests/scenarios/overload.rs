//! Under overload the important is shed last, retries stay bounded and cancellation arrives.

use std::sync::Arc;
use std::time::Duration;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch::wire::Importance;
use marigoldhatch_standins::endpoint::DownstreamCall;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use tokio::io::AsyncWriteExt;

use crate::support::FleetBuilder;

#[tokio::test(flavor = "multi_thread")]
async fn critical_requests_are_admitted_while_others_are_shed() {
    let mut behaviour = EndpointBehaviour::from_service("filing");
    behaviour.slots = 4;
    behaviour.service_time = Duration::from_millis(40);
    let fleet = FleetBuilder::new()
        .endpoint(behaviour)
        .route("filing", "/low", "GET", true, Importance::Low)
        .route("filing", "/vital", "GET", true, Importance::Critical)
        .start()
        .await;
    let caller = Arc::new(
        fleet
            .caller(0, "acme")
            .await
            .with_header("x-deadline-ms", "1000"),
    );

    // 100 calls a second can be served; 500 low ones come, and 40 vital ones.
    let mut low_calls = Vec::new();
    let mut critical_calls = Vec::new();
    for round in 0..600 {
        let caller_low = caller.clone();
        low_calls.push(tokio::spawn(async move { caller_low.get("/low").await }));
        if round % 12 == 0 {
            let caller_critical = caller.clone();
            critical_calls.push(tokio::spawn(
                async move { caller_critical.get("/vital").await },
            ));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    let mut shed = 0;
    for call in low_calls {
        let response = call.await.expect("the call ends");
        shed += usize::from(response.class() == ResultClass::NotRun);
    }
    for call in critical_calls {
        let response = call.await.expect("the call ends");
        assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
    }
    assert!(shed > 200, "only {shed} were shed");
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_of_a_call_chain_share_one_allowance() {
    let mut top = EndpointBehaviour::from_service("a");
    top.downstream = vec![DownstreamCall {
        method: "GET".to_string(),
        path: "/b".to_string(),
    }];
    let mut middle = EndpointBehaviour::from_service("b");
    middle.downstream = vec![DownstreamCall {
        method: "GET".to_string(),
        path: "/c".to_string(),
    }];
    let mut bottom = EndpointBehaviour::from_service("c");
    bottom.shed = true;
    let fleet = FleetBuilder::new()
        .endpoint(top)
        .endpoint(middle)
        .endpoint(bottom.clone())
        .endpoint(bottom.clone())
        .endpoint(bottom)
        .get_route("a", "/a")
        .get_route("b", "/b")
        .get_route("c", "/c")
        .configure(|config| {
            for service in &mut config.services {
                service.retry_allowance = 3;
                service.retry_budget_percent = 100;
            }
        })
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;

    caller.get("/a").await;

    // One first try at each of three services, and three retries in all.
    let shed: usize = fleet
        .endpoints
        .iter()
        .map(marigoldhatch_standins::endpoint::StandinEndpoint::sheds)
        .sum();
    let received_count = fleet.records().len() + shed;
    assert!(
        received_count <= 3 + 3,
        "{received_count} calls were handed to endpoints"
    );
    assert!(shed >= 1, "the chain reached its end");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_call_at_the_endpoint() {
    let mut behaviour = EndpointBehaviour::from_service("archive");
    behaviour.service_time = Duration::from_secs(8);
    let fleet = FleetBuilder::new()
        .endpoint(EndpointBehaviour::from_service("other"))
        .endpoint(behaviour)
        .get_route("archive", "/a")
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;
    let mut stream = tokio::net::TcpStream::connect(caller.daemon)
        .await
        .expect("a connection");
    let head = format!(
        "GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\r\n",
        caller.key
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is written");
    while fleet.records().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    drop(stream);

    let mut poll_count = 0;
    while !fleet.records()[0].cancelled {
        assert!(poll_count < 300, "the endpoint was not told");
        poll_count += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_after_an_unresponsive_endpoint() {
    let mut unresponsive = EndpointBehaviour::from_service("archive");
    unresponsive.unresponsive = true;
    let fleet = FleetBuilder::new()
        .endpoint(unresponsive)
        .endpoint(EndpointBehaviour::from_service("archive"))
        .get_route("archive", "/a")
        .start()
        .await;
    let caller = fleet
        .caller(0, "acme")
        .await
        .with_header("x-deadline-ms", "800");

    let mut codes = Vec::new();
    for _ in 0..10 {
        codes.push(caller.get("/a").await.code);
    }
    let done = codes
        .iter()
        .filter(|code| **code == Some(ResultCode::Done))
        .count();

    assert!(done >= 6, "only {done} of 10 were answered: {codes:?}");
}
