//! The server's side of the MySQL client protocol 4.1: packets, login, commands and answers. Result sets are in the
//! form with EOF packets.

/// The server version in the greeting.
pub const VERSION: &str = "8.0.0-cleatgw";

// Capability flags.
const LONG_PASSWORD: u32 = 1;
const CONNECT_WITH_DB: u32 = 1 << 3;
const PROTOCOL_41: u32 = 1 << 9;
const SSL: u32 = 1 << 11;
const TRANSACTIONS: u32 = 1 << 13;
const SECURE_CONNECTION: u32 = 1 << 15;
const PLUGIN_AUTH: u32 = 1 << 19;
const CONNECT_ATTRS: u32 = 1 << 20;
const LENENC_AUTH: u32 = 1 << 21;
/// The capabilities in the greeting.
const OFFERED: u32 = LONG_PASSWORD
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | PLUGIN_AUTH
    | CONNECT_ATTRS
    | LENENC_AUTH;
/// The status flags of every answer: autocommit is on.
const AUTOCOMMIT: [u8; 2] = [2, 0];
/// The number of the character set utf8mb4.
const UTF8MB4: u8 = 45;

/// The code and the SQL state of an error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorCode(pub u16, pub &'static str);

const TOO_MANY_CONNECTIONS: ErrorCode = ErrorCode(1040, "08004");
pub const ACCESS_DENIED: ErrorCode = ErrorCode(1045, "28000");
pub const UNKNOWN_COMMAND: ErrorCode = ErrorCode(1047, "08S01");
pub const NO_SUCH_SESSION: ErrorCode = ErrorCode(1094, "HY000");
const UNKNOWN_ERROR: ErrorCode = ErrorCode(1105, "HY000");
pub const PACKET_TOO_LARGE: ErrorCode = ErrorCode(1153, "08S01");
pub const PACKETS_OUT_OF_ORDER: ErrorCode = ErrorCode(1156, "08S01");
pub const PARSE_ERROR: ErrorCode = ErrorCode(1064, "42000");
const QUERY_INTERRUPTED: ErrorCode = ErrorCode(1317, "70100");
pub const MALFORMED_PACKET: ErrorCode = ErrorCode(1835, "HY000");

/// Why a packet is refused: the error that its client is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacketError {
    pub code: ErrorCode,
    pub message: &'static str,
}

const fn refuse<T>(code: ErrorCode, message: &'static str) -> Result<T, PacketError> {
    Err(PacketError { code, message })
}

#[derive(Debug, PartialEq)]
pub struct Packet<'a> {
    pub sequence: u8,
    pub body: &'a [u8],
}

/// The longest message of an error that is sent, in bytes.
const MAX_MESSAGE: usize = 480;
/// Length of a packet's header, in bytes.
pub const HEADER: usize = 4;
/// The longest length that is written before a value, in bytes.
const MAX_LENGTH_PREFIX: usize = 4;

/// The length of the body of the first packet in the input, as its header states it. None while the header is incomplete.
pub fn first_body_length(input: &[u8]) -> Option<usize> {
    let header = input.get(..HEADER)?;
    Some(usize::from(header[0]) | usize::from(header[1]) << 8 | usize::from(header[2]) << 16)
}

/// Parses the first packet in the input. Returns none while it is incomplete.
///
/// # Errors
/// According to its header, the body is longer than `max_body` bytes. This is reported without waiting for the body.
pub fn parse_packet(input: &[u8], max_body: usize) -> Result<Option<Packet<'_>>, PacketError> {
    let Some(length) = first_body_length(input) else { return Ok(None) };
    if length > max_body {
        return refuse(PACKET_TOO_LARGE, "the packet is longer than this gateway takes");
    }
    let body = input.get(HEADER..HEADER + length);
    Ok(body.map(|body| Packet { sequence: input[HEADER - 1], body }))
}

/// A client's login.
#[derive(Debug, PartialEq)]
pub struct Login {
    pub user: String,
    /// Whether the client answered the challenge with a password.
    pub has_password: bool,
}

/// Reads the fields of a packet body in order.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], PacketError> {
        if length > self.0.len() {
            return refuse(MALFORMED_PACKET, "the packet ends too early");
        }
        let (taken, rest) = self.0.split_at(length);
        self.0 = rest;
        Ok(taken)
    }

    fn take_array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], PacketError> {
        let Some((taken, rest)) = self.0.split_first_chunk() else {
            return refuse(MALFORMED_PACKET, "the packet ends too early");
        };
        self.0 = rest;
        Ok(*taken)
    }

    /// A text that ends with a zero byte.
    fn take_zero_terminated(&mut self) -> Result<&'a [u8], PacketError> {
        let Some(end) = self.0.iter().position(|&byte| byte == 0) else {
            return refuse(MALFORMED_PACKET, "a text in the packet has no end");
        };
        let text = self.take(end)?;
        self.take(1)?;
        Ok(text)
    }

    /// Bytes with their length before them. Lengths up to 65,535 are accepted. NULL (0xfb) and the longer encodings of
    /// lengths (0xfd and above) are refused.
    fn take_length_prefixed(&mut self) -> Result<&'a [u8], PacketError> {
        let first = self.take(1)?[0];
        let length = match first {
            0xfc => u16::from_le_bytes(self.take_array()?).into(),
            0xfb | 0xfd.. => return refuse(MALFORMED_PACKET, "a length in the packet is out of range"),
            short => usize::from(short),
        };
        self.take(length)
    }
}

/// Parses a client's HandshakeResponse41.
///
/// # Errors
/// The client lacks protocol 4.1, asks for encryption, or the packet is malformed.
pub fn parse_login(body: &[u8]) -> Result<Login, PacketError> {
    let mut reader = Reader(body);
    let flags = u32::from_le_bytes(reader.take_array()?);
    if flags & PROTOCOL_41 == 0 {
        return refuse(MALFORMED_PACKET, "protocol 4.1 is needed");
    }
    // A request for encryption (SSLRequest) has 32 bytes. A client that sets the flag but sends a complete login is
    // accepted and goes on unencrypted.
    if flags & SSL != 0 && body.len() == 32 {
        return refuse(MALFORMED_PACKET, "encryption is not offered");
    }
    // The longest packet, the character set and the reserved bytes are skipped.
    reader.take(4 + 1 + 23)?;
    let user = String::from_utf8_lossy(reader.take_zero_terminated()?).into_owned();
    let auth_response = if flags & (LENENC_AUTH | SECURE_CONNECTION) != 0 {
        reader.take_length_prefixed()?
    } else {
        reader.take_zero_terminated()?
    };
    // Some drivers send an empty password as a single zero byte, its terminator.
    Ok(Login { user, has_password: !matches!(auth_response, [] | [0]) })
}

/// A command of a client.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    Quit,
    Query(&'a [u8]),
    Ping,
    Statistics,
    /// Kills the session with this id.
    Kill(u32),
    /// A choice of a schema or user, or a reset of the session. Answered with OK, as sessions have no
    /// such state.
    NoOp,
    SetOption,
    /// A command with this number, which is not served.
    Unknown(u8),
}

/// Parses a client's command.
///
/// # Errors
/// The packet is empty, or a kill has no connection id.
pub fn parse_command(body: &[u8]) -> Result<Command<'_>, PacketError> {
    let Some((&first, rest)) = body.split_first() else {
        return refuse(MALFORMED_PACKET, "a packet without a command");
    };
    Ok(match first {
        0x01 => Command::Quit,
        0x03 => Command::Query(rest),
        0x0e => Command::Ping,
        0x09 => Command::Statistics,
        0x0c => match rest.try_into() {
            Ok(id) => Command::Kill(u32::from_le_bytes(id)),
            Err(_) => return refuse(MALFORMED_PACKET, "a kill without a connection id"),
        },
        0x02 | 0x11 | 0x1f => Command::NoOp,
        0x1b => Command::SetOption,
        other => Command::Unknown(other),
    })
}

/// Writes one packet and increments the sequence number.
fn write_packet(out: &mut Vec<u8>, sequence: &mut u8, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0, 0, 0, *sequence]);
    body(out);
    let length = out.len() - start - HEADER;
    out[start..start + 3].copy_from_slice(&(length as u32).to_le_bytes()[..3]);
    *sequence = sequence.wrapping_add(1);
}

/// Writes bytes with their length before them.
fn write_length_prefixed(out: &mut Vec<u8>, text: &[u8]) {
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

/// Writes the greeting of a session, whose id clients know as the connection id. The challenge for the password
/// (`scramble`) is sent in two parts, of 8 and 12 bytes.
pub fn write_greeting(out: &mut Vec<u8>, session: u32, scramble: [u8; 20]) {
    write_packet(out, &mut 0, |out| {
        // The protocol version.
        out.push(10);
        out.extend(VERSION.bytes().chain([0]));
        out.extend(session.to_le_bytes());
        out.extend(scramble[..8].iter().chain(&[0]));
        out.extend(&OFFERED.to_le_bytes()[..2]);
        out.push(UTF8MB4);
        out.extend(AUTOCOMMIT);
        out.extend(&OFFERED.to_le_bytes()[2..]);
        // The length of the challenge with its closing zero, and the reserved bytes.
        out.push(21);
        out.extend([0; 10]);
        out.extend(scramble[8..].iter().chain(&[0]));
        out.extend(b"mysql_native_password\0");
    });
}

pub fn write_ok(out: &mut Vec<u8>, sequence: &mut u8) {
    write_packet(out, sequence, |out| out.extend([0, 0, 0, AUTOCOMMIT[0], AUTOCOMMIT[1], 0, 0]));
}

pub fn write_eof(out: &mut Vec<u8>, sequence: &mut u8) {
    write_packet(out, sequence, |out| out.extend([0xfe, 0, 0, AUTOCOMMIT[0], AUTOCOMMIT[1]]));
}

/// Writes the plain text that answers a statistics command.
pub fn write_text(out: &mut Vec<u8>, sequence: &mut u8, text: &str) {
    write_packet(out, sequence, |out| out.extend(text.bytes()));
}

/// Writes an error. A message that is longer than `MAX_MESSAGE` is cut.
pub fn write_error(out: &mut Vec<u8>, sequence: &mut u8, code: ErrorCode, message: &str) {
    write_packet(out, sequence, |out| {
        out.push(0xff);
        out.extend(code.0.to_le_bytes());
        out.push(b'#');
        out.extend(code.1.bytes());
        out.extend(message.bytes().take(MAX_MESSAGE));
    });
}

/// Writes that the request was rejected and can be retried safely, after `retry_after` seconds if given.
pub fn write_rejected(out: &mut Vec<u8>, sequence: &mut u8, retry_after: Option<f64>) {
    let pushback = retry_after.map(|seconds| format!(" pushback={}", (seconds * 1e3).ceil() as u64));
    let message = format!("turned back, trying again is harmless{}", pushback.unwrap_or_default());
    write_error(out, sequence, TOO_MANY_CONNECTIONS, &message);
}

/// Writes that the request failed.
pub fn write_failed(out: &mut Vec<u8>, sequence: &mut u8) {
    write_error(out, sequence, UNKNOWN_ERROR, "terminated: the job was not completed");
}

/// Writes that the request was killed.
pub fn write_killed(out: &mut Vec<u8>, sequence: &mut u8) {
    write_error(out, sequence, QUERY_INTERRUPTED, "the query was killed");
}

/// Writes a result set of text columns.
pub fn write_result_set<'a, R, C>(out: &mut Vec<u8>, sequence: &mut u8, columns: &[String], rows: R)
where
    R: Iterator<Item = C>,
    C: Iterator<Item = &'a [u8]>,
{
    write_columns(out, sequence, columns);
    for row in rows {
        write_row(out, sequence, row);
    }
    write_eof(out, sequence);
}

/// Writes the beginning of a result set: the descriptions of its text columns. The rows and an EOF packet follow.
pub fn write_columns(out: &mut Vec<u8>, sequence: &mut u8, columns: &[String]) {
    write_packet(out, sequence, |out| out.push(columns.len() as u8));
    for column in columns {
        write_packet(out, sequence, |out| {
            write_length_prefixed(out, b"def");
            let names = [&b""[..], b"", b"", column.as_bytes(), column.as_bytes()];
            for name in names {
                write_length_prefixed(out, name);
            }
            // The length of the fixed fields, the character set (2 bytes), the column length (4 bytes), the type
            // VAR_STRING, the flags (2 bytes), the decimals, and the reserved bytes (2).
            out.extend([0x0c, UTF8MB4, 0, 0xff, 0xff, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        });
    }
    write_eof(out, sequence);
}

/// The most bytes that a packet with one row has, whose values have `values_len` bytes together.
pub const fn max_row_packet(values_len: usize, values: usize) -> usize {
    HEADER + values * MAX_LENGTH_PREFIX + values_len
}

/// Writes one row of a result set.
pub fn write_row<'a>(out: &mut Vec<u8>, sequence: &mut u8, values: impl Iterator<Item = &'a [u8]>) {
    write_packet(out, sequence, |out| {
        for value in values {
            write_length_prefixed(out, value);
        }
    });
}

#[cfg(test)]
mod tests;
