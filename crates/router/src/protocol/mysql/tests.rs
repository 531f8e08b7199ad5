use super::*;

fn packets(mut bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut found = Vec::new();
    while let Some(packet) = packet(bytes, 1 << 20).unwrap() {
        found.push((packet.sequence, packet.body.to_vec()));
        bytes = &bytes[HEADER + packet.body.len()..];
    }
    assert!(bytes.is_empty());
    found
}

/// A login as libraries write it, with a schema, a plugin's name and attributes behind what is read.
fn a_login(flags: u32, proof: &[u8]) -> Vec<u8> {
    let mut body = flags.to_le_bytes().to_vec();
    body.extend([0, 0, 0, 1, 45]);
    body.extend([0; 23]);
    body.extend(b"app\0");
    body.push(proof.len() as u8);
    body.extend(proof);
    body.extend(b"reports\0mysql_native_password\0");
    body
}

#[test]
fn a_packet_is_whole_or_awaited_wherever_it_is_split() {
    let bytes = [3, 0, 0, 7, b'a', b'b', b'c', 9];
    for end in 0..7 {
        assert_eq!(packet(&bytes[..end], 10), Ok(None), "{end} bytes");
    }
    assert_eq!(packet(&bytes, 10), Ok(Some(Packet { sequence: 7, body: b"abc" })));
}

#[test]
fn a_packet_that_is_too_long_is_refused_by_its_header() {
    assert_eq!(packet(&[0xff, 0xff, 0xff, 0], 1000).unwrap_err().code, TOO_LONG);
    assert!(packet(&[0xe8, 0x03, 0, 0], 1000).unwrap().is_none());
}

#[test]
fn a_login_tells_its_user_and_whether_it_has_a_password() {
    for (flags, proof, password) in [
        (PROTOCOL_41 | SECURE_CONNECTION | CONNECT_WITH_DB | PLUGIN_AUTH, &b""[..], false),
        (PROTOCOL_41 | LENENC_AUTH, b"\0", false),
        (PROTOCOL_41 | SECURE_CONNECTION, b"12345678901234567890", true),
    ] {
        let login = login(&a_login(flags, proof)).unwrap();
        assert_eq!((login.user.as_str(), login.with_password), ("app", password));
    }
}

#[test]
fn a_login_that_ends_anywhere_too_early_is_malformed_and_no_panic() {
    let whole = a_login(PROTOCOL_41 | SECURE_CONNECTION, b"1234");
    let needed = whole.len() - b"reports\0mysql_native_password\0".len();
    for end in 0..needed {
        assert_eq!(login(&whole[..end]).unwrap_err().code, MALFORMED, "{end} bytes");
    }
    assert!(login(&a_login(SECURE_CONNECTION, b"")).is_err(), "an old protocol");
}

#[test]
fn commands_are_told_apart_and_broken_ones_named() {
    assert_eq!(command(b"\x03SELECT 1"), Ok(Command::Query(b"SELECT 1")));
    assert_eq!(command(&[0x0c, 1, 2, 0, 0]), Ok(Command::Kill(513)));
    assert_eq!(command(&[0x16, 9]), Ok(Command::Unknown(0x16)));
    assert!(command(&[0x0c, 1]).is_err() && command(&[]).is_err());
}

#[test]
fn a_result_set_is_counted_defined_and_closed_by_eof_packets() {
    let (mut out, mut sequence) = (Vec::new(), 1);
    let long = vec![b'x'; 300];
    let rows = [vec![&b"a"[..], b"", &long]];
    let names = ["one", "two", "three"].map(String::from);
    result(&mut out, &mut sequence, &names, rows.iter().map(|row| row.iter().copied()));
    let packets = packets(&out);
    let sequences: Vec<u8> = packets.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!(sequences, [1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(packets[0].1, [3]);
    assert!(packets[1].1.starts_with(b"\x03def\0\0\0\x03one\x03one\x0c"));
    assert_eq!((packets[4].1[0], packets[6].1[0]), (0xfe, 0xfe));
    let mut row = b"\x01a\0\xfc\x2c\x01".to_vec();
    row.extend(&long);
    assert_eq!(packets[5].1, row);
}

#[test]
fn sequences_wrap_and_errors_carry_code_state_and_words() {
    let (mut out, mut sequence) = (Vec::new(), 255);
    ok(&mut out, &mut sequence);
    error(&mut out, &mut sequence, TOO_MANY, "pushback=250");
    let packets = packets(&out);
    assert_eq!((packets[0].0, packets[1].0), (255, 0));
    assert_eq!(packets[1].1, b"\xff\x10\x04#08004pushback=250");
}
