//! Tests of the UPDATE codec, including malformed and hostile input.

use super::as_path::merge_as4;
use super::attributes::flag::*;
use super::*;
use crate::message::{frame, MessageType};
use ipnet::Ipv4Net;
use proptest::prelude::*;
use std::net::Ipv4Addr;

const ORIGIN: u8 = AttributeType::Origin as u8;
const AS_PATH: u8 = AttributeType::AsPath as u8;
const NEXT_HOP: u8 = AttributeType::NextHop as u8;
const MULTI_EXIT_DISC: u8 = AttributeType::MultiExitDisc as u8;
const LOCAL_PREF: u8 = AttributeType::LocalPref as u8;
const ATOMIC_AGGREGATE: u8 = AttributeType::AtomicAggregate as u8;
const AGGREGATOR: u8 = AttributeType::Aggregator as u8;
const COMMUNITIES: u8 = AttributeType::Communities as u8;
const CLUSTER_LIST: u8 = AttributeType::ClusterList as u8;
const MP_REACH_NLRI: u8 = AttributeType::MpReachNlri as u8;
const MP_UNREACH_NLRI: u8 = AttributeType::MpUnreachNlri as u8;
const LARGE_COMMUNITIES: u8 = AttributeType::LargeCommunities as u8;
const ONLY_TO_CUSTOMER: u8 = AttributeType::OnlyToCustomer as u8;

const FOUR_OCTET_EBGP: UpdateContext = UpdateContext { four_octet_as: true, internal: false };

fn full_attributes() -> PathAttributes {
    PathAttributes {
        origin: Origin::Igp,
        as_path: vec![AsPathSegment::sequence(vec![64_500, 4_200_000_001, 64_500])],
        next_hop: Some("192.0.2.7".parse().unwrap()),
        med: Some(50),
        local_pref: None,
        communities: vec![crate::GRACEFUL_SHUTDOWN, 0xfde8_0001],
        large_communities: vec![[64_500, 1, 7]],
        only_to_customer: Some(64_500),
    }
}

fn decode_all(bytes: &[u8], context: UpdateContext) -> Vec<Update> {
    let mut offset = 0;
    let mut updates = Vec::new();
    while let Some(message) = frame(&bytes[offset..]).unwrap() {
        assert_eq!(message.message_type, MessageType::Update);
        updates.push(Update::decode(message.body, context).unwrap());
        offset += message.length();
    }
    assert_eq!(offset, bytes.len());
    updates
}

fn nets(texts: &[&str]) -> Vec<IpNet> {
    texts.iter().map(|text| text.parse().unwrap()).collect()
}

#[test]
fn updates_of_both_families_round_trip() {
    let mut bytes = Vec::new();
    let ipv4 = nets(&["198.51.100.7/32", "10.0.0.0/8", "0.0.0.0/0"]);
    let ipv6 = nets(&["2001:db8::7/128", "2001:db8::/33"]);
    let ipv6_attributes =
        PathAttributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..full_attributes() };
    announce(&mut bytes, Family::Ipv4, &ipv4, &full_attributes(), FOUR_OCTET_EBGP);
    announce(&mut bytes, Family::Ipv6, &ipv6, &ipv6_attributes, FOUR_OCTET_EBGP);
    withdraw(&mut bytes, Family::Ipv4, &ipv4);
    withdraw(&mut bytes, Family::Ipv6, &ipv6);
    end_of_rib(&mut bytes, Family::Ipv4);
    end_of_rib(&mut bytes, Family::Ipv6);
    let decoded = decode_all(&bytes, FOUR_OCTET_EBGP);
    assert_eq!((&decoded[0].announced, &decoded[0].attributes), (&ipv4, &full_attributes()));
    assert_eq!((&decoded[1].announced, &decoded[1].attributes), (&ipv6, &ipv6_attributes));
    assert_eq!((&decoded[2].withdrawn, decoded[2].end_of_rib), (&ipv4, None));
    assert_eq!((&decoded[3].withdrawn, decoded[3].end_of_rib), (&ipv6, None));
    assert_eq!([decoded[4].end_of_rib, decoded[5].end_of_rib], [Some(Family::Ipv4), Some(Family::Ipv6)]);
}

#[test]
fn merges_as4_path_for_a_speaker_with_two_octet_as_numbers() {
    let mut bytes = Vec::new();
    let two_octet_ebgp = UpdateContext { four_octet_as: false, internal: false };
    announce(&mut bytes, Family::Ipv4, &nets(&["198.51.100.7/32"]), &full_attributes(), two_octet_ebgp);
    assert_eq!(decode_all(&bytes, two_octet_ebgp)[0].attributes.as_path, full_attributes().as_path);
    // Speakers with two-octet AS numbers on the way prepended themselves (1 and 2) to AS_PATH, but not to AS4_PATH.
    let path = vec![AsPathSegment::sequence(vec![1, 2, 23456, 3])];
    let as4_path = vec![AsPathSegment::sequence(vec![4_200_000_001, 3])];
    assert_eq!(merge_as4(path.clone(), Some(as4_path))[0].numbers, [1, 2, 4_200_000_001, 3]);
    let longer_as4_path = vec![AsPathSegment::sequence(vec![9; 5])];
    assert_eq!(merge_as4(path.clone(), Some(longer_as4_path)), path);
}

#[test]
fn splits_prefixes_that_do_not_fit_one_message() {
    let many: Vec<IpNet> = (0..3000u32)
        .map(|index| Ipv4Net::new(Ipv4Addr::from(0x0a00_0000 + index), 32).unwrap().into())
        .collect();
    let mut bytes = Vec::new();
    announce(&mut bytes, Family::Ipv4, &many, &full_attributes(), FOUR_OCTET_EBGP);
    withdraw(&mut bytes, Family::Ipv4, &many);
    let decoded = decode_all(&bytes, FOUR_OCTET_EBGP);
    let announced: Vec<IpNet> = decoded.iter().flat_map(|update| update.announced.clone()).collect();
    let withdrawn: Vec<IpNet> = decoded.iter().flat_map(|update| update.withdrawn.clone()).collect();
    assert!(announced == many && withdrawn == many && decoded.len() < 12);
}

/// The body of an UPDATE that announces 198.51.100.7/32 with these attributes, given as (flags, type, value).
fn update(attributes: &[(u8, u8, &[u8])]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for (flags, code, value) in attributes {
        encoded.extend([*flags, *code, value.len() as u8]);
        encoded.extend(*value);
    }
    let mut body = vec![0, 0];
    body.extend((encoded.len() as u16).to_be_bytes());
    body.extend(encoded);
    body.extend([32, 198, 51, 100, 7]);
    body
}

const VALID: [(u8, u8, &[u8]); 3] = [
    (TRANSITIVE, ORIGIN, &[0]),
    (TRANSITIVE, AS_PATH, &[2, 1, 0, 0, 0xfb, 0xf4]),
    (TRANSITIVE, NEXT_HOP, &[192, 0, 2, 7]),
];

/// Checks the error handling of RFC 7606 section 7, attribute by attribute.
#[test]
fn a_malformed_attribute_is_discarded_or_its_routes_treated_as_withdrawn() {
    // How many prefixes are announced, how many withdrawn, and how many attributes discarded.
    let counts = |attributes: &[(u8, u8, &[u8])]| {
        let update = Update::decode(&update(attributes), FOUR_OCTET_EBGP).unwrap();
        (update.announced.len(), update.withdrawn.len(), update.discarded)
    };
    assert_eq!(counts(&VALID), (1, 0, 0));
    let withdrawing: [(u8, u8, &[u8]); 9] = [
        (OPTIONAL, MULTI_EXIT_DISC, &[1, 2]),
        (OPTIONAL | TRANSITIVE, COMMUNITIES, &[1, 2, 3, 4, 5]),
        (OPTIONAL | TRANSITIVE, COMMUNITIES, &[]),
        (OPTIONAL | TRANSITIVE, LARGE_COMMUNITIES, &[0; 13]),
        (OPTIONAL | TRANSITIVE, ONLY_TO_CUSTOMER, &[0; 3]),
        (TRANSITIVE, MULTI_EXIT_DISC, &[0; 4]),
        (OPTIONAL, COMMUNITIES, &[0; 4]),
        (TRANSITIVE, AGGREGATOR, &[0; 8]),
        (OPTIONAL, ORIGIN, &[0]),
    ];
    for attribute in withdrawing {
        let mut all = VALID.to_vec();
        all.retain(|valid| valid.1 != attribute.1);
        all.push(attribute);
        assert_eq!(counts(&all), (0, 1, 0), "{attribute:?}");
    }
    for (index, value) in [(0, &[3][..]), (0, &[0, 0]), (1, &[2, 2, 0, 0, 0, 1]), (1, &[3, 1, 0, 0, 0, 1])] {
        let mut all = VALID;
        all[index].2 = value;
        assert_eq!(counts(&all), (0, 1, 0), "{value:?}");
    }
    for missing in 0..3 {
        let mut all = VALID.to_vec();
        all.remove(missing);
        assert_eq!(counts(&all), (0, 1, 0));
    }
    let discarded: [(u8, u8, &[u8]); 5] = [
        (TRANSITIVE, ATOMIC_AGGREGATE, &[1]),
        (OPTIONAL | TRANSITIVE, AGGREGATOR, &[1]),
        (TRANSITIVE, LOCAL_PREF, &[1]),
        (OPTIONAL, CLUSTER_LIST, &[]),
        (TRANSITIVE, ORIGIN, &[1]),
    ];
    for attribute in discarded {
        let mut all = VALID.to_vec();
        all.push(attribute);
        assert_eq!(counts(&all), (1, 0, 1), "{attribute:?}");
    }
    // The last attribute extends past the attributes field. The routes in the NLRI field are still known.
    let mut overlong = update(&VALID);
    let length = overlong.len();
    // The length octet of NEXT_HOP, which is followed by its 4 octets and the 5 octets of the NLRI field.
    overlong[length - 5 - 5] = 200;
    let decoded = Update::decode(&overlong, FOUR_OCTET_EBGP).unwrap();
    assert_eq!((decoded.announced.len(), decoded.withdrawn.len()), (0, 1));
}

#[test]
fn errors_that_leave_the_routes_unknown_end_the_session() {
    let error = |attributes: &[(u8, u8, &[u8])]| {
        Update::decode(&update(attributes), FOUR_OCTET_EBGP).unwrap_err().subcode()
    };
    // The subcodes of RFC 4271 section 6.3: 1 Malformed Attribute List, 2 Unrecognized Well-known Attribute, 4
    // Attribute Flags Error, 9 Optional Attribute Error, 10 Invalid Network Field.
    let unreach: (u8, u8, &[u8]) = (OPTIONAL, MP_UNREACH_NLRI, &[0, 2, 1]);
    assert_eq!(error(&[unreach, unreach]), 1);
    assert_eq!(error(&[(OPTIONAL, MP_UNREACH_NLRI, &[0, 2, 1, 129])]), 9);
    assert_eq!(error(&[(OPTIONAL, MP_REACH_NLRI, &[0, 2, 1, 4, 1, 2, 3, 4, 0])]), 9);
    assert_eq!(error(&[(TRANSITIVE, MP_REACH_NLRI, &[0, 2, 1])]), 4);
    assert_eq!(error(&[(TRANSITIVE, 99, &[])]), 2);
    assert_eq!(Update::decode(&[0, 9, 0, 0], FOUR_OCTET_EBGP).unwrap_err().subcode(), 1);
    assert_eq!(Update::decode(&[0, 0, 0, 9], FOUR_OCTET_EBGP).unwrap_err().subcode(), 1);
    assert_eq!(Update::decode(&[0, 0, 0, 0, 33, 1, 2, 3, 4, 5], FOUR_OCTET_EBGP).unwrap_err().subcode(), 10);
}

proptest! {
    #[test]
    fn random_updates_round_trip(
        ipv4 in proptest::collection::vec((any::<u32>(), 0u8..=32), 1..40),
        numbers in proptest::collection::vec(1u32.., 1..8),
        communities in proptest::collection::vec(any::<u32>(), 0..9),
        large in proptest::collection::vec(any::<[u32; 3]>(), 0..5),
        med in any::<Option<u32>>(),
        four_octet_as in any::<bool>(),
    ) {
        let context = UpdateContext { four_octet_as, internal: false };
        let nets: Vec<IpNet> =
            ipv4.iter().map(|&(bits, length)| Ipv4Net::new(bits.into(), length).unwrap().trunc().into()).collect();
        let as_path = vec![AsPathSegment::sequence(numbers)];
        let attributes = PathAttributes { as_path, communities, large_communities: large, med, ..full_attributes() };
        let mut bytes = Vec::new();
        announce(&mut bytes, Family::Ipv4, &nets, &attributes, context);
        let decoded = decode_all(&bytes, context);
        prop_assert_eq!(&decoded[0].announced, &nets);
        prop_assert_eq!(&decoded[0].attributes, &attributes);
    }

    #[test]
    fn random_bodies_yield_an_error_or_no_more_prefixes_than_octets(
        body in proptest::collection::vec(any::<u8>(), 0..4077),
        four_octet_as in any::<bool>(),
    ) {
        if let Ok(update) = Update::decode(&body, UpdateContext { four_octet_as, internal: false }) {
            prop_assert!(update.announced.len() + update.withdrawn.len() <= body.len());
        }
        let _ = crate::Open::decode(&body);
        let _ = crate::Notification::decode(&body).to_string();
        let _ = frame(&body);
    }

    /// A valid message that is truncated and has one changed octet yields an error or routes, and no panic.
    #[test]
    fn truncated_and_changed_updates_cause_no_panic(
        length in 0usize..200,
        offset in 0usize..200,
        octet in any::<u8>(),
    ) {
        let mut bytes = Vec::new();
        let ipv6_attributes = PathAttributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..full_attributes() };
        announce(&mut bytes, Family::Ipv6, &nets(&["2001:db8::7/128"]), &ipv6_attributes, FOUR_OCTET_EBGP);
        let mut body = frame(&bytes).unwrap().unwrap().body.to_vec();
        let offset = offset % body.len();
        body[offset] = octet;
        body.truncate(length.max(1));
        let _ = Update::decode(&body, FOUR_OCTET_EBGP);
    }
}
