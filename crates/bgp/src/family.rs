//! The supported address families: IPv4 unicast and IPv6 unicast.

use ipnet::IpNet;

/// SAFI of unicast routes, the only supported one (RFC 4760).
pub(crate) const SAFI_UNICAST: u8 = 1;

/// A supported address family; both are unicast (RFC 4760).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    /// IPv4 unicast.
    Ipv4,
    /// IPv6 unicast.
    Ipv6,
}

impl Family {
    /// All families, in the order of arrays that are indexed by family.
    pub const ALL: [Family; 2] = [Family::Ipv4, Family::Ipv6];

    /// The family with this AFI and SAFI; `None` if it is not supported.
    pub fn from_afi_safi(afi: u16, safi: u8) -> Option<Family> {
        match (afi, safi) {
            (1, SAFI_UNICAST) => Some(Family::Ipv4),
            (2, SAFI_UNICAST) => Some(Family::Ipv6),
            _ => None,
        }
    }

    /// The family of a prefix.
    pub fn of_prefix(prefix: &IpNet) -> Family {
        match prefix {
            IpNet::V4(_) => Family::Ipv4,
            IpNet::V6(_) => Family::Ipv6,
        }
    }

    /// The address family identifier (AFI).
    pub fn afi(self) -> u16 {
        self as u16 + 1
    }
}
