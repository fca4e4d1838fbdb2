//! Plain HTTP/1.1 connections to daemons, endpoints and the log.

mod pool;

pub use pool::BufferedResponse;
pub use pool::ConnectionPool;
pub use pool::SendError;
pub use pool::SendOptions;
