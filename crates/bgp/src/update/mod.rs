//! UPDATE (RFC 4271 section 4.3): path attributes, IPv4 in its own fields and IPv6 in those of RFC 4760, and errors
//! handled by attribute (RFC 7606): the session, the routes or the attribute alone is given up.
//!
//! `attributes` holds the path attributes, `as_path` the form of AS_PATH on the wire, `prefixes` that of prefixes;
//! `decode` reads a message, `encode` writes them.

mod as_path;
mod attributes;
mod decode;
mod encode;
mod prefixes;

pub use attributes::{AsPathSegment, AttributeType, Origin, PathAttributes, RouteError, SegmentType};
pub use encode::{announce, end_of_rib, withdraw};

use crate::family::Family;
use ipnet::IpNet;

/// What the form of an UPDATE depends on, settled by the OPENs of both sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateContext {
    /// AS numbers have four octets (RFC 6793).
    pub four_octet_as: bool,
    /// Both sides are of one AS (iBGP).
    pub internal: bool,
}

/// What an UPDATE says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Prefixes whose routes are gone, of both families.
    pub withdrawn: Vec<IpNet>,
    /// Prefixes that are announced with `attributes`, of both families.
    pub announced: Vec<IpNet>,
    /// The path attributes of `announced`.
    pub attributes: PathAttributes,
    /// The End-of-RIB marker: all routes of the family have been sent (RFC 4724 section 2).
    pub end_of_rib: Option<Family>,
    /// Why the announced prefixes are treated as withdrawn, where they are: they then stand in `withdrawn` (RFC 7606
    /// section 2).
    pub treated_as_withdrawn: Option<RouteError>,
    /// Attributes that were malformed, or came twice, and were discarded (RFC 7606 section 2).
    pub discarded: u32,
}

#[cfg(test)]
mod tests;
