//! The timers of a session: when the next one expires, and what happens then.

use super::connection::{Connection, Phase};
use super::loss::{Loss, DRAIN_STEP_TIMEOUT};
use super::{Action, AdminState, Direction, Peer};
use crate::error::ErrorKind;
use crate::message;
use crate::notification::Notification;

impl Peer {
    /// The latest time at which the host must call [`Peer::run_timers`], in seconds.
    pub fn due(&self) -> f64 {
        let retry = if self.may_connect() { self.retry_timer.deadline() } else { f64::INFINITY };
        let retained = if self.may_retain_routes() { self.retained_until } else { f64::INFINITY };
        let connections = self.connections.iter().flatten().map(Connection::due);
        connections.chain([retry, retained, self.adj_rib_in.due()]).fold(f64::INFINITY, f64::min)
    }

    /// Handles all expired timers, and queues due UPDATEs for sending.
    pub fn run_timers(&mut self, now: f64) {
        self.adj_rib_in.expire_stale(now);
        if now >= self.retained_until {
            self.retained_until = f64::NEG_INFINITY;
        }
        for direction in Direction::BOTH {
            self.expire_timers(direction, now);
        }
        if now >= self.retry_timer.deadline() && self.may_connect() {
            self.connect(now);
        }
        self.write_updates(now);
    }

    /// Whether we may open a connection once the retry timer expires.
    fn may_connect(&self) -> bool {
        // A closing outgoing connection still exists at the host, so it must be closed before another one is opened.
        let can_open = self.connection(Direction::Outgoing).is_none() && !self.is_live(Direction::Incoming);
        can_open && self.wants_connection() && !self.config.passive
    }

    /// Asks the host to open a connection.
    fn connect(&mut self, now: f64) {
        let timeout = match self.admin_state {
            AdminState::Draining => DRAIN_STEP_TIMEOUT,
            _ => self.config.connect_timeout,
        };
        let connecting = Connection::new(Phase::Connecting { deadline: now + timeout }, now);
        self.connections[Direction::Outgoing as usize] = Some(connecting);
        self.actions.push_back(Action::Connect);
    }

    /// Handles the expired timers of one connection.
    fn expire_timers(&mut self, direction: Direction, now: f64) {
        let Some(connection) = self.connection(direction) else { return };
        match connection.phase {
            Phase::Closing { deadline } if now >= deadline => return self.close(direction),
            Phase::Closing { .. } => return,
            Phase::Connecting { deadline } if now >= deadline => {
                self.close(direction);
                let reason = "TCP connection was not established in time".to_string();
                return self.connection_lost(direction, reason, Loss::Connection, now);
            }
            Phase::DelayOpen { deadline } if now >= deadline => return self.send_open(direction, now),
            _ => {}
        }
        if now >= connection.hold_deadline {
            let expired = Notification::from(ErrorKind::HoldTimerExpired);
            return self.end_with_notification(direction, expired, None, now);
        }
        if now >= connection.send_hold_deadline() {
            // No NOTIFICATION is sent, because the peer accepts no data (RFC 9687).
            self.close(direction);
            let reason = "send hold timer expired: the peer accepted no data".to_string();
            return self.connection_lost(direction, reason, Loss::Connection, now);
        }
        if now >= connection.keepalive_deadline {
            self.send_keepalive(direction, now);
        }
    }

    fn send_keepalive(&mut self, direction: Direction, now: f64) {
        let jitter = self.jitter();
        let Some(connection) = self.connection_mut(direction) else { return };
        message::encode_keepalive(&mut connection.output);
        connection.keepalive_deadline = now + connection.hold_time / 3.0 * jitter;
    }
}
