//! Retries: the time-out of an attempt, the handling of overdue attempts, and the retry budget.

use super::outlier_detection::{AttemptEvidence, MIN_SUCCESS_RATE};
use super::Gateway;
use crate::request_state::{DueEvent, RequestState};
use crate::{ActionWriter, RetryBudget};
use std::collections::VecDeque;

/// The budget if none is configured. It keeps the gateway's own retries from prolonging an overload.
const DEFAULT_BUDGET: RetryBudget = RetryBudget { base: 10.0, per_request: 0.2, window: 10.0 };
/// A time-out is at least this many expected run times plus this fraction of the shortest latency objective, and at
/// least this fraction of the time left until the request's own objective.
const MIN_TIME_OUT_RUN_TIMES: f64 = 2.8;
const MIN_TIME_OUT_SHARE_OF_SHORTEST_OBJECTIVE: f64 = 0.1;
const TIME_OUT_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// An attempt of a request that locks its tables times out after this many times its overdue time, or when this many
/// expected run times are left until its objective, whichever is later.
const LOCKING_TIME_OUT_FACTOR: f64 = 2.0;
const LOCKING_RUN_TIMES_LEFT: f64 = 1.5;
/// An attempt is overdue after this fraction of the shortest latency objective plus this many expected run times, the
/// latter multiplied by the factor by which the request may exceed its estimate.
const OVERDUE_SHARE_OF_SHORTEST_OBJECTIVE: f64 = 0.5;
const OVERDUE_RUN_TIMES: f64 = 2.0;
/// The factor by which a request without an estimate is assumed to exceed the mean of its class.
const EXCESS_WITHOUT_ESTIMATE: f64 = 2.0;
/// The logarithm of the factor by which a request is assumed to exceed its estimate until the scatter is known.
const INITIAL_SCATTER: f64 = 0.5;
/// The interval at which an overdue attempt counts against its engine again, in seconds.
const OVERDUE_INTERVAL: f64 = 2.0;
/// An overdue attempt is cancelled if its engine's success rate is below this.
const CANCEL_BELOW_SUCCESS_RATE: f64 = 0.5;

/// The times of this gateway's recent retries, and of the requests that it received, oldest first.
#[derive(Default)]
pub(super) struct RetryHistory {
    pub made_at: VecDeque<f64>,
    pub received_at: VecDeque<f64>,
    /// How many more retries may be made while the persisted record of retries lags behind; absent if there is no such
    /// limit.
    pub unpersisted_allowance: Option<u32>,
}

impl RetryHistory {
    /// Whether one more retry is within the budget.
    pub fn has_budget(&self, budget: &RetryBudget, now: f64) -> bool {
        let window_start = now - budget.window;
        let made = self.made_at.len() - self.made_at.partition_point(|&at| at < window_start);
        let received = self.received_at.len() - self.received_at.partition_point(|&at| at <= window_start);
        self.unpersisted_allowance != Some(0)
            && made as f64 + 1.0 <= budget.base + budget.per_request * received as f64
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: f64) {
        self.made_at.push_back(now);
        if let Some(allowance) = &mut self.unpersisted_allowance {
            *allowance = allowance.saturating_sub(1);
        }
    }

    /// Removes the entries from before a time.
    pub fn remove_before(&mut self, start: f64) {
        for times in [&mut self.received_at, &mut self.made_at] {
            let old = times.partition_point(|&at| at < start);
            times.drain(..old);
        }
    }
}

impl Gateway {
    /// The configured retry budget, or the default.
    pub fn retry_budget(&self) -> RetryBudget {
        self.deployment.retry_budget.unwrap_or(DEFAULT_BUDGET)
    }

    /// The expected run time of a request, in seconds.
    pub(super) fn expected_run_time(&self, request: &RequestState) -> f64 {
        let class = request.incoming.class;
        let threads = self.deployment.classes[class].threads;
        request.work / threads * self.classes[class].pace()
    }

    /// The latest start of an attempt that still meets the request's latency objective.
    pub(super) fn last_start(&self, request: &RequestState) -> f64 {
        request.objective_at - self.expected_run_time(request)
    }

    /// How long an attempt may run before it is overdue, in seconds. This allows for the request exceeding its estimate
    /// by as much as requests of its class usually do.
    pub(super) fn overdue_after(&self, request: &RequestState) -> f64 {
        let scatter = self.classes[request.incoming.class].work_fit.scatter;
        let excess = match request.incoming.estimated_work {
            Some(_) => scatter.mean_or(INITIAL_SCATTER).exp(),
            None => EXCESS_WITHOUT_ESTIMATE,
        };
        OVERDUE_SHARE_OF_SHORTEST_OBJECTIVE * self.shortest_objective
            + OVERDUE_RUN_TIMES * excess * self.expected_run_time(request)
    }

    /// The time-out of an attempt, in seconds: if it passes, there must be time for an attempt on another engine.
    /// Absent if there would not be, or if no further attempt is allowed. If attempts cannot be cancelled, the work
    /// continues after a time-out, so only attempts on engines with a low success rate get one.
    pub(super) fn attempt_time_out(&self, now: f64, id: usize, engine: usize) -> Option<f64> {
        let request = &self.requests.open[&id];
        let success_rate = self.engines.states[engine].reliability.success_rate();
        if !self.deployment.can_cancel && success_rate > MIN_SUCCESS_RATE {
            return None;
        }
        let class = request.incoming.class;
        let slowdown = (self.load.median_pace / self.classes[class].pace()).max(1.0);
        let run_time = self.expected_run_time(request) * slowdown;
        let to_objective = request.objective_at - now;
        // A request that locks its tables may wait in its engine's queue for the lock; a time-out would lose its place
        // there.
        let time_out = if self.deployment.classes[class].locks_tables {
            let min_time_out = LOCKING_TIME_OUT_FACTOR * self.overdue_after(request);
            min_time_out.max(to_objective - LOCKING_RUN_TIMES_LEFT * run_time)
        } else {
            let min_time_out = MIN_TIME_OUT_RUN_TIMES * run_time
                + MIN_TIME_OUT_SHARE_OF_SHORTEST_OBJECTIVE * self.shortest_objective;
            min_time_out.max(TIME_OUT_SHARE_OF_OBJECTIVE * to_objective)
        };
        let to_deadline = request.incoming.deadline - now;
        let allows_another = request.attempts.len() + 1 < self.deployment.max_attempts as usize;
        (time_out + run_time < to_deadline && allows_another).then_some(time_out)
    }

    /// Handles an attempt that takes too long. If its engine has answered nothing since the attempt was sent, this
    /// counts as a failure of the engine, repeatedly for as long as the attempt stays in flight and the engine silent.
    /// If the engine's success rate is low, the attempt is cancelled where that is possible.
    pub(super) fn attempt_overdue(&mut self, now: f64, id: usize, number: usize, out: &mut dyn ActionWriter) {
        let Some(request) = self.requests.open.get_mut(&id) else { return };
        let attempt = &mut request.attempts[number];
        let Some(engine) = self.engines.states.get_mut(attempt.engine) else { return };
        if !attempt.in_flight || engine.last_answer_at >= attempt.sent_at {
            return;
        }
        engine.reliability.add(request.incoming.class, AttemptEvidence::new(0.0, 1.0));
        self.engines.changed.push(attempt.engine);
        let is_failing = engine.reliability.success_rate() < CANCEL_BELOW_SUCCESS_RATE;
        let must_cancel = self.deployment.can_cancel && !request.done && !attempt.cancelled && is_failing;
        if must_cancel {
            attempt.cancelled = true;
            out.cancel(id, number as u32);
        }
        self.requests.schedule(now + OVERDUE_INTERVAL, DueEvent::AttemptOverdue(id, number));
    }
}
