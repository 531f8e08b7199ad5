//! The end of sessions: the drain, sending NOTIFICATIONs, and what happens after a loss: which routes are retained, and
//! when the next attempt starts.

use super::connection::{Connection, Phase};
use super::loss::{Loss, DRAIN_STEP_TIMEOUT};
use super::{Action, AdminState, Advertisement, Direction, Importance, Peer, RetryTimer};
use crate::error::{CeaseSubcode, MessageError};
use crate::notification::Notification;
use ipnet::IpNet;
use std::collections::BTreeMap;

/// The time limit in seconds for sending the last message of a connection.
const CLOSE_TIMEOUT: f64 = 1.0;
/// The pause in seconds, during a drain, between attempts to reach a peer that may retain our routes.
const DRAIN_RETRY_TIME: f64 = 0.05;

impl Peer {
    /// Withdraws all routes permanently, except those in `last_advertisements` that are announced on the established
    /// session. These are announced once more with the given attributes (for example GRACEFUL_SHUTDOWN, so that traffic
    /// moves away before they are withdrawn). A later call withdraws those that it does not contain, and ignores
    /// attributes; the end of the session withdraws all. If the peer may retain our routes from a lost session, a new
    /// session is established to make it remove them; we open the connection unless `passive` is configured.
    pub fn drain(&mut self, last_advertisements: BTreeMap<IpNet, Advertisement>, now: f64) {
        if self.admin_state != AdminState::Running {
            self.advertisements.retain(|net, _| last_advertisements.contains_key(net));
            return self.write_updates(now);
        }
        self.admin_state = AdminState::Draining;
        let announced: Vec<IpNet> = self.adj_rib_out().map(|(net, _)| *net).collect();
        self.advertisements =
            last_advertisements.into_iter().filter(|(net, _)| announced.contains(net)).collect();
        self.retry_timer = RetryTimer::Active { deadline: now };
        if !self.may_retain_routes() {
            for direction in Direction::BOTH {
                self.end_unless_established(direction, "drained before the session was up", now);
            }
        }
        self.shorten_attempts(now);
        self.write_updates(now);
    }

    /// Shortens the deadlines of connections that are still being opened, so that an attempt from before the drain does
    /// not use up the time of the drain.
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

    /// Ends a connection that is not established yet. `reason` is logged, or sent as the shutdown communication.
    fn end_unless_established(&mut self, direction: Direction, reason: &str, now: f64) {
        match self.connection(direction).map(|connection| &connection.phase) {
            Some(Phase::Connecting { .. } | Phase::DelayOpen { .. }) => {
                self.close(direction);
                self.connection_lost(direction, reason.to_string(), Loss::HardReset, now);
            }
            Some(Phase::OpenSent | Phase::OpenConfirm) => {
                let cease = Notification::cease(CeaseSubcode::AdministrativeShutdown, reason, false);
                self.end_with_notification(direction, cease, None, now);
            }
            _ => {}
        }
    }

    /// Ends all connections permanently, and opens or accepts no others. An established session ends with a Cease that
    /// makes the peer remove our routes, even if it would retain them after a lost connection (hard reset, RFC 8538).
    /// Routes that the peer retains from an earlier session are no longer waited for: call [`Peer::drain`] first to
    /// have them removed. `communication` is the shutdown communication.
    pub fn shut_down(&mut self, subcode: CeaseSubcode, communication: &str, now: f64) {
        self.drain(BTreeMap::new(), now);
        self.admin_state = AdminState::Stopped;
        self.retained_until = f64::NEG_INFINITY;
        for direction in Direction::BOTH {
            self.end_unless_established(direction, communication, now);
        }
        if let Some((direction, connection)) = self.established_connection() {
            let hard_reset = connection.keeps_routes_over_notification();
            self.end_with_notification(
                direction,
                Notification::cease(subcode, communication, hard_reset),
                None,
                now,
            );
        }
    }

    /// Asks the host to close a connection. A connection that is closing is also removed here; any other must be
    /// removed by the caller.
    pub(super) fn close(&mut self, direction: Direction) {
        self.actions.push_back(Action::Close(direction));
        if self.connection(direction).is_some_and(Connection::is_closing) {
            self.connections[direction as usize] = None;
        }
    }

    /// Ends the connection because of a protocol error of the peer.
    pub(super) fn end_with_error(&mut self, direction: Direction, error: MessageError, now: f64) {
        let reason = error.reason;
        self.end_with_notification(direction, error.into(), Some(reason), now);
    }

    /// Sends a NOTIFICATION as the last message; the connection is closed once it is written.
    pub(super) fn end_with_notification(
        &mut self,
        direction: Direction,
        notification: Notification,
        reason: Option<&str>,
        now: f64,
    ) {
        let description = match reason {
            Some(reason) if !reason.is_empty() => format!("sent {notification}: {reason}"),
            _ => format!("sent {notification}"),
        };
        let Some(connection) = self.connection_mut(direction) else { return };
        notification.encode(&mut connection.output);
        let output = std::mem::take(&mut connection.output);
        self.counters.notifications_out += 1;
        self.connection_lost(direction, description, Loss::from_notification(&notification), now);
        let closing = Phase::Closing { deadline: now + CLOSE_TIMEOUT };
        self.connections[direction as usize] = Some(Connection { output, ..Connection::new(closing, now) });
    }

    /// Removes a lost or ended connection: decides which routes of both sides are retained, logs the loss, and starts
    /// the timer for the next connection.
    pub(super) fn connection_lost(&mut self, direction: Direction, reason: String, loss: Loss, now: f64) {
        let Some(connection) = self.connections[direction as usize].take() else { return };
        let was_established = connection.is_established();
        if was_established {
            self.counters.lost += 1;
            self.retain_routes(&connection, loss, now);
            if now >= connection.established_at + self.config.stable_time {
                self.idle_hold_time = self.config.idle_hold_time;
            }
        }
        self.log_loss(&connection, &reason);
        self.last_error = Some(reason);
        if was_established && self.admin_state != AdminState::Running {
            // The announced routes ended with the session, and must not be announced again on another one.
            self.advertisements.clear();
        }
        if !self.is_live(direction.other()) {
            self.start_retry_timer(&connection, now);
        }
    }

    /// Determines which routes are retained after a lost session (RFC 4724 section 4): the peer's routes here, and our
    /// routes at the peer.
    fn retain_routes(&mut self, connection: &Connection, loss: Loss, now: f64) {
        let is_retained = match loss {
            Loss::Connection => true,
            Loss::Notification => connection.keeps_routes_over_notification(),
            Loss::HardReset => false,
        };
        let peer_restart = connection.peer_graceful_restart().filter(|_| is_retained);
        match peer_restart.filter(|graceful| graceful.preserves_any_family()) {
            Some(graceful) => {
                let until = now + f64::from(graceful.restart_time).min(self.config.max_stale_time);
                self.adj_rib_in.mark_stale(graceful.families.map(|family| family.is_some()), until);
            }
            None => self.adj_rib_in.clear(),
        }
        // The peer retains our routes only if both sides have the capability, ours lists a family, and a route was
        // announced.
        let own_restart =
            connection.local_capabilities.graceful_restart.filter(|graceful| graceful.preserves_any_family());
        if let (Some(graceful), Some(_), true) = (own_restart, peer_restart, connection.has_announced) {
            self.retained_until = now + f64::from(graceful.restart_time);
        }
    }

    fn log_loss(&mut self, connection: &Connection, reason: &str) {
        let was_established = connection.is_established();
        // A failed attempt is notable only if its reason differs from that of the previous one, because repeated
        // attempts would fill the log.
        let is_repeated = self.last_error.as_deref() == Some(reason);
        let importance =
            if was_established || !is_repeated { Importance::Notable } else { Importance::Routine };
        let event = if was_established { "session lost" } else { "session attempt failed" };
        self.log(importance, format!("{event} in {:?}: {reason}", connection.state()));
    }

    /// Starts the timer for the next connection: IdleHoldTimer, whose duration doubles, if OPEN was sent on the
    /// connection; otherwise ConnectRetryTimer; and a short fixed pause during a drain.
    fn start_retry_timer(&mut self, connection: &Connection, now: f64) {
        let was_open_sent =
            matches!(connection.phase, Phase::OpenSent | Phase::OpenConfirm | Phase::Established);
        self.retry_timer = if self.admin_state != AdminState::Running {
            RetryTimer::Active { deadline: now + DRAIN_RETRY_TIME }
        } else if was_open_sent {
            let wait = self.idle_hold_time * self.jitter();
            self.idle_hold_time = (2.0 * self.idle_hold_time).min(self.config.max_idle_hold_time);
            RetryTimer::Idle { deadline: now + wait }
        } else {
            RetryTimer::Active { deadline: now + self.config.connect_retry_time * self.jitter() }
        };
    }
}
