//! Serves callers: routes, authenticates and admits their requests and dispatches them to
//! executors.

mod admit;
mod admission;
mod headers;
mod dispatch;
mod serve;

pub use admission::EntryAdmission;
pub use serve::serve_callers;
