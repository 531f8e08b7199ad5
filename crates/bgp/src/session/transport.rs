//! The events that the host reports of a connection: that it was established or lost, which bytes were received, and
//! how many were written.

use super::connection::{Connection, Phase};
use super::loss::Loss;
use super::{AdminState, Direction, Peer, RetryTimer};
use crate::message::frame;

/// The maximum number of messages handled in one call, so that a peer that sends without pause does not delay others.
const MAX_MESSAGES_PER_CALL: usize = 32;

/// How much of the input of a connection was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiveOutcome {
    /// The number of octets that were consumed from the front of the input.
    pub consumed: usize,
    /// Whether the remaining input may contain complete messages; if so, the host must call again before it reads more.
    pub may_have_more: bool,
}

impl Peer {
    /// Reports that a requested connection was established, or that the peer opened one. Returns whether the connection
    /// is accepted; the host must close it if not.
    pub fn connected(&mut self, direction: Direction, now: f64) -> bool {
        let is_accepted = match direction {
            Direction::Outgoing => self.is_connecting(),
            Direction::Incoming => self.accept(now),
        };
        if !is_accepted {
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

    /// Accepts a connection that the peer opened, if one is wanted now. Returns whether it was accepted.
    fn accept(&mut self, now: f64) -> bool {
        let direction = Direction::Incoming;
        let is_idle = matches!(self.retry_timer, RetryTimer::Idle { deadline } if now < deadline);
        let is_held_off = is_idle && !self.is_live(Direction::Outgoing);
        if !self.wants_connection() || is_held_off || self.is_live(direction) {
            return false;
        }
        if self.connection(direction).is_some() {
            self.close(direction);
            // The host replaces the old connection with the new one itself, so the close action, which would close the
            // new connection, is removed.
            self.actions.pop_back();
        }
        self.connections[direction as usize] = Some(Connection::new(Phase::DelayOpen { deadline: now }, now));
        true
    }

    /// Reports that a connection was lost or could not be established.
    pub fn closed(&mut self, direction: Direction, reason: &str, now: f64) {
        if !self.is_live(direction) {
            self.connections[direction as usize] = None;
            return;
        }
        self.connection_lost(direction, reason.to_string(), Loss::Connection, now);
    }

    /// Handles the complete messages at the front of the input. If the connection is ending or does not exist, the
    /// whole input counts as consumed, and the rest of it is discarded.
    pub fn receive(&mut self, direction: Direction, input: &[u8], now: f64) -> ReceiveOutcome {
        let mut consumed = 0;
        for _ in 0..MAX_MESSAGES_PER_CALL {
            if !self.is_live(direction) {
                return ReceiveOutcome { consumed: input.len(), may_have_more: false };
            }
            let message = match frame(&input[consumed..]) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.write_updates(now);
                    return ReceiveOutcome { consumed, may_have_more: false };
                }
                Err(error) => {
                    self.end_with_error(direction, error, now);
                    return ReceiveOutcome { consumed: input.len(), may_have_more: false };
                }
            };
            consumed += message.length();
            if let Err(error) = self.receive_message(direction, message.message_type, message.body, now) {
                self.end_with_error(direction, error, now);
            }
        }
        self.write_updates(now);
        ReceiveOutcome { consumed, may_have_more: true }
    }

    /// The octets that the host must write to a connection.
    pub fn unsent(&self, direction: Direction) -> &[u8] {
        self.connection(direction).map_or(&[], |connection| &connection.output)
    }

    /// Reports that the first `length` octets of [`Peer::unsent`] were written.
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
