//! Tests that the retries of a call tree stay within the allowance of its root request.

use marigoldhatch::decisions::retries::RetryAllowance;
use marigoldhatch::decisions::retries::RetryBudget;
use proptest::prelude::*;

/// Runs a call tree in which every lost response causes a retry; returns the number of retries.
fn call_tree(allowance: &mut RetryAllowance, depth: u32, width: u32, lots: &mut Vec<bool>) -> u32 {
    if depth == 0 {
        return 0;
    }
    let mut retries = 0;
    for _ in 0..width {
        loop {
            let moved = allowance.split();
            let mut below = RetryAllowance::from_count(moved);
            retries += call_tree(&mut below, depth - 1, width, lots);
            let answer_lost = lots.pop().unwrap_or(false);
            if !answer_lost {
                allowance.refund(below.left(), moved);
                break;
            }
            if !allowance.spend() {
                break;
            }
            retries += 1;
        }
    }
    retries
}

proptest! {
    #[test]
    fn call_tree_stays_within_the_allowance_of_its_root(
        allowance in 0_u32..12, depth in 1_u32..6, width in 1_u32..3,
        lots in prop::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut root = RetryAllowance::from_count(allowance);
        let mut lots = lots;
        let retries = call_tree(&mut root, depth, width, &mut lots);
        prop_assert!(
            retries + root.left() <= allowance,
            "{} retries spent, {} left",
            retries,
            root.left()
        );
    }

    #[test]
    fn refund_is_limited_to_the_retries_sent_with_the_call(
        allowance in 0_u32..100, claimed in any::<u32>(),
    ) {
        let mut root = RetryAllowance::from_count(allowance);
        let moved = root.split();
        root.refund(claimed, moved);
        prop_assert!(root.left() <= allowance);
    }

    #[test]
    fn budget_allows_no_more_than_its_share_of_first_attempts(
        percent in 0_u32..100, first in 1_u32..2_000,
    ) {
        let mut budget = RetryBudget::from_percent(percent);
        let mut retries = 0_u32;
        for _ in 0..first {
            budget.record_first_attempt();
            retries += u32::from(budget.spend());
        }
        let bound = f64::from(first) * f64::from(percent) / 100.0 + 3.0;
        prop_assert!(
            f64::from(retries) <= bound + 1e-6,
            "{} retries, {} allowed",
            retries,
            bound
        );
    }
}
