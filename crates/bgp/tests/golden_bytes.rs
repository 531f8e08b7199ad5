//! Golden bytes: messages of each type must be encoded to the bytes that were recorded in `golden/messages.txt` before
//! the code was restructured. A difference is a change on the wire.

use cleatgw_bgp::message::{self, RouteRefresh};
use cleatgw_bgp::update::{self, AsPathSegment, Origin, UpdateContext};
use cleatgw_bgp::{
    frame, Capabilities, CeaseSubcode, Family, GracefulRestart, Notification, Open, PathAttributes, Role,
};
use expect_test::expect_file;
use ipnet::IpNet;
use std::net::Ipv4Addr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// One line for each message in `bytes`.
fn lines(name: &str, bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut offset = 0;
    while let Some(message) = frame(&bytes[offset..]).expect("the messages are valid") {
        text += &format!(
            "{name} {:?} {}\n",
            message.message_type,
            hex(&bytes[offset..offset + message.length()])
        );
        offset += message.length();
    }
    assert_eq!(offset, bytes.len(), "{name}: bytes after the last message");
    text
}

fn open() -> Open {
    Open {
        asn: 4_200_000_001,
        hold_time: 9,
        identifier: Ipv4Addr::new(192, 0, 2, 1),
        capabilities: Capabilities {
            families: [true, true],
            four_octet_as: Some(4_200_000_001),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: Some(GracefulRestart {
                restart_state: true,
                notification_support: true,
                restart_time: 120,
                families: [Some(true), Some(false)],
            }),
            role: Some(Role::Customer),
        },
    }
}

fn attributes(next_hop: &str) -> PathAttributes {
    PathAttributes {
        origin: Origin::Igp,
        as_path: vec![AsPathSegment::sequence(vec![64_500, 4_200_000_001]), AsPathSegment::set(vec![7, 8])],
        next_hop: Some(next_hop.parse().expect("a valid address")),
        med: Some(50),
        local_pref: Some(10),
        communities: vec![cleatgw_bgp::GRACEFUL_SHUTDOWN, 0xfde8_0001],
        large_communities: vec![[64_500, 1, 7]],
        only_to_customer: Some(64_500),
    }
}

fn prefixes(texts: &[&str]) -> Vec<IpNet> {
    texts.iter().map(|text| text.parse().expect("a valid prefix")).collect()
}

#[test]
fn messages_of_every_type_have_the_recorded_bytes() {
    let mut text = String::new();
    let mut add = |name: &str, write: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = Vec::new();
        write(&mut bytes);
        text += &lines(name, &bytes);
    };
    add("open", &|out| open().encode(out));
    let plain = Capabilities { graceful_restart: None, role: None, ..open().capabilities };
    add("open-plain", &|out| Open { asn: 64_500, capabilities: plain.clone(), ..open() }.encode(out));
    add("keepalive", &|out| message::encode_keepalive(out));
    for refresh in [
        RouteRefresh::Request(Family::Ipv4),
        RouteRefresh::BeginOfRefresh(Family::Ipv6),
        RouteRefresh::EndOfRefresh(Family::Ipv6),
    ] {
        add("refresh", &|out| message::encode_route_refresh(out, refresh));
    }
    add("cease", &|out| {
        Notification::cease(CeaseSubcode::AdministrativeShutdown, "planned stop", false).encode(out)
    });
    add("hard-reset", &|out| Notification::cease(CeaseSubcode::PeerDeconfigured, "", true).encode(out));
    let ipv4 = prefixes(&["198.51.100.7/32", "10.0.0.0/8", "0.0.0.0/0"]);
    let ipv6 = prefixes(&["2001:db8::7/128", "2001:db8::/33"]);
    for (four_octet_as, internal) in [(true, false), (false, false), (true, true)] {
        let context = UpdateContext { four_octet_as, internal };
        add("announce", &|out| update::announce(out, Family::Ipv4, &ipv4, &attributes("192.0.2.7"), context));
        add("announce", &|out| {
            update::announce(out, Family::Ipv6, &ipv6, &attributes("2001:db8::1"), context)
        });
    }
    add("withdraw", &|out| update::withdraw(out, Family::Ipv4, &ipv4));
    add("withdraw", &|out| update::withdraw(out, Family::Ipv6, &ipv6));
    add("end-of-rib", &|out| update::end_of_rib(out, Family::Ipv4));
    add("end-of-rib", &|out| update::end_of_rib(out, Family::Ipv6));
    expect_file!["golden/messages.txt"].assert_eq(&text);
}
