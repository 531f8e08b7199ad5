//! Seeded scenarios that run one gateway against simulated arrivals and faulty engines, and hash every action that the
//! gateway writes. The strings passed to `line` and to `hash.update` are hashed: changing one changes the golden
//! hashes.
//! Some of these strings are earlier names: `terms` is the priority and memory grant, `tell` a message to peers, `met`
//! the evidence on an engine, `sound` the number of usable engines, and `repeats` the times of retries.

use cleatgw::queue::{Budget, TenantConfig, TenantQueue, WaitEstimate};
use cleatgw::Gateway;
use cleatgw::{
    ActionWriter, AttemptEnd, AttemptOutcome, AttemptStatus, DeduplicationScope, Deployment, EngineEvidence,
    EngineKind, EngineListing, EngineStage, Idempotency, IncomingRequest, LoadReport, MeasuredCost,
    RequestClass, RetryBudget, SlowStart, SlowStartWork,
};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Seconds between two rounds of the gateway.
const STEP_S: f64 = 0.025;
/// Clock reading in seconds at which a scenario starts.
const START_S: f64 = 1000.0;
/// Simulated seconds in a scenario.
const DURATION_S: f64 = 60.0;
/// Factor by which the arrival rate is multiplied during the burst (seconds 16 to 30).
const BURST_FACTOR: f64 = 4.0;

/// The deployment that a scenario simulates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    /// Three gateways, with hedged requests and tenants.
    FewGateways,
    /// Sixty gateways without a retry budget or tenants, whose engines report no measurements.
    ManyGateways,
    /// A gateway that has lost its history and later drains, with engines that page memory and cannot cancel.
    Restarted,
    /// One attempt per request, so no retries: attempts that an ejected engine does not answer are cancelled.
    SingleAttempt,
}

/// Event counts of a scenario, with which a test checks that the scenario exercised the intended behaviour.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: usize,
    pub attempts: usize,
    pub retries: usize,
    /// Attempts whose memory grant was below half of what the request needs.
    pub short_grants: usize,
    pub cancelled_attempts: usize,
    pub rejected: usize,
    pub failed: usize,
    pub wait_estimates: usize,
}

/// Records the actions that the gateway writes in one round. `counts` and `grants` cover the whole scenario.
#[derive(Default)]
struct Recorder {
    /// One line per action, to be hashed.
    text: String,
    /// Request, engine and time-out of each dispatched attempt.
    attempts: Vec<(usize, usize, Option<f64>)>,
    /// Request and attempt number of each cancelled attempt.
    cancelled: Vec<(usize, u32)>,
    /// Requests that the gateway rejected or failed.
    ended: Vec<usize>,
    counts: Counts,
    /// Last memory grant in MB, by request.
    grants: BTreeMap<usize, f64>,
}

impl Recorder {
    fn line(&mut self, line: std::fmt::Arguments) {
        writeln!(self.text, "{line}").expect("writing to a String cannot fail");
    }
}

impl ActionWriter for Recorder {
    fn set_priority_and_memory(&mut self, request: usize, lane: u8, memory_mb: f64) {
        self.grants.insert(request, memory_mb);
        self.line(format_args!("terms {request} {lane} {memory_mb:?}"));
    }
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64) {
        self.attempts.push((request, engine, time_out));
        self.line(format_args!("attempt {request} {engine} {time_out:?} {leave_by:?}"));
    }
    fn cancel(&mut self, request: usize, attempt: u32) {
        self.counts.cancelled_attempts += 1;
        self.cancelled.push((request, attempt));
        self.line(format_args!("cancel {request} {attempt}"));
    }
    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        self.counts.rejected += 1;
        self.ended.push(request);
        self.line(format_args!("reject {request} {retry_after:?}"));
    }
    fn fail(&mut self, request: usize) {
        self.counts.failed += 1;
        self.ended.push(request);
        self.line(format_args!("fail {request}"));
    }
    fn report_wait_estimate(&mut self, request: usize, wait: Option<WaitEstimate>) {
        self.counts.wait_estimates += 1;
        let wait = wait.map(|wait| (wait.expected, wait.lower, wait.upper));
        self.line(format_args!("waits {request} {wait:?}"));
    }
    fn watch_engine_list(&mut self, on: bool) {
        self.line(format_args!("watch {on}"));
    }
    fn fetch_engine_list(&mut self) {
        self.line(format_args!("fetch"));
    }
    fn probe(&mut self, engine: usize) {
        self.line(format_args!("probe {engine}"));
    }
    fn close_idle(&mut self, engine: usize) {
        self.line(format_args!("close {engine}"));
    }
    fn send_to_peers(&mut self, peer: Option<usize>, content: &[u8]) {
        self.line(format_args!("tell {peer:?} {content:?}"));
    }
    fn wake_at(&mut self, at: f64) {
        self.line(format_args!("wake {at:?}"));
    }
    fn log(&mut self, _line: &str) {}
}

/// How a simulated engine misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Fault {
    /// Works, apart from 0.4 % of attempts that lose their connection.
    #[default]
    None,
    /// Never answers an attempt.
    Silent,
    /// Fails an attempt with probability one half.
    Failing,
    /// Takes ten times as long as usual.
    Slow,
    /// Rejects every attempt as full.
    Full,
    /// Accepts no connection.
    Unreachable,
}

#[derive(Clone, Copy, Default)]
struct Engine {
    listing: EngineListing,
    fault: Fault,
    /// Threads of the attempts that run on the engine.
    running: f64,
}

struct Attempt {
    request: usize,
    engine: usize,
    number: u32,
    /// Clock reading in seconds at which the attempt was sent.
    sent: f64,
    /// Clock reading in seconds at which the attempt is due to end.
    ends_at: f64,
    outcome: AttemptOutcome,
}

/// An open request of the scenario with its actual work (core-seconds) and memory (MB), which may differ from the
/// estimates that the gateway receives. `deadline` is a clock reading in seconds.
struct ActualRequest {
    class: usize,
    work: f64,
    memory: f64,
    deadline: f64,
    attempts: u32,
}

pub struct Scenario {
    variant: Variant,
    deployment: Deployment,
    gateway: Gateway,
    random: ChaCha8Rng,
    recorder: Recorder,
    engines: Vec<Engine>,
    requests: BTreeMap<usize, ActualRequest>,
    attempts: Vec<Attempt>,
    next_request: usize,
    now: f64,
    pub counts: Counts,
    hash: Sha256,
}

fn class(value: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        value,
        late_value_share: 0.3,
        latency_objective: 1.0,
        max_wait: 10.0,
        objective_stretch: 2.0,
        threads,
        idempotency,
        in_key_order: false,
        locks_tables: false,
        waits_for_table_locks: false,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

fn classes() -> Vec<RequestClass> {
    let all_engines = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 3.0 };
    let in_zone = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 4.0 };
    let in_cell = Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 2.0 };
    vec![
        class(1.0, 1.0, Idempotency::Idempotent),
        RequestClass {
            latency_objective: 4.0,
            waits_for_table_locks: true,
            ..class(6.0, 4.0, Idempotency::Idempotent)
        },
        class(2.0, 1.0, all_engines),
        class(2.0, 1.0, in_zone),
        RequestClass { in_key_order: true, ..class(3.0, 1.0, Idempotency::NonIdempotent) },
        RequestClass { latency_objective: 3.0, locks_tables: true, ..class(4.0, 2.0, in_cell) },
        RequestClass {
            allowed_zones: Some(vec![0, 1]),
            allowed_kinds: Some(vec![0]),
            ..class(1.5, 1.0, Idempotency::Idempotent)
        },
    ]
}

fn deployment(variant: Variant) -> Deployment {
    let common = Deployment {
        gateways: 3.0,
        classes: classes(),
        engine_kinds: vec![
            EngineKind { cores: 8.0, memory_mb: 4000.0 },
            EngineKind { cores: 16.0, memory_mb: 8000.0 },
        ],
        max_memory_share: 0.5,
        honours_grants: true,
        trims_grants: true,
        has_priority_lanes: true,
        can_cancel: true,
        allows_hedging: false,
        max_attempts: 3,
        max_retry_after: Some(5.0),
        slow_start: SlowStart { initial_share: 0.2, duration: 12.0, overload_multiple: 2.0, window: 2.0 },
        retry_budget: Some(RetryBudget { base: 20.0, per_request: 0.25, window: 10.0 }),
        key_quiet_period: 0.4,
        ..Deployment::default()
    };
    match variant {
        Variant::FewGateways => Deployment { allows_hedging: true, max_list_age: Some(5.0), ..common },
        Variant::ManyGateways => {
            Deployment { gateways: 60.0, retry_budget: None, max_retry_after: None, ..common }
        }
        Variant::Restarted => Deployment {
            gateways: 12.0,
            trims_grants: false,
            pages_memory: true,
            has_priority_lanes: false,
            can_cancel: false,
            ..common
        },
        Variant::SingleAttempt => Deployment { gateways: 1.0, max_attempts: 1, ..common },
    }
}

/// The root, a group, two tenants in the group, and one tenant directly under the root; all with small queues.
fn tenants() -> Vec<TenantConfig> {
    let root = TenantConfig { max_queued: 400, ..TenantConfig::default() };
    let group = TenantConfig { parent: 0, weight: 2.0, ..TenantConfig::default() };
    let first =
        TenantConfig { parent: 1, weight: 3.0, max_queued: 60, ageing: Some(0.5), ..TenantConfig::default() };
    let second = TenantConfig {
        parent: 1,
        budget: Some(Budget { rate: 2.0, burst: 4.0 }),
        max_in_flight: 12,
        ..TenantConfig::default()
    };
    let third = TenantConfig {
        parent: 0,
        max_queued_work: 40.0,
        class_boosts: vec![1.0, 0.0, 2.0],
        ..TenantConfig::default()
    };
    vec![root, group, first, second, third]
}

/// Indexes in `tenants()` of the tenants that have requests.
const LEAF_TENANTS: [usize; 3] = [2, 3, 4];

impl Scenario {
    pub fn new(variant: Variant, seed: u64) -> Scenario {
        let deployment = deployment(variant);
        let mut scenario = Scenario {
            variant,
            gateway: Gateway::new(deployment.clone(), seed, START_S),
            deployment,
            random: ChaCha8Rng::seed_from_u64(seed),
            recorder: Recorder::default(),
            engines: Vec::new(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            next_request: 0,
            now: START_S,
            counts: Counts::default(),
            hash: Sha256::new(),
        };
        for index in 0..14 {
            scenario.engines.push(Engine { listing: first_listing(index), ..Engine::default() });
        }
        scenario
    }

    /// Draws a number uniformly from [0, 1).
    fn uniform(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws an integer uniformly from [0, bound).
    fn uniform_below(&mut self, bound: usize) -> usize {
        (self.uniform() * bound as f64) as usize
    }

    /// SHA-256, in hexadecimal, of all that was recorded.
    pub fn hash(&self) -> String {
        self.hash.clone().finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Simulates the whole scenario.
    pub fn run(&mut self) {
        self.list_engines(true);
        if self.variant == Variant::Restarted {
            self.gateway.assume_lost_history(self.now);
        }
        let steps = (DURATION_S / STEP_S) as usize;
        for step in 0..steps {
            self.now = START_S + STEP_S * step as f64;
            self.apply_scheduled_events(step);
            self.end_due_attempts();
            self.receive_arrivals();
            self.report_attempt_status();
            self.exchange_peer_evidence(step);
            self.round();
        }
    }

    /// Runs one round of the gateway, carries out its actions and hashes their record.
    fn round(&mut self) {
        self.gateway.round(self.now, &mut self.recorder);
        let attempts = std::mem::take(&mut self.recorder.attempts);
        for (request, engine, time_out) in attempts {
            self.start_attempt(request, engine, time_out);
        }
        for (request, number) in std::mem::take(&mut self.recorder.cancelled) {
            self.cancel(request, Some(number));
        }
        for request in std::mem::take(&mut self.recorder.ended) {
            self.requests.remove(&request);
            self.cancel(request, None);
        }
        let recorded = &self.recorder.counts;
        self.counts.rejected = recorded.rejected;
        self.counts.failed = recorded.failed;
        self.counts.cancelled_attempts = recorded.cancelled_attempts;
        self.counts.wait_estimates = recorded.wait_estimates;
        let text = std::mem::take(&mut self.recorder.text);
        self.hash.update(format!("round {:?}\n{text}", self.now));
    }

    /// Sends the listings of all engines to the gateway; `complete` says that engines not listed are gone.
    fn list_engines(&mut self, complete: bool) {
        let listings: Vec<EngineListing> = self.engines.iter().map(|engine| engine.listing).collect();
        self.gateway.engines_listed(self.now, &listings, complete);
    }

    /// Sends the listing of one engine to the gateway.
    fn list_engine(&mut self, index: usize) {
        let listing = self.engines[index].listing;
        self.gateway.engines_listed(self.now, &[listing], false);
    }

    /// Applies the events that are scheduled for this step: restored history, tenants, faults, engines that join,
    /// drain, go and come back, a lost engine list, and the drain of the gateway.
    fn apply_scheduled_events(&mut self, step: usize) {
        let is_at = |seconds: f64| step == (seconds / STEP_S) as usize;
        if is_at(2.0) && self.variant == Variant::Restarted {
            let sent = [
                SlowStartWork { engine: 3, sent_at: self.now - 1.0, work: 0.5 },
                SlowStartWork { engine: 5, sent_at: self.now - 0.5, work: 1.5 },
            ];
            self.gateway.restore_history(&[self.now - 4.0, self.now - 0.7], &sent);
            self.gateway.limit_unpersisted_retries(40);
        }
        if is_at(3.0) && self.variant != Variant::ManyGateways {
            self.gateway
                .set_tenants(self.now, TenantQueue::new(tenants(), self.now), &|id| LEAF_TENANTS[id % 3]);
        }
        let faults = [
            (6.0, 0, Fault::Silent),
            (8.0, 1, Fault::Failing),
            (10.0, 2, Fault::Slow),
            (12.0, 3, Fault::Full),
            (13.0, 4, Fault::Unreachable),
            (20.0, 0, Fault::None),
            (21.0, 1, Fault::None),
            (30.0, 2, Fault::None),
            (31.0, 3, Fault::None),
            (33.0, 4, Fault::None),
            (45.0, 9, Fault::Silent),
            (46.0, 8, Fault::Failing),
        ];
        for (time, engine, fault) in faults {
            if is_at(time) {
                self.engines[engine].fault = fault;
            }
        }
        for joined in 0..6 {
            if is_at(15.0 + joined as f64) {
                let index = self.engines.len();
                let since = Some(self.now - 0.2);
                let listing = EngineListing { started_at: since, ..first_listing(index) };
                self.engines.push(Engine { listing, ..Engine::default() });
                self.list_engine(index);
            }
        }
        for (draining, index) in (5..9).enumerate() {
            if is_at(24.0 + draining as f64) {
                self.engines[index].listing.stage = EngineStage::Draining;
                self.list_engine(index);
            }
            if is_at(27.0 + draining as f64) {
                self.engines[index].listing.stage = EngineStage::Gone;
                self.list_engine(index);
            }
            if is_at(36.0 + 0.5 * draining as f64) {
                // The engine comes back after a restart.
                self.engines[index].listing.stage = EngineStage::Ready;
                self.engines[index].listing.started_at = Some(self.now);
                self.list_engine(index);
            }
        }
        if is_at(40.0) {
            self.gateway.engine_list_failed(self.now);
        }
        if is_at(42.0) {
            self.list_engines(true);
        }
        if is_at(50.0) && self.variant == Variant::Restarted {
            let until = self.gateway.drain(self.now);
            self.hash.update(format!("drains {until:?}\n"));
            self.gateway.stop_at(self.now + 6.0);
        }
    }

    /// Receives the requests that arrive in this step.
    fn receive_arrivals(&mut self) {
        let second = self.now - START_S;
        let burst = if (16.0..30.0).contains(&second) { BURST_FACTOR } else { 1.0 };
        let rate = if self.variant == Variant::ManyGateways { 40.0 } else { 70.0 };
        let expected = rate * burst * STEP_S;
        let mut arrivals = expected.floor() as usize;
        arrivals += usize::from(self.uniform() < expected.fract());
        for _ in 0..arrivals {
            self.receive_request();
        }
    }

    /// Draws a request and hands it to the gateway.
    fn receive_request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        self.counts.requests += 1;
        let class = [0, 0, 0, 0, 1, 2, 2, 3, 4, 4, 5, 6][self.uniform_below(12)];
        let threads = self.deployment.classes[class].threads;
        let scale = [0.05, 1.5, 0.1, 0.1, 0.08, 0.4, 0.1][class];
        let work = scale * (0.4 + 2.0 * self.uniform() * self.uniform());
        let memory = 120.0 * threads * (0.2 + 2.0 * self.uniform());
        let estimated = self.variant != Variant::Restarted || self.uniform() < 0.7;
        let estimate_error = 0.5 + self.uniform();
        let deadline = self.now + 2.0 + 6.0 * self.uniform();
        let key = (self.uniform() < 0.5).then(|| self.uniform_below(9) as u64);
        let earlier = (self.uniform() < 0.02).then_some(self.now - 1.0);
        let incoming = IncomingRequest {
            class,
            key,
            table_group: self.uniform_below(40).min(self.uniform_below(40)) as u64,
            estimated_work: estimated.then_some(work * estimate_error),
            estimated_memory_mb: estimated.then_some(memory * estimate_error),
            deadline,
            tenant: if self.now < START_S + 3.0 { 0 } else { LEAF_TENANTS[id % 3] },
            earlier_attempt_at: earlier,
        };
        self.requests.insert(id, ActualRequest { class, work, memory, deadline, attempts: 0 });
        self.gateway.request_received(self.now, id, incoming);
    }

    /// Starts an attempt on its engine and determines how and when it will end.
    fn start_attempt(&mut self, request: usize, engine: usize, time_out: Option<f64>) {
        let Some(need) = self.requests.get_mut(&request) else { return };
        let number = need.attempts;
        need.attempts += 1;
        let (class, work, memory, deadline) = (need.class, need.work, need.memory, need.deadline);
        self.counts.attempts += 1;
        self.counts.retries += usize::from(number > 0);
        let threads = self.deployment.classes[class].threads;
        let grant = self.recorder.grants.get(&request).copied().unwrap_or(memory);
        let is_short = grant > 0.0 && grant < 0.5 * memory;
        self.counts.short_grants += usize::from(is_short);
        let noise = 0.8 + 0.6 * self.uniform();
        let outcome_draw = self.uniform();
        let model = &mut self.engines[engine];
        model.running += threads;
        let cores = self.deployment.engine_kinds[model.listing.kind].cores;
        let overload = (model.running / cores).max(1.0);
        // A short grant makes an attempt take 2.5 times as long.
        let duration = work / threads * noise * overload * if is_short { 2.5 } else { 1.0 };
        let (outcome, duration) = match model.fault {
            Fault::None if outcome_draw < 0.004 => (AttemptOutcome::ConnectionLost, duration / 2.0),
            Fault::None | Fault::Slow => (
                AttemptOutcome::Completed,
                if model.fault == Fault::Slow { 10.0 * duration } else { duration },
            ),
            Fault::Silent => (AttemptOutcome::TimedOut, f64::INFINITY),
            Fault::Failing if outcome_draw < 0.5 => (AttemptOutcome::EngineError, 0.01),
            Fault::Failing => (AttemptOutcome::Completed, duration),
            Fault::Full => (AttemptOutcome::EngineFull, 0.005),
            Fault::Unreachable => (AttemptOutcome::Unreachable, 0.2),
        };
        let limit = time_out.unwrap_or(f64::INFINITY).min(deadline - self.now);
        let (outcome, duration) =
            if duration > limit { (AttemptOutcome::TimedOut, limit) } else { (outcome, duration) };
        let ends_at = self.now + duration;
        self.attempts.push(Attempt { request, engine, number, sent: self.now, ends_at, outcome });
    }

    /// Cancels the attempts of a request, or only the one with the given number; they end within 10 ms.
    fn cancel(&mut self, request: usize, number: Option<u32>) {
        let latest_end = self.now + 0.01;
        for attempt in &mut self.attempts {
            if attempt.request == request && number.is_none_or(|number| number == attempt.number) {
                attempt.outcome = AttemptOutcome::Cancelled;
                attempt.ends_at = attempt.ends_at.min(latest_end);
            }
        }
    }

    /// Ends the attempts that are due, and lets some clients abandon their requests.
    fn end_due_attempts(&mut self) {
        let now = self.now;
        let attempts = std::mem::take(&mut self.attempts);
        let (ended, open): (Vec<_>, Vec<_>) =
            attempts.into_iter().partition(|attempt| attempt.ends_at <= now);
        self.attempts = open;
        for attempt in ended {
            self.end_attempt(attempt);
        }
        // With probability 0.05 per step, a client abandons its request.
        if self.uniform() < 0.05 {
            let request_count = self.requests.len();
            let index = self.uniform_below(request_count.max(1));
            if let Some(&request) = self.requests.keys().nth(index) {
                self.requests.remove(&request);
                self.gateway.request_finished(request);
                self.cancel(request, None);
            }
        }
    }

    /// Reports the end of an attempt to the gateway.
    fn end_attempt(&mut self, attempt: Attempt) {
        let Attempt { request, engine, outcome, sent, .. } = attempt;
        let need = self.requests.get(&request);
        let (class, work, memory) = need.map_or((0, 0.1, 10.0), |need| (need.class, need.work, need.memory));
        let model = &mut self.engines[engine];
        model.running = (model.running - self.deployment.classes[class].threads).max(0.0);
        let running = model.running;
        let reports_measurements = self.variant != Variant::ManyGateways;
        let completed = outcome == AttemptOutcome::Completed;
        if completed {
            self.requests.remove(&request);
            self.cancel(request, None);
        }
        let reports_load = reports_measurements && engine.is_multiple_of(2);
        let load = LoadReport {
            requests: (reports_load && completed).then_some(running / 1.5 + 1.0),
            memory_waits: (reports_load && completed).then_some(if running > 20.0 { 1.0 } else { 0.0 }),
            granted_memory_share: (reports_measurements && completed && engine % 3 == 0)
                .then_some((running / 24.0).min(1.0)),
        };
        let end = AttemptEnd {
            request,
            engine,
            outcome,
            request_done: !self.requests.contains_key(&request),
            elapsed: self.now - sent,
            measured: (reports_measurements && completed && engine % 5 != 0)
                .then_some(MeasuredCost { work, memory_mb: memory }),
            load,
        };
        self.gateway.attempt_ended(self.now, &end);
    }

    /// With probability 0.2, reports a random status of a random attempt.
    fn report_attempt_status(&mut self) {
        if self.attempts.is_empty() || self.uniform() >= 0.2 {
            return;
        }
        let index = self.uniform_below(self.attempts.len());
        let request = self.attempts[index].request;
        let statuses = [
            AttemptStatus::Progress(0.5),
            AttemptStatus::Spills,
            AttemptStatus::WaitsForMemory,
            AttemptStatus::WaitsForLoad,
        ];
        let status = statuses[self.uniform_below(4)];
        self.gateway.attempt_status_received(self.now, request, status);
    }

    /// Four times a second, delivers peers' evidence on some engines. The evidence that this gateway would send to its
    /// peers, its count of usable engines and its retries are hashed.
    fn exchange_peer_evidence(&mut self, step: usize) {
        if !step.is_multiple_of(10) {
            return;
        }
        for engine in 0..self.engines.len() {
            if self.uniform() < 0.3 {
                let failures =
                    if self.engines[engine].fault == Fault::None { 0.0 } else { 4.0 * self.uniform() };
                let evidence = EngineEvidence {
                    successes: 3.0 * self.uniform(),
                    failures,
                    slow_start_work: 0.4 * self.uniform(),
                };
                self.gateway.peer_evidence_received(engine, evidence);
            }
            if let Some(EngineEvidence { successes, failures, slow_start_work }) =
                self.gateway.evidence(engine, self.now)
            {
                self.hash.update(format!("met {engine} {successes:?} {failures:?} {slow_start_work:?}\n"));
            }
        }
        self.hash.update(format!("sound {}\n", self.gateway.usable_engines()));
        let retries: Vec<f64> = self.gateway.retries().collect();
        self.hash.update(format!("repeats {retries:?}\n"));
    }
}

/// The listing with which an engine first appears.
fn first_listing(index: usize) -> EngineListing {
    EngineListing {
        engine: index,
        name_hash: 7919 * (index as u64 + 1),
        zone: index % 3,
        kind: usize::from(index.is_multiple_of(4)),
        cell: index as u64 % 4,
        started_at: None,
        stage: EngineStage::Ready,
    }
}
