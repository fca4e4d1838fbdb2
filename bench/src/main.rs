//! Benchmarks marigoldhatch: the policies under overload, the schemes of rate limiting, the latency
//! added to a call, the CPU time per handling, and the slopes behind docs/CAPACITY.md.

mod fleet;
mod handlings;
mod latency;
mod policies;
mod processes;
mod rates;
mod slopes;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

/// Benchmarks of marigoldhatch; each prints a table.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArguments {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Simulate the overload cases under the product's policy and baselines, with the same seed.
    Policies {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Simulate only this case: slow, surge, greedy, death, log or home.
        #[arg(long)]
        case: Option<String>,
        /// Skip the baselines.
        #[arg(long)]
        product_only: bool,
        /// Fail unless the product meets the targets.
        #[arg(long)]
        check: bool,
    },
    /// Measure the latency added to a call, and the calls per second of each core.
    Latency,
    /// Measure the CPU time of one handling of a call at entry and executor.
    Handlings,
    /// Measure the cost of control as the fleet grows, with that many daemons on loopback.
    Slopes {
        #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 80])]
        daemons: Vec<usize>,
    },
    /// Measure the memory of one daemon that holds many members and teams.
    Held {
        #[arg(long, value_delimiter = ',', default_values_t = [0, 1000, 5000])]
        members: Vec<usize>,
        #[arg(long, default_value_t = 600)]
        teams: usize,
    },
    /// Simulate three schemes of limiting a rate across a fleet.
    Rates {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn block_on(future: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime")
        .block_on(future);
}

fn main() -> ExitCode {
    let targets_met = match BenchArguments::parse().command {
        BenchCommand::Policies {
            seed,
            case,
            product_only,
            check,
        } => {
            let selection = policies::RunSelection {
                seed,
                case,
                product_only,
            };
            policies::run(&selection) || !check
        }
        BenchCommand::Latency => {
            block_on(latency::run());
            true
        }
        BenchCommand::Handlings => {
            handlings::run();
            true
        }
        BenchCommand::Slopes { daemons } => {
            block_on(slopes::run(&daemons));
            true
        }
        BenchCommand::Held { members, teams } => {
            block_on(slopes::run_held(&members, teams));
            true
        }
        BenchCommand::Rates { seed } => {
            rates::run(seed);
            true
        }
    };
    if targets_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
