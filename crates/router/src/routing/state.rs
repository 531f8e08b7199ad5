//! The state that the decision core's actions change: engines, requests with their attempts, and counters.

use super::counters::Counters;
use super::engine_registry::EngineRegistry;
use super::idempotency_records::IdempotencyRecords;
use super::request_table::{AnsweredRequest, RequestTable};
use super::types::{Answer, AttemptId, Connections};
use cleatgw::{AttemptOutcome, Deployment};

/// An attempt that has ended, as it is reported to the decision core.
pub struct AttemptEndReport {
    pub outcome: AttemptOutcome,
    /// The index of the engine.
    pub engine: usize,
    /// How long the attempt was in flight, in seconds.
    pub elapsed: f64,
}

/// Routing's state except for the decision core.
#[derive(Default)]
pub struct RoutingState {
    pub now: f64,
    pub deployment: Deployment,
    pub engines: EngineRegistry,
    pub requests: RequestTable,
    pub counters: Counters,
    /// Attempts that the executor refused to make in this round. The next turn reports their ends to the decision core.
    pub ended_in_round: Vec<(AttemptId, AttemptOutcome)>,
    /// When the decision core asks for its next round.
    pub wake_at: f64,
    /// The first attempts of deduplicated requests. Absent unless the router persists its history over restarts.
    pub records: Option<IdempotencyRecords>,
    /// Incremented with every retry and every new idempotency record. Other changes of the persisted history are not
    /// counted.
    pub persisted_changes: u64,
}

impl RoutingState {
    /// Marks an attempt as ended. Returns `None` if the attempt is not in flight.
    pub fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Option<AttemptEndReport> {
        let closed = self.requests.close_attempt(attempt, outcome)?;
        if closed.outcome.never_ran() {
            self.forget_record(attempt, closed.sent_at);
        }
        self.count_outcome(closed.outcome);
        let elapsed = (self.now - closed.sent_at).max(0.0);
        Some(AttemptEndReport { outcome: closed.outcome, engine: closed.engine, elapsed })
    }

    /// Removes the idempotency record of an attempt that never ran, so that a request which is sent again under the
    /// same key does not count as a repeat because of it.
    fn forget_record(&mut self, attempt: AttemptId, sent_at: f64) {
        let key = self.requests.get(attempt.request).and_then(|request| request.idempotency_key);
        if let (Some(records), Some(key)) = (&mut self.records, key) {
            records.remove_never_ran(key, sent_at);
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

    /// Records that an attempt was handed to the connections.
    pub fn record_dispatch(&mut self, attempt: AttemptId, idempotency_key: Option<u64>) {
        if let (Some(records), Some(key)) = (&mut self.records, idempotency_key) {
            self.persisted_changes += u64::from(records.record_attempt(key, self.now));
        }
        // An attempt after the first one is a retry.
        self.persisted_changes += u64::from(attempt.number > 0);
        self.counters.attempts += 1;
    }

    /// Cancels an attempt and keeps the reason. The end of the attempt is reported in a later turn.
    pub fn cancel(&mut self, attempt: AttemptId, reason: AttemptOutcome, connections: &mut dyn Connections) {
        if self.requests.mark_cancelled(attempt, reason) {
            connections.cancel(attempt);
        }
    }

    /// Sends the final answer to a request, unless the request has been answered before.
    pub fn answer(&mut self, index: usize, mut answer: Answer, connections: &mut dyn Connections) {
        let Some(AnsweredRequest { session, in_time }) = self.requests.answer(index, &mut answer, self.now)
        else {
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
        self.requests.remove_if_done(index);
    }
}
