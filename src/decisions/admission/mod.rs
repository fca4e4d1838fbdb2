//! Admission control at the executor and adaptive throttling at the entry.
//!
//! See `docs/design/admission.md`.

mod controller;
mod limit;
mod queue;
mod throttle;

pub use controller::AdmissionController;
pub use controller::AdmissionDecision;
pub use controller::QueueActions;
pub use controller::RefusalReason;
pub use limit::ConcurrencyLimit;
pub use queue::AdmissionQueue;
pub use queue::CallTicket;
pub use queue::QueuedCall;
pub use throttle::AdaptiveThrottle;
pub use throttle::ThrottleClass;
