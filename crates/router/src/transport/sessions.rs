//! All client sessions: the listener, how many there may be, and what each of them asks.

use super::client::{Heard, Session};
use super::{guarded, out_of_descriptors, watch, Handle, Source};
use crate::protocol::mysql;
use crate::protocol::statement::Question;
use crate::routing::{Answer, Counters, News, SessionId};
use calloop::{Readiness, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const BACKLOG: i32 = 1024;
const BIND: Duration = Duration::from_secs(5);
/// So many connections are accepted in one turn.
const ACCEPTED: usize = 64;
/// So many are looked at for one to close for room.
const LOOKED_AT: usize = 8;
/// At the end of the router, clients have this long to read their last answer and close: longer than a request may cross
/// a close and be asked elsewhere.
const FAREWELL: f64 = 0.1;
/// A statement may be as long as memory allows, between these.
const LEAST: usize = 16 * 1024;
const LONGEST: usize = 1024 * 1024;

pub struct Sessions {
    handle: Handle,
    /// None once no more connections are taken.
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    sessions: HashMap<SessionId, Session>,
    most: usize,
    longest: usize,
    /// Accepted, and waits for room.
    next: Option<TcpStream>,
    next_id: SessionId,
    /// Accepted, and not looked at yet.
    newcomers: Vec<SessionId>,
    /// Connections may be waiting to be accepted; none is until the next sweep, after one could not be.
    accepts: bool,
    paused: bool,
    /// Those to be looked at again.
    again: Vec<SessionId>,
    kills: Vec<(SessionId, SessionId, bool)>,
    /// Those that asked for the counters.
    pub curious: Vec<SessionId>,
    /// When our side of the sessions began to be ended.
    farewell_at: Option<f64>,
    /// Those that asked how something stands.
    asking: Vec<(SessionId, Question)>,
    counters: Counters,
}

impl Sessions {
    pub fn open(
        handle: &Handle,
        listen: SocketAddr,
        descriptors: usize,
        memory: usize,
    ) -> io::Result<Sessions> {
        let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        let begun = Instant::now();
        while let Err(error) = socket.bind(&listen.into()) {
            // The one before us may still be ending.
            if error.kind() != ErrorKind::AddrInUse || begun.elapsed() > BIND {
                return Err(error);
            }
            std::thread::sleep(BIND / 100);
        }
        socket.listen(BACKLOG)?;
        let listener = Rc::new(TcpListener::from(socket));
        log::info!("listens on {listen}");
        let most = (descriptors / 2).max(1);
        Ok(Sessions {
            listener: Some((listener.clone(), watch(handle, listener, Source::Listener)?)),
            handle: handle.clone(),
            farewell_at: None,
            sessions: HashMap::new(),
            most,
            longest: (memory / 4 / most).clamp(LEAST, LONGEST),
            next: None,
            // A kill meant for a session of the router before us must not meet one of ours.
            next_id: RandomState::new().hash_one(listen) as SessionId,
            newcomers: Vec::new(),
            accepts: false,
            paused: false,
            again: Vec::new(),
            kills: Vec::new(),
            curious: Vec::new(),
            asking: Vec::new(),
            counters: Counters::default(),
        })
    }

    pub fn accept(&mut self, now: f64) {
        self.accepts = true;
        for _ in 0..ACCEPTED {
            let Some((listener, _)) = self.listener.clone() else { return };
            if self.paused {
                return;
            }
            // Room is made for one that is there, not for one that may come.
            let next = match self.next.take() {
                Some(stream) => Ok(stream),
                None => listener.accept().map(|(stream, _)| stream),
            };
            match next {
                Ok(stream) if self.sessions.len() >= self.most && !self.make_room(now) => {
                    self.next = Some(stream);
                    return;
                }
                Ok(stream) => {
                    if let Err(error) = self.begin(stream, now) {
                        log::debug!("a session that did not begin: {error}");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.accepts = false;
                    return;
                }
                Err(error) if out_of_descriptors(&error) => {
                    self.counters.descriptors_short += 1;
                    self.paused = !self.make_room(now);
                }
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::debug!("accept: {error}");
                    self.paused = true;
                }
            }
        }
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
        let token = watch(&self.handle, stream.clone(), Source::Session(id))?;
        self.sessions.insert(id, Session::new(token, id, stream, self.longest, now));
        self.counters.sessions += 1;
        self.newcomers.push(id);
        Ok(())
    }

    /// Closes the session that has been idle for longest; none may be.
    fn make_room(&mut self, now: f64) -> bool {
        for _ in 0..LOOKED_AT {
            let spare = self.sessions.iter_mut().filter(|(_, session)| session.spare());
            let least = spare.min_by(|a, b| {
                let (a, b) = (a.1.worth(now), b.1.worth(now));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            let Some((&id, session)) = least else { return false };
            if session.quiet(now) {
                self.counters.sessions_closed_for_room += 1;
                self.remove(id);
                return true;
            }
            self.again.push(id);
        }
        false
    }

    /// The router ends: no connection is taken any more, and every session at rest is ended on our side. True once all
    /// clients have closed theirs, or have had the time to.
    pub fn farewell(&mut self, now: f64) -> bool {
        if self.listener.is_some() {
            // What has connected until now is still let in, and what it sent ahead is read.
            self.accept(now);
            if !self.newcomers.is_empty() || self.accepts_more() {
                return false;
            }
        }
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
        let begun = *self.farewell_at.get_or_insert(now);
        let sessions = self.sessions.iter_mut();
        let again = sessions.filter_map(|(id, one)| (one.farewell(now) || one.reads_on()).then_some(*id));
        self.again.extend(again);
        self.sessions.is_empty() || now >= begun + FAREWELL
    }

    /// A connection is still to be accepted, or an answer to be written.
    pub fn busy(&self) -> bool {
        self.accepts_more() || self.sessions.values().any(|session| session.unsent() > 0)
    }

    fn remove(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.handle.remove(session.token);
        }
    }

    /// Reads what newcomers sent ahead: a kill that came before the turn is to be known to its decisions.
    pub fn greet(&mut self, serving: bool, now: f64, news: &mut News) {
        for id in std::mem::take(&mut self.newcomers) {
            self.work(id, Readiness::EMPTY, serving, now, news);
        }
    }

    pub fn work(&mut self, id: SessionId, readiness: Readiness, serving: bool, now: f64, news: &mut News) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if readiness.readable || readiness.writable {
            session.ready(readiness.readable, now);
        }
        let worked = guarded("a session", || session.work(serving, now));
        let mut closed = session.closed();
        if session.reads_on() {
            self.again.push(id);
        }
        self.counters.sessions_malformed += u64::from(std::mem::take(&mut session.malformed));
        match worked {
            Some(Ok(None)) => {}
            // Asked and left at once: nothing is begun for it.
            Some(Ok(Some(Heard::Query(_)))) if session.gone() => {
                self.counters.taken += 1;
                self.counters.withdrawn += 1;
                self.answer(id, Answer::Withdrawn, now);
            }
            Some(Ok(Some(Heard::Query(mut statement)))) => {
                // Its time runs from its last byte, also where that came long before its turn.
                let lay = session.lay(news.since.unwrap_or(now));
                statement.patience = (statement.patience - lay).max(0.0);
                news.asked.push((id, statement));
            }
            Some(Ok(Some(Heard::Unusable(why)))) => self.unusable(id, &why, now),
            Some(Ok(Some(Heard::Kill { session, query_only }))) => self.kills.push((id, session, query_only)),
            Some(Ok(Some(Heard::Counters))) => self.curious.push(id),
            Some(Ok(Some(Heard::Question(question)))) => self.asking.push((id, question)),
            Some(Err(error)) => {
                log::debug!("session {id}: {error}");
                closed = true;
            }
            None => {
                self.counters.panics += 1;
                closed = true;
            }
        }
        let left = |session: &Session| session.gone() && session.waiting();
        if closed {
            self.end(id, news);
        } else if self.sessions.get(&id).is_some_and(left) {
            news.withdrawn.push(id);
        }
    }

    fn end(&mut self, id: SessionId, news: &mut News) {
        if self.sessions.get(&id).is_some_and(Session::waiting) {
            news.withdrawn.push(id);
        }
        self.remove(id);
    }

    /// Does what was asked of other sessions, once all that was ready has been read, and once more what their clients
    /// sent before the kill: it may have come since, or wait for its turn.
    pub fn kills(&mut self, serving: bool, now: f64, news: &mut News) {
        for (asker, id, query_only) in std::mem::take(&mut self.kills) {
            self.work(id, Readiness { readable: true, ..Readiness::EMPTY }, serving, now, news);
            let withdrawn = &mut news.withdrawn;
            let found = self.sessions.get_mut(&id).map(|session| {
                withdrawn.extend(session.waiting().then_some(id));
                if !query_only {
                    session.kill();
                }
            });
            if let Some(asker) = self.sessions.get_mut(&asker) {
                match found {
                    Some(()) => asker.ok(),
                    None => asker.error(mysql::NO_SUCH_SESSION, &format!("unknown connection id: {id}")),
                }
            }
            self.again.extend([asker, id]);
        }
    }

    pub fn answer(&mut self, id: SessionId, answer: Answer, now: f64) {
        // Its client is to have the time to read it, also at the end.
        self.farewell_at = None;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.answer(answer, now);
            self.again.push(id);
        }
    }

    /// Its answer could not be made: it ends, so that its client can tell.
    pub fn failed(&mut self, id: SessionId) {
        self.counters.panics += 1;
        self.remove(id);
    }

    pub fn unusable(&mut self, id: SessionId, why: &str, now: f64) {
        log::debug!("session {id}: {why}");
        self.counters.unusable += 1;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.since = now;
            session.error(mysql::NOT_UNDERSTOOD, why);
            self.again.push(id);
        }
    }

    /// Answers those that asked for the counters, in the form that drivers take apart.
    pub fn tell(&mut self, counters: &Counters, now: f64) {
        let counters = counters.to_string().replace(' ', "  ").replace('=', ": ");
        for id in std::mem::take(&mut self.curious) {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.since = now;
                session.text(&counters);
                self.again.push(id);
            }
        }
    }

    /// What was asked in this turn, each question once.
    pub fn questions(&self) -> Vec<Question> {
        let mut questions: Vec<Question> = Vec::new();
        for (_, question) in &self.asking {
            if !questions.contains(question) {
                questions.push(*question);
            }
        }
        questions
    }

    /// Answers those that asked this.
    pub fn tell_how(&mut self, question: Question, rows: Option<&[[String; 3]]>, now: f64) {
        let asking = std::mem::take(&mut self.asking);
        let (asked, others) = asking.into_iter().partition(|one| one.1 == question);
        self.asking = others;
        for (id, _) in asked {
            if let Some(session) = self.sessions.get_mut(&id) {
                session.since = now;
                match rows {
                    Some(rows) => session.table(&["what", "state", "why"], rows),
                    None => session.error(mysql::NOT_UNDERSTOOD, "there is nothing of the kind here"),
                }
                self.again.push(id);
            }
        }
    }

    /// Connections that wait to be accepted find room.
    pub fn takes(&self) -> bool {
        !self.accepts || self.accepts_more()
    }

    /// Closes what has stalled, and accepts what had to wait for room.
    pub fn sweep(&mut self, now: f64, news: &mut News) {
        self.sessions.values_mut().for_each(|session| session.sweep(now));
        let closed = self.sessions.iter().filter(|(_, session)| session.closed());
        for id in closed.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end(id, news);
        }
        self.paused = false;
        if self.accepts {
            self.accept(now);
        }
    }

    /// Connections wait to be accepted, and there is room for them.
    pub fn accepts_more(&self) -> bool {
        self.accepts
            && !self.paused
            && (self.sessions.len() < self.most || self.sessions.values().any(Session::spare))
    }

    pub fn all(&self) -> impl Iterator<Item = Source> + '_ {
        self.sessions.keys().map(|&id| Source::Session(id))
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
    pub fn unfinished(&mut self) -> Vec<Source> {
        std::mem::take(&mut self.again).into_iter().map(Source::Session).collect()
    }

    pub fn counters(&self) -> Counters {
        Counters { sessions_open: self.sessions.len() as u64, ..self.counters.clone() }
    }
}

#[cfg(test)]
mod tests;
