//! Frames and ROUTE-REFRESH, written and read.

use super::*;

#[test]
fn a_frame_is_known_when_it_is_whole_and_refused_at_its_first_wrong_byte() {
    let mut bytes = Vec::new();
    keepalive(&mut bytes);
    for length in 0..bytes.len() {
        assert_eq!(frame(&bytes[..length]), Ok(None));
    }
    assert_eq!(frame(&bytes).unwrap().unwrap().kind, KEEPALIVE);
    assert_eq!(frame(b"GET / HTTP/1.1").unwrap_err().subcode, 1);
    for (length, kind, subcode) in
        [(18u16, KEEPALIVE, 2), (20, KEEPALIVE, 2), (4097, UPDATE, 2), (22, UPDATE, 2), (19, 9, 3)]
    {
        bytes[16..18].copy_from_slice(&length.to_be_bytes());
        bytes[18] = kind;
        assert_eq!(frame(&bytes).unwrap_err().subcode, subcode, "{length} {kind}");
    }
}

#[test]
fn a_refresh_reads_as_it_was_written_and_an_unknown_one_is_passed_over() {
    for what in [Refresh::Asked(Family::Ipv4), Refresh::Begins(Family::Ipv6), Refresh::Ends(Family::Ipv6)] {
        let mut bytes = Vec::new();
        put_refresh(&mut bytes, what);
        assert_eq!(refresh(frame(&bytes).unwrap().unwrap().body), what);
    }
    assert_eq!(refresh(&[0, 9, 0, 1]), Refresh::Unknown);
    assert_eq!(refresh(&[0, 1, 7, 1]), Refresh::Unknown);
}
