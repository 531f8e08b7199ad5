//! Reads an UPDATE. Each error costs as little as RFC 7606 allows: the attribute is discarded, the routes are treated as
//! withdrawn, or the session ends.

use super::attributes::{code, flag, required_flags};
use super::{as_path, prefixes, Segment, Update, Wire};
use crate::error::{MessageError, UpdateError};
use crate::open::Family;
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
    type_code: u8,
    value: &'a [u8],
}

impl RawAttribute<'_> {
    /// The next one; none where it is longer than what is left.
    fn next<'a>(bytes: &mut Bytes<'a>) -> Option<RawAttribute<'a>> {
        let (flags, type_code) = (bytes.u8()?, bytes.u8()?);
        let length = match flags & flag::EXTENDED_LENGTH {
            0 => usize::from(bytes.u8()?),
            _ => usize::from(bytes.u16()?),
        };
        Some(RawAttribute { flags, type_code, value: bytes.take(length)? })
    }

    /// What it says of reachability can't be told where it is malformed: the session ends.
    fn is_reachability(&self) -> bool {
        matches!(self.type_code, code::MP_REACH_NLRI | code::MP_UNREACH_NLRI)
    }
}

/// MP_UNREACH_NLRI (RFC 4760 section 4).
struct Unreachable {
    family: Family,
    prefixes: Vec<IpNet>,
}

/// What an UPDATE holds so far.
struct Decoder {
    encoding: Wire,
    /// The type codes that were met, in order.
    seen: Vec<u8>,
    /// The prefixes of MP_REACH_NLRI.
    reachable: Vec<IpNet>,
    unreachable: Option<Unreachable>,
    as4_path: Option<Vec<Segment>>,
    update: Update,
}

fn four_octets(value: &[u8]) -> Option<u32> {
    <[u8; 4]>::try_from(value).ok().map(u32::from_be_bytes)
}

/// The value is not a list of one or more parts of this size.
fn is_no_list(value: &[u8], size: usize) -> bool {
    value.is_empty() || !value.len().is_multiple_of(size)
}

impl Decoder {
    /// RFC 7606: an error that costs the routes alone; the first one is told.
    fn treat_as_withdrawn(&mut self, why: &'static str) {
        self.update.treated_as_withdrawn.get_or_insert(why);
    }

    /// RFC 7606: an error that costs the attribute alone.
    fn discard(&mut self) {
        self.update.discarded += 1;
    }

    fn discard_if(&mut self, malformed: bool) {
        self.update.discarded += u32::from(malformed);
    }

    /// A number of four octets; one of another length costs the routes.
    fn number(&mut self, value: &[u8], why: &'static str) -> Option<u32> {
        let number = four_octets(value);
        if number.is_none() {
            self.treat_as_withdrawn(why);
        }
        number
    }

    /// All attributes, as far as they can be told apart.
    fn attributes(&mut self, bytes: &[u8]) -> Result<(), MessageError> {
        let mut bytes = Bytes(bytes);
        while !bytes.is_empty() {
            let Some(attribute) = RawAttribute::next(&mut bytes) else {
                // RFC 7606 section 4: the rest can't be told apart, the routes are known all the same.
                self.treat_as_withdrawn("an attribute longer than its UPDATE");
                break;
            };
            self.attribute(&attribute)?;
        }
        Ok(())
    }

    fn attribute(&mut self, attribute: &RawAttribute) -> Result<(), MessageError> {
        let &RawAttribute { flags, type_code, value } = attribute;
        if self.seen.contains(&type_code) {
            if attribute.is_reachability() {
                let why = "an attribute of reachability twice";
                return Err(MessageError::new(UpdateError::MalformedAttributeList, why));
            }
            // RFC 7606 section 3 g: all but the first are passed over.
            self.discard();
            return Ok(());
        }
        self.seen.push(type_code);
        let Some(required) = required_flags(type_code) else {
            if flags & flag::OPTIONAL != 0 {
                return Ok(());
            }
            let why = "an unknown well-known attribute";
            return Err(
                MessageError::new(UpdateError::UnrecognizedWellKnownAttribute, why).with(&[flags, type_code])
            );
        };
        if flags & (flag::OPTIONAL | flag::TRANSITIVE) != required {
            if attribute.is_reachability() {
                return Err(MessageError::new(
                    UpdateError::AttributeFlags,
                    "flags of an attribute of reachability",
                ));
            }
            self.treat_as_withdrawn("the flags of an attribute");
            return Ok(());
        }
        match type_code {
            code::MP_REACH_NLRI => self.mp_reach(value),
            code::MP_UNREACH_NLRI => self.mp_unreach(value),
            _ => {
                self.value(type_code, value);
                Ok(())
            }
        }
    }

    /// The value of an attribute whose errors never end the session (RFC 7606 section 7).
    fn value(&mut self, type_code: u8, value: &[u8]) {
        match type_code {
            code::ORIGIN => self.origin(value),
            code::AS_PATH => match as_path::decode(value, self.encoding.four_octet) {
                Some(path) => self.update.attributes.as_path = path,
                None => self.treat_as_withdrawn("malformed AS_PATH"),
            },
            code::NEXT_HOP => {
                let hop = self.number(value, "malformed NEXT_HOP").map(|hop| Ipv4Addr::from(hop).into());
                // That of MP_REACH_NLRI, where it came first, stands.
                self.update.attributes.next_hop = self.update.attributes.next_hop.or(hop);
            }
            code::MULTI_EXIT_DISC => {
                self.update.attributes.med = self.number(value, "malformed MULTI_EXIT_DISC");
            }
            code::LOCAL_PREF | code::ORIGINATOR_ID | code::CLUSTER_LIST => {
                self.internal_value(type_code, value);
            }
            code::ATOMIC_AGGREGATE => self.discard_if(!value.is_empty()),
            code::AGGREGATOR => {
                let size = if self.encoding.four_octet { 8 } else { 6 };
                self.discard_if(value.len() != size);
            }
            code::COMMUNITIES => self.communities(value),
            code::LARGE_COMMUNITIES => self.large_communities(value),
            code::ONLY_TO_CUSTOMER => {
                self.update.attributes.only_to_customer = self.number(value, "malformed ONLY_TO_CUSTOMER");
            }
            // RFC 6793 section 6: malformed ones are passed over, and so are those of a speaker that needs none.
            code::AS4_PATH if !self.encoding.four_octet => {
                self.as4_path = as_path::decode(value, true);
                self.discard_if(self.as4_path.is_none());
            }
            code::AS4_PATH | code::AS4_AGGREGATOR => self.discard_if(self.encoding.four_octet),
            _ => {}
        }
    }

    fn origin(&mut self, value: &[u8]) {
        match value {
            &[origin @ 0..=2] => self.update.attributes.origin = origin,
            _ => self.treat_as_withdrawn("malformed ORIGIN"),
        }
    }

    /// Attributes that mean something within one AS alone. From another AS they are passed over, well formed or not
    /// (RFC 7606 sections 7.5, 7.9, 7.10).
    fn internal_value(&mut self, type_code: u8, value: &[u8]) {
        if !self.encoding.internal {
            return self.discard();
        }
        match type_code {
            code::LOCAL_PREF => {
                self.update.attributes.local_pref = self.number(value, "malformed LOCAL_PREF");
            }
            code::ORIGINATOR_ID if value.len() != 4 => self.treat_as_withdrawn("malformed ORIGINATOR_ID"),
            code::CLUSTER_LIST if is_no_list(value, 4) => self.treat_as_withdrawn("malformed CLUSTER_LIST"),
            _ => {}
        }
    }

    fn communities(&mut self, value: &[u8]) {
        if is_no_list(value, COMMUNITY_SIZE) {
            return self.treat_as_withdrawn("malformed COMMUNITIES");
        }
        let communities = value.chunks_exact(COMMUNITY_SIZE).filter_map(four_octets);
        self.update.attributes.communities = communities.collect();
    }

    fn large_communities(&mut self, value: &[u8]) {
        if is_no_list(value, LARGE_COMMUNITY_SIZE) {
            return self.treat_as_withdrawn("malformed LARGE_COMMUNITIES");
        }
        let parts = |value: &[u8]| {
            let part = |at: usize| four_octets(&value[at..at + 4]).unwrap_or_default();
            [part(0), part(4), part(8)]
        };
        self.update.attributes.large = value.chunks_exact(LARGE_COMMUNITY_SIZE).map(parts).collect();
    }

    /// RFC 4760 section 3. Where it can't be read, which routes are meant can't be told either: the session ends.
    fn mp_reach(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let malformed = || MessageError::new(UpdateError::OptionalAttribute, "malformed MP_REACH_NLRI");
        let mut bytes = Bytes(value);
        let (afi, safi) = (bytes.u16().ok_or_else(malformed)?, bytes.u8().ok_or_else(malformed)?);
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
        let (afi, safi) = (bytes.u16().ok_or_else(malformed)?, bytes.u8().ok_or_else(malformed)?);
        let Some(family) = Family::of(afi, safi) else { return Ok(()) };
        let mut prefixes = Vec::new();
        prefixes::decode(bytes.0, family, &mut prefixes).ok_or_else(malformed)?;
        self.unreachable = Some(Unreachable { family, prefixes });
        Ok(())
    }

    /// RFC 7606 section 3 d: announced routes without a mandatory attribute are treated as withdrawn. NEXT_HOP is
    /// mandatory for prefixes of the message's own NLRI field.
    fn check_mandatory(&mut self, has_nlri: bool) {
        let missing = |type_code| !self.seen.contains(&type_code);
        let any = missing(code::ORIGIN)
            || missing(code::AS_PATH)
            || has_nlri && missing(code::NEXT_HOP)
            || self.encoding.internal && missing(code::LOCAL_PREF);
        if any {
            self.treat_as_withdrawn("a mandatory attribute is missing");
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
                let alone = prefixes.is_empty() && self.seen == [code::MP_UNREACH_NLRI];
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
    pub fn decode(body: &[u8], wire: Wire) -> Result<Update, MessageError> {
        let lengths =
            || MessageError::new(UpdateError::MalformedAttributeList, "lengths that do not fit the UPDATE");
        let network = || MessageError::new(UpdateError::InvalidNetworkField, "a prefix that can't be read");
        let fields = Fields::split(body).ok_or_else(lengths)?;
        let mut decoder = Decoder {
            encoding: wire,
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
