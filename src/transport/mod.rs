//! Plain HTTP/1.1 connections: the server side of callers' connections, and connections to daemons,
//! endpoints and the log.

#[cfg(feature = "product")]
mod pool;
mod request_body;
mod server;
mod shared_stream;
mod status;

#[cfg(feature = "product")]
pub use pool::BufferedResponse;
#[cfg(feature = "product")]
pub use pool::ConnectionPool;
#[cfg(feature = "product")]
pub use pool::SendError;
#[cfg(feature = "product")]
pub use pool::SendOptions;
pub use request_body::RequestBody;
pub use server::serve_connection;
pub use server::ConnectionError;
pub use status::is_final_status;
