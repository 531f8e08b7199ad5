//! What the host tells of the connections: that one came up or is gone, what was read, what was written.

use super::connection::{Connection, Phase};
use super::loss::Loss;
use super::{AdminState, Direction, Peer, RetryTimer};
use crate::message::frame;

/// Messages taken in one call, so that one peer that sends without pause can't hold up the others.
const MAX_MESSAGES_PER_CALL: usize = 32;

/// What became of the input of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// Octets that were taken off its front.
    pub consumed: usize,
    /// Whole messages may be left in the rest: call again before more is read.
    pub more: bool,
}

impl Peer {
    /// The connection that was asked for is up, or the peer has begun one. Tells whether it is accepted; the host closes
    /// one that is not.
    pub fn connected(&mut self, direction: Direction, now: f64) -> bool {
        let wanted = match direction {
            Direction::Outgoing => self.is_connecting(),
            Direction::Incoming => self.accept(now),
        };
        if !wanted {
            return false;
        }
        let delay = if self.admin_state == AdminState::Draining { 0.0 } else { self.config.delay_open_time };
        if delay > 0.0 {
            let Some(connection) = self.connection_mut(direction) else { return false };
            connection.phase = Phase::DelayOpen { deadline: now + delay };
            connection.last_progress = now;
        } else {
            self.send_open(direction, now);
        }
        true
    }

    fn is_connecting(&self) -> bool {
        let connection = self.connection(Direction::Outgoing);
        connection.is_some_and(|connection| matches!(connection.phase, Phase::Connecting { .. }))
    }

    /// Takes a connection that the peer began; tells whether it is wanted.
    fn accept(&mut self, now: f64) -> bool {
        let direction = Direction::Incoming;
        let idle = matches!(self.retry_timer, RetryTimer::Idle { deadline } if now < deadline);
        let damped = idle && !self.is_live(Direction::Outgoing);
        if !self.seeks_connection() || damped || self.is_live(direction) {
            return false;
        }
        if self.connection(direction).is_some() {
            self.close(direction);
            // The host's slot is free before the new connection takes it.
            self.actions.pop_back();
        }
        self.connections[direction as usize] = Some(Connection::new(Phase::DelayOpen { deadline: now }, now));
        true
    }

    /// The connection is gone, or never came about.
    pub fn closed(&mut self, direction: Direction, why: &str, now: f64) {
        if !self.is_live(direction) {
            self.connections[direction as usize] = None;
            return;
        }
        self.lost(direction, why.to_string(), Loss::Connection, now);
    }

    /// Takes whole messages off the front of the input.
    pub fn receive(&mut self, direction: Direction, input: &[u8], now: f64) -> Received {
        let mut consumed = 0;
        for _ in 0..MAX_MESSAGES_PER_CALL {
            if !self.is_live(direction) {
                return Received { consumed: input.len(), more: false };
            }
            let found = match frame(&input[consumed..]) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    self.write_updates(now);
                    return Received { consumed, more: false };
                }
                Err(error) => {
                    self.report(direction, error, now);
                    return Received { consumed: input.len(), more: false };
                }
            };
            consumed += found.length();
            if let Err(error) = self.message(direction, found.message_type, found.body, now) {
                self.report(direction, error, now);
            }
        }
        self.write_updates(now);
        Received { consumed, more: true }
    }

    /// The octets to write on a connection.
    pub fn unsent(&self, direction: Direction) -> &[u8] {
        self.connection(direction).map_or(&[], |connection| &connection.output)
    }

    /// So many octets of [`Peer::unsent`] were written.
    pub fn written(&mut self, direction: Direction, length: usize, now: f64) {
        let Some(connection) = self.connection_mut(direction) else { return };
        connection.output.drain(..length);
        let finished = connection.output.is_empty();
        if length > 0 || finished {
            connection.last_progress = now;
        }
        if finished && connection.is_closing() {
            self.close(direction);
        }
        self.write_updates(now);
    }
}
