//! Control state: engines, requests and attempts, and a turn that hands all events to the decisions and carries out what
//! these write. It decides nothing; it only checks that what it does is legal.

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

/// The control state of a router.
pub struct Routing {
    gateway: Gateway,
    names: Names,
    seed: u64,
    state: RoutingState,
    /// Sessions whose statements came in this turn, and were not handed to the decisions yet.
    unreceived: VecDeque<SessionId>,
    tenants: Option<Tenants>,
    next_request: usize,
    stops_at: f64,
    /// When the drain of this router began.
    drained_at: Option<f64>,
}

impl Routing {
    pub fn new(deployment: Deployment, names: Names, seed: u64, now: f64) -> Routing {
        Routing {
            gateway: Gateway::new(deployment.clone(), seed, now),
            names,
            seed,
            state: RoutingState { now, wake_at: now, deployment, ..RoutingState::default() },
            unreceived: VecDeque::new(),
            tenants: None,
            next_request: 0,
            stops_at: f64::INFINITY,
            drained_at: None,
        }
    }

    /// Engines are known: requests can be served.
    pub fn is_ready(&self) -> bool {
        self.state.engines.has_complete_list()
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.state.requests.open_count()
    }

    /// Engines that are ready and not ejected.
    pub fn usable_engines(&self) -> usize {
        self.gateway.usable_engines()
    }

    /// All counters, up to date.
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

    /// This router ends then: no request has longer.
    pub fn stop_at(&mut self, at: f64) {
        self.stops_at = at;
        self.gateway.stop_at(at);
        self.state.requests.limit_deadlines(at);
    }

    /// This router drains; returns until when it takes new requests.
    pub fn drain(&mut self, now: f64) -> f64 {
        self.drained_at = Some(now);
        self.gateway.drain(now)
    }

    /// One turn: all events in, one round, and what was decided carried out.
    pub fn turn(&mut self, now: f64, mut input: TurnInput, connections: &mut dyn Connections) -> TurnOutput {
        self.state.now = now;
        // What the decisions may fail over is noted first, so that no list and no client is forgotten with them.
        let list_changes = self.note_lists(&mut input);
        self.unreceived = input.statements.iter().map(|asked| asked.session).collect();
        let mut refused = Vec::new();
        let round = || self.round(list_changes, input, connections, &mut refused);
        if catch_unwind(AssertUnwindSafe(round)).is_err() {
            self.restart_decisions(connections);
        }
        let wake_at = if self.state.ended_in_round.is_empty() {
            self.state.wake_at.min(self.state.requests.next_time_out())
        } else {
            now
        };
        TurnOutput { refused, wake_at }
    }

    fn note_lists(&mut self, input: &mut TurnInput) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for event in std::mem::take(&mut input.list_events) {
            let in_use = self.state.requests.engines_in_use();
            changes.extend(self.state.engines.note(event, &mut self.names, &in_use));
        }
        changes
    }

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
        while let Some(attempt) = self.state.requests.next_timed_out(self.state.now) {
            self.state.cancel(attempt, AttemptOutcome::TimedOut, connections);
        }
        for SessionStatement { session, statement } in input.statements {
            if let Err(error) = self.receive(session, statement, input.received_since) {
                self.unreceived.pop_front();
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

    /// What still waits for connections to engines that take nothing new does not leave.
    fn withdraw_unsent(&self, connections: &mut dyn Connections) {
        for engine in self.state.engines.iter() {
            if engine.listing.stage != EngineStage::Ready {
                connections.withdraw_unsent(engine.number);
            }
        }
    }

    /// Takes a statement as a request. `received_since` is when it can have come at the earliest.
    fn receive(
        &mut self,
        session: SessionId,
        statement: ParsedStatement,
        received_since: Option<f64>,
    ) -> Result<(), StatementError> {
        let class = self.class_of(&statement)?;
        self.check_tenant(&statement)?;
        // The first request under an id has the one answer.
        if self.state.requests.is_id_in_use(&statement.id) {
            return Err(StatementError::IdInUse { id: statement.id });
        }
        let idempotency_key = self.idempotency_key(class, &statement)?;
        let earlier_attempt_at = self.earlier_attempt(idempotency_key);
        let now = self.state.now;
        let asked_at = received_since.unwrap_or(now);
        let configured = &self.state.deployment.classes[class];
        // No client is to wait for longer, whatever it says: what is learned of usual ones would be upset.
        let gives_up_at = asked_at + statement.time_to_live.min(configured.max_wait);
        let objective_at = asked_at + configured.objective_for(statement.work.unwrap_or(0.0));
        let incoming = IncomingRequest {
            class,
            key: None,
            table_group: statement.table_group.map_or(0, |group| (group as f64).to_bits()),
            estimated_work: statement.work,
            estimated_memory_mb: statement.memory_mb,
            deadline: gives_up_at,
            tenant: self.tenant_of(&statement),
            earlier_attempt_at,
        };
        let id = self.next_request;
        self.next_request += 1;
        let deadline = gives_up_at.min(self.stops_at);
        let request = Request::new(statement, session, deadline, objective_at, idempotency_key);
        self.state.requests.insert(id, request);
        self.state.counters.taken += 1;
        self.unreceived.pop_front();
        self.gateway.request_received(now, id, incoming);
        Ok(())
    }

    fn class_of(&self, statement: &ParsedStatement) -> Result<usize, StatementError> {
        let name = normalize_name(&statement.class);
        let known = self.names.classes.iter().position(|known| *known == name);
        known.ok_or_else(|| StatementError::unknown_class(name, &self.names.classes))
    }

    /// Where there are tenants, engines fail what comes from none of them.
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

    /// The hash of the statement's idempotency key, which its class may ask for.
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

    /// When a request with this key was first attempted, as far as that still counts.
    fn earlier_attempt(&mut self, idempotency_key: Option<u64>) -> Option<f64> {
        let earlier = self.state.records.as_ref()?.first_attempt(idempotency_key?)?;
        let counts = self.state.now - earlier < self.look_back().idempotency_records();
        self.state.counters.idempotency_records_matched += u64::from(counts);
        counts.then_some(earlier)
    }

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
        if let Some(Reply::Completed { rows, measured }) = reply {
            measured_cost = measured;
            self.state.answer(attempt.request, Answer::Completed(rows), connections);
        }
        let request = self.state.requests.get(attempt.request);
        let end = AttemptEnd {
            request: attempt.request,
            engine: ended.engine,
            outcome: ended.outcome,
            request_done: request.is_none_or(|request| !request.is_open()),
            elapsed: ended.elapsed,
            measured: measured_cost,
            load: LoadReport::default(),
        };
        self.gateway.attempt_ended(self.state.now, &end);
        self.state.requests.forget_if_done(attempt.request);
    }

    /// A client has given its request up, and so are its attempts in flight.
    fn withdraw(&mut self, session: SessionId, connections: &mut dyn Connections) {
        let Some(request) = self.state.requests.of_session(session) else { return };
        let in_flight = self.state.requests.attempts_in_flight(request);
        self.state.answer(request, Answer::Withdrawn, connections);
        self.gateway.request_finished(request);
        for attempt in in_flight {
            self.state.cancel(attempt, AttemptOutcome::Cancelled, connections);
        }
    }

    /// The decisions have failed: what is open fails, and they start anew from the list alone.
    fn restart_decisions(&mut self, connections: &mut dyn Connections) {
        let open = self.open_requests();
        log::error!(requests = open; "the decisions failed: {open} open requests fail, the gateway starts anew");
        self.fail_all(connections);
        self.state.counters.module_panics += 1;
        self.state.ended_in_round.clear();
        self.state.requests = request_table::RequestTable::default();
        let now = self.state.now;
        self.seed = self.seed.wrapping_add(1);
        self.gateway = Gateway::new(self.state.deployment.clone(), self.seed, now);
        // What it sent before still counts, and it does not know it.
        self.gateway.assume_lost_history(now);
        self.gateway.stop_at(self.stops_at);
        if let Some(began) = self.drained_at {
            self.gateway.drain(began);
        }
        if let Some(tenants) = &self.tenants {
            let (queue, _) = tenants.file.tenant_queue(now, &self.names.classes);
            self.gateway.set_tenants(now, queue, &|_| 0);
        }
        self.gateway.engines_listed(now, &self.state.engines.listings(), true);
        self.state.wake_at = now;
    }

    /// Every request that is open fails, and every attempt in flight ends.
    fn fail_all(&mut self, connections: &mut dyn Connections) {
        for id in self.state.requests.ids() {
            for attempt in self.state.requests.attempts_in_flight(id) {
                self.state.cancel(attempt, AttemptOutcome::Cancelled, connections);
                self.state.close_attempt(attempt, AttemptOutcome::ConnectionLost);
            }
            self.state.answer(id, Answer::Failed, connections);
        }
        for session in std::mem::take(&mut self.unreceived) {
            self.state.counters.taken += 1;
            self.state.counters.failed += 1;
            connections.answer(session, Answer::Failed);
        }
    }
}

#[cfg(test)]
mod tests;
