//! Received messages: their handling in each state, and the routes in UPDATEs.

use super::connection::Phase;
use super::loss::Loss;
use super::{Direction, Importance, Peer};
use crate::error::{FsmError, MessageError};
use crate::message::{self, MessageType, RouteRefresh};
use crate::notification::Notification;
use crate::open::Role;
use crate::update::{PathAttributes, RouteError, Update};

impl Peer {
    /// Handles one message.
    ///
    /// # Errors
    /// The message is malformed, not acceptable, or not allowed in the current state. The caller ends the connection
    /// with the NOTIFICATION for the error.
    pub(super) fn receive_message(
        &mut self,
        direction: Direction,
        message_type: MessageType,
        body: &[u8],
        now: f64,
    ) -> Result<(), MessageError> {
        if self.connection(direction).is_none() {
            return Ok(());
        }
        if message_type == MessageType::Notification {
            self.receive_notification(direction, body, now);
            return Ok(());
        }
        let Some(connection) = self.connection_mut(direction) else { return Ok(()) };
        if connection.hold_time > 0.0 {
            connection.hold_deadline = now + connection.hold_time;
        }
        match (&connection.phase, message_type) {
            (Phase::DelayOpen { .. }, MessageType::Open) => {
                self.send_open(direction, now);
                self.receive_open(direction, body, now)
            }
            (Phase::OpenSent, MessageType::Open) => self.receive_open(direction, body, now),
            (Phase::OpenConfirm, MessageType::Keepalive) => {
                self.enter_established(direction, now);
                Ok(())
            }
            (Phase::Established, MessageType::Keepalive) => Ok(()),
            (Phase::Established, MessageType::Update) => self.receive_update(direction, body),
            (Phase::Established, MessageType::RouteRefresh) => {
                if let RouteRefresh::Request(family) = message::decode_route_refresh(body) {
                    connection.refresh[family as usize].requested = connection.has_negotiated(family);
                }
                Ok(())
            }
            (phase, _) => Err(unexpected_message(phase)),
        }
    }

    fn receive_notification(&mut self, direction: Direction, body: &[u8], now: f64) {
        let received = Notification::decode(body);
        self.counters.notifications_in += 1;
        self.close(direction);
        self.connection_lost(
            direction,
            format!("received {received}"),
            Loss::from_notification(&received),
            now,
        );
    }

    fn receive_update(&mut self, direction: Direction, body: &[u8]) -> Result<(), MessageError> {
        let Some(connection) = self.connection(direction) else { return Ok(()) };
        let update = Update::decode(body, connection.update_context(self.config.is_internal()))?;
        self.counters.updates_in += 1;
        self.counters.attributes_discarded += u64::from(update.discarded);
        let attributes = &update.attributes;
        let route_error = match update.treated_as_withdrawn {
            Some(error) => Some(error),
            None if update.announced.is_empty() => None,
            None if self.has_wrong_first_as(attributes) => Some(RouteError::FirstAsMismatch),
            None => None,
        };
        if let Some(error) = route_error {
            self.count_treated_as_withdrawn(error);
        }
        for net in &update.withdrawn {
            self.adj_rib_in.remove(net);
        }
        let has_loop = attributes.occurrences(self.config.local_as) > self.config.allowed_own_as;
        let usable = route_error.is_none() && !has_loop && !self.is_route_leak(attributes);
        for net in &update.announced {
            match usable {
                true => self.adj_rib_in.insert(*net, attributes),
                false => self.adj_rib_in.remove(net),
            }
        }
        if let Some(family) = update.end_of_rib {
            self.adj_rib_in.remove_stale(family);
        }
        Ok(())
    }

    /// Whether the AS_PATH does not begin with the peer's AS although it must (RFC 4271 section 6.3). This is not
    /// checked in iBGP sessions, nor for a route server, which does not prepend its own AS (RFC 7947 section 2.2.2.1).
    fn has_wrong_first_as(&self, attributes: &PathAttributes) -> bool {
        let is_from_route_server = self.config.role == Some(Role::RouteServerClient);
        !self.config.is_internal()
            && !is_from_route_server
            && attributes.first_as() != Some(self.config.peer_as)
    }

    /// Whether the route is a route leak (RFC 9234 section 5): it has ONLY_TO_CUSTOMER although the peer is our
    /// customer or route server client, or the attribute does not name the AS of a lateral peer.
    fn is_route_leak(&self, attributes: &PathAttributes) -> bool {
        match (self.config.role, attributes.only_to_customer) {
            (Some(Role::Provider | Role::RouteServer), Some(_)) => true,
            (Some(Role::Peer), Some(asn)) => asn != self.config.peer_as,
            _ => false,
        }
    }

    /// Counts an UPDATE whose routes are treated as withdrawn. It is logged only when the count is a power of two, so
    /// that a peer that keeps sending such routes does not fill the log.
    fn count_treated_as_withdrawn(&mut self, error: RouteError) {
        self.counters.treated_as_withdrawn += 1;
        let count = self.counters.treated_as_withdrawn;
        if count.is_power_of_two() {
            self.log(
                Importance::Notable,
                format!("routes treated as withdrawn: {error} ({count} times so far)"),
            );
        }
    }
}

/// The error for a message that is not allowed in the state; the subcode identifies the state (RFC 6608).
fn unexpected_message(phase: &Phase) -> MessageError {
    let subcode = match phase {
        Phase::OpenSent => FsmError::OpenSent,
        Phase::OpenConfirm => FsmError::OpenConfirm,
        Phase::Established => FsmError::Established,
        _ => FsmError::Unspecified,
    };
    MessageError::new(subcode, "message not allowed in this state")
}
