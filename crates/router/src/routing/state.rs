//! The state that actions are carried out on: engines, requests and their attempts, counters.

use super::counters::Counters;
use super::engine_registry::EngineRegistry;
use super::idempotency_records::IdempotencyRecords;
use super::request_table::{AnsweredRequest, RequestTable};
use super::types::{Answer, AttemptId, Connections};
use cleatgw::{AttemptOutcome, Deployment};

/// What has become of an attempt.
pub struct EndedAttemptState {
    pub outcome: AttemptOutcome,
    pub engine: usize,
    /// Seconds that it was in flight.
    pub elapsed: f64,
}

/// Everything but the decisions themselves.
#[derive(Default)]
pub struct RoutingState {
    pub now: f64,
    pub deployment: Deployment,
    pub engines: EngineRegistry,
    pub requests: RequestTable,
    pub counters: Counters,
    /// Attempts that ended by a decision: events of the next turn.
    pub ended_in_round: Vec<(AttemptId, AttemptOutcome)>,
    /// When the decisions want the next round.
    pub wake_at: f64,
    /// Requests that may have run, where something is persisted over restarts.
    pub records: Option<IdempotencyRecords>,
    /// Grows with each change of what is persisted.
    pub persisted_changes: u64,
}

impl RoutingState {
    /// Closes an attempt; none where it is not in flight.
    pub fn close_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<EndedAttemptState> {
        let closed = self.requests.close_attempt(attempt, outcome)?;
        if closed.outcome.never_ran() {
            self.forget_record(attempt, closed.sent_at);
        }
        self.count_outcome(closed.outcome);
        let elapsed = (self.now - closed.sent_at).max(0.0);
        Some(EndedAttemptState { outcome: closed.outcome, engine: closed.engine, elapsed })
    }

    /// The attempt never ran: it is no reason to hold a repeat for one.
    fn forget_record(&mut self, attempt: AttemptId, sent_at: f64) {
        let key = self.requests.get(attempt.request).and_then(|request| request.idempotency_key);
        if let (Some(records), Some(key)) = (&mut self.records, key) {
            records.never_ran(key, sent_at);
        }
    }

    fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let counters = &mut self.counters;
        let counter = match outcome {
            AttemptOutcome::Completed => &mut counters.attempts_completed,
            AttemptOutcome::EngineError => &mut counters.attempts_engine_error,
            AttemptOutcome::EngineFull => &mut counters.attempts_engine_full,
            AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
            AttemptOutcome::Unreachable => &mut counters.attempts_unreachable,
            AttemptOutcome::ConnectionLost => &mut counters.attempts_connection_lost,
            AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
            AttemptOutcome::NeverSent => &mut counters.attempts_never_sent,
        };
        *counter += 1;
    }

    /// Notes that an attempt has gone to the connections.
    pub fn note_dispatched(&mut self, attempt: AttemptId, idempotency_key: Option<u64>) {
        if let (Some(records), Some(key)) = (&mut self.records, idempotency_key) {
            self.persisted_changes += u64::from(records.attempted(key, self.now));
        }
        self.persisted_changes += u64::from(attempt.number > 0);
        self.counters.attempts += 1;
    }

    /// Cancels an attempt for a reason; its end is an event of a later turn.
    pub fn cancel(&mut self, attempt: AttemptId, reason: AttemptOutcome, connections: &mut dyn Connections) {
        if self.requests.mark_cancelled(attempt, reason) {
            connections.cancel(attempt);
        }
    }

    /// Gives a request its one final answer.
    pub fn answer(&mut self, id: usize, answer: Answer, connections: &mut dyn Connections) {
        let Some(AnsweredRequest { session, in_time }) = self.requests.answer(id, &answer, self.now) else {
            return;
        };
        let counters = &mut self.counters;
        let counter = match answer {
            Answer::Completed(_) => &mut counters.completed,
            Answer::Rejected { .. } => &mut counters.rejected,
            Answer::Failed => &mut counters.failed,
            Answer::Withdrawn => &mut counters.withdrawn,
        };
        *counter += 1;
        counters.in_time += u64::from(in_time);
        connections.answer(session, answer);
        self.requests.forget_if_done(id);
    }
}
