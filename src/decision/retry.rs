//! Retries: how long an attempt may take, what becomes of one that takes longer, and the budget of retries.

use super::outlier_detection::{AttemptEvidence, MIN_SUCCESS_RATE};
use super::Gateway;
use crate::request_state::{DueEvent, RequestState};
use crate::{ActionWriter, RetryBudget};
use std::collections::VecDeque;

/// The budget where none is stated, so that a bad spell does not feed on its own retries.
const DEFAULT_BUDGET: RetryBudget = RetryBudget { base: 10.0, per_request: 0.2, window: 10.0 };
/// A time-out is no shorter than so many runs and this part of the shortest latency objective, nor than this part of the time
/// to its own objective.
const MIN_TIME_OUT_RUNS: f64 = 2.8;
const MIN_TIME_OUT_OF_SHORTEST: f64 = 0.1;
const TIME_OUT_OF_OBJECTIVE: f64 = 0.5;
/// Requests that lock their tables wait for so many times their overdue time, or until so many runs are left.
const LOCKING_TIME_OUT_FACTOR: f64 = 2.0;
const LOCKING_RUNS_LEFT: f64 = 1.5;
/// An attempt is overdue after this part of the shortest latency objective and so many runs, by how far the request may
/// outgrow its estimate.
const OVERDUE_OF_SHORTEST: f64 = 0.5;
const OVERDUE_RUNS: f64 = 2.0;
/// By how much a request is assumed to outgrow its estimate: where it has none, and as a logarithm until that is known.
const GROWTH_WITHOUT_ESTIMATE: f64 = 2.0;
const INITIAL_SCATTER: f64 = 0.5;
/// Seconds after which an overdue attempt counts against its engine again.
const OVERDUE_AGAIN: f64 = 2.0;
/// An overdue attempt is cancelled where its engine's success rate is under this.
const CANCEL_BELOW: f64 = 0.5;

/// The retries of this gateway, and the requests that it received, by their times.
#[derive(Default)]
pub(super) struct RetryHistory {
    pub made_at: VecDeque<f64>,
    pub received_at: VecDeque<f64>,
    /// So many more may follow, where what is persisted of them lags behind.
    pub unpersisted_allowance: Option<u32>,
}

impl RetryHistory {
    /// Whether one more retry is within the budget.
    pub fn has_budget(&self, budget: &RetryBudget, now: f64) -> bool {
        let from = now - budget.window;
        let made = self.made_at.len() - self.made_at.partition_point(|&at| at < from);
        let received = self.received_at.len() - self.received_at.partition_point(|&at| at <= from);
        self.unpersisted_allowance != Some(0)
            && made as f64 + 1.0 <= budget.base + budget.per_request * received as f64
    }

    /// Notes a retry.
    pub fn note_retry(&mut self, now: f64) {
        self.made_at.push_back(now);
        if let Some(left) = &mut self.unpersisted_allowance {
            *left = left.saturating_sub(1);
        }
    }

    /// Forgets what lies before a time.
    pub fn forget_before(&mut self, from: f64) {
        for times in [&mut self.received_at, &mut self.made_at] {
            let old = times.partition_point(|&at| at < from);
            times.drain(..old);
        }
    }
}

impl Gateway {
    /// The budget of retries, stated or not.
    pub fn retry_budget(&self) -> RetryBudget {
        self.deployment.retry_budget.unwrap_or(DEFAULT_BUDGET)
    }

    /// The time that a request is expected to run.
    pub(super) fn expected_run_time(&self, request: &RequestState) -> f64 {
        let class = request.incoming.class;
        let threads = self.deployment.classes[class].threads;
        request.work / threads * self.classes[class].pace()
    }

    /// When the last attempt begins that meets the request's latency objective.
    pub(super) fn last_start(&self, request: &RequestState) -> f64 {
        request.objective_at - self.expected_run_time(request)
    }

    /// After how long an attempt is overdue, even if the request outgrew its estimate as far as such requests do.
    pub(super) fn overdue_after(&self, request: &RequestState) -> f64 {
        let scatter = self.classes[request.incoming.class].work_fit.scatter;
        let growth = match request.incoming.estimated_work {
            Some(_) => scatter.mean_or(INITIAL_SCATTER).exp(),
            None => GROWTH_WITHOUT_ESTIMATE,
        };
        OVERDUE_OF_SHORTEST * self.shortest_objective
            + OVERDUE_RUNS * growth * self.expected_run_time(request)
    }

    /// The time-out of an attempt: so long that, should it pass unanswered, an attempt elsewhere may still come in time. Where
    /// the work goes on all the same, only an engine that does badly is not worth waiting for.
    pub(super) fn attempt_time_out(&self, now: f64, id: usize, engine: usize) -> Option<f64> {
        let request = &self.requests.open[&id];
        let success_rate = self.engines.states[engine].failures.success_rate();
        if !self.deployment.can_cancel && success_rate > MIN_SUCCESS_RATE {
            return None;
        }
        let class = request.incoming.class;
        let slowdown = (self.load.median_pace / self.classes[class].pace()).max(1.0);
        let run = self.expected_run_time(request) * slowdown;
        let to_objective = request.objective_at - now;
        // A request that locks its tables stands behind others that do, and would lose its place.
        let wait = if self.deployment.classes[class].locks_tables {
            let patient = LOCKING_TIME_OUT_FACTOR * self.overdue_after(request);
            patient.max(to_objective - LOCKING_RUNS_LEFT * run)
        } else {
            let least = MIN_TIME_OUT_RUNS * run + MIN_TIME_OUT_OF_SHORTEST * self.shortest_objective;
            least.max(TIME_OUT_OF_OBJECTIVE * to_objective)
        };
        let left = request.incoming.deadline - now;
        let may_follow = request.attempts.len() + 1 < self.deployment.max_attempts as usize;
        (wait + run < left && may_follow).then_some(wait)
    }

    /// An attempt takes too long, and its engine has answered nothing since: that counts against the engine, again and again
    /// while it lasts.
    pub(super) fn attempt_overdue(&mut self, now: f64, id: usize, number: usize, out: &mut dyn ActionWriter) {
        let Some(request) = self.requests.open.get_mut(&id) else { return };
        let attempt = &mut request.attempts[number];
        let Some(engine) = self.engines.states.get_mut(attempt.engine) else { return };
        if !attempt.in_flight || engine.last_answer_at >= attempt.sent_at {
            return;
        }
        engine.failures.add(request.incoming.class, AttemptEvidence::new(0.0, 1.0));
        self.engines.changed.push(attempt.engine);
        let is_hopeless = engine.failures.success_rate() < CANCEL_BELOW;
        let cancels = self.deployment.can_cancel && !request.done && !attempt.cancelled && is_hopeless;
        if cancels {
            attempt.cancelled = true;
            out.cancel(id, number as u32);
        }
        self.requests.schedule(now + OVERDUE_AGAIN, DueEvent::AttemptOverdue(id, number));
    }
}
