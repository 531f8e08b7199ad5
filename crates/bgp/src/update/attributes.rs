//! The path attributes of an UPDATE: their types, their flags, and the values that are used.

use std::fmt;
use std::net::IpAddr;

/// The types of path attributes that are checked, with their codes; from RFC 4271 section 5 unless another RFC is
/// named. Other types are ignored if they are optional.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttributeType {
    /// How the route was introduced into BGP.
    Origin = 1,
    /// The autonomous systems that the route passed through.
    AsPath = 2,
    /// The address to which packets for the prefixes of the NLRI field are forwarded.
    NextHop = 3,
    /// The preference among several links into one AS; lower is better.
    MultiExitDisc = 4,
    /// The preference of a route within one AS; higher is better.
    LocalPref = 5,
    /// An aggregation omitted ASes of the path.
    AtomicAggregate = 6,
    /// The speaker that aggregated the route.
    Aggregator = 7,
    /// COMMUNITIES (RFC 1997).
    Communities = 8,
    /// ORIGINATOR_ID (RFC 4456).
    OriginatorId = 9,
    /// CLUSTER_LIST (RFC 4456).
    ClusterList = 10,
    /// Announced prefixes of a family other than IPv4 (RFC 4760); we also accept IPv4 prefixes in it.
    MpReachNlri = 14,
    /// Withdrawn prefixes of a family other than IPv4 (RFC 4760); we also accept IPv4 prefixes in it.
    MpUnreachNlri = 15,
    /// The AS_PATH with four-octet AS numbers, sent to a speaker that supports only two-octet AS numbers (RFC 6793).
    As4Path = 17,
    /// AS4_AGGREGATOR (RFC 6793).
    As4Aggregator = 18,
    /// LARGE_COMMUNITIES (RFC 8092).
    LargeCommunities = 32,
    /// ONLY_TO_CUSTOMER (RFC 9234).
    OnlyToCustomer = 35,
}

/// Attribute flags (RFC 4271 section 4.3).
pub(super) mod flag {
    pub const OPTIONAL: u8 = 0x80;
    pub const TRANSITIVE: u8 = 0x40;
    pub const EXTENDED_LENGTH: u8 = 0x10;
}

impl AttributeType {
    const ALL: [AttributeType; 16] = [
        AttributeType::Origin,
        AttributeType::AsPath,
        AttributeType::NextHop,
        AttributeType::MultiExitDisc,
        AttributeType::LocalPref,
        AttributeType::AtomicAggregate,
        AttributeType::Aggregator,
        AttributeType::Communities,
        AttributeType::OriginatorId,
        AttributeType::ClusterList,
        AttributeType::MpReachNlri,
        AttributeType::MpUnreachNlri,
        AttributeType::As4Path,
        AttributeType::As4Aggregator,
        AttributeType::LargeCommunities,
        AttributeType::OnlyToCustomer,
    ];

    pub(super) fn from_code(code: u8) -> Option<AttributeType> {
        AttributeType::ALL.into_iter().find(|attribute_type| *attribute_type as u8 == code)
    }

    /// The OPTIONAL and TRANSITIVE flags that an attribute of this type must have.
    pub(super) fn required_flags(self) -> u8 {
        use AttributeType::*;
        match self {
            Origin | AsPath | NextHop | LocalPref | AtomicAggregate => flag::TRANSITIVE,
            MultiExitDisc | OriginatorId | ClusterList | MpReachNlri | MpUnreachNlri => flag::OPTIONAL,
            Aggregator | Communities | As4Path | As4Aggregator | LargeCommunities | OnlyToCustomer => {
                flag::OPTIONAL | flag::TRANSITIVE
            }
        }
    }

    /// Whether the attribute contains prefixes itself, as MP_REACH_NLRI and MP_UNREACH_NLRI do. If it is malformed, the
    /// affected routes are unknown, so the session must end.
    pub(super) fn is_reachability(self) -> bool {
        matches!(self, AttributeType::MpReachNlri | AttributeType::MpUnreachNlri)
    }
}

impl fmt::Display for AttributeType {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            AttributeType::Origin => "ORIGIN",
            AttributeType::AsPath => "AS_PATH",
            AttributeType::NextHop => "NEXT_HOP",
            AttributeType::MultiExitDisc => "MULTI_EXIT_DISC",
            AttributeType::LocalPref => "LOCAL_PREF",
            AttributeType::AtomicAggregate => "ATOMIC_AGGREGATE",
            AttributeType::Aggregator => "AGGREGATOR",
            AttributeType::Communities => "COMMUNITIES",
            AttributeType::OriginatorId => "ORIGINATOR_ID",
            AttributeType::ClusterList => "CLUSTER_LIST",
            AttributeType::MpReachNlri => "MP_REACH_NLRI",
            AttributeType::MpUnreachNlri => "MP_UNREACH_NLRI",
            AttributeType::As4Path => "AS4_PATH",
            AttributeType::As4Aggregator => "AS4_AGGREGATOR",
            AttributeType::LargeCommunities => "LARGE_COMMUNITIES",
            AttributeType::OnlyToCustomer => "ONLY_TO_CUSTOMER",
        })
    }
}

/// Why announced routes are treated as withdrawn (RFC 7606 section 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The flags of an attribute are not those of its type.
    AttributeFlags,
    /// An attribute extends past the end of the attributes field of the UPDATE.
    AttributeTooLong,
    /// The value of an attribute is malformed.
    Malformed(AttributeType),
    /// An attribute that is mandatory for announced routes is missing.
    MissingMandatoryAttribute,
    /// The AS_PATH of a route from another AS does not begin with that AS (RFC 4271 section 6.3).
    FirstAsMismatch,
}

impl fmt::Display for RouteError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RouteError::AttributeFlags => {
                write!(formatter, "attribute flags do not match the attribute type")
            }
            RouteError::AttributeTooLong => {
                write!(formatter, "an attribute extends past the end of the attributes field")
            }
            RouteError::Malformed(attribute_type) => write!(formatter, "malformed {attribute_type}"),
            RouteError::MissingMandatoryAttribute => write!(formatter, "a mandatory attribute is missing"),
            RouteError::FirstAsMismatch => write!(formatter, "AS_PATH does not begin with the peer's AS"),
        }
    }
}

/// The values of ORIGIN (RFC 4271 section 4.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// The route originates within the originating AS (IGP).
    #[default]
    Igp = 0,
    /// Learned by EGP, the predecessor of BGP.
    Egp = 1,
    /// Learned by other means.
    Incomplete = 2,
}

impl Origin {
    pub(super) fn from_code(code: u8) -> Option<Origin> {
        match code {
            0 => Some(Origin::Igp),
            1 => Some(Origin::Egp),
            2 => Some(Origin::Incomplete),
            _ => None,
        }
    }
}

/// The types of AS_PATH segments, with their codes (RFC 4271 section 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentType {
    /// An unordered set of AS numbers, created by an aggregation.
    Set = 1,
    /// AS numbers in the order of the path, the nearest AS first.
    Sequence = 2,
}

/// One segment of an AS_PATH.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AsPathSegment {
    /// Whether the AS numbers are ordered.
    pub segment_type: SegmentType,
    /// AS numbers; at most 255, because their count is encoded in one octet.
    pub numbers: Vec<u32>,
}

impl AsPathSegment {
    /// An AS_SEQUENCE segment.
    pub fn sequence(numbers: Vec<u32>) -> AsPathSegment {
        AsPathSegment { segment_type: SegmentType::Sequence, numbers }
    }

    /// An AS_SET segment.
    pub fn set(numbers: Vec<u32>) -> AsPathSegment {
        AsPathSegment { segment_type: SegmentType::Set, numbers }
    }

    /// The number of hops; a set counts as one (RFC 4271 section 9.1.2.2).
    pub(super) fn hops(&self) -> usize {
        match self.segment_type {
            SegmentType::Set => 1,
            SegmentType::Sequence => self.numbers.len(),
        }
    }
}

/// The used attributes of one path; other known attributes are checked and ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathAttributes {
    /// ORIGIN.
    pub origin: Origin,
    /// AS_PATH, the nearest AS first, after AS4_PATH was merged into it.
    pub as_path: Vec<AsPathSegment>,
    /// NEXT_HOP, or the next hop in MP_REACH_NLRI.
    pub next_hop: Option<IpAddr>,
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// LOCAL_PREF; only in iBGP sessions.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
    /// ONLY_TO_CUSTOMER (RFC 9234).
    pub only_to_customer: Option<u32>,
}

impl PathAttributes {
    /// The length of the AS_PATH in hops; a set counts as one (RFC 4271 section 9.1.2.2).
    pub fn path_length(&self) -> usize {
        self.as_path.iter().map(AsPathSegment::hops).sum()
    }

    /// How often an AS number occurs in the AS_PATH.
    pub fn occurrences(&self, asn: u32) -> usize {
        let numbers = self.as_path.iter().flat_map(|segment| &segment.numbers);
        numbers.filter(|&&number| number == asn).count()
    }

    /// The nearest AS; `None` if the path is empty or begins with a set.
    pub fn first_as(&self) -> Option<u32> {
        let first = self.as_path.first().filter(|segment| segment.segment_type == SegmentType::Sequence)?;
        first.numbers.first().copied()
    }
}
