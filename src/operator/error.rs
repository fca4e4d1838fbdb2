//! Errors of the operator commands and their exit codes.

use miette::Diagnostic;

use crate::settings::DocumentError;
use crate::upstream::LogError;

/// Reason why an operator command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum OperatorError {
    /// The answers can't be read or are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Answers(#[from] DocumentError),
    /// Another change based on the same version came first.
    #[error("not published: version {based_on} of team {team:?} was already replaced by change {winner} of {author}")]
    #[diagnostic(help(
        "check `marigoldhatch diff`, then publish with --based-on set to the version in force"
    ))]
    Conflict {
        team: String,
        based_on: u64,
        winner: String,
        author: String,
    },
    /// The log did not respond and nothing was changed.
    #[error("nothing was changed: {cause}")]
    #[diagnostic(help("retry once the log is available"))]
    LogUnavailable { cause: String },
    /// The change may be in the log.
    #[error("change {change} may or may not have been appended to the log: {cause}")]
    #[diagnostic(help("`marigoldhatch status` shows the outcome once the log is available; repeating the command is safe, since only one of the two changes can take effect"))]
    OutcomeUnknown { change: String, cause: String },
    /// The change is in the log but not yet in force on every given daemon.
    #[error("change {change} is in the log but not yet in force on {}", missing.join(", "))]
    #[diagnostic(help(
        "daemons apply the change once they read the log or receive it from a peer"
    ))]
    NotInForceEverywhere {
        change: String,
        missing: Vec<String>,
    },
    /// A team, organisation, key, request or file that the command refers to does not exist.
    #[error("{message}")]
    #[diagnostic(help(
        "`marigoldhatch status` and `marigoldhatch key list` list the existing teams and keys"
    ))]
    NotFound { message: String },
    /// No log line is about the request.
    #[error("no line of {logs} logs is about request {id}; {unparsed} lines could not be parsed")]
    #[diagnostic(help(
        "pass the logs of all daemons at that time; the id is the one that the caller sent with the request"
    ))]
    NoTrace {
        id: String,
        logs: usize,
        unparsed: u64,
    },
    /// A file could not be read.
    #[error("{path}: {cause}")]
    #[diagnostic(help("pass existing log files, or a folder of them"))]
    Unreadable { path: String, cause: String },
    /// A file could not be written.
    #[error("{path}: {cause}")]
    #[diagnostic(help("choose another path"))]
    Unwritable { path: String, cause: String },
}

impl OperatorError {
    /// Returns the exit code; the table is in `docs/RESULT-CODES.md`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Answers(_) => 10,
            Self::Conflict { .. } => 11,
            Self::OutcomeUnknown { .. } => 12,
            Self::LogUnavailable { .. } => 13,
            Self::NotInForceEverywhere { .. } => 14,
            Self::NotFound { .. } | Self::NoTrace { .. } | Self::Unreadable { .. } => 15,
            Self::Unwritable { .. } => 16,
        }
    }

    /// Prints the error as JSON to standard output, or as text to standard error.
    pub fn print(self, json: bool) {
        if json {
            let text = serde_json::json!({
                "error": self.to_string(),
                "exit_code": self.exit_code(),
            });
            println!("{text}");
            return;
        }
        eprintln!("{:?}", miette::Report::new(self));
    }

    /// Converts an error of the log that occurred before any change was sent.
    pub fn from_log(error: &LogError) -> Self {
        Self::LogUnavailable {
            cause: error.to_string(),
        }
    }
}
