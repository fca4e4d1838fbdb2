//! Call table of an executor after a link breaks.

use std::cell::Cell;
use std::rc::Rc;

use marigoldhatch::mesh::executor::CallState;
use marigoldhatch::mesh::executor::CallTable;
use marigoldhatch::mesh::executor::COMPLETED_CALL_RETENTION;
use marigoldhatch::mesh::link::encode_frame;
use marigoldhatch::mesh::link::open_link;
use marigoldhatch::mesh::link::LinkFrame;
use marigoldhatch::mesh::link::LinkSender;
use marigoldhatch::mesh::link::LinkTraffic;
use marigoldhatch::mesh::BodyBudget;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::Instant;

const ID: (u64, u64) = (9, 1);
const MAX_OUTCOME_BYTES: usize = 64 * 1024;

pub async fn connect_link() -> LinkSender {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a listener");
    let address = listener.local_addr().expect("listener address");
    let stream = TcpStream::connect(address)
        .await
        .expect("connect to the listener");
    let budget = BodyBudget::from_limit(1024 * 1024);
    open_link(stream, &Rc::new(LinkTraffic::default()), &budget).1
}

fn running_call(forwarded: bool, idempotent: bool, link: &LinkSender) -> CallState {
    CallState::Running {
        forwarded: Rc::new(Cell::new(forwarded)),
        idempotent,
        task: Some(tokio::task::spawn_local(std::future::pending::<()>()).abort_handle()),
        reply_to: link.clone(),
    }
}

#[tokio::test]
async fn resumed_call_that_never_arrived_is_rejected_for_good() {
    LocalSet::new()
        .run_until(async {
            let link = connect_link().await;
            let mut table = CallTable::from_limit(MAX_OUTCOME_BYTES);
            let state = table.resume(ID, &link, Instant::now());
            assert!(matches!(state, CallState::Rejected));
            assert!(
                !table.insert(ID, running_call(false, false, &link)),
                "a rejected call must not run later"
            );
        })
        .await;
}

#[tokio::test]
async fn forwarded_call_survives_its_link_and_its_outcome_is_retained() {
    LocalSet::new()
        .run_until(async {
            let (old_link, new_link) = (connect_link().await, connect_link().await);
            let mut table = CallTable::from_limit(MAX_OUTCOME_BYTES);
            let now = Instant::now();
            assert!(table.insert(ID, running_call(true, false, &old_link)));
            table.close_link(ID.0, &old_link, now);
            let state = table.resume(ID, &new_link, now);
            assert!(matches!(state, CallState::Running { .. }));
            let frame = LinkFrame::Unknown {
                call: ID.1,
                in_hand: 0,
            };
            let outcome = encode_frame(&frame, &[]).expect("encode the outcome");
            let reply_to = table
                .complete(ID, outcome.clone(), now)
                .expect("link that waits for the outcome");
            assert!(reply_to.same_link(&new_link));
            let state = table.resume(ID, &new_link, now);
            assert!(
                matches!(state, CallState::Completed(retained) if retained.bytes == outcome.bytes)
            );
        })
        .await;
}

#[tokio::test]
async fn call_that_was_not_forwarded_is_rejected_when_its_link_closes() {
    LocalSet::new()
        .run_until(async {
            let link = connect_link().await;
            let mut table = CallTable::from_limit(MAX_OUTCOME_BYTES);
            let now = Instant::now();
            assert!(table.insert(ID, running_call(false, false, &link)));
            table.close_link(ID.0, &link, now);
            assert!(matches!(table.resume(ID, &link, now), CallState::Rejected));
        })
        .await;
}

/// Guards against a call with a large body that runs although its caller has left: its cancellation is sent
/// between its segments and arrives first (GONE, found with review/9).
#[tokio::test]
async fn call_whose_cancellation_arrives_first_is_not_run() {
    LocalSet::new()
        .run_until(async {
            let link = connect_link().await;
            let mut table = CallTable::from_limit(MAX_OUTCOME_BYTES);
            let now = Instant::now();
            table.cancel(ID, now);
            assert!(!table.insert(ID, running_call(false, true, &link)));
            let (next, later) = ((ID.0, 2), now + COMPLETED_CALL_RETENTION);
            table.cancel(next, later);
            assert!(
                table.insert(ID, running_call(false, true, &link)),
                "a cancellation is kept no longer than an outcome"
            );
        })
        .await;
}

/// Guards against the fault of review/2, by which the retained outcomes of a burst filled the memory of the
/// daemon, which the platform then killed (Fault).
#[tokio::test]
async fn retained_outcomes_take_bounded_memory() {
    LocalSet::new()
        .run_until(async {
            let link = connect_link().await;
            let mut table = CallTable::from_limit(MAX_OUTCOME_BYTES);
            let now = Instant::now();
            for call in 0..100 {
                let id = (9, call);
                assert!(table.insert(id, running_call(true, false, &link)));
                let frame = LinkFrame::Unknown { call, in_hand: 0 };
                let outcome = encode_frame(&frame, &[0; 16 * 1000]).expect("encode");
                assert!(table.complete(id, outcome, now).is_some());
                assert!(table.outcome_bytes() <= MAX_OUTCOME_BYTES);
            }
            let newest = table.resume((9, 99), &link, now);
            assert!(matches!(newest, CallState::Completed(_)));
            let oldest = table.resume((9, 0), &link, now);
            assert!(matches!(oldest, CallState::Forgotten), "{oldest:?}");
            assert!(
                !table.insert((9, 0), running_call(false, false, &link)),
                "a forgotten call must not run again"
            );
            let later = now + COMPLETED_CALL_RETENTION;
            assert!(table.insert((9, 200), running_call(true, false, &link)));
            let frame = LinkFrame::Unknown {
                call: 200,
                in_hand: 0,
            };
            let outcome = encode_frame(&frame, &[]).expect("encode");
            let bytes = outcome.bytes.len();
            assert!(table.complete((9, 200), outcome, later).is_some());
            assert_eq!(table.outcome_bytes(), bytes, "older outcomes are gone");
        })
        .await;
}
