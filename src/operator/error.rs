//! What can go wrong for an operator, with the exit code of each.

use miette::Diagnostic;

use crate::settings::DocumentError;
use crate::upstream::LogError;

/// An operator's command did not do what it was to do.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum OperatorError {
    /// The answers can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Answers(#[from] DocumentError),
    /// Another change came first.
    #[error("not published: version {based_on} of team {team:?} was already replaced by change {winner} of {author}")]
    #[diagnostic(help(
        "look at `marigoldhatch diff`, then publish on top of the version in force"
    ))]
    Conflict {
        team: String,
        based_on: u64,
        winner: String,
        author: String,
    },
    /// The log did not answer; nothing was changed.
    #[error("nothing was changed: {cause}")]
    #[diagnostic(help("try again once the log answers"))]
    LogUnavailable { cause: String },
    /// The log may have taken the change.
    #[error("it is not known whether change {change} was taken: {cause}")]
    #[diagnostic(help("`marigoldhatch status` shows it once the log answers; repeating the command is safe, since only one of the two can win"))]
    OutcomeUnknown { change: String, cause: String },
    /// A change is in the log and not yet in force on every daemon asked.
    #[error("change {change} is in the log but not yet in force on {}", missing.join(", "))]
    #[diagnostic(help("the daemons apply it as soon as they read the log or a peer tells them"))]
    NotInForceEverywhere {
        change: String,
        missing: Vec<String>,
    },
    /// What the command names does not exist.
    #[error("{message}")]
    #[diagnostic(help("`marigoldhatch status` and `marigoldhatch key list` show what there is"))]
    NotFound { message: String },
    /// A file could not be written.
    #[error("{path}: {cause}")]
    #[diagnostic(help("choose another path"))]
    Unwritable { path: String, cause: String },
}

impl OperatorError {
    /// The exit code; the table is in `docs/RESULT-CODES.md`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Answers(_) => 10,
            Self::Conflict { .. } => 11,
            Self::OutcomeUnknown { .. } => 12,
            Self::LogUnavailable { .. } => 13,
            Self::NotInForceEverywhere { .. } => 14,
            Self::NotFound { .. } => 15,
            Self::Unwritable { .. } => 16,
        }
    }

    /// Prints the error for a person or a program.
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

    /// An error of the log before any change was sent.
    pub fn from_log(error: &LogError) -> Self {
        Self::LogUnavailable {
            cause: error.to_string(),
        }
    }
}
