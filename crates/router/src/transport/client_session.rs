//! A client session of the MySQL protocol. It handles one request at a time and its answer, and the other commands that
//! drivers send.

mod commands;
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
/// The input that is read ahead of the answers to earlier requests, in bytes. More stays with the system until the
/// session has handled some. While the budget is half used, the limit is the session's allowance.
const READ_AHEAD: usize = 16 * 1024;
/// The length of the pieces in which a result is written, in bytes. The session's allowance is used instead while the
/// budget has no room for that.
const OUTPUT_CHUNK: usize = 16 * 1024;
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

/// Whether bytes can be read, or the end of the stream.
fn has_unread(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::IN)];
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(PollFlags::IN)
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

    /// Reads the available bytes. Returns whether there were any, and why reading stopped.
    fn read(&mut self, now: f64) -> io::Result<(bool, ReadOutcome)> {
        let before = self.buffer.input().len();
        let outcome = loop {
            let limit = self.input_limit();
            let outcome = self.buffer.read(&*self.stream, limit)?;
            // The header of a long packet may have arrived only now.
            if outcome != ReadOutcome::LimitReached || self.input_limit() <= limit {
                break outcome;
            }
        };
        let has_new_bytes = self.buffer.input().len() > before;
        self.note_arrival(has_new_bytes, &outcome, now);
        Ok((has_new_bytes, outcome))
    }

    /// The length up to which input is read: what a client may send ahead of its requests' answers, or all of the first
    /// packet if that is longer and can be handled now.
    fn input_limit(&self) -> usize {
        let read_ahead = if self.buffers.is_half_free() { READ_AHEAD } else { SESSION_ALLOWANCE.input };
        let first_packet = mysql::first_body_length(self.buffer.input())
            .filter(|&length| length <= self.max_packet && self.may_handle_packets())
            .map_or(0, |length| mysql::HEADER + length);
        first_packet.max(read_ahead)
    }

    /// Records when the bytes that were just read may have arrived. Bytes that were left unread by an earlier read had
    /// arrived by then.
    fn note_arrival(&mut self, has_new_bytes: bool, outcome: &ReadOutcome, now: f64) {
        let arrived_at = self.unread_since.unwrap_or(now);
        if has_new_bytes {
            self.arrived_at = arrived_at;
        }
        let stopped_early = matches!(outcome, ReadOutcome::LimitReached | ReadOutcome::OutOfMemory);
        let leaves_bytes = stopped_early && has_unread(&self.stream);
        self.unread_since = leaves_bytes.then_some(arrived_at);
    }

    /// How long before `until` the last bytes that were read may have arrived, in seconds. A request that is handled now
    /// may have waited that long, behind the request before it.
    pub fn time_since_arrival(&self, until: f64) -> f64 {
        (until - self.arrived_at).max(0.0)
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

    /// The bytes that were read and not handled yet.
    #[cfg(test)]
    pub fn buffered_input(&self) -> usize {
        self.buffer.input().len()
    }

    /// Whether a part of an answer still has to be written.
    pub fn has_unsent(&self) -> bool {
        self.buffer.unsent_len() > 0 || self.result.is_some()
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

    /// Reads the available bytes unless nothing more is expected. Returns why reading stopped.
    fn read_if_readable(&mut self, now: f64) -> io::Result<Option<ReadOutcome>> {
        if !self.readable || self.is_client_closed {
            return Ok(None);
        }
        let reached = self.read(now)?.1;
        match reached {
            ReadOutcome::WouldBlock => self.readable = false,
            ReadOutcome::LimitReached | ReadOutcome::OutOfMemory => {}
            ReadOutcome::EndOfStream => {
                self.readable = false;
                self.is_client_closed = true;
            }
        }
        Ok(Some(reached))
    }

    /// Refuses an incomplete packet that there is no memory for.
    fn refuse_if_out_of_memory(&mut self, reached: Option<ReadOutcome>) {
        let is_at_allowance = self.buffer.input().len() >= SESSION_ALLOWANCE.input;
        if reached == Some(ReadOutcome::OutOfMemory) && is_at_allowance {
            log::debug!("session {}: no memory for a long packet, closing the session", self.id);
            self.is_short_of_memory = true;
            self.send(|out, sequence| mysql::write_rejected(out, sequence, None));
            self.close_after_writing();
        }
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

    /// Sends packets, numbered from the session's current sequence number.
    fn send(&mut self, write: impl FnOnce(&mut Vec<u8>, &mut u8)) {
        let mut out = Vec::new();
        write(&mut out, &mut self.sequence);
        self.buffer.queue_output(&out);
        self.flush_or_close();
    }

    fn flush_or_close(&mut self) {
        if let Err(error) = self.flush() {
            log::debug!("session {}: writing failed, closing the session: {error}", self.id);
            self.state = State::Closed;
        }
    }

    /// Writes what is unsent, as far as the client takes it.
    fn flush(&mut self) -> io::Result<()> {
        if !self.has_unsent() {
            return Ok(());
        }
        while self.has_unsent() {
            if self.buffer.unsent_len() == 0 {
                self.queue_next_of_result();
            }
            self.buffer.write(&*self.stream)?;
            if self.buffer.unsent_len() > 0 {
                return Ok(());
            }
        }
        if self.state == State::Closing {
            self.stream.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }

    /// Moves the next piece of the result into the buffer.
    fn queue_next_of_result(&mut self) {
        let Some(result) = &mut self.result else { return };
        let has_room = self.buffer.fits_output(OUTPUT_CHUNK);
        let max_len = if has_room { OUTPUT_CHUNK } else { SESSION_ALLOWANCE.output };
        let mut out = Vec::new();
        let is_complete = result.write_next(&mut out, &mut self.sequence, max_len);
        if is_complete {
            self.result = None;
        }
        self.buffer.queue_output(&out);
    }
}
