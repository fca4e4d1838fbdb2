//! Measures marigoldhatch: the policies under overload, the ways to keep a rate, the latency that a
//! call gains, the processor time of a handling, and the slopes behind docs/CAPACITY.md.

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
    /// Overload cases in small, with the product's policy and baselines on the same seeds.
    Policies {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only this case: slow, surge, greedy, death, log or home.
        #[arg(long)]
        case: Option<String>,
        /// Leave the baselines out.
        #[arg(long)]
        product_only: bool,
        /// Fail unless the product meets the targets.
        #[arg(long)]
        check: bool,
    },
    /// Latency that a call gains, and calls a second for each core.
    Latency,
    /// Processor time of one handling of a call at entry and executor.
    Handlings,
    /// Cost of control as the fleet grows; starts that many daemons on loopback.
    Slopes {
        #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 80])]
        daemons: Vec<usize>,
    },
    /// Memory of one daemon that holds many members and teams.
    Held {
        #[arg(long, value_delimiter = ',', default_values_t = [0, 1000, 5000])]
        members: Vec<usize>,
        #[arg(long, default_value_t = 600)]
        teams: usize,
    },
    /// Three ways to keep a rate over a fleet.
    Rates {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn block_on(future: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime")
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
