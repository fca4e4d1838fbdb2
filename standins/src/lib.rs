//! Stand-ins for the platform's log, an upstream endpoint and the network, and settings of a mesh
//! daemon on loopback, for tests, benchmarks and the demo.

pub mod endpoint;
pub mod log;
pub mod mesh;
pub mod relay;
