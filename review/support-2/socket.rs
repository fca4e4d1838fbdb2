//! Sockets with a small receive window, as the links of the deployments have.

use std::io::Error;
use std::io::Result;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;
use std::os::fd::RawFd;

/// Size of the receive buffer; the system doubles it and keeps a part for itself.
const RECEIVE_BUFFER_BYTES: i32 = 4096;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Address as the system call takes it.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    padding: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Makes the connections that are accepted from now on have a small window.
pub fn narrow_listener(listener: &TcpListener) -> Result<()> {
    narrow(listener.as_raw_fd())
}

/// Connects with a small window.
pub fn connect_narrow(address: SocketAddrV4) -> Result<TcpStream> {
    // SAFETY: the call takes numbers only, and its result is checked before use.
    let socket = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    if socket < 0 {
        return Err(Error::last_os_error());
    }
    // SAFETY: the descriptor is new and has no other owner.
    let stream = unsafe { TcpStream::from_raw_fd(socket) };
    narrow(socket)?;
    let target = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        padding: [0; 8],
    };
    // SAFETY: the address is an IPv4 socket address of the length that is passed.
    let result = unsafe { connect(socket, &target, size_of::<SocketAddress>() as u32) };
    if result < 0 {
        return Err(Error::last_os_error());
    }
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn narrow(socket: RawFd) -> Result<()> {
    let bytes = RECEIVE_BUFFER_BYTES;
    // SAFETY: the value is an integer of the length that is passed.
    let result = unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, size_of::<i32>() as u32) };
    if result < 0 {
        return Err(Error::last_os_error());
    }
    Ok(())
}
