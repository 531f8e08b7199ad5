//! The requests of this router, each with its attempts, from its statement to its final answer.

use super::types::{Answer, AttemptId, SessionId};
use crate::protocol::statement::ParsedStatement;
use cleatgw::AttemptOutcome;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Where an attempt stands.
pub enum AttemptState {
    /// Cancelled for that reason, it is in flight until its end has come.
    InFlight {
        engine: usize,
        sent_at: f64,
        times_out_at: f64,
        cancelled_for: Option<AttemptOutcome>,
    },
    Ended,
}

/// Where a request stands.
enum Stage {
    Open {
        session: SessionId,
    },
    /// It has its answer, or is owed none.
    Answered,
}

/// One request.
pub struct Request {
    pub statement: ParsedStatement,
    pub deadline: f64,
    /// An answer by then meets the latency objective.
    pub objective_at: f64,
    pub lane: u8,
    pub grant_mb: f64,
    pub attempts: Vec<AttemptState>,
    /// The hash of its idempotency key, where its class has such keys.
    pub idempotency_key: Option<u64>,
    stage: Stage,
}

impl Request {
    pub fn new(
        statement: ParsedStatement,
        session: SessionId,
        deadline: f64,
        objective_at: f64,
        idempotency_key: Option<u64>,
    ) -> Request {
        Request {
            statement,
            deadline,
            objective_at,
            lane: 1,
            grant_mb: 0.0,
            attempts: Vec::new(),
            idempotency_key,
            stage: Stage::Open { session },
        }
    }

    /// Its client still waits.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open { .. })
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt, AttemptState::InFlight { .. }))
    }
}

/// An attempt that has ended, as its state was.
pub struct ClosedAttempt {
    pub engine: usize,
    pub sent_at: f64,
    /// The outcome, with what the attempt was cancelled for.
    pub outcome: AttemptOutcome,
}

/// All requests that are open, or have an attempt in flight.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<usize, Request>,
    by_session: HashMap<SessionId, usize>,
    /// The ids of the requests that are open, as their clients chose them.
    open_ids: HashSet<String>,
    /// When each attempt in flight has taken too long, as ordered bits.
    time_outs: BTreeSet<(u64, AttemptId)>,
}

fn order_key(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

impl RequestTable {
    pub fn get(&self, id: usize) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: usize) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// How many requests are open.
    pub fn open_count(&self) -> usize {
        self.by_session.len()
    }

    /// Whether a request under this id is open.
    pub fn is_id_in_use(&self, id: &str) -> bool {
        self.open_ids.contains(id)
    }

    /// The request that a session has open.
    pub fn of_session(&self, session: SessionId) -> Option<usize> {
        self.by_session.get(&session).copied()
    }

    pub fn insert(&mut self, id: usize, request: Request) {
        if let Stage::Open { session } = request.stage {
            self.by_session.insert(session, id);
        }
        self.open_ids.insert(request.statement.id.clone());
        self.requests.insert(id, request);
    }

    /// No request has longer than this.
    pub fn limit_deadlines(&mut self, until: f64) {
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(until);
        }
    }

    /// The engines that have an attempt in flight.
    pub fn engines_in_use(&self) -> HashSet<usize> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let engine = |attempt: &AttemptState| match attempt {
            AttemptState::InFlight { engine, .. } => Some(*engine),
            AttemptState::Ended => None,
        };
        attempts.filter_map(engine).collect()
    }

    /// A request's attempts in flight.
    pub fn attempts_in_flight(&self, id: usize) -> Vec<AttemptId> {
        let attempts = self.requests.get(&id).map_or(&[][..], |request| &request.attempts);
        let in_flight =
            attempts.iter().enumerate().filter(|(_, state)| matches!(state, AttemptState::InFlight { .. }));
        in_flight.map(|(number, _)| AttemptId { request: id, number: number as u32 }).collect()
    }

    /// Notes an attempt that was made. `has_time_out` tells whether it is to be given up then.
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

    /// Closes an attempt; none where it is not in flight.
    pub fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Option<ClosedAttempt> {
        let state = self.state_mut(attempt)?;
        let AttemptState::InFlight { engine, sent_at, times_out_at, cancelled_for } = *state else {
            return None;
        };
        *state = AttemptState::Ended;
        self.time_outs.remove(&(order_key(times_out_at), attempt));
        // What never left is reported so, whatever it was cancelled for; so is an answer that was quicker.
        let outcome = match (cancelled_for, outcome) {
            (Some(reason), AttemptOutcome::ConnectionLost) => reason,
            (Some(_), AttemptOutcome::NeverSent) => AttemptOutcome::Unreachable,
            (_, outcome) => outcome,
        };
        Some(ClosedAttempt { engine, sent_at, outcome })
    }

    /// Marks an attempt as cancelled for a reason; false where it is not in flight, or was cancelled before.
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

    /// Takes out the first attempt whose time-out has passed.
    pub fn next_timed_out(&mut self, now: f64) -> Option<AttemptId> {
        let first = self.time_outs.first().copied().filter(|(at, _)| *at <= order_key(now))?;
        self.time_outs.remove(&first);
        Some(first.1)
    }

    /// When the next attempt times out; infinite where none does.
    pub fn next_time_out(&self) -> f64 {
        self.time_outs.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at))
    }

    /// A request gets its one final answer: the session that it goes to, and whether it meets the latency objective. None where it
    /// has had one.
    pub fn answer(&mut self, id: usize, answer: &Answer, now: f64) -> Option<AnsweredRequest> {
        let request = self.requests.get_mut(&id)?;
        let Stage::Open { session } = std::mem::replace(&mut request.stage, Stage::Answered) else {
            return None;
        };
        let in_time = matches!(answer, Answer::Completed(_)) && now <= request.objective_at;
        self.by_session.remove(&session);
        self.open_ids.remove(&request.statement.id);
        Some(AnsweredRequest { session, in_time })
    }

    /// Forgets a request that has its answer and no attempt in flight.
    pub fn forget_if_done(&mut self, id: usize) {
        let is_done = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.is_open() && !request.has_attempt_in_flight());
        if is_done {
            self.requests.remove(&id);
        }
    }

    /// The ids of all requests.
    pub fn ids(&self) -> Vec<usize> {
        self.requests.keys().copied().collect()
    }
}

/// Whose answer it is.
pub struct AnsweredRequest {
    pub session: SessionId,
    pub in_time: bool,
}
