//! Size of the state that a daemon keeps and moves for each call.
//!
//! Pattern: many short calls. A future that is passed by value into several timeouts doubles with each of
//! them, and every call allocates and moves it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use marigoldhatch::clock::DeadlineClock;
use marigoldhatch::decisions::root_admission::ClassKey;
use marigoldhatch::mesh::executor::CallRequest;
use marigoldhatch::mesh::executor::EndpointExecutor;
use marigoldhatch::mesh::link::CallOrigin;
use marigoldhatch::mesh::BodyBudget;
use marigoldhatch_standins::mesh::plain_header_names;

/// Maximum size of the future of one call at its executor, in bytes: half a page.
const MAX_CALL_FUTURE_BYTES: usize = 2048;

#[test]
fn future_of_a_call_at_its_executor_is_small() {
    let clock = Rc::new(DeadlineClock::start());
    let executor = EndpointExecutor::new(
        plain_header_names(),
        Duration::from_secs(1),
        BodyBudget::from_limit(1024),
        clock.clone(),
    );
    let request = CallRequest {
        caller_domain: 0,
        method: Method::GET,
        target: Uri::from_static("/file/1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        service: Rc::from("archive"),
        idempotent: true,
        origin: CallOrigin {
            class: ClassKey { rank: 1, route: 1 },
            nested: false,
            possible_duplicate: false,
        },
        deadline: clock.now() + Duration::from_secs(6),
        queue_timeout: Duration::from_secs(1),
    };
    let forwarded = Cell::new(false);
    let call = executor.run(&request, &forwarded);
    let bytes = std::mem::size_of_val(&call);
    assert!(bytes <= MAX_CALL_FUTURE_BYTES, "{bytes} bytes");
}
