//! Queries the status tables of a running router, over its client port.

use crate::protocol::mysql;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Limit for connecting, and for each read.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Rows that are read of one answer, at most.
const MAX_ROWS: usize = 4096;
/// Longest packet body that is accepted, in bytes.
const MAX_PACKET_BYTES: usize = 1024 * 1024;
/// The topics of status tables.
const TOPICS: [&str; 5] = ["announcements", "cluster", "duties", "store", "teams"];
/// Capability flags of the login: protocol 4.1, secure connection, connect with a schema.
const CLIENT_FLAGS: u32 = 1 << 9 | 1 << 15 | 1 << 3;
/// Bytes after the capability flags that are 0: the packet limit, the character set and the reserved bytes.
const LOGIN_ZEROS: usize = 28;
/// The first byte of an error packet.
const ERROR_PACKET: u8 = 0xff;
/// Bytes of an error packet before its message.
const ERROR_HEADER: usize = 9;
/// The first byte of an EOF packet. Such a packet has fewer than `EOF_PACKET_BELOW` bytes; a row that begins with this
/// byte has more.
const EOF_PACKET: u8 = 0xfe;
const EOF_PACKET_BELOW: usize = 9;

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    #[error("unknown topic {0:?}: expected announcements, cluster, duties, store or teams")]
    UnknownTopic(String),
    #[error("{address}: {source}")]
    Connection { address: SocketAddr, source: io::Error },
    #[error("no complete answer from the router: {0}")]
    Io(#[from] io::Error),
    #[error("packet too long in the router's answer: {0} bytes, the limit is {MAX_PACKET_BYTES}")]
    LongAnswer(usize),
    #[error("the router's answer does not end within {MAX_ROWS} rows")]
    EndlessAnswer,
    /// The router answered with this error, for example because it has no such table.
    #[error("{0}")]
    Refused(String),
    #[error("the router does not hold duty {role}: {row}")]
    RoleNotHeld { role: String, row: String },
    #[error("the router has no duty {0}")]
    NoSuchRole(String),
}

/// Reads the body of the next packet.
fn read_packet(stream: &mut TcpStream) -> Result<Vec<u8>, StatusError> {
    let mut header = [0; mysql::HEADER];
    stream.read_exact(&mut header)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
    if length > MAX_PACKET_BYTES {
        return Err(StatusError::LongAnswer(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a packet.
fn write_packet(out: &mut Vec<u8>, sequence: u8, body: &[u8]) {
    out.extend(&(body.len() as u32).to_le_bytes()[..3]);
    out.push(sequence);
    out.extend(body);
}

/// Takes the first text off a row. Its length is one byte, or 0xfc and two bytes. None at the end of the row or if the
/// row is malformed.
fn take_text<'a>(row: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (&first, rest) = row.split_first()?;
    let (length, rest) = match first {
        0xfc => {
            let (length, rest) = rest.split_first_chunk()?;
            (usize::from(u16::from_le_bytes(*length)), rest)
        }
        short => (usize::from(short), rest),
    };
    let (value, rest) = rest.split_at_checked(length)?;
    *row = rest;
    Some(value)
}

/// The cells of a row as one line of text.
fn line(mut row: &[u8]) -> String {
    let mut cells = Vec::new();
    while let Some(cell) = take_text(&mut row) {
        cells.push(String::from_utf8_lossy(cell).into_owned());
    }
    cells.join("  ") + "\n"
}

/// The row of a leader role that the router holds now, without its subject: the state and the epoch.
///
/// # Errors
/// The router does not hold the role or does not know it, or [`table`] fails. If it does not hold the role, the error
/// has the row, which names the holder if the router knows it.
pub fn held_role(address: SocketAddr, role: &str) -> Result<String, StatusError> {
    let table = table(address, "duties")?;
    // `line` joins the cells of a row with two spaces. The state `ours` means that the router itself holds the role.
    let prefix = format!("duty {role}  ");
    match table.lines().find_map(|row| row.strip_prefix(&prefix)) {
        Some(row) if row.starts_with("ours  ") => Ok(row.to_string()),
        Some(row) => Err(StatusError::RoleNotHeld { role: role.to_string(), row: row.to_string() }),
        None => Err(StatusError::NoSuchRole(role.to_string())),
    }
}

/// The status table of a topic, with one line per row.
///
/// # Errors
/// There is no such topic, the router can't be reached, it answered with an error, it did not answer within `TIMEOUT`,
/// or its answer is too long. An error packet in place of the greeting or in answer to the login is not recognised;
/// such a session ends with the error of the next read.
pub fn table(address: SocketAddr, topic: &str) -> Result<String, StatusError> {
    if !TOPICS.contains(&topic) {
        return Err(StatusError::UnknownTopic(topic.to_string()));
    }
    let mut stream = send_query(address, topic)?;
    // The answer to the login.
    read_packet(&mut stream)?;
    let first = read_packet(&mut stream)?;
    if first.first() == Some(&ERROR_PACKET) {
        let message = first.get(ERROR_HEADER..).unwrap_or(b"");
        return Err(StatusError::Refused(String::from_utf8_lossy(message).into_owned()));
    }
    let columns = first.first().copied().unwrap_or(0);
    // The column definitions, and the EOF packet after them.
    for _ in 0..=columns {
        read_packet(&mut stream)?;
    }
    let mut table = String::new();
    for _ in 0..MAX_ROWS {
        let body = read_packet(&mut stream)?;
        if body.first() == Some(&EOF_PACKET) && body.len() < EOF_PACKET_BELOW {
            return Ok(table);
        }
        table += &line(&body);
    }
    Err(StatusError::EndlessAnswer)
}

/// Connects, logs in, and sends the `SHOW` statement, without waiting for the answers.
fn send_query(address: SocketAddr, topic: &str) -> Result<TcpStream, StatusError> {
    let connection_error = |source| StatusError::Connection { address, source };
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(connection_error)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(connection_error)?;
    read_packet(&mut stream)?;
    let mut login = CLIENT_FLAGS.to_le_bytes().to_vec();
    login.extend([0; LOGIN_ZEROS]);
    // The user with its closing zero, a password of length 0, and an empty schema with its closing zero.
    login.extend(b"status\0\0\0");
    let query = format!("\x03SHOW {}", topic.to_ascii_uppercase());
    let mut out = Vec::new();
    write_packet(&mut out, 1, &login);
    write_packet(&mut out, 0, query.as_bytes());
    stream.write_all(&out).map_err(connection_error)?;
    Ok(stream)
}
