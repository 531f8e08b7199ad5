//! A client of the MySQL protocol 4.1, as PROTOCOL.md describes the usual ones.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole result set, with its rows' first columns.
    Served(Vec<String>),
    /// Error 1040, 1203 or 1226 before any row.
    Refused(String),
    /// Any other error.
    Failed(String),
    /// The connection ended without a whole answer, or was not made.
    Lost(String),
}

pub struct Client {
    stream: TcpStream,
}

fn packet(sequence: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_le_bytes()[..3].to_vec();
    bytes.push(sequence);
    bytes.extend(body);
    bytes
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        let mut client = Client { stream };
        client.read_packet()?;
        // Protocol 4.1, secure connection, connect with a schema.
        let mut login = (1u32 << 9 | 1 << 15 | 1 << 3).to_le_bytes().to_vec();
        login.extend([0; 28]);
        login.extend(b"app\0\0reports\0");
        client.stream.write_all(&packet(1, &login))?;
        client.read_packet()?;
        Ok(client)
    }

    fn read_packet(&mut self) -> io::Result<Vec<u8>> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header)?;
        let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        let mut body = vec![3];
        body.extend(statement.as_bytes());
        self.stream.write_all(&packet(0, &body))
    }

    /// COM_PING, answered with OK.
    pub fn ping(&mut self) -> io::Result<bool> {
        self.stream.write_all(&packet(0, &[0x0e]))?;
        Ok(self.read_packet()?.first() == Some(&0))
    }

    pub fn answer(&mut self) -> Answer {
        match self.read_answer() {
            Ok(answer) => answer,
            Err(error) => Answer::Lost(error.to_string()),
        }
    }

    fn read_answer(&mut self) -> io::Result<Answer> {
        let first = self.read_packet()?;
        if first.first() == Some(&0xff) {
            let code = u16::from_le_bytes([first[1], first[2]]);
            let text = format!("{code} {}", String::from_utf8_lossy(first.get(9..).unwrap_or(b"")));
            return Ok(match code {
                1040 | 1203 | 1226 => Answer::Refused(text),
                _ => Answer::Failed(text),
            });
        }
        for _ in 0..=first.first().copied().unwrap_or(0) {
            self.read_packet()?;
        }
        let mut rows = Vec::new();
        loop {
            let row = self.read_packet()?;
            match row.first() {
                Some(0xfe) if row.len() < 9 => return Ok(Answer::Served(rows)),
                Some(0xff) => return Ok(Answer::Failed("an error behind rows".to_string())),
                Some(&length) => {
                    let end = (1 + usize::from(length)).min(row.len());
                    rows.push(String::from_utf8_lossy(&row[1..end]).into_owned());
                }
                None => {}
            }
        }
    }

    /// Waits until the router ends the connection.
    pub fn rest(&self) {
        let mut byte = [0];
        let _ = (&self.stream).read(&mut byte);
    }

    pub fn ask(&mut self, statement: &str) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(),
            Err(error) => Answer::Lost(error.to_string()),
        }
    }
}

/// The milliseconds of `pushback=` in the text of a refusal.
pub fn pushback(text: &str) -> Option<u64> {
    let digits = text.split("pushback=").nth(1)?;
    digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
