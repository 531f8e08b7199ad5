//! Tests of message framing and of the ROUTE-REFRESH codec.

use super::*;

#[test]
fn returns_a_complete_frame_and_rejects_a_wrong_marker_type_or_length() {
    let mut bytes = Vec::new();
    encode_keepalive(&mut bytes);
    for length in 0..bytes.len() {
        assert_eq!(frame(&bytes[..length]), Ok(None));
    }
    assert_eq!(frame(&bytes).unwrap().unwrap().message_type, MessageType::Keepalive);
    assert_eq!(frame(b"GET / HTTP/1.1").unwrap_err().subcode(), 1);
    // Subcode 2 is Bad Message Length, 3 is Bad Message Type.
    let (keepalive, update) = (MessageType::Keepalive as u8, MessageType::Update as u8);
    for (length, code, subcode) in
        [(18u16, keepalive, 2), (20, keepalive, 2), (4097, update, 2), (22, update, 2), (19, 9, 3)]
    {
        bytes[16..18].copy_from_slice(&length.to_be_bytes());
        bytes[18] = code;
        assert_eq!(frame(&bytes).unwrap_err().subcode(), subcode, "length {length}, type {code}");
    }
}

#[test]
fn a_route_refresh_round_trips_and_an_unknown_one_is_ignored() {
    for refresh in [
        RouteRefresh::Request(Family::Ipv4),
        RouteRefresh::BeginOfRefresh(Family::Ipv6),
        RouteRefresh::EndOfRefresh(Family::Ipv6),
    ] {
        let mut bytes = Vec::new();
        encode_route_refresh(&mut bytes, refresh);
        assert_eq!(decode_route_refresh(frame(&bytes).unwrap().unwrap().body), refresh);
    }
    assert_eq!(decode_route_refresh(&[0, 9, 0, 1]), RouteRefresh::Unknown);
    assert_eq!(decode_route_refresh(&[0, 1, 7, 1]), RouteRefresh::Unknown);
}
