//! Scenarios with real daemon processes, a stand-in log and stand-in endpoints.
//!
//! The judge is always the endpoint's own record of what it ran, never the product's counters.

mod at_most_once;
mod configuration;
mod forwarding;
mod keys;
mod malformed_requests;
mod overload;
mod rates;
mod shutdown;
mod support;
mod unresponsive_connections;
