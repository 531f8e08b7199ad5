//! How sessions end: the drain, NOTIFICATIONs of ours, and what is kept and when the next attempt begins after a loss.

use super::connection::{Connection, Phase};
use super::loss::{Loss, DRAIN_STEP_TIMEOUT};
use super::{Action, AdminState, Advertisement, Direction, Importance, Peer, RetryTimer};
use crate::error::{CeaseSubcode, MessageError};
use crate::notification::Notification;
use ipnet::IpNet;
use std::collections::BTreeMap;

/// Seconds that a connection may take to send its last message.
const CLOSE_TIMEOUT: f64 = 1.0;
/// Seconds between attempts to reach a peer that may keep routes of ours past a drain.
const DRAIN_RETRY_TIME: f64 = 0.05;

impl Peer {
    /// Withdraws all routes for good, except those of `lead` that are announced on the established session: they change
    /// once more, and are withdrawn by the next call or go with the session. A peer that may keep routes of a lost
    /// session is connected to, told that there are none, and left.
    pub fn drain(&mut self, lead: BTreeMap<IpNet, Advertisement>, now: f64) {
        if self.admin_state != AdminState::Running {
            self.wanted.retain(|net, _| lead.contains_key(net));
            return self.write_updates(now);
        }
        self.admin_state = AdminState::Draining;
        let announced: Vec<IpNet> = self.adj_rib_out().map(|(net, _)| *net).collect();
        self.wanted = lead.into_iter().filter(|(net, _)| announced.contains(net)).collect();
        self.retry_timer = RetryTimer::Active { deadline: now };
        if !self.may_retain_routes() {
            for direction in Direction::BOTH {
                self.leave_unless_established(direction, "drained before the session was up", now);
            }
        }
        self.shorten_attempts(now);
        self.write_updates(now);
    }

    /// An attempt from before the drain, that may take its time, must not use up what is left of ours.
    fn shorten_attempts(&mut self, now: f64) {
        let latest = now + DRAIN_STEP_TIMEOUT;
        for connection in self.connections.iter_mut().flatten() {
            match &mut connection.phase {
                Phase::Connecting { deadline } => *deadline = deadline.min(latest),
                Phase::DelayOpen { deadline } => *deadline = now,
                Phase::OpenSent | Phase::OpenConfirm => {
                    connection.hold_deadline = connection.hold_deadline.min(latest);
                }
                _ => {}
            }
        }
    }

    fn leave_unless_established(&mut self, direction: Direction, words: &str, now: f64) {
        match self.connection(direction).map(|connection| &connection.phase) {
            Some(Phase::Connecting { .. } | Phase::DelayOpen { .. }) => {
                self.close(direction);
                self.lost(direction, words.to_string(), Loss::HardReset, now);
            }
            Some(Phase::OpenSent | Phase::OpenConfirm) => {
                let cease = Notification::cease(CeaseSubcode::AdministrativeShutdown, words, false);
                self.end(direction, cease, None, now);
            }
            _ => {}
        }
    }

    /// Ends the session with a Cease that removes our routes, also where they would be kept over a lost connection.
    pub fn shut_down(&mut self, subcode: CeaseSubcode, words: &str, now: f64) {
        self.drain(BTreeMap::new(), now);
        self.admin_state = AdminState::Stopped;
        self.retained_until = f64::NEG_INFINITY;
        for direction in Direction::BOTH {
            self.leave_unless_established(direction, words, now);
        }
        if let Some((direction, connection)) = self.established_connection() {
            let hard = connection.keeps_over_notification();
            self.end(direction, Notification::cease(subcode, words, hard), None, now);
        }
    }

    /// Asks the host to close a connection.
    pub(super) fn close(&mut self, direction: Direction) {
        self.actions.push_back(Action::Close(direction));
        if self.connection(direction).is_some_and(Connection::is_closing) {
            self.connections[direction as usize] = None;
        }
    }

    /// Ends the connection over an error of the peer.
    pub(super) fn report(&mut self, direction: Direction, error: MessageError, now: f64) {
        let why = error.reason;
        self.end(direction, error.into(), Some(why), now);
    }

    /// Sends a last message; the connection is closed once it is written.
    pub(super) fn end(&mut self, direction: Direction, last: Notification, why: Option<&str>, now: f64) {
        let words = match why {
            Some(why) if !why.is_empty() => format!("sent {last}: {why}"),
            _ => format!("sent {last}"),
        };
        let Some(connection) = self.connection_mut(direction) else { return };
        last.encode(&mut connection.output);
        let output = std::mem::take(&mut connection.output);
        self.counters.notifications_out += 1;
        self.lost(direction, words, Loss::of(&last), now);
        let closing = Phase::Closing { deadline: now + CLOSE_TIMEOUT };
        self.connections[direction as usize] = Some(Connection { output, ..Connection::new(closing, now) });
    }

    /// The connection counts no more: what becomes of the routes of both sides, and when the next may begin.
    pub(super) fn lost(&mut self, direction: Direction, why: String, loss: Loss, now: f64) {
        let Some(connection) = self.connections[direction as usize].take() else { return };
        let was_established = connection.is_established();
        if was_established {
            self.counters.lost += 1;
            self.keep_routes(&connection, loss, now);
            if now >= connection.established_at + self.config.stable_time {
                self.idle_hold_time = self.config.idle_hold_time;
            }
        }
        self.log_loss(&connection, &why);
        self.last_error = Some(why);
        if was_established && self.admin_state != AdminState::Running {
            // What was out went with the session, and does not come back with another one.
            self.wanted.clear();
        }
        if !self.is_live(direction.other()) {
            self.start_retry_timer(&connection, now);
        }
    }

    /// RFC 4724 section 4: which routes outlive a lost session, the peer's here and ours there.
    fn keep_routes(&mut self, connection: &Connection, loss: Loss, now: f64) {
        let kept = match loss {
            Loss::Connection => true,
            Loss::Notification => connection.keeps_over_notification(),
            Loss::HardReset => false,
        };
        let peer = connection.peer_graceful_restart().filter(|_| kept);
        match peer.filter(|graceful| graceful.keeps_any()) {
            Some(graceful) => {
                let until = now + f64::from(graceful.restart_time).min(self.config.max_stale_time);
                self.adj_rib_in.mark_stale(graceful.families.map(|family| family.is_some()), until);
            }
            None => self.adj_rib_in.clear(),
        }
        let local = connection.local_capabilities.graceful_restart.filter(|graceful| graceful.keeps_any());
        if let (Some(graceful), Some(_), true) = (local, peer, connection.has_announced) {
            self.retained_until = now + f64::from(graceful.restart_time);
        }
    }

    fn log_loss(&mut self, connection: &Connection, why: &str) {
        let was_established = connection.is_established();
        // Notable once while it lasts: each attempt would fill the log.
        let repeated = self.last_error.as_deref() == Some(why);
        let importance = if was_established || !repeated { Importance::Notable } else { Importance::Routine };
        let what = if was_established { "lost" } else { "no session" };
        self.log(importance, format!("{what} in {:?}: {why}", connection.state()));
    }

    /// A failed session waits for IdleHoldTime, which doubles; an attempt that met no answer for ConnectRetryTime.
    fn start_retry_timer(&mut self, connection: &Connection, now: f64) {
        let opened = matches!(connection.phase, Phase::OpenSent | Phase::OpenConfirm | Phase::Established);
        self.retry_timer = if self.admin_state != AdminState::Running {
            RetryTimer::Active { deadline: now + DRAIN_RETRY_TIME }
        } else if opened {
            let wait = self.idle_hold_time * self.jitter();
            self.idle_hold_time = (2.0 * self.idle_hold_time).min(self.config.max_idle_hold_time);
            RetryTimer::Idle { deadline: now + wait }
        } else {
            RetryTimer::Active { deadline: now + self.config.connect_retry_time * self.jitter() }
        };
    }
}
