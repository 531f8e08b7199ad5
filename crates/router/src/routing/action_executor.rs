//! Carries out the actions of the decision core as it issues them. An attempt is checked first, and refused if it is
//! illegal.

use super::types::{Answer, AttemptId, Connections, Dispatch};
use super::RoutingState;
use crate::protocol::engine::EngineRequest;
use cleatgw::queue::WaitEstimate;
use cleatgw::{ActionWriter, AttemptOutcome, EngineStage};

/// Why an attempt is illegal.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
enum IllegalAttempt {
    /// The request is unknown or has its answer, or its deadline has passed.
    #[error("the request is not open or its deadline has passed")]
    RequestNotOpen,
    #[error("the request has an attempt in flight")]
    AttemptInFlight,
    #[error("the request has no attempts left")]
    NoAttemptsLeft,
    #[error("the engine is not ready")]
    EngineNotReady,
}

/// Carries out actions on the routing state and the connections.
pub struct ActionExecutor<'a> {
    pub state: &'a mut RoutingState,
    pub connections: &'a mut dyn Connections,
}

impl ActionExecutor<'_> {
    /// Sends the final answer to a request and cancels its attempts in flight.
    fn finish(&mut self, index: usize, answer: Answer) {
        for attempt in self.state.requests.attempts_in_flight(index) {
            self.state.cancel(attempt, AttemptOutcome::Cancelled, self.connections);
        }
        self.state.answer(index, answer, self.connections);
    }

    /// Checks that an attempt of this request may be sent to an engine in this stage.
    fn check(&self, index: usize, engine_stage: EngineStage) -> Result<(), IllegalAttempt> {
        let Some(request) = self.state.requests.get(index) else {
            return Err(IllegalAttempt::RequestNotOpen);
        };
        let deployment = &self.state.deployment;
        if !request.is_open() || request.deadline <= self.state.now {
            return Err(IllegalAttempt::RequestNotOpen);
        }
        if request.has_attempt_in_flight() && !deployment.allows_hedging {
            return Err(IllegalAttempt::AttemptInFlight);
        }
        if request.attempts.len() as u32 >= deployment.max_attempts.max(1) {
            return Err(IllegalAttempt::NoAttemptsLeft);
        }
        if engine_stage != EngineStage::Ready {
            return Err(IllegalAttempt::EngineNotReady);
        }
        Ok(())
    }
}

impl ActionWriter for ActionExecutor<'_> {
    fn set_priority_and_memory(&mut self, index: usize, lane: u8, memory_mb: f64) {
        let in_flight = self.state.requests.attempts_in_flight(index);
        let Some(request) = self.state.requests.get_mut(index) else { return };
        request.grant_mb = memory_mb;
        if std::mem::replace(&mut request.lane, lane) != lane {
            for attempt in in_flight {
                self.connections.change_lane(attempt, lane);
            }
        }
    }

    fn dispatch(&mut self, index: usize, engine_index: usize, time_out: Option<f64>, leave_by: f64) {
        let now = self.state.now;
        let (Some(request), Some(engine)) =
            (self.state.requests.get(index), self.state.engines.get(engine_index))
        else {
            log::error!(
                request = index, engine = engine_index;
                "attempt rejected by invariant check: unknown request or engine"
            );
            return;
        };
        let attempt = AttemptId { request: index, number: request.attempts.len() as u32 };
        let times_out_at = time_out.map_or(request.deadline, |wait| request.deadline.min(now + wait));
        let check_result = self.check(index, engine.listing.stage);
        match check_result {
            Ok(()) => {
                let statement = &request.statement;
                let idempotency_key = request.idempotency_key;
                self.connections.dispatch(Dispatch {
                    attempt,
                    engine: engine.number,
                    address: engine.address,
                    request: EngineRequest {
                        id: &statement.id,
                        class: &statement.class,
                        wait: times_out_at - now,
                        idempotency_key: statement.idempotency_key.as_deref(),
                        grant_mb: request.grant_mb,
                        lane: request.lane,
                        statement: &statement.text,
                    },
                    leave_by,
                });
                self.state.record_dispatch(attempt, idempotency_key);
            }
            Err(reason) => {
                log::error!(
                    request = index, engine = engine_index, reason:% = reason;
                    "attempt rejected by invariant check: {reason}"
                );
                self.state.ended_in_round.push((attempt, AttemptOutcome::NeverSent));
            }
        }
        let is_legal = check_result.is_ok();
        self.state.requests.add_attempt(attempt, engine_index, now, times_out_at, is_legal);
    }

    fn cancel(&mut self, index: usize, number: u32) {
        if self.state.deployment.can_cancel {
            let attempt = AttemptId { request: index, number };
            self.state.cancel(attempt, AttemptOutcome::Cancelled, self.connections);
        }
    }

    fn reject(&mut self, index: usize, retry_after: Option<f64>) {
        self.finish(index, Answer::Rejected { retry_after });
    }

    fn fail(&mut self, index: usize) {
        self.finish(index, Answer::Failed);
    }

    fn report_wait_estimate(&mut self, index: usize, wait: Option<WaitEstimate>) {
        let Some(request) = self.state.requests.get(index) else { return };
        let statement_id = request.statement.id.as_str();
        match wait {
            Some(WaitEstimate { expected, lower, upper, .. }) => {
                log::debug!(call = statement_id, wait = expected, from = lower, to = upper; "request {statement_id} is expected to wait {expected:.3} s");
            }
            None => {
                log::debug!(call = statement_id; "request {statement_id} waits; there is no estimate for how long")
            }
        }
    }

    /// The discovery service sends changes without being asked, so there is nothing to subscribe to or fetch.
    fn watch_engine_list(&mut self, _on: bool) {}
    fn fetch_engine_list(&mut self) {}

    /// The engine protocol has no probes. Routers exchange their observations of engines outside the decision core, see
    /// `Routing::observations`.
    fn probe(&mut self, _engine: usize) {}
    fn send_to_peers(&mut self, _peer: Option<usize>, _content: &[u8]) {}

    fn close_idle(&mut self, engine: usize) {
        if let Some(engine) = self.state.engines.get(engine) {
            self.connections.close_idle(engine.number);
        }
    }

    fn wake_at(&mut self, at: f64) {
        self.state.wake_at = at;
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
