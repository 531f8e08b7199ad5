//! The gateway: its state, its events, and the round that calls the other modules. It holds no rule itself.

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

/// How long new requests are taken after a drain began: within the second that is promised, less a slow turn.
const ACCEPTS_WHILE_DRAINING: f64 = 0.95;
/// Seconds after which a list that could not be had is asked for again.
const LIST_RETRY: f64 = 1.0;
/// What is no work is allowed for by the shortest latency objective, but by no more than this, in seconds.
const MAX_SHORTEST_OBJECTIVE: f64 = 0.8;
/// Requests that find no engine after which a round stops trying.
const MAX_FAILED_PLACEMENTS: usize = 12;
/// The work that a request is expected to need until any is known, in seconds of one core.
const INITIAL_WORK: f64 = 1.0;
/// The least work that a density is taken of.
const MIN_WORK: f64 = 1e-3;

/// What concerns this instance as a whole.
pub(super) struct Lifecycle {
    /// When it began without knowing what it had sent before.
    pub history_lost_at: f64,
    /// It ends then: no request has longer.
    stops_at: f64,
    /// What is received later is rejected at once: this instance drains.
    accepts_until: f64,
    /// When the engine list is to be watched anew.
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

/// What concerns one round.
#[derive(Default)]
pub(super) struct RoundState {
    /// Requests that were queued since the last round.
    pub received: Vec<usize>,
    /// Requests whose attempt has ended since.
    pub ended: Vec<usize>,
    /// With tenants: a request whose turn came before found no capacity in this round. Another tenant's light requests must not
    /// fill what a heavy one waits for.
    pub passed_over: bool,
}

/// One gateway's decisions.
#[derive(Default)]
pub struct Gateway {
    pub(super) deployment: Deployment,
    /// Deployments differ in pace: the shortest latency objective stands for what is no work.
    pub(super) shortest_objective: f64,
    pub(super) random: RandomDraws,
    pub(super) threshold: GrantThreshold,
    pub(super) classes: Vec<ClassModel>,
    pub(super) engines: EngineTable,
    pub(super) requests: RequestTable,
    /// The queued requests, by tenant.
    pub queue: TenantQueue,
    pub(super) retries: RetryHistory,
    pub(super) load: LoadEstimates,
    pub(super) lifecycle: Lifecycle,
    pub(super) round: RoundState,
    pub(super) shedding: LoadShedding,
    pub(super) next_tick: f64,
    /// When the host was last asked for a round.
    wakes_at: Option<f64>,
    /// Lines for the log of this round.
    pub(super) log: Vec<String>,
}

impl Gateway {
    /// A gateway of this deployment. `seed` is what its chance is drawn from.
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

    /// Discovery has listed engines: all there are, or those that changed.
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
                engine.restart(kind, self.deployment.gateways, now);
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

    /// The engine list could not be had; the old one stands, and it is asked for again in a while.
    pub fn engine_list_failed(&mut self, now: f64) {
        self.lifecycle.watch_list_at = self.deployment.max_list_age.map(|_| now + LIST_RETRY);
        let known = self.engines.states.len();
        self.log.push(format!("engine list unavailable: {known} engines known"));
    }

    /// A request was received.
    pub fn request_received(&mut self, now: f64, id: usize, mut incoming: IncomingRequest) {
        self.retries.received_at.push_back(now);
        let class = &self.deployment.classes[incoming.class];
        // From here on a request has a key only where its class keeps the order of keys.
        incoming.key = incoming.key.filter(|_| class.in_key_order);
        let max_headroom = self.max_headroom();
        let model = &mut self.classes[incoming.class];
        let work = model.work_fit.expected(incoming.estimated_work, model.work.mean_or(INITIAL_WORK));
        let need = model.memory_fit.expected(incoming.estimated_memory_mb, model.memory.mean_or(0.0));
        let memory = need * model.memory_fit.headroom(max_headroom);
        // Also from those that never run: the heavy ones are rejected first.
        let weight = f64::from(u8::from(incoming.estimated_work.is_some()));
        model.note_work(work, weight);
        // What has less time left than others of its class came late, or its client has tried before.
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
        self.load.note_request(value_density, incoming.table_group, work);
        if let Some(key) = incoming.key {
            self.requests.keys.entry(key).or_default().requests.push_back(id);
        }
        self.requests.open.insert(id, request);
        // A request that comes too late for a drain is never queued, so that nothing new is attempted.
        if now >= self.lifecycle.accepts_until {
            self.requests.schedule(now, DueEvent::Deadline(id));
        } else {
            self.enqueue(now, id);
            self.round.received.push(id);
        }
        self.schedule_retry_window_end(id);
        self.limit_time(id, self.lifecycle.stops_at);
    }

    /// Tenants have these queues from now on; open requests move to where `tenant_of` says.
    pub fn set_tenants(&mut self, now: f64, queue: TenantQueue, tenant_of: &dyn Fn(usize) -> usize) {
        let before = std::mem::replace(&mut self.queue, queue);
        let queued: Vec<usize> =
            self.requests.open.keys().copied().filter(|id| before.contains(*id)).collect();
        for (id, request) in &mut self.requests.open {
            request.incoming.tenant = tenant_of(*id);
            for _ in request.attempts.iter().filter(|attempt| attempt.in_flight) {
                self.queue.attempt_in_flight(request.incoming.tenant);
            }
        }
        for id in queued {
            self.enqueue(now, id);
        }
    }

    /// All that peers have seen of an engine of late, each of them with one attempt at most.
    pub fn peer_evidence_received(&mut self, index: usize, evidence: EngineEvidence) {
        let Some(engine) = self.engines.states.get_mut(index) else { return };
        engine.failures.set_peers(evidence.successes, evidence.failures);
        engine.peers_slow_start_work = evidence.slow_start_work;
        self.engines.changed.push(index);
    }

    /// What this gateway has seen of an engine of late, for its peers.
    pub fn evidence(&self, index: usize, now: f64) -> Option<EngineEvidence> {
        let engine = self.engines.states.get(index)?;
        let window = self.deployment.slow_start.window;
        let own = engine.failures.own;
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

    /// This instance drains: no request that is received from the returned time on is attempted.
    pub fn drain(&mut self, now: f64) -> f64 {
        let accepts_until = &mut self.lifecycle.accepts_until;
        *accepts_until = accepts_until.min(now + ACCEPTS_WHILE_DRAINING);
        *accepts_until
    }

    /// Engines that are ready and not ejected.
    pub fn usable_engines(&self) -> usize {
        self.engines.ready().filter(|engine| !engine.failures.ejected).count()
    }

    /// This instance ends then: no request has longer.
    pub fn stop_at(&mut self, stops_at: f64) {
        self.lifecycle.stops_at = stops_at;
        let open: Vec<usize> = self.requests.open.keys().copied().collect();
        for id in open {
            self.limit_time(id, stops_at);
        }
    }

    fn limit_time(&mut self, id: usize, until: f64) {
        let request = self.requests.get_mut(id);
        request.incoming.deadline = request.incoming.deadline.min(until);
        request.objective_at = request.objective_at.min(until);
        let deadline = request.incoming.deadline;
        let last_start = self.last_start(&self.requests.open[&id]);
        self.requests.schedule(deadline, DueEvent::Deadline(id));
        self.requests.schedule(last_start, DueEvent::LastStart(id));
    }

    /// An engine says something of the request's attempt in flight.
    pub fn attempt_status_received(&mut self, now: f64, id: usize, status: AttemptStatus) {
        let Some(request) = self.requests.open.get(&id) else { return };
        let Some(attempt) = request.attempts.iter().rfind(|attempt| attempt.in_flight) else { return };
        let Some(engine) = self.engines.states.get_mut(attempt.engine) else { return };
        engine.last_answer_at = now;
        match status {
            AttemptStatus::WaitsForMemory => {
                engine.ledger.shrink(now);
                self.threshold.note_memory_wait();
            }
            // Where grants are honoured in full, a spill tells of a heavy draw, not of pressure.
            AttemptStatus::Spills if !attempt.at_quarter && self.deployment.trims_grants => {
                engine.ledger.shrink(now);
            }
            _ => {}
        }
    }

    /// The request needs nothing more: it has its answer from this gateway, or wants none.
    pub fn request_finished(&mut self, id: usize) {
        let Some(request) = self.requests.open.get_mut(&id) else { return };
        request.done = true;
        let deadline = request.incoming.deadline;
        self.queue.remove(id);
        self.requests.unschedule(deadline, DueEvent::Deadline(id));
        self.requests.forget_if_done(id);
    }

    /// One round: all events have been handed in; what is decided is written out.
    pub fn round(&mut self, now: f64, out: &mut dyn ActionWriter) {
        if self.lifecycle.watch_list_at.take_if(|at| now >= *at).is_some() {
            out.watch_engine_list(true);
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
        // Requests are tried before they are found too late: capacity may just have come free.
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
                DueEvent::Deadline(id) => self.end(now, id, out),
                DueEvent::LastStart(id) => self.too_late(now, id, out),
                DueEvent::AttemptOverdue(id, attempt) => self.attempt_overdue(now, id, attempt, out),
                DueEvent::RetryWindowEnds(id) => self.end_if_exhausted(now, id, out),
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

    /// Tries what is queued: tenants in their turns, within a tenant the most value for its work first.
    fn dispatch_queued(&mut self, now: f64, out: &mut dyn ActionWriter) {
        for id in std::mem::take(&mut self.round.ended) {
            self.end_if_exhausted(now, id, out);
        }
        // A queue that is longer than its tenant's may be: its last is told at once.
        while let Some(id) = self.queue.over_limit() {
            self.shed(now, id, out);
        }
        let mut failed_placements = 0;
        while failed_placements < MAX_FAILED_PLACEMENTS {
            let Some(id) = self.queue.next(now) else { break };
            self.round.passed_over = failed_placements > 0 && self.queue.has_tenants();
            if !self.is_first_of_key(id, now) || self.retries_exhausted(id, now) {
                continue;
            }
            if self.place(now, id, out) {
                self.queue.dispatched(id, now);
            } else {
                failed_placements += 1;
            }
        }
        self.queue.return_offers(now);
        self.announce_waits(now, out);
    }

    /// Tells how long those that were queued in this round will wait.
    fn announce_waits(&mut self, now: f64, out: &mut dyn ActionWriter) {
        for id in std::mem::take(&mut self.round.received) {
            if self.queue.has_tenants() && self.queue.contains(id) {
                let wait = self.queue.wait_of(id, now);
                self.queue.waits.remember(id, wait, now);
                out.report_wait_estimate(id, wait);
            }
        }
    }
}
