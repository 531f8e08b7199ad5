//! UPDATE (RFC 4271 section 4.3): path attributes, IPv4 in its own fields and IPv6 in those of RFC 4760, and errors
//! handled by attribute (RFC 7606): the session, the routes or the attribute alone is given up.

use crate::message::{self, Fault, LONGEST};
use crate::open::{Family, AS_TRANS};
use crate::Bytes;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

const ORIGIN: u8 = 1;
const AS_PATH: u8 = 2;
const NEXT_HOP: u8 = 3;
const MED: u8 = 4;
const LOCAL_PREF: u8 = 5;
const ATOMIC_AGGREGATE: u8 = 6;
const AGGREGATOR: u8 = 7;
const COMMUNITIES: u8 = 8;
const ORIGINATOR_ID: u8 = 9;
const CLUSTER_LIST: u8 = 10;
const MP_REACH: u8 = 14;
const MP_UNREACH: u8 = 15;
const AS4_PATH: u8 = 17;
const AS4_AGGREGATOR: u8 = 18;
const LARGE_COMMUNITIES: u8 = 32;
const ONLY_TO_CUSTOMER: u8 = 35;

const OPTIONAL: u8 = 0x80;
const TRANSITIVE: u8 = 0x40;
const EXTENDED: u8 = 0x10;

/// The flags that a known attribute must have, without that for a long length and the partial one.
fn flags(kind: u8) -> Option<u8> {
    match kind {
        ORIGIN..=NEXT_HOP | LOCAL_PREF | ATOMIC_AGGREGATE => Some(TRANSITIVE),
        MED | ORIGINATOR_ID | CLUSTER_LIST | MP_REACH | MP_UNREACH => Some(OPTIONAL),
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
        self.as_path.iter().map(|segment| if segment.set { 1 } else { segment.numbers.len() }).sum()
    }

    pub fn times_in_path(&self, asn: u32) -> usize {
        self.as_path.iter().flat_map(|segment| &segment.numbers).filter(|&&number| number == asn).count()
    }

    pub fn first_as(&self) -> Option<u32> {
        self.as_path.first().filter(|segment| !segment.set)?.numbers.first().copied()
    }
}

/// How the peer of a session writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wire {
    /// AS numbers have four octets on both sides (RFC 6793).
    pub four_octet: bool,
    /// Both sides are of one AS.
    pub internal: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    pub withdrawn: Vec<IpNet>,
    pub announced: Vec<IpNet>,
    pub attributes: Attributes,
    /// All routes of the family have been told (RFC 4724 section 2).
    pub end_of_rib: Option<Family>,
    /// The announced routes are to be taken as withdrawn, and stand in `withdrawn` (RFC 7606 section 2).
    pub treated_as_withdrawn: Option<&'static str>,
    /// Attributes that were malformed and passed over (RFC 7606 section 2).
    pub discarded: u32,
}

fn reset(subcode: u8, why: &'static str) -> Fault {
    Fault::new(3, subcode, why)
}

/// Prefixes, each a length in bits and as many octets as it needs (RFC 4271 section 4.3). What lies beyond the length
/// in the last octet does not count.
fn prefixes(bytes: &[u8], family: Family, into: &mut Vec<IpNet>) -> Option<()> {
    let mut bytes = Bytes(bytes);
    while !bytes.is_empty() {
        let length = bytes.u8()?;
        let given = bytes.take(usize::from(length).div_ceil(8))?;
        into.push(match family {
            Family::Ipv4 => {
                let mut octets = [0; 4];
                octets.get_mut(..given.len())?.copy_from_slice(given);
                Ipv4Net::new(Ipv4Addr::from(octets), length).ok()?.trunc().into()
            }
            Family::Ipv6 => {
                let mut octets = [0; 16];
                octets.get_mut(..given.len())?.copy_from_slice(given);
                Ipv6Net::new(Ipv6Addr::from(octets), length).ok()?.trunc().into()
            }
        });
    }
    Some(())
}

fn put_prefix(out: &mut Vec<u8>, net: &IpNet) {
    out.push(net.prefix_len());
    let octets = usize::from(net.prefix_len()).div_ceil(8);
    match net.trunc().addr() {
        IpAddr::V4(address) => out.extend(&address.octets()[..octets]),
        IpAddr::V6(address) => out.extend(&address.octets()[..octets]),
    }
}

pub fn family_of(net: &IpNet) -> Family {
    match net {
        IpNet::V4(_) => Family::Ipv4,
        IpNet::V6(_) => Family::Ipv6,
    }
}

fn segments(value: &[u8], four_octet: bool) -> Option<Vec<Segment>> {
    let mut bytes = Bytes(value);
    let mut segments = Vec::new();
    while !bytes.is_empty() {
        let kind = bytes.u8()?;
        let count = usize::from(bytes.u8()?);
        // Confederations (3, 4) end at our borders: none may come (RFC 5065 section 4).
        if !matches!(kind, 1 | 2) || count == 0 {
            return None;
        }
        let size = if four_octet { 4 } else { 2 };
        let numbers = bytes.take(count * size)?.chunks_exact(size);
        let number = |octets: &[u8]| octets.iter().fold(0, |sum, &octet| sum << 8 | u32::from(octet));
        segments.push(Segment { set: kind == 1, numbers: numbers.map(number).collect() });
    }
    Some(segments)
}

/// RFC 6793 section 4.2.3: what an old speaker could not write in its AS_PATH stands at the end of AS4_PATH.
fn merged(path: Vec<Segment>, behind: Option<Vec<Segment>>) -> Vec<Segment> {
    let hops = |segments: &[Segment]| -> usize {
        segments.iter().map(|segment| if segment.set { 1 } else { segment.numbers.len() }).sum()
    };
    let Some(behind) = behind.filter(|behind| hops(behind) <= hops(&path)) else { return path };
    let mut lead = hops(&path) - hops(&behind);
    let mut whole = Vec::new();
    for mut segment in path {
        if lead == 0 {
            break;
        }
        if !segment.set {
            segment.numbers.truncate(lead);
        }
        lead -= if segment.set { 1 } else { segment.numbers.len() };
        whole.push(segment);
    }
    for segment in behind {
        match whole.last_mut() {
            Some(last) if !last.set && !segment.set => last.numbers.extend(segment.numbers),
            _ => whole.push(segment),
        }
    }
    whole
}

/// What the attributes of an UPDATE hold so far.
#[derive(Default)]
struct Reading {
    seen: Vec<u8>,
    reach: Vec<IpNet>,
    unreach: Option<(Family, Vec<IpNet>)>,
    as4_path: Option<Vec<Segment>>,
    reach_family: Option<Family>,
    update: Update,
}

impl Reading {
    /// RFC 7606: an error that costs the routes alone; the first one is told.
    fn withdraws(&mut self, why: &'static str) {
        self.update.treated_as_withdrawn.get_or_insert(why);
    }

    fn attribute(&mut self, flagged: u8, kind: u8, value: &[u8], wire: Wire) -> Result<(), Fault> {
        if self.seen.contains(&kind) {
            if matches!(kind, MP_REACH | MP_UNREACH) {
                return Err(reset(1, "an attribute of reachability twice"));
            }
            // RFC 7606 section 3 g: all but the first are passed over.
            self.update.discarded += 1;
            return Ok(());
        }
        self.seen.push(kind);
        let Some(expected) = flags(kind) else {
            return match flagged & OPTIONAL {
                0 => Err(reset(2, "an unknown well-known attribute").with(&[flagged, kind])),
                _ => Ok(()),
            };
        };
        if flagged & (OPTIONAL | TRANSITIVE) != expected {
            if matches!(kind, MP_REACH | MP_UNREACH) {
                return Err(reset(4, "flags of an attribute of reachability"));
            }
            self.withdraws("the flags of an attribute");
            return Ok(());
        }
        let number = |value: &[u8]| <[u8; 4]>::try_from(value).ok().map(u32::from_be_bytes);
        let attributes = &mut self.update.attributes;
        match kind {
            ORIGIN => match value {
                &[origin @ 0..=2] => attributes.origin = origin,
                _ => self.withdraws("malformed ORIGIN"),
            },
            AS_PATH => match segments(value, wire.four_octet) {
                Some(path) => attributes.as_path = path,
                None => self.withdraws("malformed AS_PATH"),
            },
            NEXT_HOP => match number(value) {
                Some(hop) => attributes.next_hop = attributes.next_hop.or(Some(Ipv4Addr::from(hop).into())),
                None => self.withdraws("malformed NEXT_HOP"),
            },
            MED => match number(value) {
                Some(med) => attributes.med = Some(med),
                None => self.withdraws("malformed MULTI_EXIT_DISC"),
            },
            // From another AS these are passed over, well formed or not (RFC 7606 sections 7.5, 7.9, 7.10).
            LOCAL_PREF | ORIGINATOR_ID | CLUSTER_LIST if !wire.internal => self.update.discarded += 1,
            LOCAL_PREF => match number(value) {
                Some(preference) => attributes.local_pref = Some(preference),
                None => self.withdraws("malformed LOCAL_PREF"),
            },
            ORIGINATOR_ID if value.len() != 4 => self.withdraws("malformed ORIGINATOR_ID"),
            CLUSTER_LIST if value.is_empty() || !value.len().is_multiple_of(4) => {
                self.withdraws("malformed CLUSTER_LIST")
            }
            ATOMIC_AGGREGATE => self.update.discarded += u32::from(!value.is_empty()),
            AGGREGATOR => {
                self.update.discarded += u32::from(value.len() != if wire.four_octet { 8 } else { 6 })
            }
            COMMUNITIES if value.is_empty() || !value.len().is_multiple_of(4) => {
                self.withdraws("malformed COMMUNITIES")
            }
            COMMUNITIES => attributes.communities = value.chunks_exact(4).filter_map(number).collect(),
            LARGE_COMMUNITIES if value.is_empty() || !value.len().is_multiple_of(12) => {
                self.withdraws("malformed LARGE_COMMUNITIES")
            }
            LARGE_COMMUNITIES => {
                let parts = |value: &[u8]| {
                    [number(&value[..4]), number(&value[4..8]), number(&value[8..])]
                        .map(Option::unwrap_or_default)
                };
                attributes.large = value.chunks_exact(12).map(parts).collect();
            }
            ONLY_TO_CUSTOMER => match number(value) {
                Some(asn) => attributes.only_to_customer = Some(asn),
                None => self.withdraws("malformed ONLY_TO_CUSTOMER"),
            },
            // RFC 6793 section 6: malformed ones are passed over, and so are those of a speaker that needs none.
            AS4_PATH if !wire.four_octet => match segments(value, true) {
                Some(path) => self.as4_path = Some(path),
                None => self.update.discarded += 1,
            },
            AS4_PATH | AS4_AGGREGATOR => self.update.discarded += u32::from(wire.four_octet),
            MP_REACH => return self.reach(value),
            MP_UNREACH => return self.unreach(value),
            _ => {}
        }
        Ok(())
    }

    /// RFC 4760 section 3. Where it can't be read, which routes are meant can't be told either: the session ends.
    fn reach(&mut self, value: &[u8]) -> Result<(), Fault> {
        let wrong = || reset(9, "malformed MP_REACH_NLRI");
        let mut bytes = Bytes(value);
        let (afi, safi) = (bytes.u16().ok_or_else(wrong)?, bytes.u8().ok_or_else(wrong)?);
        let hop = bytes.part().ok_or_else(wrong)?;
        bytes.u8().ok_or_else(wrong)?;
        let Some(family) = Family::of(afi, safi) else { return Ok(()) };
        let hop = match (family, hop.len()) {
            (Family::Ipv4, 4) => IpAddr::from(<[u8; 4]>::try_from(hop).map_err(|_| wrong())?),
            // A link-local one may stand behind (RFC 2545 section 3).
            (Family::Ipv6, 16 | 32) => IpAddr::from(<[u8; 16]>::try_from(&hop[..16]).map_err(|_| wrong())?),
            _ => return Err(wrong()),
        };
        prefixes(bytes.0, family, &mut self.reach).ok_or_else(wrong)?;
        self.update.attributes.next_hop = Some(hop);
        self.reach_family = Some(family);
        Ok(())
    }

    fn unreach(&mut self, value: &[u8]) -> Result<(), Fault> {
        let wrong = || reset(9, "malformed MP_UNREACH_NLRI");
        let mut bytes = Bytes(value);
        let (afi, safi) = (bytes.u16().ok_or_else(wrong)?, bytes.u8().ok_or_else(wrong)?);
        let Some(family) = Family::of(afi, safi) else { return Ok(()) };
        let mut gone = Vec::new();
        prefixes(bytes.0, family, &mut gone).ok_or_else(wrong)?;
        self.unreach = Some((family, gone));
        Ok(())
    }
}

impl Update {
    /// Reads the body of an UPDATE. It allocates no more than the 4 KiB of a message can name: some four thousand
    /// prefixes of a bit or none each.
    ///
    /// # Errors
    /// What RFC 7606 leaves to end the session: lengths that do not fit the message, prefixes that can't be read,
    /// malformed attributes of reachability, an unknown well-known attribute. All else is in the result.
    pub fn read(body: &[u8], wire: Wire) -> Result<Update, Fault> {
        let lengths = || reset(1, "lengths that do not fit the UPDATE");
        let mut bytes = Bytes(body);
        let withdrawn = bytes.u16().and_then(|length| bytes.take(length.into())).ok_or_else(lengths)?;
        let given = bytes.u16().and_then(|length| bytes.take(length.into())).ok_or_else(lengths)?;
        let network = || reset(10, "a prefix that can't be read");
        let mut reading = Reading::default();
        prefixes(withdrawn, Family::Ipv4, &mut reading.update.withdrawn).ok_or_else(network)?;
        let mut announced = Vec::new();
        prefixes(bytes.0, Family::Ipv4, &mut announced).ok_or_else(network)?;
        let mut attributes = Bytes(given);
        while !attributes.is_empty() {
            let mut next = || {
                let (flagged, kind) = (attributes.u8()?, attributes.u8()?);
                let length = match flagged & EXTENDED {
                    0 => usize::from(attributes.u8()?),
                    _ => usize::from(attributes.u16()?),
                };
                Some((flagged, kind, attributes.take(length)?))
            };
            let Some((flagged, kind, value)) = next() else {
                // RFC 7606 section 4: the rest can't be told apart, the routes are known all the same.
                reading.withdraws("an attribute longer than its UPDATE");
                break;
            };
            reading.attribute(flagged, kind, value, wire)?;
        }
        let legacy = !announced.is_empty();
        announced.append(&mut reading.reach);
        let seen = std::mem::take(&mut reading.seen);
        let missing = |kind| !seen.contains(&kind);
        if !announced.is_empty() {
            if missing(ORIGIN) || missing(AS_PATH) || legacy && missing(NEXT_HOP) {
                reading.withdraws("a mandatory attribute is missing");
            }
            if wire.internal && missing(LOCAL_PREF) {
                reading.withdraws("a mandatory attribute is missing");
            }
        }
        let empty = withdrawn.is_empty() && announced.is_empty();
        let end = match &reading.unreach {
            None if empty && given.is_empty() => Some(Family::Ipv4),
            Some((family, gone)) if empty && gone.is_empty() && seen == [MP_UNREACH] => Some(*family),
            _ => None,
        };
        let mut update = reading.update;
        update.end_of_rib = end;
        update.withdrawn.extend(reading.unreach.into_iter().flat_map(|(_, gone)| gone));
        let path = std::mem::take(&mut update.attributes.as_path);
        update.attributes.as_path = merged(path, reading.as4_path);
        match update.treated_as_withdrawn {
            Some(_) => update.withdrawn.append(&mut announced),
            None => update.announced = announced,
        }
        Ok(update)
    }
}

fn attribute(out: &mut Vec<u8>, flagged: u8, kind: u8, value: &[u8]) {
    match u8::try_from(value.len()) {
        Ok(length) => out.extend([flagged, kind, length]),
        Err(_) => {
            out.extend([flagged | EXTENDED, kind]);
            out.extend((value.len() as u16).to_be_bytes());
        }
    }
    out.extend(value);
}

fn put_path(path: &[Segment], four_octet: bool) -> Vec<u8> {
    let mut value = Vec::new();
    for segment in path {
        value.extend([if segment.set { 1 } else { 2 }, segment.numbers.len() as u8]);
        for &number in &segment.numbers {
            match four_octet {
                true => value.extend(number.to_be_bytes()),
                false => value.extend(u16::try_from(number).unwrap_or(AS_TRANS).to_be_bytes()),
            }
        }
    }
    value
}

/// The attributes as they are written, in the order of their numbers (RFC 4271 section 5), but those of reachability.
fn put_attributes(attributes: &Attributes, wire: Wire, hop: Option<Ipv4Addr>) -> Vec<u8> {
    let mut out = Vec::new();
    attribute(&mut out, TRANSITIVE, ORIGIN, &[attributes.origin]);
    attribute(&mut out, TRANSITIVE, AS_PATH, &put_path(&attributes.as_path, wire.four_octet));
    if let Some(hop) = hop {
        attribute(&mut out, TRANSITIVE, NEXT_HOP, &hop.octets());
    }
    if let Some(med) = attributes.med {
        attribute(&mut out, OPTIONAL, MED, &med.to_be_bytes());
    }
    if wire.internal {
        attribute(&mut out, TRANSITIVE, LOCAL_PREF, &attributes.local_pref.unwrap_or(100).to_be_bytes());
    }
    if !attributes.communities.is_empty() {
        let value: Vec<u8> = attributes.communities.iter().flat_map(|one| one.to_be_bytes()).collect();
        attribute(&mut out, OPTIONAL | TRANSITIVE, COMMUNITIES, &value);
    }
    let large = |number: u32| number > u16::MAX.into();
    if !wire.four_octet && attributes.as_path.iter().flat_map(|segment| &segment.numbers).any(|&n| large(n)) {
        attribute(&mut out, OPTIONAL | TRANSITIVE, AS4_PATH, &put_path(&attributes.as_path, true));
    }
    if !attributes.large.is_empty() {
        let value: Vec<u8> = attributes.large.iter().flatten().flat_map(|part| part.to_be_bytes()).collect();
        attribute(&mut out, OPTIONAL | TRANSITIVE, LARGE_COMMUNITIES, &value);
    }
    if let Some(asn) = attributes.only_to_customer {
        attribute(&mut out, OPTIONAL | TRANSITIVE, ONLY_TO_CUSTOMER, &asn.to_be_bytes());
    }
    out
}

/// The octets that prefixes of one family may take in one message beside so many of attributes.
fn chunks<'a>(nets: &'a [IpNet], beside: usize) -> impl Iterator<Item = Vec<u8>> + 'a {
    // The header, both lengths, and the frame of an attribute of reachability with its longest next hop.
    let room = LONGEST.saturating_sub(message::HEADER + 4 + beside + 32);
    let mut rest = nets.iter().peekable();
    std::iter::from_fn(move || {
        rest.peek()?;
        let mut bytes = Vec::new();
        while let Some(net) = rest.next_if(|_| bytes.len() + 17 <= room) {
            put_prefix(&mut bytes, net);
        }
        Some(bytes).filter(|bytes| !bytes.is_empty())
    })
}

/// Writes UPDATEs that announce prefixes of one family with the same attributes. IPv4 goes in the message's own fields,
/// IPv6 in MP_REACH_NLRI; the next hop must be of the family.
pub fn announce(out: &mut Vec<u8>, family: Family, nets: &[IpNet], attributes: &Attributes, wire: Wire) {
    let (mut head, legacy) = match (family, attributes.next_hop) {
        (Family::Ipv4, Some(IpAddr::V4(hop))) => (put_attributes(attributes, wire, Some(hop)), true),
        (Family::Ipv6, Some(IpAddr::V6(_))) => (put_attributes(attributes, wire, None), false),
        _ => return,
    };
    let fixed = head.len();
    for nets in chunks(nets, fixed) {
        if let (false, Some(IpAddr::V6(hop))) = (legacy, attributes.next_hop) {
            let mut value = vec![0, 2, 1, 16];
            value.extend(hop.octets());
            value.push(0);
            value.extend(&nets);
            attribute(&mut head, OPTIONAL, MP_REACH, &value);
        }
        message::put(out, message::UPDATE, |out| {
            out.extend([0, 0]);
            out.extend((head.len() as u16).to_be_bytes());
            out.extend(&head);
            if legacy {
                out.extend(&nets);
            }
        });
        head.truncate(fixed);
    }
}

/// Writes UPDATEs that withdraw prefixes of one family.
pub fn withdraw(out: &mut Vec<u8>, family: Family, nets: &[IpNet]) {
    for nets in chunks(nets, 0) {
        put_withdrawn(out, family, &nets);
    }
}

fn put_withdrawn(out: &mut Vec<u8>, family: Family, nets: &[u8]) {
    message::put(out, message::UPDATE, |out| match family {
        Family::Ipv4 => {
            out.extend((nets.len() as u16).to_be_bytes());
            out.extend(nets);
            out.extend([0, 0]);
        }
        Family::Ipv6 => {
            let mut head = Vec::new();
            attribute(&mut head, OPTIONAL, MP_UNREACH, &[&[0, 2, 1], nets].concat());
            out.extend([0, 0]);
            out.extend((head.len() as u16).to_be_bytes());
            out.extend(head);
        }
    });
}

/// The End-of-RIB marker (RFC 4724 section 2).
pub fn end_of_rib(out: &mut Vec<u8>, family: Family) {
    put_withdrawn(out, family, &[]);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::{frame, UPDATE};
    use proptest::prelude::*;

    const NEW: Wire = Wire { four_octet: true, internal: false };

    fn whole() -> Attributes {
        Attributes {
            origin: 0,
            as_path: vec![Segment { set: false, numbers: vec![64_500, 4_200_000_001, 64_500] }],
            next_hop: Some("192.0.2.7".parse().unwrap()),
            med: Some(50),
            local_pref: None,
            communities: vec![crate::GRACEFUL_SHUTDOWN, 0xfde8_0001],
            large: vec![[64_500, 1, 7]],
            only_to_customer: Some(64_500),
        }
    }

    fn read_all(bytes: &[u8], wire: Wire) -> Vec<Update> {
        let mut at = 0;
        let mut updates = Vec::new();
        while let Some(found) = frame(&bytes[at..]).unwrap() {
            assert_eq!(found.kind, UPDATE);
            updates.push(Update::read(found.body, wire).unwrap());
            at += found.length();
        }
        assert_eq!(at, bytes.len());
        updates
    }

    fn nets(words: &[&str]) -> Vec<IpNet> {
        words.iter().map(|word| word.parse().unwrap()).collect()
    }

    #[test]
    fn both_families_read_as_they_were_written() {
        let mut bytes = Vec::new();
        let four = nets(&["198.51.100.7/32", "10.0.0.0/8", "0.0.0.0/0"]);
        let six = nets(&["2001:db8::7/128", "2001:db8::/33"]);
        let for_six = Attributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..whole() };
        announce(&mut bytes, Family::Ipv4, &four, &whole(), NEW);
        announce(&mut bytes, Family::Ipv6, &six, &for_six, NEW);
        withdraw(&mut bytes, Family::Ipv4, &four);
        withdraw(&mut bytes, Family::Ipv6, &six);
        end_of_rib(&mut bytes, Family::Ipv4);
        end_of_rib(&mut bytes, Family::Ipv6);
        let read = read_all(&bytes, NEW);
        assert_eq!((&read[0].announced, &read[0].attributes), (&four, &whole()));
        assert_eq!((&read[1].announced, &read[1].attributes), (&six, &for_six));
        assert_eq!((&read[2].withdrawn, read[2].end_of_rib), (&four, None));
        assert_eq!((&read[3].withdrawn, read[3].end_of_rib), (&six, None));
        assert_eq!([read[4].end_of_rib, read[5].end_of_rib], [Some(Family::Ipv4), Some(Family::Ipv6)]);
    }

    #[test]
    fn an_old_speaker_gets_two_octets_and_the_long_numbers_come_back_whole() {
        let mut bytes = Vec::new();
        let old = Wire { four_octet: false, internal: false };
        announce(&mut bytes, Family::Ipv4, &nets(&["198.51.100.7/32"]), &whole(), old);
        assert_eq!(read_all(&bytes, old)[0].attributes.as_path, whole().as_path);
        // Old speakers ahead of it have prepended without touching AS4_PATH.
        let path = vec![Segment { set: false, numbers: vec![1, 2, 23456, 3] }];
        let behind = vec![Segment { set: false, numbers: vec![4_200_000_001, 3] }];
        assert_eq!(merged(path.clone(), Some(behind))[0].numbers, [1, 2, 4_200_000_001, 3]);
        let longer = vec![Segment { set: false, numbers: vec![9; 5] }];
        assert_eq!(merged(path.clone(), Some(longer)), path);
    }

    #[test]
    fn more_prefixes_than_a_message_holds_go_in_several() {
        let many: Vec<IpNet> = (0..3000u32)
            .map(|at| Ipv4Net::new(Ipv4Addr::from(0x0a00_0000 + at), 32).unwrap().into())
            .collect();
        let mut bytes = Vec::new();
        announce(&mut bytes, Family::Ipv4, &many, &whole(), NEW);
        withdraw(&mut bytes, Family::Ipv4, &many);
        let read = read_all(&bytes, NEW);
        let told: Vec<IpNet> = read.iter().flat_map(|update| update.announced.clone()).collect();
        let gone: Vec<IpNet> = read.iter().flat_map(|update| update.withdrawn.clone()).collect();
        assert!(told == many && gone == many && read.len() < 12);
    }

    /// An UPDATE that announces 198.51.100.7/32 with these attributes.
    fn update(attributes: &[(u8, u8, &[u8])]) -> Vec<u8> {
        let mut head = Vec::new();
        for (flagged, kind, value) in attributes {
            attribute(&mut head, *flagged, *kind, value);
        }
        let mut body = vec![0, 0];
        body.extend((head.len() as u16).to_be_bytes());
        body.extend(head);
        body.extend([32, 198, 51, 100, 7]);
        body
    }

    const GOOD: [(u8, u8, &[u8]); 3] = [
        (TRANSITIVE, ORIGIN, &[0]),
        (TRANSITIVE, AS_PATH, &[2, 1, 0, 0, 0xfb, 0xf4]),
        (TRANSITIVE, NEXT_HOP, &[192, 0, 2, 7]),
    ];

    /// RFC 7606 section 7, attribute by attribute.
    #[test]
    fn a_malformed_attribute_costs_its_routes_or_itself_and_not_the_session() {
        let withdrawn = |attributes: &[(u8, u8, &[u8])]| {
            let update = Update::read(&update(attributes), NEW).unwrap();
            (update.announced.len(), update.withdrawn.len(), update.discarded)
        };
        assert_eq!(withdrawn(&GOOD), (1, 0, 0));
        let bad: [(u8, u8, &[u8]); 9] = [
            (OPTIONAL, MED, &[1, 2]),
            (OPTIONAL | TRANSITIVE, COMMUNITIES, &[1, 2, 3, 4, 5]),
            (OPTIONAL | TRANSITIVE, COMMUNITIES, &[]),
            (OPTIONAL | TRANSITIVE, LARGE_COMMUNITIES, &[0; 13]),
            (OPTIONAL | TRANSITIVE, ONLY_TO_CUSTOMER, &[0; 3]),
            (TRANSITIVE, MED, &[0; 4]),
            (OPTIONAL, COMMUNITIES, &[0; 4]),
            (TRANSITIVE, AGGREGATOR, &[0; 8]),
            (OPTIONAL, ORIGIN, &[0]),
        ];
        for one in bad {
            let mut all = GOOD.to_vec();
            all.retain(|good| good.1 != one.1);
            all.push(one);
            assert_eq!(withdrawn(&all), (0, 1, 0), "{one:?}");
        }
        for (at, value) in [(0, &[3][..]), (0, &[0, 0]), (1, &[2, 2, 0, 0, 0, 1]), (1, &[3, 1, 0, 0, 0, 1])] {
            let mut all = GOOD;
            all[at].2 = value;
            assert_eq!(withdrawn(&all), (0, 1, 0), "{value:?}");
        }
        for missing in 0..3 {
            let mut all = GOOD.to_vec();
            all.remove(missing);
            assert_eq!(withdrawn(&all), (0, 1, 0));
        }
        let passed: [(u8, u8, &[u8]); 5] = [
            (TRANSITIVE, ATOMIC_AGGREGATE, &[1]),
            (OPTIONAL | TRANSITIVE, AGGREGATOR, &[1]),
            (TRANSITIVE, LOCAL_PREF, &[1]),
            (OPTIONAL, CLUSTER_LIST, &[]),
            (TRANSITIVE, ORIGIN, &[1]),
        ];
        for one in passed {
            let mut all = GOOD.to_vec();
            all.push(one);
            assert_eq!(withdrawn(&all), (1, 0, 1), "{one:?}");
        }
        // An attribute that is longer than the rest: the routes behind are known.
        let mut long = update(&GOOD);
        let length = long.len();
        long[length - 5 - 5] = 200;
        let read = Update::read(&long, NEW).unwrap();
        assert_eq!((read.announced.len(), read.withdrawn.len()), (0, 1));
    }

    #[test]
    fn what_leaves_the_routes_unknown_ends_the_session() {
        let fault =
            |attributes: &[(u8, u8, &[u8])]| Update::read(&update(attributes), NEW).unwrap_err().subcode;
        let unreach: (u8, u8, &[u8]) = (OPTIONAL, MP_UNREACH, &[0, 2, 1]);
        assert_eq!(fault(&[unreach, unreach]), 1);
        assert_eq!(fault(&[(OPTIONAL, MP_UNREACH, &[0, 2, 1, 129])]), 9);
        assert_eq!(fault(&[(OPTIONAL, MP_REACH, &[0, 2, 1, 4, 1, 2, 3, 4, 0])]), 9);
        assert_eq!(fault(&[(TRANSITIVE, MP_REACH, &[0, 2, 1])]), 4);
        assert_eq!(fault(&[(TRANSITIVE, 99, &[])]), 2);
        assert_eq!(Update::read(&[0, 9, 0, 0], NEW).unwrap_err().subcode, 1);
        assert_eq!(Update::read(&[0, 0, 0, 9], NEW).unwrap_err().subcode, 1);
        assert_eq!(Update::read(&[0, 0, 0, 0, 33, 1, 2, 3, 4, 5], NEW).unwrap_err().subcode, 10);
    }

    proptest! {
        #[test]
        fn whatever_is_written_is_read_again(
            four in proptest::collection::vec((any::<u32>(), 0u8..=32), 1..40),
            numbers in proptest::collection::vec(1u32.., 1..8),
            communities in proptest::collection::vec(any::<u32>(), 0..9),
            large in proptest::collection::vec(any::<[u32; 3]>(), 0..5),
            med in any::<Option<u32>>(),
            four_octet in any::<bool>(),
        ) {
            let wire = Wire { four_octet, internal: false };
            let nets: Vec<IpNet> =
                four.iter().map(|&(bits, length)| Ipv4Net::new(bits.into(), length).unwrap().trunc().into()).collect();
            let as_path = vec![Segment { set: false, numbers }];
            let attributes = Attributes { as_path, communities, large, med, ..whole() };
            let mut bytes = Vec::new();
            announce(&mut bytes, Family::Ipv4, &nets, &attributes, wire);
            let read = read_all(&bytes, wire);
            prop_assert_eq!(&read[0].announced, &nets);
            prop_assert_eq!(&read[0].attributes, &attributes);
        }

        #[test]
        fn random_bodies_are_read_or_refused_and_never_more_than_they_name(
            body in proptest::collection::vec(any::<u8>(), 0..4077),
            four_octet in any::<bool>(),
        ) {
            if let Ok(update) = Update::read(&body, Wire { four_octet, internal: false }) {
                prop_assert!(update.announced.len() + update.withdrawn.len() <= body.len());
            }
            let _ = crate::Open::read(&body);
            let _ = crate::Notification::read(&body).to_string();
            let _ = frame(&body);
        }

        /// Every truncation and one changed octet of a whole message: an error, or routes, and no panic.
        #[test]
        fn cut_and_changed_messages_do_no_harm(cut in 0usize..200, at in 0usize..200, octet in any::<u8>()) {
            let mut bytes = Vec::new();
            let for_six = Attributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..whole() };
            announce(&mut bytes, Family::Ipv6, &nets(&["2001:db8::7/128"]), &for_six, NEW);
            let mut body = frame(&bytes).unwrap().unwrap().body.to_vec();
            let at = at % body.len();
            body[at] = octet;
            body.truncate(cut.max(1));
            let _ = Update::read(&body, NEW);
        }
    }
}
