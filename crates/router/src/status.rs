//! Asks a running router, as a client does, how its service addresses, its cluster or its tenants stand.

use crate::protocol::mysql;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);
/// So many packets are read of an answer.
const PACKETS: usize = 4096;
const LONGEST: usize = 1024 * 1024;

fn packet(stream: &mut TcpStream) -> Result<Vec<u8>, String> {
    let mut header = [0; mysql::HEADER];
    let words = |error: std::io::Error| error.to_string();
    stream.read_exact(&mut header).map_err(words)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
    if length > LONGEST {
        return Err(format!("an answer of {length} bytes"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).map_err(words)?;
    Ok(body)
}

/// One text of a row: a length of one byte, or 0xfc and two.
fn text<'a>(row: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (&first, rest) = row.split_first()?;
    let (length, rest) = match first {
        0xfc => (usize::from(u16::from_le_bytes(rest.get(..2)?.try_into().ok()?)), &rest[2..]),
        short => (usize::from(short), rest),
    };
    let (value, rest) = rest.split_at_checked(length)?;
    *row = rest;
    Some(value)
}

/// The row that says that this router holds a leader role now, with its epoch; an error says who does, as far as it knows.
///
/// # Errors
/// It does not, has no such leader role, or did not answer.
pub fn holds(address: SocketAddr, role: &str) -> Result<String, String> {
    let table = ask(address, "duties")?;
    let of = format!("duty {role}  ");
    match table.lines().find_map(|row| row.strip_prefix(&of)) {
        Some(row) if row.starts_with("ours  ") => Ok(row.to_string()),
        Some(row) => Err(format!("duty {role} is not held there: {row}")),
        None => Err(format!("that router has no duty {role}")),
    }
}

/// The table of what is asked for, a row a line.
pub fn ask(address: SocketAddr, of: &str) -> Result<String, String> {
    if !["announcements", "cluster", "duties", "store", "teams"].contains(&of) {
        return Err(format!(
            "nothing is called {of:?}: expected announcements, cluster, duties, store or teams"
        ));
    }
    let question = format!("\x03SHOW {}", of.to_ascii_uppercase());
    let words = |error: std::io::Error| format!("{address}: {error}");
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(words)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(words)?;
    packet(&mut stream)?;
    let flags: u32 = 1 << 9 | 1 << 15 | 1 << 3;
    let mut login = flags.to_le_bytes().to_vec();
    login.extend([0; 28]);
    login.extend(b"status\0\0\0");
    let mut out = Vec::new();
    for (sequence, body) in [(1, &login[..]), (0, question.as_bytes())] {
        out.extend(&(body.len() as u32).to_le_bytes()[..3]);
        out.push(sequence);
        out.extend(body);
    }
    stream.write_all(&out).map_err(words)?;
    packet(&mut stream)?;
    let first = packet(&mut stream)?;
    if first.first() == Some(&0xff) {
        return Err(String::from_utf8_lossy(first.get(9..).unwrap_or(b"")).into_owned());
    }
    let columns = usize::from(first.first().copied().unwrap_or(0));
    for _ in 0..=columns {
        packet(&mut stream)?;
    }
    let mut table = String::new();
    for _ in 0..PACKETS {
        let body = packet(&mut stream)?;
        if body.first() == Some(&0xfe) && body.len() < 9 {
            return Ok(table);
        }
        let mut row = &body[..];
        let mut cells = Vec::new();
        while let Some(cell) = text(&mut row) {
            cells.push(String::from_utf8_lossy(cell).into_owned());
        }
        table += &(cells.join("  ") + "\n");
    }
    Err("an answer without end".to_string())
}
