//! Measures the slopes behind docs/CAPACITY.md: the cost of a daemon's control traffic as the fleet
//! grows, and the memory of one daemon for many members and teams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use marigoldhatch::upstream::LogClient;
use marigoldhatch::wire::LogRecord;
use marigoldhatch::wire::MemberRecord;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use marigoldhatch_standins::endpoint::StandinEndpoint;
use marigoldhatch_standins::log::StandinLog;
use uuid::Uuid;

use crate::fleet;
use crate::processes::loopback_bytes;
use crate::processes::MeasuredDaemon;

const SETTLE_DURATION: Duration = Duration::from_secs(15);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
/// Endpoints of one service; about the ratio of 5,000 endpoints in 600 services.
const ENDPOINTS_PER_SERVICE: usize = 8;
const CHANGE_COUNT: u32 = 20;
const START_BATCH: usize = 10;
/// Duration for which the CPU time of an idle daemon is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Measures fleets of the given sizes and prints one row for each.
pub async fn run(sizes: &[usize]) {
    println!(
        "{:>7} {:>9} {:>11} {:>12} {:>9} {:>12} {:>11} {:>11}",
        "daemons",
        "started s",
        "% of a core",
        "B/s/daemon",
        "MB",
        "appends/s",
        "change ms",
        "CPU ms/chg"
    );
    for size in sizes {
        measure_fleet(*size).await;
    }
}

async fn start_log() -> StandinLog {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    StandinLog::start(address, Duration::from_secs(3_600)).await
}

async fn measure_fleet(size: usize) {
    let log = start_log().await;
    let services: Vec<String> = (0..size.div_ceil(ENDPOINTS_PER_SERVICE))
        .map(|n| format!("s{n}"))
        .collect();
    let config = fleet::team_config("bench", &services);
    fleet::publish(&log.url(), config.clone()).await;
    let started = Instant::now();
    let mut daemons = Vec::new();
    let mut endpoints = Vec::new();
    while daemons.len() < size {
        let batch = START_BATCH.min(size - daemons.len());
        let first = daemons.len();
        for index in first..first + batch {
            daemons.push(MeasuredDaemon::start(index, &log.url(), "warn"));
        }
        for (index, daemon) in daemons.iter().enumerate().skip(first) {
            daemon.wait_until_ready().await;
            let behaviour =
                EndpointBehaviour::from_service(&services[index / ENDPOINTS_PER_SERVICE]);
            endpoints.push(StandinEndpoint::start(behaviour, Some(daemon.addresses())).await);
        }
    }
    let start_duration = started.elapsed();
    tokio::time::sleep(SETTLE_DURATION).await;
    let announcement_rate = announcement_bytes_per_second(&endpoints);
    let (cpu, bytes, appends) = (total_cpu_seconds(&daemons), loopback_bytes(), log.appends());
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let cpu_percent = (total_cpu_seconds(&daemons) - cpu) / seconds / size as f64 * 100.0;
    // Each byte on the loopback device was sent by one side and received by another.
    let bytes_sent_per_second =
        (loopback_bytes() - bytes) / seconds / size as f64 - announcement_rate;
    let appends_per_second = (log.appends() - appends) as f64 / seconds;
    let mean_memory_mb: f64 =
        daemons.iter().map(MeasuredDaemon::memory_mb).sum::<f64>() / size as f64;
    let (slowest_change, change_cpu_seconds) = measure_changes(&log, &daemons, config).await;
    println!(
        "{:>7} {:>9.1} {:>11.3} {:>12.0} {:>9.1} {:>12.2} {:>11.0} {:>11.3}",
        size,
        start_duration.as_secs_f64(),
        cpu_percent,
        bytes_sent_per_second * 2.0,
        mean_memory_mb,
        appends_per_second,
        slowest_change.as_secs_f64() * 1000.0,
        change_cpu_seconds * 1000.0
    );
    for endpoint in endpoints {
        endpoint.close();
    }
    drop(daemons);
    log.close().await;
}

/// Estimates the bytes per second and daemon that the announcements of the stand-in endpoints put
/// on the loopback device, from the size of one exchange.
fn announcement_bytes_per_second(endpoints: &[StandinEndpoint]) -> f64 {
    const EXCHANGE_BYTES: f64 = 1_150.0;
    const EXCHANGES_PER_SECOND: f64 = 2.0;
    if endpoints.is_empty() {
        return 0.0;
    }
    EXCHANGE_BYTES * EXCHANGES_PER_SECOND
}

fn total_cpu_seconds(daemons: &[MeasuredDaemon]) -> f64 {
    daemons.iter().map(MeasuredDaemon::cpu_seconds).sum()
}

/// Returns the longest time until a change is in force at the first, middle and last daemon, and
/// the CPU seconds per daemon and change.
async fn measure_changes(
    log: &StandinLog,
    daemons: &[MeasuredDaemon],
    config: marigoldhatch::wire::TeamConfig,
) -> (Duration, f64) {
    let cpu_seconds_before = total_cpu_seconds(daemons);
    let mut slowest_change = Duration::ZERO;
    for _ in 0..CHANGE_COUNT {
        let start = Instant::now();
        let version = fleet::publish(&log.url(), config.clone()).await;
        for daemon in [
            &daemons[0],
            &daemons[daemons.len() / 2],
            &daemons[daemons.len() - 1],
        ] {
            wait_for_version(daemon, version).await;
        }
        slowest_change = slowest_change.max(start.elapsed());
    }
    let cpu_seconds_used = total_cpu_seconds(daemons) - cpu_seconds_before;
    (
        slowest_change,
        cpu_seconds_used / daemons.len() as f64 / f64::from(CHANGE_COUNT),
    )
}

async fn wait_for_version(daemon: &MeasuredDaemon, version: u64) {
    wait_for_team(daemon, "bench", version).await;
}

async fn wait_for_team(daemon: &MeasuredDaemon, team: &str, version: u64) {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let status = marigoldhatch::operator::fetch_status(&daemon.control.to_string()).await;
        let teams = status.and_then(|status| status["teams"].as_array().cloned());
        let current_version = teams
            .into_iter()
            .flatten()
            .find(|team_state| team_state["team"] == team)
            .and_then(|team_state| team_state["version"].as_u64());
        if current_version >= Some(version) {
            return;
        }
        assert!(
            Instant::now() < end,
            "version {version} of team {team} did not come into force in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Measures the memory of one daemon for each number of members and prints one row for each.
pub async fn run_held(members: &[usize], teams: usize) {
    println!(
        "{:>8} {:>6} {:>9} {:>11} {:>11}",
        "members", "teams", "MB", "% of a core", "CPU ms/chg"
    );
    for count in members {
        measure_held(*count, if *count == 0 { 0 } else { teams }).await;
    }
}

async fn measure_held(members: usize, teams: usize) {
    let log = start_log().await;
    for team in 0..teams {
        let config = fleet::team_config(&format!("team-{team}"), &[format!("service-{team}")]);
        fleet::publish(&log.url(), config).await;
    }
    let client = LogClient::from_url(&log.url()).expect("the log URL is valid");
    let daemon = MeasuredDaemon::start(0, &log.url(), "warn");
    daemon.wait_until_ready().await;
    for index in 0..members {
        let record = LogRecord::Member(member_record(index, teams.max(1)));
        client
            .append(&record)
            .await
            .expect("failed to append a member record");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cpu_seconds_before = daemon.cpu_seconds();
    tokio::time::sleep(IDLE_DURATION).await;
    let idle_cpu_percent =
        (daemon.cpu_seconds() - cpu_seconds_before) / IDLE_DURATION.as_secs_f64() * 100.0;
    let cpu_seconds_before = daemon.cpu_seconds();
    for _ in 0..CHANGE_COUNT {
        let config = fleet::team_config("changing", &["changing".to_string()]);
        let version = fleet::publish(&log.url(), config).await;
        wait_for_team(&daemon, "changing", version).await;
    }
    let cpu_seconds_used = (daemon.cpu_seconds() - cpu_seconds_before) / f64::from(CHANGE_COUNT);
    println!(
        "{:>8} {:>6} {:>9.1} {:>11.3} {:>11.1}",
        members,
        teams,
        daemon.memory_mb(),
        idle_cpu_percent,
        cpu_seconds_used * 1000.0
    );
    drop(daemon);
    log.close().await;
}

/// Returns the record of a member without a process; daemons consider it alive until pings fail.
fn member_record(index: usize, teams: usize) -> MemberRecord {
    MemberRecord {
        incarnation: Uuid::now_v7(),
        vm: format!("held-{index}"),
        failure_domain: format!("domain-{}", index % 4),
        region: format!("region-{}", index % 2),
        traffic_address: "127.0.0.1:9".to_string(),
        peer_address: "127.0.0.1:9".to_string(),
        service: format!("service-{}", index % teams),
        slots: 64,
        draining: false,
        stopping: false,
        revision: 1,
    }
}
