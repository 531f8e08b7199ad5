//! The path attributes of an UPDATE: their types, their flags, and the values that are of use here.

use std::fmt;
use std::net::IpAddr;

/// The types of path attributes that are checked (RFC 4271 section 5 unless another document is named), with their
/// codes. Others are ignored where they are optional.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttributeType {
    /// How the route came into BGP.
    Origin = 1,
    /// The autonomous systems that the route passed.
    AsPath = 2,
    /// Where packets for the prefixes of the NLRI field are sent.
    NextHop = 3,
    /// MULTI_EXIT_DISC: which of several links into one AS is preferred; lower is better.
    MultiExitDisc = 4,
    /// The preference of a route within one AS; higher is better.
    LocalPref = 5,
    /// Parts of the path were left out by an aggregation.
    AtomicAggregate = 6,
    /// Who aggregated the route.
    Aggregator = 7,
    /// RFC 1997.
    Communities = 8,
    /// RFC 4456.
    OriginatorId = 9,
    /// RFC 4456.
    ClusterList = 10,
    /// RFC 4760: announced prefixes of another family than IPv4.
    MpReachNlri = 14,
    /// RFC 4760: withdrawn prefixes of another family than IPv4.
    MpUnreachNlri = 15,
    /// RFC 6793: the AS_PATH in four octets each, for a speaker of two.
    As4Path = 17,
    /// RFC 6793.
    As4Aggregator = 18,
    /// RFC 8092.
    LargeCommunities = 32,
    /// RFC 9234.
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

    /// The OPTIONAL and TRANSITIVE flags that it must have.
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

    /// It names prefixes itself: where it is malformed, the routes that are meant are unknown.
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
    /// An attribute is longer than what is left of the UPDATE.
    AttributeTooLong,
    /// The value of an attribute can't be read.
    Malformed(AttributeType),
    /// An attribute that every such route must have is missing.
    MissingMandatoryAttribute,
    /// The AS_PATH of a route from another AS does not begin with that AS (RFC 4271 section 6.3).
    FirstAsMismatch,
}

impl fmt::Display for RouteError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RouteError::AttributeFlags => write!(formatter, "the flags of an attribute"),
            RouteError::AttributeTooLong => write!(formatter, "an attribute longer than its UPDATE"),
            RouteError::Malformed(attribute_type) => write!(formatter, "malformed {attribute_type}"),
            RouteError::MissingMandatoryAttribute => write!(formatter, "a mandatory attribute is missing"),
            RouteError::FirstAsMismatch => write!(formatter, "the path does not begin with the peer's AS"),
        }
    }
}

/// The values of ORIGIN (RFC 4271 section 4.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// The route began within its AS.
    #[default]
    Igp = 0,
    /// Learned by EGP, the protocol before BGP.
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
    /// AS numbers without an order, from an aggregation.
    Set = 1,
    /// AS numbers in the order of the path, the nearest first.
    Sequence = 2,
}

/// One segment of an AS_PATH.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AsPathSegment {
    /// Whether the numbers have an order.
    pub segment_type: SegmentType,
    /// AS numbers; 255 at most fit a message.
    pub numbers: Vec<u32>,
}

impl AsPathSegment {
    /// AS numbers in the order of the path.
    pub fn sequence(numbers: Vec<u32>) -> AsPathSegment {
        AsPathSegment { segment_type: SegmentType::Sequence, numbers }
    }

    /// AS numbers without an order.
    pub fn set(numbers: Vec<u32>) -> AsPathSegment {
        AsPathSegment { segment_type: SegmentType::Set, numbers }
    }

    /// Hops, a set counted as one (RFC 4271 section 9.1.2.2).
    pub(super) fn hops(&self) -> usize {
        match self.segment_type {
            SegmentType::Set => 1,
            SegmentType::Sequence => self.numbers.len(),
        }
    }
}

/// The attributes of one path that are of use here; others are checked and ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathAttributes {
    /// ORIGIN.
    pub origin: Origin,
    /// AS_PATH, the nearest AS first; AS4_PATH is merged into it.
    pub as_path: Vec<AsPathSegment>,
    /// NEXT_HOP, or the next hop in MP_REACH_NLRI.
    pub next_hop: Option<IpAddr>,
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// LOCAL_PREF; within one AS only.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
    /// ONLY_TO_CUSTOMER (RFC 9234).
    pub only_to_customer: Option<u32>,
}

impl PathAttributes {
    /// The length of the AS_PATH in hops, a set counted as one (RFC 4271 section 9.1.2.2).
    pub fn path_length(&self) -> usize {
        self.as_path.iter().map(AsPathSegment::hops).sum()
    }

    /// How often an AS stands in the AS_PATH.
    pub fn occurrences(&self, asn: u32) -> usize {
        let numbers = self.as_path.iter().flat_map(|segment| &segment.numbers);
        numbers.filter(|&&number| number == asn).count()
    }

    /// The nearest AS; `None` where the path is empty or begins with a set.
    pub fn first_as(&self) -> Option<u32> {
        let first = self.as_path.first().filter(|segment| segment.segment_type == SegmentType::Sequence)?;
        first.numbers.first().copied()
    }
}
