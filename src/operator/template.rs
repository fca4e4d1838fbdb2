//! The commented starting file of answers.

/// A file that passes the check and says what each answer means.
pub const ANSWERS_TEMPLATE: &str = include_str!("../../examples/starting.jsonc");
