//! UPDATE (RFC 4271 section 4.3): path attributes, IPv4 in its own fields and IPv6 in those of RFC 4760, and errors
//! handled by attribute (RFC 7606): the session, the routes or the attribute alone is given up.
//!
//! [`attributes`] holds the path attributes, [`as_path`] the form of AS_PATH on the wire, [`prefixes`] that of prefixes;
//! [`decode`] reads a message, [`encode`] writes them.

mod as_path;
mod attributes;
mod decode;
mod encode;
mod prefixes;

pub use attributes::{Attributes, Segment};
pub use encode::{announce, end_of_rib, withdraw};

use crate::open::Family;
use ipnet::IpNet;

/// How the peer of a session writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wire {
    /// AS numbers have four octets on both sides (RFC 6793).
    pub four_octet: bool,
    /// Both sides are of one AS.
    pub internal: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    pub withdrawn: Vec<IpNet>,
    pub announced: Vec<IpNet>,
    pub attributes: Attributes,
    /// All routes of the family have been told (RFC 4724 section 2).
    pub end_of_rib: Option<Family>,
    /// The announced routes are to be taken as withdrawn, and stand in `withdrawn` (RFC 7606 section 2).
    pub treated_as_withdrawn: Option<&'static str>,
    /// Attributes that were malformed and passed over (RFC 7606 section 2).
    pub discarded: u32,
}

pub fn family_of(net: &IpNet) -> Family {
    match net {
        IpNet::V4(_) => Family::Ipv4,
        IpNet::V6(_) => Family::Ipv6,
    }
}

#[cfg(test)]
mod tests;
