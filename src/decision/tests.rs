//! Compares the choices made with the indices against a plain walk over all engines in long random scenarios, and
//! bounds the number of engines that a choice examines.

use super::concurrency_limit::INITIAL_LIMIT;
use super::engine_selection::{HOT_GROUP_PRIOR, HOT_GROUP_SPREAD};
use super::outlier_detection::MIN_SUCCESS_RATE;
use super::*;
use crate::statistics::{hash_of, order_key};
use crate::*;
use cleatgw_tenant_queue::{TenantConfig, TenantQueue};
use std::collections::BTreeSet;

/// Records the attempts that are in flight, as pairs of request and engine.
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

/// The engine and grant that a walk over all engines, without an index, chooses for a request.
fn choice_without_index(gateway: &mut Gateway, now: f64, id: usize) -> Option<(usize, f64)> {
    let grants = gateway.grant(id);
    let (preferred_grant, minimum_grant) = (grants.preferred.memory, grants.minimum);
    let gateway = &*gateway;
    let request = &gateway.requests.open[&id];
    let (group, class_index) = (request.incoming.table_group, request.incoming.class);
    let ready = gateway.engines.states.iter().enumerate();
    let ready = ready.filter(|(_, engine)| engine.listing.stage == EngineStage::Ready && engine.cores > 0.0);
    let positions = ready.map(|(index, engine)| (hash_of((engine.listing.name_hash, group)), index));
    let mut candidates: Vec<usize> =
        positions.collect::<BTreeSet<_>>().into_iter().map(|(_, index)| index).collect();
    let class = &gateway.deployment.classes[class_index];
    let (ready_count, threads_of_all_gateways) =
        (candidates.len() as f64, gateway.deployment.gateways * class.threads);
    let kinds = &gateway.deployment.engine_kinds;
    let has_many_gateways = threads_of_all_gateways > kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
    let share = gateway.load.table_group_work.share(group, HOT_GROUP_PRIOR);
    let hot = if has_many_gateways { HOT_GROUP_SPREAD * share * ready_count } else { 0.0 };
    let candidate_count = (candidates.len() / 3).clamp(2, 3).max(hot.ceil() as usize);
    if class.locks_tables {
        candidates.reverse();
        let has_time = gateway.last_start(request) - now > gateway.expected_run_time(request);
        candidates.truncate(if has_time { candidates.len().div_ceil(2) } else { candidates.len() });
    }
    let can_wait_for_lock = class.locks_tables || class.waits_for_table_locks;
    let is_light = gateway.is_light(id) && !gateway.round.earlier_request_unplaced;
    let engine = |index: &usize| &gateway.engines.states[*index];
    let would_wait = |index: &usize| can_wait_for_lock && engine(index).locked_table_groups.contains(&group);
    candidates.retain(|index| gateway.may_attempt(id, *index, now) && !would_wait(index));
    let success_rate = |index: &usize| engine(index).reliability.success_rate_for(class_index);
    let min_rate = MIN_SUCCESS_RATE * candidates.iter().map(success_rate).fold(0.0, f64::max);
    let is_trial = |engine: &EngineState| {
        is_light && engine.attempts == 0 && engine.reliability.sampled_success_rate >= min_rate
    };
    candidates.retain(|index| success_rate(index) >= min_rate || is_trial(engine(index)));
    let may_use_fair_share = gateway.classes[class_index].work_fit.is_unmeasured()
        && gateway.fits_fair_share(gateway.load.threads + class.threads, gateway.load.usable_cores);
    let is_fair_share_free = |index: &usize| {
        let engine = engine(index);
        let threads = engine.threads + class.threads;
        !engine.concurrency.reports_load
            && (engine.attempts == 0 || gateway.fits_fair_share(threads, engine.cores))
    };
    candidates.retain(|index| {
        gateway.has_capacity(class_index, engine(index), is_light)
            || may_use_fair_share && is_fair_share_free(index)
    });
    let was_attempted = |index: &usize| {
        request.attempts.iter().any(|attempt| attempt.sent_to.name_hash == engine(index).listing.name_hash)
    };
    let rank = |index: &&usize| {
        let own_threads = order_key(engine(index).threads / engine(index).cores);
        let peer_threads = order_key(gateway.load.peer_threads_on(engine(index)));
        let is_first_contact =
            threads_of_all_gateways > engine(index).cores && engine(index).best_pace.is_none();
        let tie_break = hash_of((gateway.random.seed, gateway.random.draws + 1, **index));
        (was_attempted(index), own_threads, is_first_contact, peer_threads, tie_break)
    };
    let best = candidates
        .iter()
        .filter(|index| engine(index).ledger.fits(preferred_grant, now))
        .take(candidate_count)
        .min_by_key(rank);
    let free_memory = |index: &usize| engine(index).ledger.limit - engine(index).ledger.granted;
    let fits_minimum = candidates.iter().filter(|index| engine(index).ledger.fits(minimum_grant, now));
    let most_free = fits_minimum
        .max_by(|a, b| free_memory(a).total_cmp(&free_memory(b)))
        .map(|&index| (index, minimum_grant));
    best.map(|&index| (index, preferred_grant)).or(most_free)
}

fn class(value: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        value,
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

/// A deployment with four classes: light, heavy, table-locking, and restricted to some zones. The engines are of two
/// kinds and in three zones.
fn deployment(gateways: f64, reports_load: bool) -> Deployment {
    let deduplicated_everywhere = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 5.0 };
    let deduplicated_in_zone = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 5.0 };
    let mut classes = vec![
        class(1.0, 1.0, Idempotency::Idempotent),
        class(8.0, 3.0, Idempotency::Idempotent),
        class(6.0, 2.0, deduplicated_everywhere),
        class(2.0, 1.0, deduplicated_in_zone),
    ];
    classes[2].locks_tables = true;
    classes[2].in_key_order = true;
    classes[3].allowed_zones = Some(vec![0, 2]);
    classes[1].allowed_kinds = if reports_load { Some(vec![1]) } else { None };
    Deployment {
        gateways,
        classes,
        engine_kinds: vec![
            EngineKind { cores: 8.0, memory_mb: 6000.0 },
            EngineKind { cores: 16.0, memory_mb: 9000.0 },
        ],
        max_memory_share: 0.5,
        honours_grants: true,
        trims_grants: reports_load,
        pages_memory: !reports_load,
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

/// A gateway under random requests, answers and changes of the engine list.
struct Scenario {
    gateway: Gateway,
    recorder: Recorder,
    now: f64,
    draws: u64,
    seed: u64,
    engines: Vec<EngineListing>,
    /// The number of engine names used so far.
    names: u64,
    requests: usize,
    reports_load: bool,
    /// The number of choices that were compared.
    choices: usize,
    /// The choices that found no engine.
    unplaced: usize,
    /// The choices with a quarter grant.
    quarter_grants: usize,
    /// The sum over all steps of the attempts in flight.
    attempts_seen: usize,
}

impl Scenario {
    fn new(engines: usize, gateways: f64, reports_load: bool, seed: u64) -> Scenario {
        let mut scenario = Scenario {
            gateway: Gateway::new(deployment(gateways, reports_load), seed, 0.0),
            recorder: Recorder::default(),
            now: 0.0,
            draws: 0,
            seed,
            engines: Vec::new(),
            names: 0,
            requests: 0,
            reports_load,
            choices: 0,
            unplaced: 0,
            quarter_grants: 0,
            attempts_seen: 0,
        };
        (0..engines).for_each(|index| scenario.add_engine(index, None));
        scenario.gateway.engines_listed(0.0, &scenario.engines.clone(), true);
        scenario
    }

    /// A pseudo-random number below `bound`.
    fn random(&mut self, bound: usize) -> usize {
        self.draws += 1;
        (hash_of((self.seed, "scenario", self.draws)) % bound as u64) as usize
    }

    /// Puts a new engine at this index.
    fn add_engine(&mut self, index: usize, started_at: Option<f64>) {
        self.names += 1;
        let listing = EngineListing {
            engine: index,
            name_hash: hash_of(self.names),
            zone: index % 3,
            kind: index % 2,
            cell: (index % 4) as u64,
            started_at,
            stage: EngineStage::Ready,
        };
        if index == self.engines.len() {
            self.engines.push(listing);
        } else {
            self.engines[index] = listing;
        }
    }

    /// Changes one engine of the list, and reports the change or, sometimes, the complete list.
    fn change_engine_list(&mut self) {
        let index = self.random(self.engines.len());
        let now = self.now;
        match self.random(5) {
            0 => self.engines[index].stage = EngineStage::Draining,
            1 => self.engines[index].stage = EngineStage::Gone,
            2 => self.engines[index].stage = EngineStage::Ready,
            3 => self.add_engine(index, Some(now)),
            _ => self.add_engine(self.engines.len(), Some(now)),
        }
        let index = index.min(self.engines.len() - 1);
        let last = self.engines.len() - 1;
        let is_complete = self.random(20) == 0;
        let listings =
            if is_complete { self.engines.clone() } else { vec![self.engines[index], self.engines[last]] };
        self.gateway.engines_listed(self.now, &listings, is_complete);
    }

    /// Receives a random request for one of `groups` table groups.
    fn receive_request(&mut self, groups: usize) {
        let class = [0, 0, 0, 1, 2, 3][self.random(6)];
        let work = [0.05, 1.0, 0.6, 0.1][class] * (1 + self.random(8)) as f64 / 4.0;
        let incoming = IncomingRequest {
            class,
            key: Some(self.random(50) as u64),
            table_group: self.random(groups) as u64,
            estimated_work: Some(work),
            estimated_memory_mb: Some(200.0 * (1 + self.random(20)) as f64),
            deadline: self.now + 4.0,
            ..IncomingRequest::default()
        };
        self.gateway.request_received(self.now, self.requests, incoming);
        self.requests += 1;
    }

    /// Ends a random attempt in flight.
    fn end_attempt(&mut self) {
        if self.recorder.attempts.is_empty() {
            return;
        }
        let index = self.random(self.recorder.attempts.len());
        let (request, engine) = self.recorder.attempts.swap_remove(index);
        // Attempts on a third of the engines fail.
        let failures = [
            AttemptOutcome::EngineError,
            AttemptOutcome::Unreachable,
            AttemptOutcome::EngineFull,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::TimedOut,
        ];
        let outcome = match engine % 3 {
            0 => failures[self.random(5)],
            _ => AttemptOutcome::Completed,
        };
        let elapsed = 0.05 * (1 + self.random(30)) as f64;
        let measured = (self.reports_load && outcome == AttemptOutcome::Completed)
            .then_some(MeasuredCost { work: elapsed * 0.7, memory_mb: 300.0 });
        let load = LoadReport {
            requests: self.reports_load.then_some(self.random(30) as f64),
            memory_waits: (self.random(30) == 0).then_some(1.0),
            granted_memory_share: (self.random(10) == 0).then_some(1.0),
        };
        let request_done = outcome == AttemptOutcome::Completed;
        self.gateway.attempt_ended(
            self.now,
            &AttemptEnd { request, engine, outcome, request_done, elapsed, measured, load },
        );
    }

    /// Places queued requests as `dispatch_queued` does, and compares each choice with that of the plain walk.
    fn place_and_compare(&mut self) {
        let gateway = &mut self.gateway;
        let mut failures = 0;
        while failures < 12 {
            let Some(id) = gateway.queue.next(self.now) else { break };
            gateway.round.earlier_request_unplaced = failures > 0 && gateway.queue.has_tenants();
            if !gateway.is_first_of_key(id, self.now) || gateway.attempts_exhausted(id, self.now) {
                continue;
            }
            let expected = choice_without_index(gateway, self.now, id);
            let dispatched = self.recorder.attempts.len();
            let placed = gateway.place(self.now, id, &mut self.recorder);
            let found = self.recorder.attempts[dispatched..].first().map(|(_, engine)| *engine);
            assert_eq!(
                found,
                expected.map(|(engine, _)| engine),
                "engine of request {id} at {} s, seed {}",
                self.now,
                self.seed
            );
            if let Some((_, grant)) = expected {
                let attempt = gateway.requests.open[&id].attempts.last().expect("the request was dispatched");
                assert_eq!(attempt.grant, grant, "grant of request {id}");
                self.quarter_grants += usize::from(attempt.is_quarter_grant);
            }
            self.choices += 1;
            self.unplaced += usize::from(!placed);
            match placed {
                true => gateway.queue.dispatched(id, self.now),
                false => failures += 1,
            }
        }
        gateway.queue.return_offers(self.now);
    }

    /// Runs `steps` steps, each with fewer than `load` new requests and fewer than `load` ended attempts. The engine
    /// list changes once every `list_interval` steps on average, or never if that is 0.
    fn run(&mut self, steps: usize, groups: usize, load: usize, list_interval: usize) {
        for _ in 0..steps {
            for _ in 0..self.random(load) {
                self.receive_request(groups);
            }
            for _ in 0..self.random(load) {
                self.end_attempt();
            }
            if list_interval > 0 && self.random(list_interval) == 0 {
                self.change_engine_list();
            }
            if self.random(20) == 0 {
                let (engine, failures) = (self.random(self.engines.len()), self.random(9) as f64);
                self.gateway.peer_evidence_received(
                    engine,
                    EngineEvidence { successes: 1.0, failures, slow_start_work: 0.1 },
                );
            }
            self.place_and_compare();
            self.attempts_seen += self.recorder.attempts.len();
            self.gateway.round(self.now, &mut self.recorder);
            self.now += 0.01 * self.random(10) as f64;
        }
    }
}

#[test]
fn the_index_chooses_the_same_engine_as_a_walk_over_all_engines() {
    let (mut choices, mut unplaced, mut quarter_grants) = (0, 0, 0);
    for seed in 0..12 {
        let engines = [3, 9, 40, 130][seed as usize % 4];
        let gateways = [1.0, 6.0, 40.0][seed as usize % 3];
        let mut scenario = Scenario::new(engines, gateways, seed % 2 == 0, seed);
        scenario.run(700, [3, 40, 400][seed as usize % 3], 8, [4, 1][seed as usize % 2]);
        choices += scenario.choices;
        unplaced += scenario.unplaced;
        quarter_grants += scenario.quarter_grants;
        assert!(
            scenario.attempts_seen > 0 && scenario.choices > 200,
            "seed {seed}: {} choices, {} attempts seen",
            scenario.choices,
            scenario.attempts_seen
        );
    }
    assert!(
        choices > 15_000 && unplaced > 1_000 && quarter_grants > 100,
        "{choices} choices, {unplaced} without an engine, {quarter_grants} with a quarter grant"
    );
}

/// With tenants, a heavy request that was offered earlier in the round and found no engine keeps light requests from
/// passing.
#[test]
fn the_index_chooses_the_same_engine_as_a_walk_over_all_engines_with_tenants() {
    let mut scenario = Scenario::new(30, 3.0, true, 77);
    let tenant = TenantConfig { parent: 0, weight: 1.0, ..TenantConfig::default() };
    scenario.gateway.set_tenants(
        0.0,
        TenantQueue::new(vec![TenantConfig::default(), tenant.clone(), tenant], 0.0),
        &|id| 1 + id % 2,
    );
    scenario.run(700, 20, 8, 10);
    assert!(
        scenario.choices > 1_000 && scenario.unplaced > 100,
        "{} choices, {} without an engine",
        scenario.choices,
        scenario.unplaced
    );
}

/// The mean number of engines that the choice for a request examines. The requests use all table groups equally, and there
/// are 550 gateways per 690 engines. With `has_faulty_engines`, a third of the engines lose the connection of each
/// attempt. The engine list changes every `list_interval` steps, or never if that is 0.
fn mean_examined_engines(
    engines: usize,
    groups: usize,
    has_faulty_engines: bool,
    list_interval: usize,
) -> f64 {
    let mut scenario = Scenario::new(engines, (engines * 550 / 690) as f64, true, 5);
    let (mut received, mut examined_before) = (0, 0);
    // The first half uses each group several times, so that its order is cached. Only the second half is counted.
    let steps = 3000.max(10 * groups);
    for step in 0..steps {
        if step == steps / 2 {
            (received, examined_before) = (0, scenario.gateway.engines.orders.examined_engines());
        }
        let incoming = IncomingRequest {
            table_group: scenario.random(groups) as u64,
            estimated_work: Some(0.02),
            estimated_memory_mb: Some(50.0),
            deadline: scenario.now + 2.0,
            ..IncomingRequest::default()
        };
        scenario.gateway.request_received(scenario.now, scenario.requests, incoming);
        (scenario.requests, received) = (scenario.requests + 1, received + 1);
        scenario.gateway.round(scenario.now, &mut scenario.recorder);
        while scenario.recorder.attempts.len() > 10 {
            let (request, engine) = scenario.recorder.attempts.remove(0);
            let outcome = if has_faulty_engines && engine % 3 == 0 {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::Completed
            };
            let measured = (outcome == AttemptOutcome::Completed)
                .then_some(MeasuredCost { work: 0.02, memory_mb: 50.0 });
            let load = LoadReport { requests: Some(1.0), ..LoadReport::default() };
            let request_done = outcome == AttemptOutcome::Completed;
            let end = AttemptEnd { request, engine, outcome, request_done, elapsed: 0.03, measured, load };
            scenario.gateway.attempt_ended(scenario.now, &end);
        }
        if list_interval > 0 && step % list_interval == 0 {
            let index = scenario.random(engines);
            scenario.add_engine(index, None);
            let listing = scenario.engines[index];
            scenario.gateway.engines_listed(scenario.now, &[listing], false);
        }
        scenario.now += 0.0003;
    }
    (scenario.gateway.engines.orders.examined_engines() - examined_before) as f64 / f64::from(received)
}

/// With twenty-three times the engines, a choice examines no more than three times as many, plus twice the number of
/// candidates that its table group's share of the work adds. The test counts engines and measures no time.
#[test]
fn the_number_of_examined_engines_does_not_grow_with_the_fleet() {
    const GROUPS: usize = 100;
    for (has_faulty_engines, list_interval) in [(false, 0), (true, 0), (false, 10), (true, 10)] {
        let [examined_of_30, examined_of_690] = [30, 690]
            .map(|engines| mean_examined_engines(engines, GROUPS, has_faulty_engines, list_interval));
        let added_candidates = HOT_GROUP_SPREAD * 690.0 / GROUPS as f64 - 3.0;
        assert!(examined_of_30 >= 3.0, "only {examined_of_30} engines were examined");
        assert!(
            examined_of_690 <= 3.0 * examined_of_30 + 2.0 * added_candidates
                && examined_of_690 <= 60.0 + 2.0 * added_candidates,
            "{examined_of_30} of 30 and {examined_of_690} of 690 engines were examined; faulty engines: \
             {has_faulty_engines}, list interval: {list_interval}"
        );
    }
}

/// A group is spread over a number of engines that is a multiple of its share of the work. The number of engines that a
/// choice examines follows that number, not the size of the fleet.
#[test]
fn the_number_of_examined_engines_follows_the_table_groups_share() {
    for (engines, groups) in [(60, 10), (690, 100), (690, 230)] {
        let candidates = (HOT_GROUP_SPREAD * engines as f64 / groups as f64).max(3.0);
        let examined = mean_examined_engines(engines, groups, false, 0);
        assert!(
            examined >= candidates,
            "{examined} of {engines} engines examined for {groups} groups, fewer than {candidates} candidates"
        );
        assert!(
            examined <= 3.0 * candidates,
            "{examined} of {engines} engines examined for {groups} groups, with {candidates} candidates"
        );
    }
}

/// Among many gateways, each gateway seldom gets an answer from a given engine. The median pace of all engines then
/// shows how loaded an engine without recent answers is.
#[test]
fn the_limit_of_an_engine_without_answers_follows_the_median_pace() {
    let limit_at = |median_pace: f64| {
        let mut gateway = Gateway::new(deployment(40.0, false), 1, 0.0);
        gateway.engines_listed(
            0.0,
            &[EngineListing { engine: 0, name_hash: 1, ..EngineListing::default() }],
            true,
        );
        gateway.load.median_pace = median_pace;
        (1..=20).for_each(|tick| gateway.tick(f64::from(tick) * TICK));
        gateway.engines.states[0].concurrency.limit
    };
    assert!(limit_at(5.0) < INITIAL_LIMIT);
    assert!(limit_at(1.0) >= INITIAL_LIMIT);
}
