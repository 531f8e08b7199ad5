//! The path attributes of an UPDATE: their type codes, their flags, and the values that are of use here.

use std::net::IpAddr;

/// Attribute type codes (RFC 4271 section 5 unless another one is named).
pub(super) mod code {
    pub const ORIGIN: u8 = 1;
    pub const AS_PATH: u8 = 2;
    pub const NEXT_HOP: u8 = 3;
    pub const MULTI_EXIT_DISC: u8 = 4;
    pub const LOCAL_PREF: u8 = 5;
    pub const ATOMIC_AGGREGATE: u8 = 6;
    pub const AGGREGATOR: u8 = 7;
    /// RFC 1997.
    pub const COMMUNITIES: u8 = 8;
    /// RFC 4456.
    pub const ORIGINATOR_ID: u8 = 9;
    /// RFC 4456.
    pub const CLUSTER_LIST: u8 = 10;
    /// RFC 4760.
    pub const MP_REACH_NLRI: u8 = 14;
    /// RFC 4760.
    pub const MP_UNREACH_NLRI: u8 = 15;
    /// RFC 6793.
    pub const AS4_PATH: u8 = 17;
    /// RFC 6793.
    pub const AS4_AGGREGATOR: u8 = 18;
    /// RFC 8092.
    pub const LARGE_COMMUNITIES: u8 = 32;
    /// RFC 9234.
    pub const ONLY_TO_CUSTOMER: u8 = 35;
}

/// Attribute flags (RFC 4271 section 4.3).
pub(super) mod flag {
    pub const OPTIONAL: u8 = 0x80;
    pub const TRANSITIVE: u8 = 0x40;
    pub const EXTENDED_LENGTH: u8 = 0x10;
}

/// The OPTIONAL and TRANSITIVE flags that a known attribute must have; none where its type is unknown.
pub(super) fn required_flags(type_code: u8) -> Option<u8> {
    use code::*;
    use flag::{OPTIONAL, TRANSITIVE};
    match type_code {
        ORIGIN..=NEXT_HOP | LOCAL_PREF | ATOMIC_AGGREGATE => Some(TRANSITIVE),
        MULTI_EXIT_DISC | ORIGINATOR_ID | CLUSTER_LIST | MP_REACH_NLRI | MP_UNREACH_NLRI => Some(OPTIONAL),
        AGGREGATOR | COMMUNITIES | AS4_PATH | AS4_AGGREGATOR | LARGE_COMMUNITIES | ONLY_TO_CUSTOMER => {
            Some(OPTIONAL | TRANSITIVE)
        }
        _ => None,
    }
}

/// One segment of an AS_PATH: a sequence, or a set that counts as one hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    pub set: bool,
    pub numbers: Vec<u32>,
}

impl Segment {
    /// Hops, a set counted as one (RFC 4271 section 9.1.2.2).
    pub(super) fn hops(&self) -> usize {
        if self.set {
            1
        } else {
            self.numbers.len()
        }
    }
}

/// The attributes of one path that are of use here; others are checked and passed over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attributes {
    /// 0 IGP, 1 EGP, 2 incomplete.
    pub origin: u8,
    pub as_path: Vec<Segment>,
    pub next_hop: Option<IpAddr>,
    pub med: Option<u32>,
    pub local_pref: Option<u32>,
    /// RFC 1997.
    pub communities: Vec<u32>,
    /// RFC 8092.
    pub large: Vec<[u32; 3]>,
    /// ONLY TO CUSTOMER, RFC 9234.
    pub only_to_customer: Option<u32>,
}

impl Attributes {
    /// Hops, a set counted as one (RFC 4271 section 9.1.2.2).
    pub fn path_length(&self) -> usize {
        self.as_path.iter().map(Segment::hops).sum()
    }

    pub fn times_in_path(&self, asn: u32) -> usize {
        self.as_path.iter().flat_map(|segment| &segment.numbers).filter(|&&number| number == asn).count()
    }

    pub fn first_as(&self) -> Option<u32> {
        self.as_path.first().filter(|segment| !segment.set)?.numbers.first().copied()
    }
}
