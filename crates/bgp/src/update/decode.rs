//! Decodes UPDATEs. For each error the least drastic reaction that RFC 7606 allows is chosen: the attribute is
//! discarded, the routes are treated as withdrawn, or the session ends.

use super::attributes::flag;
use super::{as_path, prefixes, AsPathSegment, AttributeType, Origin, RouteError, Update, UpdateContext};
use crate::error::{MessageError, UpdateError};
use crate::family::Family;
use crate::ByteReader;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr};

/// Octets of one community (RFC 1997).
const COMMUNITY_SIZE: usize = 4;
/// Octets of one large community (RFC 8092).
const LARGE_COMMUNITY_SIZE: usize = 12;

/// The three fields of the body of an UPDATE, not yet decoded.
struct Fields<'a> {
    withdrawn: &'a [u8],
    attributes: &'a [u8],
    nlri: &'a [u8],
}

impl Fields<'_> {
    /// Splits the body; `None` if its length fields exceed it.
    fn split(body: &[u8]) -> Option<Fields<'_>> {
        let mut bytes = ByteReader(body);
        let withdrawn_length = bytes.u16()?;
        let withdrawn = bytes.take(withdrawn_length.into())?;
        let attributes_length = bytes.u16()?;
        let attributes = bytes.take(attributes_length.into())?;
        Some(Fields { withdrawn, attributes, nlri: bytes.0 })
    }
}

/// One path attribute whose value is not yet decoded.
struct RawAttribute<'a> {
    flags: u8,
    code: u8,
    value: &'a [u8],
}

impl<'a> RawAttribute<'a> {
    /// Reads the next attribute; `None` if it extends past the remaining bytes.
    fn next(bytes: &mut ByteReader<'a>) -> Option<RawAttribute<'a>> {
        let flags = bytes.u8()?;
        let code = bytes.u8()?;
        let length = match flags & flag::EXTENDED_LENGTH {
            0 => usize::from(bytes.u8()?),
            _ => usize::from(bytes.u16()?),
        };
        Some(RawAttribute { flags, code, value: bytes.take(length)? })
    }
}

/// The content of MP_UNREACH_NLRI (RFC 4760 section 4).
struct Unreachable {
    family: Family,
    prefixes: Vec<IpNet>,
}

/// The state of decoding one UPDATE.
struct Decoder {
    context: UpdateContext,
    /// The type codes of the attributes so far, in order.
    seen_codes: Vec<u8>,
    /// The prefixes of MP_REACH_NLRI.
    reachable: Vec<IpNet>,
    unreachable: Option<Unreachable>,
    as4_path: Option<Vec<AsPathSegment>>,
    update: Update,
}

fn four_octets(value: &[u8]) -> Option<u32> {
    <[u8; 4]>::try_from(value).ok().map(u32::from_be_bytes)
}

/// Whether the value is a list of one or more elements of `size` octets.
fn is_list(value: &[u8], size: usize) -> bool {
    !value.is_empty() && value.len().is_multiple_of(size)
}

/// Checks an attribute of unknown type: it is ignored if it is optional, and ends the session otherwise.
fn check_unknown_attribute(flags: u8, code: u8) -> Result<(), MessageError> {
    if flags & flag::OPTIONAL != 0 {
        return Ok(());
    }
    let kind = UpdateError::UnrecognizedWellKnownAttribute;
    Err(MessageError::new(kind, "unrecognized well-known attribute").with_data(&[flags, code]))
}

impl Decoder {
    /// Records an error for which the announced routes are treated as withdrawn (RFC 7606); the first error is
    /// reported.
    fn treat_as_withdrawn(&mut self, error: RouteError) {
        self.update.treated_as_withdrawn.get_or_insert(error);
    }

    fn mark_malformed(&mut self, attribute_type: AttributeType) {
        self.treat_as_withdrawn(RouteError::Malformed(attribute_type));
    }

    /// Counts the attribute as discarded (RFC 7606) if the condition holds.
    fn count_discarded_if(&mut self, is_discarded: bool) {
        self.update.discarded += u32::from(is_discarded);
    }

    /// Decodes a value of four octets; with any other length the routes are treated as withdrawn.
    fn decode_u32(&mut self, attribute_type: AttributeType, value: &[u8]) -> Option<u32> {
        let number = four_octets(value);
        if number.is_none() {
            self.mark_malformed(attribute_type);
        }
        number
    }

    /// Decodes all attributes, up to the first one that extends past the end of the field.
    fn decode_attributes(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let mut bytes = ByteReader(bytes);
        while !bytes.is_empty() {
            let Some(attribute) = RawAttribute::next(&mut bytes) else {
                // RFC 7606 section 4: the remaining attributes can't be delimited, but the NLRI field is still known.
                self.treat_as_withdrawn(RouteError::AttributeTooLong);
                break;
            };
            self.decode_attribute(&attribute)?;
        }
        Ok(())
    }

    fn decode_attribute(&mut self, attribute: &RawAttribute) -> Result<(), MessageError> {
        let &RawAttribute { flags, code, value } = attribute;
        let known = AttributeType::from_code(code);
        if self.seen_codes.contains(&code) {
            if known.is_some_and(AttributeType::is_reachability) {
                let reason = "MP_REACH_NLRI or MP_UNREACH_NLRI appears twice";
                return Err(MessageError::new(UpdateError::MalformedAttributeList, reason));
            }
            // RFC 7606 section 3 g: repetitions of an attribute are discarded.
            self.count_discarded_if(true);
            return Ok(());
        }
        self.seen_codes.push(code);
        let Some(attribute_type) = known else {
            return check_unknown_attribute(flags, code);
        };
        if flags & (flag::OPTIONAL | flag::TRANSITIVE) != attribute_type.required_flags() {
            if attribute_type.is_reachability() {
                let reason = "wrong flags of MP_REACH_NLRI or MP_UNREACH_NLRI";
                return Err(MessageError::new(UpdateError::AttributeFlags, reason));
            }
            self.treat_as_withdrawn(RouteError::AttributeFlags);
            return Ok(());
        }
        match attribute_type {
            AttributeType::MpReachNlri => self.decode_mp_reach(value),
            AttributeType::MpUnreachNlri => self.decode_mp_unreach(value),
            _ => {
                self.decode_value(attribute_type, value);
                Ok(())
            }
        }
    }

    /// Decodes the value of an attribute whose errors never end the session (RFC 7606 section 7).
    fn decode_value(&mut self, attribute_type: AttributeType, value: &[u8]) {
        match attribute_type {
            AttributeType::Origin => self.decode_origin(value),
            AttributeType::AsPath => match as_path::decode(value, self.context.four_octet_as) {
                Some(path) => self.update.attributes.as_path = path,
                None => self.mark_malformed(attribute_type),
            },
            AttributeType::NextHop => {
                let next_hop =
                    self.decode_u32(attribute_type, value).map(|next_hop| Ipv4Addr::from(next_hop).into());
                // The next hop of MP_REACH_NLRI has precedence, whichever attribute comes first.
                self.update.attributes.next_hop = self.update.attributes.next_hop.or(next_hop);
            }
            AttributeType::MultiExitDisc => {
                self.update.attributes.med = self.decode_u32(attribute_type, value);
            }
            AttributeType::LocalPref | AttributeType::OriginatorId | AttributeType::ClusterList => {
                self.decode_internal_value(attribute_type, value);
            }
            AttributeType::AtomicAggregate => self.count_discarded_if(!value.is_empty()),
            AttributeType::Aggregator => {
                let size = if self.context.four_octet_as { 8 } else { 6 };
                self.count_discarded_if(value.len() != size);
            }
            AttributeType::Communities => self.decode_communities(value),
            AttributeType::LargeCommunities => self.decode_large_communities(value),
            AttributeType::OnlyToCustomer => {
                self.update.attributes.only_to_customer = self.decode_u32(attribute_type, value);
            }
            // RFC 6793 section 6: malformed AS4_PATH attributes are discarded, and so are AS4_PATH and AS4_AGGREGATOR
            // from a speaker that supports four-octet AS numbers and so does not need them.
            AttributeType::As4Path if !self.context.four_octet_as => {
                self.as4_path = as_path::decode(value, true);
                self.count_discarded_if(self.as4_path.is_none());
            }
            AttributeType::As4Path | AttributeType::As4Aggregator => {
                self.count_discarded_if(self.context.four_octet_as);
            }
            // These are decoded by `decode_mp_reach` and `decode_mp_unreach`, because their errors end the session.
            AttributeType::MpReachNlri | AttributeType::MpUnreachNlri => {}
        }
    }

    fn decode_origin(&mut self, value: &[u8]) {
        let origin = match value {
            &[code] => Origin::from_code(code),
            _ => None,
        };
        match origin {
            Some(origin) => self.update.attributes.origin = origin,
            None => self.mark_malformed(AttributeType::Origin),
        }
    }

    /// Decodes an attribute that is valid only in iBGP sessions. In other sessions it is discarded, malformed or not
    /// (RFC 7606 sections 7.5, 7.9, 7.10).
    fn decode_internal_value(&mut self, attribute_type: AttributeType, value: &[u8]) {
        if !self.context.internal {
            return self.count_discarded_if(true);
        }
        match attribute_type {
            AttributeType::LocalPref => {
                self.update.attributes.local_pref = self.decode_u32(attribute_type, value);
            }
            AttributeType::OriginatorId if value.len() != 4 => self.mark_malformed(attribute_type),
            AttributeType::ClusterList if !is_list(value, 4) => self.mark_malformed(attribute_type),
            _ => {}
        }
    }

    fn decode_communities(&mut self, value: &[u8]) {
        if !is_list(value, COMMUNITY_SIZE) {
            return self.mark_malformed(AttributeType::Communities);
        }
        let communities = value.chunks_exact(COMMUNITY_SIZE).filter_map(four_octets);
        self.update.attributes.communities = communities.collect();
    }

    fn decode_large_communities(&mut self, value: &[u8]) {
        if !is_list(value, LARGE_COMMUNITY_SIZE) {
            return self.mark_malformed(AttributeType::LargeCommunities);
        }
        let large_community = |value: &[u8]| {
            let part = |offset: usize| four_octets(&value[offset..offset + 4]).unwrap_or_default();
            [part(0), part(4), part(8)]
        };
        let communities = value.chunks_exact(LARGE_COMMUNITY_SIZE).map(large_community);
        self.update.attributes.large_communities = communities.collect();
    }

    /// Decodes MP_REACH_NLRI (RFC 4760 section 3). If it is malformed, the affected routes are unknown, so the session
    /// ends.
    fn decode_mp_reach(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let malformed = || MessageError::new(UpdateError::OptionalAttribute, "malformed MP_REACH_NLRI");
        let mut bytes = ByteReader(value);
        let afi = bytes.u16().ok_or_else(malformed)?;
        let safi = bytes.u8().ok_or_else(malformed)?;
        let next_hop = bytes.length_prefixed().ok_or_else(malformed)?;
        let _reserved = bytes.u8().ok_or_else(malformed)?;
        let Some(family) = Family::from_afi_safi(afi, safi) else { return Ok(()) };
        let next_hop = match (family, next_hop.len()) {
            (Family::Ipv4, 4) => IpAddr::from(<[u8; 4]>::try_from(next_hop).map_err(|_| malformed())?),
            // A link-local address may follow the global one (RFC 2545 section 3); it is ignored.
            (Family::Ipv6, 16 | 32) => {
                IpAddr::from(<[u8; 16]>::try_from(&next_hop[..16]).map_err(|_| malformed())?)
            }
            _ => return Err(malformed()),
        };
        prefixes::decode(bytes.0, family, &mut self.reachable).ok_or_else(malformed)?;
        self.update.attributes.next_hop = Some(next_hop);
        Ok(())
    }

    /// Decodes MP_UNREACH_NLRI (RFC 4760 section 4).
    fn decode_mp_unreach(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let malformed = || MessageError::new(UpdateError::OptionalAttribute, "malformed MP_UNREACH_NLRI");
        let mut bytes = ByteReader(value);
        let afi = bytes.u16().ok_or_else(malformed)?;
        let safi = bytes.u8().ok_or_else(malformed)?;
        let Some(family) = Family::from_afi_safi(afi, safi) else { return Ok(()) };
        let mut prefixes = Vec::new();
        prefixes::decode(bytes.0, family, &mut prefixes).ok_or_else(malformed)?;
        self.unreachable = Some(Unreachable { family, prefixes });
        Ok(())
    }

    /// Treats announced routes without a mandatory attribute as withdrawn (RFC 7606 section 3 d). NEXT_HOP is mandatory
    /// only for prefixes in the message's own NLRI field, LOCAL_PREF only in iBGP sessions.
    fn check_mandatory(&mut self, has_nlri: bool) {
        let missing = |attribute_type| !self.seen_codes.contains(&(attribute_type as u8));
        let is_any_missing = missing(AttributeType::Origin)
            || missing(AttributeType::AsPath)
            || has_nlri && missing(AttributeType::NextHop)
            || self.context.internal && missing(AttributeType::LocalPref);
        if is_any_missing {
            self.treat_as_withdrawn(RouteError::MissingMandatoryAttribute);
        }
    }

    /// The family whose End-of-RIB marker the UPDATE is (RFC 4724 section 2): IPv4 if the UPDATE is empty, or the
    /// family of an MP_UNREACH_NLRI without prefixes, if that is the only attribute.
    fn end_of_rib(&self, fields: &Fields, announces: bool) -> Option<Family> {
        if announces || !fields.withdrawn.is_empty() {
            return None;
        }
        match &self.unreachable {
            None => fields.attributes.is_empty().then_some(Family::Ipv4),
            Some(Unreachable { family, prefixes }) => {
                let is_marker =
                    prefixes.is_empty() && self.seen_codes == [AttributeType::MpUnreachNlri as u8];
                is_marker.then_some(*family)
            }
        }
    }
}

impl Update {
    /// Decodes the body of an UPDATE. Its memory use is bounded by the 4 KiB of a message: at most about four thousand
    /// prefixes, if each takes one octet.
    ///
    /// # Errors
    /// The errors that end the session under RFC 7606: the length fields exceed the message, a prefix is malformed,
    /// MP_REACH_NLRI or MP_UNREACH_NLRI is malformed, repeated or has wrong flags, or a well-known attribute is not
    /// recognized. All other errors are reported in the result.
    pub fn decode(body: &[u8], context: UpdateContext) -> Result<Update, MessageError> {
        let bad_lengths =
            || MessageError::new(UpdateError::MalformedAttributeList, "length fields exceed the UPDATE");
        let bad_prefix = || MessageError::new(UpdateError::InvalidNetworkField, "malformed prefix");
        let fields = Fields::split(body).ok_or_else(bad_lengths)?;
        let mut decoder = Decoder {
            context,
            seen_codes: Vec::new(),
            reachable: Vec::new(),
            unreachable: None,
            as4_path: None,
            update: Update::default(),
        };
        prefixes::decode(fields.withdrawn, Family::Ipv4, &mut decoder.update.withdrawn)
            .ok_or_else(bad_prefix)?;
        let mut announced = Vec::new();
        prefixes::decode(fields.nlri, Family::Ipv4, &mut announced).ok_or_else(bad_prefix)?;
        decoder.decode_attributes(fields.attributes)?;
        let has_nlri = !announced.is_empty();
        announced.append(&mut decoder.reachable);
        if !announced.is_empty() {
            decoder.check_mandatory(has_nlri);
        }
        let end_of_rib = decoder.end_of_rib(&fields, !announced.is_empty());
        Ok(decoder.finish(announced, end_of_rib))
    }
}

impl Decoder {
    fn finish(self, mut announced: Vec<IpNet>, end_of_rib: Option<Family>) -> Update {
        let mut update = self.update;
        update.end_of_rib = end_of_rib;
        if let Some(unreachable) = self.unreachable {
            update.withdrawn.extend(unreachable.prefixes);
        }
        let path = std::mem::take(&mut update.attributes.as_path);
        update.attributes.as_path = as_path::merge_as4(path, self.as4_path);
        match update.treated_as_withdrawn {
            Some(_) => update.withdrawn.append(&mut announced),
            None => update.announced = announced,
        }
        update
    }
}
