//! Encodes UPDATEs: announcements, withdrawals and the End-of-RIB marker.

use super::attributes::{flag, AttributeType};
use super::{as_path, prefixes, PathAttributes, UpdateContext};
use crate::family::Family;
use crate::message::{self, MessageType, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The octets of both length fields of an UPDATE.
const LENGTH_FIELDS: usize = 4;
/// The octets that MP_REACH_NLRI or MP_UNREACH_NLRI may take in addition to its prefixes: flags, type and extended
/// length (4), AFI and SAFI (3), the next hop with its length (17), the reserved octet (1), and a margin.
const REACHABILITY_OVERHEAD: usize = 32;
/// AFI and SAFI of IPv6 unicast.
const IPV6_UNICAST: [u8; 3] = [0, 2, 1];
/// The LOCAL_PREF that is sent in iBGP sessions if the attributes contain none: the usual default of routers.
const DEFAULT_LOCAL_PREF: u32 = 100;

/// Appends one path attribute to `out`, with an extended length if its value needs one.
pub(super) fn write_attribute(out: &mut Vec<u8>, flags: u8, attribute_type: AttributeType, value: &[u8]) {
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

/// Encodes the attributes in the order of their codes (RFC 4271 section 5), except MP_REACH_NLRI and MP_UNREACH_NLRI.
/// `next_hop` is the next hop of the message's own NLRI field; `None` if that field is empty.
fn encode_attributes(
    attributes: &PathAttributes,
    context: UpdateContext,
    next_hop: Option<Ipv4Addr>,
) -> Vec<u8> {
    use flag::{OPTIONAL, TRANSITIVE};
    let as_path = &attributes.as_path;
    let mut out = Vec::new();
    write_attribute(&mut out, TRANSITIVE, AttributeType::Origin, &[attributes.origin as u8]);
    write_attribute(
        &mut out,
        TRANSITIVE,
        AttributeType::AsPath,
        &as_path::encode(as_path, context.four_octet_as),
    );
    if let Some(address) = next_hop {
        write_attribute(&mut out, TRANSITIVE, AttributeType::NextHop, &address.octets());
    }
    if let Some(med) = attributes.med {
        write_attribute(&mut out, OPTIONAL, AttributeType::MultiExitDisc, &med.to_be_bytes());
    }
    if context.internal {
        let preference = attributes.local_pref.unwrap_or(DEFAULT_LOCAL_PREF);
        write_attribute(&mut out, TRANSITIVE, AttributeType::LocalPref, &preference.to_be_bytes());
    }
    if !attributes.communities.is_empty() {
        let value: Vec<u8> =
            attributes.communities.iter().flat_map(|community| community.to_be_bytes()).collect();
        write_attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::Communities, &value);
    }
    if !context.four_octet_as && has_four_octet_as(attributes) {
        write_attribute(
            &mut out,
            OPTIONAL | TRANSITIVE,
            AttributeType::As4Path,
            &as_path::encode(as_path, true),
        );
    }
    if !attributes.large_communities.is_empty() {
        let value: Vec<u8> =
            attributes.large_communities.iter().flatten().flat_map(|part| part.to_be_bytes()).collect();
        write_attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::LargeCommunities, &value);
    }
    if let Some(asn) = attributes.only_to_customer {
        write_attribute(&mut out, OPTIONAL | TRANSITIVE, AttributeType::OnlyToCustomer, &asn.to_be_bytes());
    }
    out
}

/// Whether an AS number of the path does not fit in two octets.
fn has_four_octet_as(attributes: &PathAttributes) -> bool {
    let mut numbers = attributes.as_path.iter().flat_map(|segment| &segment.numbers);
    numbers.any(|&number| number > u16::MAX.into())
}

/// Encodes the prefixes of one family in chunks, each of which fits in one message together with `attributes_length`
/// octets of attributes. There is no chunk if the attributes leave no space for a prefix.
fn encode_chunks<'a>(nets: &'a [IpNet], attributes_length: usize) -> impl Iterator<Item = Vec<u8>> + 'a {
    let max_chunk_size = MAX_MESSAGE_LENGTH
        .saturating_sub(HEADER_LENGTH + LENGTH_FIELDS + attributes_length + REACHABILITY_OVERHEAD);
    let mut rest = nets.iter().peekable();
    std::iter::from_fn(move || {
        rest.peek()?;
        let mut bytes = Vec::new();
        while let Some(net) = rest.next_if(|_| bytes.len() + prefixes::MAX_PREFIX_SIZE <= max_chunk_size) {
            prefixes::encode(&mut bytes, net);
        }
        Some(bytes).filter(|bytes| !bytes.is_empty())
    })
}

/// Appends one UPDATE with these three encoded fields.
fn write_update(out: &mut Vec<u8>, withdrawn: &[u8], attributes: &[u8], nlri: &[u8]) {
    message::encode(out, MessageType::Update, |out| {
        out.extend((withdrawn.len() as u16).to_be_bytes());
        out.extend(withdrawn);
        out.extend((attributes.len() as u16).to_be_bytes());
        out.extend(attributes);
        out.extend(nlri);
    });
}

/// Appends UPDATEs that announce prefixes of one family with the same attributes. IPv4 prefixes are written to the
/// message's own NLRI field, IPv6 prefixes to MP_REACH_NLRI. Nothing is written if the next hop is missing or not of
/// the same family.
pub fn announce(
    out: &mut Vec<u8>,
    family: Family,
    nets: &[IpNet],
    attributes: &PathAttributes,
    context: UpdateContext,
) {
    match (family, attributes.next_hop) {
        (Family::Ipv4, Some(IpAddr::V4(hop))) => {
            let encoded_attributes = encode_attributes(attributes, context, Some(hop));
            for nlri in encode_chunks(nets, encoded_attributes.len()) {
                write_update(out, &[], &encoded_attributes, &nlri);
            }
        }
        (Family::Ipv6, Some(IpAddr::V6(hop))) => {
            let encoded_attributes = encode_attributes(attributes, context, None);
            for nlri in encode_chunks(nets, encoded_attributes.len()) {
                let mut with_reach = encoded_attributes.clone();
                write_attribute(
                    &mut with_reach,
                    flag::OPTIONAL,
                    AttributeType::MpReachNlri,
                    &mp_reach(hop, &nlri),
                );
                write_update(out, &[], &with_reach, &[]);
            }
        }
        _ => {}
    }
}

/// Encodes the value of MP_REACH_NLRI (RFC 4760 section 3) for IPv6.
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

/// Appends UPDATEs that withdraw prefixes of one family.
pub fn withdraw(out: &mut Vec<u8>, family: Family, nets: &[IpNet]) {
    for prefixes in encode_chunks(nets, 0) {
        write_withdrawal(out, family, &prefixes);
    }
}

/// Appends one UPDATE that withdraws these encoded prefixes; without prefixes it is the End-of-RIB marker.
fn write_withdrawal(out: &mut Vec<u8>, family: Family, prefixes: &[u8]) {
    match family {
        Family::Ipv4 => write_update(out, prefixes, &[], &[]),
        Family::Ipv6 => {
            let mut attributes = Vec::new();
            let value = [&IPV6_UNICAST, prefixes].concat();
            write_attribute(&mut attributes, flag::OPTIONAL, AttributeType::MpUnreachNlri, &value);
            write_update(out, &[], &attributes, &[]);
        }
    }
}

/// Appends the End-of-RIB marker of a family (RFC 4724 section 2).
pub fn end_of_rib(out: &mut Vec<u8>, family: Family) {
    write_withdrawal(out, family, &[]);
}
