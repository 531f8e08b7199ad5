//! Prefixes on the wire: withdrawn routes and NLRI, each a length in bits and as many octets as it needs (RFC 4271
//! section 4.3).

use crate::family::Family;
use crate::Bytes;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The octets that the longest prefix takes: its length, and an IPv6 address.
pub(super) const MAX_PREFIX_SIZE: usize = 17;

/// Reads prefixes to the end of the bytes, and appends them; none where they are malformed. What lies beyond the length
/// in the last octet does not count.
pub(super) fn decode(bytes: &[u8], family: Family, prefixes: &mut Vec<IpNet>) -> Option<()> {
    let mut bytes = Bytes(bytes);
    while !bytes.is_empty() {
        let length = bytes.u8()?;
        let octets = bytes.take(usize::from(length).div_ceil(8))?;
        prefixes.push(match family {
            Family::Ipv4 => Ipv4Net::new(Ipv4Addr::from(padded(octets)?), length).ok()?.trunc().into(),
            Family::Ipv6 => Ipv6Net::new(Ipv6Addr::from(padded(octets)?), length).ok()?.trunc().into(),
        });
    }
    Some(())
}

/// An address of `SIZE` octets that begins with these, and goes on with zeros; none where there are too many.
fn padded<const SIZE: usize>(octets: &[u8]) -> Option<[u8; SIZE]> {
    let mut address = [0; SIZE];
    address.get_mut(..octets.len())?.copy_from_slice(octets);
    Some(address)
}

pub(super) fn encode(out: &mut Vec<u8>, net: &IpNet) {
    out.push(net.prefix_len());
    let octets = usize::from(net.prefix_len()).div_ceil(8);
    match net.trunc().addr() {
        IpAddr::V4(address) => out.extend(&address.octets()[..octets]),
        IpAddr::V6(address) => out.extend(&address.octets()[..octets]),
    }
}
