//! The brief's overload cases in small: fakes of callers and endpoints around the real decisions.

mod calls;
mod case;
mod demand;
mod fleet;
mod hops;
mod model;
mod node;
mod policy;
mod report;
mod simulation;
mod stats;

use case::OverloadCase;
use policy::ControlPolicy;

/// Which runs are wanted.
#[derive(Debug)]
pub struct RunSelection {
    pub seed: u64,
    /// Only the case of this name.
    pub case: Option<String>,
    /// Leave the baselines out.
    pub product_only: bool,
}

/// Runs the cases and prints the table; false when the product misses a target.
pub fn run(selection: &RunSelection) -> bool {
    report::print_header();
    let mut met = true;
    for case in OverloadCase::ALL {
        if selection
            .case
            .as_ref()
            .is_some_and(|wanted| wanted != case.cli_name())
        {
            continue;
        }
        for policy in ControlPolicy::ALL {
            if selection.product_only && policy != ControlPolicy::Product {
                continue;
            }
            let outcome = simulation::simulate(case, policy, selection.seed);
            report::print_row(case, policy, &outcome);
            if policy == ControlPolicy::Product {
                met &= report::check(case, &outcome);
            }
        }
    }
    met
}
