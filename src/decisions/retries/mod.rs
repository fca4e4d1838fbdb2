//! Retries: one allowance for the whole tree of a request, and a budget for each service.
//!
//! See `docs/design/retries.md`.

mod allowance;
mod budget;
mod window;

pub use allowance::RetryAllowance;
pub use budget::RetryBudget;
pub use window::RetryBound;
pub use window::RetryWindow;
