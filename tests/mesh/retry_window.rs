//! One daemon's part of the platform's bound on retries.

use std::time::Duration;

use marigoldhatch::decisions::retries::RetryBound;
use marigoldhatch::decisions::retries::RetryWindow;

const RULE: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
};

#[test]
fn retries_of_all_daemons_stay_within_the_bound() {
    let daemons = 13;
    let mut budgets: Vec<RetryWindow> = (0..daemons).map(|_| RetryWindow::default()).collect();
    let mut retries = 0;
    let mut requests = 0;
    for step in 0..1000_u64 {
        let now = Duration::from_millis(step * 10);
        for budget in &mut budgets {
            budget.record_request(&RULE, now);
            requests += 1;
            retries += u32::from(budget.spend(&RULE, daemons, now));
        }
    }
    let bound = RULE.ratio * f64::from(requests) + RULE.slack;
    assert!(
        f64::from(retries) <= bound,
        "{retries} retries, {bound} allowed"
    );
    assert!(
        f64::from(retries) > 0.5 * bound,
        "{retries} retries use too little of the {bound} allowed"
    );
}

#[test]
fn calls_of_a_retried_run_exhaust_the_budget() {
    let mut budget = RetryWindow::default();
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        budget.record_request(&RULE, now);
        budget.record_retry(&RULE, now);
    }
    assert!(!budget.spend(&RULE, 13, now));
}

#[test]
fn budget_is_restored_when_the_window_has_passed() {
    let mut budget = RetryWindow::default();
    let start = Duration::from_secs(1);
    while budget.spend(&RULE, 13, start) {}
    assert!(!budget.spend(&RULE, 13, start + Duration::from_secs(8)));
    assert!(budget.spend(&RULE, 13, start + Duration::from_secs(11)));
}
