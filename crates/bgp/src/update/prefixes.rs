//! The codec of prefixes in withdrawn routes and NLRI. Each prefix is its length in bits, followed by the minimum
//! number of octets that hold these bits (RFC 4271 section 4.3).

use crate::family::Family;
use crate::ByteReader;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The octets that the longest encoded prefix takes: a length octet and an IPv6 address.
pub(super) const MAX_PREFIX_SIZE: usize = 17;

/// Decodes all prefixes in `bytes` and appends them to `prefixes`; `None` if one is malformed. Bits beyond the prefix
/// length in the last octet are ignored.
pub(super) fn decode(bytes: &[u8], family: Family, prefixes: &mut Vec<IpNet>) -> Option<()> {
    let mut bytes = ByteReader(bytes);
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

/// An address of `SIZE` octets: `octets`, padded with zeros; `None` if there are more than `SIZE`.
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
