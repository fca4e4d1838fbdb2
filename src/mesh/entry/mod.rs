//! Where a request enters: its route and key, whether it may enter, where it goes, its answer.

mod admit;
mod admission;
mod headers;
mod dispatch;
mod serve;

pub use admission::EntryAdmission;
pub use serve::serve_callers;
