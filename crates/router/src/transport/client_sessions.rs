//! All client sessions: the listener, how many there may be, and what each of them asks.

mod kills;
mod questions;

use super::client_listener::Listener;
use super::client_session::{ClientSession, SessionEvent};
use super::event_source::{watch, EventSource, LoopHandle};
use super::panic_guard::catch_panic;
use super::sockets::is_out_of_descriptors;
use crate::protocol::mysql;
use crate::protocol::statement::{ParsedStatement, Question, StatementError};
use crate::routing::{Answer, Counters, SessionId, SessionStatement, TurnInput};
use calloop::Readiness;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// So many connections are accepted in one turn.
const MAX_ACCEPTED: usize = 64;
/// So many sessions are looked at for one to close for others.
const MAX_EVICTION_CANDIDATES: usize = 8;
/// At the end of the router, clients have this long to read their last answer and close, in seconds: longer than a request may
/// cross a close and be asked elsewhere.
const GOODBYE_TIMEOUT: f64 = 0.1;
/// A statement may be as long as its part of the memory, between these, in bytes.
const MIN_MAX_PACKET: usize = 16 * 1024;
const MAX_MAX_PACKET: usize = 1024 * 1024;
/// The parts of the descriptors and of the memory that clients may take.
const DESCRIPTOR_PART: usize = 2;
const MEMORY_PART: usize = 4;

/// A session asks for another one to be killed.
struct Kill {
    asked_by: SessionId,
    victim: SessionId,
    query_only: bool,
}

/// A session asks how something stands.
struct AskedQuestion {
    asked_by: SessionId,
    question: Question,
}

pub struct ClientSessions {
    handle: LoopHandle,
    /// None once no more connections are taken.
    listener: Option<Listener>,
    sessions: HashMap<SessionId, ClientSession>,
    max_sessions: usize,
    max_packet: usize,
    /// Accepted, and waits for room.
    waiting: Option<TcpStream>,
    next_id: SessionId,
    /// Accepted, and not looked at yet.
    new_sessions: Vec<SessionId>,
    /// Connections may be waiting to be accepted.
    may_accept: bool,
    /// None is accepted until the next sweep, after one could not be.
    is_paused: bool,
    /// Those to be looked at again.
    unfinished: Vec<SessionId>,
    kills: Vec<Kill>,
    asked_for_counters: Vec<SessionId>,
    questions: Vec<AskedQuestion>,
    /// When this side of the sessions began to be ended.
    goodbye_at: Option<f64>,
    counters: Counters,
}

impl ClientSessions {
    /// Listens on an address, with these bounds of the whole router.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn open(
        handle: &LoopHandle,
        listen: SocketAddr,
        descriptors: usize,
        memory: usize,
    ) -> io::Result<ClientSessions> {
        let listener = Listener::open(handle, listen)?;
        let max_sessions = (descriptors / DESCRIPTOR_PART).max(1);
        let max_packet = (memory / MEMORY_PART / max_sessions).clamp(MIN_MAX_PACKET, MAX_MAX_PACKET);
        Ok(ClientSessions {
            handle: handle.clone(),
            listener: Some(listener),
            sessions: HashMap::new(),
            max_sessions,
            max_packet,
            waiting: None,
            // A kill meant for a session of the router before this one must not meet one of its own.
            next_id: RandomState::new().hash_one(listen) as SessionId,
            new_sessions: Vec::new(),
            may_accept: false,
            is_paused: false,
            unfinished: Vec::new(),
            kills: Vec::new(),
            asked_for_counters: Vec::new(),
            questions: Vec::new(),
            goodbye_at: None,
            counters: Counters::default(),
        })
    }

    /// Accepts what waits, as far as one turn goes.
    pub fn accept(&mut self, now: f64) {
        self.may_accept = true;
        for _ in 0..MAX_ACCEPTED {
            if self.is_paused || !self.accept_one(now) {
                return;
            }
        }
    }

    /// Accepts one connection; false where no more may be accepted now.
    fn accept_one(&mut self, now: f64) -> bool {
        let Some(listener) = &self.listener else { return false };
        // Room is made for one that is there, not for one that may come.
        let accepted = match self.waiting.take() {
            Some(stream) => Ok(stream),
            None => listener.socket.accept().map(|(stream, _)| stream),
        };
        match accepted {
            Ok(stream) => self.admit(stream, now),
            Err(error) => self.accept_failed(&error, now),
        }
    }

    fn admit(&mut self, stream: TcpStream, now: f64) -> bool {
        if self.sessions.len() >= self.max_sessions && !self.make_room(now) {
            self.waiting = Some(stream);
            return false;
        }
        if let Err(error) = self.begin(stream, now) {
            log::debug!("a session that did not begin: {error}");
        }
        true
    }

    fn accept_failed(&mut self, error: &io::Error, now: f64) -> bool {
        match error.kind() {
            ErrorKind::WouldBlock => {
                self.may_accept = false;
                return false;
            }
            _ if is_out_of_descriptors(error) => {
                self.counters.descriptors_short += 1;
                self.is_paused = !self.make_room(now);
            }
            ErrorKind::ConnectionAborted => {}
            _ => {
                log::debug!("accept: {error}");
                self.is_paused = true;
            }
        }
        true
    }

    fn begin(&mut self, stream: TcpStream, now: f64) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        while self.next_id == 0 || self.sessions.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let token = watch(&self.handle, stream.clone(), EventSource::ClientSession(id))?;
        self.sessions.insert(id, ClientSession::new(token, id, stream, self.max_packet, now));
        self.counters.sessions += 1;
        self.new_sessions.push(id);
        Ok(())
    }

    /// Closes the session that loses least by it; false where none may be closed.
    fn make_room(&mut self, now: f64) -> bool {
        for _ in 0..MAX_EVICTION_CANDIDATES {
            let closable = self.sessions.iter_mut().filter(|(_, session)| session.can_be_closed());
            let least =
                closable.min_by(|(_, a), (_, b)| a.eviction_rank(now).total_cmp(&b.eviction_rank(now)));
            let Some((&id, session)) = least else { return false };
            if session.has_nothing_unread(now) {
                self.counters.sessions_closed_for_room += 1;
                self.remove(id);
                return true;
            }
            self.unfinished.push(id);
        }
        false
    }

    /// The router ends: no connection is taken any more, and every session at rest is ended on this side. True once all
    /// clients have closed theirs, or have had the time to.
    pub fn close_gracefully(&mut self, now: f64) -> bool {
        if self.listener.is_some() {
            // What has connected until now is still let in, and what it sent ahead is read.
            self.accept(now);
            if !self.new_sessions.is_empty() || self.accepts_more() {
                return false;
            }
        }
        if let Some(listener) = self.listener.take() {
            self.handle.remove(listener.token);
        }
        let began = *self.goodbye_at.get_or_insert(now);
        for (id, session) in &mut self.sessions {
            if session.close_gracefully(now) || session.is_unfinished() {
                self.unfinished.push(*id);
            }
        }
        self.sessions.is_empty() || now >= began + GOODBYE_TIMEOUT
    }

    /// A connection is still to be accepted, or an answer to be written.
    pub fn is_busy(&self) -> bool {
        self.accepts_more() || self.sessions.values().any(|session| session.unsent() > 0)
    }

    fn remove(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.handle.remove(session.token);
        }
    }

    /// Reads what new sessions sent ahead: a kill that came before the turn is to be known to its decisions.
    pub fn read_new_sessions(&mut self, is_serving: bool, now: f64, input: &mut TurnInput) {
        for id in std::mem::take(&mut self.new_sessions) {
            self.work(id, Readiness::EMPTY, is_serving, now, input);
        }
    }

    /// Reads and writes one session; what it asks goes into `input`.
    pub fn work(
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
        let worked = catch_panic("a session", || session.work(is_serving, now));
        let mut is_closed = session.is_closed();
        if session.is_unfinished() {
            self.unfinished.push(id);
        }
        self.counters.sessions_malformed += u64::from(std::mem::take(&mut session.is_malformed));
        match worked {
            Some(Ok(None)) => {}
            Some(Ok(Some(event))) => self.handle_event(id, event, now, input),
            Some(Err(error)) => {
                log::debug!("session {id}: {error}");
                is_closed = true;
            }
            None => {
                self.counters.panics += 1;
                is_closed = true;
            }
        }
        let has_left = |session: &ClientSession| session.is_gone() && session.is_waiting();
        if is_closed {
            self.end(id, input);
        } else if self.sessions.get(&id).is_some_and(has_left) {
            input.withdrawn.push(id);
        }
    }

    fn handle_event(&mut self, id: SessionId, event: SessionEvent, now: f64, input: &mut TurnInput) {
        match event {
            SessionEvent::Query(statement) => self.receive(id, statement, now, input),
            SessionEvent::Refused(error) => self.refuse_statement(id, &error, now),
            SessionEvent::Kill { session, query_only } => {
                self.kills.push(Kill { asked_by: id, victim: session, query_only });
            }
            SessionEvent::Counters => self.asked_for_counters.push(id),
            SessionEvent::Question(question) => {
                self.questions.push(AskedQuestion { asked_by: id, question });
            }
        }
    }

    fn receive(&mut self, id: SessionId, mut statement: ParsedStatement, now: f64, input: &mut TurnInput) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.is_gone() {
            // It asked and left at once: nothing is begun for it.
            self.counters.taken += 1;
            self.counters.withdrawn += 1;
            self.answer(id, Answer::Withdrawn, now);
            return;
        }
        // Its time runs from its last byte, also where that came long before its turn.
        let waited = session.lay_unread_for(input.received_since.unwrap_or(now));
        statement.time_to_live = (statement.time_to_live - waited).max(0.0);
        input.statements.push(SessionStatement { session: id, statement });
    }

    fn end(&mut self, id: SessionId, input: &mut TurnInput) {
        if self.sessions.get(&id).is_some_and(ClientSession::is_waiting) {
            input.withdrawn.push(id);
        }
        self.remove(id);
    }

    /// Gives a session the final answer to its request.
    pub fn answer(&mut self, id: SessionId, answer: Answer, now: f64) {
        // Its client is to have the time to read it, also at the end.
        self.goodbye_at = None;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.answer(answer, now);
            self.unfinished.push(id);
        }
    }

    /// An answer could not be made for a panic: its session ends, so that its client can tell.
    pub fn drop_failed(&mut self, id: SessionId) {
        self.counters.panics += 1;
        self.remove(id);
    }

    /// Tells a session that no request could be made of its statement.
    pub fn refuse_statement(&mut self, id: SessionId, error: &StatementError, now: f64) {
        log::debug!("session {id}: {error}");
        self.counters.unusable += 1;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.active_at = now;
            session.error(mysql::NOT_UNDERSTOOD, &error.to_string());
            self.unfinished.push(id);
        }
    }

    /// Connections that wait to be accepted find room.
    pub fn has_room(&self) -> bool {
        !self.may_accept || self.accepts_more()
    }

    /// Closes what has stalled, and accepts what had to wait for room.
    pub fn sweep(&mut self, now: f64, input: &mut TurnInput) {
        for session in self.sessions.values_mut() {
            session.sweep(now);
        }
        let closed = self.sessions.iter().filter(|(_, session)| session.is_closed());
        let closed: Vec<SessionId> = closed.map(|(&id, _)| id).collect();
        for id in closed {
            self.end(id, input);
        }
        self.is_paused = false;
        if self.may_accept {
            self.accept(now);
        }
    }

    /// Connections wait to be accepted, and there is room for them.
    pub fn accepts_more(&self) -> bool {
        let has_room = || {
            self.sessions.len() < self.max_sessions
                || self.sessions.values().any(ClientSession::can_be_closed)
        };
        self.may_accept && !self.is_paused && has_room()
    }

    /// The sources of all sessions.
    pub fn sources(&self) -> impl Iterator<Item = EventSource> + '_ {
        self.sessions.keys().map(|&id| EventSource::ClientSession(id))
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
    pub fn unfinished(&mut self) -> Vec<EventSource> {
        std::mem::take(&mut self.unfinished).into_iter().map(EventSource::ClientSession).collect()
    }

    pub fn counters(&self) -> Counters {
        Counters { sessions_open: self.sessions.len() as u64, ..self.counters.clone() }
    }
}

#[cfg(test)]
mod tests;
