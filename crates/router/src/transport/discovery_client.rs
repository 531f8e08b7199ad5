//! The connection to the discovery service. It is re-established whenever it is lost or silent, and resumes after the
//! last event that is known.

use super::buffer::{Buffer, ReadOutcome};
use super::sockets::{is_connected, RegisteredStream};
use crate::protocol::discovery::{self, Event, Line, Malformed};
use crate::routing::Counters;
use calloop::RegistrationToken;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection on which no line arrives for this many seconds is silent and is re-established; the service sends a
/// line each second. A router is held to know the service's events 4 s after the service fell silent, and 2 s after it
/// was lost. Even if the next connection does not come up and only the one after it does, this time-out keeps well
/// within those 4 s.
const SILENCE_TIMEOUT: f64 = 1.8;
/// How long a connection may take to come up, in seconds.
const CONNECT_TIMEOUT: f64 = 0.5;
/// The backoff between connection attempts, in seconds. It grows while the service is unavailable, and is randomised so
/// that many routers that lost the service together do not all reconnect at once. The maximum stays well within the 2 s
/// in which the events are to be known after the service was lost (see [`SILENCE_TIMEOUT`]).
const INITIAL_BACKOFF: f64 = 0.1;
const MAX_BACKOFF: f64 = 0.4;
const BACKOFF_FACTOR: f64 = 1.6;
/// Limit on the exponent of the backoff, which has reached its maximum long before this many failures.
const MAX_COUNTED_FAILURES: u32 = 100;

enum State {
    Down { retry_at: f64 },
    Connecting { until: f64 },
    Up { silent_since: f64 },
}

/// Why the connection was lost.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DiscoveryError {
    #[error("no line received for {} s", SILENCE_TIMEOUT)]
    Silent,
    #[error("closed by the service")]
    Closed,
    #[error("a line of more than {0} bytes")]
    LineTooLong(usize),
    #[error("malformed: {0}")]
    Malformed(#[from] Malformed),
    #[error("events are missing: expected number {expected}, received {got}")]
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
    /// The address of the service; absent if the configuration names none.
    address: Option<SocketAddr>,
    state: State,
    connection: Option<RegisteredStream>,
    buffer: Buffer,
    /// Limit on the length of a line, in bytes.
    max_line: usize,
    /// Whether the connection may hold bytes that were not read yet.
    readable: bool,
    /// The number of the last event that was applied.
    last_event: u64,
    /// An event was missing and the service was asked again for it. If it is still missing then, the service no longer
    /// has it, and later events are applied without it.
    has_gap: bool,
    /// The connection was lost, and no line has arrived since.
    is_lost: bool,
    /// Lost and failed connections since the last line.
    failures: u32,
    /// Randomises the backoff.
    random: RandomState,
    /// When the last line arrived; before the first one, when the client was created.
    last_line_at: f64,
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
            is_lost: false,
            failures: 0,
            random: RandomState::new(),
            last_line_at: now,
        }
    }

    /// Seconds until the next connection attempt.
    fn next_backoff(&mut self) -> f64 {
        let failures = self.failures.min(MAX_COUNTED_FAILURES) as i32;
        let longest = (INITIAL_BACKOFF * BACKOFF_FACTOR.powi(failures)).min(MAX_BACKOFF);
        self.failures += 1;
        longest * (0.5 + 0.5 * self.random.hash_one(self.failures) as f64 / u64::MAX as f64)
    }

    /// Seconds since the last line from the service; `None` if no service is configured.
    pub fn silent_for(&self, now: f64) -> Option<f64> {
        self.address.map(|_| now - self.last_line_at)
    }

    /// When the client must act even if its connection is not reported as ready.
    pub fn due(&self) -> f64 {
        match self.state {
            _ if self.address.is_none() => f64::INFINITY,
            State::Down { retry_at } => retry_at,
            State::Connecting { until } => until,
            State::Up { silent_since } => silent_since + SILENCE_TIMEOUT,
        }
    }

    /// The address to connect to, if a connection attempt is due.
    pub fn wants_connection(&self, now: f64) -> Option<SocketAddr> {
        match self.state {
            State::Down { retry_at } if now >= retry_at => self.address,
            _ => None,
        }
    }

    /// Records a connection attempt; `connection` is `None` if it failed at once.
    pub fn set_connecting(&mut self, connection: Option<RegisteredStream>, now: f64) {
        self.state = match connection {
            Some(_) => State::Connecting { until: now + CONNECT_TIMEOUT },
            None => State::Down { retry_at: now + self.next_backoff() },
        };
        self.connection = connection;
        self.buffer = Buffer::default();
        self.readable = false;
    }

    /// Applies those of the `known` events, from the configuration, that follow the last one without a gap or are
    /// newer complete lists. Then switches to a new address, to which a connection is due at once. Nothing more is
    /// read from the old address, even if its connection stays open for a while; returns the registration of that
    /// connection, which the caller has to remove.
    pub fn reconfigure(
        &mut self,
        address: Option<SocketAddr>,
        mut known: Vec<Event>,
        now: f64,
        events: &mut Vec<Event>,
    ) -> Option<RegistrationToken> {
        known.sort_by_key(|event| event.number);
        for event in known {
            let is_newer_full_list = event.is_complete_list() && event.number > self.last_event;
            if event.number == self.last_event + 1 || is_newer_full_list {
                self.last_event = event.number;
                events.push(event);
            }
        }
        if address == self.address {
            return None;
        }
        let shown_address = address.map_or("none".to_string(), |address| address.to_string());
        log::info!("discovery service is {shown_address} now; last event {}", self.last_event);
        self.address = address;
        self.state = State::Down { retry_at: now };
        self.readable = false;
        self.failures = 0;
        self.connection.take().map(|connection| connection.token)
    }

    /// Drops the connection and schedules the next attempt. Returns the registration, which the caller has to remove.
    pub fn disconnect(&mut self, reason: &str, now: f64) -> Option<RegistrationToken> {
        // Logged as a warning only once until the service sends a line again.
        let was_lost = std::mem::replace(&mut self.is_lost, true);
        let level = if was_lost { log::Level::Debug } else { log::Level::Warn };
        let last = self.last_event;
        log::log!(level, event = last; "discovery service lost: {reason}; keeping the engine list of event {last}");
        self.state = State::Down { retry_at: now + self.next_backoff() };
        self.readable = false;
        self.connection.take().map(|connection| connection.token)
    }

    /// Whether the connection may hold more than was read.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Reads what is ready; new events are appended to `events`.
    ///
    /// # Errors
    /// The connection could not be established, failed, was closed or was silent for too long, or the service sent a
    /// line that is too long or malformed, or left out an event.
    pub fn process_io(
        &mut self,
        readable: bool,
        now: f64,
        events: &mut Vec<Event>,
    ) -> Result<(), DiscoveryError> {
        let Some(RegisteredStream { stream, .. }) = &self.connection else { return Ok(()) };
        let stream = stream.clone();
        self.readable |= readable;
        match self.state {
            State::Connecting { until } => {
                if !is_connected(&stream, until, now)? {
                    return Ok(());
                }
                self.handle_connected(now);
            }
            State::Up { silent_since } if !self.readable && now >= silent_since + SILENCE_TIMEOUT => {
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

    fn handle_connected(&mut self, now: f64) {
        let level = if self.is_lost { log::Level::Debug } else { log::Level::Info };
        log::log!(level, "discovery service connected; last event {}", self.last_event);
        self.state = State::Up { silent_since: now };
        self.counters.discovery_connects += 1;
        let mut request = Vec::new();
        discovery::write_watch(&mut request, self.last_event);
        self.buffer.queue_output(&request);
    }

    fn read(&mut self, stream: &TcpStream, now: f64, events: &mut Vec<Event>) -> Result<(), DiscoveryError> {
        let reached = self.buffer.read(stream, self.max_line)?;
        self.readable = reached == ReadOutcome::LimitReached;
        while let Some(end) = self.buffer.input().iter().position(|&byte| byte == b'\n') {
            self.note_line(now);
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
            // The buffer of this connection has no budget, so it never runs out of memory.
            ReadOutcome::LimitReached | ReadOutcome::OutOfMemory | ReadOutcome::WouldBlock => Ok(()),
        }
    }

    fn note_line(&mut self, now: f64) {
        self.state = State::Up { silent_since: now };
        self.last_line_at = now;
        self.failures = 0;
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!("discovery service sends lines again; last event {}", self.last_event);
        }
    }

    fn take_line(&mut self, line: Line, events: &mut Vec<Event>) -> Result<(), DiscoveryError> {
        let (number, event) = match line {
            Line::LastNumber(number) => (number, None),
            Line::Event(event) => (event.number, Some(event)),
        };
        // The service's last number should be the one known here; an event should be the one after it.
        let expected = self.last_event + u64::from(event.is_some());
        let is_full_list = event.as_ref().is_some_and(Event::is_complete_list);
        if number > expected && !is_full_list && !std::mem::replace(&mut self.has_gap, true) {
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
