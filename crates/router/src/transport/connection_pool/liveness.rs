//! Detects engines that no longer respond, by pinging those that are silent.

use super::ConnectionPool;
use crate::transport::engine_connection::{ConnectionError, EngineConnection};
use std::net::SocketAddr;

impl ConnectionPool {
    /// Pings engines that are silent. If a ping stays unanswered, a new connection is opened to find out whether the
    /// machine is reachable; an unresponsive connection without open attempts is closed. Connections whose engine
    /// responds on another one are failed.
    pub fn sweep(&mut self, now: f64) {
        for id in self.connections.awaiting_engine() {
            let Some(connection) = self.connections.get(id) else { continue };
            if !connection.is_unresponsive(&self.limits, now) {
                let pinged = self.connections.update(id, |connection| connection.ping_if_silent(now));
                if let Some(Err(error)) = pinged {
                    self.fail(id, ConnectionError::Io(error), now);
                }
            } else if connection.load() == 0 {
                self.close(id, now);
            } else if !connection.known_unresponsive {
                self.handle_unresponsive(id, now);
            }
        }
        for id in self.superseded() {
            self.fail(id, ConnectionError::AnswersElsewhere, now);
        }
    }

    /// Marks a connection as unresponsive, and opens another one as a probe unless there is one. If the probe can't be
    /// opened, that is not tried again for this connection until the engine has sent something on it.
    fn handle_unresponsive(&mut self, id: u64, now: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let engine = connection.engine;
        let address = connection.address;
        let load = connection.load();
        log::info!("connection to {address}: no answer to a ping, with {load} attempts; probing with a new connection");
        self.connections.update(id, |connection| connection.known_unresponsive = true);
        let is_active_probe = |connection: &EngineConnection| {
            connection.address == address && connection.is_probe && !connection.known_unresponsive
        };
        if self.connections.to_engine(engine).any(|(_, connection)| is_active_probe(connection)) {
            return;
        }
        if let Ok(probe) = self.open(engine, address, now) {
            self.connections.update(probe, |connection| connection.is_probe = true);
        }
    }

    /// The unresponsive connections whose engine has sent something on another connection since their ping timed out.
    fn superseded(&self) -> Vec<u64> {
        let is_superseded = |id: &u64| {
            let Some(connection) = self.connections.get(*id) else { return false };
            let mut others = self.connections.to_engine(connection.engine);
            connection.known_unresponsive
                && others.any(|(_, other)| connection.is_superseded_by(other, &self.limits))
        };
        self.connections.awaiting_engine().into_iter().filter(is_superseded).collect()
    }

    /// Fails the unresponsive connections to an address.
    pub(super) fn fail_unresponsive(&mut self, engine: u64, address: SocketAddr, now: f64) {
        let is_unresponsive =
            |connection: &EngineConnection| connection.address == address && connection.known_unresponsive;
        let connections = self.connections.to_engine(engine);
        let unresponsive: Vec<u64> =
            connections.filter(|(_, connection)| is_unresponsive(connection)).map(|(id, _)| id).collect();
        for id in unresponsive {
            self.fail(id, ConnectionError::EngineUnreachable, now);
        }
    }
}
