//! A client that writes and reads packets by hand.

use crate::recorded_lines::GENEROUS;
use crate::routers::process::{counter, Router};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How a query was answered.
#[derive(Debug, PartialEq)]
pub enum Answered {
    Ok,
    Rows(Vec<String>),
    Error(u16, String),
}

/// A client that writes and reads packets by hand.
pub struct Client {
    pub stream: TcpStream,
    pub session: u32,
}

pub fn packet(sequence: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_le_bytes();
    [&length[..3], &[sequence], body].concat()
}

pub fn login() -> Vec<u8> {
    let flags: u32 = 1 << 9 | 1 << 15 | 1 << 3;
    let mut body = flags.to_le_bytes().to_vec();
    body.extend([0; 28]);
    body.extend(b"app\0\0reports\0");
    packet(1, &body)
}

pub fn query(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A request of this class with so many milliseconds to go.
pub fn request(class: &str, ttl: u64, statement: &str) -> String {
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    format!("/* op={class},call={call:016x},ttl={ttl},dedupe=d{call},work=5.0,mb=10 */ {statement}")
}

impl Client {
    /// Connects, and writes this before the greeting has been read.
    pub fn early(router: &Router, first: &[u8]) -> Client {
        let mut stream = TcpStream::connect(router.address).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        stream.write_all(first).unwrap();
        let mut client = Client { stream, session: 0 };
        let (_, greeting) = client.packet().expect("a greeting");
        let after = greeting.iter().position(|&byte| byte == 0).unwrap() + 1;
        client.session = u32::from_le_bytes(greeting[after..after + 4].try_into().unwrap());
        client
    }

    pub fn new(router: &Router) -> Client {
        let mut client = Client::early(router, &login());
        assert_eq!(client.answer(), Answered::Ok);
        client
    }

    /// A client of whatever listens there, logged in; an error is why it could not.
    pub fn at(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(GENEROUS))?;
        stream.set_nodelay(true)?;
        stream.write_all(&login())?;
        let mut client = Client { stream, session: 0 };
        let end = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        client.packet().ok_or_else(end)?;
        client.packet().ok_or_else(end)?;
        Ok(client)
    }

    /// Sends a query; tells whether that could be done.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(&query(text)).is_ok()
    }

    /// Reads one whole answer, if one comes.
    ///
    /// # Panics
    /// Where its packets are out of sequence.
    pub fn try_answer(&mut self) -> Option<Answered> {
        let (mut last, first) = self.packet()?;
        let mut next = |client: &mut Client| {
            let (sequence, body) = client.packet()?;
            assert_eq!(sequence, last.wrapping_add(1));
            last = sequence;
            Some(body)
        };
        match first[0] {
            0 => return Some(Answered::Ok),
            0xff => {
                let words = String::from_utf8_lossy(&first[9..]).into_owned();
                return Some(Answered::Error(u16::from_le_bytes([first[1], first[2]]), words));
            }
            columns => {
                for _ in 0..=columns {
                    next(self)?;
                }
            }
        }
        let mut rows = Vec::new();
        loop {
            let body = next(self)?;
            if body[0] == 0xfe && body.len() < 9 {
                return Some(Answered::Rows(rows));
            }
            let (mut row, mut rest) = (VecDeque::new(), &body[..]);
            while let Some((&length, more)) = rest.split_first() {
                let (length, more) = match length {
                    0xfc => (usize::from(more[0]) | usize::from(more[1]) << 8, &more[2..]),
                    short => (short.into(), more),
                };
                let (value, more) = more.split_at(length);
                row.push_back(String::from_utf8_lossy(value).into_owned());
                rest = more;
            }
            rows.push(row.make_contiguous().join(","));
        }
    }

    /// The router's counters as they stand.
    pub fn counters_now(&mut self) -> String {
        let _ = self.stream.write_all(&packet(0, &[9]));
        self.packet().map(|(_, body)| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default()
    }

    pub fn packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header).ok()?;
        let mut body = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some((header[3], body))
    }

    /// Reads one whole answer.
    pub fn answer(&mut self) -> Answered {
        self.try_answer().expect("a whole answer")
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(&query(text)).unwrap();
    }

    pub fn ask(&mut self, text: &str) -> Answered {
        self.send(text);
        self.answer()
    }

    /// Nothing more comes: the router has closed.
    pub fn closed(&mut self) -> bool {
        self.packet().is_none()
    }

    /// The router's counters, once one of them has this value.
    pub fn counters(&mut self, name: &str, value: u64) -> String {
        let end = Instant::now() + GENEROUS;
        loop {
            self.stream.write_all(&packet(0, &[9])).unwrap();
            let line = String::from_utf8(self.packet().unwrap().1).unwrap();
            if counter(&line, name) == value {
                return line;
            }
            assert!(Instant::now() < end, "{name} is not {value}: {line}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
