//! The gateway: its state, the handling of events, and the round that calls the other modules. The rules and decisions
//! themselves are in the other modules.

use super::cost_model::ClassModel;
use super::engine_state::EngineTable;
use super::grant_threshold::GrantThreshold;
use super::load_shedding::LoadShedding;
use super::peer_load::LoadEstimates;
use super::retry::RetryHistory;
use super::TICK;
use crate::engine_index::ClassIndex;
use crate::request_state::{DueEvent, RequestState, RequestTable};
use crate::statistics::RandomDraws;
use crate::{
    ActionWriter, AttemptStatus, Deployment, EngineEvidence, EngineListing, EngineStage, IncomingRequest,
};
use cleatgw_tenant_queue::TenantQueue;

/// How long new requests are still accepted after a drain began, in seconds. Within one second of its start a drain is
/// to refuse new requests; this is less, to allow for a slow round of the host.
const ACCEPTS_WHILE_DRAINING: f64 = 0.95;
/// How long after a failure the engine list is requested again, in seconds.
const LIST_RETRY_DELAY: f64 = 1.0;
/// The upper bound, in seconds, of the shortest latency objective. That objective scales the allowance for delays other
/// than the run time, in time-outs and in the time after which an attempt is overdue.
const MAX_SHORTEST_OBJECTIVE: f64 = 0.8;
/// A round stops placing requests after this many have found no engine.
const MAX_FAILED_PLACEMENTS: usize = 12;
/// The expected work of a request before any work is known, in seconds of one core.
const INITIAL_WORK: f64 = 1.0;
/// The minimum work by which a value is divided to get a value density.
const MIN_WORK: f64 = 1e-3;

/// The state of this gateway instance as a whole.
pub(super) struct Lifecycle {
    /// When this instance started without a record of what it had sent before; 0 if it has one.
    pub history_lost_at: f64,
    /// When this instance stops. No request's deadline is later.
    stops_at: f64,
    /// Requests received from then on are rejected immediately, because this instance drains.
    accepts_until: f64,
    /// When to ask the host to watch the engine list; absent if there is no need.
    watch_list_at: Option<f64>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            history_lost_at: 0.0,
            stops_at: f64::INFINITY,
            accepts_until: f64::INFINITY,
            watch_list_at: None,
        }
    }
}

/// The state of one round.
#[derive(Default)]
pub(super) struct RoundState {
    /// Requests that were queued since the last round.
    pub received: Vec<usize>,
    /// Queued requests whose attempt has ended since the last round.
    pub ended: Vec<usize>,
    /// With tenants: a request that was offered earlier in this round found no engine. Light requests of other tenants
    /// must not use up the capacity that a heavy request waits for.
    pub earlier_request_unplaced: bool,
}

/// The decision core of one gateway.
#[derive(Default)]
pub struct Gateway {
    pub(super) deployment: Deployment,
    /// The shortest latency objective of all classes, in seconds, at most [`MAX_SHORTEST_OBJECTIVE`]. It scales the
    /// allowance for delays other than the run time, because deployments differ in their time scales.
    pub(super) shortest_objective: f64,
    pub(super) random: RandomDraws,
    pub(super) threshold: GrantThreshold,
    pub(super) classes: Vec<ClassModel>,
    pub(super) engines: EngineTable,
    pub(super) requests: RequestTable,
    /// The queued requests by tenant.
    pub queue: TenantQueue,
    pub(super) retries: RetryHistory,
    pub(super) load: LoadEstimates,
    pub(super) lifecycle: Lifecycle,
    pub(super) round: RoundState,
    pub(super) shedding: LoadShedding,
    pub(super) next_tick: f64,
    /// When the host was last asked for a round.
    wakes_at: Option<f64>,
    /// Log lines that are written at the end of the round.
    pub(super) log: Vec<String>,
}

impl Gateway {
    /// Creates a gateway for this deployment. `seed` is the seed of its pseudo-random sequence.
    pub fn new(deployment: Deployment, seed: u64, now: f64) -> Gateway {
        let objectives = deployment.classes.iter().map(|class| class.latency_objective);
        let class_indices = vec![ClassIndex::default(); deployment.classes.len()];
        Gateway {
            shortest_objective: objectives.fold(MAX_SHORTEST_OBJECTIVE, f64::min),
            classes: vec![ClassModel::default(); deployment.classes.len()],
            engines: EngineTable { by_class: class_indices, ..EngineTable::default() },
            lifecycle: Lifecycle {
                watch_list_at: deployment.max_list_age.map(|_| now),
                ..Lifecycle::default()
            },
            random: RandomDraws { seed, draws: 0 },
            next_tick: now + TICK,
            deployment,
            ..Gateway::default()
        }
    }

    /// Handles an engine list from discovery: all engines (`is_complete`), or those that changed.
    pub fn engines_listed(&mut self, now: f64, listings: &[EngineListing], is_complete: bool) {
        if is_complete {
            for engine in &mut self.engines.states {
                engine.listing.stage = EngineStage::Gone;
            }
        }
        for &listing in listings {
            let engine = self.engines.get_or_add(listing.engine);
            if engine.is_superseded_by(&listing) {
                let kind = self.deployment.engine_kinds.get(listing.kind);
                engine.restart(&listing, kind, self.deployment.gateways, now);
            }
            engine.listing = listing;
        }
        if is_complete {
            for engine in 0..self.engines.states.len() {
                self.engines.update_order(engine);
            }
        } else {
            for listing in listings {
                self.engines.update_order(listing.engine);
            }
        }
    }

    /// Handles a failure to get the engine list. The old list remains in use, and the list is requested again after a
    /// delay.
    pub fn engine_list_failed(&mut self, now: f64) {
        self.lifecycle.watch_list_at = self.deployment.max_list_age.map(|_| now + LIST_RETRY_DELAY);
        let known = self.engines.states.len();
        self.log.push(format!("engine list unavailable: keeping the {known} engines known so far"));
    }

    /// Handles a request that was received.
    pub fn request_received(&mut self, now: f64, id: usize, mut incoming: IncomingRequest) {
        self.retries.received_at.push_back(now);
        let class = &self.deployment.classes[incoming.class];
        // A key is kept only if the class runs requests with the same key in order.
        incoming.key = incoming.key.filter(|_| class.in_key_order);
        let max_headroom = self.max_headroom();
        let model = &mut self.classes[incoming.class];
        let work = model.work_fit.expected(incoming.estimated_work, model.work.mean_or(INITIAL_WORK));
        let need = model.memory_fit.expected(incoming.estimated_memory_mb, model.memory.mean_or(0.0));
        let memory = need * model.memory_fit.headroom(max_headroom);
        // The mean work includes requests that never run. Without them it would be too low, because the heavy requests
        // are rejected first.
        let weight = f64::from(u8::from(incoming.estimated_work.is_some()));
        model.record_work(work, weight);
        // A request with less time left than others of its class arrived late, or its client has tried before.
        let lead = incoming.deadline - now;
        model.longest_lead = model.longest_lead.max(lead);
        let age = model.longest_lead - lead;
        let value_density = class.value / work.max(MIN_WORK);
        let request = RequestState {
            incoming,
            work,
            memory,
            value_density,
            objective_at: now - age + class.objective_for(work),
            received_at: now,
            ..RequestState::default()
        };
        self.load.record_request(value_density, incoming.table_group, work);
        if let Some(key) = incoming.key {
            self.requests.keys.entry(key).or_default().requests.push_back(id);
        }
        self.requests.open.insert(id, request);
        // During a drain, a request that arrives too late is never queued, so that it is never attempted.
        if now >= self.lifecycle.accepts_until {
            self.requests.schedule(now, DueEvent::Deadline(id));
        } else {
            self.enqueue(now, id);
            self.round.received.push(id);
        }
        self.schedule_retry_window_end(id);
        self.limit_deadline(id, self.lifecycle.stops_at);
    }

    /// Replaces the tenants' queues. Open requests move to the tenant that `tenant_of` returns for their index.
    pub fn set_tenants(&mut self, now: f64, queue: TenantQueue, tenant_of: &dyn Fn(usize) -> usize) {
        let previous = std::mem::replace(&mut self.queue, queue);
        let queued: Vec<usize> =
            self.requests.open.keys().copied().filter(|id| previous.contains(*id)).collect();
        for (id, request) in &mut self.requests.open {
            request.incoming.tenant = tenant_of(*id);
            for _ in request.attempts.iter().filter(|attempt| attempt.in_flight) {
                self.queue.count_attempt_in_flight(request.incoming.tenant);
            }
        }
        for id in queued {
            self.enqueue(now, id);
        }
    }

    /// Sets the recent evidence of all peers on an engine, in which each peer counts for at most one attempt.
    pub fn peer_evidence_received(&mut self, index: usize, evidence: EngineEvidence) {
        let Some(engine) = self.engines.states.get_mut(index) else { return };
        engine.reliability.set_peers(evidence.successes, evidence.failures);
        engine.peers_slow_start_work = evidence.slow_start_work;
        self.engines.changed.push(index);
    }

    /// This gateway's recent evidence on an engine, for its peers; none if the engine is unknown.
    pub fn evidence(&self, index: usize, now: f64) -> Option<EngineEvidence> {
        let engine = self.engines.states.get(index)?;
        let window = self.deployment.slow_start.window;
        let own = engine.reliability.own;
        Some(EngineEvidence {
            successes: own.sum,
            failures: own.weight - own.sum,
            slow_start_work: if engine.in_slow_start {
                engine.slow_start_work.sum_after(now - window)
            } else {
                0.0
            },
        })
    }

    /// Starts to drain this instance. Requests received from the returned time on are not attempted.
    pub fn drain(&mut self, now: f64) -> f64 {
        let accepts_until = &mut self.lifecycle.accepts_until;
        *accepts_until = accepts_until.min(now + ACCEPTS_WHILE_DRAINING);
        *accepts_until
    }

    /// The number of engines that are ready and not ejected.
    pub fn usable_engines(&self) -> usize {
        self.engines.ready().filter(|engine| !engine.reliability.ejected).count()
    }

    /// Sets when this instance stops. Requests with a later deadline get this time as their deadline.
    pub fn stop_at(&mut self, stops_at: f64) {
        self.lifecycle.stops_at = stops_at;
        let open: Vec<usize> = self.requests.open.keys().copied().collect();
        for id in open {
            self.limit_deadline(id, stops_at);
        }
    }

    /// Limits the request's deadline and latency objective to a time, and schedules its events.
    fn limit_deadline(&mut self, id: usize, until: f64) {
        let request = self.requests.get_mut(id);
        request.incoming.deadline = request.incoming.deadline.min(until);
        request.objective_at = request.objective_at.min(until);
        let deadline = request.incoming.deadline;
        let last_start = self.last_start(&self.requests.open[&id]);
        self.requests.schedule(deadline, DueEvent::Deadline(id));
        self.requests.schedule(last_start, DueEvent::LastStart(id));
    }

    /// Handles an engine's message about the request's latest attempt in flight.
    pub fn attempt_status_received(&mut self, now: f64, id: usize, status: AttemptStatus) {
        let Some(request) = self.requests.open.get(&id) else { return };
        let Some(attempt) = request.attempts.iter().rfind(|attempt| attempt.in_flight) else { return };
        let Some(engine) = self.engines.states.get_mut(attempt.engine) else { return };
        engine.last_answer_at = now;
        match status {
            AttemptStatus::WaitsForMemory => {
                engine.ledger.shrink(now);
                self.threshold.record_memory_wait();
            }
            // If engines give every request its full grant, a spill shows that the request needed more than expected,
            // not that the engine is short of memory.
            AttemptStatus::Spills if !attempt.is_quarter_grant && self.deployment.trims_grants => {
                engine.ledger.shrink(now);
            }
            _ => {}
        }
    }

    /// Handles a request that needs no further attempt: it has its answer, or its client no longer wants one.
    pub fn request_finished(&mut self, id: usize) {
        let Some(request) = self.requests.open.get_mut(&id) else { return };
        request.done = true;
        let deadline = request.incoming.deadline;
        self.queue.remove(id);
        self.requests.unschedule(deadline, DueEvent::Deadline(id));
        self.requests.remove_if_done(id);
    }

    /// Runs one round: makes the decisions that follow from the events reported so far, and writes them to `out`.
    pub fn round(&mut self, now: f64, out: &mut dyn ActionWriter) {
        if self.lifecycle.watch_list_at.take_if(|at| now >= *at).is_some() {
            out.watch_engine_list(true);
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
        // Queued requests are placed before the due events are handled, because capacity may just have become free for
        // a request that would otherwise be rejected as too late.
        self.dispatch_queued(now, out);
        self.handle_due_events(now, out);
        for line in self.log.drain(..) {
            out.log(&line);
        }
        self.ask_for_next_round(now, out);
    }

    fn handle_due_events(&mut self, now: f64, out: &mut dyn ActionWriter) {
        while let Some(event) = self.requests.next_due(now) {
            match event {
                DueEvent::Deadline(id) => self.reject_or_fail(now, id, out),
                DueEvent::LastStart(id) => self.shed_if_too_late(now, id, out),
                DueEvent::AttemptOverdue(id, attempt) => self.attempt_overdue(now, id, attempt, out),
                DueEvent::RetryWindowEnds(id) => self.reject_or_fail_if_exhausted(now, id, out),
            }
        }
    }

    fn ask_for_next_round(&mut self, now: f64, out: &mut dyn ActionWriter) {
        let due = self.requests.next_due_at().unwrap_or(f64::INFINITY);
        let watch_list_at = self.lifecycle.watch_list_at.unwrap_or(f64::INFINITY);
        let next = due.min(self.next_tick).min(watch_list_at);
        if self.wakes_at.is_none_or(|at| at <= now || next < at) {
            self.wakes_at = Some(next);
            out.wake_at(next);
        }
    }

    /// Places queued requests: tenants in turn, and within a tenant the highest value density first.
    fn dispatch_queued(&mut self, now: f64, out: &mut dyn ActionWriter) {
        for id in std::mem::take(&mut self.round.ended) {
            self.reject_or_fail_if_exhausted(now, id, out);
        }
        // If a queue exceeds its tenant's limit, its last request is rejected immediately.
        while let Some(id) = self.queue.next_to_displace() {
            self.shed(now, id, out);
        }
        let mut failed_placements = 0;
        while failed_placements < MAX_FAILED_PLACEMENTS {
            let Some(id) = self.queue.next(now) else { break };
            self.round.earlier_request_unplaced = failed_placements > 0 && self.queue.has_tenants();
            if !self.is_first_of_key(id, now) || self.attempts_exhausted(id, now) {
                continue;
            }
            if self.place(now, id, out) {
                self.queue.dispatched(id, now);
            } else {
                failed_placements += 1;
            }
        }
        self.queue.return_offers(now);
        self.report_wait_estimates(now, out);
    }

    /// Reports the expected waits of the requests that were received since the last round and are still queued.
    fn report_wait_estimates(&mut self, now: f64, out: &mut dyn ActionWriter) {
        for id in std::mem::take(&mut self.round.received) {
            if self.queue.has_tenants() && self.queue.contains(id) {
                let wait = self.queue.estimate_wait_of_queued(id, now);
                self.queue.waits.remember(id, wait, now);
                out.report_wait_estimate(id, wait);
            }
        }
    }
}
