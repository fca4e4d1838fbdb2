//! Documents that people write: a daemon's settings and a team's answers.
//!
//! Both are JSON with comments and are checked against their schema before use.

mod document;
#[rustfmt::skip]
#[allow(clippy::clone_on_copy)]
mod generated;

pub use document::CheckedDocument;
pub use document::DocumentError;
pub use document::DocumentFault;
pub use document::FaultLocation;
pub use generated::*;

/// Schema of a daemon's settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../schema/settings.json");
/// Schema of a team's answers.
pub const ANSWERS_SCHEMA: &str = include_str!("../../schema/answers.json");
