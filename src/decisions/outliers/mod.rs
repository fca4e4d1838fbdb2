//! Finds endpoints that fail far more of their calls than the others of their service.
//!
//! The daemon beside an endpoint keeps its recent outcomes and reports the share of failures; each
//! entry compares the endpoints of a service. See `docs/design/outliers.md`.

mod compare;
mod outcomes;
mod step;
mod view;
mod window;

pub use compare::median_failure;
pub use compare::set_aside;
pub use compare::EndpointHealth;
pub use outcomes::EndpointOutcome;
pub use outcomes::OutcomeTable;
pub use step::DomainFailures;
pub use step::FailureReport;
pub use step::FailureStep;
pub use view::OutlierChange;
pub use view::OutlierMark;
pub use view::OutlierView;
pub use window::OutcomeWindow;
