//! Simulates the overload cases on a small fleet: simulated callers and endpoints around the
//! decision code of the daemon.

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

/// Selection of the cases and policies to simulate.
#[derive(Debug)]
pub struct RunSelection {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Runs only the case with this command line name.
    pub case: Option<String>,
    /// Skips the baseline policies.
    pub product_only: bool,
}

/// Runs the selected cases and prints the table.
///
/// Returns false if the product misses a target.
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
