//! Command-line arguments of `marigoldhatch`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Configures and operates a marigoldhatch fleet from answers kept in version control.
#[derive(Debug, Parser)]
#[command(version)]
pub struct OperatorArguments {
    /// Print results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// Subcommands of `marigoldhatch`.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Write a commented template of an answers file.
    New {
        /// Path of the new file; an existing file is not overwritten.
        #[arg(default_value = "answers.jsonc")]
        path: PathBuf,
    },
    /// Check answers and report every fault with file, line and key.
    Check {
        /// Answers files to check.
        #[arg(required = true)]
        answers: Vec<PathBuf>,
    },
    /// Print the configuration derived from answers.
    Generate {
        /// Answers file.
        answers: PathBuf,
    },
    /// Show what publishing answers would change.
    Diff {
        /// Answers file.
        answers: PathBuf,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Publish answers that replace a given version.
    Publish {
        /// Answers file.
        answers: PathBuf,
        /// Version in force that these answers replace; 0 for a new team.
        #[arg(long)]
        based_on: u64,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// Show the versions in force, by the log and on each given daemon.
    Status {
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// Grant, withdraw or list keys.
    Key {
        #[command(subcommand)]
        command: KeyCommand,
    },
    /// Stop sending new work to an endpoint, or resume it.
    Drain {
        /// VM of the endpoint.
        vm: String,
        /// Resume sending work to the endpoint.
        #[arg(long)]
        undo: bool,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Trace one request through the logs of several daemons.
    Explain {
        /// Id of the request.
        id: String,
        /// Log files of daemons, also compressed with gzip, or folders of them; standard input if
        /// none is given.
        logs: Vec<PathBuf>,
    },
    /// Print the table of result codes.
    Codes,
    /// Print the catalogue of log events.
    Events,
}

/// Subcommands of `marigoldhatch key`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Create a key, put its hash in force and print the key, which is not stored.
    Grant {
        /// Organisation that the key belongs to.
        #[arg(long)]
        organisation: String,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Withdraw a key permanently.
    Withdraw {
        /// Hash of the key, as `key list` prints it; if absent, the key is read from standard input.
        #[arg(long)]
        hash: Option<String>,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// List the hashes of the keys in force.
    List {
        #[command(flatten)]
        log: LogArguments,
    },
}

/// Address of the log.
#[derive(Debug, Args)]
pub struct LogArguments {
    /// URL of the platform's log.
    #[arg(long = "log", env = "MARIGOLDHATCH_LOG", value_name = "URL")]
    pub url: String,
}

/// Author of a change.
#[derive(Debug, Args)]
pub struct AuthorArguments {
    /// Author of the change; shown to authors whose changes conflict with it.
    #[arg(long, env = "USER", default_value = "unnamed")]
    pub author: String,
}

/// Daemons to query or to wait for.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// Control address of a daemon to query or to wait for; may be given several times.
    #[arg(long = "daemon", value_name = "IP:PORT")]
    pub addresses: Vec<String>,
}
