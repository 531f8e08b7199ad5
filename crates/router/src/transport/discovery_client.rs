//! The link to the discovery service: connected again whenever it is lost or silent, from the last event held.

use super::buffer::{Buffer, Reached};
use super::came_up;
use crate::protocol::discovery::{self, Event, Line};
use crate::routing::Counters;
use calloop::RegistrationToken;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Each second has a line: after so many without one the link is taken for lost. With a connection that does not come
/// up and another one, that is well within the 4 s after which a silent discovery service's events count as told.
const SILENT: f64 = 1.8;
const CONNECT: f64 = 0.5;
/// The pauses between tries: they grow while it stays away, and are drawn, so that many routers which lost it together do
/// not all come back in one moment. The longest keeps well within the 2 s after which a lost discovery service's events count as told.
const RETRY: f64 = 0.1;
const LONGEST_RETRY: f64 = 0.4;
const GROWS: f64 = 1.6;

enum State {
    Down { retry_at: f64 },
    Connecting { until: f64 },
    Up { heard_at: f64 },
}

pub struct DiscoveryClient {
    address: Option<SocketAddr>,
    state: State,
    wire: Option<(RegistrationToken, Rc<TcpStream>)>,
    buffer: Buffer,
    longest: usize,
    readable: bool,
    /// The last event held.
    last: u64,
    /// An event was missed, and the discovery service asked again: what it has now is all there is.
    gap: bool,
    away: bool,
    /// Tries since it was last heard, and what their pauses are drawn from.
    tries: u32,
    chance: RandomState,
    /// When its last line came; at first, when it was first looked for.
    heard_at: f64,
    pub counters: Counters,
}

impl DiscoveryClient {
    pub fn new(address: Option<SocketAddr>, last: u64, longest: usize, now: f64) -> DiscoveryClient {
        DiscoveryClient {
            address,
            state: State::Down { retry_at: now },
            wire: None,
            buffer: Buffer::default(),
            longest,
            readable: false,
            last,
            gap: false,
            away: false,
            tries: 0,
            chance: RandomState::new(),
            heard_at: now,
            counters: Counters::default(),
        }
    }

    /// How long until the next try.
    fn pause(&mut self) -> f64 {
        let most = (RETRY * GROWS.powi(self.tries.min(100) as i32)).min(LONGEST_RETRY);
        self.tries += 1;
        most * (0.5 + 0.5 * self.chance.hash_one(self.tries) as f64 / u64::MAX as f64)
    }

    /// Seconds since it was last heard; none where there is no discovery service.
    pub fn silent_for(&self, now: f64) -> Option<f64> {
        self.address.map(|_| now - self.heard_at)
    }

    /// When it must be looked at, whatever comes.
    pub fn due(&self) -> f64 {
        match self.state {
            _ if self.address.is_none() => f64::INFINITY,
            State::Down { retry_at } => retry_at,
            State::Connecting { until } => until,
            State::Up { heard_at } => heard_at + SILENT,
        }
    }

    /// The address to connect to, if it is time.
    pub fn wants_connection(&self, now: f64) -> Option<SocketAddr> {
        self.address.filter(|_| matches!(self.state, State::Down { retry_at } if now >= retry_at))
    }

    pub fn connecting(&mut self, wire: Option<(RegistrationToken, Rc<TcpStream>)>, now: f64) {
        self.state = match wire {
            Some(_) => State::Connecting { until: now + CONNECT },
            None => State::Down { retry_at: now + self.pause() },
        };
        (self.wire, self.buffer, self.readable) = (wire, Buffer::default(), false);
    }

    /// Takes over a new address, which is asked at once from the last event held, and events that are newer: the
    /// old address tells nothing more, though its connections may stay open for a while.
    pub fn told_anew(
        &mut self,
        address: Option<SocketAddr>,
        mut known: Vec<Event>,
        now: f64,
        events: &mut Vec<Event>,
    ) -> Option<RegistrationToken> {
        known.sort_by_key(|event| event.number);
        for event in known {
            let starts = matches!(event.list, Some((true, _)));
            if event.number == self.last + 1 || starts && event.number > self.last {
                self.last = event.number;
                events.push(event);
            }
        }
        if address == self.address {
            return None;
        }
        let words = address.map_or("none".to_string(), |address| address.to_string());
        log::info!("notice board is {words} now, asked from event {}", self.last);
        (self.address, self.state, self.readable) = (address, State::Down { retry_at: now }, false);
        self.tries = 0;
        self.wire.take().map(|(token, _)| token)
    }

    /// Gives the connection up; its registration is returned to be undone.
    pub fn lost(&mut self, why: &str, now: f64) -> Option<RegistrationToken> {
        // Told once for as long as it stays away.
        let level =
            if std::mem::replace(&mut self.away, true) { log::Level::Debug } else { log::Level::Warn };
        log::log!(level, event = self.last; "notice board lost: {why}; the list of event {} stands", self.last);
        (self.state, self.readable) = (State::Down { retry_at: now + self.pause() }, false);
        self.wire.take().map(|(token, _)| token)
    }

    pub fn unfinished(&self) -> bool {
        self.readable
    }

    /// Reads what is ready; events that are new go into `events`. An error is why the link is lost.
    pub fn work(&mut self, readable: bool, now: f64, events: &mut Vec<Event>) -> Result<(), String> {
        let Some((_, stream)) = &self.wire else { return Ok(()) };
        let stream = stream.clone();
        self.readable |= readable;
        let words = |error: io::Error| error.to_string();
        match self.state {
            State::Connecting { until } => {
                if !came_up(&stream, until, now).map_err(words)? {
                    return Ok(());
                }
                let level = if self.away { log::Level::Debug } else { log::Level::Info };
                log::log!(level, "notice board connected, from event {}", self.last);
                self.state = State::Up { heard_at: now };
                self.counters.discovery_connects += 1;
                let mut ask = Vec::new();
                discovery::watch(&mut ask, self.last);
                self.buffer.put(&ask);
            }
            State::Up { heard_at } if !self.readable && now >= heard_at + SILENT => {
                return Err("silent".to_string());
            }
            _ => {}
        }
        self.buffer.write(&*stream).map_err(words)?;
        if !self.readable {
            return Ok(());
        }
        let reached = self.buffer.read(&*stream, self.longest).map_err(words)?;
        self.readable = reached == Reached::More;
        while let Some(end) = self.buffer.input().iter().position(|&byte| byte == b'\n') {
            (self.state, self.heard_at, self.tries) = (State::Up { heard_at: now }, now, 0);
            if std::mem::replace(&mut self.away, false) {
                log::info!("notice board heard again, from event {}", self.last);
            }
            let line = discovery::line(&self.buffer.input()[..end]);
            self.buffer.taken(end + 1);
            let line = line.map_err(|discovery::Malformed(why)| {
                self.counters.discovery_malformed += 1;
                format!("malformed: {why}")
            })?;
            self.heard(line, events)?;
        }
        match reached {
            Reached::End => Err("closed".to_string()),
            Reached::More if self.buffer.input().len() >= self.longest => {
                Err(format!("a line of more than {} bytes", self.longest))
            }
            _ => Ok(()),
        }
    }

    fn heard(&mut self, line: Line, events: &mut Vec<Event>) -> Result<(), String> {
        let (number, event) = match line {
            Line::Last(number) => (number, None),
            Line::Event(event) => (event.number, Some(event)),
        };
        let next = self.last + u64::from(event.is_some());
        let starts = event.as_ref().is_some_and(|event| matches!(event.list, Some((true, _))));
        if number > next && !starts && !std::mem::replace(&mut self.gap, true) {
            return Err(format!("event {next} is missing, {number} came"));
        }
        if let Some(event) = event.filter(|_| number > self.last) {
            (self.last, self.gap) = (number, false);
            self.counters.discovery_events += 1;
            events.push(event);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
