//! Tests that a non-idempotent request runs at most once and that "not run" responses are true.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultClass;
use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use uuid::Uuid;

use crate::support::Caller;
use crate::support::Fleet;
use crate::support::FleetBuilder;

/// Longest interruption of non-idempotent requests by a crash of one executor.
///
/// The requirement is: "A crash of one executor alone must not stop filings for more than seconds."
const RECOVERY_TIME_LIMIT: Duration = Duration::from_secs(15);

fn new_request_key() -> String {
    Uuid::now_v7().to_string()
}

/// Returns a request key with a birth time at an offset from now, in milliseconds.
fn request_key_with_birth(offset_ms: i64) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock later than 1970");
    let birth_ms = (now.as_millis() as i64 + offset_ms) as u64;
    let seconds = birth_ms / 1000;
    let nanos = (birth_ms % 1000) as u32 * 1_000_000;
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos);
    Uuid::new_v7(stamp).to_string()
}

/// Starts three endpoints of one service with a behaviour and a non-idempotent route.
async fn start_three_endpoints(behaviour: EndpointBehaviour) -> Fleet {
    FleetBuilder::new()
        .endpoint(behaviour.clone())
        .endpoint(behaviour.clone())
        .endpoint(behaviour)
        .post_route("filing", "/filings")
        .start()
        .await
}

/// Starts endpoints of one service that respond immediately, with a non-idempotent route.
async fn start_fleet(daemons: usize) -> Fleet {
    FleetBuilder::new()
        .endpoints("filing", daemons)
        .post_route("filing", "/filings")
        .start()
        .await
}

/// Sends new requests until `count` of them are done; returns the elapsed time.
async fn post_until_done(caller: &Caller, count: usize, tag: &str) -> Duration {
    let start = Instant::now();
    for number in 0..count {
        loop {
            let key = new_request_key();
            let body = format!("{tag} {number} {key}");
            let response = caller.post("/filings", &body, &key).await;
            if response.class() == ResultClass::Done {
                break;
            }
            assert!(
                start.elapsed() < Duration::from_secs(60),
                "request {number} of {count} not done 60 s after the first was sent: {response:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    start.elapsed()
}

/// Asserts that the endpoints received no request twice and none reported as not run.
fn assert_at_most_once(fleet: &Fleet, not_run: &[String]) {
    let mut bodies: Vec<Vec<u8>> = fleet
        .records()
        .into_iter()
        .map(|record| record.body)
        .collect();
    let received_count = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!(
        received_count,
        bodies.len(),
        "the endpoints received a request twice"
    );
    for body in not_run {
        let was_received = bodies
            .iter()
            .any(|received_body| received_body == body.as_bytes());
        assert!(
            !was_received,
            "{body:?} ran although it was reported as not run"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_run_once() {
    let mut behaviour = EndpointBehaviour::from_service("filing");
    behaviour.service_time = Duration::from_millis(300);
    let fleet = start_three_endpoints(behaviour).await;
    let key = fleet.grant("acme").await;
    let request_key = new_request_key();

    let posts = (0..9).map(|number| {
        let caller = Caller::new(fleet.daemons[number % 3].settings.traffic_address(), &key);
        let request_key = request_key.clone();
        tokio::spawn(async move { caller.post("/filings", "crossed", &request_key).await })
    });
    for post in posts.collect::<Vec<_>>() {
        let response = post.await.expect("join the request task");
        assert_eq!(response.class(), ResultClass::Done, "{response:?}");
        assert_eq!(response.body, "filing ran /filings crossed");
    }

    assert_eq!(fleet.run_count("crossed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn same_request_key_of_two_organisations_identifies_two_requests() {
    let fleet = FleetBuilder::new()
        .endpoints("filing", 2)
        .post_route("filing", "/filings")
        .organisation("zenith", 100.0, 100.0)
        .start()
        .await;
    let request_key = new_request_key();

    for organisation in ["acme", "zenith"] {
        let caller = fleet.caller(0, organisation).await;
        let body = format!("of {organisation}");
        let response = caller.post("/filings", &body, &request_key).await;
        assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
        assert!(response.body.ends_with(&body), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_over_the_rate_is_not_reported_as_not_run() {
    let fleet = FleetBuilder::new()
        .endpoints("filing", 3)
        .post_route("filing", "/filings")
        .organisation("tiny", 0.05, 1.0)
        .start()
        .await;
    let caller = fleet.caller(0, "tiny").await;
    let request_key = new_request_key();
    let first = caller.post("/filings", "once", &request_key).await;
    assert_eq!(first.code, Some(ResultCode::Done), "{first:?}");

    let retry = caller.post("/filings", "once", &request_key).await;
    let other = caller.post("/filings", "other", &new_request_key()).await;

    assert_eq!(retry.class(), ResultClass::Done, "{retry:?}");
    assert_eq!(other.code, Some(ResultCode::OverRate), "{other:?}");
    assert_at_most_once(&fleet, &["other".to_string()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_key_reused_for_another_request_is_refused() {
    let fleet = start_fleet(2).await;
    let caller = fleet.caller(0, "acme").await;
    let request_key = new_request_key();
    caller.post("/filings", "first", &request_key).await;

    let response = caller.post("/filings", "second", &request_key).await;

    assert_eq!(response.code, Some(ResultCode::RequestKeyReused));
    assert_eq!(fleet.run_count("second"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_key_with_a_future_old_or_missing_birth_is_rejected() {
    let fleet = start_fleet(3).await;
    let caller = fleet.caller(0, "acme").await;

    let ahead = caller
        .post("/filings", "ahead", &request_key_with_birth(60_000))
        .await;
    let old = caller
        .post("/filings", "old", &request_key_with_birth(-3_600_000))
        .await;
    let opaque = caller.post("/filings", "opaque", "order-17").await;

    assert_eq!(ahead.code, Some(ResultCode::BirthAhead), "{ahead:?}");
    assert_eq!(old.code, Some(ResultCode::RequestTooOld), "{old:?}");
    assert_eq!(opaque.code, Some(ResultCode::BadRequestKey), "{opaque:?}");
    assert!(fleet.records().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn executor_crash_during_a_run_leaves_the_outcome_unknown() {
    let mut behaviour = EndpointBehaviour::from_service("filing");
    behaviour.service_time = Duration::from_millis(1_500);
    let mut fleet = start_three_endpoints(behaviour).await;
    let key = fleet.grant("acme").await;
    let request_key = new_request_key();
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    let first = {
        let request_key = request_key.clone();
        tokio::spawn(async move { caller.post("/filings", "fatal", &request_key).await })
    };
    let owner = loop {
        let running = fleet
            .endpoints
            .iter()
            .position(|endpoint| !endpoint.records().is_empty());
        if let Some(owner) = running {
            break owner;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };

    fleet.daemons[owner].kill();

    let survivor = (owner + 1) % 3;
    let caller = Caller::new(fleet.daemons[survivor].settings.traffic_address(), &key);
    let retry = caller.post("/filings", "fatal", &request_key).await;
    assert_eq!(retry.class(), ResultClass::Unknown, "{retry:?}");
    let first = first.await.expect("join the first request task");
    assert_eq!(first.class(), ResultClass::Unknown, "{first:?}");
    assert_eq!(fleet.run_count("fatal"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn executor_crash_interrupts_service_for_seconds_only() {
    let mut fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    post_until_done(&caller, 20, "before").await;

    fleet.daemons[2].kill();

    let took = post_until_done(&caller, 40, "after").await;
    assert!(
        took < RECOVERY_TIME_LIMIT,
        "40 requests took {took:?} after the crash, limit {RECOVERY_TIME_LIMIT:?}"
    );
    assert_at_most_once(&fleet, &[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_does_not_interrupt_service() {
    let fleet = start_fleet(3).await;
    let caller = fleet.caller(0, "acme").await;

    fleet.log.set_unavailable(true);
    let end = Instant::now() + Duration::from_secs(10);
    let mut done_count = 0;
    while Instant::now() < end {
        let body = format!("in the outage {done_count}");
        let response = caller.post("/filings", &body, &new_request_key()).await;
        assert_eq!(
            response.class(),
            ResultClass::Done,
            "after {done_count}: {response:?}"
        );
        done_count += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.log.set_unavailable(false);

    assert!(done_count > 50);
    assert_at_most_once(&fleet, &[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn executor_crash_during_log_outage_runs_nothing_twice_and_recovers() {
    let mut fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key)
        .with_header("x-deadline-ms", "1500");
    let mut not_run = Vec::new();

    fleet.log.set_unavailable(true);
    fleet.daemons[1].kill();
    for number in 0..12 {
        let body = format!("both {number}");
        let response = caller.post("/filings", &body, &new_request_key()).await;
        if response.class() == ResultClass::NotRun {
            not_run.push(body);
        }
    }
    fleet.log.set_unavailable(false);

    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    post_until_done(&caller, 20, "healed").await;
    assert_at_most_once(&fleet, &not_run);
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_suspended_past_its_lease_runs_nothing_twice() {
    let fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    post_until_done(&caller, 5, "before").await;

    fleet.daemons[2].suspend();
    let mut retries = Vec::new();
    let mut not_run = Vec::new();
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key)
        .with_header("x-deadline-ms", "2500");
    let end = Instant::now() + Duration::from_secs(12);
    while Instant::now() < end {
        let request_key = new_request_key();
        let body = format!("frozen {request_key}");
        let response = caller.post("/filings", &body, &request_key).await;
        if response.class() != ResultClass::Done {
            retries.push((body, request_key));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.daemons[2].resume();
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (body, request_key) in &retries {
        for daemon in &fleet.daemons {
            let caller = Caller::new(daemon.settings.traffic_address(), &key)
                .with_header("x-deadline-ms", "1000");
            let response = caller.post("/filings", body, request_key).await;
            if response.class() == ResultClass::NotRun {
                not_run.push((daemon.settings.vm.clone(), body.clone()));
            }
        }
    }

    assert_at_most_once(&fleet, &[]);
    // A request reported as not run may still run on a later retry, but only once.
    let rerun: Vec<_> = not_run
        .iter()
        .filter(|(_, body)| fleet.run_count(body) > 1)
        .collect();
    assert!(
        rerun.is_empty(),
        "reported as not run and run more than once: {rerun:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_without_state_does_not_rerun_completed_requests() {
    let mut fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;
    let mut completed_requests = Vec::new();
    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key);
    for number in 0..12 {
        let request_key = new_request_key();
        let body = format!("kept {number}");
        let response = caller.post("/filings", &body, &request_key).await;
        assert_eq!(response.class(), ResultClass::Done, "{response:?}");
        completed_requests.push((body, request_key));
    }

    for index in 0..3 {
        fleet.restart(index).await;
        fleet.wait_until_converged().await;
    }

    let caller = Caller::new(fleet.daemons[0].settings.traffic_address(), &key)
        .with_header("x-deadline-ms", "1000");
    for (body, request_key) in &completed_requests {
        let response = caller.post("/filings", body, request_key).await;
        assert_ne!(
            response.class(),
            ResultClass::NotRun,
            "{body:?} has run but is reported as not run: {response:?}"
        );
    }
    assert_at_most_once(&fleet, &[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_responses_leave_one_owner_per_slot() {
    let mut fleet = start_fleet(3).await;
    let key = fleet.grant("acme").await;

    fleet.log.lose_answers(20);
    fleet.restart(1).await;
    fleet.wait_until_converged().await;
    fleet.log.lose_answers(0);

    for daemon in &fleet.daemons {
        let caller = Caller::new(daemon.settings.traffic_address(), &key);
        post_until_done(&caller, 5, &daemon.settings.vm).await;
    }
    assert_at_most_once(&fleet, &[]);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_shed_by_the_endpoint_is_not_run_and_can_be_retried() {
    let fleet = start_fleet(2).await;
    let caller = fleet.caller(0, "acme").await;
    let request_key = new_request_key();
    for endpoint in &fleet.endpoints {
        endpoint.change(|behaviour| behaviour.shed = true);
    }
    let shed = caller.post("/filings", "shed", &request_key).await;
    assert_eq!(shed.class(), ResultClass::NotRun, "{shed:?}");
    for endpoint in &fleet.endpoints {
        endpoint.change(|behaviour| behaviour.shed = false);
    }

    let response = caller.post("/filings", "shed", &request_key).await;

    assert_eq!(response.code, Some(ResultCode::Done), "{response:?}");
    assert_eq!(fleet.run_count("shed"), 1);
}
