//! A connection to an engine, which carries many attempts at once, and tracks how far each of them got.

mod answers;
mod queued_attempts;

use super::buffer::{Buffer, ReadOutcome};
use super::engine_exchange::Exchange;
use super::memory_limits::ENGINE_ALLOWANCE;
use super::sockets::{is_connected, RegisteredStream};
use crate::memory_budget::MemoryBudget;
use crate::protocol::engine::{self, Malformed};
use crate::routing::{AttemptId, DeliveryFailure, EndedAttempt};
use calloop::RegistrationToken;
use cleatgw_deployment_config::ConnectionLimits;
use queued_attempts::{never_sent, QueuedAttempt};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A connection with more unsent bytes than this accepts no new attempts: its engine is not reading.
const MAX_UNSENT: usize = 256 * 1024;
/// The ids of attempts that ended on a connection without a result are kept for the lifetime of the connection,
/// because more answers to them may still arrive. With this many ids the connection accepts no new attempts.
const MAX_USED_IDS: usize = 1000;
/// An engine with attempts in flight that has sent nothing for this long is pinged, in seconds.
const PING_AFTER: f64 = 0.25;
/// The tag of a ping that checks whether the engine responds.
const PING_TAG: &str = "sign";
/// A cancelled attempt ends when the engine has read the cancellation, which its answer to the ping sent behind it
/// shows, or at the latest after this time, in seconds.
const CANCELLATION_TIMEOUT: f64 = 0.1;
/// An answer of which a part has arrived must be complete within this time, in seconds; after that the connection
/// fails.
const ANSWER_TIMEOUT: f64 = 0.5;
/// The fraction of the idle time-out for which an idle connection is still used. After that its engine may be closing
/// it.
const IDLE_FRACTION: f64 = 0.9;

/// A cancelled attempt whose engine may not have read the cancellation yet.
struct Cancelled {
    attempt: AttemptId,
    /// The result with which the attempt ends.
    failure: DeliveryFailure,
    /// When it ends even if the engine does not confirm the cancellation.
    ends_at: f64,
}

/// The budgets that the connections to engines share.
#[derive(Clone)]
pub struct EngineBudgets {
    /// Requests that were not written to an engine yet.
    pub requests: Rc<MemoryBudget>,
    /// The pages of results after the first one.
    pub results: Rc<MemoryBudget>,
}

enum State {
    Connecting { until: f64 },
    Up,
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("closed by the engine")]
    Closed,
    /// The engine answered no ping, and no new connection to it came up.
    #[error("engine unreachable")]
    EngineUnreachable,
    /// The engine answered no ping on this connection, but has sent something on another one since.
    #[error("the engine answers only on other connections")]
    AnswersElsewhere,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("malformed answer: {0}")]
    Malformed(#[from] Malformed),
}

pub struct EngineConnection {
    pub token: RegistrationToken,
    pub engine: u64,
    pub address: SocketAddr,
    /// The connection was opened to find out whether an unresponsive engine is reachable.
    pub is_probe: bool,
    /// The connection was found to be unresponsive and that was logged; reset when the engine sends something.
    pub known_unresponsive: bool,
    /// Answers that matched no open attempt.
    pub answers_dropped: u64,
    stream: Rc<TcpStream>,
    state: State,
    buffer: Buffer,
    /// The budget of the further pages of results.
    results: Rc<MemoryBudget>,
    /// Attempts whose further pages were not requested for want of memory, in the order of arrival. The pool takes them.
    waiting_for_pages: Vec<AttemptId>,
    /// Attempts whose request has not been put on the connection yet.
    queued: Vec<QueuedAttempt>,
    /// Attempts whose request was put on the connection, by request id. It may not be written to the socket yet.
    exchanges: HashMap<String, Exchange>,
    /// Cancelled attempts that have not ended yet, by request id.
    cancelled: HashMap<String, Cancelled>,
    /// The request ids of attempts that ended here without a result.
    used_ids: HashSet<String>,
    /// Bytes ever put on the connection.
    bytes_put: u64,
    /// How many of them were written to the socket.
    bytes_written: u64,
    /// Whether the socket may hold bytes that were not read yet.
    readable: bool,
    /// When an attempt was last sent or ended; before that, the time by which the connection must be up. It counts only
    /// while no attempts are open.
    idle_since: f64,
    /// When the connection came up or the engine last sent something on it; before that, the time by which the
    /// connection must be up.
    last_alive_at: f64,
    /// When the engine was pinged, if it has sent nothing since.
    pinged_at: Option<f64>,
    /// When the engine last sent something; unlike `last_alive_at`, not set by a connection that merely came up.
    last_received_at: f64,
    /// Since when the input has begun with an incomplete answer.
    partial_answer_since: Option<f64>,
}

impl EngineConnection {
    /// Wraps a connection that was started and must be up by `until`. Requests beyond the connection's allowance count
    /// towards `budgets.requests`, and the further pages of results towards `budgets.results`.
    pub fn new(
        connection: RegisteredStream,
        engine: u64,
        address: SocketAddr,
        until: f64,
        budgets: &EngineBudgets,
    ) -> EngineConnection {
        EngineConnection {
            token: connection.token,
            engine,
            address,
            is_probe: false,
            known_unresponsive: false,
            answers_dropped: 0,
            stream: connection.stream,
            state: State::Connecting { until },
            buffer: Buffer::with_budget(&budgets.requests, ENGINE_ALLOWANCE),
            results: budgets.results.clone(),
            waiting_for_pages: Vec::new(),
            queued: Vec::new(),
            exchanges: HashMap::new(),
            cancelled: HashMap::new(),
            used_ids: HashSet::new(),
            bytes_put: 0,
            bytes_written: 0,
            readable: false,
            idle_since: until,
            last_alive_at: until,
            pinged_at: None,
            last_received_at: 0.0,
            partial_answer_since: None,
        }
    }

    /// The number of queued and sent attempts that are open on this connection.
    pub fn load(&self) -> usize {
        self.queued.len() + self.exchanges.len()
    }

    /// By when the connection must be up; infinite if it is up already.
    pub fn connects_by(&self) -> f64 {
        match self.state {
            State::Connecting { until } => until,
            State::Up => f64::INFINITY,
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// Whether the connection accepts an attempt under this request id. An id that was used on it before is not
    /// accepted, so that answers to the earlier attempt can't be mistaken for answers to this one.
    pub fn can_take(&self, id: &str, limits: &ConnectionLimits, now: f64) -> bool {
        let is_stale = self.load() == 0 && now > self.idle_since + limits.idle_after * IDLE_FRACTION;
        let is_id_taken = self.used_ids.contains(id)
            || self.exchanges.contains_key(id)
            || self.queued.iter().any(|queued| queued.id == id);
        let is_full = self.load() >= limits.max_attempts_per_connection
            || self.used_ids.len() >= MAX_USED_IDS
            || self.buffer.unsent_len() > MAX_UNSENT;
        !is_full && !is_stale && !is_id_taken && !self.is_unresponsive(limits, now)
    }

    /// Whether the engine has left a ping unanswered for too long. Its machine may have disappeared.
    pub fn is_unresponsive(&self, limits: &ConnectionLimits, now: f64) -> bool {
        self.pinged_at.is_some_and(|pinged_at| now > pinged_at + limits.connect_timeout)
    }

    /// Whether the engine is expected to send something, because attempts are open or a ping is unanswered. Only such
    /// a connection is pinged or found to be unresponsive.
    pub fn is_awaiting_engine(&self) -> bool {
        self.load() > 0 || self.pinged_at.is_some()
    }

    /// Pings the engine if attempts are open and it has sent nothing for a while.
    pub fn ping_if_silent(&mut self, now: f64) -> io::Result<()> {
        let is_silent = now > self.last_alive_at + PING_AFTER;
        if self.is_up() && self.pinged_at.is_none() && self.load() > 0 && is_silent {
            self.ping(now)?;
        }
        Ok(())
    }

    fn ping(&mut self, now: f64) -> io::Result<()> {
        self.pinged_at = Some(now);
        self.send(|out| engine::write_ping(out, PING_TAG))
    }

    /// Whether this connection is unresponsive although the engine has sent something on `other` after the ping here
    /// had timed out. Nothing more is to be expected from this connection then.
    pub fn is_superseded_by(&self, other: &EngineConnection, limits: &ConnectionLimits) -> bool {
        let ping_timeout =
            self.pinged_at.map_or(f64::INFINITY, |pinged_at| pinged_at + limits.connect_timeout);
        let same_engine = (self.engine, self.address) == (other.engine, other.address);
        self.known_unresponsive && same_engine && other.last_received_at > ping_timeout
    }

    /// When the connection must be handled even if the event loop does not report it as ready.
    pub fn due(&self, idle_after: f64) -> f64 {
        let due = match self.state {
            State::Connecting { until } => until,
            State::Up if self.load() == 0 => self.idle_since + idle_after * IDLE_FRACTION,
            State::Up => f64::INFINITY,
        };
        let cancelled = self.cancelled.values().map(|cancelled| cancelled.ends_at);
        let queued = self.queued.iter().map(|queued| queued.leave_by);
        let answer = self.partial_answer_since.map(|since| since + ANSWER_TIMEOUT);
        cancelled.chain(queued).chain(answer).fold(due, f64::min)
    }

    /// Whether bytes that were put on the connection have not been written to the socket.
    pub fn has_unsent(&self) -> bool {
        self.buffer.unsent_len() > 0
    }

    fn put(&mut self, bytes: &[u8]) {
        self.buffer.queue_output(bytes);
        self.bytes_put += bytes.len() as u64;
    }

    /// Puts a request on the connection. Returns false if there is no memory for it.
    fn try_put(&mut self, bytes: &[u8]) -> bool {
        let is_put = self.buffer.try_queue_output(bytes);
        if is_put {
            self.bytes_put += bytes.len() as u64;
        }
        is_put
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.is_up() && self.buffer.unsent_len() > 0 {
            self.bytes_written += self.buffer.write(&*self.stream)? as u64;
        }
        Ok(())
    }

    fn send(&mut self, write: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let mut bytes = Vec::new();
        write(&mut bytes);
        self.put(&bytes);
        self.flush()
    }

    /// The request id of an attempt that was sent.
    fn id_of(&self, attempt: AttemptId) -> Option<String> {
        self.exchanges.iter().find(|(_, exchange)| exchange.attempt == attempt).map(|(id, _)| id.clone())
    }

    /// Sends the engine a new priority lane for an attempt that was sent; a queued attempt is
    /// later sent with its old lane.
    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8) -> io::Result<()> {
        let Some(id) = self.id_of(attempt) else { return Ok(()) };
        self.send(|out| engine::write_lane(out, &id, lane))
    }

    /// Cancels an attempt. A new attempt on another connection could overtake the cancellation, so that the engine
    /// would run both at once. Therefore the attempt ends only when the engine has answered a ping that is sent behind
    /// the cancellation.
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
        let cancelled = Cancelled { attempt, failure, ends_at: now + CANCELLATION_TIMEOUT };
        self.cancelled.insert(id.clone(), cancelled);
        self.idle_since = now;
        let sent = self.send(|out| {
            engine::write_cancel(out, &id);
            engine::write_ping(out, &id);
        });
        self.used_ids.insert(id);
        sent
    }

    /// Ends queued attempts that are overdue and cancelled ones whose time-out has passed.
    ///
    /// # Errors
    /// An answer was still incomplete after its time-out.
    pub fn run_due(&mut self, now: f64, ended: &mut Vec<EndedAttempt>) -> Result<(), ConnectionError> {
        self.drop_overdue(now, ended);
        self.cancelled.retain(|_, cancelled| {
            let has_ended = now >= cancelled.ends_at;
            if has_ended {
                ended.push(EndedAttempt { attempt: cancelled.attempt, result: Err(cancelled.failure) });
            }
            !has_ended
        });
        match self.partial_answer_since {
            Some(since) if now >= since + ANSWER_TIMEOUT => {
                Err(Malformed("an answer that was not completed in time").into())
            }
            _ => Ok(()),
        }
    }

    /// Reads what is ready; attempts that ended are appended to `ended`. If the connection comes up in this call, its
    /// queued attempts are sent later by [`Self::send_queued`], when all other input of the turn has been handled.
    ///
    /// # Errors
    /// The connection could not be established, failed or was closed, or the engine sent a malformed answer.
    pub fn process_io(
        &mut self,
        readable: bool,
        now: f64,
        ended: &mut Vec<EndedAttempt>,
    ) -> Result<(), ConnectionError> {
        self.readable |= readable;
        if !self.poll_connected(now)? {
            return Ok(());
        }
        self.flush()?;
        if !self.readable {
            return Ok(());
        }
        let reached = self.read_answers(now, ended)?;
        let is_partial = !self.buffer.input().is_empty();
        self.partial_answer_since = is_partial.then(|| self.partial_answer_since.unwrap_or(now));
        self.flush()?;
        match reached {
            ReadOutcome::EndOfStream => Err(ConnectionError::Closed),
            ReadOutcome::WouldBlock | ReadOutcome::LimitReached | ReadOutcome::OutOfMemory => Ok(()),
        }
    }

    /// Checks whether the connection is up. If it has just come up to probe an engine, the engine is pinged.
    fn poll_connected(&mut self, now: f64) -> Result<bool, ConnectionError> {
        let State::Connecting { until } = self.state else { return Ok(true) };
        if !is_connected(&self.stream, until, now)? {
            return Ok(false);
        }
        self.state = State::Up;
        self.last_alive_at = now;
        if self.is_probe {
            self.ping(now)?;
        }
        Ok(true)
    }

    /// Whether the connection may hold more than was read.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Ends the connection, and with it all open attempts; the result of each tells how far it got.
    pub fn end(self, ended: &mut Vec<EndedAttempt>) {
        for cancelled in self.cancelled.into_values() {
            ended.push(EndedAttempt { attempt: cancelled.attempt, result: Err(cancelled.failure) });
        }
        for exchange in self.exchanges.into_values() {
            let failure = match exchange.pages {
                Some(_) => DeliveryFailure::AnsweredInPart,
                None if exchange.end_offset > self.bytes_written => DeliveryFailure::Refused,
                None => DeliveryFailure::Unanswered,
            };
            ended.push(EndedAttempt { attempt: exchange.attempt, result: Err(failure) });
        }
        for queued in self.queued {
            ended.push(EndedAttempt { attempt: queued.attempt, result: Err(DeliveryFailure::Refused) });
        }
    }
}
