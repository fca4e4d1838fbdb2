//! Tests that requests are forwarded to endpoints on other VMs and along call chains.

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::DownstreamCall;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use uuid::Uuid;

use crate::support::FleetBuilder;

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_reaches_an_endpoint_on_another_vm() {
    let fleet = FleetBuilder::new()
        .endpoints("archive", 1)
        .endpoints("other", 1)
        .get_route("archive", "/returns")
        .start()
        .await;
    let caller = fleet.caller(1, "acme").await;

    let response = caller.get("/returns/2025?page=2").await;

    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.code, Some(ResultCode::Done));
    assert_eq!(response.body, "archive ran /returns/2025?page=2 ");
    assert_eq!(fleet.endpoints[0].records().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_runs_once_despite_retries() {
    let fleet = FleetBuilder::new()
        .endpoints("filing", 3)
        .post_route("filing", "/filings")
        .start()
        .await;
    let key = fleet.grant("acme").await;
    let request_key = Uuid::now_v7().to_string();

    for daemon in &fleet.daemons {
        let caller = crate::support::Caller::new(daemon.settings.traffic_address(), &key);
        for _ in 0..3 {
            let response = caller.post("/filings", "return 1", &request_key).await;
            assert_eq!(response.class(), ResultClass::Done, "{response:?}");
            assert_eq!(response.body, "filing ran /filings return 1");
        }
    }

    assert_eq!(fleet.run_count("return 1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_chain_keeps_the_organisation_and_deadline_but_no_key() {
    let mut builder = FleetBuilder::new();
    for (service, downstream_path) in [
        ("a", Some("/b")),
        ("b", Some("/c")),
        ("c", Some("/d")),
        ("d", None),
    ] {
        let mut behaviour = EndpointBehaviour::from_service(service);
        behaviour.downstream = downstream_path
            .into_iter()
            .map(|path| DownstreamCall {
                method: "GET".to_string(),
                path: path.to_string(),
            })
            .collect();
        builder = builder
            .endpoint(behaviour)
            .get_route(service, &format!("/{service}"));
    }
    let fleet = builder.start().await;
    let caller = fleet.caller(2, "acme").await;

    let response = caller.get("/a").await;

    assert_eq!(response.status, 200, "{response:?}");
    for endpoint in &fleet.endpoints {
        let records = endpoint.records();
        assert_eq!(records.len(), 1);
        let seen = format!("{records:?}");
        assert!(
            !seen.contains(&caller.key),
            "a key reached an endpoint: {seen}"
        );
        assert!(records[0].headers.contains_key("x-deadline-ms"));
    }
}
