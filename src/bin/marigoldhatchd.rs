//! The daemon binary: reads the settings, runs the daemon and stops it on a signal.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use marigoldhatch::daemon::Daemon;
use marigoldhatch::daemon::DaemonOptions;
use marigoldhatch::observe::start_stderr_log;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Daemon that runs beside one upstream endpoint.
///
/// It logs JSON lines to standard error and stops gracefully on SIGTERM or SIGINT.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArguments {
    /// Path of the settings file, JSON with comments.
    settings: PathBuf,
    /// Check the settings and exit.
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
        .expect("failed to create the signal runtime");
    runtime.block_on(async {
        let mut terminate =
            signal(SignalKind::terminate()).expect("failed to install the SIGTERM handler");
        let mut interrupt =
            signal(SignalKind::interrupt()).expect("failed to install the SIGINT handler");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
}
