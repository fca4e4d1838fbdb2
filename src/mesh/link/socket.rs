//! Sockets and their options for links and endpoint connections.

use std::io::Result;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time after which unacknowledged data closes a connection. A connection can stop delivering
/// without a reset, while a new one works.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time after which keep-alive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Listens at an address, which a process that just ended may have used.
///
/// # Errors
///
/// Returns an error if the socket cannot be created or bound.
pub fn listen(address: SocketAddrV4) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Disables Nagle's algorithm and enables the detection of connections that stopped delivering.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub fn configure_stream(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
