//! Observability: numbered log events, log output, request traces and metrics.

mod event;
mod line_buffer;
mod metrics;
mod request_cause;
mod request_trace;
#[cfg(feature = "product")]
mod stderr_log;

pub use event::LogEvent;
pub use line_buffer::start_log;
pub use line_buffer::start_stdout_log;
pub use line_buffer::LineBuffer;
pub use metrics::DaemonMetrics;
pub use request_trace::trace_request;
pub use request_trace::RequestTrace;
pub use request_trace::TraceStep;
#[cfg(feature = "product")]
pub use stderr_log::start_stderr_log;
#[cfg(feature = "product")]
pub use stderr_log::LogGuard;
