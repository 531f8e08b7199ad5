use super::*;

fn split_packets(mut bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut packets = Vec::new();
    while let Some(packet) = parse_packet(bytes, 1 << 20).unwrap() {
        packets.push((packet.sequence, packet.body.to_vec()));
        bytes = &bytes[HEADER + packet.body.len()..];
    }
    assert!(bytes.is_empty());
    packets
}

/// A login as client libraries write it. A schema, a plugin name and attributes follow the fields that are parsed.
fn login_packet(flags: u32, auth_response: &[u8]) -> Vec<u8> {
    let mut body = flags.to_le_bytes().to_vec();
    body.extend([0, 0, 0, 1, 45]);
    body.extend([0; 23]);
    body.extend(b"app\0");
    body.push(auth_response.len() as u8);
    body.extend(auth_response);
    body.extend(b"reports\0mysql_native_password\0");
    body
}

#[test]
fn a_packet_is_incomplete_until_its_last_byte_has_arrived() {
    let bytes = [3, 0, 0, 7, b'a', b'b', b'c', 9];
    for end in 0..7 {
        assert_eq!(parse_packet(&bytes[..end], 10), Ok(None), "{end} bytes");
    }
    assert_eq!(parse_packet(&bytes, 10), Ok(Some(Packet { sequence: 7, body: b"abc" })));
}

#[test]
fn a_packet_that_is_too_long_is_refused_once_its_header_is_read() {
    assert_eq!(parse_packet(&[0xff, 0xff, 0xff, 0], 1000).unwrap_err().code, PACKET_TOO_LARGE);
    assert!(parse_packet(&[0xe8, 0x03, 0, 0], 1000).unwrap().is_none());
}

#[test]
fn a_login_has_its_user_and_whether_a_password_was_given() {
    for (flags, auth_response, has_password) in [
        (PROTOCOL_41 | SECURE_CONNECTION | CONNECT_WITH_DB | PLUGIN_AUTH, &b""[..], false),
        (PROTOCOL_41 | LENENC_AUTH, b"\0", false),
        (PROTOCOL_41 | SECURE_CONNECTION, b"12345678901234567890", true),
    ] {
        let login = parse_login(&login_packet(flags, auth_response)).unwrap();
        assert_eq!((login.user.as_str(), login.has_password), ("app", has_password));
    }
}

#[test]
fn a_login_cut_off_at_any_byte_is_malformed_and_does_not_panic() {
    let complete = login_packet(PROTOCOL_41 | SECURE_CONNECTION, b"1234");
    let needed = complete.len() - b"reports\0mysql_native_password\0".len();
    for end in 0..needed {
        assert_eq!(parse_login(&complete[..end]).unwrap_err().code, MALFORMED_PACKET, "{end} bytes");
    }
    assert!(parse_login(&login_packet(SECURE_CONNECTION, b"")).is_err(), "a client without protocol 4.1");
}

#[test]
fn commands_are_parsed_and_malformed_ones_are_errors() {
    assert_eq!(parse_command(b"\x03SELECT 1"), Ok(Command::Query(b"SELECT 1")));
    assert_eq!(parse_command(&[0x0c, 1, 2, 0, 0]), Ok(Command::Kill(513)));
    assert_eq!(parse_command(&[0x16, 9]), Ok(Command::Unknown(0x16)));
    assert!(parse_command(&[0x0c, 1]).is_err() && parse_command(&[]).is_err());
}

#[test]
fn a_result_set_has_a_column_count_definitions_and_rows_with_eof_packets() {
    let (mut out, mut sequence) = (Vec::new(), 1);
    let long = vec![b'x'; 300];
    let rows = [vec![&b"a"[..], b"", &long]];
    let names = ["one", "two", "three"].map(String::from);
    write_result_set(&mut out, &mut sequence, &names, rows.iter().map(|row| row.iter().copied()));
    let packets = split_packets(&out);
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
fn sequence_numbers_wrap_and_errors_have_code_state_and_message() {
    let (mut out, mut sequence) = (Vec::new(), 255);
    write_ok(&mut out, &mut sequence);
    write_error(&mut out, &mut sequence, TOO_MANY_CONNECTIONS, "pushback=250");
    let packets = split_packets(&out);
    assert_eq!((packets[0].0, packets[1].0), (255, 0));
    assert_eq!(packets[1].1, b"\xff\x10\x04#08004pushback=250");
}
