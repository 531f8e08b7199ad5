//! What the host tells of the connections: that one came up or is gone, what was read, what was written.

use super::connection::{Connection, Phase};
use super::ending::Loss;
use super::{AdminState, Peer, RetryTimer, Side};
use crate::message::frame;

/// Messages taken in one call, so that one peer that sends without pause can't hold up the others.
const MAX_MESSAGES_PER_CALL: usize = 32;

impl Peer {
    /// The connection that was asked for is up, or one of the peer's has come. Tells whether it is wanted; the host
    /// closes one that is not.
    pub fn connected(&mut self, side: Side, now: f64) -> bool {
        let wanted = match side {
            Side::Ours => self.is_connecting(),
            Side::Theirs => self.accept(now),
        };
        if !wanted {
            return false;
        }
        let delay = if self.admin_state == AdminState::Draining { 0.0 } else { self.config.delay_open_time };
        if delay > 0.0 {
            let Some(connection) = self.connection_mut(side) else { return false };
            connection.phase = Phase::DelayOpen { deadline: now + delay };
            connection.last_progress = now;
        } else {
            self.send_open(side, now);
        }
        true
    }

    fn is_connecting(&self) -> bool {
        let connection = self.connection(Side::Ours);
        connection.is_some_and(|connection| matches!(connection.phase, Phase::Connecting { .. }))
    }

    /// Takes a connection that the peer began; tells whether it is wanted.
    fn accept(&mut self, now: f64) -> bool {
        let side = Side::Theirs;
        let idle = matches!(self.retry_timer, RetryTimer::Idle { deadline } if now < deadline);
        let damped = idle && !self.is_live(Side::Ours);
        if !self.seeks_connection() || damped || self.is_live(side) {
            return false;
        }
        if self.connection(side).is_some() {
            self.close(side);
            // The host's slot is free before the new connection takes it.
            self.actions.pop_back();
        }
        self.connections[side as usize] = Some(Connection::new(Phase::DelayOpen { deadline: now }, now));
        true
    }

    /// The connection is gone, or never came about.
    pub fn closed(&mut self, side: Side, why: &str, now: f64) {
        if !self.is_live(side) {
            self.connections[side as usize] = None;
            return;
        }
        self.lost(side, why.to_string(), Loss::Connection, now);
    }

    /// Takes whole messages off the input's front; tells how many bytes, and whether more may be there.
    pub fn bytes(&mut self, side: Side, input: &[u8], now: f64) -> (usize, bool) {
        let mut consumed = 0;
        for _ in 0..MAX_MESSAGES_PER_CALL {
            if !self.is_live(side) {
                return (input.len(), false);
            }
            let found = match frame(&input[consumed..]) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    self.write_updates(now);
                    return (consumed, false);
                }
                Err(error) => {
                    self.report(side, error, now);
                    return (input.len(), false);
                }
            };
            consumed += found.length();
            if let Err(error) = self.message(side, found.message_type, found.body, now) {
                self.report(side, error, now);
            }
        }
        self.write_updates(now);
        (consumed, true)
    }

    /// What is to be written on a connection.
    pub fn unsent(&self, side: Side) -> &[u8] {
        self.connection(side).map_or(&[], |connection| &connection.output)
    }

    /// So much of it was taken.
    pub fn written(&mut self, side: Side, length: usize, now: f64) {
        let Some(connection) = self.connection_mut(side) else { return };
        connection.output.drain(..length);
        let finished = connection.output.is_empty();
        if length > 0 || finished {
            connection.last_progress = now;
        }
        if finished && connection.is_closing() {
            self.close(side);
        }
        self.write_updates(now);
    }
}
