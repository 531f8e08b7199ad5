//! What the peer sends: messages by state, and the routes of its UPDATEs.

use super::connection::Phase;
use super::loss::Loss;
use super::{Direction, Importance, Peer};
use crate::error::{FsmError, MessageError};
use crate::message::{self, MessageType, RouteRefresh};
use crate::notification::Notification;
use crate::open::Role;
use crate::update::{PathAttributes, RouteError, Update};

impl Peer {
    /// Takes one message. An error ends the connection with its NOTIFICATION.
    pub(super) fn message(
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
            self.notification(direction, body, now);
            return Ok(());
        }
        let Some(connection) = self.connection_mut(direction) else { return Ok(()) };
        if connection.hold_time > 0.0 {
            connection.hold_deadline = now + connection.hold_time;
        }
        match (&connection.phase, message_type) {
            (Phase::DelayOpen { .. }, MessageType::Open) => {
                self.send_open(direction, now);
                self.open(direction, body, now)
            }
            (Phase::OpenSent, MessageType::Open) => self.open(direction, body, now),
            (Phase::OpenConfirm, MessageType::Keepalive) => {
                self.established(direction, now);
                Ok(())
            }
            (Phase::Established, MessageType::Keepalive) => Ok(()),
            (Phase::Established, MessageType::Update) => self.update(direction, body),
            (Phase::Established, MessageType::RouteRefresh) => {
                if let RouteRefresh::Request(family) = message::decode_route_refresh(body) {
                    connection.refresh[family as usize].requested = connection.speaks(family);
                }
                Ok(())
            }
            (phase, _) => Err(unexpected_message(phase)),
        }
    }

    fn notification(&mut self, direction: Direction, body: &[u8], now: f64) {
        let received = Notification::decode(body);
        self.counters.notifications_in += 1;
        self.close(direction);
        self.lost(direction, format!("received {received}"), Loss::of(&received), now);
    }

    fn update(&mut self, direction: Direction, body: &[u8]) -> Result<(), MessageError> {
        let Some(connection) = self.connection(direction) else { return Ok(()) };
        let update = Update::decode(body, connection.encoding(self.config.internal()))?;
        self.counters.updates_in += 1;
        self.counters.attributes_discarded += u64::from(update.discarded);
        let attributes = &update.attributes;
        let route_error = match update.treated_as_withdrawn {
            Some(error) => Some(error),
            None if update.announced.is_empty() => None,
            None if self.is_foreign(attributes) => Some(RouteError::FirstAsMismatch),
            None => None,
        };
        if let Some(error) = route_error {
            self.count_treated_as_withdrawn(error);
        }
        for net in &update.withdrawn {
            self.adj_rib_in.remove(net);
        }
        let loops = attributes.occurrences(self.config.local_as) > self.config.allowed_own_as;
        let usable = route_error.is_none() && !loops && !self.is_leaked(attributes);
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

    /// RFC 4271 section 6.3: a path of another AS begins with the peer's, but for one that a route server passes on
    /// (RFC 7947 section 2.2.2.1).
    fn is_foreign(&self, attributes: &PathAttributes) -> bool {
        let route_server = self.config.role == Some(Role::RouteServerClient);
        !self.config.internal() && !route_server && attributes.first_as() != Some(self.config.peer_as)
    }

    /// RFC 9234 section 5: a route that must not come from this direction has leaked.
    fn is_leaked(&self, attributes: &PathAttributes) -> bool {
        match (self.config.role, attributes.only_to_customer) {
            (Some(Role::Provider | Role::RouteServer), Some(_)) => true,
            (Some(Role::Peer), Some(asn)) => asn != self.config.peer_as,
            _ => false,
        }
    }

    /// Logged at each power of two: a peer that keeps on sending such routes must not fill the log.
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

/// RFC 6608: the subcode tells the state that the message came in.
fn unexpected_message(phase: &Phase) -> MessageError {
    let subcode = match phase {
        Phase::OpenSent => FsmError::OpenSent,
        Phase::OpenConfirm => FsmError::OpenConfirm,
        Phase::Established => FsmError::Established,
        _ => FsmError::Unspecified,
    };
    MessageError::new(subcode, "a message that has no place in this state")
}
