//! The command line.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Sets up and steers a marigoldhatch fleet from answers kept in version control.
#[derive(Debug, Parser)]
#[command(version)]
pub struct OperatorArguments {
    /// Print results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: OperatorCommand,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Write a commented starting file of answers.
    New {
        /// Where to write it; an existing file is left alone.
        #[arg(default_value = "answers.jsonc")]
        path: PathBuf,
    },
    /// Check answers and name every fault with file, line and key.
    Check {
        #[arg(required = true)]
        answers: Vec<PathBuf>,
    },
    /// Print the configuration that follows from answers.
    Generate { answers: PathBuf },
    /// Show what publishing answers would change.
    Diff {
        answers: PathBuf,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Publish answers on top of a named version.
    Publish {
        answers: PathBuf,
        /// The version in force that these answers replace; 0 for a new team.
        #[arg(long)]
        based_on: u64,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// Show what is in force, where and since when.
    Status {
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// Grant or withdraw a key.
    Key {
        #[command(subcommand)]
        command: KeyCommand,
    },
    /// Give an endpoint no new work, or give it work again.
    Drain {
        /// The VM of the endpoint.
        vm: String,
        /// Give it work again.
        #[arg(long)]
        undo: bool,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Follow one request through the logs of many daemons.
    Explain {
        /// The request's id.
        id: String,
        /// Logs of daemons; standard input if there are none.
        logs: Vec<PathBuf>,
    },
    /// Print the table of result codes.
    Codes,
    /// Print the catalogue of log events.
    Events,
}

/// What to do with a key.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key, put its hash in force and print the key this once.
    Grant {
        #[arg(long)]
        organisation: String,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Stop a key for ever.
    Withdraw {
        /// The key's hash, as `key list` prints it; without it the key is read from standard input.
        #[arg(long)]
        hash: Option<String>,
        #[command(flatten)]
        author: AuthorArguments,
        #[command(flatten)]
        log: LogArguments,
        #[command(flatten)]
        daemons: DaemonArguments,
    },
    /// List the hashes in force.
    List {
        #[command(flatten)]
        log: LogArguments,
    },
}

/// Where the log is.
#[derive(Debug, Args)]
pub struct LogArguments {
    /// The platform's log.
    #[arg(long = "log", env = "MARIGOLDHATCH_LOG", value_name = "URL")]
    pub url: String,
}

/// Who makes a change.
#[derive(Debug, Args)]
pub struct AuthorArguments {
    /// Who makes the change; others see it when theirs loses against it.
    #[arg(long, env = "USER", default_value = "unnamed")]
    pub author: String,
}

/// Which daemons to ask.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// Control addresses of daemons to ask; may be given several times.
    #[arg(long = "daemon", value_name = "IP:PORT")]
    pub addresses: Vec<String>,
}
