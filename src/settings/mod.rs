//! Hand-written documents: a daemon's settings and a team's answers.
//!
//! Both are JSON with comments and are validated against a JSON schema.

mod document;
#[rustfmt::skip]
#[allow(clippy::clone_on_copy)]
mod generated;

pub use document::CheckedDocument;
pub use document::DocumentError;
pub use document::DocumentFault;
pub use document::FaultLocation;
pub use generated::*;

/// JSON schema of a daemon's settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../schema/settings.json");
/// JSON schema of a team's answers.
pub const ANSWERS_SCHEMA: &str = include_str!("../../schema/answers.json");
