//! Reads an UPDATE. Each error costs as little as RFC 7606 allows: the attribute is discarded, the routes are treated as
//! withdrawn, or the session ends.

use super::attributes::flag;
use super::{as_path, prefixes, AsPathSegment, AttributeType, Origin, RouteError, Update, UpdateContext};
use crate::error::{MessageError, UpdateError};
use crate::family::Family;
use crate::Bytes;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr};

/// Octets of one community (RFC 1997) and of one large community (RFC 8092).
const COMMUNITY_SIZE: usize = 4;
const LARGE_COMMUNITY_SIZE: usize = 12;

/// The three parts of the body, not yet read.
struct Fields<'a> {
    withdrawn: &'a [u8],
    attributes: &'a [u8],
    nlri: &'a [u8],
}

impl Fields<'_> {
    fn split(body: &[u8]) -> Option<Fields<'_>> {
        let mut bytes = Bytes(body);
        let withdrawn_length = bytes.u16()?;
        let withdrawn = bytes.take(withdrawn_length.into())?;
        let attributes_length = bytes.u16()?;
        let attributes = bytes.take(attributes_length.into())?;
        Some(Fields { withdrawn, attributes, nlri: bytes.0 })
    }
}

/// One path attribute as it came.
struct RawAttribute<'a> {
    flags: u8,
    code: u8,
    value: &'a [u8],
}

impl<'a> RawAttribute<'a> {
    /// The next one; none where it is longer than what is left.
    fn next(bytes: &mut Bytes<'a>) -> Option<RawAttribute<'a>> {
        let flags = bytes.u8()?;
        let code = bytes.u8()?;
        let length = match flags & flag::EXTENDED_LENGTH {
            0 => usize::from(bytes.u8()?),
            _ => usize::from(bytes.u16()?),
        };
        Some(RawAttribute { flags, code, value: bytes.take(length)? })
    }
}

/// MP_UNREACH_NLRI (RFC 4760 section 4).
struct Unreachable {
    family: Family,
    prefixes: Vec<IpNet>,
}

/// What an UPDATE holds so far.
struct Decoder {
    context: UpdateContext,
    /// The codes of the attributes that were met, in order.
    seen: Vec<u8>,
    /// The prefixes of MP_REACH_NLRI.
    reachable: Vec<IpNet>,
    unreachable: Option<Unreachable>,
    as4_path: Option<Vec<AsPathSegment>>,
    update: Update,
}

fn four_octets(value: &[u8]) -> Option<u32> {
    <[u8; 4]>::try_from(value).ok().map(u32::from_be_bytes)
}

/// The value is a list of one or more parts of this size.
fn is_list(value: &[u8], size: usize) -> bool {
    !value.is_empty() && value.len().is_multiple_of(size)
}

/// An attribute of unknown type: ignored where it is optional.
fn unknown_attribute(flags: u8, code: u8) -> Result<(), MessageError> {
    if flags & flag::OPTIONAL != 0 {
        return Ok(());
    }
    let kind = UpdateError::UnrecognizedWellKnownAttribute;
    Err(MessageError::new(kind, "an unknown well-known attribute").with(&[flags, code]))
}

impl Decoder {
    /// RFC 7606: an error that costs the routes alone; the first one is reported.
    fn treat_as_withdrawn(&mut self, error: RouteError) {
        self.update.treated_as_withdrawn.get_or_insert(error);
    }

    fn malformed(&mut self, attribute_type: AttributeType) {
        self.treat_as_withdrawn(RouteError::Malformed(attribute_type));
    }

    /// RFC 7606: an error that costs the attribute alone.
    fn discard_if(&mut self, malformed: bool) {
        self.update.discarded += u32::from(malformed);
    }

    /// A value of four octets; one of another length costs the routes.
    fn number(&mut self, attribute_type: AttributeType, value: &[u8]) -> Option<u32> {
        let number = four_octets(value);
        if number.is_none() {
            self.malformed(attribute_type);
        }
        number
    }

    /// All attributes, as far as their bounds are known.
    fn attributes(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let mut bytes = Bytes(bytes);
        while !bytes.is_empty() {
            let Some(attribute) = RawAttribute::next(&mut bytes) else {
                // RFC 7606 section 4: the bounds of the rest are unknown, the routes are known all the same.
                self.treat_as_withdrawn(RouteError::AttributeTooLong);
                break;
            };
            self.attribute(&attribute)?;
        }
        Ok(())
    }

    fn attribute(&mut self, attribute: &RawAttribute) -> Result<(), MessageError> {
        let &RawAttribute { flags, code, value } = attribute;
        let known = AttributeType::from_code(code);
        if self.seen.contains(&code) {
            if known.is_some_and(AttributeType::is_reachability) {
                let reason = "an attribute of reachability twice";
                return Err(MessageError::new(UpdateError::MalformedAttributeList, reason));
            }
            // RFC 7606 section 3 g: all but the first are discarded.
            self.discard_if(true);
            return Ok(());
        }
        self.seen.push(code);
        let Some(attribute_type) = known else {
            return unknown_attribute(flags, code);
        };
        if flags & (flag::OPTIONAL | flag::TRANSITIVE) != attribute_type.required_flags() {
            if attribute_type.is_reachability() {
                let reason = "flags of an attribute of reachability";
                return Err(MessageError::new(UpdateError::AttributeFlags, reason));
            }
            self.treat_as_withdrawn(RouteError::AttributeFlags);
            return Ok(());
        }
        match attribute_type {
            AttributeType::MpReachNlri => self.mp_reach(value),
            AttributeType::MpUnreachNlri => self.mp_unreach(value),
            _ => {
                self.value(attribute_type, value);
                Ok(())
            }
        }
    }

    /// The value of an attribute whose errors never end the session (RFC 7606 section 7).
    fn value(&mut self, attribute_type: AttributeType, value: &[u8]) {
        match attribute_type {
            AttributeType::Origin => self.origin(value),
            AttributeType::AsPath => match as_path::decode(value, self.context.four_octet_as) {
                Some(path) => self.update.attributes.as_path = path,
                None => self.malformed(attribute_type),
            },
            AttributeType::NextHop => {
                let hop = self.number(attribute_type, value).map(|hop| Ipv4Addr::from(hop).into());
                // That of MP_REACH_NLRI, where it came first, is kept.
                self.update.attributes.next_hop = self.update.attributes.next_hop.or(hop);
            }
            AttributeType::MultiExitDisc => {
                self.update.attributes.med = self.number(attribute_type, value);
            }
            AttributeType::LocalPref | AttributeType::OriginatorId | AttributeType::ClusterList => {
                self.internal_value(attribute_type, value);
            }
            AttributeType::AtomicAggregate => self.discard_if(!value.is_empty()),
            AttributeType::Aggregator => {
                let size = if self.context.four_octet_as { 8 } else { 6 };
                self.discard_if(value.len() != size);
            }
            AttributeType::Communities => self.communities(value),
            AttributeType::LargeCommunities => self.large_communities(value),
            AttributeType::OnlyToCustomer => {
                self.update.attributes.only_to_customer = self.number(attribute_type, value);
            }
            // RFC 6793 section 6: malformed ones are discarded, and so are those of a speaker that needs none.
            AttributeType::As4Path if !self.context.four_octet_as => {
                self.as4_path = as_path::decode(value, true);
                self.discard_if(self.as4_path.is_none());
            }
            AttributeType::As4Path | AttributeType::As4Aggregator => {
                self.discard_if(self.context.four_octet_as);
            }
            // Read by their own functions, as their errors end the session.
            AttributeType::MpReachNlri | AttributeType::MpUnreachNlri => {}
        }
    }

    fn origin(&mut self, value: &[u8]) {
        let origin = match value {
            &[code] => Origin::from_code(code),
            _ => None,
        };
        match origin {
            Some(origin) => self.update.attributes.origin = origin,
            None => self.malformed(AttributeType::Origin),
        }
    }

    /// Attributes that mean something within one AS alone. From another AS they are discarded, well formed or not
    /// (RFC 7606 sections 7.5, 7.9, 7.10).
    fn internal_value(&mut self, attribute_type: AttributeType, value: &[u8]) {
        if !self.context.internal {
            return self.discard_if(true);
        }
        match attribute_type {
            AttributeType::LocalPref => {
                self.update.attributes.local_pref = self.number(attribute_type, value);
            }
            AttributeType::OriginatorId if value.len() != 4 => self.malformed(attribute_type),
            AttributeType::ClusterList if !is_list(value, 4) => self.malformed(attribute_type),
            _ => {}
        }
    }

    fn communities(&mut self, value: &[u8]) {
        if !is_list(value, COMMUNITY_SIZE) {
            return self.malformed(AttributeType::Communities);
        }
        let communities = value.chunks_exact(COMMUNITY_SIZE).filter_map(four_octets);
        self.update.attributes.communities = communities.collect();
    }

    fn large_communities(&mut self, value: &[u8]) {
        if !is_list(value, LARGE_COMMUNITY_SIZE) {
            return self.malformed(AttributeType::LargeCommunities);
        }
        let parts = |value: &[u8]| {
            let part = |at: usize| four_octets(&value[at..at + 4]).unwrap_or_default();
            [part(0), part(4), part(8)]
        };
        let communities = value.chunks_exact(LARGE_COMMUNITY_SIZE).map(parts);
        self.update.attributes.large_communities = communities.collect();
    }

    /// RFC 4760 section 3. Where it can't be read, the routes that are meant are unknown: the session ends.
    fn mp_reach(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let malformed = || MessageError::new(UpdateError::OptionalAttribute, "malformed MP_REACH_NLRI");
        let mut bytes = Bytes(value);
        let afi = bytes.u16().ok_or_else(malformed)?;
        let safi = bytes.u8().ok_or_else(malformed)?;
        let hop = bytes.part().ok_or_else(malformed)?;
        let _reserved = bytes.u8().ok_or_else(malformed)?;
        let Some(family) = Family::of(afi, safi) else { return Ok(()) };
        let hop = match (family, hop.len()) {
            (Family::Ipv4, 4) => IpAddr::from(<[u8; 4]>::try_from(hop).map_err(|_| malformed())?),
            // A link-local one may stand behind (RFC 2545 section 3).
            (Family::Ipv6, 16 | 32) => {
                IpAddr::from(<[u8; 16]>::try_from(&hop[..16]).map_err(|_| malformed())?)
            }
            _ => return Err(malformed()),
        };
        prefixes::decode(bytes.0, family, &mut self.reachable).ok_or_else(malformed)?;
        self.update.attributes.next_hop = Some(hop);
        Ok(())
    }

    /// RFC 4760 section 4.
    fn mp_unreach(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let malformed = || MessageError::new(UpdateError::OptionalAttribute, "malformed MP_UNREACH_NLRI");
        let mut bytes = Bytes(value);
        let afi = bytes.u16().ok_or_else(malformed)?;
        let safi = bytes.u8().ok_or_else(malformed)?;
        let Some(family) = Family::of(afi, safi) else { return Ok(()) };
        let mut prefixes = Vec::new();
        prefixes::decode(bytes.0, family, &mut prefixes).ok_or_else(malformed)?;
        self.unreachable = Some(Unreachable { family, prefixes });
        Ok(())
    }

    /// RFC 7606 section 3 d: announced routes without a mandatory attribute are treated as withdrawn. NEXT_HOP is
    /// mandatory for prefixes of the message's own NLRI field.
    fn check_mandatory(&mut self, has_nlri: bool) {
        let missing = |attribute_type| !self.seen.contains(&(attribute_type as u8));
        let any = missing(AttributeType::Origin)
            || missing(AttributeType::AsPath)
            || has_nlri && missing(AttributeType::NextHop)
            || self.context.internal && missing(AttributeType::LocalPref);
        if any {
            self.treat_as_withdrawn(RouteError::MissingMandatoryAttribute);
        }
    }

    /// The End-of-RIB marker of RFC 4724 section 2: an UPDATE that holds nothing, or MP_UNREACH_NLRI with nothing in it
    /// alone.
    fn end_of_rib(&self, fields: &Fields, announces: bool) -> Option<Family> {
        if announces || !fields.withdrawn.is_empty() {
            return None;
        }
        match &self.unreachable {
            None => fields.attributes.is_empty().then_some(Family::Ipv4),
            Some(Unreachable { family, prefixes }) => {
                let alone = prefixes.is_empty() && self.seen == [AttributeType::MpUnreachNlri as u8];
                alone.then_some(*family)
            }
        }
    }
}

impl Update {
    /// Reads the body of an UPDATE. It allocates no more than the 4 KiB of a message can name: some four thousand
    /// prefixes of a bit or none each.
    ///
    /// # Errors
    /// What RFC 7606 leaves to end the session: lengths that do not fit the message, prefixes that can't be read,
    /// malformed attributes of reachability, an unknown well-known attribute. All else is in the result.
    pub fn decode(body: &[u8], context: UpdateContext) -> Result<Update, MessageError> {
        let lengths =
            || MessageError::new(UpdateError::MalformedAttributeList, "lengths that do not fit the UPDATE");
        let network = || MessageError::new(UpdateError::InvalidNetworkField, "a prefix that can't be read");
        let fields = Fields::split(body).ok_or_else(lengths)?;
        let mut decoder = Decoder {
            context,
            seen: Vec::new(),
            reachable: Vec::new(),
            unreachable: None,
            as4_path: None,
            update: Update::default(),
        };
        prefixes::decode(fields.withdrawn, Family::Ipv4, &mut decoder.update.withdrawn)
            .ok_or_else(network)?;
        let mut announced = Vec::new();
        prefixes::decode(fields.nlri, Family::Ipv4, &mut announced).ok_or_else(network)?;
        decoder.attributes(fields.attributes)?;
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
