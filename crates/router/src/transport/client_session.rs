//! A client session of the MySQL protocol. It handles one request at a time and its answer, and the other commands that
//! drivers send.

mod commands;
mod input;
mod output;
mod result_stream;

use super::buffer::{Buffer, ReadOutcome};
use super::memory_limits::SESSION_ALLOWANCE;
use crate::memory_budget::MemoryBudget;
use crate::protocol::mysql::{self, Command};
use crate::protocol::statement::{ParsedStatement, StatementError, StatusTopic};
use crate::routing::SessionId;
use calloop::RegistrationToken;
use result_stream::ResultStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// How long a client may take from connecting to the end of its login, in seconds.
const LOGIN_TIMEOUT: f64 = 2.5;
/// How long a client may take from the first byte of a packet to its last, in seconds.
const PACKET_TIMEOUT: f64 = 2.5;
/// How long a client may show no activity while bytes of its answer are unsent, in seconds.
const WRITE_STALL_TIMEOUT: f64 = 10.0;
/// The same while the router is short of memory, which the answers that nobody reads hold.
const WRITE_STALL_TIMEOUT_WHEN_SHORT: f64 = 1.0;
/// How long a client may take to read its whole answer, even if it makes progress, in seconds. This is longer than any
/// client waits for its answer.
const ANSWER_TIMEOUT: f64 = 30.0;
/// How long a client may take to close the connection after its last answer, in seconds.
const CLOSE_TIMEOUT: f64 = 1.0;
/// Age in seconds from which an incomplete login, packet or closing counts as stuck. Sessions that are stuck are closed
/// first when a place is needed for a new session.
const INCOMPLETE_STEP_AGE: f64 = 0.5;
/// Packets that one session handles in one turn, at most.
const MAX_PACKETS_PER_TURN: usize = 16;
/// Length of the challenge in the greeting, in bytes.
const CHALLENGE_LENGTH: usize = 20;
/// The challenge consists of printable ASCII characters other than the space: this many, starting with this one.
const FIRST_PRINTABLE: u8 = 33;
const PRINTABLE_COUNT: u64 = 94;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The client has not logged in yet.
    Login,
    /// Logged in, and no command waits for its answer.
    Idle,
    /// A command that the session can't answer by itself (a request, a kill, or a question) waits for its answer.
    Waiting,
    /// No more packets are handled. The session ends once its last answer is written and the client has closed its side.
    Closing,
    Closed,
}

/// A client's command that the session can't answer by itself.
pub enum SessionEvent {
    Query(ParsedStatement),
    /// A query that is not a valid statement, and why.
    InvalidQuery(StatementError),
    Kill {
        session: SessionId,
        query_only: bool,
    },
    /// The client asks for the router's counters.
    Counters,
    /// The client asks for a status table of the router.
    Question(StatusTopic),
}

/// Rank of a session among those that may be closed to free a place. The lowest rank, with which the least is lost, is
/// closed first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionRank {
    /// 0 to 2, as `ClientSession::eviction_rank` lists them. Within a class the longest inactive session comes first.
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
    /// The client sent bytes that are not valid in the protocol.
    pub is_malformed: bool,
    /// A packet or an answer of the session was refused for want of memory.
    pub is_short_of_memory: bool,
    /// When the session was last ready, or was last answered.
    pub active_at: f64,
    id: SessionId,
    stream: Rc<TcpStream>,
    buffer: Buffer,
    /// The budget that the buffers of all sessions share.
    buffers: Rc<MemoryBudget>,
    /// The rest of the result that is being written to the client.
    result: Option<ResultStream>,
    state: State,
    /// The sequence number of the next packet that is sent.
    sequence: u8,
    /// The longest packet body that is accepted, in bytes.
    max_packet: usize,
    /// Whether more bytes may be available to read.
    readable: bool,
    /// Whether the client has closed: its stream has ended, or a hang-up was seen.
    is_client_closed: bool,
    /// Whether the buffer may hold complete packets that were not handled.
    has_unhandled_packets: bool,
    closes_after_answer: bool,
    /// The earliest time at which the bytes that were last read may have arrived.
    arrived_at: f64,
    /// The earliest time at which bytes that the last read left unread may have arrived; none if it left none.
    unread_since: Option<f64>,
    /// The first check for time-outs that found bytes of an answer unsent; none while everything is sent.
    unsent_since: Option<f64>,
    /// When the step in progress began: the login, the packet that is being received, or the closing. None if there is none.
    step_began_at: Option<f64>,
}

/// Whether the client has closed its side or reset the connection, even if bytes that it sent are still unread.
fn has_hung_up(stream: &TcpStream) -> bool {
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(hang_up)
}

/// An unpredictable challenge for the greeting.
fn random_challenge() -> [u8; CHALLENGE_LENGTH] {
    use std::hash::{BuildHasher, RandomState};
    let mut challenge = [0; CHALLENGE_LENGTH];
    for (index, byte) in challenge.iter_mut().enumerate() {
        *byte = (RandomState::new().hash_one(index) % PRINTABLE_COUNT) as u8 + FIRST_PRINTABLE;
    }
    challenge
}

impl ClientSession {
    /// A session on an accepted connection. It sends the greeting. What its buffer holds beyond the allowance counts
    /// towards `buffers`.
    pub fn new(
        token: RegistrationToken,
        id: SessionId,
        stream: Rc<TcpStream>,
        max_packet: usize,
        buffers: &Rc<MemoryBudget>,
        now: f64,
    ) -> ClientSession {
        let mut session = ClientSession {
            token,
            is_malformed: false,
            is_short_of_memory: false,
            active_at: now,
            id,
            stream,
            buffer: Buffer::with_budget(buffers, SESSION_ALLOWANCE),
            buffers: buffers.clone(),
            result: None,
            state: State::Login,
            sequence: 0,
            max_packet,
            readable: true,
            is_client_closed: false,
            has_unhandled_packets: false,
            closes_after_answer: false,
            arrived_at: now,
            unread_since: None,
            unsent_since: None,
            step_began_at: Some(now),
        };
        session.send(|out, _| mysql::write_greeting(out, id, random_challenge()));
        session
    }

    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Whether a request, a kill, or a question of the session waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }

    /// Whether the client has closed. No new request is begun for it. A client that closes only its sending side counts as
    /// closed too, since the two can't be told apart here and no MySQL client half-closes; it gets the error that its
    /// query was killed.
    pub fn is_client_closed(&self) -> bool {
        self.is_client_closed
    }

    /// Whether no command waits for its answer and nothing is left to write.
    fn is_quiescent(&self) -> bool {
        matches!(self.state, State::Login | State::Idle | State::Closing) && !self.has_unsent()
    }

    /// Whether the session can be closed without loss: no command waits for its answer, nothing is left to write, and no
    /// complete packet waits to be handled.
    pub fn can_be_closed(&self) -> bool {
        self.is_quiescent() && (self.state == State::Closing || !self.has_unhandled_packets)
    }

    /// Reads the available bytes, updates what is known of the stream, and returns whether the session can still be
    /// closed without loss. Bytes that have arrived are kept for the next turn: closing a connection with unread bytes
    /// resets it, and the client would lose its request.
    pub fn confirm_nothing_unread(&mut self, now: f64) -> bool {
        let Ok((has_new_bytes, outcome)) = self.read(now) else { return true };
        self.readable = matches!(outcome, ReadOutcome::LimitReached | ReadOutcome::OutOfMemory);
        self.is_client_closed = outcome == ReadOutcome::EndOfStream;
        self.has_unhandled_packets |= has_new_bytes;
        self.state == State::Closing || !self.has_unhandled_packets
    }

    /// Closes this side of the session, so that the client reads its last answer and closes its own side. What the client
    /// sends after that is not handled. A session with input that arrived before is left open, since closing it would lose
    /// the client's request. Returns whether this call has closed the session.
    pub fn close_gracefully(&mut self, now: f64) -> bool {
        let closes = self.state != State::Closing && self.can_be_closed() && self.confirm_nothing_unread(now);
        if closes {
            self.close_after_writing();
        }
        closes
    }

    /// Whether bytes may be left to read or packets to handle. Neither will be reported as readiness again.
    pub fn is_unfinished(&self) -> bool {
        (self.readable || self.has_unhandled_packets) && self.is_quiescent()
    }

    /// The rank among the sessions that may be closed to free a place. Sessions whose current step has been incomplete for
    /// `INCOMPLETE_STEP_AGE` come first, then those that have been idle for longest, and last those whose step has only
    /// just begun. So connections that send nothing, or a part of a packet, are closed before those of clients that have
    /// sent requests and keep their connection.
    pub fn eviction_rank(&self, now: f64) -> EvictionRank {
        let class = match self.step_began_at {
            Some(began_at) if now > began_at + INCOMPLETE_STEP_AGE => 0,
            None => 1,
            Some(_) => 2,
        };
        EvictionRank { class, active_at: self.active_at }
    }

    /// Records that the event loop has reported the stream as ready.
    pub fn note_ready(&mut self, readable: bool, now: f64) {
        self.readable |= readable;
        self.active_at = now;
    }

    /// Closes the session if the client has exceeded a time-out. The time is counted from the beginning of each step, so
    /// that a client can't keep its session open by sending or reading a byte now and then.
    pub fn check_timeouts(&mut self, now: f64, is_short_of_memory: bool) {
        let timeout = match self.state {
            State::Login => LOGIN_TIMEOUT,
            State::Closing => CLOSE_TIMEOUT,
            State::Idle | State::Waiting | State::Closed => PACKET_TIMEOUT,
        };
        let is_step_late = self.step_began_at.is_some_and(|began_at| now > began_at + timeout);
        let has_unsent = self.has_unsent();
        self.unsent_since = has_unsent.then(|| self.unsent_since.unwrap_or(now));
        let is_answer_late = self.unsent_since.is_some_and(|since| now > since + ANSWER_TIMEOUT);
        let stall_timeout =
            if is_short_of_memory { WRITE_STALL_TIMEOUT_WHEN_SHORT } else { WRITE_STALL_TIMEOUT };
        if is_step_late || is_answer_late || has_unsent && now > self.active_at + stall_timeout {
            self.state = State::Closed;
        }
    }

    /// Writes unsent bytes, reads the available bytes, and handles packets up to the next command that the session can't
    /// answer by itself, which is returned.
    ///
    /// # Errors
    /// Reading or writing fails; the connection is lost.
    pub fn process(&mut self, is_serving: bool, now: f64) -> io::Result<Option<SessionEvent>> {
        self.flush()?;
        let reached = self.read_if_readable(now)?;
        let mut event = None;
        self.has_unhandled_packets = true;
        for _ in 0..MAX_PACKETS_PER_TURN {
            self.has_unhandled_packets = self.may_handle_packets() && event.is_none();
            if !self.has_unhandled_packets {
                break;
            }
            match mysql::parse_packet(self.buffer.input(), self.max_packet) {
                Ok(Some(packet)) => {
                    let sequence = packet.sequence;
                    let body = packet.body.to_vec();
                    if !is_serving && self.is_ping(&body) {
                        self.leave_ping_unanswered();
                        return Ok(None);
                    }
                    event = self.handle_packet(sequence, &body);
                }
                Ok(None) => {
                    self.has_unhandled_packets = false;
                    self.refuse_if_out_of_memory(reached);
                    break;
                }
                Err(bad) => {
                    self.refuse_packet(bad);
                    break;
                }
            }
            self.flush()?;
        }
        self.finish_processing(event.is_some(), now);
        Ok(event)
    }

    fn may_handle_packets(&self) -> bool {
        matches!(self.state, State::Login | State::Idle) && !self.has_unsent()
    }

    fn is_ping(&self, body: &[u8]) -> bool {
        self.state == State::Idle && mysql::parse_command(body) == Ok(Command::Ping)
    }

    /// Leaves a ping in the buffer. It is answered once the engines are known, so that a health check sees the router as
    /// ready only then.
    fn leave_ping_unanswered(&mut self) {
        self.has_unhandled_packets = false;
        self.step_began_at = None;
        if self.is_client_closed {
            self.state = State::Closed;
        }
    }

    fn handle_packet(&mut self, sequence: u8, body: &[u8]) -> Option<SessionEvent> {
        self.buffer.consume(mysql::HEADER + body.len());
        self.step_began_at = self.step_began_at.filter(|_| self.state == State::Login);
        self.sequence = sequence.wrapping_add(1);
        let result = match self.state {
            State::Login if sequence == 1 => self.login(body).map(|()| None),
            State::Idle if sequence == 0 => self.command(body),
            _ => {
                Err(mysql::PacketError { code: mysql::PACKETS_OUT_OF_ORDER, message: "packets out of order" })
            }
        };
        result.unwrap_or_else(|bad| {
            self.refuse_packet(bad);
            None
        })
    }

    /// Updates the state after the last packet of a turn.
    fn finish_processing(&mut self, has_event: bool, now: f64) {
        // If the buffer is full, the end of the stream can't be read, as it comes after the unread bytes.
        if self.readable && !self.is_client_closed && self.state == State::Waiting {
            self.is_client_closed = has_hung_up(&self.stream);
        }
        self.step_began_at = match self.state {
            State::Idle if self.buffer.input().is_empty() || self.has_unhandled_packets => None,
            State::Idle | State::Login | State::Closing => self.step_began_at.or(Some(now)),
            State::Waiting | State::Closed => None,
        };
        if self.state == State::Closing {
            // Further input is discarded. The session stays until the client has closed, so that the client can read its
            // last answer.
            let length = self.buffer.input().len();
            self.buffer.consume(length);
        }
        if self.is_client_closed && !self.has_unhandled_packets && !has_event && self.is_quiescent() {
            self.state = State::Closed;
        }
    }

    fn refuse_packet(&mut self, bad: mysql::PacketError) {
        log::debug!("session {}: invalid packet, closing the session: {}", self.id, bad.message);
        self.is_malformed = true;
        self.error_and_close(bad.code, bad.message);
    }

    fn error_and_close(&mut self, code: mysql::ErrorCode, message: &str) {
        self.send(|out, sequence| mysql::write_error(out, sequence, code, message));
        self.close_after_writing();
    }

    /// Stops handling packets, and shuts down this side of the connection once the last answer is written.
    fn close_after_writing(&mut self) {
        self.state = State::Closing;
        self.step_began_at = None;
        if !self.has_unsent() {
            // If this fails, the connection is already closed.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}
