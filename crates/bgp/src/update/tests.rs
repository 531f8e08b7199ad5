//! UPDATEs as written and read, malformed and hostile ones.

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

const NEW: UpdateContext = UpdateContext { four_octet_as: true, internal: false };

fn whole() -> PathAttributes {
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

fn read_all(bytes: &[u8], wire: UpdateContext) -> Vec<Update> {
    let mut at = 0;
    let mut updates = Vec::new();
    while let Some(found) = frame(&bytes[at..]).unwrap() {
        assert_eq!(found.message_type, MessageType::Update);
        updates.push(Update::decode(found.body, wire).unwrap());
        at += found.length();
    }
    assert_eq!(at, bytes.len());
    updates
}

fn nets(words: &[&str]) -> Vec<IpNet> {
    words.iter().map(|word| word.parse().unwrap()).collect()
}

#[test]
fn updates_of_both_families_round_trip() {
    let mut bytes = Vec::new();
    let four = nets(&["198.51.100.7/32", "10.0.0.0/8", "0.0.0.0/0"]);
    let six = nets(&["2001:db8::7/128", "2001:db8::/33"]);
    let for_six = PathAttributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..whole() };
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
fn merges_as4_path_for_a_speaker_with_two_octet_as_numbers() {
    let mut bytes = Vec::new();
    let old = UpdateContext { four_octet_as: false, internal: false };
    announce(&mut bytes, Family::Ipv4, &nets(&["198.51.100.7/32"]), &whole(), old);
    assert_eq!(read_all(&bytes, old)[0].attributes.as_path, whole().as_path);
    // Old speakers ahead of it have prepended without touching AS4_PATH.
    let path = vec![AsPathSegment::sequence(vec![1, 2, 23456, 3])];
    let behind = vec![AsPathSegment::sequence(vec![4_200_000_001, 3])];
    assert_eq!(merge_as4(path.clone(), Some(behind))[0].numbers, [1, 2, 4_200_000_001, 3]);
    let longer = vec![AsPathSegment::sequence(vec![9; 5])];
    assert_eq!(merge_as4(path.clone(), Some(longer)), path);
}

#[test]
fn splits_prefixes_that_do_not_fit_one_message() {
    let many: Vec<IpNet> =
        (0..3000u32).map(|at| Ipv4Net::new(Ipv4Addr::from(0x0a00_0000 + at), 32).unwrap().into()).collect();
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
    for (flags, code, value) in attributes {
        head.extend([*flags, *code, value.len() as u8]);
        head.extend(*value);
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
fn a_malformed_attribute_is_discarded_or_its_routes_treated_as_withdrawn() {
    let withdrawn = |attributes: &[(u8, u8, &[u8])]| {
        let update = Update::decode(&update(attributes), NEW).unwrap();
        (update.announced.len(), update.withdrawn.len(), update.discarded)
    };
    assert_eq!(withdrawn(&GOOD), (1, 0, 0));
    let bad: [(u8, u8, &[u8]); 9] = [
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
    let read = Update::decode(&long, NEW).unwrap();
    assert_eq!((read.announced.len(), read.withdrawn.len()), (0, 1));
}

#[test]
fn errors_that_leave_the_routes_unknown_end_the_session() {
    let error =
        |attributes: &[(u8, u8, &[u8])]| Update::decode(&update(attributes), NEW).unwrap_err().subcode();
    let unreach: (u8, u8, &[u8]) = (OPTIONAL, MP_UNREACH_NLRI, &[0, 2, 1]);
    assert_eq!(error(&[unreach, unreach]), 1);
    assert_eq!(error(&[(OPTIONAL, MP_UNREACH_NLRI, &[0, 2, 1, 129])]), 9);
    assert_eq!(error(&[(OPTIONAL, MP_REACH_NLRI, &[0, 2, 1, 4, 1, 2, 3, 4, 0])]), 9);
    assert_eq!(error(&[(TRANSITIVE, MP_REACH_NLRI, &[0, 2, 1])]), 4);
    assert_eq!(error(&[(TRANSITIVE, 99, &[])]), 2);
    assert_eq!(Update::decode(&[0, 9, 0, 0], NEW).unwrap_err().subcode(), 1);
    assert_eq!(Update::decode(&[0, 0, 0, 9], NEW).unwrap_err().subcode(), 1);
    assert_eq!(Update::decode(&[0, 0, 0, 0, 33, 1, 2, 3, 4, 5], NEW).unwrap_err().subcode(), 10);
}

proptest! {
    #[test]
    fn random_updates_round_trip(
        four in proptest::collection::vec((any::<u32>(), 0u8..=32), 1..40),
        numbers in proptest::collection::vec(1u32.., 1..8),
        communities in proptest::collection::vec(any::<u32>(), 0..9),
        large in proptest::collection::vec(any::<[u32; 3]>(), 0..5),
        med in any::<Option<u32>>(),
        four_octet_as in any::<bool>(),
    ) {
        let wire = UpdateContext { four_octet_as, internal: false };
        let nets: Vec<IpNet> =
            four.iter().map(|&(bits, length)| Ipv4Net::new(bits.into(), length).unwrap().trunc().into()).collect();
        let as_path = vec![AsPathSegment::sequence(numbers)];
        let attributes = PathAttributes { as_path, communities, large_communities: large, med, ..whole() };
        let mut bytes = Vec::new();
        announce(&mut bytes, Family::Ipv4, &nets, &attributes, wire);
        let read = read_all(&bytes, wire);
        prop_assert_eq!(&read[0].announced, &nets);
        prop_assert_eq!(&read[0].attributes, &attributes);
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

    /// Every truncation and one changed octet of a whole message: an error, or routes, and no panic.
    #[test]
    fn truncated_and_changed_updates_cause_no_panic(cut in 0usize..200, at in 0usize..200, octet in any::<u8>()) {
        let mut bytes = Vec::new();
        let for_six = PathAttributes { next_hop: Some("2001:db8::1".parse().unwrap()), ..whole() };
        announce(&mut bytes, Family::Ipv6, &nets(&["2001:db8::7/128"]), &for_six, NEW);
        let mut body = frame(&bytes).unwrap().unwrap().body.to_vec();
        let at = at % body.len();
        body[at] = octet;
        body.truncate(cut.max(1));
        let _ = Update::decode(&body, NEW);
    }
}
