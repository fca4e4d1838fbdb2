//! marigoldhatch is an overload control layer for service call graphs.
//!
//! One daemon runs beside each upstream endpoint. The decisions are in [`decisions`], free of I/O.
//! [`mesh`] is the request path between the daemons of a deployment whose platform gives each
//! request an identity of its own; an adapter hands it settings, configuration and endpoints. With
//! the feature `product`, `daemon` is the product's own interface and `operator` its command line.
//! `docs/README.md` is the map.

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
#[cfg(feature = "product")]
pub mod transport;
#[cfg(feature = "product")]
pub mod upstream;
#[cfg(feature = "product")]
pub mod wire;
