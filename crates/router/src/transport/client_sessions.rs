//! All client sessions: accepts connections, limits the number of sessions, and passes their requests on.

mod kills;
mod questions;

use super::client_listener::Listener;
use super::client_session::{ClientSession, SessionEvent};
use super::event_source::{watch, EventSource, LoopHandle};
use super::memory_limits::{request_memory, MemoryLimits};
use super::panic_guard::catch_panic;
use super::sockets::is_out_of_descriptors;
use crate::memory_budget::MemoryBudget;
use crate::protocol::mysql;
use crate::protocol::statement::{ParsedStatement, StatementError, StatusTopic};
use crate::routing::{Answer, Counters, SessionId, SessionStatement, TurnInput};
use calloop::Readiness;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Connections that are accepted in one turn, at most.
const MAX_ACCEPTED_PER_TURN: usize = 64;
/// When a place is needed, this many sessions are checked at most for unread input before one is closed.
const MAX_EVICTION_CANDIDATES: usize = 8;
/// At a planned stop, clients have this long to read their last answer and close, in seconds. This is longer than a client
/// needs to notice the close and to send a request that crossed it to another router.
const CLIENT_CLOSE_TIMEOUT: f64 = 0.1;

/// A session's request to kill another session, or only its query.
struct KillRequest {
    requested_by: SessionId,
    target: SessionId,
    query_only: bool,
}

/// A session's request for a status table, which is not answered yet.
struct PendingQuestion {
    requested_by: SessionId,
    question: StatusTopic,
}

pub struct ClientSessions {
    handle: LoopHandle,
    /// None once a planned stop has ended the accepting of connections.
    listener: Option<Listener>,
    sessions: HashMap<SessionId, ClientSession>,
    max_sessions: usize,
    /// The longest packet body that a session accepts, in bytes.
    max_packet: usize,
    /// The budget of the sessions' buffers.
    session_buffers: Rc<MemoryBudget>,
    /// The budget of open requests.
    requests: Rc<MemoryBudget>,
    /// An accepted connection that waits until there is a place for its session.
    waiting_stream: Option<TcpStream>,
    next_id: SessionId,
    /// Accepted sessions whose input was not processed yet.
    new_sessions: Vec<SessionId>,
    /// Whether connections may be waiting to be accepted.
    may_accept: bool,
    /// Whether accepting is paused until the next check for time-outs, after an accept failed.
    is_paused: bool,
    /// Sessions that must be processed again in the next turn although they will not be reported as ready.
    unfinished: Vec<SessionId>,
    kill_requests: Vec<KillRequest>,
    /// Sessions that have asked for the counters.
    counter_requests: Vec<SessionId>,
    pending_questions: Vec<PendingQuestion>,
    /// Whether requests, packets or results found no memory since the last check for time-outs.
    is_short_of_memory: bool,
    /// When a planned stop began to close the sessions; set anew after each answer.
    closing_since: Option<f64>,
    counters: Counters,
}

impl ClientSessions {
    /// Listens on an address.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn open(
        handle: &LoopHandle,
        listen: SocketAddr,
        limits: &MemoryLimits,
    ) -> io::Result<ClientSessions> {
        let listener = Listener::open(handle, listen)?;
        Ok(ClientSessions {
            handle: handle.clone(),
            listener: Some(listener),
            sessions: HashMap::new(),
            max_sessions: limits.max_sessions,
            max_packet: limits.max_packet,
            session_buffers: limits.session_buffers.clone(),
            requests: limits.requests.clone(),
            waiting_stream: None,
            // Ids start at a random number: a kill that is meant for a session of the router's former process must not hit
            // a session of this one.
            next_id: RandomState::new().hash_one(listen) as SessionId,
            new_sessions: Vec::new(),
            may_accept: false,
            is_paused: false,
            unfinished: Vec::new(),
            kill_requests: Vec::new(),
            counter_requests: Vec::new(),
            pending_questions: Vec::new(),
            is_short_of_memory: false,
            closing_since: None,
            counters: Counters::default(),
        })
    }

    /// Accepts waiting connections, at most `MAX_ACCEPTED_PER_TURN`.
    pub fn accept(&mut self, now: f64) {
        self.may_accept = true;
        for _ in 0..MAX_ACCEPTED_PER_TURN {
            if self.is_paused || !self.accept_one(now) {
                return;
            }
        }
    }

    /// Accepts one connection. Returns whether accepting may go on.
    fn accept_one(&mut self, now: f64) -> bool {
        let Some(listener) = &self.listener else { return false };
        // The connection is accepted before a place is freed: no session is closed for a connection that may not exist.
        let accepted = match self.waiting_stream.take() {
            Some(stream) => Ok(stream),
            None => listener.socket.accept().map(|(stream, _)| stream),
        };
        match accepted {
            Ok(stream) => self.admit(stream, now),
            Err(error) => self.accept_failed(&error, now),
        }
    }

    /// Begins a session for an accepted connection, or keeps the connection waiting if no place can be freed. Returns
    /// whether accepting may go on.
    fn admit(&mut self, stream: TcpStream, now: f64) -> bool {
        if self.sessions.len() >= self.max_sessions && !self.evict_session(now) {
            self.waiting_stream = Some(stream);
            return false;
        }
        if let Err(error) = self.begin_session(stream, now) {
            log::debug!("can't set up a session for an accepted connection, which is closed: {error}");
        }
        true
    }

    /// Handles a failed accept. Returns false if no connection is left to accept. Pauses accepting if the accept failed for
    /// want of file descriptors and no session can be closed, or for an unexpected reason.
    fn accept_failed(&mut self, error: &io::Error, now: f64) -> bool {
        match error.kind() {
            ErrorKind::WouldBlock => {
                self.may_accept = false;
                return false;
            }
            _ if is_out_of_descriptors(error) => {
                self.counters.descriptor_shortages += 1;
                self.is_paused = !self.evict_session(now);
            }
            ErrorKind::ConnectionAborted => {}
            _ => {
                log::debug!(
                    "can't accept a connection, trying again at the next check for time-outs: {error}"
                );
                self.is_paused = true;
            }
        }
        true
    }

    fn begin_session(&mut self, stream: TcpStream, now: f64) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        while self.next_id == 0 || self.sessions.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let token = watch(&self.handle, stream.clone(), EventSource::ClientSession(id))?;
        let session = ClientSession::new(token, id, stream, self.max_packet, &self.session_buffers, now);
        self.sessions.insert(id, session);
        self.counters.sessions += 1;
        self.new_sessions.push(id);
        Ok(())
    }

    /// Closes the session with the lowest eviction rank, to free a place and a file descriptor. Returns false if no session
    /// may be closed.
    fn evict_session(&mut self, now: f64) -> bool {
        for _ in 0..MAX_EVICTION_CANDIDATES {
            let closable = self.sessions.iter_mut().filter(|(_, session)| session.can_be_closed());
            let lowest =
                closable.min_by(|(_, a), (_, b)| a.eviction_rank(now).total_cmp(&b.eviction_rank(now)));
            let Some((&id, session)) = lowest else { return false };
            if session.confirm_nothing_unread(now) {
                self.counters.sessions_evicted += 1;
                self.remove(id);
                return true;
            }
            self.unfinished.push(id);
        }
        false
    }

    /// Closes the listener and every session that can be closed without loss, at a planned stop. Returns true once all
    /// clients have closed their side, or have had `CLIENT_CLOSE_TIMEOUT` to do so.
    pub fn close_gracefully(&mut self, now: f64) -> bool {
        if self.listener.is_some() {
            // Clients that have connected until now still get a session, and the requests that they have sent are read.
            self.accept(now);
            if !self.new_sessions.is_empty() || self.can_accept_now() {
                return false;
            }
        }
        if let Some(listener) = self.listener.take() {
            self.handle.remove(listener.token);
        }
        let closing_since = *self.closing_since.get_or_insert(now);
        for (id, session) in &mut self.sessions {
            if session.close_gracefully(now) || session.is_unfinished() {
                self.unfinished.push(*id);
            }
        }
        self.sessions.is_empty() || now >= closing_since + CLIENT_CLOSE_TIMEOUT
    }

    /// Whether a waiting connection can be accepted, or an answer is not written in full.
    pub fn is_busy(&self) -> bool {
        self.can_accept_now() || self.sessions.values().any(ClientSession::has_unsent)
    }

    fn remove(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.handle.remove(session.token);
        }
    }

    /// Processes the input that clients sent right after connecting, so that a kill which arrived before the turn is known
    /// to the turn's decisions.
    pub fn read_new_sessions(&mut self, is_serving: bool, now: f64, input: &mut TurnInput) {
        for id in std::mem::take(&mut self.new_sessions) {
            self.process_session(id, Readiness::EMPTY, is_serving, now, input);
        }
    }

    /// Reads and writes one session. Its request or its withdrawal goes into `input`.
    pub fn process_session(
        &mut self,
        id: SessionId,
        readiness: Readiness,
        is_serving: bool,
        now: f64,
        input: &mut TurnInput,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if readiness.readable || readiness.writable {
            session.note_ready(readiness.readable, now);
        }
        let result = catch_panic("a client session", || session.process(is_serving, now));
        let mut is_closed = session.is_closed();
        if session.is_unfinished() {
            self.unfinished.push(id);
        }
        self.counters.sessions_malformed += u64::from(std::mem::take(&mut session.is_malformed));
        if std::mem::take(&mut session.is_short_of_memory) {
            self.counters.memory_shortages += 1;
            self.is_short_of_memory = true;
        }
        match result {
            Some(Ok(None)) => {}
            Some(Ok(Some(event))) => self.handle_event(id, event, now, input),
            Some(Err(error)) => {
                log::debug!("session {id}: reading or writing failed, closing the session: {error}");
                is_closed = true;
            }
            None => {
                self.counters.panics += 1;
                is_closed = true;
            }
        }
        let has_abandoned_request =
            |session: &ClientSession| session.is_client_closed() && session.is_waiting();
        if is_closed {
            self.close_session(id, input);
        } else if self.sessions.get(&id).is_some_and(has_abandoned_request) {
            input.withdrawn.push(id);
        }
    }

    fn handle_event(&mut self, id: SessionId, event: SessionEvent, now: f64, input: &mut TurnInput) {
        match event {
            SessionEvent::Query(statement) => self.submit_statement(id, statement, now, input),
            SessionEvent::InvalidQuery(error) => self.refuse_statement(id, &error, now),
            SessionEvent::Kill { session, query_only } => {
                self.kill_requests.push(KillRequest { requested_by: id, target: session, query_only });
            }
            SessionEvent::Counters => self.counter_requests.push(id),
            SessionEvent::Question(question) => {
                self.pending_questions.push(PendingQuestion { requested_by: id, question });
            }
        }
    }

    /// Adds a statement to the turn's input.
    fn submit_statement(
        &mut self,
        id: SessionId,
        mut statement: ParsedStatement,
        now: f64,
        input: &mut TurnInput,
    ) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.is_client_closed() {
            // The client closed right after sending the request, so the request is not begun.
            self.counters.taken += 1;
            self.counters.withdrawn += 1;
            self.answer(id, Answer::Withdrawn, now);
            return;
        }
        // The time to live counts from when the statement may have arrived, even if that was long before this turn. The wait
        // until `received_since`, or until this turn, is subtracted here; routing counts the time from then on.
        let waited = session.time_since_arrival(input.received_since.unwrap_or(now));
        statement.time_to_live = (statement.time_to_live - waited).max(0.0);
        match self.requests.reserve(request_memory(&statement)) {
            Some(memory) => input.statements.push(SessionStatement { session: id, statement, memory }),
            None => self.reject_for_want_of_memory(id, now),
        }
    }

    /// Rejects a request that there is no memory for. It was not begun, so its client may safely send it again.
    fn reject_for_want_of_memory(&mut self, id: SessionId, now: f64) {
        self.counters.taken += 1;
        self.counters.rejected += 1;
        self.counters.memory_shortages += 1;
        self.is_short_of_memory = true;
        self.answer(id, Answer::Rejected { retry_after: None }, now);
    }

    /// Removes a session and withdraws its open request.
    fn close_session(&mut self, id: SessionId, input: &mut TurnInput) {
        if self.sessions.get(&id).is_some_and(ClientSession::is_waiting) {
            input.withdrawn.push(id);
        }
        self.remove(id);
    }

    /// Gives a session the final answer to its request.
    pub fn answer(&mut self, id: SessionId, answer: Answer, now: f64) {
        // At a planned stop the client gets the full time to read this answer.
        self.closing_since = None;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.answer(answer, now);
            self.unfinished.push(id);
        }
    }

    /// Closes a session after a panic while its answer was written, so that the client notices the failure.
    pub fn drop_failed(&mut self, id: SessionId) {
        self.counters.panics += 1;
        self.remove(id);
    }

    /// Sends a session the error that its statement can't be parsed or can't be used as a request.
    pub fn refuse_statement(&mut self, id: SessionId, error: &StatementError, now: f64) {
        log::debug!("session {id}: statement refused: {error}");
        self.counters.statements_refused += 1;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.active_at = now;
            session.error(mysql::PARSE_ERROR, &error.to_string());
            self.unfinished.push(id);
        }
    }

    /// Records that results wait for memory.
    pub fn note_memory_shortage(&mut self) {
        self.is_short_of_memory = true;
    }

    /// Whether a client that connects now gets a session: no connection is waiting, or one of those can be accepted now.
    pub fn can_admit(&self) -> bool {
        !self.may_accept || self.can_accept_now()
    }

    /// Closes sessions that have exceeded a time-out, and accepts connections that had to wait for a place.
    pub fn sweep(&mut self, now: f64, input: &mut TurnInput) {
        let is_short_of_memory = std::mem::take(&mut self.is_short_of_memory);
        for session in self.sessions.values_mut() {
            session.check_timeouts(now, is_short_of_memory);
        }
        let closed = self.sessions.iter().filter(|(_, session)| session.is_closed());
        let closed: Vec<SessionId> = closed.map(|(&id, _)| id).collect();
        for id in closed {
            self.close_session(id, input);
        }
        self.is_paused = false;
        if self.may_accept {
            self.accept(now);
        }
    }

    /// Whether connections may wait to be accepted, accepting is not paused, and there is a place for a session or one
    /// can be freed.
    pub fn can_accept_now(&self) -> bool {
        let has_place = || {
            self.sessions.len() < self.max_sessions
                || self.sessions.values().any(ClientSession::can_be_closed)
        };
        self.may_accept && !self.is_paused && has_place()
    }

    /// The event sources of all sessions.
    pub fn sources(&self) -> impl Iterator<Item = EventSource> + '_ {
        self.sessions.keys().map(|&id| EventSource::ClientSession(id))
    }

    /// Takes the sessions that must be processed again in the next turn although they will not be reported as ready.
    pub fn unfinished(&mut self) -> Vec<EventSource> {
        std::mem::take(&mut self.unfinished).into_iter().map(EventSource::ClientSession).collect()
    }

    pub fn counters(&self) -> Counters {
        Counters {
            sessions_open: self.sessions.len() as u64,
            session_buffer_bytes: self.session_buffers.reserved() as u64,
            request_bytes: self.requests.reserved() as u64,
            ..self.counters.clone()
        }
    }
}

#[cfg(test)]
mod tests;
