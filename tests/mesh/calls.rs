//! What an executor says of calls whose link broke.

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Bytes;
use marigoldhatch::mesh::executor::CallState;
use marigoldhatch::mesh::executor::CallTable;
use marigoldhatch::mesh::link::open_link;
use marigoldhatch::mesh::link::LinkSender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::Instant;

const ID: (u64, u64) = (9, 1);

pub async fn link() -> LinkSender {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    open_link(stream).1
}

fn running(forwarded: bool, idempotent: bool, link: &LinkSender) -> CallState {
    CallState::Running {
        forwarded: Rc::new(Cell::new(forwarded)),
        idempotent,
        task: Some(tokio::task::spawn_local(std::future::pending::<()>()).abort_handle()),
        reply_to: link.clone(),
    }
}

#[tokio::test]
async fn a_call_that_never_came_is_barred_for_good() {
    LocalSet::new()
        .run_until(async {
            let link = link().await;
            let mut table = CallTable::default();
            let state = table.resume(ID, &link, Instant::now());
            assert!(matches!(state, CallState::Rejected));
            assert!(
                !table.insert(ID, running(false, false, &link)),
                "it may not run later"
            );
        })
        .await;
}

#[tokio::test]
async fn a_call_at_its_endpoint_outlives_its_link_and_its_answer_is_kept() {
    LocalSet::new()
        .run_until(async {
            let (old, new) = (link().await, link().await);
            let mut table = CallTable::default();
            let now = Instant::now();
            assert!(table.insert(ID, running(true, false, &old)));
            table.close_link(ID.0, &old, now);
            let state = table.resume(ID, &new, now);
            assert!(matches!(state, CallState::Running { .. }));
            let answer = Bytes::from_static(b"answer");
            let reply_to = table
                .complete(ID, answer.clone(), now)
                .expect("a link that waits");
            assert!(reply_to.same_link(&new));
            let state = table.resume(ID, &new, now);
            assert!(matches!(state, CallState::Completed(kept) if *kept == answer));
        })
        .await;
}

#[tokio::test]
async fn a_call_that_waits_ends_with_its_link() {
    LocalSet::new()
        .run_until(async {
            let link = link().await;
            let mut table = CallTable::default();
            let now = Instant::now();
            assert!(table.insert(ID, running(false, false, &link)));
            table.close_link(ID.0, &link, now);
            assert!(matches!(table.resume(ID, &link, now), CallState::Rejected));
        })
        .await;
}
