//! Tests that no organisation exceeds its rate and burst, summed over all VMs.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch::codes::ResultCode;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use rstest::rstest;

use crate::support::Caller;
use crate::support::Fleet;
use crate::support::FleetBuilder;

const RATE_PER_S: f64 = 60.0;
const BURST_TOKENS: f64 = 30.0;
/// Tolerance for the time between the charge at the entry and the endpoint's record, in seconds.
const PATH_JITTER_S: f64 = 0.1;

/// Starts three endpoints and an organisation with a rate limit.
async fn start_fleet() -> Fleet {
    FleetBuilder::new()
        .endpoint(EndpointBehaviour::from_service("archive"))
        .endpoint(EndpointBehaviour::from_service("archive"))
        .endpoint(EndpointBehaviour::from_service("archive"))
        .get_route("archive", "/a")
        .organisation("greedy", RATE_PER_S, BURST_TOKENS)
        .start()
        .await
}

/// Sends calls at a total rate, spread evenly over all daemons; returns the result codes.
async fn send_load(
    fleet: &Fleet,
    key: &str,
    per_second: f64,
    duration: Duration,
) -> Vec<Option<ResultCode>> {
    let daemons: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.settings.traffic_address())
        .collect();
    let interval_between_calls = Duration::from_secs_f64(daemons.len() as f64 / per_second);
    let tasks: Vec<_> = daemons
        .into_iter()
        .map(|daemon| {
            let key = key.to_string();
            tokio::spawn(async move {
                send_load_to(daemon, key, interval_between_calls, duration).await
            })
        })
        .collect();
    let mut codes = Vec::new();
    for task in tasks {
        codes.extend(task.await.expect("join the load task"));
    }
    codes
}

/// Sends calls to one daemon at a fixed interval; returns the result codes.
async fn send_load_to(
    daemon: std::net::SocketAddr,
    key: String,
    interval_between_calls: Duration,
    duration: Duration,
) -> Vec<Option<ResultCode>> {
    let caller = std::sync::Arc::new(Caller::new(daemon, &key));
    let mut ticker = tokio::time::interval(interval_between_calls);
    let end = Instant::now() + duration;
    let mut calls = Vec::new();
    while Instant::now() < end {
        ticker.tick().await;
        let caller = caller.clone();
        calls.push(tokio::spawn(async move { caller.get("/a").await.code }));
    }
    let mut codes = Vec::new();
    for call in calls {
        codes.push(call.await.expect("join the request task"));
    }
    codes
}

/// Asserts that the rate and burst hold in every window that starts and ends at a record.
fn assert_within_rate(fleet: &Fleet) {
    let mut times: Vec<Instant> = fleet.records().iter().map(|record| record.at).collect();
    times.sort();
    for (first, start) in times.iter().enumerate() {
        for (last, end) in times.iter().enumerate().skip(first) {
            let count = (last - first + 1) as f64;
            let window = (*end - *start).as_secs_f64() + PATH_JITTER_S;
            let bound = RATE_PER_S * window + BURST_TOKENS;
            assert!(
                count <= bound,
                "{count} requests in {window:.3} s, at most {bound:.1} allowed"
            );
        }
    }
}

/// Fault injected while an organisation exceeds its rate.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    KillOne,
    SuspendOne,
    RestartOne,
    LogDown,
    LogDownAndKill,
}

#[rstest]
#[case::none(Fault::None)]
#[case::kill(Fault::KillOne)]
#[case::suspend(Fault::SuspendOne)]
#[case::restart(Fault::RestartOne)]
#[case::log_down(Fault::LogDown)]
#[case::both(Fault::LogDownAndKill)]
#[tokio::test(flavor = "multi_thread")]
async fn load_above_the_rate_is_limited_to_the_rate(#[case] fault: Fault) {
    let mut fleet = start_fleet().await;
    let key = fleet.grant("greedy").await;
    let before = send_load(&fleet, &key, RATE_PER_S * 5.0, Duration::from_secs(3)).await;
    assert!(before.contains(&Some(ResultCode::OverRate)));

    match fault {
        Fault::None => {}
        Fault::KillOne => fleet.daemons[0].kill(),
        Fault::SuspendOne => fleet.daemons[0].suspend(),
        Fault::RestartOne => fleet.restart(0).await,
        Fault::LogDown => fleet.log.set_unavailable(true),
        Fault::LogDownAndKill => {
            fleet.log.set_unavailable(true);
            fleet.daemons[1].kill();
        }
    }
    send_load(&fleet, &key, RATE_PER_S * 5.0, Duration::from_secs(5)).await;
    if matches!(fault, Fault::SuspendOne) {
        fleet.daemons[0].resume();
        send_load(&fleet, &key, RATE_PER_S * 5.0, Duration::from_secs(2)).await;
    }

    assert_within_rate(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn load_within_the_rate_is_not_refused() {
    let fleet = start_fleet().await;
    let key = fleet.grant("greedy").await;

    let codes = send_load(&fleet, &key, RATE_PER_S * 0.8, Duration::from_secs(8)).await;

    let refused = codes
        .iter()
        .filter(|code| **code != Some(ResultCode::Done))
        .count();
    // The requirement is: "Refusals within rate under 0.1% with the fleet whole."
    assert!(
        (refused as f64) < codes.len() as f64 * 0.001,
        "{refused} of {} requests within the rate failed",
        codes.len()
    );
    assert_within_rate(&fleet);
}
