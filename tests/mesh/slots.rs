//! Queue of calls that wait for a slot of an endpoint.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use marigoldhatch::decisions::pacing::RateSource;
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
            assert!(queue.set_rate(RateSource::Endpoint, Some(10.0)));
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
            queue.set_rate(RateSource::Endpoint, Some(0.5));
            let started = tokio::time::Instant::now();
            assert!(queue.acquire(0, QUEUE_TIMEOUT).await.is_none());
            assert_eq!(started.elapsed(), Duration::ZERO);
            assert!(queue.set_rate(RateSource::Endpoint, None));
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
    queue.set_rate(RateSource::Endpoint, Some(40.0));
    assert_eq!(queue.paced_slots(185), 10);
    queue.set_rate(RateSource::Endpoint, Some(42.0));
    assert_eq!(queue.paced_slots(185), 10, "a small change is not reported");
    queue.set_rate(RateSource::Endpoint, Some(80.0));
    assert_eq!(queue.paced_slots(185), 20);
    assert_eq!(queue.paced_slots(12), 12);
    queue.set_rate(RateSource::Endpoint, None);
    assert_eq!(queue.paced_slots(185), 185);
}

/// A cold endpoint that also names a limit gets the lower rate, and the other one again afterwards.
#[tokio::test(start_paused = true)]
async fn lower_one_of_two_rates_is_in_force() {
    LocalSet::new()
        .run_until(async {
            let queue = SlotQueue::new();
            queue.set_limit(100);
            queue.set_rate(RateSource::Endpoint, Some(40.0));
            assert!(queue.set_rate(RateSource::Cold, Some(20.0)));
            assert_eq!(queue.rate(), Some(20.0));
            assert_eq!(queue.source_rate(RateSource::Endpoint), Some(40.0));
            let granted = Rc::new(RefCell::new(0));
            for _ in 0..60 {
                let (queue, granted) = (queue.clone(), granted.clone());
                spawn_local(async move {
                    let permit = queue.acquire(0, Duration::from_secs(9)).await;
                    *granted.borrow_mut() += u32::from(permit.is_some());
                });
            }
            sleep(Duration::from_millis(1010)).await;
            assert!((19..=21).contains(&*granted.borrow()));
            assert!(queue.set_rate(RateSource::Cold, None));
            assert_eq!(queue.rate(), Some(40.0));
            sleep(Duration::from_millis(500)).await;
            assert!((39..=43).contains(&*granted.borrow()));
        })
        .await;
}

/// A flood of many entries on a cold endpoint is refused at once beyond what it takes in their queue
/// timeout, so that the calls go elsewhere in time.
#[tokio::test(start_paused = true)]
async fn flood_on_a_cold_endpoint_is_refused_without_a_wait() {
    LocalSet::new()
        .run_until(async {
            let queue = SlotQueue::new();
            queue.set_limit(100);
            queue.set_rate(RateSource::Cold, Some(17.0));
            let refused = Rc::new(RefCell::new(0));
            for _ in 0..100 {
                let (queue, refused) = (queue.clone(), refused.clone());
                spawn_local(async move {
                    let permit = queue.acquire(0, Duration::from_millis(300)).await;
                    *refused.borrow_mut() += u32::from(permit.is_none());
                });
            }
            sleep(Duration::from_millis(1)).await;
            assert_eq!(queue.in_hand(), 5);
            assert_eq!(*refused.borrow(), 95);
            sleep(Duration::from_millis(300)).await;
            assert_eq!(*refused.borrow(), 95, "those that wait are served");
        })
        .await;
}
