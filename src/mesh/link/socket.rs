//! Socket options of links and endpoint connections.

use std::io::Result;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Unacknowledged bytes end a connection after this long: a connection can go silent without a
/// reset, and a new one then works.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// An idle connection is probed after this long.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Listens at an address that a process which just ended may have used.
pub fn listen(address: SocketAddrV4) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Sends without delay and notices a connection that has gone silent.
pub fn configure_stream(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
