//! Queue of calls that wait for a slot of an endpoint.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use marigoldhatch::mesh::executor::SlotQueue;
use tokio::task::spawn_local;
use tokio::task::LocalSet;
use tokio::time::sleep;

const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn calls_are_served_by_rank_and_then_in_order_of_arrival() {
    LocalSet::new()
        .run_until(async {
            let queue = SlotQueue::new();
            queue.set_limit(1);
            let held = queue.acquire(0, QUEUE_TIMEOUT).await;
            let order = Rc::new(RefCell::new(Vec::new()));
            for (name, rank) in [("late", 18), ("later", 18), ("urgent", 16)] {
                let (queue, order) = (queue.clone(), order.clone());
                spawn_local(async move {
                    let permit = queue.acquire(rank, QUEUE_TIMEOUT).await;
                    order.borrow_mut().push(name);
                    sleep(Duration::from_millis(5)).await;
                    drop(permit);
                });
            }
            sleep(Duration::from_millis(1)).await;
            assert_eq!(queue.in_hand(), 4);
            drop(held);
            sleep(Duration::from_millis(50)).await;
            assert_eq!(*order.borrow(), ["urgent", "late", "later"]);
            assert_eq!(queue.in_hand(), 0);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn timed_out_call_leaves_the_queue() {
    let queue = SlotQueue::new();
    queue.set_limit(1);
    let held = queue.acquire(0, QUEUE_TIMEOUT).await;
    assert!(queue.acquire(0, Duration::from_millis(20)).await.is_none());
    assert_eq!(queue.in_hand(), 1);
    drop(held);
    assert!(queue.acquire(0, QUEUE_TIMEOUT).await.is_some());
    assert_eq!(queue.running(), 0);
}

#[tokio::test(start_paused = true)]
async fn call_with_too_long_an_expected_wait_is_refused_at_once() {
    let queue = SlotQueue::new();
    queue.set_limit(1);
    for _ in 0..100 {
        queue.record_run_time(Duration::from_secs(2));
    }
    let held = queue.acquire(0, QUEUE_TIMEOUT).await;
    let waiting = queue.acquire(0, QUEUE_TIMEOUT);
    let first = tokio::time::timeout(Duration::from_millis(5), waiting);
    let second = async {
        let started = tokio::time::Instant::now();
        let refused = queue.acquire(1, QUEUE_TIMEOUT).await.is_none();
        (refused, started.elapsed())
    };
    let (_, (refused, elapsed)) = tokio::join!(first, second);
    assert!(refused && elapsed < Duration::from_millis(1));
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn waiting_calls_are_rejected_when_the_endpoint_drains() {
    let queue = SlotQueue::new();
    queue.set_limit(1);
    let held = queue.acquire(0, QUEUE_TIMEOUT).await;
    let waiting = queue.acquire(0, QUEUE_TIMEOUT);
    let rejection = async {
        sleep(Duration::from_millis(1)).await;
        queue.reject_waiting();
    };
    let (permit, ()) = tokio::join!(waiting, rejection);
    assert!(permit.is_none());
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn calls_wait_for_the_endpoint_s_rate_by_rank() {
    LocalSet::new()
        .run_until(async {
            let queue = SlotQueue::new();
            queue.set_limit(8);
            assert!(queue.set_rate(Some(10.0)));
            let order = Rc::new(RefCell::new(Vec::new()));
            for (name, rank) in [("late", 18), ("later", 18), ("urgent", 16)] {
                let (queue, order) = (queue.clone(), order.clone());
                spawn_local(async move {
                    let permit = queue.acquire(rank, QUEUE_TIMEOUT).await;
                    assert!(permit.is_some(), "{name} was refused");
                    order.borrow_mut().push(name);
                });
            }
            sleep(Duration::from_millis(50)).await;
            assert!(order.borrow().is_empty(), "no token yet");
            sleep(Duration::from_millis(100)).await;
            assert_eq!(*order.borrow(), ["urgent"]);
            sleep(Duration::from_millis(200)).await;
            assert_eq!(*order.borrow(), ["urgent", "late", "later"]);
            assert_eq!(queue.in_hand(), 0);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn call_is_refused_at_once_if_the_rate_allows_it_too_late() {
    LocalSet::new()
        .run_until(async {
            let queue = SlotQueue::new();
            queue.set_limit(8);
            queue.set_rate(Some(0.5));
            let started = tokio::time::Instant::now();
            assert!(queue.acquire(0, QUEUE_TIMEOUT).await.is_none());
            assert_eq!(started.elapsed(), Duration::ZERO);
            assert!(queue.set_rate(None));
            assert!(queue.acquire(0, QUEUE_TIMEOUT).await.is_some());
        })
        .await;
}

#[tokio::test]
async fn other_daemons_see_a_limit_as_the_slots_that_it_keeps_busy() {
    let queue = SlotQueue::new();
    for _ in 0..200 {
        queue.record_run_time(Duration::from_millis(250));
    }
    assert_eq!(queue.paced_slots(185), 185);
    queue.set_rate(Some(40.0));
    assert_eq!(queue.paced_slots(185), 10);
    queue.set_rate(Some(42.0));
    assert_eq!(queue.paced_slots(185), 10, "a small change is not reported");
    queue.set_rate(Some(80.0));
    assert_eq!(queue.paced_slots(185), 20);
    assert_eq!(queue.paced_slots(12), 12);
    queue.set_rate(None);
    assert_eq!(queue.paced_slots(185), 185);
}
