//! Commented template of an answers file, written by `marigoldhatch new`.

/// Text of an answers file that passes `marigoldhatch check` and explains each answer.
pub const ANSWERS_TEMPLATE: &str = include_str!("../../examples/starting.jsonc");
