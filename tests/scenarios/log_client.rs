//! Tests how the client of the log reads what another writer left there.

use std::time::Duration;

use marigoldhatch::upstream::LogClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A record that the daemons understand.
const RECORD: &str = r#"{"offset":8,"appended_ms":1,"record":{"withdrawal":{"at_ms":1,"author":"test",
 "change_id":"018f0000-0000-7000-8000-000000000000","key_hash":"h"}}}"#;

/// Serves one page with this record before [`RECORD`]; returns the URL of the log.
async fn serve_page(odd_record: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    let page = format!(
        r#"{{"first_offset":0,"next_offset":9,"retention_ms":1000,"records":[{odd_record},{RECORD}]}}"#
    );
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut request = [0; 4096];
        let read = stream.read(&mut request).await;
        assert!(read.expect("read the request") > 0);
        let length = page.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{page}");
        stream
            .write_all(response.as_bytes())
            .await
            .expect("write the page");
    });
    format!("http://{address}")
}

/// Guards against the fault of issue 23, by which one odd record of another writer made the whole page
/// unreadable, so that daemons followed the log no further.
#[rstest::rstest]
#[case::foreign(r#"{"from":"another program"}"#.to_owned())]
#[case::deeply_nested(format!(r#"{{"offset":7,"x":{}1{}}}"#, "[".repeat(10_000), "]".repeat(10_000)))]
#[case::number_too_large(r#"{"offset":7,"x":1e400}"#.to_owned())]
#[case::offset_too_large(r#"{"offset":1e30}"#.to_owned())]
#[tokio::test]
async fn odd_record_is_skipped_and_the_others_are_read(#[case] odd_record: String) {
    let url = serve_page(&odd_record).await;
    let log = LogClient::from_url(&url).expect("a valid URL");
    let page = log.read(0, Duration::ZERO).await.expect("a page");
    assert_eq!(page.next_offset, 9);
    let offsets: Vec<_> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [8]);
}
