//! A daemon's view of its fleet: the configuration in force and the other daemons.

mod config;
mod daemon_order;
mod peer;
mod ranks;
mod report;
mod route_table;

pub use config::CallerLimits;
pub use config::MeshConfig;
pub use config::OrganisationRule;
pub use config::RouteRule;
pub use config::WeightedService;
pub use daemon_order::daemon_order;
pub use peer::Peer;
pub use peer::PeerReply;
pub use ranks::RANK_COUNT;
pub use report::DaemonReport;
pub use report::DaemonStatus;
pub use report::EndpointReport;
pub use route_table::hash_name;
pub use route_table::RouteTable;
