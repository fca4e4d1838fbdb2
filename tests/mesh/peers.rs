//! State of a peer when its link breaks and is opened again.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::outliers::FailureReport;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::mesh::executor::CallOutcome;
use marigoldhatch::mesh::executor::CallRequest;
use marigoldhatch::mesh::executor::COMPLETED_CALL_RETENTION;
use marigoldhatch::mesh::fleet::DaemonReport;
use marigoldhatch::mesh::fleet::EndpointReport;
use marigoldhatch::mesh::fleet::Peer;
use marigoldhatch::mesh::fleet::PeerReply;
use marigoldhatch::mesh::link::CallOrigin;
use marigoldhatch::mesh::link::HeaderCodec;
use marigoldhatch_standins::mesh::plain_header_names;
use tokio::task::LocalSet;

use super::calls::connect_link;

fn report() -> DaemonReport {
    DaemonReport {
        endpoint: Some(EndpointReport {
            service: "archive".to_owned(),
            slots: 4,
            cold: false,
            rated: false,
            failures: FailureReport::default(),
        }),
        ..DaemonReport::default()
    }
}

#[tokio::test]
async fn first_report_on_a_new_link_counts_as_a_change() {
    LocalSet::new()
        .run_until(async {
            let peer = Peer::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
            let clock = DeadlineClock::start();
            peer.attach(connect_link().await, 7, "domain", clock.now());
            assert!(peer.handle_report(report()), "the endpoint is new");
            assert!(!peer.handle_report(report()), "nothing has changed");
            peer.detach();
            assert!(peer.with_report(|_| ()).is_none());
            peer.attach(connect_link().await, 7, "domain", clock.now());
            assert!(
                peer.with_report(|_| ()).is_none(),
                "no report has arrived on the new link"
            );
            assert!(peer.handle_report(report()), "the endpoint is back");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn peer_is_silent_from_an_unanswered_ping_until_the_next_frame() {
    let peer = Peer::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert!(!peer.is_silent(), "nothing was asked");
    peer.record_ping();
    tokio::time::advance(Duration::from_millis(100)).await;
    assert!(!peer.is_silent());
    peer.record_ping();
    tokio::time::advance(Duration::from_millis(200)).await;
    assert!(peer.is_silent(), "the first ping has no reply");
    peer.record_received();
    assert!(!peer.is_silent());
}

/// Guards against a call that is asked for after its executor has forgotten its outcome: the executor
/// would say that it never ran (REFUSED), and the entry would send it elsewhere (TWICE).
#[tokio::test]
async fn call_from_before_a_long_suspension_ends_with_an_unknown_outcome() {
    LocalSet::new()
        .run_until(async {
            let peer = Peer::from_address(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
            let before = DeadlineClock::start().now();
            peer.attach(connect_link().await, 7, "domain", before);
            let request = CallRequest {
                method: Method::POST,
                target: Uri::from_static("/file/1"),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                service: Rc::from("archive"),
                idempotent: false,
                origin: CallOrigin {
                    class: ClassKey { rank: 1, route: 1 },
                    nested: false,
                    possible_duplicate: false,
                },
                caller_domain: 0,
                deadline: before + Duration::from_secs(6),
                queue_timeout: Duration::from_secs(1),
            };
            let codec = HeaderCodec::from_names(&plain_header_names());
            let reply = peer.submit(1, &request, before, &codec);
            let resumed = async {
                let link = connect_link().await;
                peer.detach();
                peer.attach(link, 7, "domain", before + COMPLETED_CALL_RETENTION);
            };
            let both = async { tokio::join!(reply, resumed).0 };
            let reply = tokio::time::timeout(Duration::from_secs(5), both).await;
            let reply = reply.expect("the call ends with the new link");
            let unknown = matches!(reply, PeerReply::Outcome(CallOutcome::Unknown));
            assert!(unknown, "{reply:?}");
        })
        .await;
}
