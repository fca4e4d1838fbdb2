//! Order of daemons that is the same at every daemon.

use std::net::SocketAddrV4;

use super::route_table::hash_name;

/// Bits of the order that hold the address, which makes it unique.
const ADDRESS_BITS: u32 = 48;

/// Returns the position of a daemon in an order that all daemons agree on and that mixes failure
/// domains and services.
pub fn daemon_order(address: SocketAddrV4) -> u64 {
    let hash = u64::from(hash_name(&address.to_string()));
    let address_bits = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
    (hash << ADDRESS_BITS) | address_bits
}
