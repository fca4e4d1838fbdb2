//! Operator commands: check and publish answers, manage keys, drain endpoints and inspect a fleet.

mod answers;
mod arguments;
mod compare;
mod error;
mod explain;
mod fleet;
mod keys;
mod publish;
mod run;
mod status;
mod template;

pub use answers::config_from_answers;
pub use answers::read_answers;
pub use arguments::OperatorArguments;
pub use error::OperatorError;
pub use fleet::FleetLog;
pub use keys::drain_endpoint;
pub use keys::grant_key;
pub use keys::withdraw_key;
pub use keys::GrantedKey;
pub use publish::publish_config;
pub use publish::PublishedChange;
pub use run::run;
pub use status::fetch_status;
