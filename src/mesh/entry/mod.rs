//! Where a request enters: its route and key, whether it may enter, where it goes, its answer.

mod admit;
mod gate;
mod head;
mod place;
mod serve;

pub use gate::EntryGate;
pub use serve::serve_callers;
