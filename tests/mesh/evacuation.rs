//! Evacuation of a failure domain at one daemon: its endpoint, its view of the others and its reports.
//!
//! Pattern: an operator empties a failure domain under load and takes it back, while calls run and wait
//! at its endpoints and the load of the domain moves to the others at once.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::codes::ResultCode;
use marigoldhatch::decisions::announcement::EndpointAnnouncement;
use marigoldhatch::decisions::announcement::EndpointState;
use marigoldhatch::decisions::demand::ClassRate;
use marigoldhatch::decisions::demand::DemandReport;
use marigoldhatch::decisions::demand::ServiceLoad;
use marigoldhatch::decisions::evacuation::EvacuationSet;
use marigoldhatch::decisions::outliers::FailureReport;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::decisions::root_admission::ServiceUsage;
use marigoldhatch::mesh::entry::EntryAdmission;
use marigoldhatch::mesh::executor::CallOutcome;
use marigoldhatch::mesh::executor::CallRequest;
use marigoldhatch::mesh::fleet::hash_name;
use marigoldhatch::mesh::fleet::DaemonReport;
use marigoldhatch::mesh::fleet::EndpointReport;
use marigoldhatch::mesh::link::decode_frame;
use marigoldhatch::mesh::link::encode_frame;
use marigoldhatch::mesh::link::CallOrigin;
use marigoldhatch::mesh::link::LinkFrame;
use marigoldhatch::mesh::link::RefusalCause;
use marigoldhatch::mesh::MeshState;
use smallvec::smallvec;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use super::calls::connect_link;
use super::proof::new_state;

const OTHER_DOMAIN: &str = "another";
/// Later than the start of any daemon, so that the endpoint needs no status check.
const BORN_MS: u64 = 9_000_000_000_000;
const TIMEOUT: Duration = Duration::from_secs(5);

fn evacuated(position: u64, domains: &[&str]) -> EvacuationSet {
    EvacuationSet::from_newest(position, domains.iter().map(|domain| hash_name(domain)))
}

fn own_domain(state: &MeshState) -> String {
    state.settings().failure_domain.clone()
}

fn announce(state: &MeshState, address: SocketAddrV4, slots: u32) {
    state.handle_announcement(EndpointAnnouncement {
        id: "archive-1".to_owned(),
        service: "archive".to_owned(),
        address,
        slots,
        state: EndpointState::Ready,
        sequence: 1,
        born_ms: BORN_MS,
        cold: Duration::ZERO,
    });
}

fn call(state: &MeshState) -> CallRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-attempt", HeaderValue::from_static("a"));
    CallRequest {
        caller_domain: 0,
        method: Method::POST,
        target: Uri::from_static("/file/1"),
        headers,
        body: Bytes::new(),
        service: Rc::from("archive"),
        idempotent: false,
        origin: CallOrigin {
            class: ClassKey { rank: 1, route: 1 },
            nested: false,
            possible_duplicate: false,
        },
        deadline: state.clock.now() + TIMEOUT,
        queue_timeout: TIMEOUT,
    }
}

fn is_refused(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Refused(RefusalCause::Evacuated))
}

/// Starts an endpoint that answers each request once `released` is notified.
async fn start_endpoint(released: Rc<Notify>) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let SocketAddr::V4(address) = listener.local_addr().expect("local address") else {
        panic!("the listener has an IPv4 address");
    };
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let released = released.clone();
            tokio::task::spawn_local(async move {
                let mut buffer = [0; 4096];
                while let Ok(1..) = stream.read(&mut buffer).await {
                    released.notified().await;
                    let response =
                        b"HTTP/1.1 200 OK\r\nx-attempt: a\r\nx-seal: s\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(response).await.expect("respond");
                }
            });
        }
    });
    address
}

/// Adds a linked daemon in another failure domain, beside an endpoint of the archive.
async fn add_executor(state: &Rc<MeshState>) {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    state.add_peer(address);
    let peer = state.peers().remove(0);
    let now = DeadlineClock::start().now();
    peer.attach(connect_link().await, 7, OTHER_DOMAIN, now);
    peer.handle_report(DaemonReport {
        endpoint: Some(EndpointReport {
            service: "archive".to_owned(),
            slots: 4,
            rated: false,
            failures: FailureReport::default(),
            cold: false,
        }),
        ..DaemonReport::default()
    });
    state.rebuild_service_index();
}

fn executors(state: &MeshState) -> usize {
    state.with_executors("archive", <[_]>::len)
}

#[tokio::test]
async fn calls_that_wait_are_refused_and_running_ones_end() {
    LocalSet::new()
        .run_until(async {
            let state = new_state();
            let released = Rc::new(Notify::new());
            announce(&state, start_endpoint(released.clone()).await, 1);
            let running = state.executor.limit();
            let calls: Vec<CallRequest> = (0..=running).map(|_| call(&state)).collect();
            let forwarded: Vec<Cell<bool>> = (0..=running).map(|_| Cell::new(false)).collect();
            let runs = calls.iter().zip(&forwarded);
            let runs = runs.map(|(call, forwarded)| state.executor.run(call, forwarded));
            let mut runs: Vec<_> = runs.map(Box::pin).collect();
            let waiting = runs.pop().expect("a call without a slot");
            let first = runs.pop().expect("a call with a slot");
            let operator = async {
                while state.executor.in_hand() <= running || !forwarded[0].get() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let set = evacuated(1, &[&own_domain(&state)]);
                state.apply_evacuations(&set, "test");
                released.notify_one();
            };
            let (first, waiting, ()) = tokio::join!(first, waiting, operator);
            assert!(is_refused(&waiting), "{waiting:?}");
            assert!(!forwarded[1].get(), "a refused call has not run");
            assert!(matches!(first, CallOutcome::Completed(_)), "{first:?}");
            let late = state.executor.run(&call(&state), &forwarded[1]).await;
            assert!(is_refused(&late) && !forwarded[1].get(), "{late:?}");
            assert_eq!(state.executor.evacuation_refusals(), 2);
        })
        .await;
}

/// Guards against capacity that admission still plans with, until queues have shown that it is gone.
#[tokio::test]
async fn slots_are_left_out_of_reports_and_demand_at_once() {
    let state = new_state();
    announce(&state, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9), 8);
    assert_eq!(state.demand_report().services.len(), 1);
    state.apply_evacuations(&evacuated(5, &[&own_domain(&state)]), "test");
    assert!(state.report().endpoint.is_none());
    assert!(state.demand_report().services.is_empty());
    state.apply_evacuations(&evacuated(6, &[]), "test");
    assert!(state.report().endpoint.is_some());
    assert_eq!(state.demand_report().services.len(), 1);
}

#[tokio::test]
async fn endpoint_that_is_announced_during_an_evacuation_gets_nothing() {
    let state = new_state();
    state.apply_evacuations(&evacuated(5, &[&own_domain(&state)]), "test");
    announce(&state, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9), 8);
    assert!(state.endpoint_report().is_none());
    let forwarded = Cell::new(false);
    let outcome = state.executor.run(&call(&state), &forwarded).await;
    assert!(is_refused(&outcome) && !forwarded.get(), "{outcome:?}");
}

/// Pattern: the daemons of the evacuated domain can't be reached and still report their endpoints.
#[tokio::test]
async fn executors_of_an_evacuated_domain_are_left_out_before_they_report_it() {
    LocalSet::new()
        .run_until(async {
            let state = new_state();
            add_executor(&state).await;
            assert_eq!(executors(&state), 1);
            assert_eq!(state.missing_executor_code(), ResultCode::NoEndpoint);
            state.apply_evacuations(&evacuated(5, &[OTHER_DOMAIN]), "test");
            assert_eq!(executors(&state), 0);
            assert_eq!(state.missing_executor_code(), ResultCode::Evacuated);
            state.rebuild_service_index();
            assert_eq!(executors(&state), 0, "a later change of a peer");
            state.apply_evacuations(&evacuated(4, &[]), "test");
            assert_eq!(executors(&state), 0, "a late report of a peer");
            let changed = state.executors_changed.notified();
            state.apply_evacuations(&evacuated(9, &["elsewhere"]), "test");
            let woken = tokio::time::timeout(TIMEOUT, changed).await;
            assert!(woken.is_ok(), "requests wait for an executor");
            assert_eq!(executors(&state), 1);
        })
        .await;
}

#[tokio::test]
async fn reports_and_replies_to_pings_carry_the_set() {
    let state = new_state();
    let set = evacuated(700, &["first", "second", "third"]);
    state.apply_evacuations(&set, "test");
    let status = LinkFrame::Pong {
        sequence: 3,
        status: state.status(),
    };
    for frame in [status, LinkFrame::Report(state.report())] {
        let encoded = encode_frame(&frame, &[]).expect("encode");
        let (decoded, _) = decode_frame(&encoded.bytes).expect("decode");
        let received = match decoded {
            LinkFrame::Pong { status, .. } => status.evacuations,
            LinkFrame::Report(report) => report.evacuations,
            other => panic!("unexpected frame {other:?}"),
        };
        assert_eq!(received, set);
    }
}

#[tokio::test]
async fn metrics_show_an_evacuation() {
    let state = new_state();
    state.apply_evacuations(&evacuated(42, &[&own_domain(&state), "other"]), "test");
    let text = state.render_metrics();
    for sample in [
        "endpoint_evacuated 1",
        "evacuated_domains 2",
        "evacuation_position 42",
        "evacuation_refusals_total 0",
    ] {
        assert!(
            text.contains(&format!("marigoldhatch_{sample}\n")),
            "{text}"
        );
    }
}

/// Demand of a route whose requests use a service, with the slots of that service if it has any.
fn demand_of_tree(slots: Option<u32>) -> DemandReport {
    let service = hash_name("prices");
    let usage = ServiceUsage {
        service,
        slot_us: 15_000,
    };
    let load = slots.map(|slots| ServiceLoad {
        name_hash: service,
        slots,
        in_hand: 0,
    });
    DemandReport {
        classes: vec![ClassRate {
            class: TREE_CLASS,
            requests_per_100s: 10_000,
            costs: smallvec![usage],
        }],
        services: load.into_iter().collect(),
        ..DemandReport::default()
    }
}

const TREE_CLASS: ClassKey = ClassKey { rank: 1, route: 7 };

#[test]
fn trees_that_need_a_service_without_slots_are_refused_during_an_evacuation_only() {
    let own = DemandReport::default();
    let mut admission = EntryAdmission::default();
    assert!(admission.admit_class(TREE_CLASS));
    let share = |admission: &mut EntryAdmission, slots, is_current| {
        admission.update_class_shares(Some(&demand_of_tree(slots)), &own, is_current);
        admission.class_share(TREE_CLASS)
    };
    assert_eq!(share(&mut admission, Some(50), true), 1.0);
    assert_eq!(share(&mut admission, None, true), 1.0, "not reported yet");
    admission.set_evacuating(true);
    assert_eq!(share(&mut admission, None, false), 1.0, "an old sum");
    assert_eq!(share(&mut admission, None, true), 0.0);
    assert_eq!(
        share(&mut admission, Some(50), true),
        1.0,
        "slots elsewhere"
    );
}
