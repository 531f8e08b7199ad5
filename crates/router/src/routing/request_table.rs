//! The table of this router's requests, each with its attempts. A request stays in it until it has its final answer and
//! none of its attempts is in flight. A request is identified by its index in the table, which is not the id that its
//! client chose.

use super::types::{Answer, AttemptId, SessionId};
use crate::memory_budget::Reservation;
use crate::protocol::statement::ParsedStatement;
use cleatgw::AttemptOutcome;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The state of an attempt.
pub enum AttemptState {
    /// The attempt's end has not been reported yet.
    InFlight {
        /// The index of the engine.
        engine: usize,
        sent_at: f64,
        times_out_at: f64,
        /// Why the attempt was cancelled, if it was. It stays in flight until its end is reported.
        cancelled_for: Option<AttemptOutcome>,
    },
    Ended,
}

/// The state of a request.
enum Stage {
    /// The client waits for the answer in this session.
    Open { session: SessionId },
    /// The request has its answer, or its client withdrew it.
    Answered,
}

/// A request.
pub struct Request {
    pub statement: ParsedStatement,
    pub deadline: f64,
    /// The latest time at which an answer meets the latency objective.
    pub objective_at: f64,
    /// The priority lane, 0 to 3; a higher lane is faster. 1 until the decision core sets it.
    pub lane: u8,
    /// The memory that an attempt is granted, in megabytes. 0 leaves the memory to the engine.
    pub grant_mb: f64,
    pub attempts: Vec<AttemptState>,
    /// The hash of the idempotency key. Absent if the class is not deduplicated.
    pub idempotency_key: Option<u64>,
    /// The memory that is reserved for the request.
    memory: Reservation,
    stage: Stage,
}

impl Request {
    pub fn new(
        statement: ParsedStatement,
        session: SessionId,
        deadline: f64,
        objective_at: f64,
        idempotency_key: Option<u64>,
        memory: Reservation,
    ) -> Request {
        Request {
            statement,
            deadline,
            objective_at,
            lane: 1,
            grant_mb: 0.0,
            attempts: Vec::new(),
            idempotency_key,
            memory,
            stage: Stage::Open { session },
        }
    }

    /// Whether the client still waits for the answer.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open { .. })
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt, AttemptState::InFlight { .. }))
    }
}

/// An attempt that was in flight and has ended.
pub struct ClosedAttempt {
    /// The index of the engine.
    pub engine: usize,
    pub sent_at: f64,
    /// The outcome, adjusted by the reason of the cancellation if the attempt was cancelled.
    pub outcome: AttemptOutcome,
}

/// The requests that are open or have an attempt in flight.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<usize, Request>,
    by_session: HashMap<SessionId, usize>,
    /// The ids that clients chose for the open requests.
    open_ids: HashSet<String>,
    /// When each attempt in flight times out, as the bits of that time.
    time_outs: BTreeSet<(u64, AttemptId)>,
}

/// The bits of a time, which order as times do because times are not negative.
fn order_key(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl RequestTable {
    pub fn get(&self, index: usize) -> Option<&Request> {
        self.requests.get(&index)
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut Request> {
        self.requests.get_mut(&index)
    }

    /// The number of open requests.
    pub fn open_count(&self) -> usize {
        self.by_session.len()
    }

    /// Whether an open request has this id, which clients choose.
    pub fn is_id_in_use(&self, id: &str) -> bool {
        self.open_ids.contains(id)
    }

    /// The open request of a session.
    pub fn open_in_session(&self, session: SessionId) -> Option<usize> {
        self.by_session.get(&session).copied()
    }

    pub fn insert(&mut self, index: usize, request: Request) {
        if let Stage::Open { session } = request.stage {
            self.by_session.insert(session, index);
        }
        self.open_ids.insert(request.statement.id.clone());
        self.requests.insert(index, request);
    }

    /// Cuts later deadlines to this time.
    pub fn limit_deadlines(&mut self, until: f64) {
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(until);
        }
    }

    /// The indices of the engines that have an attempt in flight.
    pub fn engines_in_use(&self) -> HashSet<usize> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let engine = |attempt: &AttemptState| match attempt {
            AttemptState::InFlight { engine, .. } => Some(*engine),
            AttemptState::Ended => None,
        };
        attempts.filter_map(engine).collect()
    }

    /// The attempts of a request that are in flight.
    pub fn attempts_in_flight(&self, index: usize) -> Vec<AttemptId> {
        let attempts = self.requests.get(&index).map_or(&[][..], |request| &request.attempts);
        let in_flight =
            attempts.iter().enumerate().filter(|(_, state)| matches!(state, AttemptState::InFlight { .. }));
        in_flight.map(|(number, _)| AttemptId { request: index, number: number as u32 }).collect()
    }

    /// Adds an attempt. `has_time_out` says whether the attempt is to be cancelled at `times_out_at`. It is false for
    /// an attempt that was refused as illegal and not sent, which ends in the next turn.
    pub fn add_attempt(
        &mut self,
        attempt: AttemptId,
        engine: usize,
        sent_at: f64,
        times_out_at: f64,
        has_time_out: bool,
    ) {
        if has_time_out {
            self.time_outs.insert((order_key(times_out_at), attempt));
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            let state = AttemptState::InFlight { engine, sent_at, times_out_at, cancelled_for: None };
            request.attempts.push(state);
        }
    }

    /// Marks an attempt as ended. Returns `None` if the attempt is not in flight.
    pub fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Option<ClosedAttempt> {
        let state = self.state_mut(attempt)?;
        let AttemptState::InFlight { engine, sent_at, times_out_at, cancelled_for } = *state else {
            return None;
        };
        *state = AttemptState::Ended;
        self.time_outs.remove(&(order_key(times_out_at), attempt));
        // A cancelled attempt that ends without an answer has the reason of its cancellation as its outcome. If it
        // ended as `NeverSent`, which includes the engine's answer that the deadline had passed, its outcome is
        // `Unreachable` instead, whatever the reason: both count as never run, and `Unreachable` also counts as a
        // failure of the engine. Any other answer that arrived despite the cancellation counts as it is.
        let outcome = match (cancelled_for, outcome) {
            (Some(reason), AttemptOutcome::ConnectionLost) => reason,
            (Some(_), AttemptOutcome::NeverSent) => AttemptOutcome::Unreachable,
            (_, outcome) => outcome,
        };
        Some(ClosedAttempt { engine, sent_at, outcome })
    }

    /// Marks an attempt as cancelled. Returns false if the attempt is not in flight or was cancelled before.
    pub fn mark_cancelled(&mut self, attempt: AttemptId, reason: AttemptOutcome) -> bool {
        let Some(AttemptState::InFlight { times_out_at, cancelled_for: cancelled_for @ None, .. }) =
            self.state_mut(attempt)
        else {
            return false;
        };
        *cancelled_for = Some(reason);
        let time_out = (order_key(*times_out_at), attempt);
        self.time_outs.remove(&time_out);
        true
    }

    fn state_mut(&mut self, attempt: AttemptId) -> Option<&mut AttemptState> {
        self.requests.get_mut(&attempt.request)?.attempts.get_mut(attempt.number as usize)
    }

    /// Removes the attempt with the earliest time-out from the time-outs and returns it, if that time-out has passed.
    pub fn take_timed_out(&mut self, now: f64) -> Option<AttemptId> {
        let first = self.time_outs.first().copied().filter(|(at, _)| *at <= order_key(now))?;
        self.time_outs.remove(&first);
        Some(first.1)
    }

    /// When the next attempt times out; infinite if none does.
    pub fn next_time_out_at(&self) -> f64 {
        self.time_outs.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at))
    }

    /// Marks a request as answered. Returns the session that the answer goes to, or `None` if the request is unknown or
    /// has been answered before. A result takes over the memory that is reserved for the request.
    pub fn answer(&mut self, index: usize, answer: &mut Answer, now: f64) -> Option<AnsweredRequest> {
        let request = self.requests.get_mut(&index)?;
        let Stage::Open { session } = std::mem::replace(&mut request.stage, Stage::Answered) else {
            return None;
        };
        let is_completed = matches!(answer, Answer::Completed(_));
        if let Answer::Completed(rows) = answer {
            rows.keep_reserved(std::mem::take(&mut request.memory));
        }
        let in_time = is_completed && now <= request.objective_at;
        self.by_session.remove(&session);
        self.open_ids.remove(&request.statement.id);
        Some(AnsweredRequest { session, in_time })
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub fn remove_if_done(&mut self, index: usize) {
        let is_done = self
            .requests
            .get(&index)
            .is_some_and(|request| !request.is_open() && !request.has_attempt_in_flight());
        if is_done {
            self.requests.remove(&index);
        }
    }

    /// The indices of all requests.
    pub fn indices(&self) -> Vec<usize> {
        self.requests.keys().copied().collect()
    }
}

/// A request that has just been answered.
pub struct AnsweredRequest {
    pub session: SessionId,
    /// Whether the answer is a result and meets the latency objective.
    pub in_time: bool,
}
