//! Tests of decisions and components of the request path, without network and under paused time.

mod admission;
mod announcement;
mod bodies;
mod calls;
mod classify;
mod config_fetch;
mod demand;
mod fleet_size;
mod fuzzing;
mod header_codec;
mod limits;
mod metrics;
mod pacing;
mod parents;
mod peers;
mod placement;
mod proof;
mod quota;
mod readers;
mod request_trace;
mod retry_window;
mod root_admission;
mod route_table;
mod segments;
mod slots;
mod suspension;
