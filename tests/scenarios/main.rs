//! Tests daemon processes end to end against a stand-in log and stand-in endpoints.
//!
//! Assertions about executed requests use the endpoints' own records, never the daemons' counters.

mod at_most_once;
mod caller_connections;
mod configuration;
mod endpoint_statuses;
mod forwarding;
mod keys;
mod log_client;
mod malformed_requests;
mod overload;
mod rates;
mod shutdown;
mod support;
mod unresponsive_connections;
