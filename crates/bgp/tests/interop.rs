//! What we write, read by a codec that others wrote (bgpkit-parser), and hostile bytes given to both.

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

const WIRE: UpdateContext = UpdateContext { four_octet_as: true, internal: false };

fn theirs(bytes: &[u8]) -> Result<BgpMessage, String> {
    let mut bytes = bytes::Bytes::copy_from_slice(bytes);
    parse_bgp_message(&mut bytes, false, &AsnLength::Bits32).map_err(|error| error.to_string())
}

fn nets(words: &[&str]) -> Vec<IpNet> {
    words.iter().map(|word| word.parse().unwrap()).collect()
}

fn attributes(hop: &str) -> PathAttributes {
    PathAttributes {
        as_path: vec![AsPathSegment::sequence(vec![4_200_000_001; 3])],
        next_hop: Some(hop.parse().unwrap()),
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

/// One of each message that we write.
fn all() -> Vec<Vec<u8>> {
    let write = |write: &dyn Fn(&mut Vec<u8>)| {
        let mut out = Vec::new();
        write(&mut out);
        out
    };
    let four = nets(&["198.51.100.7/32", "203.0.113.0/24"]);
    let six = nets(&["2001:db8:7::7/128"]);
    vec![
        write(&|out| open().encode(out)),
        write(&encode_keepalive),
        write(&|out| {
            Notification::cease(CeaseSubcode::AdministrativeShutdown, "planned stop", false).encode(out)
        }),
        write(&|out| update::announce(out, Family::Ipv4, &four, &attributes("192.0.2.1"), WIRE)),
        write(&|out| update::announce(out, Family::Ipv6, &six, &attributes("2001:db8::1"), WIRE)),
        write(&|out| update::withdraw(out, Family::Ipv4, &four)),
        write(&|out| update::withdraw(out, Family::Ipv6, &six)),
        write(&|out| update::end_of_rib(out, Family::Ipv6)),
    ]
}

#[test]
fn bgpkit_parser_reads_our_messages() {
    let all = all();
    match theirs(&all[0]).unwrap() {
        BgpMessage::Open(open) => {
            assert_eq!((open.version, open.hold_time), (4, 9));
            assert_eq!(open.bgp_identifier, "192.0.2.1".parse::<std::net::Ipv4Addr>().unwrap());
        }
        other => panic!("{other:?}"),
    }
    assert!(matches!(theirs(&all[1]).unwrap(), BgpMessage::KeepAlive));
    assert!(matches!(theirs(&all[2]).unwrap(), BgpMessage::Notification(_)));
    let routes = |bytes: &[u8]| match theirs(bytes).unwrap() {
        BgpMessage::Update(update) => {
            let prefixes = |list: &[bgpkit_parser::models::NetworkPrefix]| -> Vec<IpNet> {
                list.iter().map(|one| one.prefix).collect()
            };
            let path = update.attributes.as_path().map(|path| path.to_string());
            (prefixes(&update.announced_prefixes), prefixes(&update.withdrawn_prefixes), path)
        }
        other => panic!("{other:?}"),
    };
    let path = Some("4200000001 4200000001 4200000001".to_string());
    assert_eq!(routes(&all[3]), (nets(&["198.51.100.7/32", "203.0.113.0/24"]), Vec::new(), path.clone()));
    assert_eq!(routes(&all[4]).2, path);
    assert_eq!(routes(&all[5]).1, nets(&["198.51.100.7/32", "203.0.113.0/24"]));
    assert!(routes(&all[6]).0.is_empty());
}

/// The same hostile messages for both: cut, and with a few octets changed, from a fixed seed.
#[test]
fn hostile_messages_cause_no_panic() {
    let mut chance = SmallRng::seed_from_u64(1);
    let all = all();
    let hostile: Vec<Vec<u8>> = (0..20_000)
        .map(|at| {
            let mut bytes = all[at % all.len()].clone();
            for _ in 0..=chance.next_u32() % 4 {
                let place = message_place(chance.next_u32(), bytes.len());
                bytes[place] = chance.next_u32() as u8;
            }
            let length = (bytes.len() as u32 - chance.next_u32() % 4).max(19) as usize;
            bytes.truncate(length);
            bytes[16..18].copy_from_slice(&(length as u16).to_be_bytes());
            bytes
        })
        .collect();
    let quiet = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let tried = |read: &dyn Fn(&[u8])| {
        hostile.iter().filter(|bytes| catch_unwind(AssertUnwindSafe(|| read(bytes))).is_err()).count()
    };
    let ours = tried(&|bytes| {
        if let Ok(Some(found)) = frame(bytes) {
            match found.message_type {
                MessageType::Open => drop(Open::decode(found.body)),
                MessageType::Update => drop(Update::decode(found.body, WIRE)),
                MessageType::Notification => drop(Notification::decode(found.body).to_string()),
                _ => {}
            }
        }
    });
    let other = tried(&|bytes| drop(theirs(bytes)));
    std::panic::set_hook(quiet);
    println!("of {} hostile messages: ours panics at {ours}, bgpkit-parser at {other}", hostile.len());
    assert_eq!(ours, 0);
}

/// Behind the marker, the length and the type.
fn message_place(draw: u32, length: usize) -> usize {
    if length <= 19 {
        18
    } else {
        19 + draw as usize % (length - 19)
    }
}
