//! Writes UPDATEs: announcements, withdrawals and the End-of-RIB marker.

use super::attributes::{flag, AttributeType};
use super::{as_path, prefixes, PathAttributes, UpdateContext};
use crate::family::Family;
use crate::message::{self, MessageType, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Both length fields of an UPDATE.
const LENGTH_FIELDS: usize = 4;
/// What an attribute of reachability may take beside its prefixes: flags, type and extended length (4 octets), AFI and
/// SAFI (3), the next hop with its length (17), the reserved octet, and some to spare.
const REACHABILITY_OVERHEAD: usize = 32;
/// AFI and SAFI of IPv6 unicast.
const IPV6_UNICAST: [u8; 3] = [0, 2, 1];
/// What LOCAL_PREF says within one AS where the path names none: the usual default of routers.
const DEFAULT_LOCAL_PREF: u32 = 100;

/// Writes one path attribute, with an extended length where its value needs one.
pub(super) fn attribute(out: &mut Vec<u8>, flags: u8, attribute_type: AttributeType, value: &[u8]) {
    let code = attribute_type as u8;
    match u8::try_from(value.len()) {
        Ok(length) => out.extend([flags, code, length]),
        Err(_) => {
            out.extend([flags | flag::EXTENDED_LENGTH, code]);
            out.extend((value.len() as u16).to_be_bytes());
        }
    }
    out.extend(value);
}

/// The attributes in the order of their codes (RFC 4271 section 5), but those of reachability. `next_hop` is that
/// of the message's own NLRI field.
fn encode_attributes(
    attributes: &PathAttributes,
    context: UpdateContext,
    next_hop: Option<Ipv4Addr>,
) -> Vec<u8> {
    use flag::{OPTIONAL, TRANSITIVE};
    let as_path = &attributes.as_path;
    let mut out = Vec::new();
    attribute(&mut out, TRANSITIVE, AttributeType::Origin, &[attributes.origin as u8]);
    attribute(&mut out, TRANSITIVE, AttributeType::AsPath, &as_path::encode(as_path, context.four_octet_as));
    if let Some(hop) = next_hop {
        attribute(&mut out, TRANSITIVE, AttributeType::NextHop, &hop.octets());
    }
    if let Some(med) = attributes.med {
        attribute(&mut out, OPTIONAL, AttributeType::MultiExitDisc, &med.to_be_bytes());
    }
    if context.internal {
        let preference = attributes.local_pref.unwrap_or(DEFAULT_LOCAL_PREF);
        attribute(&mut out, TRANSITIVE, AttributeType::LocalPref, &preference.to_be_bytes());
    }
    if !attributes.communities.is_empty() {
        let value: Vec<u8> = attributes.communities.iter().flat_map(|one| one.to_be_bytes()).collect();
        attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::Communities, &value);
    }
    if !context.four_octet_as && has_four_octet_as(attributes) {
        attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::As4Path, &as_path::encode(as_path, true));
    }
    if !attributes.large_communities.is_empty() {
        let value: Vec<u8> =
            attributes.large_communities.iter().flatten().flat_map(|part| part.to_be_bytes()).collect();
        attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::LargeCommunities, &value);
    }
    if let Some(asn) = attributes.only_to_customer {
        attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::OnlyToCustomer, &asn.to_be_bytes());
    }
    out
}

/// Some AS of the path does not fit two octets.
fn has_four_octet_as(attributes: &PathAttributes) -> bool {
    let mut numbers = attributes.as_path.iter().flat_map(|segment| &segment.numbers);
    numbers.any(|&number| number > u16::MAX.into())
}

/// The prefixes of one family on the context, in parts that fit one message each beside so many octets of attributes.
fn chunks<'a>(nets: &'a [IpNet], attributes_length: usize) -> impl Iterator<Item = Vec<u8>> + 'a {
    let room = MAX_MESSAGE_LENGTH
        .saturating_sub(HEADER_LENGTH + LENGTH_FIELDS + attributes_length + REACHABILITY_OVERHEAD);
    let mut rest = nets.iter().peekable();
    std::iter::from_fn(move || {
        rest.peek()?;
        let mut bytes = Vec::new();
        while let Some(net) = rest.next_if(|_| bytes.len() + prefixes::MAX_PREFIX_SIZE <= room) {
            prefixes::encode(&mut bytes, net);
        }
        Some(bytes).filter(|bytes| !bytes.is_empty())
    })
}

/// Writes one UPDATE of these three parts.
fn put_update(out: &mut Vec<u8>, withdrawn: &[u8], attributes: &[u8], nlri: &[u8]) {
    message::encode(out, MessageType::Update, |out| {
        out.extend((withdrawn.len() as u16).to_be_bytes());
        out.extend(withdrawn);
        out.extend((attributes.len() as u16).to_be_bytes());
        out.extend(attributes);
        out.extend(nlri);
    });
}

/// Writes UPDATEs that announce prefixes of one family with the same attributes. IPv4 goes in the message's own fields,
/// IPv6 in MP_REACH_NLRI; the next hop must be of the family.
pub fn announce(
    out: &mut Vec<u8>,
    family: Family,
    nets: &[IpNet],
    attributes: &PathAttributes,
    context: UpdateContext,
) {
    match (family, attributes.next_hop) {
        (Family::Ipv4, Some(IpAddr::V4(hop))) => {
            let fixed = encode_attributes(attributes, context, Some(hop));
            for nlri in chunks(nets, fixed.len()) {
                put_update(out, &[], &fixed, &nlri);
            }
        }
        (Family::Ipv6, Some(IpAddr::V6(hop))) => {
            let fixed = encode_attributes(attributes, context, None);
            for nlri in chunks(nets, fixed.len()) {
                let mut all = fixed.clone();
                attribute(&mut all, flag::OPTIONAL, AttributeType::MpReachNlri, &mp_reach(hop, &nlri));
                put_update(out, &[], &all, &[]);
            }
        }
        _ => {}
    }
}

/// The value of MP_REACH_NLRI (RFC 4760 section 3) for IPv6.
fn mp_reach(next_hop: Ipv6Addr, nlri: &[u8]) -> Vec<u8> {
    const RESERVED: u8 = 0;
    let hop = next_hop.octets();
    let mut value = IPV6_UNICAST.to_vec();
    value.push(hop.len() as u8);
    value.extend(hop);
    value.push(RESERVED);
    value.extend(nlri);
    value
}

/// Writes UPDATEs that withdraw prefixes of one family.
pub fn withdraw(out: &mut Vec<u8>, family: Family, nets: &[IpNet]) {
    for prefixes in chunks(nets, 0) {
        put_withdrawal(out, family, &prefixes);
    }
}

fn put_withdrawal(out: &mut Vec<u8>, family: Family, prefixes: &[u8]) {
    match family {
        Family::Ipv4 => put_update(out, prefixes, &[], &[]),
        Family::Ipv6 => {
            let mut attributes = Vec::new();
            let value = [&IPV6_UNICAST, prefixes].concat();
            attribute(&mut attributes, flag::OPTIONAL, AttributeType::MpUnreachNlri, &value);
            put_update(out, &[], &attributes, &[]);
        }
    }
}

/// The End-of-RIB marker (RFC 4724 section 2).
pub fn end_of_rib(out: &mut Vec<u8>, family: Family) {
    put_withdrawal(out, family, &[]);
}
