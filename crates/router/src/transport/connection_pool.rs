//! All connections to engines: opened as attempts need them, shared by them, closed when idle.

mod liveness;

use super::connection_index::ConnectionIndex;
use super::engine_connection::{ConnectionError, EngineConnection};
use super::event_source::{EventSource, LoopHandle};
use super::panic_guard::catch_panic;
use super::sockets::{begin_connect, is_out_of_descriptors};
use crate::routing::{AttemptId, Counters, DeliveryFailure, Dispatch, EndedAttempt};
use cleatgw_deployment_config::ConnectionLimits;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// By then an engine has seen that a connection was closed, in seconds.
const CLOSE_SEEN_AFTER: f64 = 0.05;

/// What the connections of a panic are called in the log.
const CONNECTION: &str = "a connection to an engine";

/// An end on a connection that was closed: an event once its engine has had time to see it.
struct DelayedEnd {
    at: f64,
    ended: EndedAttempt,
}

pub struct ConnectionPool {
    handle: LoopHandle,
    connections: ConnectionIndex,
    next_id: u64,
    /// How many there may be.
    max_connections: usize,
    limits: ConnectionLimits,
    /// Attempts that ended: events of the next turn.
    ended: Vec<EndedAttempt>,
    delayed: VecDeque<DelayedEnd>,
    connection_of: HashMap<AttemptId, u64>,
    /// Connections that came up in this turn, on which nothing has left yet.
    came_up: Vec<u64>,
    counters: Counters,
}

impl ConnectionPool {
    pub fn new(handle: &LoopHandle, limits: ConnectionLimits, max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            handle: handle.clone(),
            connections: ConnectionIndex::new(limits.idle_after),
            next_id: 0,
            max_connections: max_connections.max(1),
            limits,
            ended: Vec::new(),
            delayed: VecDeque::new(),
            connection_of: HashMap::new(),
            came_up: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Makes an attempt on a connection to its engine.
    pub fn dispatch(&mut self, dispatch: Dispatch, now: f64) {
        let attempt = dispatch.attempt;
        let id = match self.connection_for(&dispatch, now) {
            Ok(id) => id,
            Err(failure) => {
                self.ended.push(EndedAttempt { attempt, result: Err(failure) });
                return;
            }
        };
        self.connection_of.insert(attempt, id);
        let ended = &mut self.ended;
        let dispatched = self.connections.change(id, |connection| connection.dispatch(&dispatch, now, ended));
        if let Some(Err(error)) = dispatched {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    /// A connection that takes the attempt, opened where there is none.
    fn connection_for(&mut self, dispatch: &Dispatch, now: f64) -> Result<u64, DeliveryFailure> {
        // An idle one that its engine has just closed would lose the attempt: that is looked at first.
        while let Some(id) = self.find(dispatch, now) {
            if !self.is_idle(id) {
                return Ok(id);
            }
            self.work(id, true, now);
            if self.connections.get(id).is_some() {
                return Ok(id);
            }
        }
        self.open(dispatch.engine, dispatch.address, now)
    }

    fn is_idle(&self, id: u64) -> bool {
        self.connections.get(id).is_some_and(|connection| connection.is_up() && connection.load() == 0)
    }

    /// A connection that takes the attempt: one that is up before one that is coming up. What must have left by some time is
    /// not put behind bytes that their engine has yet to take.
    fn find(&self, dispatch: &Dispatch, now: f64) -> Option<u64> {
        let fits = |connection: &EngineConnection| {
            connection.address == dispatch.address
                && (dispatch.leave_by == f64::INFINITY || !connection.has_unsent())
                && connection.can_take(dispatch.request.id, &self.limits, now)
        };
        let mut connections = self.connections.to_engine(dispatch.engine);
        connections.find(|(_, connection)| fits(connection)).map(|(id, _)| id)
    }

    fn open(&mut self, engine: u64, address: SocketAddr, now: f64) -> Result<u64, DeliveryFailure> {
        if self.connections.len() >= self.max_connections && !self.make_room(now) {
            self.counters.descriptors_short += 1;
            return Err(DeliveryFailure::NeverSent);
        }
        let id = self.next_id;
        self.next_id += 1;
        match begin_connect(&self.handle, address, EventSource::EngineConnection(id)) {
            Ok(connection) => {
                let until = now + self.limits.connect_time_out;
                self.connections.add(id, EngineConnection::new(connection, engine, address, until));
                self.counters.links += 1;
                Ok(id)
            }
            Err(error) if is_out_of_descriptors(&error) => {
                self.counters.descriptors_short += 1;
                Err(DeliveryFailure::NeverSent)
            }
            Err(error) => {
                log::debug!("connection to {address}: {error}");
                self.counters.links_failed += 1;
                Err(DeliveryFailure::Refused)
            }
        }
    }

    /// Closes a connection that carries nothing; false where there is none.
    fn make_room(&mut self, now: f64) -> bool {
        let Some(id) = self.connections.oldest_idle() else { return false };
        self.close(id, now);
        true
    }

    /// Closes a connection; what was on it is given up with it, which its engine is yet to see.
    fn close(&mut self, id: u64, now: f64) {
        let mut ended = Vec::new();
        self.remove(id, &mut ended);
        let at = now + CLOSE_SEEN_AFTER;
        self.delayed.extend(ended.into_iter().map(|ended| DelayedEnd { at, ended }));
    }

    /// Removes a connection; what was on it goes into `ended`.
    fn remove(&mut self, id: u64, ended: &mut Vec<EndedAttempt>) {
        let Some(connection) = self.connections.remove(id) else { return };
        self.handle.remove(connection.token);
        self.counters.answers_dropped += connection.answers_dropped;
        connection.end(ended);
    }

    /// A connection has failed.
    fn fail(&mut self, id: u64, error: ConnectionError, now: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let engine = connection.engine;
        let address = connection.address;
        let was_up = connection.is_up();
        let load = connection.load();
        let level = self.count_failure(&error, was_up, load);
        log::log!(level, "connection to {address}: {error}, with {load} attempts");
        match error {
            ConnectionError::Closed | ConnectionError::Io(_) => {
                let mut ended = std::mem::take(&mut self.ended);
                self.remove(id, &mut ended);
                self.ended = ended;
            }
            ConnectionError::Malformed(_) | ConnectionError::Vanished | ConnectionError::Dead => {
                self.close(id, now);
            }
        }
        // No sign of life on the old ones, and no new one comes up: the machine is gone, and its answers with it.
        if !was_up && matches!(&error, ConnectionError::Io(error) if error.kind() == ErrorKind::TimedOut) {
            self.fail_mute(engine, address, now);
        }
    }

    /// Counts a failure; returns how loudly it is logged.
    fn count_failure(&mut self, error: &ConnectionError, was_up: bool, load: usize) -> log::Level {
        if matches!(error, ConnectionError::Malformed(_)) {
            self.counters.links_malformed += 1;
            return log::Level::Warn;
        }
        if !was_up {
            self.counters.links_failed += 1;
            return log::Level::Debug;
        }
        if load > 0 {
            log::Level::Info
        } else {
            log::Level::Debug
        }
    }

    /// Reads and writes one connection.
    pub fn work(&mut self, id: u64, readable: bool, now: f64) {
        let ended = &mut self.ended;
        let worked = self.connections.change(id, |connection| {
            let was_up = connection.is_up();
            let worked = catch_panic(CONNECTION, || connection.work(readable, now, ended));
            (worked, connection.is_up() && !was_up)
        });
        let Some((worked, came_up)) = worked else { return };
        if came_up {
            self.came_up.push(id);
        }
        self.note_work(id, worked, now);
    }

    /// What waited for connections that have come up leaves. This comes behind the decisions, which take back what is for
    /// clients that have left and for engines that drain.
    pub fn send_queued(&mut self, now: f64) {
        for id in std::mem::take(&mut self.came_up) {
            let ended = &mut self.ended;
            let sent = self.connections.change(id, |connection| {
                let send = || connection.send_queued(now, ended).map_err(ConnectionError::Io);
                catch_panic(CONNECTION, send)
            });
            if let Some(sent) = sent {
                self.note_work(id, sent, now);
            }
        }
    }

    /// How work on a connection went; none where it panicked.
    fn note_work(&mut self, id: u64, worked: Option<Result<(), ConnectionError>>, now: f64) {
        match worked {
            Some(Ok(())) => {}
            Some(Err(error)) => self.fail(id, error, now),
            None => {
                self.counters.panics += 1;
                self.close(id, now);
            }
        }
    }

    /// An attempt could not be made for a panic: the connection that it was on ends, and it may have gone out.
    pub fn drop_failed(&mut self, attempt: AttemptId, now: f64) {
        self.counters.panics += 1;
        match self.connection_of.get(&attempt) {
            Some(&id) => self.close(id, now),
            None => {
                let result = Err(DeliveryFailure::NeverSent);
                self.ended.push(EndedAttempt { attempt, result });
            }
        }
    }

    /// Handles what is due: connections that did not come up, or have been idle for too long, and delayed ends.
    pub fn run_due(&mut self, now: f64) {
        for id in self.connections.due_by(now) {
            let Some(connection) = self.connections.get(id) else { continue };
            if !connection.is_up() && connection.connects_by() <= now {
                self.work(id, false, now);
            } else {
                self.run_due_of(id, now);
            }
        }
        while let Some(delayed) = self.delayed.pop_front_if(|delayed| now >= delayed.at) {
            self.ended.push(delayed.ended);
        }
    }

    fn run_due_of(&mut self, id: u64, now: f64) {
        let ended = &mut self.ended;
        let idle_after = self.limits.idle_after;
        let is_stale = self.connections.change(id, |connection| {
            connection.run_due(now, ended)?;
            Ok(now >= connection.due(idle_after))
        });
        match is_stale {
            Some(Err(error)) => self.fail(id, error, now),
            Some(Ok(true)) => self.close(id, now),
            Some(Ok(false)) | None => {}
        }
    }

    /// When something is due, whatever becomes ready.
    pub fn due(&self) -> f64 {
        let delayed = self.delayed.front().map_or(f64::INFINITY, |delayed| delayed.at);
        delayed.min(self.connections.next_due())
    }

    /// Hands over the attempts that ended.
    pub fn take_ended(&mut self, ended: &mut Vec<EndedAttempt>) {
        for attempt in self.ended.drain(..) {
            self.connection_of.remove(&attempt.attempt);
            ended.push(attempt);
        }
    }

    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Cancels an attempt. Its end is an event of a later turn, if it has not come already.
    pub fn cancel(&mut self, attempt: AttemptId, now: f64) {
        let Some(&id) = self.connection_of.get(&attempt) else { return };
        let ended = &mut self.ended;
        let cancelled = self.connections.change(id, |connection| connection.cancel(attempt, now, ended));
        if let Some(Err(error)) = cancelled {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8, now: f64) {
        let Some(&id) = self.connection_of.get(&attempt) else { return };
        let changed = self.connections.change(id, |connection| connection.change_lane(attempt, lane));
        if let Some(Err(error)) = changed {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    /// Closes the connections to an engine that carry nothing.
    pub fn close_idle(&mut self, engine: u64, now: f64) {
        let connections = self.connections.to_engine(engine);
        let idle: Vec<u64> =
            connections.filter(|(_, connection)| connection.load() == 0).map(|(id, _)| id).collect();
        for id in idle {
            self.close(id, now);
        }
    }

    /// What waits for a connection to this engine to come up never leaves.
    pub fn withdraw_unsent(&mut self, engine: u64) {
        let connections: Vec<u64> = self.connections.to_engine(engine).map(|(id, _)| id).collect();
        for id in connections {
            self.connections.change(id, |connection| connection.withdraw_unsent(&mut self.ended));
        }
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
    pub fn unfinished(&self) -> impl Iterator<Item = EventSource> + '_ {
        self.connections.unfinished().map(EventSource::EngineConnection)
    }

    pub fn counters(&self) -> Counters {
        let dropped: u64 = self.connections.all().map(|(_, connection)| connection.answers_dropped).sum();
        Counters {
            links_open: self.connections.len() as u64,
            answers_dropped: self.counters.answers_dropped + dropped,
            ..self.counters.clone()
        }
    }
}

#[cfg(test)]
mod tests;
