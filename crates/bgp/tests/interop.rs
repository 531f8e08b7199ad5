//! Interoperability with an independent codec, bgpkit-parser: it decodes our messages, and both decode hostile input.

use bgpkit_parser::models::{AsnLength, BgpMessage};
use bgpkit_parser::parser::bgp::messages::parse_bgp_message;
use cleatgw_bgp::message::{encode_keepalive, frame};
use cleatgw_bgp::update::{self, AsPathSegment, UpdateContext};
use cleatgw_bgp::{
    Capabilities, CeaseSubcode, Family, GracefulRestart, MessageType, Notification, Open, PathAttributes,
    Role, Update,
};
use ipnet::IpNet;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use std::panic::{catch_unwind, AssertUnwindSafe};

const CONTEXT: UpdateContext = UpdateContext { four_octet_as: true, internal: false };

fn parse_with_bgpkit(bytes: &[u8]) -> Result<BgpMessage, String> {
    let mut bytes = bytes::Bytes::copy_from_slice(bytes);
    parse_bgp_message(&mut bytes, false, &AsnLength::Bits32).map_err(|error| error.to_string())
}

fn nets(texts: &[&str]) -> Vec<IpNet> {
    texts.iter().map(|text| text.parse().unwrap()).collect()
}

fn attributes(next_hop: &str) -> PathAttributes {
    PathAttributes {
        as_path: vec![AsPathSegment::sequence(vec![4_200_000_001; 3])],
        next_hop: Some(next_hop.parse().unwrap()),
        med: Some(400),
        communities: vec![cleatgw_bgp::GRACEFUL_SHUTDOWN],
        large_communities: vec![[64_512, 1, 7]],
        ..PathAttributes::default()
    }
}

fn open() -> Open {
    Open {
        asn: 4_200_000_001,
        hold_time: 9,
        identifier: "192.0.2.1".parse().unwrap(),
        capabilities: Capabilities {
            families: [true, true],
            four_octet_as: Some(4_200_000_001),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: Some(GracefulRestart {
                notification_support: true,
                ..GracefulRestart::default()
            }),
            role: Some(Role::Customer),
        },
    }
}

/// One message of each kind that we write, except ROUTE-REFRESH.
fn all_messages() -> Vec<Vec<u8>> {
    let write = |encode: &dyn Fn(&mut Vec<u8>)| {
        let mut out = Vec::new();
        encode(&mut out);
        out
    };
    let ipv4 = nets(&["198.51.100.7/32", "203.0.113.0/24"]);
    let ipv6 = nets(&["2001:db8:7::7/128"]);
    vec![
        write(&|out| open().encode(out)),
        write(&encode_keepalive),
        write(&|out| {
            Notification::cease(CeaseSubcode::AdministrativeShutdown, "planned stop", false).encode(out)
        }),
        write(&|out| update::announce(out, Family::Ipv4, &ipv4, &attributes("192.0.2.1"), CONTEXT)),
        write(&|out| update::announce(out, Family::Ipv6, &ipv6, &attributes("2001:db8::1"), CONTEXT)),
        write(&|out| update::withdraw(out, Family::Ipv4, &ipv4)),
        write(&|out| update::withdraw(out, Family::Ipv6, &ipv6)),
        write(&|out| update::end_of_rib(out, Family::Ipv6)),
    ]
}

#[test]
fn bgpkit_parser_reads_our_messages() {
    let messages = all_messages();
    match parse_with_bgpkit(&messages[0]).unwrap() {
        BgpMessage::Open(open) => {
            assert_eq!((open.version, open.hold_time), (4, 9));
            assert_eq!(open.bgp_identifier, "192.0.2.1".parse::<std::net::Ipv4Addr>().unwrap());
        }
        other => panic!("{other:?}"),
    }
    assert!(matches!(parse_with_bgpkit(&messages[1]).unwrap(), BgpMessage::KeepAlive));
    assert!(matches!(parse_with_bgpkit(&messages[2]).unwrap(), BgpMessage::Notification(_)));
    let routes = |bytes: &[u8]| match parse_with_bgpkit(bytes).unwrap() {
        BgpMessage::Update(update) => {
            let prefixes = |list: &[bgpkit_parser::models::NetworkPrefix]| -> Vec<IpNet> {
                list.iter().map(|prefix| prefix.prefix).collect()
            };
            let path = update.attributes.as_path().map(|path| path.to_string());
            (prefixes(&update.announced_prefixes), prefixes(&update.withdrawn_prefixes), path)
        }
        other => panic!("{other:?}"),
    };
    let path = Some("4200000001 4200000001 4200000001".to_string());
    assert_eq!(
        routes(&messages[3]),
        (nets(&["198.51.100.7/32", "203.0.113.0/24"]), Vec::new(), path.clone())
    );
    assert_eq!(routes(&messages[4]).2, path);
    assert_eq!(routes(&messages[5]).1, nets(&["198.51.100.7/32", "203.0.113.0/24"]));
    assert!(routes(&messages[6]).0.is_empty());
}

/// Both codecs get the same hostile messages: valid ones with a few changed octets, truncated, from a fixed seed.
/// Our codec must not panic; the panics of bgpkit-parser are only counted and printed.
#[test]
fn hostile_messages_cause_no_panic() {
    let mut random = SmallRng::seed_from_u64(1);
    let messages = all_messages();
    let hostile: Vec<Vec<u8>> = (0..20_000)
        .map(|index| {
            let mut bytes = messages[index % messages.len()].clone();
            for _ in 0..=random.next_u32() % 4 {
                let offset = random_offset(random.next_u32(), bytes.len());
                bytes[offset] = random.next_u32() as u8;
            }
            let length = (bytes.len() as u32 - random.next_u32() % 4).max(19) as usize;
            bytes.truncate(length);
            bytes[16..18].copy_from_slice(&(length as u16).to_be_bytes());
            bytes
        })
        .collect();
    let panic_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let count_panics = |decode: &dyn Fn(&[u8])| {
        hostile.iter().filter(|bytes| catch_unwind(AssertUnwindSafe(|| decode(bytes))).is_err()).count()
    };
    let our_panics = count_panics(&|bytes| {
        if let Ok(Some(message)) = frame(bytes) {
            match message.message_type {
                MessageType::Open => drop(Open::decode(message.body)),
                MessageType::Update => drop(Update::decode(message.body, CONTEXT)),
                MessageType::Notification => drop(Notification::decode(message.body).to_string()),
                _ => {}
            }
        }
    });
    let bgpkit_panics = count_panics(&|bytes| drop(parse_with_bgpkit(bytes)));
    std::panic::set_hook(panic_hook);
    println!(
        "of {} hostile messages, our codec panicked at {our_panics} and bgpkit-parser at {bgpkit_panics}",
        hostile.len()
    );
    assert_eq!(our_panics, 0);
}

/// An offset after the marker and the length: in the body, or the type octet if there is no body.
fn random_offset(draw: u32, length: usize) -> usize {
    if length <= 19 {
        18
    } else {
        19 + draw as usize % (length - 19)
    }
}
