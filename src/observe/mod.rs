//! What the system says of itself: numbered log events and metrics.

mod event;
mod line_buffer;
#[cfg(feature = "product")]
mod logs;
mod metrics;
mod story;

pub use event::LogEvent;
pub use line_buffer::start_lines;
pub use line_buffer::LineBuffer;
#[cfg(feature = "product")]
pub use logs::start_logs;
#[cfg(feature = "product")]
pub use logs::LogGuard;
pub use metrics::FleetMetrics;
pub use story::tell_story;
pub use story::RequestStory;
pub use story::StoryStep;
