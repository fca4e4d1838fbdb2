//! Tests that malformed requests get a numbered error and that the daemon still serves others.

use std::time::Duration;

use marigoldhatch::codes::ResultCode;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Caller;
use crate::support::Fleet;
use crate::support::FleetBuilder;

/// Starts one endpoint with an idempotent GET and an idempotent POST route, and a caller.
async fn start_archive() -> (Fleet, Caller) {
    let fleet = FleetBuilder::new()
        .endpoints("archive", 1)
        .route(
            "archive",
            "/a",
            "GET",
            true,
            marigoldhatch::wire::Importance::Normal,
        )
        .route(
            "archive",
            "/p",
            "POST",
            true,
            marigoldhatch::wire::Importance::Normal,
        )
        .start()
        .await;
    let caller = fleet.caller(0, "acme").await;
    (fleet, caller)
}

/// Writes chunks with a pause after each; returns the bytes read until close or an 8 s timeout.
async fn send_raw(caller: &Caller, chunks: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(caller.daemon)
        .await
        .expect("connect to the daemon");
    for chunk in chunks {
        // The daemon may have responded and closed the connection already.
        let _ = stream.write_all(chunk).await;
        tokio::time::sleep(pause).await;
    }
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    // On a connection that stays open, the response has been read before the timeout.
    let _ = tokio::time::timeout(Duration::from_secs(8), reading).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Asserts that a valid request succeeds and reaches the endpoint once.
async fn assert_still_serves(fleet: &Fleet, caller: &Caller) {
    let before = fleet.records().len();
    assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));
    assert_eq!(fleet.records().len(), before + 1);
}

#[rstest]
#[case::conflicting_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400")]
#[case::length_and_chunked(
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ""
)]
#[case::invalid_length("Content-Length: three\r\n\r\nabc", "400")]
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_lengths_never_reach_an_endpoint_as_two_requests(
    #[case] rest: &str,
    #[case] expected: &str,
) {
    let (fleet, caller) = start_archive().await;
    let head = format!(
        "POST /p HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nConnection: close\r\n{rest}",
        caller.key
    );

    let response = send_raw(&caller, &[head.as_bytes()], Duration::ZERO).await;

    assert!(response.contains(expected), "{response}");
    let records = fleet.records();
    assert!(records.len() <= 1, "{records:?}");
    for record in &records {
        let lengths = record
            .headers
            .get("content-length")
            .cloned()
            .unwrap_or_default();
        assert_eq!(lengths, record.body.len().to_string());
        assert!(!record.headers.contains_key("transfer-encoding"));
    }
    assert_still_serves(&fleet, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_and_bodies_are_refused() {
    let (fleet, caller) = start_archive().await;

    let body = caller
        .send("POST", "/p", &"x".repeat(1_100_000), None)
        .await;
    assert_eq!(body.code, Some(ResultCode::BodyTooLarge), "{body:?}");

    let head = format!(
        "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    let response = send_raw(&caller, &[head.as_bytes()], Duration::ZERO).await;
    assert!(response.contains("431"), "{response}");

    assert!(fleet.records().is_empty());
    assert_still_serves(&fleet, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_request_bodies_and_headers_time_out() {
    let (fleet, caller) = start_archive().await;
    let head = format!(
        "POST /p HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: 10\r\n\r\n",
        caller.key
    );

    let slow_body = send_raw(
        &caller,
        &[head.as_bytes(), b"a"],
        Duration::from_millis(900),
    )
    .await;
    let slow_head = send_raw(&caller, &[b"GET /a HT"], Duration::from_millis(2_500)).await;

    assert!(slow_body.contains("213 not-run"), "{slow_body}");
    assert!(!slow_head.contains("200 OK"), "{slow_head}");
    assert!(fleet.records().is_empty());
    assert_still_serves(&fleet, &caller).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_credentials_are_refused() {
    let (fleet, caller) = start_archive().await;
    let key = caller.key.clone();

    let with_header = Caller::new(caller.daemon, &key).with_header("x-api-key", &key);
    let responses = [
        with_header.get("/a").await,
        caller.get(&format!("/a?api_key={key}")).await,
        Caller::new(caller.daemon, &key)
            .with_header("authorization", "Bearer other")
            .get("/a")
            .await,
    ];

    for response in responses {
        assert_eq!(
            response.code,
            Some(ResultCode::KeyDuplicate),
            "{response:?}"
        );
    }
    assert!(fleet.records().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn hop_by_hop_headers_are_not_forwarded() {
    let (fleet, caller) = start_archive().await;
    let caller = Caller::new(caller.daemon, &caller.key)
        .with_header("connection", "keep-alive, x-secret")
        .with_header("x-secret", "for this hop")
        .with_header("te", "trailers")
        .with_header("x-kept", "for the endpoint");

    assert_eq!(caller.get("/a").await.code, Some(ResultCode::Done));

    let headers = &fleet.records()[0].headers;
    assert_eq!(
        headers.get("x-kept").map(String::as_str),
        Some("for the endpoint")
    );
    for name in ["x-secret", "te", "connection", "authorization"] {
        assert!(
            !headers.contains_key(name),
            "header {name} was forwarded: {headers:?}"
        );
    }
}

#[rstest]
#[case::no_route("GET", "/nowhere", ResultCode::NoRoute)]
#[case::wrong_method("POST", "/a", ResultCode::MethodNotAllowed)]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_matching_route_is_refused(
    #[case] method: &str,
    #[case] target: &str,
    #[case] code: ResultCode,
) {
    let (_fleet, caller) = start_archive().await;
    assert_eq!(caller.send(method, target, "", None).await.code, Some(code));
}

#[rstest]
#[case("soon")]
#[case("-1")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_deadline_is_refused(#[case] deadline: &str) {
    let (_fleet, caller) = start_archive().await;
    let caller = caller.with_header("x-deadline-ms", deadline);
    assert_eq!(caller.get("/a").await.code, Some(ResultCode::BadDeadline));
}
