//! From a TCP connection to Established: OPEN, what is negotiated, and collisions of two connections.

use super::connection::{Connection, Phase};
use super::loss::{Loss, DRAIN_STEP_TIMEOUT};
use super::{AdminState, Direction, Importance, Peer, PeerConfig, State};
use crate::error::{CeaseSubcode, MessageError, OpenError};
use crate::family::Family;
use crate::message;
use crate::notification::Notification;
use crate::open::{Capabilities, GracefulRestart, Open};

impl Peer {
    fn capabilities(&self) -> Capabilities {
        // Where nothing is to be kept, no family is named: the peer then drops at once what it kept.
        let restart_time = self.config.restart_time.filter(|_| self.admin_state == AdminState::Running);
        let preserved_families =
            self.config.families.map(|spoken| (spoken && restart_time.is_some()).then_some(true));
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

    pub(super) fn send_open(&mut self, direction: Direction, now: f64) {
        let capabilities = self.capabilities();
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

    /// The peer's OPEN: checked, and answered with a KEEPALIVE if this connection stays.
    pub(super) fn open(&mut self, direction: Direction, body: &[u8], now: f64) -> Result<(), MessageError> {
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

    /// RFC 4271 section 6.8: of two connections one stays, the one that the higher identifier began (the higher AS
    /// where identifiers are alike, RFC 6286). Tells whether it is this one; the other one is ended.
    fn resolve_collision(&mut self, direction: Direction, open: &Open, now: f64) -> bool {
        let other = direction.other();
        let cease = |words| Notification::cease(CeaseSubcode::ConnectionCollisionResolution, words, false);
        match self.connection(other).map(Connection::state) {
            Some(State::Established) => {
                if self.connection(other).and_then(Connection::peer_graceful_restart).is_some() {
                    // RFC 4724 section 5: it restarted, and we have not heard of the end of the old one.
                    self.close(other);
                    self.lost(other, "the peer has connected anew".to_string(), Loss::Connection, now);
                    return true;
                }
                self.end(direction, cease("a session is up"), None, now);
                false
            }
            Some(State::OpenConfirm) => {
                let local = (u32::from(self.config.identifier), self.config.local_as);
                let remote = (u32::from(open.identifier), open.asn);
                let stays = if local > remote { Direction::Outgoing } else { Direction::Incoming };
                self.end(stays.other(), cease("the other connection stays"), None, now);
                stays == direction
            }
            _ => true,
        }
    }

    /// The peer's first KEEPALIVE: the session is up.
    pub(super) fn established(&mut self, direction: Direction, now: f64) {
        self.give_up_other(direction.other(), now);
        self.counters.established += 1;
        self.restart_state = false;
        let Some(connection) = self.connections[direction as usize].as_mut() else { return };
        connection.phase = Phase::Established;
        connection.established_at = now;
        let graceful = connection.peer_graceful_restart();
        for family in Family::ALL {
            connection.refresh[family as usize].end_of_rib_due =
                connection.speaks(family) && graceful.is_some();
            // RFC 4724 section 4.2: what it did not keep, or does not speak any more, is gone.
            let keeps = graceful.is_some_and(|graceful| graceful.families[family as usize] == Some(true));
            if !keeps {
                self.adj_rib_in.remove_stale(family);
            }
        }
        let own_state_preserved =
            connection.local_capabilities.graceful_restart.is_some_and(|graceful| graceful.keeps_any());
        if !own_state_preserved || graceful.is_none() {
            self.retained_until = f64::NEG_INFINITY;
        }
        let hold_time = connection.hold_time;
        self.last_error = None;
        self.log(Importance::Notable, format!("established, hold time {hold_time} s"));
        self.write_updates(now);
    }

    /// Ends what the other connection still tries: it leads nowhere once a session is up.
    fn give_up_other(&mut self, other: Direction, now: f64) {
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
                self.end(other, cease, None, now);
            }
            _ => {}
        }
    }
}

/// RFC 4271 section 6.2, RFC 5492 section 3, RFC 9234 section 4.2: whether a session may begin with this OPEN.
fn check_open(open: &Open, config: &PeerConfig) -> Result<(), MessageError> {
    if open.asn != config.peer_as {
        return Err(MessageError::new(OpenError::BadPeerAs, "the peer is of another AS")
            .with(&open.asn.to_be_bytes()));
    }
    let same_id = open.identifier == config.identifier && config.internal();
    if same_id || config.peer_identifier.is_some_and(|id| id != open.identifier) {
        return Err(MessageError::new(OpenError::BadIdentifier, "the peer has another BGP identifier")
            .with(&open.identifier.octets()));
    }
    match (config.role, open.capabilities.role) {
        (Some(ours), Some(theirs)) if ours.counterpart() != theirs => {
            return Err(MessageError::new(OpenError::RoleMismatch, "the peer's role does not go with ours"))
        }
        (Some(_), None) if config.strict_role => {
            return Err(MessageError::new(OpenError::RoleMismatch, "the peer tells no role"))
        }
        _ => {}
    }
    let common = |family: &Family| {
        let index = *family as usize;
        config.families[index] && open.capabilities.families[index]
    };
    if !Family::ALL.iter().any(common) {
        return Err(MessageError::new(OpenError::UnsupportedCapability, "no address family in common"));
    }
    Ok(())
}
