//! Asks a running router, as a client does, how something of it stands.

use crate::protocol::mysql;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(3);
/// So many packets are read of an answer.
const MAX_PACKETS: usize = 4096;
/// Bytes of the longest packet.
const MAX_PACKET: usize = 1024 * 1024;
/// What may be asked for.
const TOPICS: [&str; 5] = ["announcements", "cluster", "duties", "store", "teams"];
/// Capabilities of the client: protocol 4.1, secure connection, connect with a schema.
const CLIENT_FLAGS: u32 = 1 << 9 | 1 << 15 | 1 << 3;
/// Bytes of the login that stay 0.
const LOGIN_ZEROS: usize = 28;
const ERROR_PACKET: u8 = 0xff;
/// Bytes of an error packet ahead of its words.
const ERROR_HEADER: usize = 9;
const EOF_PACKET: u8 = 0xfe;
const MAX_EOF_PACKET: usize = 9;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    #[error("nothing is called {0:?}: expected announcements, cluster, duties, store or teams")]
    UnknownTopic(String),
    #[error("{address}: {source}")]
    Connection { address: SocketAddr, source: io::Error },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("an answer of {0} bytes")]
    LongAnswer(usize),
    #[error("an answer without end")]
    EndlessAnswer,
    /// The router says that it has nothing of the kind.
    #[error("{0}")]
    Refused(String),
    #[error("duty {role} is not held there: {row}")]
    RoleNotHeld { role: String, row: String },
    #[error("that router has no duty {0}")]
    NoSuchRole(String),
}

fn packet(stream: &mut TcpStream) -> Result<Vec<u8>, StatusError> {
    let mut header = [0; mysql::HEADER];
    stream.read_exact(&mut header)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
    if length > MAX_PACKET {
        return Err(StatusError::LongAnswer(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn put_packet(out: &mut Vec<u8>, sequence: u8, body: &[u8]) {
    out.extend(&(body.len() as u32).to_le_bytes()[..3]);
    out.push(sequence);
    out.extend(body);
}

/// Takes one text off a row: a length of one byte, or 0xfc and two.
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

/// The cells of a row, as one line.
fn line(mut row: &[u8]) -> String {
    let mut cells = Vec::new();
    while let Some(cell) = take_text(&mut row) {
        cells.push(String::from_utf8_lossy(cell).into_owned());
    }
    cells.join("  ") + "\n"
}

/// The row that says that a router holds a leader role now, with its epoch.
///
/// # Errors
/// It does not, has no such role, or did not answer; as far as the router knows, the error says who holds it.
pub fn held_role(address: SocketAddr, role: &str) -> Result<String, StatusError> {
    let table = table(address, "duties")?;
    let prefix = format!("duty {role}  ");
    match table.lines().find_map(|row| row.strip_prefix(&prefix)) {
        Some(row) if row.starts_with("ours  ") => Ok(row.to_string()),
        Some(row) => Err(StatusError::RoleNotHeld { role: role.to_string(), row: row.to_string() }),
        None => Err(StatusError::NoSuchRole(role.to_string())),
    }
}

/// The table of a topic, a row a line.
///
/// # Errors
/// There is no such topic, or the router did not answer.
pub fn table(address: SocketAddr, topic: &str) -> Result<String, StatusError> {
    if !TOPICS.contains(&topic) {
        return Err(StatusError::UnknownTopic(topic.to_string()));
    }
    let mut stream = ask(address, topic)?;
    packet(&mut stream)?;
    let first = packet(&mut stream)?;
    if first.first() == Some(&ERROR_PACKET) {
        let words = first.get(ERROR_HEADER..).unwrap_or(b"");
        return Err(StatusError::Refused(String::from_utf8_lossy(words).into_owned()));
    }
    let columns = first.first().copied().unwrap_or(0);
    for _ in 0..=columns {
        packet(&mut stream)?;
    }
    let mut table = String::new();
    for _ in 0..MAX_PACKETS {
        let body = packet(&mut stream)?;
        if body.first() == Some(&EOF_PACKET) && body.len() < MAX_EOF_PACKET {
            return Ok(table);
        }
        table += &line(&body);
    }
    Err(StatusError::EndlessAnswer)
}

/// Connects, logs in, and sends the question.
fn ask(address: SocketAddr, topic: &str) -> Result<TcpStream, StatusError> {
    let failed = |source| StatusError::Connection { address, source };
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    packet(&mut stream)?;
    let mut login = CLIENT_FLAGS.to_le_bytes().to_vec();
    login.extend([0; LOGIN_ZEROS]);
    login.extend(b"status\0\0\0");
    let question = format!("\x03SHOW {}", topic.to_ascii_uppercase());
    let mut out = Vec::new();
    put_packet(&mut out, 1, &login);
    put_packet(&mut out, 0, question.as_bytes());
    stream.write_all(&out).map_err(failed)?;
    Ok(stream)
}
