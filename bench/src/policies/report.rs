//! Prints the table and compares the product with its targets.

use std::time::Duration;

use super::case::OverloadCase;
use super::policy::ControlPolicy;
use super::stats::RunStats;

const MIN_GOODPUT: f64 = 0.95;
const MIN_WORST_SERVED: f64 = 0.95;
const MAX_RECOVERY: Duration = Duration::from_secs(2);
const MAX_REFUSED_WITHIN_RATE: f64 = 0.001;

pub fn print_header() {
    println!(
        "{:<26} {:<14} {:>8} {:>9} {:>8} {:>12} {:>8} {:>9} {:>8}",
        "case", "policy", "goodput", "recovery", "worst", "refused", "executed", "critical", "deep"
    );
    println!(
        "{:<26} {:<14} {:>8} {:>9} {:>8} {:>12} {:>8} {:>9} {:>8}",
        "", "", "of share", "s", "of share", "within rate", "twice", "refused", "runs/req"
    );
}

pub fn print_row(case: OverloadCase, policy: ControlPolicy, stats: &RunStats) {
    println!(
        "{:<26} {:<14} {:>8.3} {:>9.2} {:>8.3} {:>11.3}% {:>8} {:>9} {:>8.2}",
        case.name(),
        policy.name(),
        stats.goodput(case),
        stats.recovery_time(case).as_secs_f64(),
        stats.worst_served(case),
        refused_share(stats) * 100.0,
        stats.duplicate_runs,
        stats.critical_refusals,
        stats.runs_per_success()
    );
}

/// Compares the product with the targets and prints each one that is missed.
///
/// Returns true if all targets are met. In the case of a home that crashes while the log is
/// unavailable, only duplicate runs are checked: the targets apply to one fault at a time.
pub fn check(case: OverloadCase, stats: &RunStats) -> bool {
    if case == OverloadCase::HomeCrash {
        return stats.duplicate_runs == 0;
    }
    let mut met = true;
    let mut require = |is_met: bool, target: &str| {
        if !is_met {
            println!("  missed target: {target} ({})", case.name());
            met = false;
        }
    };
    require(
        stats.goodput(case) >= MIN_GOODPUT,
        "goodput of at least 95% of what can be served",
    );
    require(
        stats.recovery_time(case) <= MAX_RECOVERY,
        "recovery within 2 s of the end of the trigger",
    );
    require(
        stats.worst_served(case) >= MIN_WORST_SERVED,
        "at least 95% of its fair share for the worst-served organisation",
    );
    require(
        stats.duplicate_runs == 0,
        "no non-idempotent request executed twice",
    );
    if !case.has_demand_surge() && case != OverloadCase::SlowService {
        require(
            refused_share(stats) < MAX_REFUSED_WITHIN_RATE,
            "less than 0.1% of the attempts within rate refused",
        );
    }
    require(
        stats.critical_refusals == 0,
        "no critical request refused while less important calls wait",
    );
    met
}

/// Share of the attempts within rate that were refused.
fn refused_share(stats: &RunStats) -> f64 {
    stats.refusals_within_rate as f64 / (stats.attempts_within_rate as f64).max(1.0)
}
