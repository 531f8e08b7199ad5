//! All connections to engines. They are opened when an attempt needs one, shared by attempts, and closed when idle.

mod liveness;
mod waiting_pages;

use super::connection_index::ConnectionIndex;
use super::engine_connection::{ConnectionError, EngineBudgets, EngineConnection};
use super::event_source::{EventSource, LoopHandle};
use super::panic_guard::catch_panic;
use super::sockets::{begin_connect, is_out_of_descriptors};
use crate::routing::{AttemptId, Counters, DeliveryFailure, Dispatch, EndedAttempt};
use cleatgw_deployment_config::ConnectionLimits;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Time within which an engine notices that a connection was closed, in seconds.
const CLOSE_NOTICE_TIME: f64 = 0.05;

/// How the log line for a panic in connection code names the connection.
const CONNECTION_LABEL: &str = "a connection to an engine";

/// The end of an attempt whose connection this router closed. It is reported only when the engine has had time to
/// notice that, because the engine may run the attempt until then.
struct DelayedEnd {
    at: f64,
    ended: EndedAttempt,
}

/// The times that are passed to its methods are on routing's clock, the Unix clock, in seconds.
pub struct ConnectionPool {
    handle: LoopHandle,
    connections: ConnectionIndex,
    next_id: u64,
    /// Limit on the number of connections.
    max_connections: usize,
    limits: ConnectionLimits,
    budgets: EngineBudgets,
    /// Attempts whose further pages wait for memory, each with its connection, in the order of arrival.
    waiting_for_pages: VecDeque<(u64, AttemptId)>,
    /// Attempts that ended, to be reported in the next turn of the event loop.
    ended: Vec<EndedAttempt>,
    /// In the order in which they are to be reported.
    delayed: VecDeque<DelayedEnd>,
    /// The connection of each open attempt.
    connection_by_attempt: HashMap<AttemptId, u64>,
    /// Connections that came up in this turn and whose queued attempts have not been sent yet.
    newly_up: Vec<u64>,
    counters: Counters,
}

impl ConnectionPool {
    pub fn new(
        handle: &LoopHandle,
        limits: ConnectionLimits,
        max_connections: usize,
        budgets: EngineBudgets,
    ) -> ConnectionPool {
        ConnectionPool {
            handle: handle.clone(),
            connections: ConnectionIndex::new(limits.idle_after),
            next_id: 0,
            max_connections: max_connections.max(1),
            limits,
            budgets,
            waiting_for_pages: VecDeque::new(),
            ended: Vec::new(),
            delayed: VecDeque::new(),
            connection_by_attempt: HashMap::new(),
            newly_up: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Puts an attempt on a connection to its engine.
    pub fn dispatch(&mut self, dispatch: Dispatch, now: f64) {
        let attempt = dispatch.attempt;
        let id = match self.connection_for(&dispatch, now) {
            Ok(id) => id,
            Err(failure) => {
                self.ended.push(EndedAttempt { attempt, result: Err(failure) });
                return;
            }
        };
        self.connection_by_attempt.insert(attempt, id);
        let ended = &mut self.ended;
        let dispatched = self.connections.update(id, |connection| connection.dispatch(&dispatch, now, ended));
        if let Some(Err(error)) = dispatched {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    /// Finds a connection that accepts the attempt, or opens one.
    fn connection_for(&mut self, dispatch: &Dispatch, now: f64) -> Result<u64, DeliveryFailure> {
        // An idle connection is read first, because the engine may just have closed it and the attempt would be lost.
        while let Some(id) = self.find(dispatch, now) {
            if !self.is_idle(id) {
                return Ok(id);
            }
            self.process_io(id, true, now);
            if self.connections.get(id).is_some() {
                return Ok(id);
            }
        }
        self.open(dispatch.engine, dispatch.address, now)
    }

    fn is_idle(&self, id: u64) -> bool {
        self.connections.get(id).is_some_and(|connection| connection.is_up() && connection.load() == 0)
    }

    /// Finds a connection that accepts the attempt, preferring one that is up. An attempt that must be sent by some
    /// time is not queued behind bytes that have not been written to the socket.
    fn find(&self, dispatch: &Dispatch, now: f64) -> Option<u64> {
        let fits = |connection: &EngineConnection| {
            connection.address == dispatch.address
                && (dispatch.leave_by == f64::INFINITY || !connection.has_unsent())
                && connection.can_take(dispatch.request.id, &self.limits, now)
        };
        let mut connections = self.connections.to_engine(dispatch.engine);
        connections.find(|(_, connection)| fits(connection)).map(|(id, _)| id)
    }

    /// Opens a connection to an engine, after closing an idle one if the limit is reached.
    fn open(&mut self, engine: u64, address: SocketAddr, now: f64) -> Result<u64, DeliveryFailure> {
        if self.connections.len() >= self.max_connections && !self.close_oldest_idle(now) {
            self.counters.descriptor_shortages += 1;
            return Err(DeliveryFailure::NeverSent);
        }
        let id = self.next_id;
        self.next_id += 1;
        match begin_connect(&self.handle, address, EventSource::EngineConnection(id)) {
            Ok(connection) => {
                let until = now + self.limits.connect_timeout;
                let connection = EngineConnection::new(connection, engine, address, until, &self.budgets);
                self.connections.add(id, connection);
                self.counters.engine_connections += 1;
                Ok(id)
            }
            Err(error) if is_out_of_descriptors(&error) => {
                self.counters.descriptor_shortages += 1;
                Err(DeliveryFailure::NeverSent)
            }
            Err(error) => {
                log::debug!("connection to {address}: can't be opened: {error}");
                self.counters.engine_connections_failed += 1;
                Err(DeliveryFailure::Refused)
            }
        }
    }

    /// Closes the oldest connection without open attempts. Returns false if there is none.
    fn close_oldest_idle(&mut self, now: f64) -> bool {
        let Some(id) = self.connections.oldest_idle() else { return false };
        self.close(id, now);
        true
    }

    /// Closes a connection. The end of the attempts on it is reported once the engine has had time to notice.
    fn close(&mut self, id: u64, now: f64) {
        let mut ended = Vec::new();
        self.remove(id, &mut ended);
        let at = now + CLOSE_NOTICE_TIME;
        self.delayed.extend(ended.into_iter().map(|ended| DelayedEnd { at, ended }));
    }

    /// Removes a connection; the attempts that were open on it are appended to `ended`.
    fn remove(&mut self, id: u64, ended: &mut Vec<EndedAttempt>) {
        let Some(connection) = self.connections.remove(id) else { return };
        self.handle.remove(connection.token);
        self.counters.answers_dropped += connection.answers_dropped;
        connection.end(ended);
    }

    /// Handles the failure of a connection.
    fn fail(&mut self, id: u64, error: ConnectionError, now: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let engine = connection.engine;
        let address = connection.address;
        let was_up = connection.is_up();
        let load = connection.load();
        let level = self.count_failure(&error, was_up, load);
        log::log!(level, "connection to {address}: {error}, with {load} attempts");
        match error {
            // The engine or the system ended the connection, so no time is needed for the engine to notice.
            ConnectionError::Closed | ConnectionError::Io(_) => {
                let mut ended = std::mem::take(&mut self.ended);
                self.remove(id, &mut ended);
                self.ended = ended;
            }
            ConnectionError::Malformed(_)
            | ConnectionError::EngineUnreachable
            | ConnectionError::AnswersElsewhere => {
                self.close(id, now);
            }
        }
        // The older connections are unresponsive and no new one comes up: the machine is gone, and no answers will
        // arrive.
        if !was_up && matches!(&error, ConnectionError::Io(error) if error.kind() == ErrorKind::TimedOut) {
            self.fail_unresponsive(engine, address, now);
        }
    }

    /// Counts a failure, and returns the level at which it is logged.
    fn count_failure(&mut self, error: &ConnectionError, was_up: bool, load: usize) -> log::Level {
        if matches!(error, ConnectionError::Malformed(_)) {
            self.counters.engine_connections_malformed += 1;
            return log::Level::Warn;
        }
        if !was_up {
            self.counters.engine_connections_failed += 1;
            return log::Level::Debug;
        }
        if load > 0 {
            log::Level::Info
        } else {
            log::Level::Debug
        }
    }

    /// Reads and writes one connection.
    pub fn process_io(&mut self, id: u64, readable: bool, now: f64) {
        let ended = &mut self.ended;
        let outcome = self.connections.update(id, |connection| {
            let was_up = connection.is_up();
            let result = catch_panic(CONNECTION_LABEL, || connection.process_io(readable, now, ended));
            (result, connection.is_up() && !was_up, connection.take_waiting_for_pages())
        });
        let Some((result, came_up, waiting)) = outcome else { return };
        if came_up {
            self.newly_up.push(id);
        }
        self.counters.memory_shortages += waiting.len() as u64;
        self.add_waiting_for_pages(id, waiting);
        self.handle_result(id, result, now);
    }

    /// Sends the queued attempts of connections that came up in this turn. It is called after routing's turn, which
    /// first withdraws attempts for clients that have left and for engines that are draining.
    pub fn send_queued(&mut self, now: f64) {
        for id in std::mem::take(&mut self.newly_up) {
            let ended = &mut self.ended;
            let sent = self.connections.update(id, |connection| {
                let send = || connection.send_queued(now, ended).map_err(ConnectionError::Io);
                catch_panic(CONNECTION_LABEL, send)
            });
            if let Some(sent) = sent {
                self.handle_result(id, sent, now);
            }
        }
    }

    /// Handles the result of work on a connection; `None` means that the work panicked.
    fn handle_result(&mut self, id: u64, result: Option<Result<(), ConnectionError>>, now: f64) {
        match result {
            Some(Ok(())) => {}
            Some(Err(error)) => self.fail(id, error, now),
            None => {
                self.counters.panics += 1;
                self.close(id, now);
            }
        }
    }

    /// Ends an attempt whose dispatch panicked. If it was put on a connection, that connection is closed and the
    /// attempt may have been sent; else it was never sent.
    pub fn fail_panicked_dispatch(&mut self, attempt: AttemptId, now: f64) {
        self.counters.panics += 1;
        match self.connection_by_attempt.get(&attempt) {
            Some(&id) => self.close(id, now),
            None => {
                let result = Err(DeliveryFailure::NeverSent);
                self.ended.push(EndedAttempt { attempt, result });
            }
        }
    }

    /// Handles connections whose time-outs have passed, and reports delayed ends that are due.
    pub fn run_due(&mut self, now: f64) {
        for id in self.connections.due_by(now) {
            let Some(connection) = self.connections.get(id) else { continue };
            if !connection.is_up() && connection.connects_by() <= now {
                self.process_io(id, false, now);
            } else {
                self.run_due_on(id, now);
            }
        }
        while let Some(delayed) = self.delayed.pop_front_if(|delayed| now >= delayed.at) {
            self.ended.push(delayed.ended);
        }
    }

    /// Ends the overdue attempts of a connection, and closes it if it has been idle for too long.
    fn run_due_on(&mut self, id: u64, now: f64) {
        let ended = &mut self.ended;
        let idle_after = self.limits.idle_after;
        let is_stale = self.connections.update(id, |connection| {
            connection.run_due(now, ended)?;
            Ok(now >= connection.due(idle_after))
        });
        match is_stale {
            Some(Err(error)) => self.fail(id, error, now),
            Some(Ok(true)) => self.close(id, now),
            Some(Ok(false)) | None => {}
        }
    }

    /// When the pool must act even if the event loop reports nothing as ready, on routing's clock in seconds.
    pub fn due(&self) -> f64 {
        let delayed = self.delayed.front().map_or(f64::INFINITY, |delayed| delayed.at);
        delayed.min(self.connections.next_due())
    }

    /// Appends the attempts that ended since the last call to `ended`.
    pub fn take_ended(&mut self, ended: &mut Vec<EndedAttempt>) {
        for attempt in self.ended.drain(..) {
            self.connection_by_attempt.remove(&attempt.attempt);
            ended.push(attempt);
        }
    }

    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Cancels an attempt. The attempt's end is reported in a later turn, unless it was reported already.
    pub fn cancel(&mut self, attempt: AttemptId, now: f64) {
        let Some(&id) = self.connection_by_attempt.get(&attempt) else { return };
        let ended = &mut self.ended;
        let cancelled = self.connections.update(id, |connection| connection.cancel(attempt, now, ended));
        if let Some(Err(error)) = cancelled {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    /// Changes the priority lane of an attempt.
    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8, now: f64) {
        let Some(&id) = self.connection_by_attempt.get(&attempt) else { return };
        let changed = self.connections.update(id, |connection| connection.change_lane(attempt, lane));
        if let Some(Err(error)) = changed {
            self.fail(id, ConnectionError::Io(error), now);
        }
    }

    /// Closes the connections to an engine that have no open attempts.
    pub fn close_idle(&mut self, engine: u64, now: f64) {
        let connections = self.connections.to_engine(engine);
        let idle: Vec<u64> =
            connections.filter(|(_, connection)| connection.load() == 0).map(|(id, _)| id).collect();
        for id in idle {
            self.close(id, now);
        }
    }

    /// Ends, as never sent, the attempts that wait for a connection to this engine to come up.
    pub fn withdraw_unsent(&mut self, engine: u64) {
        let connections: Vec<u64> = self.connections.to_engine(engine).map(|(id, _)| id).collect();
        for id in connections {
            self.connections.update(id, |connection| connection.withdraw_unsent(&mut self.ended));
        }
    }

    /// Sources to process in the next turn even if the event loop does not report them as ready.
    pub fn unfinished(&self) -> impl Iterator<Item = EventSource> + '_ {
        self.connections.unfinished().map(EventSource::EngineConnection)
    }

    pub fn counters(&self) -> Counters {
        let dropped: u64 = self.connections.all().map(|(_, connection)| connection.answers_dropped).sum();
        Counters {
            engine_connections_open: self.connections.len() as u64,
            result_bytes: self.budgets.results.reserved() as u64,
            answers_dropped: self.counters.answers_dropped + dropped,
            ..self.counters.clone()
        }
    }
}

#[cfg(test)]
mod tests;
