//! Runs calls at the endpoint on the same VM.
//!
//! Only the daemon beside an endpoint forwards calls to it, so it knows which calls may have run.

mod call;
mod calls;
mod classify;
mod coldness;
mod endpoint;
mod evacuation;
mod forward;
mod limited_stream;
mod limits;
mod outcomes;
mod parents;
mod pool;
mod serve;
mod slots;
mod status_check;

pub use call::CallOutcome;
pub use call::CallRequest;
pub use call::EndpointResponse;
pub use calls::CallState;
pub use calls::CallTable;
pub use calls::COMPLETED_CALL_RETENTION;
pub use classify::classify_response;
pub use classify::ResponseClass;
pub use endpoint::EndpointExecutor;
pub use limits::EndpointLimits;
pub use outcomes::judge_outcome;
pub use parents::NestedCall;
pub use parents::ParentGuard;
pub use parents::ParentTable;
pub use parents::TreeUsage;
pub use serve::accept_links;
pub use serve::read_hello;
pub use slots::SlotPermit;
pub use slots::SlotQueue;
pub use status_check::check_status;
pub use status_check::classify_status;
pub use status_check::read_cold_time;
pub use status_check::StatusError;
pub use status_check::StatusReply;
