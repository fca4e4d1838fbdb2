//! The interfaces that a deployment adapts: the platform's log, the endpoint's headers and the
//! caller's key.

mod caller_key;
mod endpoint;
mod log;

pub use caller_key::contains_key;
pub use caller_key::find_caller_key;
pub use caller_key::hash_key;
pub use caller_key::new_key;
pub use caller_key::strip_credentials;
pub use caller_key::CredentialError;
pub use endpoint::is_shed_response;
pub use endpoint::CONTEXT_HEADER;
pub use endpoint::DEADLINE_HEADER;
pub use endpoint::IDEMPOTENCY_HEADER;
pub use endpoint::SHED_HEADER;
pub use log::LogClient;
pub use log::LogError;
