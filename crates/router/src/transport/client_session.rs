//! A client session: one request at a time, its answer, and what drivers ask beside.

mod commands;

use super::buffer::{Buffer, ReadOutcome};
use crate::protocol::mysql::{self, Command};
use crate::protocol::statement::{ParsedStatement, Question, StatementError};
use crate::routing::SessionId;
use calloop::RegistrationToken;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// How long a client may take from connecting to being logged in, in seconds.
const LOGIN_TIMEOUT: f64 = 2.5;
/// How long it may take from a packet's first byte to its last, in seconds.
const PACKET_TIMEOUT: f64 = 2.5;
/// How long it may take to read a byte of its answer, in seconds.
const STALLED_AFTER: f64 = 10.0;
/// How long it may take to read its whole answer, however many bytes it reads now and then, in seconds: longer than any
/// client waits for it.
const ANSWER_TIMEOUT: f64 = 30.0;
/// How long it may take to close after its last answer, in seconds.
const CLOSE_TIMEOUT: f64 = 1.0;
/// What has begun and not come further for so long is closed for others before any other session, in seconds.
const DAWDLES_AFTER: f64 = 0.5;
/// So many packets are taken in one turn.
const MAX_PACKETS: usize = 16;
/// Bytes of the challenge in the greeting, which are printable characters from this one on.
const CHALLENGE: usize = 20;
const FIRST_PRINTABLE: u8 = 33;
const PRINTABLE: u64 = 94;

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
pub enum SessionEvent {
    Query(ParsedStatement),
    /// A query that nothing can be made of, and why.
    Refused(StatementError),
    Kill {
        session: SessionId,
        query_only: bool,
    },
    Counters,
    Question(Question),
}

/// How little would be lost with a session, the least first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionRank {
    class: u8,
    active_at: f64,
}

impl EvictionRank {
    pub fn total_cmp(&self, other: &EvictionRank) -> std::cmp::Ordering {
        self.class.cmp(&other.class).then(self.active_at.total_cmp(&other.active_at))
    }
}

pub struct ClientSession {
    pub token: RegistrationToken,
    /// Its bytes were no protocol.
    pub is_malformed: bool,
    /// When it last did something.
    pub active_at: f64,
    id: SessionId,
    stream: Rc<TcpStream>,
    buffer: Buffer,
    state: State,
    sequence: u8,
    max_packet: usize,
    readable: bool,
    /// Its client has gone: it sends nothing more, by an end of its stream or a hang-up.
    has_ended: bool,
    /// Complete packets may be left of what was read.
    has_unread_packets: bool,
    closes_after_answer: bool,
    /// When bytes last came in.
    read_at: f64,
    /// Since when an answer is seen not to be read in full.
    unsent_since: Option<f64>,
    /// When its login, the packet that is coming in, or its closing began.
    began_at: Option<f64>,
}

/// The client has closed its side or reset the connection, whatever is still unread of it.
fn has_hung_up(stream: &TcpStream) -> bool {
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(over)
}

/// A challenge that nobody can foretell.
fn random_challenge() -> [u8; CHALLENGE] {
    use std::hash::{BuildHasher, RandomState};
    let mut challenge = [0; CHALLENGE];
    for (index, byte) in challenge.iter_mut().enumerate() {
        *byte = (RandomState::new().hash_one(index) % PRINTABLE) as u8 + FIRST_PRINTABLE;
    }
    challenge
}

impl ClientSession {
    /// A session on a connection that was accepted, which is greeted.
    pub fn new(
        token: RegistrationToken,
        id: SessionId,
        stream: Rc<TcpStream>,
        max_packet: usize,
        now: f64,
    ) -> ClientSession {
        let mut session = ClientSession {
            token,
            is_malformed: false,
            active_at: now,
            id,
            stream,
            buffer: Buffer::default(),
            state: State::Login,
            sequence: 0,
            max_packet,
            readable: true,
            has_ended: false,
            has_unread_packets: false,
            closes_after_answer: false,
            read_at: now,
            unsent_since: None,
            began_at: Some(now),
        };
        session.send(|out, _| mysql::greeting(out, id, random_challenge()));
        session
    }

    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Its request is open.
    pub fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }

    /// Its client has closed: nothing more is begun for it. One that only closes its sending side counts as gone as
    /// well, since the two look alike from here and no MySQL client half-closes; it is told that its query was killed.
    pub fn is_gone(&self) -> bool {
        self.has_ended
    }

    /// No request is open on it, and nothing is left to write.
    fn is_at_rest(&self) -> bool {
        matches!(self.state, State::Login | State::Idle | State::Closing) && self.buffer.unsent_len() == 0
    }

    /// It may be closed without loss: it is at rest, and no complete packet of a client's waits for its turn.
    pub fn can_be_closed(&self) -> bool {
        self.is_at_rest() && (self.state == State::Closing || !self.has_unread_packets)
    }

    /// Whether nothing has come since it was last read. What has is kept for its next turn: a close over it would be a reset,
    /// and cost its client the request.
    pub fn has_nothing_unread(&mut self, now: f64) -> bool {
        let Ok((came, reached)) = self.read(now) else { return true };
        self.readable = reached == ReadOutcome::LimitReached;
        self.has_ended = reached == ReadOutcome::EndOfStream;
        self.has_unread_packets |= came;
        self.state == State::Closing || !self.has_unread_packets
    }

    /// Reads what is ready; tells whether anything was.
    fn read(&mut self, now: f64) -> io::Result<(bool, ReadOutcome)> {
        let before = self.buffer.input().len();
        let reached = self.buffer.read(&*self.stream, self.max_packet + mysql::HEADER)?;
        let came = self.buffer.input().len() > before;
        if came {
            self.read_at = now;
        }
        Ok((came, reached))
    }

    /// How long before this time what is taken now had come: it lay here, behind the request before it.
    pub fn lay_unread_for(&self, until: f64) -> f64 {
        (until - self.read_at).max(0.0)
    }

    /// Ends this side of the session, so that its client reads the last answer and closes; what still comes is not taken any more.
    /// What has come before is: an end over it would cost its client the request. Tells whether that has just been done.
    pub fn close_gracefully(&mut self, now: f64) -> bool {
        let closes = self.state != State::Closing && self.can_be_closed() && self.has_nothing_unread(now);
        if closes {
            self.close_after_writing();
        }
        closes
    }

    pub fn unsent(&self) -> usize {
        self.buffer.unsent_len()
    }

    /// More may be ready than was read or taken: no readiness will tell of it again.
    pub fn is_unfinished(&self) -> bool {
        (self.readable || self.has_unread_packets) && self.is_at_rest()
    }

    /// Its rank among those that may be closed for others: what has begun and does not go on, then the longest idle, and last
    /// what has only just begun. So strangers that connect and say nothing, or half of something, go before clients that
    /// have asked and keep their connection.
    pub fn eviction_rank(&self, now: f64) -> EvictionRank {
        let class = match self.began_at {
            Some(began) if now > began + DAWDLES_AFTER => 0,
            None => 1,
            Some(_) => 2,
        };
        EvictionRank { class, active_at: self.active_at }
    }

    /// Its stream is ready.
    pub fn note_ready(&mut self, readable: bool, now: f64) {
        self.readable |= readable;
        self.active_at = now;
    }

    /// Closes it where it has stalled. Times count from the beginning of each step, so that a byte now and then does not keep
    /// it open.
    pub fn sweep(&mut self, now: f64) {
        let timeout = match self.state {
            State::Login => LOGIN_TIMEOUT,
            State::Closing => CLOSE_TIMEOUT,
            State::Idle | State::Waiting | State::Closed => PACKET_TIMEOUT,
        };
        let is_late = self.began_at.is_some_and(|began| now > began + timeout);
        let has_unsent = self.buffer.unsent_len() > 0;
        self.unsent_since = has_unsent.then(|| self.unsent_since.unwrap_or(now));
        let is_deaf = self.unsent_since.is_some_and(|since| now > since + ANSWER_TIMEOUT);
        if is_late || is_deaf || has_unsent && now > self.active_at + STALLED_AFTER {
            self.state = State::Closed;
        }
    }

    /// Writes what is left, reads what is ready and takes it apart, up to the next request.
    pub fn work(&mut self, is_serving: bool, now: f64) -> io::Result<Option<SessionEvent>> {
        self.flush()?;
        self.read_if_readable(now)?;
        let mut event = None;
        self.has_unread_packets = true;
        for _ in 0..MAX_PACKETS {
            self.has_unread_packets = self.takes_packets() && event.is_none();
            if !self.has_unread_packets {
                break;
            }
            match mysql::packet(self.buffer.input(), self.max_packet) {
                Ok(Some(packet)) => {
                    let sequence = packet.sequence;
                    let body = packet.body.to_vec();
                    if !is_serving && self.is_ping(&body) {
                        self.leave_ping_unanswered();
                        return Ok(None);
                    }
                    event = self.take_packet(sequence, &body);
                }
                Ok(None) => {
                    self.has_unread_packets = false;
                    break;
                }
                Err(bad) => {
                    self.refuse_packet(bad);
                    break;
                }
            }
            self.flush()?;
        }
        self.finish_work(event.is_some(), now);
        Ok(event)
    }

    fn read_if_readable(&mut self, now: f64) -> io::Result<()> {
        if self.readable && !self.has_ended {
            match self.read(now)?.1 {
                ReadOutcome::WouldBlock => self.readable = false,
                ReadOutcome::LimitReached => {}
                ReadOutcome::EndOfStream => {
                    self.readable = false;
                    self.has_ended = true;
                }
            }
        }
        Ok(())
    }

    fn takes_packets(&self) -> bool {
        matches!(self.state, State::Login | State::Idle) && self.buffer.unsent_len() == 0
    }

    fn is_ping(&self, body: &[u8]) -> bool {
        self.state == State::Idle && mysql::command(body) == Ok(Command::Ping)
    }

    /// A ping is answered once engines are known.
    fn leave_ping_unanswered(&mut self) {
        self.has_unread_packets = false;
        self.began_at = None;
        if self.has_ended {
            self.state = State::Closed;
        }
    }

    fn take_packet(&mut self, sequence: u8, body: &[u8]) -> Option<SessionEvent> {
        self.buffer.consume(mysql::HEADER + body.len());
        self.began_at = self.began_at.filter(|_| self.state == State::Login);
        self.sequence = sequence.wrapping_add(1);
        let taken = match self.state {
            State::Login if sequence == 1 => self.login(body).map(|()| None),
            State::Idle if sequence == 0 => self.command(body),
            _ => Err(mysql::Bad { code: mysql::OUT_OF_ORDER, why: "packets out of order" }),
        };
        taken.unwrap_or_else(|bad| {
            self.refuse_packet(bad);
            None
        })
    }

    /// What is left to do once no more packets are taken.
    fn finish_work(&mut self, has_event: bool, now: f64) {
        // Behind bytes that the buffer has no room for, its end can't be read.
        if self.readable && !self.has_ended && self.state == State::Waiting {
            self.has_ended = has_hung_up(&self.stream);
        }
        self.began_at = match self.state {
            State::Idle if self.buffer.input().is_empty() || self.has_unread_packets => None,
            State::Idle | State::Login | State::Closing => self.began_at.or(Some(now)),
            State::Waiting | State::Closed => None,
        };
        if self.state == State::Closing {
            // What it still sends is not read any more; its end is awaited, so that it can read the last answer.
            let length = self.buffer.input().len();
            self.buffer.consume(length);
        }
        if self.has_ended && !self.has_unread_packets && !has_event && self.is_at_rest() {
            self.state = State::Closed;
        }
    }

    fn refuse_packet(&mut self, bad: mysql::Bad) {
        log::debug!("session {}: {}", self.id, bad.why);
        self.is_malformed = true;
        self.error_and_close(bad.code, bad.why);
    }

    fn error_and_close(&mut self, code: mysql::Code, words: &str) {
        self.send(|out, sequence| mysql::error(out, sequence, code, words));
        self.close_after_writing();
    }

    /// No more is read; the session ends when its last answer is written.
    fn close_after_writing(&mut self) {
        self.state = State::Closing;
        self.began_at = None;
        if self.buffer.unsent_len() == 0 {
            // Where that fails the connection is gone already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Packets are written with the sequence that has come so far.
    fn send(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        let mut out = Vec::new();
        write(&mut out, &mut self.sequence);
        self.buffer.queue_output(&out);
        if let Err(error) = self.flush() {
            log::debug!("session {}: {error}", self.id);
            self.state = State::Closed;
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffer.unsent_len() > 0 {
            self.buffer.write(&*self.stream)?;
            if self.state == State::Closing && self.buffer.unsent_len() == 0 {
                self.stream.shutdown(Shutdown::Write)?;
            }
        }
        Ok(())
    }
}
