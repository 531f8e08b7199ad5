//! Tests of the codec for OPEN and its capabilities.

use super::*;
use crate::message::frame;

pub fn full_open() -> Open {
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

#[test]
fn an_open_round_trips_and_every_truncation_is_rejected() {
    let mut bytes = Vec::new();
    full_open().encode(&mut bytes);
    let body = frame(&bytes).unwrap().unwrap().body;
    assert_eq!(Open::decode(body), Ok(full_open()));
    for length in 0..body.len() {
        assert!(Open::decode(&body[..length]).is_err(), "accepted an OPEN cut to {length} octets");
    }
}

#[test]
fn rejects_unacceptable_fields_with_their_subcodes() {
    let mut bytes = Vec::new();
    full_open().encode(&mut bytes);
    let body = frame(&bytes).unwrap().unwrap().body.to_vec();
    let subcode_with = |offset: usize, octets: &[u8]| {
        let mut body = body.clone();
        body[offset..offset + octets.len()].copy_from_slice(octets);
        Open::decode(&body).unwrap_err().subcode()
    };
    // Version 3, a hold time of 2 seconds, BGP identifier 0, and optional parameter type 1.
    let subcodes =
        [subcode_with(0, &[3]), subcode_with(3, &[0, 2]), subcode_with(5, &[0; 4]), subcode_with(10, &[1])];
    assert_eq!(subcodes, [1, 6, 3, 4]);
    // A hold time of 0 is valid: no keepalives are sent then.
    let mut no_hold_time = body.clone();
    no_hold_time[3..5].copy_from_slice(&[0, 0]);
    assert_eq!(Open::decode(&no_hold_time).unwrap().hold_time, 0);
    // AS 0 in the two-octet field, without the four-octet AS capability.
    assert_eq!(Open::decode(&[4, 0, 0, 0, 9, 1, 1, 1, 1, 0]).unwrap_err().subcode(), 2);
    // Two different roles.
    let roles = [4, 0, 7, 0, 9, 1, 1, 1, 1, 8, 2, 6, 9, 1, 3, 9, 1, 4];
    assert_eq!(Open::decode(&roles).unwrap_err().subcode(), 11);
}

#[test]
fn decodes_extended_parameters_and_assumes_ipv4_without_a_family() {
    // Extended optional parameters (RFC 9072) with an unknown capability.
    let body = [4, 0, 7, 0, 9, 1, 1, 1, 1, 255, 255, 0, 7, 2, 0, 4, 99, 2, 7, 7];
    let open = Open::decode(&body).unwrap();
    assert_eq!((open.asn, open.capabilities.families), (7, [true, false]));
    let wrong_length = [4, 0, 7, 0, 9, 1, 1, 1, 1, 255, 255, 255, 255, 2, 0, 4, 99, 2, 7, 7];
    assert!(Open::decode(&wrong_length).is_err());
}
