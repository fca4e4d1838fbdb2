//! Tests callers that leave or are refused while the daemon has bytes of them that it has not read.

use std::time::Duration;
use std::time::Instant;

use marigoldhatch_standins::endpoint::EndpointBehaviour;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Fleet;
use crate::support::FleetBuilder;

/// Time that an endpoint works on a request.
const SERVICE_TIME: Duration = Duration::from_secs(4);
/// Longest time after a caller has left for which an endpoint may work on its request.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);
/// Time between two requests that are sent ahead, so that each arrives by itself.
const SEND_GAP: Duration = Duration::from_millis(30);

/// Starts a fleet whose first daemon is beside the slow endpoint of a GET route.
async fn start_fleet() -> Fleet {
    let mut behaviour = EndpointBehaviour::from_service("archive");
    behaviour.service_time = SERVICE_TIME;
    FleetBuilder::new()
        .endpoint(behaviour)
        .endpoints("other", 1)
        .get_route("archive", "/a")
        .start()
        .await
}

async fn wait_for_record(fleet: &Fleet, holds: impl Fn(&Fleet) -> bool) -> Duration {
    let started = Instant::now();
    while !holds(fleet) {
        assert!(started.elapsed() < SERVICE_TIME, "{:?}", fleet.records());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Guards against requests that run on, or are taken up, after their caller has left with further requests
/// sent behind them (GONE, review/9).
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_caller_that_left_are_not_run(
    #[values(0, 1)] daemon: usize,
    #[values(0, 2)] requests_behind: usize,
) {
    let fleet = start_fleet().await;
    let caller = fleet.caller(daemon, "acme").await;
    let request = format!(
        "GET /a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {}\r\n\r\n",
        caller.key
    );
    let mut stream = TcpStream::connect(caller.daemon).await.expect("connect");
    for _ in 0..=requests_behind {
        let written = stream.write_all(request.as_bytes()).await;
        written.expect("write a request");
        tokio::time::sleep(SEND_GAP).await;
    }
    wait_for_record(&fleet, |fleet| !fleet.records().is_empty()).await;
    drop(stream);
    let is_cancelled = |fleet: &Fleet| fleet.records().iter().all(|record| record.cancelled);
    let noticed = wait_for_record(&fleet, is_cancelled).await;
    assert!(noticed < LEAVE_LIMIT, "after {noticed:?}");
    tokio::time::sleep(LEAVE_LIMIT).await;
    assert_eq!(fleet.records().len(), 1, "a later request was run");
}

/// Guards against a refusal that a caller can't read since its connection is reset while it still sends the
/// request (the cause of review/6).
#[tokio::test(flavor = "multi_thread")]
async fn refused_caller_can_send_all_and_read_the_refusal() {
    let fleet = start_fleet().await;
    let caller = fleet.caller(0, "acme").await;
    let mut stream = TcpStream::connect(caller.daemon).await.expect("connect");
    let head = "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n";
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("write the head");
    for number in 0..10 {
        let written = stream.write_all(&[b'b'; 100_000]).await;
        assert!(written.is_ok(), "block {number}: {written:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut start = [0; 12];
    let read = stream.read_exact(&mut start).await;
    read.expect("read the status line");
    assert!(start.starts_with(b"HTTP/1.1 4"), "{start:?}");
}
