//! The MySQL client protocol 4.1, the server's side: packets, login, commands and answers, in EOF form.

pub const VERSION: &str = "8.0.0-cleatgw";

const LONG_PASSWORD: u32 = 1;
const CONNECT_WITH_DB: u32 = 1 << 3;
const PROTOCOL_41: u32 = 1 << 9;
const SSL: u32 = 1 << 11;
const TRANSACTIONS: u32 = 1 << 13;
const SECURE_CONNECTION: u32 = 1 << 15;
const PLUGIN_AUTH: u32 = 1 << 19;
const CONNECT_ATTRS: u32 = 1 << 20;
const LENENC_AUTH: u32 = 1 << 21;
const OFFERED: u32 = LONG_PASSWORD
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | PLUGIN_AUTH
    | CONNECT_ATTRS
    | LENENC_AUTH;
const AUTOCOMMIT: [u8; 2] = [2, 0];
const UTF8MB4: u8 = 45;

/// An error's code and state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Code(pub u16, pub &'static str);

const TOO_MANY: Code = Code(1040, "08004");
pub const DENIED: Code = Code(1045, "28000");
pub const NOT_COMMAND: Code = Code(1047, "08S01");
pub const NO_SUCH_SESSION: Code = Code(1094, "HY000");
const FAILED: Code = Code(1105, "HY000");
pub const TOO_LONG: Code = Code(1153, "08S01");
pub const OUT_OF_ORDER: Code = Code(1156, "08S01");
pub const NOT_UNDERSTOOD: Code = Code(1064, "42000");
const INTERRUPTED: Code = Code(1317, "70100");
pub const MALFORMED: Code = Code(1835, "HY000");

/// Why bytes make no packet that is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bad {
    pub code: Code,
    pub why: &'static str,
}

const fn bad<T>(code: Code, why: &'static str) -> Result<T, Bad> {
    Err(Bad { code, why })
}

#[derive(Debug, PartialEq)]
pub struct Packet<'a> {
    pub sequence: u8,
    pub body: &'a [u8],
}

pub const HEADER: usize = 4;

/// The first packet of the input, or none yet; no more than `most` bytes of body are waited for.
pub fn packet(input: &[u8], most: usize) -> Result<Option<Packet<'_>>, Bad> {
    let Some(header) = input.get(..HEADER) else { return Ok(None) };
    let length = usize::from(header[0]) | usize::from(header[1]) << 8 | usize::from(header[2]) << 16;
    if length > most {
        return bad(TOO_LONG, "the packet is longer than this gateway takes");
    }
    let body = input.get(HEADER..HEADER + length);
    Ok(body.map(|body| Packet { sequence: header[3], body }))
}

#[derive(Debug, PartialEq)]
pub struct Login {
    pub user: String,
    pub with_password: bool,
}

/// Takes a body apart from left to right.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], Bad> {
        if length > self.0.len() {
            return bad(MALFORMED, "the packet ends too early");
        }
        let (taken, rest) = self.0.split_at(length);
        self.0 = rest;
        Ok(taken)
    }

    fn until_zero(&mut self) -> Result<&'a [u8], Bad> {
        let Some(end) = self.0.iter().position(|&byte| byte == 0) else {
            return bad(MALFORMED, "a text in the packet has no end");
        };
        let text = self.take(end)?;
        self.take(1)?;
        Ok(text)
    }

    fn counted(&mut self) -> Result<&'a [u8], Bad> {
        let first = self.take(1)?[0];
        let length = match first {
            0xfc => u16::from_le_bytes(self.take(2)?.try_into().expect("two bytes")).into(),
            0xfb | 0xfd.. => return bad(MALFORMED, "a length in the packet is out of range"),
            short => usize::from(short),
        };
        self.take(length)
    }
}

/// A client's HandshakeResponse41.
pub fn login(body: &[u8]) -> Result<Login, Bad> {
    let mut reader = Reader(body);
    let flags = u32::from_le_bytes(reader.take(4)?.try_into().expect("four bytes"));
    if flags & PROTOCOL_41 == 0 {
        return bad(MALFORMED, "protocol 4.1 is needed");
    }
    if flags & SSL != 0 && body.len() == 32 {
        return bad(MALFORMED, "encryption is not offered");
    }
    reader.take(4 + 1 + 23)?;
    let user = String::from_utf8_lossy(reader.until_zero()?).into_owned();
    let proof = if flags & (LENENC_AUTH | SECURE_CONNECTION) != 0 {
        reader.counted()?
    } else {
        reader.until_zero()?
    };
    // Some drivers write the empty password as its closing zero.
    Ok(Login { user, with_password: !matches!(proof, [] | [0]) })
}

#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    Quit,
    Query(&'a [u8]),
    Ping,
    Statistics,
    Kill(u32),
    /// Answered with OK, as there is no state to change: a schema or a user chosen, a session reset.
    Harmless,
    SetOption,
    Unknown(u8),
}

pub fn command(body: &[u8]) -> Result<Command<'_>, Bad> {
    let Some((&first, rest)) = body.split_first() else {
        return bad(MALFORMED, "a packet without a command");
    };
    Ok(match first {
        0x01 => Command::Quit,
        0x03 => Command::Query(rest),
        0x0e => Command::Ping,
        0x09 => Command::Statistics,
        0x0c => match rest.try_into() {
            Ok(id) => Command::Kill(u32::from_le_bytes(id)),
            Err(_) => return bad(MALFORMED, "a kill without a connection id"),
        },
        0x02 | 0x11 | 0x1f => Command::Harmless,
        0x1b => Command::SetOption,
        other => Command::Unknown(other),
    })
}

/// Writes one packet; the sequence goes up by one.
fn put(out: &mut Vec<u8>, sequence: &mut u8, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0, 0, 0, *sequence]);
    body(out);
    let length = out.len() - start - HEADER;
    out[start..start + 3].copy_from_slice(&(length as u32).to_le_bytes()[..3]);
    *sequence = sequence.wrapping_add(1);
}

fn put_counted(out: &mut Vec<u8>, text: &[u8]) {
    match text.len() {
        short @ 0..=250 => out.push(short as u8),
        middle @ 251..=0xffff => {
            out.push(0xfc);
            out.extend((middle as u16).to_le_bytes());
        }
        long => {
            out.push(0xfd);
            out.extend(&(long as u32).to_le_bytes()[..3]);
        }
    }
    out.extend(text);
}

pub fn greeting(out: &mut Vec<u8>, session: u32, scramble: [u8; 20]) {
    put(out, &mut 0, |out| {
        out.push(10);
        out.extend(VERSION.bytes().chain([0]));
        out.extend(session.to_le_bytes());
        out.extend(scramble[..8].iter().chain(&[0]));
        out.extend(&OFFERED.to_le_bytes()[..2]);
        out.push(UTF8MB4);
        out.extend(AUTOCOMMIT);
        out.extend(&OFFERED.to_le_bytes()[2..]);
        out.push(21);
        out.extend([0; 10]);
        out.extend(scramble[8..].iter().chain(&[0]));
        out.extend(b"mysql_native_password\0");
    });
}

pub fn ok(out: &mut Vec<u8>, sequence: &mut u8) {
    put(out, sequence, |out| out.extend([0, 0, 0, AUTOCOMMIT[0], AUTOCOMMIT[1], 0, 0]));
}

pub fn eof(out: &mut Vec<u8>, sequence: &mut u8) {
    put(out, sequence, |out| out.extend([0xfe, 0, 0, AUTOCOMMIT[0], AUTOCOMMIT[1]]));
}

/// The bare text that answers a command for statistics.
pub fn text(out: &mut Vec<u8>, sequence: &mut u8, words: &str) {
    put(out, sequence, |out| out.extend(words.bytes()));
}

pub fn error(out: &mut Vec<u8>, sequence: &mut u8, code: Code, words: &str) {
    put(out, sequence, |out| {
        out.push(0xff);
        out.extend(code.0.to_le_bytes());
        out.push(b'#');
        out.extend(code.1.bytes());
        out.extend(words.bytes().take(480));
    });
}

/// The refusal after which trying again is harmless, in so many seconds.
pub fn turned_back(out: &mut Vec<u8>, sequence: &mut u8, come_back_in: Option<f64>) {
    let advice = come_back_in.map(|wait| format!(" pushback={}", (wait * 1e3).ceil() as u64));
    let words = format!("turned back, trying again is harmless{}", advice.unwrap_or_default());
    error(out, sequence, TOO_MANY, &words);
}

pub fn terminated(out: &mut Vec<u8>, sequence: &mut u8) {
    error(out, sequence, FAILED, "terminated: the job was not completed");
}

pub fn killed(out: &mut Vec<u8>, sequence: &mut u8) {
    error(out, sequence, INTERRUPTED, "the query was killed");
}

/// A result set of text columns.
pub fn result<'a, R, C>(out: &mut Vec<u8>, sequence: &mut u8, columns: &[String], rows: R)
where
    R: Iterator<Item = C>,
    C: Iterator<Item = &'a [u8]>,
{
    put(out, sequence, |out| out.push(columns.len() as u8));
    for column in columns {
        put(out, sequence, |out| {
            put_counted(out, b"def");
            let names = [&b""[..], b"", b"", column.as_bytes(), column.as_bytes()];
            names.into_iter().for_each(|text| put_counted(out, text));
            out.extend([0x0c, UTF8MB4, 0, 0xff, 0xff, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        });
    }
    eof(out, sequence);
    for row in rows {
        put(out, sequence, |out| row.for_each(|value| put_counted(out, value)));
    }
    eof(out, sequence);
}

#[cfg(test)]
mod tests {
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
}
