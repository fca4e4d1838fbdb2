//! Measures the latency added to a call: direct, through one daemon, and through entry and
//! executor, side by side in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendOptions;
use marigoldhatch_standins::endpoint::EndpointBehaviour;
use marigoldhatch_standins::endpoint::StandinEndpoint;
use marigoldhatch_standins::log::StandinLog;

use crate::fleet;
use crate::processes::MeasuredDaemon;

/// Rate of calls on each path.
const CALLS_PER_SECOND: f64 = 240.0;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(15);
const WARM_UP_DURATION: Duration = Duration::from_secs(3);
const SATURATION_DURATION: Duration = Duration::from_secs(5);
const SATURATION_CALLERS: usize = 32;
/// Target latency added at the 99th percentile.
const TARGET_ADDED_LATENCY: Duration = Duration::from_micros(520);

/// A path that a call can take to the endpoint.
#[derive(Clone)]
struct CallPath {
    name: &'static str,
    address: SocketAddr,
    key: Option<String>,
    pool: Arc<ConnectionPool>,
}

impl CallPath {
    async fn call(&self) -> Option<Duration> {
        let mut request = Request::builder()
            .uri("/deep/get")
            .header("host", self.address.to_string());
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request
            .body(Full::new(Bytes::new()))
            .expect("the request is valid");
        let start = Instant::now();
        let options = SendOptions {
            deadline: start + Duration::from_secs(10),
            max_answer_bytes: 1 << 20,
            new_connection: false,
        };
        let response = self.pool.send(self.address, request, options).await.ok()?;
        response.status.is_success().then(|| start.elapsed())
    }
}

/// Runs the measurement and prints the table.
pub async fn run() {
    let log = StandinLog::start(
        SocketAddr::from(([127, 0, 0, 1], 0)),
        Duration::from_secs(3_600),
    )
    .await;
    let services = vec!["deep".to_string(), "front".to_string()];
    fleet::publish(&log.url(), fleet::team_config("bench", &services)).await;
    let executor = MeasuredDaemon::start(0, &log.url(), "info");
    let entry = MeasuredDaemon::start(1, &log.url(), "info");
    executor.wait_until_ready().await;
    entry.wait_until_ready().await;
    let mut behaviour = EndpointBehaviour::from_service("deep");
    behaviour.slots = 64;
    let endpoint = StandinEndpoint::start(behaviour, Some(executor.addresses())).await;
    let front_behaviour = EndpointBehaviour::from_service("front");
    let front_endpoint = StandinEndpoint::start(front_behaviour, Some(entry.addresses())).await;
    let key = fleet::create_key(&log.url()).await;
    let path = |name, address, key| CallPath {
        name,
        address,
        key,
        pool: Arc::new(ConnectionPool::default()),
    };
    let paths = [
        path("direct", endpoint.address(), None),
        path("one daemon", executor.traffic, Some(key.clone())),
        path("entry and executor", entry.traffic, Some(key)),
    ];
    wait_until_served(&paths).await;
    measure_at_rate(&paths, WARM_UP_DURATION).await;
    let latencies = measure_at_rate(&paths, MEASUREMENT_DURATION).await;
    print_latencies(&paths, &latencies);
    println!();
    println!(
        "{:<20} {:>9} {:>16} {:>10}",
        "at saturation", "calls/s", "calls/core s", "memory MB"
    );
    for path in &paths {
        let cpu_seconds_before = executor.cpu_seconds() + entry.cpu_seconds();
        let calls = saturate(path).await;
        let cpu_seconds_used = executor.cpu_seconds() + entry.cpu_seconds() - cpu_seconds_before;
        let calls_per_core_second = if cpu_seconds_used > 0.1 {
            calls as f64 / cpu_seconds_used
        } else {
            f64::NAN
        };
        println!(
            "{:<20} {:>9.0} {:>16.0} {:>10.1}",
            path.name,
            calls as f64 / SATURATION_DURATION.as_secs_f64(),
            calls_per_core_second,
            executor.memory_mb()
        );
    }
    endpoint.close();
    front_endpoint.close();
    log.close().await;
}

async fn wait_until_served(paths: &[CallPath]) {
    for path in paths {
        let end = Instant::now() + Duration::from_secs(30);
        while path.call().await.is_none() {
            assert!(
                Instant::now() < end,
                "path \"{}\" did not serve a call in time",
                path.name
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

type CallTasks = Vec<tokio::task::JoinHandle<Option<Duration>>>;

/// Calls each path at the same rate, in turn, so that noise of the machine affects all alike.
async fn measure_at_rate(paths: &[CallPath], duration: Duration) -> Vec<Histogram<u64>> {
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / CALLS_PER_SECOND));
    let end = Instant::now() + duration;
    let mut calls: Vec<CallTasks> = Vec::new();
    calls.resize_with(paths.len(), Vec::new);
    while Instant::now() < end {
        interval.tick().await;
        for (index, path) in paths.iter().enumerate() {
            let path = path.clone();
            calls[index].push(tokio::spawn(async move { path.call().await }));
        }
    }
    let mut histograms = Vec::new();
    for tasks in calls {
        let mut histogram = Histogram::new(3).expect("the precision is valid");
        for call in tasks {
            let elapsed = call.await.expect("a call panicked");
            let micros = elapsed.map_or(10_000_000, |elapsed| elapsed.as_micros() as u64);
            histogram.saturating_record(micros);
        }
        histograms.push(histogram);
    }
    histograms
}

fn print_latencies(paths: &[CallPath], latencies: &[Histogram<u64>]) {
    println!(
        "{:<20} {:>8} {:>8} {:>10} {:>10}",
        format!("{CALLS_PER_SECOND} calls/s"),
        "p50 us",
        "p99 us",
        "added p50",
        "added p99"
    );
    for (path, histogram) in paths.iter().zip(latencies) {
        let quantile = |q: f64| histogram.value_at_quantile(q);
        let added = |q: f64| quantile(q) as i64 - latencies[0].value_at_quantile(q) as i64;
        println!(
            "{:<20} {:>8} {:>8} {:>10} {:>10}",
            path.name,
            quantile(0.5),
            quantile(0.99),
            added(0.5),
            added(0.99)
        );
    }
    let last_index = latencies.len() - 1;
    let added =
        latencies[last_index].value_at_quantile(0.99) - latencies[0].value_at_quantile(0.99);
    let met = added <= TARGET_ADDED_LATENCY.as_micros() as u64;
    println!(
        "target {} us added at p99: {}",
        TARGET_ADDED_LATENCY.as_micros(),
        if met { "met" } else { "missed" }
    );
}

async fn saturate(path: &CallPath) -> u64 {
    let end = Instant::now() + SATURATION_DURATION;
    let callers: Vec<_> = (0..SATURATION_CALLERS)
        .map(|_| {
            let path = path.clone();
            tokio::spawn(async move {
                let mut success_count = 0;
                while Instant::now() < end {
                    success_count += u64::from(path.call().await.is_some());
                }
                success_count
            })
        })
        .collect();
    let mut total_count = 0;
    for caller in callers {
        total_count += caller.await.expect("a caller panicked");
    }
    total_count
}
