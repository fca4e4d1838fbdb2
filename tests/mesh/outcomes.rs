//! What the outcome of a call says of the endpoint that ran it.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::outliers::EndpointOutcome;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::mesh::executor::judge_outcome;
use marigoldhatch::mesh::executor::CallOutcome;
use marigoldhatch::mesh::executor::EndpointResponse;
use marigoldhatch::mesh::executor::NestedCall;
use marigoldhatch::mesh::executor::ParentGuard;
use marigoldhatch::mesh::executor::ParentTable;
use marigoldhatch::mesh::executor::TreeUsage;
use marigoldhatch::mesh::link::CallOrigin;
use marigoldhatch::mesh::link::RefusalCause;

fn response(status: u16) -> CallOutcome {
    CallOutcome::Completed(EndpointResponse {
        status: StatusCode::from_u16(status).expect("a status"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        usage: TreeUsage::new(),
    })
}

#[test]
fn outcomes_are_judged_by_what_the_endpoint_did() {
    let good = Some(EndpointOutcome::Good);
    let failed = Some(EndpointOutcome::Failed);
    let unanswered = Some(EndpointOutcome::Unanswered);
    let shed = CallOutcome::Refused(RefusalCause::EndpointShed);
    assert_eq!(judge_outcome(&response(200), true, false), good);
    assert_eq!(judge_outcome(&response(404), true, false), good);
    assert_eq!(judge_outcome(&response(500), true, false), failed);
    assert_eq!(judge_outcome(&CallOutcome::Unknown, true, false), failed);
    assert_eq!(judge_outcome(&shed, true, false), failed);
    // At the deadline, the caller may have left too little time.
    assert_eq!(judge_outcome(&response(504), true, false), unanswered);
    assert_eq!(
        judge_outcome(&CallOutcome::Unknown, false, false),
        unanswered
    );
    assert_eq!(judge_outcome(&shed, false, false), unanswered);
    // An endpoint that names a limit refuses what goes beyond it.
    assert_eq!(judge_outcome(&shed, true, true), None);
    let queue_full = CallOutcome::Refused(RefusalCause::QueueFull);
    assert_eq!(judge_outcome(&queue_full, true, false), None);
}

#[test]
fn failure_of_a_call_below_is_not_that_of_the_endpoint() {
    let deadline = DeadlineClock::start().now() + Duration::from_secs(1);
    let origin = CallOrigin {
        class: ClassKey { rank: 1, route: 1 },
        nested: false,
        possible_duplicate: false,
    };
    let parents = RefCell::new(ParentTable::default());
    let failed_below = Cell::new(false);
    let run = |id: &str, calls: &dyn Fn(u64)| {
        failed_below.set(false);
        let guard = ParentGuard::from_request(&parents, deadline, id, origin, &failed_below);
        let call_id = format!("{id}.1");
        let found = parents.borrow().find(deadline, &call_id);
        calls(found.expect("a parent").0);
        guard.close();
        failed_below.get()
    };
    assert!(!run("alone", &|_| ()));
    assert!(!run("served", &|parent| {
        NestedCall::begin(&parents, parent).close(true);
    }));
    assert!(run("failed", &|parent| {
        NestedCall::begin(&parents, parent).close(false);
        NestedCall::begin(&parents, parent).close(true);
    }));
    assert!(run("dropped", &|parent| drop(NestedCall::begin(
        &parents, parent
    ))));
    // The endpoint ends while a call of it is still open.
    assert!(run("open", &|parent| std::mem::forget(NestedCall::begin(
        &parents, parent
    ))));
}
