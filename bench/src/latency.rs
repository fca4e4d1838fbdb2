//! What a call gains in latency: direct, through one daemon, and through entry and executor, side by
//! side in one run.

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

/// Calls a second on each way.
const RATE: f64 = 240.0;
const RATE_TIME: Duration = Duration::from_secs(15);
const WARM_UP: Duration = Duration::from_secs(3);
const SATURATION_TIME: Duration = Duration::from_secs(5);
const SATURATION_CALLERS: usize = 32;
/// The target: added for 99 in 100 calls.
const TARGET: Duration = Duration::from_micros(520);

/// One way that a call can take.
#[derive(Clone)]
struct CallWay {
    name: &'static str,
    address: SocketAddr,
    key: Option<String>,
    pool: Arc<ConnectionPool>,
}

impl CallWay {
    async fn call(&self) -> Option<Duration> {
        let mut request = Request::builder()
            .uri("/deep/get")
            .header("host", self.address.to_string());
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request
            .body(Full::new(Bytes::new()))
            .expect("a sound request");
        let start = Instant::now();
        let plan = SendOptions {
            deadline: start + Duration::from_secs(10),
            max_answer_bytes: 1 << 20,
            new_connection: false,
        };
        let answer = self.pool.send(self.address, request, plan).await.ok()?;
        answer.status.is_success().then(|| start.elapsed())
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
    fleet::publish(&log.url(), fleet::team("bench", &services)).await;
    let executor = MeasuredDaemon::start(0, &log.url(), "info");
    let entry = MeasuredDaemon::start(1, &log.url(), "info");
    executor.wait_until_up().await;
    entry.wait_until_up().await;
    let mut behaviour = EndpointBehaviour::from_service("deep");
    behaviour.slots = 64;
    let endpoint = StandinEndpoint::start(behaviour, Some(executor.place())).await;
    let front = EndpointBehaviour::from_service("front");
    let other = StandinEndpoint::start(front, Some(entry.place())).await;
    let key = fleet::grant(&log.url()).await;
    let way = |name, address, key| CallWay {
        name,
        address,
        key,
        pool: Arc::new(ConnectionPool::default()),
    };
    let ways = [
        way("direct", endpoint.address(), None),
        way("one daemon", executor.traffic, Some(key.clone())),
        way("entry and executor", entry.traffic, Some(key)),
    ];
    wait_until_served(&ways).await;
    at_rate(&ways, WARM_UP).await;
    let latencies = at_rate(&ways, RATE_TIME).await;
    print_latencies(&ways, &latencies);
    println!();
    println!(
        "{:<20} {:>9} {:>16} {:>10}",
        "at saturation", "calls/s", "calls/core s", "memory MB"
    );
    for way in &ways {
        let before = executor.processor_seconds() + entry.processor_seconds();
        let calls = saturate(way).await;
        let used = executor.processor_seconds() + entry.processor_seconds() - before;
        let per_core = if used > 0.1 {
            calls as f64 / used
        } else {
            f64::NAN
        };
        println!(
            "{:<20} {:>9.0} {:>16.0} {:>10.1}",
            way.name,
            calls as f64 / SATURATION_TIME.as_secs_f64(),
            per_core,
            executor.memory_mb()
        );
    }
    endpoint.close();
    other.close();
    log.close().await;
}

async fn wait_until_served(ways: &[CallWay]) {
    for way in ways {
        let end = Instant::now() + Duration::from_secs(30);
        while way.call().await.is_none() {
            assert!(Instant::now() < end, "{} serves nothing", way.name);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

type CallLine = Vec<tokio::task::JoinHandle<Option<Duration>>>;

/// Calls each way at the same rate, in turn, so that the machine's moods fall on all alike.
async fn at_rate(ways: &[CallWay], time: Duration) -> Vec<Histogram<u64>> {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / RATE));
    let end = Instant::now() + time;
    let mut calls: Vec<CallLine> = Vec::new();
    calls.resize_with(ways.len(), Vec::new);
    while Instant::now() < end {
        ticks.tick().await;
        for (index, way) in ways.iter().enumerate() {
            let way = way.clone();
            calls[index].push(tokio::spawn(async move { way.call().await }));
        }
    }
    let mut histograms = Vec::new();
    for line in calls {
        let mut histogram = Histogram::new(3).expect("three digits");
        for call in line {
            let elapsed = call.await.expect("the call ends");
            let micros = elapsed.map_or(10_000_000, |elapsed| elapsed.as_micros() as u64);
            histogram.saturating_record(micros);
        }
        histograms.push(histogram);
    }
    histograms
}

fn print_latencies(ways: &[CallWay], latencies: &[Histogram<u64>]) {
    println!(
        "{:<20} {:>8} {:>8} {:>10} {:>10}",
        format!("{RATE} calls/s"),
        "p50 us",
        "p99 us",
        "added p50",
        "added p99"
    );
    for (way, histogram) in ways.iter().zip(latencies) {
        let quantile = |q: f64| histogram.value_at_quantile(q);
        let added = |q: f64| quantile(q) as i64 - latencies[0].value_at_quantile(q) as i64;
        println!(
            "{:<20} {:>8} {:>8} {:>10} {:>10}",
            way.name,
            quantile(0.5),
            quantile(0.99),
            added(0.5),
            added(0.99)
        );
    }
    let last = latencies.len() - 1;
    let added = latencies[last].value_at_quantile(0.99) - latencies[0].value_at_quantile(0.99);
    let met = added <= TARGET.as_micros() as u64;
    println!(
        "target {} us added at p99: {}",
        TARGET.as_micros(),
        if met { "met" } else { "missed" }
    );
}

async fn saturate(way: &CallWay) -> u64 {
    let end = Instant::now() + SATURATION_TIME;
    let callers: Vec<_> = (0..SATURATION_CALLERS)
        .map(|_| {
            let way = way.clone();
            tokio::spawn(async move {
                let mut done = 0;
                while Instant::now() < end {
                    done += u64::from(way.call().await.is_some());
                }
                done
            })
        })
        .collect();
    let mut total = 0;
    for caller in callers {
        total += caller.await.expect("the caller ends");
    }
    total
}
