//! Tests responses of endpoints whose status is none of a final response.

use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendOptions;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Guards against a response whose status is none of a final response and that is taken for the response of
/// the endpoint, another daemon or the log (MIXED).
#[rstest::rstest]
#[tokio::test]
async fn response_without_a_final_status_is_none(
    #[values("000", "099", "100", "101", "103", "600", "999", "20", "2000", "")] status: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    let response = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut request = [0; 4096];
        let read = stream.read(&mut request).await;
        assert!(read.expect("read the request") > 0);
        let written = stream.write_all(response.as_bytes()).await;
        written.expect("write the response");
    });
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(1),
        max_answer_bytes: 1024,
        new_connection: false,
    };
    let request = Request::new(Full::new(Bytes::new()));
    let pool = ConnectionPool::default();
    let sent = pool.send(address, request, options).await;
    let error = sent.expect_err("no response");
    assert_eq!(error.code().status().as_u16() / 100, 5, "{error}");
}
