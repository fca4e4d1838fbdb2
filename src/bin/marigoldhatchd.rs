//! The daemon's program: reads settings, starts, and stops on a signal.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use marigoldhatch::daemon::Daemon;
use marigoldhatch::daemon::DaemonOptions;
use marigoldhatch::observe::start_stderr_log;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// The daemon that sits beside one upstream endpoint.
///
/// It logs JSON lines to standard error and stops gracefully on SIGTERM or SIGINT.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArguments {
    /// The settings file, JSON with comments.
    settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &DaemonArguments) -> miette::Result<()> {
    let options = DaemonOptions::from_file(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    let logs = start_stderr_log(&options.log_filter);
    let daemon = Daemon::start(options)?;
    wait_for_signal();
    daemon.close();
    logs.close();
    Ok(())
}

fn wait_for_signal() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime for signals");
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be caught");
        let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be caught");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
}
