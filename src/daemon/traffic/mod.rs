//! Handles requests on the traffic threads: entry, dispatch to executors and execution at the
//! endpoint.

mod admission;
mod attempt;
mod context;
mod dispatch;
mod endpoint_call;
mod entry;
mod executor;
mod headers;
mod owner_dispatch;
mod query;
mod rate_limit;
mod reply;
mod request;
mod server;
mod state;

pub use server::TrafficServer;
