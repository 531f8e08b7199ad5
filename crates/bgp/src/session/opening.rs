//! The steps from a TCP connection to Established: OPEN, negotiation of parameters, and collisions of two connections.

use super::connection::{Connection, Phase};
use super::loss::{Loss, DRAIN_STEP_TIMEOUT};
use super::{AdminState, Direction, Importance, Peer, PeerConfig, State};
use crate::error::{CeaseSubcode, MessageError, OpenError};
use crate::family::Family;
use crate::message;
use crate::notification::Notification;
use crate::open::{Capabilities, GracefulRestart, Open};

impl Peer {
    /// The capabilities that our OPEN advertises.
    fn local_capabilities(&self) -> Capabilities {
        // Without a restart time, and while draining, Graceful Restart lists no family, so the peer at once removes the
        // routes that it retained.
        let restart_time = self.config.restart_time.filter(|_| self.admin_state == AdminState::Running);
        let preserved_families =
            self.config.families.map(|enabled| (enabled && restart_time.is_some()).then_some(true));
        Capabilities {
            families: self.config.families,
            four_octet_as: Some(self.config.local_as),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: Some(GracefulRestart {
                restart_state: self.restart_state,
                notification_support: true,
                restart_time: restart_time.unwrap_or(0),
                families: preserved_families,
            }),
            role: self.config.role,
        }
    }

    /// Sends our OPEN and starts the wait for the peer's OPEN.
    pub(super) fn send_open(&mut self, direction: Direction, now: f64) {
        let capabilities = self.local_capabilities();
        let open = Open {
            asn: self.config.local_as,
            hold_time: self.config.hold_time,
            identifier: self.config.identifier,
            capabilities: capabilities.clone(),
        };
        let timeout = match self.admin_state {
            AdminState::Draining => DRAIN_STEP_TIMEOUT,
            _ => self.config.open_timeout,
        };
        let Some(connection) = self.connection_mut(direction) else { return };
        open.encode(&mut connection.output);
        connection.phase = Phase::OpenSent;
        connection.local_capabilities = capabilities;
        connection.hold_deadline = now + timeout;
        connection.last_progress = now;
    }

    /// Handles the peer's OPEN: checks it, resolves a collision, and answers with a KEEPALIVE if this connection is
    /// kept.
    ///
    /// # Errors
    /// The OPEN is malformed (see [`Open::decode`]) or not acceptable for this peer (see [`check_open`]).
    pub(super) fn receive_open(
        &mut self,
        direction: Direction,
        body: &[u8],
        now: f64,
    ) -> Result<(), MessageError> {
        let open = Open::decode(body)?;
        check_open(&open, &self.config)?;
        if !self.resolve_collision(direction, &open, now) {
            return Ok(());
        }
        let hold_time = f64::from(self.config.hold_time.min(open.hold_time));
        let keepalive_deadline = now + hold_time / 3.0 * self.jitter();
        let Some(connection) = self.connection_mut(direction) else { return Ok(()) };
        message::encode_keepalive(&mut connection.output);
        connection.phase = Phase::OpenConfirm;
        connection.hold_time = hold_time;
        connection.peer_open = Some(open);
        if hold_time > 0.0 {
            connection.hold_deadline = now + hold_time;
            connection.keepalive_deadline = keepalive_deadline;
        } else {
            connection.hold_deadline = f64::INFINITY;
            connection.keepalive_deadline = f64::INFINITY;
        }
        Ok(())
    }

    /// Resolves a collision of two connections (RFC 4271 section 6.8): the one opened by the side with the higher BGP
    /// identifier is kept (the higher AS number if the identifiers are equal, RFC 6286), and the other is ended.
    /// Returns whether this connection is kept. If the other connection is established, it is kept, unless the peer
    /// supports Graceful Restart: then the other one counts as lost, and this one is kept. If the peer's OPEN has not
    /// arrived on the other connection yet, both connections remain for now.
    fn resolve_collision(&mut self, direction: Direction, open: &Open, now: f64) -> bool {
        let other = direction.other();
        let cease = |communication| {
            Notification::cease(CeaseSubcode::ConnectionCollisionResolution, communication, false)
        };
        match self.connection(other).map(Connection::state) {
            Some(State::Established) => {
                if self.connection(other).and_then(Connection::peer_graceful_restart).is_some() {
                    // RFC 4724 section 5: the peer restarted, and we did not notice that the old connection was lost.
                    self.close(other);
                    self.connection_lost(
                        other,
                        "the peer opened a new connection".to_string(),
                        Loss::Connection,
                        now,
                    );
                    return true;
                }
                self.end_with_notification(direction, cease("a session is up"), None, now);
                false
            }
            Some(State::OpenConfirm) => {
                let local = (u32::from(self.config.identifier), self.config.local_as);
                let remote = (u32::from(open.identifier), open.asn);
                let kept = if local > remote { Direction::Outgoing } else { Direction::Incoming };
                self.end_with_notification(kept.other(), cease("the other connection stays"), None, now);
                kept == direction
            }
            _ => true,
        }
    }

    /// Changes the connection to Established after the peer's first KEEPALIVE.
    pub(super) fn enter_established(&mut self, direction: Direction, now: f64) {
        self.end_other_connection(direction.other(), now);
        self.counters.established += 1;
        self.restart_state = false;
        let Some(connection) = self.connections[direction as usize].as_mut() else { return };
        connection.phase = Phase::Established;
        connection.established_at = now;
        let graceful = connection.peer_graceful_restart();
        for family in Family::ALL {
            connection.refresh[family as usize].end_of_rib_due =
                connection.has_negotiated(family) && graceful.is_some();
            // RFC 4724 section 4.2: stale routes are removed if the peer did not preserve its forwarding state or no
            // longer lists the family.
            let is_preserved =
                graceful.is_some_and(|graceful| graceful.families[family as usize] == Some(true));
            if !is_preserved {
                self.adj_rib_in.remove_stale(family);
            }
        }
        // As soon as this session is established, the peer removes the routes that it retained, if our OPEN listed no
        // family or the peer does not support Graceful Restart. Otherwise it keeps them until our End-of-RIB marker.
        let asked_to_retain_routes = connection
            .local_capabilities
            .graceful_restart
            .is_some_and(|graceful| graceful.preserves_any_family());
        if !asked_to_retain_routes || graceful.is_none() {
            self.retained_until = f64::NEG_INFINITY;
        }
        let hold_time = connection.hold_time;
        self.last_error = None;
        self.log(Importance::Notable, format!("established, hold time {hold_time} s"));
        self.write_updates(now);
    }

    /// Ends the other connection if it is not established yet; it is not needed once this session is established.
    fn end_other_connection(&mut self, other: Direction, now: f64) {
        match self.connection(other).map(Connection::state) {
            Some(State::Connect) => {
                self.close(other);
                self.connections[other as usize] = None;
            }
            Some(State::OpenSent | State::OpenConfirm) => {
                let cease = Notification::cease(
                    CeaseSubcode::ConnectionCollisionResolution,
                    "a session is up",
                    false,
                );
                self.end_with_notification(other, cease, None, now);
            }
            _ => {}
        }
    }
}

/// Checks whether a session may be established with this OPEN.
///
/// # Errors
/// The AS number or BGP identifier is not the configured one, or the identifier equals ours in an iBGP session (RFC
/// 4271 section 6.2), no address family is in common (RFC 5492 section 3), or the peer's role does not match ours or is
/// missing though required (RFC 9234 section 4.2).
fn check_open(open: &Open, config: &PeerConfig) -> Result<(), MessageError> {
    if open.asn != config.peer_as {
        return Err(MessageError::new(
            OpenError::BadPeerAs,
            "the peer's AS number is not the configured one",
        )
        .with_data(&open.asn.to_be_bytes()));
    }
    let is_own_identifier = open.identifier == config.identifier && config.is_internal();
    if is_own_identifier || config.peer_identifier.is_some_and(|id| id != open.identifier) {
        return Err(MessageError::new(
            OpenError::BadIdentifier,
            "the peer's BGP identifier is ours, or is not the configured one",
        )
        .with_data(&open.identifier.octets()));
    }
    match (config.role, open.capabilities.role) {
        (Some(ours), Some(theirs)) if ours.counterpart() != theirs => {
            return Err(MessageError::new(OpenError::RoleMismatch, "the peer's role does not match ours"))
        }
        (Some(_), None) if config.strict_role => {
            return Err(MessageError::new(OpenError::RoleMismatch, "the peer sent no role"))
        }
        _ => {}
    }
    let is_common = |family: &Family| {
        let index = *family as usize;
        config.families[index] && open.capabilities.families[index]
    };
    if !Family::ALL.iter().any(is_common) {
        return Err(MessageError::new(OpenError::UnsupportedCapability, "no address family in common"));
    }
    Ok(())
}
