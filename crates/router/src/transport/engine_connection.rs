//! A connection to an engine: many attempts on it, and how far each of them came.

mod queued_attempts;

use super::buffer::{Buffer, ReadOutcome};
use super::engine_exchange::Exchange;
use super::sockets::{is_connected, RegisteredStream};
use crate::protocol::engine::{self, AnswerKind, Malformed};
use crate::routing::{AttemptId, DeliveryFailure, EndedAttempt, Reply};
use calloop::RegistrationToken;
use cleatgw_deployment_config::ConnectionLimits;
use queued_attempts::{never_sent, QueuedAttempt};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Bytes that are read of one connection in one turn.
const MAX_INPUT: usize = 64 * 1024;
/// A connection whose engine leaves so many bytes unread takes nothing new.
const MAX_UNSENT: usize = 256 * 1024;
/// Ids of attempts that ended on a connection without a result are kept for as long as it lives, as more answers to them may
/// still come; with so many of them it takes nothing new.
const MAX_USED_IDS: usize = 1000;
/// An engine with attempts in flight that has given no sign of life for so long is asked for one, in seconds.
const SILENCE: f64 = 0.25;
/// The tag of a ping that asks for a sign of life.
const PING_TAG: &str = "sign";
/// A cancelled attempt is over when its engine has read so, which its next answer tells, or at the latest after this, in seconds.
const CANCELLATION_TIMEOUT: f64 = 0.1;
/// An answer that has begun to come is complete within this, or never, in seconds.
const ANSWER_TIMEOUT: f64 = 0.5;
/// The part of its idle time-out for which an idle connection is used: after that its engine may be closing it.
const IDLE_PART: f64 = 0.9;

/// A cancelled attempt whose engine may not know yet.
struct Cancelled {
    attempt: AttemptId,
    failure: DeliveryFailure,
    over_at: f64,
}

enum State {
    Connecting { until: f64 },
    Up,
}

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("closed by the engine")]
    Closed,
    /// Neither a sign of life nor a new connection could be had.
    #[error("its machine is gone")]
    Vanished,
    /// It gives no sign of life, and another connection does.
    #[error("its engine answers on others only")]
    Dead,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("malformed answer: {0}")]
    Malformed(#[from] Malformed),
}

pub struct EngineConnection {
    pub token: RegistrationToken,
    pub engine: u64,
    pub address: SocketAddr,
    /// It was begun to see whether its engine is there.
    pub is_trial: bool,
    /// It has been found to give no sign of life.
    pub known_mute: bool,
    pub answers_dropped: u64,
    stream: Rc<TcpStream>,
    state: State,
    buffer: Buffer,
    queued: Vec<QueuedAttempt>,
    exchanges: HashMap<String, Exchange>,
    cancelled: HashMap<String, Cancelled>,
    /// The ids of attempts that ended here without a result.
    used_ids: HashSet<String>,
    /// Bytes that were put on the connection, and those of them that were written.
    put: u64,
    written: u64,
    readable: bool,
    idle_since: f64,
    /// When its engine last gave a sign of life, and when it was asked for one since.
    heard_at: f64,
    asked_at: Option<f64>,
    /// When its engine last said something, which a connection that merely came up does not prove.
    spoke_at: f64,
    /// Since when the input has begun with an answer that is not complete.
    answer_began_at: Option<f64>,
}

impl EngineConnection {
    /// A connection that was begun, and has until `until` to come up.
    pub fn new(
        connection: RegisteredStream,
        engine: u64,
        address: SocketAddr,
        until: f64,
    ) -> EngineConnection {
        EngineConnection {
            token: connection.token,
            engine,
            address,
            is_trial: false,
            known_mute: false,
            answers_dropped: 0,
            stream: connection.stream,
            state: State::Connecting { until },
            buffer: Buffer::default(),
            queued: Vec::new(),
            exchanges: HashMap::new(),
            cancelled: HashMap::new(),
            used_ids: HashSet::new(),
            put: 0,
            written: 0,
            readable: false,
            idle_since: until,
            heard_at: until,
            asked_at: None,
            spoke_at: 0.0,
            answer_began_at: None,
        }
    }

    /// How many attempts it carries.
    pub fn load(&self) -> usize {
        self.queued.len() + self.exchanges.len()
    }

    /// By when it must be up.
    pub fn connects_by(&self) -> f64 {
        match self.state {
            State::Connecting { until } => until,
            State::Up => f64::INFINITY,
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// It can take an attempt under this id: answers to an earlier one under it cannot be mistaken for its own.
    pub fn can_take(&self, id: &str, limits: &ConnectionLimits, now: f64) -> bool {
        let is_stale = self.load() == 0 && now > self.idle_since + limits.idle_after * IDLE_PART;
        let is_known = self.used_ids.contains(id)
            || self.exchanges.contains_key(id)
            || self.queued.iter().any(|queued| queued.id == id);
        let is_full = self.load() >= limits.max_attempts_per_connection
            || self.used_ids.len() >= MAX_USED_IDS
            || self.buffer.unsent_len() > MAX_UNSENT;
        !is_full && !is_stale && !is_known && !self.is_mute(limits, now)
    }

    /// No sign of life came in time: its machine may have vanished.
    pub fn is_mute(&self, limits: &ConnectionLimits, now: f64) -> bool {
        self.asked_at.is_some_and(|asked| now > asked + limits.connect_time_out)
    }

    /// What carries nothing and was not asked for a sign of life is neither asked nor found mute.
    pub fn is_awaited(&self) -> bool {
        self.load() > 0 || self.asked_at.is_some()
    }

    /// Asks its engine for a sign of life, if none has come for long and attempts wait there.
    pub fn ping_if_silent(&mut self, now: f64) -> io::Result<()> {
        let is_silent = now > self.heard_at + SILENCE;
        if self.is_up() && self.asked_at.is_none() && self.load() > 0 && is_silent {
            self.ping(now)?;
        }
        Ok(())
    }

    fn ping(&mut self, now: f64) -> io::Result<()> {
        self.asked_at = Some(now);
        self.send(|out| engine::write_ping(out, PING_TAG))
    }

    /// It gives no sign of life, though its engine has spoken elsewhere since it should have: nothing more comes of it.
    pub fn is_dead_beside(&self, other: &EngineConnection, limits: &ConnectionLimits) -> bool {
        let due = self.asked_at.map_or(f64::INFINITY, |asked| asked + limits.connect_time_out);
        let same_engine = (self.engine, self.address) == (other.engine, other.address);
        self.known_mute && same_engine && other.spoke_at > due
    }

    /// When it must be looked at, whatever comes.
    pub fn due(&self, idle_after: f64) -> f64 {
        let due = match self.state {
            State::Connecting { until } => until,
            State::Up if self.load() == 0 => self.idle_since + idle_after * IDLE_PART,
            State::Up => f64::INFINITY,
        };
        let cancelled = self.cancelled.values().map(|cancelled| cancelled.over_at);
        let queued = self.queued.iter().map(|queued| queued.leave_by);
        let answer = self.answer_began_at.map(|began| began + ANSWER_TIMEOUT);
        cancelled.chain(queued).chain(answer).fold(due, f64::min)
    }

    /// Its engine has yet to take bytes that were put on it.
    pub fn has_unsent(&self) -> bool {
        self.buffer.unsent_len() > 0
    }

    fn put(&mut self, bytes: &[u8]) {
        self.buffer.queue_output(bytes);
        self.put += bytes.len() as u64;
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.is_up() && self.buffer.unsent_len() > 0 {
            self.written += self.buffer.write(&*self.stream)? as u64;
        }
        Ok(())
    }

    fn send(&mut self, write: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let mut bytes = Vec::new();
        write(&mut bytes);
        self.put(&bytes);
        self.flush()
    }

    /// The id of an attempt that has left.
    fn id_of(&self, attempt: AttemptId) -> Option<String> {
        self.exchanges.iter().find(|(_, exchange)| exchange.attempt == attempt).map(|(id, _)| id.clone())
    }

    /// Changes the priority lane of an attempt that has left.
    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8) -> io::Result<()> {
        let Some(id) = self.id_of(attempt) else { return Ok(()) };
        self.send(|out| engine::write_lane(out, &id, lane))
    }

    /// Cancels an attempt. What another connection carries may overtake the cancellation, and the engine would run two attempts
    /// at once: so the attempt is over once the engine has answered the ping that was sent behind.
    pub fn cancel(&mut self, attempt: AttemptId, now: f64, ended: &mut Vec<EndedAttempt>) -> io::Result<()> {
        if let Some(index) = self.queued.iter().position(|queued| queued.attempt == attempt) {
            self.queued.remove(index);
            ended.push(never_sent(attempt));
            return Ok(());
        }
        let Some((id, exchange)) = self.id_of(attempt).and_then(|id| self.exchanges.remove_entry(&id)) else {
            return Ok(());
        };
        let failure = match exchange.pages {
            Some(_) => DeliveryFailure::AnsweredInPart,
            None => DeliveryFailure::Unanswered,
        };
        let cancelled = Cancelled { attempt, failure, over_at: now + CANCELLATION_TIMEOUT };
        self.cancelled.insert(id.clone(), cancelled);
        self.idle_since = now;
        let sent = self.send(|out| {
            engine::write_cancel(out, &id);
            engine::write_ping(out, &id);
        });
        self.used_ids.insert(id);
        sent
    }

    /// Ends what its engine has had time to let go of; an answer that is still not complete is none.
    pub fn run_due(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> Result<(), ConnectionError> {
        self.drop_late(now, ended);
        self.cancelled.retain(|_, cancelled| {
            let is_over = now >= cancelled.over_at;
            if is_over {
                ended.push(EndedAttempt { attempt: cancelled.attempt, result: Err(cancelled.failure) });
            }
            !is_over
        });
        match self.answer_began_at {
            Some(began) if now >= began + ANSWER_TIMEOUT => {
                Err(Malformed("an answer that does not end").into())
            }
            _ => Ok(()),
        }
    }

    /// Reads what is ready; attempts that ended go into `ended`. What waits for a connection that comes up here leaves with
    /// [`Self::send_queued`], once all else that has come in is known.
    pub fn work(
        &mut self,
        readable: bool,
        now: f64,
        ended: &mut Vec<EndedAttempt>,
    ) -> Result<(), ConnectionError> {
        self.readable |= readable;
        if !self.comes_up(now)? {
            return Ok(());
        }
        self.flush()?;
        if !self.readable {
            return Ok(());
        }
        let reached = self.read(now)?;
        self.take_answers(now, ended)?;
        let is_cut = !self.buffer.input().is_empty();
        self.answer_began_at = is_cut.then(|| self.answer_began_at.unwrap_or(now));
        self.flush()?;
        match reached {
            ReadOutcome::EndOfStream => Err(ConnectionError::Closed),
            ReadOutcome::WouldBlock | ReadOutcome::LimitReached => Ok(()),
        }
    }

    /// Whether it is up, or has just come up.
    fn comes_up(&mut self, now: f64) -> Result<bool, ConnectionError> {
        let State::Connecting { until } = self.state else { return Ok(true) };
        if !is_connected(&self.stream, until, now)? {
            return Ok(false);
        }
        self.state = State::Up;
        self.heard_at = now;
        if self.is_trial {
            self.ping(now)?;
        }
        Ok(true)
    }

    /// Reads what is ready, but no more than a part, so that one engine does not starve the others.
    fn read(&mut self, now: f64) -> io::Result<ReadOutcome> {
        let before = self.buffer.input().len();
        let reached = self.buffer.read(&*self.stream, MAX_INPUT)?;
        if self.buffer.input().len() > before {
            self.heard_at = now;
            self.spoke_at = now;
            self.asked_at = None;
            self.known_mute = false;
        }
        self.readable = reached == ReadOutcome::LimitReached;
        Ok(reached)
    }

    /// More may be ready than was read.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Takes the complete answers off the input.
    fn take_answers(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> Result<(), ConnectionError> {
        while let Some(answer) = engine::parse_answer(self.buffer.input())? {
            let taken = answer.length;
            let mut requests = Vec::new();
            match answer.kind {
                // A sign of life, which `read` has noted.
                AnswerKind::Pong => {
                    if let Some(Cancelled { attempt, failure, .. }) = self.cancelled.remove(answer.id) {
                        ended.push(EndedAttempt { attempt, result: Err(failure) });
                    }
                }
                AnswerKind::Unknown => {}
                _ => match self.exchanges.get_mut(answer.id) {
                    None => self.answers_dropped += 1,
                    Some(exchange) => {
                        let reply = exchange.take_reply(&answer, &mut requests)?;
                        let attempt = exchange.attempt;
                        if let Some(reply) = reply {
                            self.exchanges.remove(answer.id);
                            self.idle_since = now;
                            // A second copy of it may still come, or other pages: they must not pass for an answer to the
                            // request's next attempt, so the id is not used again here.
                            if !matches!(reply, Reply::Completed { .. }) {
                                self.used_ids.insert(answer.id.to_string());
                            }
                            ended.push(EndedAttempt { attempt, result: Ok(reply) });
                        }
                    }
                },
            }
            self.buffer.consume(taken);
            self.answer_began_at = None;
            if !requests.is_empty() {
                self.put(&requests);
            }
        }
        Ok(())
    }

    /// The connection is over; so is all that was open on it, as far as it had come.
    pub fn end(self, ended: &mut Vec<EndedAttempt>) {
        for cancelled in self.cancelled.into_values() {
            ended.push(EndedAttempt { attempt: cancelled.attempt, result: Err(cancelled.failure) });
        }
        for exchange in self.exchanges.into_values() {
            let failure = match exchange.pages {
                Some(_) => DeliveryFailure::AnsweredInPart,
                None if exchange.ends_at > self.written => DeliveryFailure::Refused,
                None => DeliveryFailure::Unanswered,
            };
            ended.push(EndedAttempt { attempt: exchange.attempt, result: Err(failure) });
        }
        for queued in self.queued {
            ended.push(EndedAttempt { attempt: queued.attempt, result: Err(DeliveryFailure::Refused) });
        }
    }
}
