//! The UPDATE message (RFC 4271 section 4.3). IPv4 prefixes are sent in the message's own fields, IPv6 prefixes in
//! MP_REACH_NLRI and MP_UNREACH_NLRI (RFC 4760), where IPv4 prefixes are accepted, too. Errors are handled by attribute
//! (RFC 7606): depending on the attribute, an error ends the session, withdraws the routes, or discards only the
//! attribute.
//!
//! `attributes` defines the path attributes, `as_path` and `prefixes` are the codecs of AS_PATH and of prefixes,
//! `decode` reads UPDATEs and `encode` writes them.

mod as_path;
mod attributes;
mod decode;
mod encode;
mod prefixes;

pub use attributes::{AsPathSegment, AttributeType, Origin, PathAttributes, RouteError, SegmentType};
pub use encode::{announce, end_of_rib, withdraw};

use crate::family::Family;
use ipnet::IpNet;

/// The session parameters that determine the encoding of an UPDATE; the OPENs of both sides settle them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateContext {
    /// AS numbers are encoded in four octets (RFC 6793).
    pub four_octet_as: bool,
    /// Both sides are in the same AS (iBGP).
    pub internal: bool,
}

/// The content of a decoded UPDATE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Withdrawn prefixes of both families, including those treated as withdrawn.
    pub withdrawn: Vec<IpNet>,
    /// Prefixes of both families that are announced with `attributes`.
    pub announced: Vec<IpNet>,
    /// The path attributes of the announced prefixes.
    pub attributes: PathAttributes,
    /// The family of the End-of-RIB marker, if the UPDATE is one: the peer has sent all its routes of the family (RFC
    /// 4724 section 2).
    pub end_of_rib: Option<Family>,
    /// The error for which the announced prefixes are treated as withdrawn (RFC 7606 section 2); they are then in
    /// `withdrawn`. `None` if there is no such error.
    pub treated_as_withdrawn: Option<RouteError>,
    /// The number of attributes that were discarded (RFC 7606 section 2) because they were malformed, repeated, or not
    /// valid on this session.
    pub discarded: u32,
}

#[cfg(test)]
mod tests;
