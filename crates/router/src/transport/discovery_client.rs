//! The connection to the discovery service: made again whenever it is lost or silent, from the last event that is known.

use super::buffer::{Buffer, ReadOutcome};
use super::sockets::{is_connected, RegisteredStream};
use crate::protocol::discovery::{self, Event, Line, Malformed};
use crate::routing::Counters;
use calloop::RegistrationToken;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Each second has a line: after so many without one the connection is taken for lost. With a connection that does not come
/// up and another one, that is well within the 4 s after which a silent service's events count as told.
const SILENCE_TIMEOUT: f64 = 1.8;
const CONNECT_TIMEOUT: f64 = 0.5;
/// The backoff between tries grows while the service stays away, and is drawn, so that many routers which lost it together do
/// not all come back at once. The longest keeps well within the 2 s after which a lost service's events count as told.
const INITIAL_BACKOFF: f64 = 0.1;
const MAX_BACKOFF: f64 = 0.4;
const BACKOFF_FACTOR: f64 = 1.6;
/// The backoff has reached its maximum long before so many tries.
const MAX_COUNTED_TRIES: u32 = 100;

enum State {
    Down { retry_at: f64 },
    Connecting { until: f64 },
    Up { heard_at: f64 },
}

/// Why the connection is lost.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DiscoveryError {
    #[error("silent")]
    Silent,
    #[error("closed")]
    Closed,
    #[error("a line of more than {0} bytes")]
    LineTooLong(usize),
    #[error("malformed: {0}")]
    Malformed(#[from] Malformed),
    #[error("event {expected} is missing, {got} came")]
    Gap { expected: u64, got: u64 },
    #[error("{0}")]
    Io(String),
}

impl From<io::Error> for DiscoveryError {
    fn from(error: io::Error) -> DiscoveryError {
        DiscoveryError::Io(error.to_string())
    }
}

pub struct DiscoveryClient {
    pub counters: Counters,
    address: Option<SocketAddr>,
    state: State,
    connection: Option<RegisteredStream>,
    buffer: Buffer,
    max_line: usize,
    readable: bool,
    last_event: u64,
    /// An event was missed, and the service asked again: what it has now is all there is.
    has_gap: bool,
    is_away: bool,
    /// Tries since it was last heard, and what their backoff is drawn from.
    tries: u32,
    random: RandomState,
    /// When its last line came; at first, when it was first looked for.
    heard_at: f64,
}

impl DiscoveryClient {
    pub fn new(address: Option<SocketAddr>, last_event: u64, max_line: usize, now: f64) -> DiscoveryClient {
        DiscoveryClient {
            counters: Counters::default(),
            address,
            state: State::Down { retry_at: now },
            connection: None,
            buffer: Buffer::default(),
            max_line,
            readable: false,
            last_event,
            has_gap: false,
            is_away: false,
            tries: 0,
            random: RandomState::new(),
            heard_at: now,
        }
    }

    /// Seconds until the next try.
    fn next_backoff(&mut self) -> f64 {
        let tries = self.tries.min(MAX_COUNTED_TRIES) as i32;
        let most = (INITIAL_BACKOFF * BACKOFF_FACTOR.powi(tries)).min(MAX_BACKOFF);
        self.tries += 1;
        most * (0.5 + 0.5 * self.random.hash_one(self.tries) as f64 / u64::MAX as f64)
    }

    /// Seconds since it was last heard; none where there is no service.
    pub fn silent_for(&self, now: f64) -> Option<f64> {
        self.address.map(|_| now - self.heard_at)
    }

    /// When it must be looked at, whatever comes.
    pub fn due(&self) -> f64 {
        match self.state {
            _ if self.address.is_none() => f64::INFINITY,
            State::Down { retry_at } => retry_at,
            State::Connecting { until } => until,
            State::Up { heard_at } => heard_at + SILENCE_TIMEOUT,
        }
    }

    /// The address to connect to, if it is time.
    pub fn wants_connection(&self, now: f64) -> Option<SocketAddr> {
        match self.state {
            State::Down { retry_at } if now >= retry_at => self.address,
            _ => None,
        }
    }

    /// A connection was begun; none where that failed.
    pub fn connecting(&mut self, connection: Option<RegisteredStream>, now: f64) {
        self.state = match connection {
            Some(_) => State::Connecting { until: now + CONNECT_TIMEOUT },
            None => State::Down { retry_at: now + self.next_backoff() },
        };
        self.connection = connection;
        self.buffer = Buffer::default();
        self.readable = false;
    }

    /// Takes over a new address, which is asked at once from the last event that is known, and events that are newer. The
    /// old address tells nothing more, though its connections may stay open for a while: a registration to be undone is
    /// returned.
    pub fn reconfigure(
        &mut self,
        address: Option<SocketAddr>,
        mut known: Vec<Event>,
        now: f64,
        events: &mut Vec<Event>,
    ) -> Option<RegistrationToken> {
        known.sort_by_key(|event| event.number);
        for event in known {
            let begins_anew = event.is_complete_list() && event.number > self.last_event;
            if event.number == self.last_event + 1 || begins_anew {
                self.last_event = event.number;
                events.push(event);
            }
        }
        if address == self.address {
            return None;
        }
        let shown = address.map_or("none".to_string(), |address| address.to_string());
        log::info!("discovery service is {shown} now, asked from event {}", self.last_event);
        self.address = address;
        self.state = State::Down { retry_at: now };
        self.readable = false;
        self.tries = 0;
        self.connection.take().map(|connection| connection.token)
    }

    /// Gives the connection up; its registration is returned to be undone.
    pub fn lost(&mut self, why: &str, now: f64) -> Option<RegistrationToken> {
        // Told once for as long as it stays away.
        let was_away = std::mem::replace(&mut self.is_away, true);
        let level = if was_away { log::Level::Debug } else { log::Level::Warn };
        let last = self.last_event;
        log::log!(level, event = last; "discovery service lost: {why}; the list of event {last} stands");
        self.state = State::Down { retry_at: now + self.next_backoff() };
        self.readable = false;
        self.connection.take().map(|connection| connection.token)
    }

    /// More may be ready than was read.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Reads what is ready; events that are new go into `events`.
    ///
    /// # Errors
    /// Why the connection is lost.
    pub fn work(&mut self, readable: bool, now: f64, events: &mut Vec<Event>) -> Result<(), DiscoveryError> {
        let Some(RegisteredStream { stream, .. }) = &self.connection else { return Ok(()) };
        let stream = stream.clone();
        self.readable |= readable;
        match self.state {
            State::Connecting { until } => {
                if !is_connected(&stream, until, now)? {
                    return Ok(());
                }
                self.came_up(now);
            }
            State::Up { heard_at } if !self.readable && now >= heard_at + SILENCE_TIMEOUT => {
                return Err(DiscoveryError::Silent);
            }
            State::Up { .. } | State::Down { .. } => {}
        }
        self.buffer.write(&*stream)?;
        if self.readable {
            self.read(&stream, now, events)?;
        }
        Ok(())
    }

    fn came_up(&mut self, now: f64) {
        let level = if self.is_away { log::Level::Debug } else { log::Level::Info };
        log::log!(level, "discovery service connected, from event {}", self.last_event);
        self.state = State::Up { heard_at: now };
        self.counters.discovery_connects += 1;
        let mut request = Vec::new();
        discovery::write_watch(&mut request, self.last_event);
        self.buffer.queue_output(&request);
    }

    fn read(&mut self, stream: &TcpStream, now: f64, events: &mut Vec<Event>) -> Result<(), DiscoveryError> {
        let reached = self.buffer.read(stream, self.max_line)?;
        self.readable = reached == ReadOutcome::LimitReached;
        while let Some(end) = self.buffer.input().iter().position(|&byte| byte == b'\n') {
            self.note_heard(now);
            let line = discovery::parse_line(&self.buffer.input()[..end]);
            self.buffer.consume(end + 1);
            if line.is_err() {
                self.counters.discovery_malformed += 1;
            }
            self.take_line(line?, events)?;
        }
        match reached {
            ReadOutcome::EndOfStream => Err(DiscoveryError::Closed),
            ReadOutcome::LimitReached if self.buffer.input().len() >= self.max_line => {
                Err(DiscoveryError::LineTooLong(self.max_line))
            }
            ReadOutcome::LimitReached | ReadOutcome::WouldBlock => Ok(()),
        }
    }

    fn note_heard(&mut self, now: f64) {
        self.state = State::Up { heard_at: now };
        self.heard_at = now;
        self.tries = 0;
        if std::mem::replace(&mut self.is_away, false) {
            log::info!("discovery service heard again, from event {}", self.last_event);
        }
    }

    fn take_line(&mut self, line: Line, events: &mut Vec<Event>) -> Result<(), DiscoveryError> {
        let (number, event) = match line {
            Line::LastNumber(number) => (number, None),
            Line::Event(event) => (event.number, Some(event)),
        };
        let expected = self.last_event + u64::from(event.is_some());
        let begins_anew = event.as_ref().is_some_and(Event::is_complete_list);
        if number > expected && !begins_anew && !std::mem::replace(&mut self.has_gap, true) {
            return Err(DiscoveryError::Gap { expected, got: number });
        }
        if let Some(event) = event.filter(|_| number > self.last_event) {
            self.last_event = number;
            self.has_gap = false;
            self.counters.discovery_events += 1;
            events.push(event);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
