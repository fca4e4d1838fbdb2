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
    Lost {
        team: String,
        based_on: u64,
        winner: String,
        author: String,
    },
    /// The log did not answer; nothing was changed.
    #[error("nothing was changed: {cause}")]
    #[diagnostic(help("try again once the log answers"))]
    LogAway { cause: String },
    /// The log may have taken the change.
    #[error("it is not known whether change {change} was taken: {cause}")]
    #[diagnostic(help("`marigoldhatch status` shows it once the log answers; repeating the command is safe, since only one of the two can win"))]
    Unclear { change: String, cause: String },
    /// A change is in the log and not yet in force on every daemon asked.
    #[error("change {change} is in the log but not yet in force on {}", missing.join(", "))]
    #[diagnostic(help("the daemons apply it as soon as they read the log or a peer tells them"))]
    NotEverywhere {
        change: String,
        missing: Vec<String>,
    },
    /// What the command names does not exist.
    #[error("{what}")]
    #[diagnostic(help("`marigoldhatch status` and `marigoldhatch key list` show what there is"))]
    NotFound { what: String },
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
            Self::Lost { .. } => 11,
            Self::Unclear { .. } => 12,
            Self::LogAway { .. } => 13,
            Self::NotEverywhere { .. } => 14,
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
        Self::LogAway {
            cause: error.to_string(),
        }
    }
}
