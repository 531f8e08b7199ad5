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

    fn take_array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], Bad> {
        let Some((taken, rest)) = self.0.split_first_chunk() else {
            return bad(MALFORMED, "the packet ends too early");
        };
        self.0 = rest;
        Ok(*taken)
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
            0xfc => u16::from_le_bytes(self.take_array()?).into(),
            0xfb | 0xfd.. => return bad(MALFORMED, "a length in the packet is out of range"),
            short => usize::from(short),
        };
        self.take(length)
    }
}

/// A client's HandshakeResponse41.
pub fn login(body: &[u8]) -> Result<Login, Bad> {
    let mut reader = Reader(body);
    let flags = u32::from_le_bytes(reader.take_array()?);
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
pub fn rejected(out: &mut Vec<u8>, sequence: &mut u8, retry_after: Option<f64>) {
    let advice = retry_after.map(|wait| format!(" pushback={}", (wait * 1e3).ceil() as u64));
    let words = format!("turned back, trying again is harmless{}", advice.unwrap_or_default());
    error(out, sequence, TOO_MANY, &words);
}

pub fn failed(out: &mut Vec<u8>, sequence: &mut u8) {
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
            for name in names {
                put_counted(out, name);
            }
            out.extend([0x0c, UTF8MB4, 0, 0xff, 0xff, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        });
    }
    eof(out, sequence);
    for row in rows {
        put(out, sequence, |out| {
            for value in row {
                put_counted(out, value);
            }
        });
    }
    eof(out, sequence);
}

#[cfg(test)]
mod tests;
