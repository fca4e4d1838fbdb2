//! Tests that withdrawn API keys stop working within seconds and that no endpoint receives a key.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use marigoldhatch_standins::relay::RelayMode;
use rstest::rstest;

use crate::support::Caller;
use crate::support::Fleet;
use crate::support::FleetBuilder;

/// Longest time for which a withdrawn key still works.
///
/// The requirement is: "A withdrawn key stops working within seconds."
const WITHDRAWAL_TIME_LIMIT: Duration = Duration::from_secs(9);

/// Starts endpoints of one service with an idempotent GET route.
async fn start_fleet(endpoints: usize) -> Fleet {
    FleetBuilder::new()
        .endpoints("archive", endpoints)
        .get_route("archive", "/a")
        .start()
        .await
}

/// Sends requests until the key is refused; returns the elapsed time.
async fn wait_until_refused(caller: &Caller, path: &str) -> Duration {
    let start = Instant::now();
    loop {
        let response = caller.get(path).await;
        if response.code == Some(ResultCode::KeyRefused) {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < WITHDRAWAL_TIME_LIMIT,
            "withdrawn key not refused within {WITHDRAWAL_TIME_LIMIT:?}: {response:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_on_open_connections_of_every_daemon() {
    let fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let callers: Vec<Caller> = fleet
        .daemons
        .iter()
        .map(|daemon| Caller::new(daemon.settings.traffic_address(), &key))
        .collect();
    for caller in &callers {
        assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));
    }

    fleet.withdraw(&key).await;

    for caller in &callers {
        wait_until_refused(caller, "/a").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_disconnected_from_the_log_learns_of_a_withdrawal_from_its_peers() {
    let fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let caller = Caller::new(fleet.daemons[1].settings.traffic_address(), &key);
    assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));

    fleet.log_relays[1].set_mode(RelayMode::Disconnect);
    fleet.withdraw(&key).await;

    wait_until_refused(&caller, "/a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_daemon_refuses_keys_and_recovers() {
    let fleet = FleetBuilder::new()
        .endpoints("archive", 3)
        .get_route("archive", "/a")
        .relayed()
        .start()
        .await;
    let key = fleet.grant("acme").await;
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));

    fleet.log_relays[0].set_mode(RelayMode::Disconnect);
    for relay in &fleet.peer_relays {
        relay.set_mode(RelayMode::Disconnect);
    }
    fleet.withdraw(&key).await;
    let start = Instant::now();
    loop {
        let response = caller.get("/a").await;
        if response.code == Some(ResultCode::CutOff) {
            break;
        }
        assert!(
            start.elapsed() < Duration::from_secs(15),
            "isolated daemon still accepts the key after 15 s: {response:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    fleet.log_relays[0].set_mode(RelayMode::Forward);
    for relay in &fleet.peer_relays {
        relay.set_mode(RelayMode::Forward);
    }
    wait_until_refused(&caller, "/a").await;
    let new_caller = fleet.caller(0, "acme").await;
    let recovery_start = Instant::now();
    while new_caller.get("/a").await.code != Some(ResultCode::Done) {
        assert!(
            recovery_start.elapsed() < Duration::from_secs(15),
            "no request succeeded within 15 s after the isolation ended"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_request_is_not_run_after_its_key_is_withdrawn() {
    let mut behaviour = EndpointBehaviour::from_service("archive");
    behaviour.slots = 1;
    behaviour.service_time = Duration::from_millis(1_500);
    let fleet = FleetBuilder::new()
        .endpoint(behaviour)
        .get_route("archive", "/a")
        .start()
        .await;
    let first = fleet.caller(0, "acme").await;
    let key = fleet.grant("acme").await;
    let second = Caller::new(first.daemon, &key);
    // The admission controller starts cold with one slot, so the second call waits for the first.
    let running = tokio::spawn(async move { first.get("/a?first").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let waiting = tokio::spawn(async move { second.get("/a?second").await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    fleet.withdraw(&key).await;

    let waiting_response = waiting.await.expect("join the request task");
    assert_eq!(
        waiting_response.code,
        Some(ResultCode::KeyRefused),
        "{waiting_response:?}"
    );
    assert_eq!(
        running.await.expect("join the request task").code,
        Some(ResultCode::Done)
    );
    assert_eq!(fleet.records().len(), 1);
}

#[rstest]
#[case::other_header("/a", Some("x-custom"), "")]
#[case::cookie("/a", Some("cookie"), "")]
#[case::query("/a?other=KEY&keep=1", None, "")]
#[case::encoded_query("/a?other=%4DKEY", None, "")]
#[tokio::test(flavor = "multi_thread")]
async fn key_is_stripped_from_headers_and_query(
    #[case] target: &str,
    #[case] header: Option<&str>,
    #[case] body: &str,
) {
    let fleet = start_fleet(2).await;
    let mut caller = fleet.caller(0, "acme").await;
    let key = caller.key.clone();
    if let Some(header) = header {
        caller = caller.with_header(header, &format!("session={key}"));
    }

    for _ in 0..8 {
        let response = caller
            .send("GET", &target.replace("KEY", &key), body, None)
            .await;
        assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
    }

    let seen = format!("{:?}", fleet.records());
    assert!(!seen.contains(&key), "a key reached an endpoint: {seen}");
    assert_eq!(fleet.records().len(), 8);
}

#[rstest]
#[case::in_the_path("/a/KEY", "")]
#[case::in_the_body("/a", "{\"key\": \"KEY\"}")]
#[tokio::test(flavor = "multi_thread")]
async fn key_in_the_path_or_body_is_refused(#[case] target: &str, #[case] body: &str) {
    let fleet = start_fleet(1).await;
    let caller = fleet.caller(0, "acme").await;
    let (target, body) = (
        target.replace("KEY", &caller.key),
        body.replace("KEY", &caller.key),
    );

    let response = caller.send("GET", &target, &body, None).await;

    assert_eq!(response.code, Some(ResultCode::KeyInRequest));
    assert!(fleet.records().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_envelope_or_context_is_refused() {
    let fleet = start_fleet(2).await;
    let caller = fleet.caller(0, "acme").await;
    let no_key = || Caller::new(caller.daemon, "");

    let envelope = no_key()
        .with_header("x-marigoldhatch-envelope", "{}")
        .with_header("x-marigoldhatch-proof", &"0".repeat(64));
    let context = no_key().with_header("x-marigoldhatch-context", &"0".repeat(32));
    let unknown = Caller::new(caller.daemon, "mhk_unknown");

    assert_eq!(envelope.get("/a").await.code, Some(ResultCode::BadEnvelope));
    assert_eq!(
        context.get("/a").await.code,
        Some(ResultCode::ContextUnknown)
    );
    assert_eq!(unknown.get("/a").await.code, Some(ResultCode::KeyRefused));
    assert_eq!(no_key().get("/a").await.code, Some(ResultCode::KeyMissing));
    assert!(fleet.records().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_contain_no_keys() {
    let fleet = start_fleet(2).await;
    let caller = fleet.caller(0, "acme").await;
    for target in ["/a", "/a?key=KEY", "/nowhere/KEY", "/a/KEY"] {
        caller.get(&target.replace("KEY", &caller.key)).await;
    }
    fleet.withdraw(&caller.key).await;
    wait_until_refused(&caller, "/a").await;

    for daemon in &fleet.daemons {
        let log = fleet.daemon_log(&daemon.settings.vm);
        assert!(
            log.contains("\"event\":1001"),
            "the log contains no event for the start of the daemon"
        );
        assert!(
            !log.contains(&caller.key),
            "the log of {} contains a key",
            daemon.settings.vm
        );
    }
}
