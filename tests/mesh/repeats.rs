//! The part of one daemon in the bound on repeats.

use std::time::Duration;

use marigoldhatch::decisions::retries::RepeatBudget;
use marigoldhatch::decisions::retries::RepeatRule;

const RULE: RepeatRule = RepeatRule {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
};

#[test]
fn many_daemons_together_stay_within_the_bound() {
    let daemons = 13;
    let mut budgets: Vec<RepeatBudget> = (0..daemons).map(|_| RepeatBudget::default()).collect();
    let mut repeats = 0;
    let mut requests = 0;
    for step in 0..1000_u64 {
        let now = Duration::from_millis(step * 10);
        for budget in &mut budgets {
            budget.first(&RULE, now);
            requests += 1;
            repeats += u32::from(budget.spend(&RULE, daemons, now));
        }
    }
    let bound = RULE.ratio * f64::from(requests) + RULE.slack;
    assert!(
        f64::from(repeats) <= bound,
        "{repeats} repeats, {bound} allowed"
    );
    assert!(
        f64::from(repeats) > 0.5 * bound,
        "most of the budget is of use"
    );
}

#[test]
fn calls_of_a_repeated_run_use_the_budget_up() {
    let mut budget = RepeatBudget::default();
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        budget.first(&RULE, now);
        budget.charge(&RULE, now);
    }
    assert!(!budget.spend(&RULE, 13, now));
}

#[test]
fn the_window_slides() {
    let mut budget = RepeatBudget::default();
    let start = Duration::from_secs(1);
    while budget.spend(&RULE, 13, start) {}
    assert!(!budget.spend(&RULE, 13, start + Duration::from_secs(8)));
    assert!(budget.spend(&RULE, 13, start + Duration::from_secs(11)));
}
