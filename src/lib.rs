//! marigoldhatch is an overload control layer for service call graphs.
//!
//! One daemon runs beside each upstream endpoint. [`decisions`] holds the decision logic, free of
//! I/O. [`mesh`] is the request path between daemons on a platform that assigns each request an
//! identity; an adapter to the platform provides its settings, configuration and endpoints. The
//! feature `product` adds `daemon`, a daemon with its own control protocol, and `operator`, the
//! command line. See `docs/README.md` for an overview.

pub mod clock;
pub mod codes;
#[cfg(feature = "product")]
pub mod daemon;
pub mod decisions;
pub mod mesh;
pub mod observe;
#[cfg(feature = "product")]
pub mod operator;
#[cfg(feature = "product")]
pub mod settings;
pub mod transport;
#[cfg(feature = "product")]
pub mod upstream;
#[cfg(feature = "product")]
pub mod wire;
