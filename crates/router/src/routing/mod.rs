//! Routing: the engines, the requests and their attempts. In each turn, routing reports all events to the decision
//! core, runs one round of it, and carries out its actions. It decides nothing itself; it only checks that an action is
//! legal. Times are seconds on the Unix clock, see `WallClock` in the transport.

mod action_executor;
mod counters;
mod engine_registry;
mod history;
mod idempotency_records;
mod request_table;
mod state;
mod tenants;
pub mod types;

use crate::protocol::statement::{ParsedStatement, StatementError};
use action_executor::ActionExecutor;
use cleatgw::{
    AttemptEnd, AttemptOutcome, Deployment, EngineStage, Gateway, Idempotency, IncomingRequest, LoadReport,
};
use cleatgw_deployment_config::{name_hash, normalize_name, Names};
pub use counters::Counters;
use engine_registry::ListChange;
use request_table::Request;
use state::RoutingState;
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tenants::Tenants;
use types::outcome_of;
pub use types::{
    Answer, AttemptId, Connections, DeliveryFailure, Dispatch, EndedAttempt, RefusedStatement, Reply,
    SessionId, SessionStatement, TurnInput, TurnOutput,
};

/// A router's decision core and the state around it.
pub struct Routing {
    gateway: Gateway,
    names: Names,
    seed: u64,
    state: RoutingState,
    /// The sessions whose statements arrived in this turn and have not been reported to the decision core yet. If the
    /// core panics, they are answered as failed.
    unreported_sessions: VecDeque<SessionId>,
    /// Absent without a teams file.
    tenants: Option<Tenants>,
    /// The index of the next request.
    next_request: usize,
    /// When this router stops; infinite if no stop is planned.
    stops_at: f64,
    /// When this router began to drain.
    drain_began_at: Option<f64>,
}

impl Routing {
    pub fn new(deployment: Deployment, names: Names, seed: u64, now: f64) -> Routing {
        Routing {
            gateway: Gateway::new(deployment.clone(), seed, now),
            names,
            seed,
            state: RoutingState { now, wake_at: now, deployment, ..RoutingState::default() },
            unreported_sessions: VecDeque::new(),
            tenants: None,
            next_request: 0,
            stops_at: f64::INFINITY,
            drain_began_at: None,
        }
    }

    /// Whether a complete engine list has been received, so that requests can be served.
    pub fn is_ready(&self) -> bool {
        self.state.engines.has_complete_list()
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> usize {
        self.state.requests.open_count()
    }

    /// The number of engines that are ready and not ejected.
    pub fn usable_engines(&self) -> usize {
        self.gateway.usable_engines()
    }

    /// Updates and returns the counters.
    pub fn counters(&mut self) -> &mut Counters {
        let waits = &self.gateway.queue.waits;
        let counters = &mut self.state.counters;
        counters.waits_compared = waits.compared;
        counters.waits_within_a_fifth = waits.within_a_fifth;
        counters.waits_within_a_fifth_or_20_ms = waits.within_a_fifth_or_20_ms;
        counters.waits_unknown = waits.without_estimate;
        counters.open = self.state.requests.open_count() as u64;
        counters
    }

    /// Sets when this router stops. Later deadlines of requests are cut to that time.
    pub fn stop_at(&mut self, stops_at: f64) {
        self.stops_at = stops_at;
        self.gateway.stop_at(stops_at);
        self.state.requests.limit_deadlines(stops_at);
    }

    /// Starts to drain this router. Requests that arrive from the returned time on are not attempted.
    pub fn drain(&mut self, now: f64) -> f64 {
        self.drain_began_at = Some(now);
        self.gateway.drain(now)
    }

    /// Runs one turn: reports all events, runs one round of the decision core, and carries out its actions.
    pub fn turn(&mut self, now: f64, mut input: TurnInput, connections: &mut dyn Connections) -> TurnOutput {
        self.state.now = now;
        // The decision core may panic in this round. The engine lists and the sessions are recorded before, so that
        // neither is lost with it.
        let list_changes = self.apply_list_events(&mut input);
        self.unreported_sessions = input.statements.iter().map(|statement| statement.session).collect();
        let mut refused = Vec::new();
        let round = || self.round(list_changes, input, connections, &mut refused);
        if catch_unwind(AssertUnwindSafe(round)).is_err() {
            self.restart_decision_core(connections);
        }
        let wake_at = if self.state.ended_in_round.is_empty() {
            self.state.wake_at.min(self.state.requests.next_time_out_at())
        } else {
            now
        };
        TurnOutput { refused, wake_at }
    }

    fn apply_list_events(&mut self, input: &mut TurnInput) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for event in std::mem::take(&mut input.list_events) {
            let in_use = self.state.requests.engines_in_use();
            changes.extend(self.state.engines.apply(event, &mut self.names, &in_use));
        }
        changes
    }

    /// Reports all events to the decision core and runs one round.
    fn round(
        &mut self,
        list_changes: Vec<ListChange>,
        input: TurnInput,
        connections: &mut dyn Connections,
        refused: &mut Vec<RefusedStatement>,
    ) {
        for change in list_changes {
            self.gateway.engines_listed(self.state.now, &change.listings, change.is_complete);
            self.withdraw_unsent(connections);
        }
        for (attempt, outcome) in std::mem::take(&mut self.state.ended_in_round) {
            self.attempt_ended(attempt, outcome, None, connections);
        }
        for EndedAttempt { attempt, result } in input.ended_attempts {
            let outcome = outcome_of(&result);
            self.attempt_ended(attempt, outcome, result.ok(), connections);
        }
        while let Some(attempt) = self.state.requests.take_timed_out(self.state.now) {
            self.state.cancel(attempt, AttemptOutcome::TimedOut, connections);
        }
        for statement in input.statements {
            let session = statement.session;
            if let Err(error) = self.receive(statement, input.received_since) {
                self.unreported_sessions.pop_front();
                refused.push(RefusedStatement { session, error });
            }
        }
        for session in input.withdrawn {
            self.withdraw(session, connections);
        }
        let now = self.state.now;
        let mut executor = ActionExecutor { state: &mut self.state, connections };
        self.gateway.round(now, &mut executor);
    }

    /// Withdraws the attempts that still wait for a connection to an engine which accepts no new requests.
    fn withdraw_unsent(&self, connections: &mut dyn Connections) {
        for engine in self.state.engines.iter() {
            if engine.listing.stage != EngineStage::Ready {
                connections.withdraw_unsent(engine.number);
            }
        }
    }

    /// Accepts a statement as a request and reports it to the decision core. `received_since` is the earliest time at
    /// which the statement can have arrived, if that is well before now.
    ///
    /// # Errors
    /// An unknown class or tenant, an id that an open request has, or no idempotency key although the class requires
    /// one.
    fn receive(
        &mut self,
        received: SessionStatement,
        received_since: Option<f64>,
    ) -> Result<(), StatementError> {
        let SessionStatement { session, statement, memory } = received;
        let class = self.class_of(&statement)?;
        self.check_tenant(&statement)?;
        // Of two requests with the same id, the first gets the answer.
        if self.state.requests.is_id_in_use(&statement.id) {
            return Err(StatementError::IdInUse { id: statement.id });
        }
        let idempotency_key = self.idempotency_key(class, &statement)?;
        let earlier_attempt_at = self.earlier_attempt_at(idempotency_key);
        let now = self.state.now;
        let received_at = received_since.unwrap_or(now);
        let configured = &self.state.deployment.classes[class];
        // A time to live above the class's maximum is cut to the maximum. The decision core learns the longest one of
        // each class and counts requests with less time left as older, so usual requests would count as far too old.
        let gives_up_at = received_at + statement.time_to_live.min(configured.max_wait);
        let objective_at = received_at + configured.objective_for(statement.work.unwrap_or(0.0));
        let incoming = IncomingRequest {
            class,
            key: None,
            // The decision core only compares table groups. As in the simulator's adapter, the bits of a floating-point
            // number stand for the group.
            table_group: statement.table_group.map_or(0, |group| (group as f64).to_bits()),
            estimated_work: statement.work,
            estimated_memory_mb: statement.memory_mb,
            deadline: gives_up_at,
            tenant: self.tenant_of(&statement),
            earlier_attempt_at,
        };
        let index = self.next_request;
        self.next_request += 1;
        let deadline = gives_up_at.min(self.stops_at);
        let request = Request::new(statement, session, deadline, objective_at, idempotency_key, memory);
        self.state.requests.insert(index, request);
        self.state.counters.taken += 1;
        // From here on the request is in the table, where `fail_all` finds it if the decision core panics.
        self.unreported_sessions.pop_front();
        self.gateway.request_received(now, index, incoming);
        Ok(())
    }

    fn class_of(&self, statement: &ParsedStatement) -> Result<usize, StatementError> {
        let name = normalize_name(&statement.class);
        let class = self.names.classes.iter().position(|known| *known == name);
        class.ok_or_else(|| StatementError::unknown_class(name, &self.names.classes))
    }

    /// Refuses a statement with the name of an unknown tenant if the deployment names its tenants: the engines would
    /// fail it.
    fn check_tenant(&self, statement: &ParsedStatement) -> Result<(), StatementError> {
        let known = &self.names.tenants;
        match statement.tenant.as_deref().map(normalize_name) {
            Some(name) if !known.is_empty() && !known.contains(&name) => {
                Err(StatementError::unknown_tenant(name, known))
            }
            _ => Ok(()),
        }
    }

    fn tenant_of(&self, statement: &ParsedStatement) -> usize {
        self.tenants.as_ref().map_or(0, |tenants| tenants.names.index_of(statement.tenant.as_deref()))
    }

    /// The hash of the statement's idempotency key. A deduplicated class requires a key; for any other class the result
    /// is `None`.
    fn idempotency_key(
        &self,
        class: usize,
        statement: &ParsedStatement,
    ) -> Result<Option<u64>, StatementError> {
        let idempotency = self.state.deployment.classes[class].idempotency;
        if !matches!(idempotency, Idempotency::Deduplicated { .. }) {
            return Ok(None);
        }
        match &statement.idempotency_key {
            Some(key) => Ok(Some(name_hash(key))),
            None => Err(StatementError::MissingIdempotencyKey { class: normalize_name(&statement.class) }),
        }
    }

    /// When a request with this key was first attempted. `None` if there is no record of that, or if the record is too
    /// old to matter.
    fn earlier_attempt_at(&mut self, idempotency_key: Option<u64>) -> Option<f64> {
        let first_attempt_at = self.state.records.as_ref()?.first_attempt(idempotency_key?)?;
        let still_counts = self.state.now - first_attempt_at < self.look_back().idempotency_records();
        self.state.counters.idempotency_records_matched += u64::from(still_counts);
        still_counts.then_some(first_attempt_at)
    }

    /// Records the end of an attempt, answers the request if the attempt brought its result, and reports the end to the
    /// decision core. The end of an attempt that is not in flight is ignored.
    fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        reply: Option<Reply>,
        connections: &mut dyn Connections,
    ) {
        let Some(ended) = self.state.close_attempt(attempt, outcome) else {
            self.state.counters.answers_dropped += u64::from(reply.is_some());
            return;
        };
        let mut measured_cost = None;
        let mut elapsed = ended.elapsed;
        if let Some(Reply::Completed { rows, measured, memory_wait }) = reply {
            measured_cost = measured;
            // A wait for memory of this router must not make the engine look slow.
            elapsed = (elapsed - memory_wait).max(0.0);
            self.state.answer(attempt.request, Answer::Completed(rows), connections);
        }
        let request = self.state.requests.get(attempt.request);
        let end = AttemptEnd {
            request: attempt.request,
            engine: ended.engine,
            outcome: ended.outcome,
            request_done: request.is_none_or(|request| !request.is_open()),
            elapsed,
            measured: measured_cost,
            load: LoadReport::default(),
        };
        self.gateway.attempt_ended(self.state.now, &end);
        self.state.requests.remove_if_done(attempt.request);
    }

    /// Ends the open request of a session whose client has withdrawn it, and cancels its attempts in flight.
    fn withdraw(&mut self, session: SessionId, connections: &mut dyn Connections) {
        let Some(request) = self.state.requests.open_in_session(session) else { return };
        let in_flight = self.state.requests.attempts_in_flight(request);
        self.state.answer(request, Answer::Withdrawn, connections);
        self.gateway.request_finished(request);
        for attempt in in_flight {
            self.state.cancel(attempt, AttemptOutcome::Cancelled, connections);
        }
    }

    /// Replaces the decision core after a panic. All open requests fail. The new core gets the engine list, the teams
    /// file, and the planned stop or drain, and has no record of former requests.
    fn restart_decision_core(&mut self, connections: &mut dyn Connections) {
        let open = self.open_requests();
        log::error!(requests = open; "the decision core panicked: failing {open} open requests and restarting the core");
        self.fail_all(connections);
        self.state.counters.module_panics += 1;
        self.state.ended_in_round.clear();
        self.state.requests = request_table::RequestTable::default();
        let now = self.state.now;
        // The new core must not draw the random numbers of the former one again.
        self.seed = self.seed.wrapping_add(1);
        self.gateway = Gateway::new(self.state.deployment.clone(), self.seed, now);
        // The attempts sent before still count towards the limits, but the new core has no record of them.
        self.gateway.assume_lost_history(now);
        self.gateway.stop_at(self.stops_at);
        if let Some(began_at) = self.drain_began_at {
            self.gateway.drain(began_at);
        }
        if let Some(tenants) = &self.tenants {
            let (queue, _) = tenants.file.tenant_queue(now, &self.names.classes);
            // No requests have to be moved to the new queues, because the new core has none.
            self.gateway.set_tenants(now, queue, &|_| 0);
        }
        self.gateway.engines_listed(now, &self.state.engines.listings(), true);
        self.state.wake_at = now;
    }

    /// Fails every open request, cancels and ends every attempt in flight, and fails the statements that were not
    /// reported to the decision core.
    fn fail_all(&mut self, connections: &mut dyn Connections) {
        for index in self.state.requests.indices() {
            for attempt in self.state.requests.attempts_in_flight(index) {
                self.state.cancel(attempt, AttemptOutcome::Cancelled, connections);
                self.state.close_attempt(attempt, AttemptOutcome::ConnectionLost);
            }
            self.state.answer(index, Answer::Failed, connections);
        }
        for session in std::mem::take(&mut self.unreported_sessions) {
            self.state.counters.taken += 1;
            self.state.counters.failed += 1;
            connections.answer(session, Answer::Failed);
        }
    }
}

#[cfg(test)]
mod tests;
