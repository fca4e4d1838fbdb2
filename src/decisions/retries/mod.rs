//! Limits retries by an allowance for each request's whole call tree and a budget for each service.
//!
//! See `docs/design/retries.md`.

mod allowance;
mod budget;
mod window;

pub use allowance::RetryAllowance;
pub use budget::RetryBudget;
pub use window::RetryBound;
pub use window::RetryWindow;
