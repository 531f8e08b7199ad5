//! Choices by the index against a plain walk over all engines, over long random scenarios; and what a choice looks at.

use super::concurrency_limit::INITIAL_LIMIT;
use super::engine_selection::{HOT_GROUP_PRIOR, HOT_GROUP_SPREAD};
use super::outlier_detection::MIN_SUCCESS_RATE;
use super::*;
use crate::statistics::{hash_of, order_key};
use crate::*;
use cleatgw_tenant_queue::{TenantConfig, TenantQueue};
use std::collections::BTreeSet;

/// Keeps the attempts that are in flight, by request and engine.
#[derive(Default)]
struct Recorder {
    attempts: Vec<(usize, usize)>,
}

impl ActionWriter for Recorder {
    fn set_priority_and_memory(&mut self, _: usize, _: u8, _: f64) {}
    fn dispatch(&mut self, request: usize, engine: usize, _: Option<f64>, _: f64) {
        self.attempts.push((request, engine));
    }
    fn cancel(&mut self, _: usize, _: u32) {}
    fn reject(&mut self, _: usize, _: Option<f64>) {}
    fn fail(&mut self, _: usize) {}
    fn watch_engine_list(&mut self, _: bool) {}
    fn fetch_engine_list(&mut self) {}
    fn probe(&mut self, _: usize) {}
    fn close_idle(&mut self, _: usize) {}
    fn send_to_peers(&mut self, _: Option<usize>, _: &[u8]) {}
    fn wake_at(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

/// The choice that a walk over all engines makes, as the decisions made it before there was an index.
fn plain_walk(gateway: &mut Gateway, now: f64, id: usize) -> Option<(usize, f64)> {
    let grants = gateway.grant(id);
    let (grant, least) = (grants.preferred.memory, grants.least);
    let gateway = &*gateway;
    let request = &gateway.requests.open[&id];
    let (group, of) = (request.incoming.table_group, request.incoming.class);
    let ready = gateway.engines.states.iter().enumerate();
    let ready = ready.filter(|(_, engine)| engine.listing.stage == EngineStage::Ready && engine.cores > 0.0);
    let ready = ready.map(|(at, engine)| (hash_of((engine.listing.name_hash, group)), at));
    let mut open: Vec<usize> = ready.collect::<BTreeSet<_>>().into_iter().map(|(_, at)| at).collect();
    let class = &gateway.deployment.classes[of];
    let (engines, all_gateways) = (open.len() as f64, gateway.deployment.gateways * class.threads);
    let kinds = &gateway.deployment.engine_kinds;
    let many = all_gateways > kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
    let share = gateway.load.table_group_work.share(group, HOT_GROUP_PRIOR);
    let hot = if many { HOT_GROUP_SPREAD * share * engines } else { 0.0 };
    let few = (open.len() / 3).clamp(2, 3).max(hot.ceil() as usize);
    if class.locks_tables {
        open.reverse();
        let far = gateway.last_start(request) - now > gateway.expected_run_time(request);
        open.truncate(if far { open.len().div_ceil(2) } else { open.len() });
    }
    let stalls = class.locks_tables || class.waits_for_table_locks;
    let light = gateway.is_light(id) && !gateway.round.passed_over;
    let engine = |at: &usize| &gateway.engines.states[*at];
    let stands = |at: &usize| stalls && engine(at).locked_table_groups.contains(&group);
    open.retain(|at| gateway.may_attempt(id, *at, now) && !stands(at));
    let rate = |at: &usize| engine(at).failures.success_rate_for(of);
    let trust = MIN_SUCCESS_RATE * open.iter().map(rate).fold(0.0, f64::max);
    let tries = |engine: &EngineState| light && engine.attempts == 0 && engine.failures.drawn_rate >= trust;
    open.retain(|at| rate(at) >= trust || tries(engine(at)));
    let even = gateway.classes[of].work_fit.is_unmeasured()
        && gateway.fits_even_part(gateway.load.threads + class.threads, gateway.load.usable_cores);
    let alone = |at: &usize| {
        let engine = engine(at);
        let threads = engine.threads + class.threads;
        !engine.concurrency.reports_load
            && (engine.attempts == 0 || gateway.fits_even_part(threads, engine.cores))
    };
    open.retain(|at| gateway.has_capacity(of, engine(at), light) || even && alone(at));
    let been = |at: &usize| request.attempts.iter().any(|attempt| attempt.engine == *at);
    let key = |at: &&usize| {
        let ours = order_key(engine(at).threads / engine(at).cores);
        let peers = order_key(gateway.load.peer_threads_on(engine(at)));
        let first_contact = all_gateways > engine(at).cores && engine(at).best_pace.is_none();
        let chance = hash_of((gateway.random.seed, gateway.random.draws + 1, **at));
        (been(at), ours, first_contact, peers, chance)
    };
    let choice = open.iter().filter(|at| engine(at).ledger.fits(grant, now)).take(few).min_by_key(key);
    let left = |at: &usize| engine(at).ledger.limit - engine(at).ledger.granted;
    let fits_least = open.iter().filter(|at| engine(at).ledger.fits(least, now));
    let most_left = fits_least.max_by(|a, b| left(a).total_cmp(&left(b))).map(|&at| (at, least));
    choice.map(|&at| (at, grant)).or(most_left)
}

fn class(credit: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        value: credit,
        late_value_share: 0.2,
        latency_objective: 1.0,
        max_wait: f64::INFINITY,
        objective_stretch: 2.0,
        threads,
        idempotency,
        in_key_order: false,
        locks_tables: false,
        waits_for_table_locks: true,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

/// Light, heavy, holding and confined requests, before engines of two kinds in three zones.
fn deployment(gateways: f64, tells: bool) -> Deployment {
    let all = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 5.0 };
    let near = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 5.0 };
    let mut classes = vec![
        class(1.0, 1.0, Idempotency::Idempotent),
        class(8.0, 3.0, Idempotency::Idempotent),
        class(6.0, 2.0, all),
        class(2.0, 1.0, near),
    ];
    classes[2].locks_tables = true;
    classes[2].in_key_order = true;
    classes[3].allowed_zones = Some(vec![0, 2]);
    classes[1].allowed_kinds = if tells { Some(vec![1]) } else { None };
    Deployment {
        gateways,
        classes,
        engine_kinds: vec![
            EngineKind { cores: 8.0, memory_mb: 6000.0 },
            EngineKind { cores: 16.0, memory_mb: 9000.0 },
        ],
        max_memory_share: 0.5,
        honours_grants: true,
        trims_grants: tells,
        pages_memory: !tells,
        has_priority_lanes: true,
        can_cancel: true,
        allows_hedging: false,
        max_attempts: 4,
        slow_start: SlowStart { initial_share: 0.3, duration: 6.0, overload_multiple: 2.0, window: 1.0 },
        retry_budget: Some(RetryBudget { base: 30.0, per_request: 0.3, window: 5.0 }),
        key_quiet_period: 0.5,
        ..Deployment::default()
    }
}

struct Scenario {
    gateway: Gateway,
    recorder: Recorder,
    now: f64,
    draws: u64,
    seed: u64,
    engines: Vec<EngineListing>,
    names: u64,
    requests: usize,
    tells: bool,
    /// Choices that were compared, and what took effect in them.
    choices: usize,
    held: usize,
    roomiest: usize,
    seen: usize,
}

impl Scenario {
    fn new(engines: usize, gateways: f64, tells: bool, seed: u64) -> Scenario {
        let mut scenario = Scenario {
            gateway: Gateway::new(deployment(gateways, tells), seed, 0.0),
            recorder: Recorder::default(),
            now: 0.0,
            draws: 0,
            seed,
            engines: Vec::new(),
            names: 0,
            requests: 0,
            tells,
            choices: 0,
            held: 0,
            roomiest: 0,
            seen: 0,
        };
        (0..engines).for_each(|at| scenario.enters(at, None));
        scenario.gateway.engines_listed(0.0, &scenario.engines.clone(), true);
        scenario
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (hash_of((self.seed, "scenario", self.draws)) % below as u64) as usize
    }

    /// A new engine takes this index.
    fn enters(&mut self, at: usize, since: Option<f64>) {
        self.names += 1;
        let listing = EngineListing {
            engine: at,
            name_hash: hash_of(self.names),
            zone: at % 3,
            kind: at % 2,
            cell: (at % 4) as u64,
            started_at: since,
            stage: EngineStage::Ready,
        };
        if at == self.engines.len() {
            self.engines.push(listing);
        } else {
            self.engines[at] = listing;
        }
    }

    fn list_changes(&mut self) {
        let at = self.draw(self.engines.len());
        let now = self.now;
        match self.draw(5) {
            0 => self.engines[at].stage = EngineStage::Draining,
            1 => self.engines[at].stage = EngineStage::Gone,
            2 => self.engines[at].stage = EngineStage::Ready,
            3 => self.enters(at, Some(now)),
            _ => self.enters(self.engines.len(), Some(now)),
        }
        let at = at.min(self.engines.len() - 1);
        let last = self.engines.len() - 1;
        let whole = self.draw(20) == 0;
        let listings = if whole { self.engines.clone() } else { vec![self.engines[at], self.engines[last]] };
        self.gateway.engines_listed(self.now, &listings, whole);
    }

    fn takes(&mut self, groups: usize) {
        let class = [0, 0, 0, 1, 2, 3][self.draw(6)];
        let cost = [0.05, 1.0, 0.6, 0.1][class] * (1 + self.draw(8)) as f64 / 4.0;
        let taken = IncomingRequest {
            class,
            key: Some(self.draw(50) as u64),
            table_group: self.draw(groups) as u64,
            estimated_work: Some(cost),
            estimated_memory_mb: Some(200.0 * (1 + self.draw(20)) as f64),
            deadline: self.now + 4.0,
            ..IncomingRequest::default()
        };
        self.gateway.request_received(self.now, self.requests, taken);
        self.requests += 1;
    }

    /// One of those that are out ends.
    fn ends(&mut self) {
        if self.recorder.attempts.is_empty() {
            return;
        }
        let which = self.draw(self.recorder.attempts.len());
        let (request, engine) = self.recorder.attempts.swap_remove(which);
        // A third of the engines breaks what it gets.
        let bad = [
            AttemptOutcome::EngineError,
            AttemptOutcome::Unreachable,
            AttemptOutcome::EngineFull,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::TimedOut,
        ];
        let ending = match engine % 3 {
            0 => bad[self.draw(5)],
            _ => AttemptOutcome::Completed,
        };
        let spent = 0.05 * (1 + self.draw(30)) as f64;
        let told = (self.tells && ending == AttemptOutcome::Completed)
            .then_some(MeasuredCost { work: spent * 0.7, memory_mb: 300.0 });
        let load = LoadReport {
            requests: self.tells.then_some(self.draw(30) as f64),
            memory_waits: (self.draw(30) == 0).then_some(1.0),
            granted_memory_share: (self.draw(10) == 0).then_some(1.0),
        };
        let request_done = ending == AttemptOutcome::Completed;
        self.gateway.attempt_ended(
            self.now,
            &AttemptEnd {
                request,
                engine,
                outcome: ending,
                request_done,
                elapsed: spent,
                measured: told,
                load,
            },
        );
    }

    /// Requests are tried as `dispatch_queued` tries them, each choice beside the plain walk's.
    fn compare(&mut self) {
        let gateway = &mut self.gateway;
        let mut failures = 0;
        while failures < 12 {
            let Some(id) = gateway.queue.next(self.now) else { break };
            gateway.round.passed_over = failures > 0 && gateway.queue.has_tenants();
            if !gateway.is_first_of_key(id, self.now) || gateway.retries_exhausted(id, self.now) {
                continue;
            }
            let expected = plain_walk(gateway, self.now, id);
            let dispatched = self.recorder.attempts.len();
            let placed = gateway.place(self.now, id, &mut self.recorder);
            let found = self.recorder.attempts[dispatched..].first().map(|(_, engine)| *engine);
            assert_eq!(found, expected.map(|(at, _)| at), "request {id} at {}, seed {}", self.now, self.seed);
            if let Some((_, grant)) = expected {
                let attempt = gateway.requests.open[&id].attempts.last().expect("it was pushed");
                assert_eq!(attempt.grant, grant, "request {id}");
                self.roomiest += usize::from(attempt.at_quarter);
            }
            self.choices += 1;
            self.held += usize::from(!placed);
            match placed {
                true => gateway.queue.dispatched(id, self.now),
                false => failures += 1,
            }
        }
        gateway.queue.return_offers(self.now);
    }

    fn plays(&mut self, steps: usize, groups: usize, load: usize, list: usize) {
        for _ in 0..steps {
            for _ in 0..self.draw(load) {
                self.takes(groups);
            }
            for _ in 0..self.draw(load) {
                self.ends();
            }
            if list > 0 && self.draw(list) == 0 {
                self.list_changes();
            }
            if self.draw(20) == 0 {
                let (at, bad) = (self.draw(self.engines.len()), self.draw(9) as f64);
                self.gateway.peer_evidence_received(
                    at,
                    EngineEvidence { successes: 1.0, failures: bad, slow_start_work: 0.1 },
                );
            }
            self.compare();
            self.seen += self.recorder.attempts.len();
            self.gateway.round(self.now, &mut self.recorder);
            self.now += 0.01 * self.draw(10) as f64;
        }
    }
}

#[test]
fn the_index_finds_what_a_walk_over_all_engines_finds() {
    let (mut choices, mut held, mut quarters) = (0, 0, 0);
    for seed in 0..12 {
        let engines = [3, 9, 40, 130][seed as usize % 4];
        let gateways = [1.0, 6.0, 40.0][seed as usize % 3];
        let mut scenario = Scenario::new(engines, gateways, seed % 2 == 0, seed);
        scenario.plays(700, [3, 40, 400][seed as usize % 3], 8, [4, 1][seed as usize % 2]);
        choices += scenario.choices;
        held += scenario.held;
        quarters += scenario.roomiest;
        assert!(scenario.seen > 0 && scenario.choices > 200, "seed {seed}: {} choices", scenario.choices);
    }
    assert!(choices > 15_000 && held > 1_000 && quarters > 100, "{choices} choices, {held} held, {quarters}");
}

/// With tenants a heavy request whose turn came before keeps light ones from passing.
#[test]
fn the_index_finds_the_same_with_tenants() {
    let mut scenario = Scenario::new(30, 3.0, true, 77);
    let tenant = TenantConfig { parent: 0, weight: 1.0, ..TenantConfig::default() };
    scenario.gateway.set_tenants(
        0.0,
        TenantQueue::new(vec![TenantConfig::default(), tenant.clone(), tenant], 0.0),
        &|id| 1 + id % 2,
    );
    scenario.plays(700, 20, 8, 10);
    assert!(scenario.choices > 1_000 && scenario.held > 100, "{} {}", scenario.choices, scenario.held);
}

/// How many engines a request's choice looks at, in a fleet of so many whose requests read so many table groups alike.
fn looks(engines: usize, groups: usize, bad: bool, changes: usize) -> f64 {
    let mut scenario = Scenario::new(engines, (engines * 550 / 690) as f64, true, 5);
    let (mut took, mut before) = (0, 0);
    // The first half sees each group some times, so that its order is known.
    let steps = 3000.max(10 * groups);
    for step in 0..steps {
        if step == steps / 2 {
            (took, before) = (0, scenario.gateway.engines.orders.looked_at());
        }
        let taken = IncomingRequest {
            table_group: scenario.draw(groups) as u64,
            estimated_work: Some(0.02),
            estimated_memory_mb: Some(50.0),
            deadline: scenario.now + 2.0,
            ..IncomingRequest::default()
        };
        scenario.gateway.request_received(scenario.now, scenario.requests, taken);
        (scenario.requests, took) = (scenario.requests + 1, took + 1);
        scenario.gateway.round(scenario.now, &mut scenario.recorder);
        while scenario.recorder.attempts.len() > 10 {
            let (request, engine) = scenario.recorder.attempts.remove(0);
            let ending = if bad && engine % 3 == 0 {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Completed
            };
            let told =
                (ending == AttemptOutcome::Completed).then_some(MeasuredCost { work: 0.02, memory_mb: 50.0 });
            let load = LoadReport { requests: Some(1.0), ..LoadReport::default() };
            let request_done = ending == AttemptOutcome::Completed;
            let end = AttemptEnd {
                request,
                engine,
                outcome: ending,
                request_done,
                elapsed: 0.03,
                measured: told,
                load,
            };
            scenario.gateway.attempt_ended(scenario.now, &end);
        }
        if changes > 0 && step % changes == 0 {
            let at = scenario.draw(engines);
            scenario.enters(at, None);
            let listing = scenario.engines[at];
            scenario.gateway.engines_listed(scenario.now, &[listing], false);
        }
        scenario.now += 0.0003;
    }
    (scenario.gateway.engines.orders.looked_at() - before) as f64 / f64::from(took)
}

/// Counts, not clocks: with twenty-three times the engines a choice looks at no more than three times as many, and twice those
/// by which its table group's share widens it.
#[test]
fn what_a_choice_looks_at_does_not_grow_with_the_fleet() {
    const GROUPS: usize = 100;
    for (bad, changes) in [(false, 0), (true, 0), (false, 10), (true, 10)] {
        let [few, many] = [30, 690].map(|engines| looks(engines, GROUPS, bad, changes));
        let wider = HOT_GROUP_SPREAD * 690.0 / GROUPS as f64 - 3.0;
        assert!(few >= 3.0, "{few}: nothing was looked at");
        assert!(
            many <= 3.0 * few + 2.0 * wider && many <= 60.0 + 2.0 * wider,
            "{few} at 30, {many} at 690: bad {bad}, changes {changes}"
        );
    }
}

/// A group's engines are its share of the work, some times over: what a choice looks at follows that, not the fleet.
#[test]
fn what_a_choice_looks_at_follows_its_table_groups_share() {
    for (engines, groups) in [(60, 10), (690, 100), (690, 230)] {
        let width = (HOT_GROUP_SPREAD * engines as f64 / groups as f64).max(3.0);
        let looked = looks(engines, groups, false, 0);
        assert!(looked >= width, "{looked} of {engines} engines for {groups} groups: fewer than {width}");
        assert!(
            looked <= 3.0 * width,
            "{looked} of {engines} engines for {groups} groups: {width} are meant"
        );
    }
}

/// Among many gateways an engine seldom tells anything: what all engines told says how full those are that did not.
#[test]
fn the_room_of_an_engine_that_told_nothing_follows_the_median_pace() {
    let limit_at = |median: f64| {
        let mut gateway = Gateway::new(deployment(40.0, false), 1, 0.0);
        gateway.engines_listed(
            0.0,
            &[EngineListing { engine: 0, name_hash: 1, ..EngineListing::default() }],
            true,
        );
        gateway.load.median_pace = median;
        (1..=20).for_each(|tick| gateway.tick(f64::from(tick) * TICK));
        gateway.engines.states[0].concurrency.limit
    };
    assert!(limit_at(5.0) < INITIAL_LIMIT);
    assert!(limit_at(1.0) >= INITIAL_LIMIT);
}
