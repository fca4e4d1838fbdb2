//! Small stand-ins of the platform's log and of an upstream endpoint, for tests and the demo, and
//! settings of a mesh daemon on loopback.

pub mod endpoint;
pub mod log;
pub mod mesh;
pub mod relay;
