//! Serves callers: routes, authenticates and admits their requests and dispatches them to
//! executors.

mod admission;
mod admit;
mod dispatch;
mod headers;
mod outliers;
mod serve;

pub use admission::EntryAdmission;
pub use outliers::OutlierTable;
pub use serve::serve_callers;
