//! Runs the control thread: the log, peers, membership, ownership and the view for the traffic
//! threads.

mod admin;
mod apply;
mod gossip;
mod log_tail;
mod ownership;
mod peer_client;
mod peer_server;
mod publish;
mod rate_homes;
mod retention;
mod run;
mod state;

pub use run::run_control;
pub use run::ControlInputs;
