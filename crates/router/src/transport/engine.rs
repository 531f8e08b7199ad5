//! Connections to engines: many attempts on each, and how far each of them came.

use super::buffer::{Buffer, Reached};
use super::came_up;
use crate::protocol::engine::{self, Malformed, Pages, Word};
use crate::routing::{AttemptId, Failure, Outcome, Reply};
use calloop::RegistrationToken;
use cleatgw_deployment_config::LinkLimits;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::{fmt, io};

const MOST_INPUT: usize = 64 * 1024;
/// A connection whose engine leaves so much unread takes nothing new.
const MOST_UNSENT: usize = 256 * 1024;
/// Ids of attempts that ended on a connection without a result are kept for as long as it lives, as more answers to them may
/// still come; with so many of them it takes nothing new.
const MOST_GIVEN_UP: usize = 1000;
/// An engine with attempts out that has given no sign for so long is asked for one.
const QUIET: f64 = 0.25;
const SIGN: &str = "sign";
/// What was given up is over when its engine has read so, which its next sign tells, or at the latest after this.
const LETS_GO: f64 = 0.1;
/// An answer that has begun to come is whole within this, or never.
const UNFINISHED: f64 = 0.5;
/// An idle connection is left alone so much of its time before its engine would close it.
const IDLE_CAUTION: f64 = 0.9;

struct Exchange {
    attempt: AttemptId,
    /// Where its request ends in all that was put on the connection.
    end: u64,
    pages: Option<Pages>,
}

struct QueuedAttempt {
    id: String,
    attempt: AttemptId,
    unsent: engine::Unsent,
    /// It has left by then, or never does.
    leave_by: f64,
    /// For so long the gateway waits for its answer.
    until: f64,
}

struct Leaving {
    attempt: AttemptId,
    failure: Failure,
    until: f64,
}

enum State {
    Connecting { until: f64 },
    Up,
}

pub struct Link {
    pub token: RegistrationToken,
    pub engine: u64,
    pub address: SocketAddr,
    stream: Rc<TcpStream>,
    state: State,
    buffer: Buffer,
    /// Requests that wait for the connection, none of which has left.
    waiting: Vec<QueuedAttempt>,
    exchanges: HashMap<String, Exchange>,
    given_up: HashSet<String>,
    /// Given up, but its engine may not know yet.
    leaving: HashMap<String, Leaving>,
    put: u64,
    written: u64,
    readable: bool,
    idle_since: f64,
    /// When its engine last gave a sign, and when it was asked for one since.
    heard_at: f64,
    asked_at: Option<f64>,
    /// When its engine last said something, which a connection that merely came up does not prove.
    spoke_at: f64,
    /// It was begun to see whether its engine is there.
    pub is_trial: bool,
    /// It has been found to give no sign.
    pub known_mute: bool,
    /// Since when the input has begun with an answer that is not whole.
    begun_at: Option<f64>,
    pub answers_dropped: u64,
}

/// Why a connection ends.
pub enum Broken {
    Closed,
    /// Neither a sign nor a new connection could be had.
    Vanished,
    /// It gives no sign, and another connection does.
    Dead,
    Io(io::Error),
    Malformed(&'static str),
}

impl fmt::Display for Broken {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Broken::Closed => to.write_str("closed by the engine"),
            Broken::Dead => to.write_str("its engine answers on others only"),
            Broken::Vanished => to.write_str("its machine is gone"),
            Broken::Io(error) => error.fmt(to),
            Broken::Malformed(words) => write!(to, "malformed answer: {words}"),
        }
    }
}

impl From<io::Error> for Broken {
    fn from(error: io::Error) -> Broken {
        Broken::Io(error)
    }
}

impl From<Malformed> for Broken {
    fn from(Malformed(why): Malformed) -> Broken {
        Broken::Malformed(why)
    }
}

impl Link {
    pub fn new(
        token: RegistrationToken,
        engine: u64,
        address: SocketAddr,
        stream: Rc<TcpStream>,
        until: f64,
    ) -> Link {
        Link {
            token,
            engine,
            address,
            stream,
            state: State::Connecting { until },
            buffer: Buffer::default(),
            waiting: Vec::new(),
            exchanges: HashMap::new(),
            given_up: HashSet::new(),
            leaving: HashMap::new(),
            put: 0,
            written: 0,
            readable: false,
            idle_since: until,
            heard_at: until,
            asked_at: None,
            spoke_at: 0.0,
            is_trial: false,
            known_mute: false,
            begun_at: None,
            answers_dropped: 0,
        }
    }

    pub fn carries(&self) -> usize {
        self.waiting.len() + self.exchanges.len()
    }

    /// By when it must be up.
    pub fn coming_up_until(&self) -> f64 {
        match self.state {
            State::Connecting { until } => until,
            State::Up => f64::INFINITY,
        }
    }

    pub fn up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// It can take an attempt under this id: answers to an earlier one under it cannot be mistaken for its own.
    pub fn takes(&self, id: &str, stated: &LinkLimits, now: f64) -> bool {
        let stale = self.carries() == 0 && now > self.idle_since + stated.idle_after * IDLE_CAUTION;
        let known = self.given_up.contains(id)
            || self.exchanges.contains_key(id)
            || self.waiting.iter().any(|queued| queued.id == id);
        let full = self.carries() >= stated.max_attempts_per_connection
            || self.given_up.len() >= MOST_GIVEN_UP
            || self.buffer.unsent() > MOST_UNSENT;
        !full && !stale && !known && !self.mute(stated, now)
    }

    /// No sign came in time: its machine may have vanished.
    pub fn mute(&self, stated: &LinkLimits, now: f64) -> bool {
        self.asked_at.is_some_and(|asked| now > asked + stated.connect_time_out)
    }

    /// What carries nothing and was not asked for a sign is neither asked nor found mute.
    pub fn awaited(&self) -> bool {
        self.carries() > 0 || self.asked_at.is_some()
    }

    /// Asks for a sign of its engine, if none has come for long and attempts wait there.
    pub fn ask(&mut self, now: f64) -> io::Result<()> {
        if self.up() && self.asked_at.is_none() && self.carries() > 0 && now > self.heard_at + QUIET {
            self.ask_now(now)?;
        }
        Ok(())
    }

    fn ask_now(&mut self, now: f64) -> io::Result<()> {
        self.asked_at = Some(now);
        self.say(|out| engine::ping(out, SIGN))
    }

    /// It gives no sign, though its engine has spoken elsewhere since it should have: nothing more comes of it.
    pub fn dead_beside(&self, other: &Link, stated: &LinkLimits) -> bool {
        let due = self.asked_at.map_or(f64::INFINITY, |asked| asked + stated.connect_time_out);
        self.known_mute
            && (self.engine, self.address) == (other.engine, other.address)
            && other.spoke_at > due
    }

    /// When it must be looked at, whatever comes.
    pub fn due(&self, idle_after: f64) -> f64 {
        let due = match self.state {
            State::Connecting { until } => until,
            State::Up if self.carries() == 0 => self.idle_since + idle_after * IDLE_CAUTION,
            State::Up => f64::INFINITY,
        };
        let leaving = self.leaving.values().map(|leaving| leaving.until);
        let leaving = leaving.chain(self.waiting.iter().map(|queued| queued.leave_by));
        let unfinished = self.begun_at.map(|begun| begun + UNFINISHED);
        leaving.chain(unfinished).fold(due, f64::min)
    }

    pub fn dispatch(
        &mut self,
        attempt: AttemptId,
        ask: &engine::Ask,
        leave_by: f64,
        now: f64,
        ends: &mut Vec<(AttemptId, Outcome)>,
    ) -> io::Result<()> {
        let (id, unsent, until) = (ask.id.to_string(), engine::Unsent::new(ask), now + ask.wait);
        self.waiting.push(QueuedAttempt { id, attempt, unsent, leave_by, until });
        if self.up() {
            self.send_waiting(now, ends)?;
        }
        self.ask(now)
    }

    /// What waits for the connection leaves, with the time that is left for it now.
    pub fn send_waiting(&mut self, now: f64, ends: &mut Vec<(AttemptId, Outcome)>) -> io::Result<()> {
        self.idle_since = now;
        self.too_late_to_leave(now, ends);
        for QueuedAttempt { id, attempt, unsent, until, .. } in std::mem::take(&mut self.waiting) {
            let mut bytes = Vec::new();
            unsent.leaves(&mut bytes, until - now);
            self.put(&bytes);
            self.exchanges.insert(id, Exchange { attempt, end: self.put, pages: None });
        }
        self.flush()
    }

    fn too_late_to_leave(&mut self, now: f64, ends: &mut Vec<(AttemptId, Outcome)>) {
        self.waiting.retain(|queued| {
            let late = now >= queued.leave_by;
            ends.extend(late.then_some((queued.attempt, Err(Failure::NeverSent))));
            !late
        });
    }

    /// Nothing that waits for it to come up leaves any more.
    pub fn call_back(&mut self, ends: &mut Vec<(AttemptId, Outcome)>) {
        ends.extend(self.waiting.drain(..).map(|queued| (queued.attempt, Err(Failure::NeverSent))));
    }

    /// Its engine has yet to take bytes that were put on it.
    pub fn stuck(&self) -> bool {
        self.buffer.unsent() > 0
    }

    fn put(&mut self, bytes: &[u8]) {
        self.buffer.put(bytes);
        self.put += bytes.len() as u64;
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.up() && self.buffer.unsent() > 0 {
            self.written += self.buffer.write(&*self.stream)? as u64;
        }
        Ok(())
    }

    fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let mut bytes = Vec::new();
        write(&mut bytes);
        self.put(&bytes);
        self.flush()
    }

    /// Under which id an attempt that has left goes here.
    fn id_of(&self, attempt: AttemptId) -> Option<String> {
        self.exchanges.iter().find(|(_, exchange)| exchange.attempt == attempt).map(|(id, _)| id.clone())
    }

    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8) -> io::Result<()> {
        let Some(id) = self.id_of(attempt) else { return Ok(()) };
        self.say(|out| engine::lane(out, &id, lane))
    }

    /// Gives an attempt up. Where another connection's words may overtake ours, the engine would run two at once: so
    /// it is over once the engine has answered what was said behind.
    pub fn give_up(
        &mut self,
        attempt: AttemptId,
        now: f64,
        ends: &mut Vec<(AttemptId, Outcome)>,
    ) -> io::Result<()> {
        if let Some(at) = self.waiting.iter().position(|queued| queued.attempt == attempt) {
            self.waiting.remove(at);
            ends.push((attempt, Err(Failure::NeverSent)));
            return Ok(());
        }
        let Some((id, exchange)) = self.id_of(attempt).and_then(|id| self.exchanges.remove_entry(&id)) else {
            return Ok(());
        };
        let failure = if exchange.pages.is_some() { Failure::AnsweredInPart } else { Failure::Sent };
        self.leaving.insert(id.clone(), Leaving { attempt, failure, until: now + LETS_GO });
        self.idle_since = now;
        let said = self.say(|out| {
            engine::give_up(out, &id);
            engine::ping(out, &id);
        });
        self.given_up.insert(id);
        said
    }

    /// Tells of what its engine has had time to let go of; an answer that is still not whole is none.
    pub fn time_passed(&mut self, now: f64, ends: &mut Vec<(AttemptId, Outcome)>) -> Result<(), Broken> {
        self.too_late_to_leave(now, ends);
        self.leaving.retain(|_, leaving| {
            let over = now >= leaving.until;
            ends.extend(over.then_some((leaving.attempt, Err(leaving.failure))));
            !over
        });
        match self.begun_at {
            Some(begun) if now >= begun + UNFINISHED => Err(Malformed("an answer that does not end").into()),
            _ => Ok(()),
        }
    }

    /// Reads what is ready; attempts that ended go into `ends`. What waits for a connection that comes up here leaves with
    /// `send_waiting`, once all else that has come in is known.
    pub fn work(
        &mut self,
        readable: bool,
        now: f64,
        ends: &mut Vec<(AttemptId, Outcome)>,
    ) -> Result<(), Broken> {
        self.readable |= readable;
        if let State::Connecting { until } = self.state {
            if !came_up(&self.stream, until, now)? {
                return Ok(());
            }
            (self.state, self.heard_at) = (State::Up, now);
            if self.is_trial {
                self.ask_now(now)?;
            }
        }
        self.flush()?;
        if !self.readable {
            return Ok(());
        }
        // What is more than this is for the next turn, so that one engine does not starve the others.
        let before = self.buffer.input().len();
        let reached = self.buffer.read(&*self.stream, MOST_INPUT)?;
        if self.buffer.input().len() > before {
            (self.heard_at, self.spoke_at, self.asked_at, self.known_mute) = (now, now, None, false);
        }
        self.readable = reached == Reached::More;
        self.answers(now, ends)?;
        let begun = !self.buffer.input().is_empty();
        self.begun_at = begun.then(|| self.begun_at.unwrap_or(now));
        self.flush()?;
        if reached == Reached::End {
            return Err(Broken::Closed);
        }
        Ok(())
    }

    pub fn unfinished(&self) -> bool {
        self.readable
    }

    fn answers(&mut self, now: f64, ends: &mut Vec<(AttemptId, Outcome)>) -> Result<(), Broken> {
        loop {
            let Some(answer) = engine::answer(self.buffer.input())? else { return Ok(()) };
            let taken = answer.taken;
            let mut asks = Vec::new();
            if matches!(answer.word, Word::Fit | Word::Other) {
                // A sign of incarnation, which `work` has noted, or news that is of no use here.
                let said = answer.word == Word::Fit;
                let let_go = said.then(|| self.leaving.remove(answer.id)).flatten();
                ends.extend(let_go.map(|leaving| (leaving.attempt, Err(leaving.failure))));
            } else if let Some(exchange) = self.exchanges.get_mut(answer.id) {
                let outcome = match answer.word {
                    Word::Done if exchange.pages.is_none() => {
                        let pages = Pages::new(answer.pages.unwrap_or(1), answer.body)?;
                        let pages = exchange.pages.insert(pages);
                        pages.told = answer.work.zip(answer.peak).map(|(ms, mb)| (ms / 1e3, mb));
                        pages.others().for_each(|number| engine::page(&mut asks, answer.id, number));
                        pages.whole().map(|rows| Reply::Done { rows, told: pages.told })
                    }
                    // A second copy, whose pages are under way.
                    Word::Done => None,
                    Word::More => {
                        let missing = Malformed("a page before the first");
                        let pages = exchange.pages.as_mut().ok_or(missing)?;
                        pages.add(answer.page.unwrap_or(0), answer.body)?;
                        let whole = pages.whole();
                        if whole.is_some() {
                            engine::close(&mut asks, answer.id);
                        }
                        whole.map(|rows| Reply::Done { rows, told: pages.told })
                    }
                    Word::Broke => Some(Reply::Erred),
                    Word::Wait if exchange.pages.is_none() => Some(Reply::Full),
                    Word::Past if exchange.pages.is_none() => Some(Reply::TooLate),
                    _ => return Err(Malformed("an answer out of place").into()),
                };
                if let Some(reply) = outcome {
                    let exchange = self.exchanges.remove(answer.id).expect("just seen");
                    if !matches!(reply, Reply::Done { .. }) {
                        // A second copy of it, or its other pages, may still come: they must not pass for an answer to the
                        // request's next attempt.
                        self.given_up.insert(answer.id.to_string());
                    }
                    ends.push((exchange.attempt, Ok(reply)));
                    self.idle_since = now;
                }
            } else {
                self.answers_dropped += 1;
            }
            self.buffer.taken(taken);
            self.begun_at = None;
            if !asks.is_empty() {
                self.put(&asks);
            }
        }
    }

    /// The connection is over; so is all that was open on it, as far as it had come.
    pub fn over(self, ends: &mut Vec<(AttemptId, Outcome)>) {
        ends.extend(self.leaving.into_values().map(|leaving| (leaving.attempt, Err(leaving.failure))));
        for exchange in self.exchanges.into_values() {
            let failure = match exchange.pages {
                Some(_) => Failure::AnsweredInPart,
                None if exchange.end > self.written => Failure::Refused,
                None => Failure::Sent,
            };
            ends.push((exchange.attempt, Err(failure)));
        }
        ends.extend(self.waiting.into_iter().map(|queued| (queued.attempt, Err(Failure::Refused))));
    }
}
