//! Whether engines are still there: those that are silent are asked for a sign of life.

use super::ConnectionPool;
use crate::transport::engine_connection::{ConnectionError, EngineConnection};
use std::net::SocketAddr;

impl ConnectionPool {
    /// Asks engines that are silent for a sign of life. Where none comes, a new connection shows whether the machine is
    /// there; what carries nothing is let go.
    pub fn sweep(&mut self, now: f64) {
        for id in self.connections.awaited() {
            let Some(connection) = self.connections.get(id) else { continue };
            if !connection.is_mute(&self.limits, now) {
                let pinged = self.connections.change(id, |connection| connection.ping_if_silent(now));
                if let Some(Err(error)) = pinged {
                    self.fail(id, ConnectionError::Io(error), now);
                }
            } else if connection.load() == 0 {
                self.close(id, now);
            } else if !connection.known_mute {
                self.found_mute(id, now);
            }
        }
        for id in self.dead() {
            self.fail(id, ConnectionError::Dead, now);
        }
    }

    /// A connection gives no sign of life: another one is tried, if none is tried already.
    fn found_mute(&mut self, id: u64, now: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let engine = connection.engine;
        let address = connection.address;
        let load = connection.load();
        log::info!("connection to {address}: gives no sign, with {load} attempts");
        self.connections.change(id, |connection| connection.known_mute = true);
        let is_tried = |connection: &EngineConnection| {
            connection.address == address && connection.is_trial && !connection.known_mute
        };
        if self.connections.to_engine(engine).any(|(_, connection)| is_tried(connection)) {
            return;
        }
        if let Ok(trial) = self.open(engine, address, now) {
            self.connections.change(trial, |connection| connection.is_trial = true);
        }
    }

    /// Connections that give no sign of life, though their engine has spoken on another one since.
    fn dead(&self) -> Vec<u64> {
        let is_dead = |id: &u64| {
            let Some(connection) = self.connections.get(*id) else { return false };
            let mut others = self.connections.to_engine(connection.engine);
            connection.known_mute && others.any(|(_, other)| connection.is_dead_beside(other, &self.limits))
        };
        self.connections.awaited().into_iter().filter(is_dead).collect()
    }

    /// The connections to an address that give no sign of life are over.
    pub(super) fn fail_mute(&mut self, engine: u64, address: SocketAddr, now: f64) {
        let is_mute = |connection: &EngineConnection| connection.address == address && connection.known_mute;
        let connections = self.connections.to_engine(engine);
        let mute: Vec<u64> =
            connections.filter(|(_, connection)| is_mute(connection)).map(|(id, _)| id).collect();
        for id in mute {
            self.fail(id, ConnectionError::Vanished, now);
        }
    }
}
