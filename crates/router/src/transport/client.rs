//! Client sessions: one request at a time, its answer, and what drivers ask beside.

use super::buffer::{Buffer, Reached};
use crate::protocol::engine::{columns, rows, COLUMNS};
use crate::protocol::mysql::{self, Command};
use crate::protocol::statement::{self, ParsedStatement, Question, Statement};
use crate::routing::{Answer, SessionId};
use calloop::RegistrationToken;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// How long a client may take from connecting to being logged in, from a packet's first byte to its last, to take
/// a byte of its answer, and to close after its last one.
const LOGIN: f64 = 2.5;
const PACKET: f64 = 2.5;
const STALLED: f64 = 10.0;
/// A whole answer is taken within this, however many bytes come off it now and then: longer than any client waits for it.
const TAKEN: f64 = 30.0;
const CLOSING: f64 = 1.0;
/// What has begun and not come further for so long is closed for room before any other.
const DAWDLES: f64 = 0.5;
/// So many packets are taken in one turn.
const PACKETS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Login,
    Idle,
    /// Its request is open.
    Waiting,
    /// It ends once its last answer is written and it has closed its side.
    Closing,
    Closed,
}

/// What a session's bytes ask of the rest of the router.
pub enum Heard {
    Query(ParsedStatement),
    /// A query that nothing can be made of, and why.
    Unusable(String),
    Kill {
        session: SessionId,
        query_only: bool,
    },
    Counters,
    /// How something stands.
    Question(Question),
}

pub struct Session {
    pub token: RegistrationToken,
    id: SessionId,
    stream: Rc<TcpStream>,
    buffer: Buffer,
    state: State,
    sequence: u8,
    longest: usize,
    readable: bool,
    /// Its client has gone: it sends nothing more, by an end of its stream or a hang-up.
    ended: bool,
    /// Whole packets may be left of what was read.
    cut_short: bool,
    closes_after: bool,
    /// Its bytes were no protocol.
    pub malformed: bool,
    /// When it last did something.
    pub since: f64,
    /// When bytes last came in.
    read_at: f64,
    /// Since when an answer is seen not to be taken whole.
    unsent_since: Option<f64>,
    /// When its login, the packet that is coming in, or its closing began.
    begun_at: Option<f64>,
}

/// The client has closed its side or reset the connection, whatever is still unread of it.
fn hung_up(stream: &TcpStream) -> bool {
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let looked = poll(&mut asked, Some(&Timespec::default()));
    looked.is_ok() && asked[0].revents().intersects(over)
}

fn random() -> [u8; 20] {
    use std::hash::{BuildHasher, RandomState};
    let mut scramble = [0; 20];
    for (at, byte) in scramble.iter_mut().enumerate() {
        *byte = (RandomState::new().hash_one(at) % 94) as u8 + 33;
    }
    scramble
}

impl Session {
    pub fn new(
        token: RegistrationToken,
        id: SessionId,
        stream: Rc<TcpStream>,
        longest: usize,
        now: f64,
    ) -> Session {
        let mut session = Session {
            token,
            id,
            stream,
            buffer: Buffer::default(),
            state: State::Login,
            sequence: 0,
            longest,
            readable: true,
            ended: false,
            cut_short: false,
            closes_after: false,
            malformed: false,
            since: now,
            read_at: now,
            unsent_since: None,
            begun_at: Some(now),
        };
        session.send(|out, _| mysql::greeting(out, id, random()));
        session
    }

    pub fn closed(&self) -> bool {
        self.state == State::Closed
    }

    pub fn waiting(&self) -> bool {
        self.state == State::Waiting
    }

    /// Its client has closed: nothing more is begun for it. One that only closes its sending side counts as gone as
    /// well, since the two look alike from here and no MySQL client half-closes; it is told that its query was killed.
    pub fn gone(&self) -> bool {
        self.ended
    }

    /// No request is open on it, and nothing is left to write.
    fn at_rest(&self) -> bool {
        matches!(self.state, State::Login | State::Idle | State::Closing) && self.buffer.unsent() == 0
    }

    /// It may be closed without loss: it is at rest, and no whole packet of a client's waits for its turn.
    pub fn spare(&self) -> bool {
        self.at_rest() && (self.state == State::Closing || !self.cut_short)
    }

    /// Nothing has come since it was last read. What has is kept for its next turn: a close over it would be a reset, and
    /// cost its client the request.
    pub fn quiet(&mut self, now: f64) -> bool {
        match self.read(now) {
            Ok((came, reached)) => {
                (self.readable, self.ended) = (reached == Reached::More, reached == Reached::End);
                self.cut_short |= came;
            }
            Err(_) => return true,
        }
        self.state == State::Closing || !self.cut_short
    }

    /// Reads what is ready; tells whether anything was.
    fn read(&mut self, now: f64) -> io::Result<(bool, Reached)> {
        let before = self.buffer.input().len();
        let reached = self.buffer.read(&*self.stream, self.longest + mysql::HEADER)?;
        let came = self.buffer.input().len() > before;
        if came {
            self.read_at = now;
        }
        Ok((came, reached))
    }

    /// How long before this what is taken now had come: it lay here, behind the request before it.
    pub fn lay(&self, until: f64) -> f64 {
        (until - self.read_at).max(0.0)
    }

    /// Our side of it ends, so that its client reads the last answer and closes; what still comes is not taken any more.
    /// What has come before is: an end over it would cost its client the request. Tells whether that has just been done.
    pub fn farewell(&mut self, now: f64) -> bool {
        let ends = self.state != State::Closing && self.spare() && self.quiet(now);
        if ends {
            self.close_after();
        }
        ends
    }

    pub fn unsent(&self) -> usize {
        self.buffer.unsent()
    }

    /// More may be ready than was read or taken: no readiness will tell of it again.
    pub fn reads_on(&self) -> bool {
        (self.readable || self.cut_short) && self.at_rest()
    }

    /// How little would be lost with it: what has begun and does not go on, then the longest idle, and last what
    /// has only just begun. So strangers that connect and say nothing, or half of something, go before clients
    /// that have asked and keep their connection.
    pub fn worth(&self, now: f64) -> (u8, f64) {
        let class = match self.begun_at {
            Some(begun) if now > begun + DAWDLES => 0,
            Some(_) => 2,
            None => 1,
        };
        (class, self.since)
    }

    pub fn ready(&mut self, readable: bool, now: f64) {
        self.readable |= readable;
        self.since = now;
    }

    pub fn sweep(&mut self, now: f64) {
        // Counted from the beginning of each, so that a byte now and then does not keep it open.
        let limit = match self.state {
            State::Login => LOGIN,
            State::Closing => CLOSING,
            _ => PACKET,
        };
        let late = self.begun_at.is_some_and(|begun| now > begun + limit);
        let unsent = self.buffer.unsent() > 0;
        self.unsent_since = unsent.then(|| self.unsent_since.unwrap_or(now));
        let deaf = self.unsent_since.is_some_and(|begun| now > begun + TAKEN);
        if late || deaf || unsent && now > self.since + STALLED {
            self.state = State::Closed;
        }
    }

    /// Writes what is left, reads what is ready and takes it apart, up to the next request.
    pub fn work(&mut self, serving: bool, now: f64) -> io::Result<Option<Heard>> {
        self.flush()?;
        if self.readable && !self.ended {
            match self.read(now)?.1 {
                Reached::Drained => self.readable = false,
                Reached::More => {}
                Reached::End => (self.readable, self.ended) = (false, true),
            }
        }
        let mut heard = None;
        self.cut_short = true;
        for _ in 0..PACKETS {
            let takes = matches!(self.state, State::Login | State::Idle) && self.buffer.unsent() == 0;
            self.cut_short = takes && heard.is_none();
            if !self.cut_short {
                break;
            }
            let packet = match mysql::packet(self.buffer.input(), self.longest) {
                Ok(Some(packet)) => packet,
                Ok(None) => {
                    self.cut_short = false;
                    break;
                }
                Err(bad) => {
                    self.refuse(bad);
                    break;
                }
            };
            let (sequence, body) = (packet.sequence, packet.body.to_vec());
            if !serving && self.state == State::Idle && mysql::command(&body) == Ok(Command::Ping) {
                (self.cut_short, self.begun_at) = (false, None);
                if self.ended {
                    self.state = State::Closed;
                }
                return Ok(None);
            }
            self.buffer.taken(mysql::HEADER + body.len());
            self.begun_at = self.begun_at.filter(|_| self.state == State::Login);
            self.sequence = sequence.wrapping_add(1);
            let read = match self.state {
                State::Login if sequence == 1 => self.login(&body).map(|()| None),
                State::Idle if sequence == 0 => self.command(&body),
                _ => Err(mysql::Bad { code: mysql::OUT_OF_ORDER, why: "packets out of order" }),
            };
            heard = read.unwrap_or_else(|bad| {
                self.refuse(bad);
                None
            });
            self.flush()?;
        }
        // Behind bytes that the buffer has no room for, its end can't be read.
        if self.readable && !self.ended && self.state == State::Waiting {
            self.ended = hung_up(&self.stream);
        }
        self.begun_at = match self.state {
            State::Idle if self.buffer.input().is_empty() || self.cut_short => None,
            State::Idle | State::Login | State::Closing => self.begun_at.or(Some(now)),
            State::Waiting | State::Closed => None,
        };
        if self.state == State::Closing {
            // What it still sends is not read any more; its end is awaited, so that it can read our last answer.
            let length = self.buffer.input().len();
            self.buffer.taken(length);
        }
        if self.ended && !self.cut_short && heard.is_none() && self.at_rest() {
            self.state = State::Closed;
        }
        Ok(heard)
    }

    fn refuse(&mut self, bad: mysql::Bad) {
        log::debug!("session {}: {}", self.id, bad.why);
        self.malformed = true;
        self.error_and_close(bad.code, bad.why);
    }

    fn error_and_close(&mut self, code: mysql::Code, words: &str) {
        self.send(|out, sequence| mysql::error(out, sequence, code, words));
        self.close_after();
    }

    /// No more is read; the session ends when its last answer is written.
    fn close_after(&mut self) {
        (self.state, self.begun_at) = (State::Closing, None);
        if self.buffer.unsent() == 0 {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    fn login(&mut self, body: &[u8]) -> Result<(), mysql::Bad> {
        let login = mysql::login(body)?;
        if login.with_password {
            let words = format!("access denied for {}: it has no password here", login.user);
            self.error_and_close(mysql::DENIED, &words);
        } else {
            self.ok();
        }
        Ok(())
    }

    fn command(&mut self, body: &[u8]) -> Result<Option<Heard>, mysql::Bad> {
        match mysql::command(body)? {
            Command::Quit => self.state = State::Closed,
            Command::Query(text) => return Ok(self.query(text)),
            Command::Ping | Command::Harmless => self.ok(),
            Command::SetOption => self.send(mysql::eof),
            Command::Statistics => return Ok(self.wait(Heard::Counters)),
            Command::Kill(session) => return Ok(self.wait(Heard::Kill { session, query_only: false })),
            Command::Unknown(number) => {
                self.error(mysql::NOT_COMMAND, &format!("command {number} is not served"))
            }
        }
        Ok(None)
    }

    fn query(&mut self, text: &[u8]) -> Option<Heard> {
        match statement::read(text) {
            Ok(Statement::Query(statement)) => return self.wait(Heard::Query(statement)),
            Ok(Statement::Kill { session, query_only }) => {
                return self.wait(Heard::Kill { session, query_only })
            }
            Ok(Statement::Question(question)) => return self.wait(Heard::Question(question)),
            Ok(Statement::Harmless) => self.ok(),
            Err(why) => return self.wait(Heard::Unusable(why)),
        }
        None
    }

    fn wait(&mut self, heard: Heard) -> Option<Heard> {
        self.state = State::Waiting;
        Some(heard)
    }

    /// Answers of the session's own, after which it is idle again.
    pub fn ok(&mut self) {
        self.idle(mysql::ok);
    }

    pub fn error(&mut self, code: mysql::Code, words: &str) {
        self.idle(|out, sequence| mysql::error(out, sequence, code, words));
    }

    pub fn text(&mut self, words: &str) {
        self.idle(|out, sequence| mysql::text(out, sequence, words));
    }

    /// A result set of the router's own.
    pub fn table(&mut self, names: &[&str; 3], rows: &[[String; 3]]) {
        let names = names.map(str::to_string);
        let rows = rows.iter().map(|row| row.iter().map(|text| text.as_bytes()));
        self.idle(|out, sequence| mysql::result(out, sequence, &names, rows));
    }

    fn idle(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        // What came behind the request is still to be looked at.
        (self.state, self.cut_short) = (State::Idle, !self.buffer.input().is_empty());
        self.unsent_since = None;
        self.send(write);
        if self.closes_after {
            self.close_after();
        }
    }

    /// The session itself is killed: it ends with the answer to what it has open.
    pub fn kill(&mut self) {
        match self.state {
            State::Waiting => self.closes_after = true,
            _ => self.state = State::Closed,
        }
    }

    /// The final answer to its request.
    pub fn answer(&mut self, answer: Answer, now: f64) {
        self.since = now;
        self.idle(|out, sequence| match answer {
            Answer::Completed(pages) => {
                let names: Vec<String> = (1..=COLUMNS).map(|at| format!("column_{at}")).collect();
                mysql::result(out, sequence, &names, rows(&pages).map(columns));
            }
            Answer::Rejected { retry_after } => mysql::rejected(out, sequence, retry_after),
            Answer::Failed => mysql::failed(out, sequence),
            Answer::Withdrawn => mysql::killed(out, sequence),
        });
    }

    /// Packets are written with the sequence that has come so far.
    fn send(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        let mut out = Vec::new();
        write(&mut out, &mut self.sequence);
        self.buffer.put(&out);
        if let Err(error) = self.flush() {
            log::debug!("session {}: {error}", self.id);
            self.state = State::Closed;
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffer.unsent() > 0 {
            self.buffer.write(&*self.stream)?;
            if self.state == State::Closing && self.buffer.unsent() == 0 {
                self.stream.shutdown(Shutdown::Write)?;
            }
        }
        Ok(())
    }
}
