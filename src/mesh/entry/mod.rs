//! Serves callers: routes, authenticates and admits their requests and dispatches them to
//! executors.

mod admission;
mod admit;
mod charge_counts;
mod class_state;
mod dispatch;
mod headers;
mod outliers;
mod serve;

pub use admission::EntryAdmission;
pub use charge_counts::ChargeCounts;
pub use outliers::OutlierTable;
pub use serve::serve_callers;
