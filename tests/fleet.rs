//! Combined behaviour of many gateways, each of which acts on its own observations only: the slow-start budget of a
//! cold engine (rule 4), new engines beside overloaded ones, and a hot table group.
//!
//! A gateway whose share of a slow-start budget is too small for a request draws in a lottery, once per window, for a
//! larger part.

mod common;

use cleatgw::*;
use common::*;
use std::collections::VecDeque;

/// Draws a number uniformly from [0, 1) and advances the seed.
fn uniform(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*seed >> 33) as f64 / (1u64 << 31) as f64
}

/// A fleet with one cold engine, whose clients request more work than the engine could do when warm.
#[derive(Debug)]
struct ColdEngineScenario {
    gateways: usize,
    /// Number of gateways that receive all the traffic; the others receive none.
    busy: usize,
    /// Mean work of a light and of a heavy request, in core-seconds.
    work: [f64; 2],
    /// Requested work as a multiple of the warm engine's capacity.
    demand: f64,
    /// Whether requests carry an estimate of their work.
    estimates: bool,
    /// Whether gateways restart without their history: every 1.5 s, each with probability 0.7, all at the same time.
    restart: bool,
    seed: u64,
}

/// Runs the scenario and returns the worst values over all windows for the cold engine: its work in excess of the
/// budget and of random scatter, in requests of mean work, and the largest share of the budget that was used.
fn worst_window(scenario: &ColdEngineScenario) -> (f64, f64) {
    // Shares of light and of heavy requests.
    const SHARES: [f64; 2] = [0.9, 0.1];
    let mean = scenario.work[0] * SHARES[0] + scenario.work[1] * SHARES[1];
    // Seconds of run time per core-second of work. It is so short that no gateway infers load from its peers, and only
    // the cold engine's budget limits them.
    const SECONDS_PER_WORK: f64 = 0.4;
    let (cores, engines) = (16.0, 1);
    let mut deployment = two_class_deployment();
    deployment.gateways = scenario.gateways as f64;
    deployment.engine_kinds = vec![EngineKind { cores, memory_mb: 32000.0 }];
    deployment.slow_start =
        SlowStart { initial_share: 0.3, duration: 10.0, overload_multiple: 3.0, window: 2.0 };
    deployment.classes[1].threads = 2.0;
    let slow_start = deployment.slow_start;
    let mut seed = scenario.seed;
    let mut hosts: Vec<TestHost> = (0..scenario.gateways)
        .map(|at| TestHost::seeded(deployment.clone(), engines, scenario.seed * 1000 + at as u64))
        .collect();
    let start = hosts[0].now;
    let cold_listing = EngineListing { started_at: Some(start), ..listing(0) };
    hosts.iter_mut().for_each(|host| host.gateway.engines_listed(start, &[cold_listing], false));
    let rate = scenario.demand * engines as f64 * cores / mean / scenario.busy as f64;
    // End time, number and work of each request in flight, by gateway.
    let mut in_flight: Vec<VecDeque<(f64, usize, f64)>> = vec![VecDeque::new(); scenario.gateways];
    let mut work_by_request: Vec<Vec<f64>> = vec![Vec::new(); scenario.gateways];
    let mut sent: VecDeque<(f64, f64)> = VecDeque::new();
    let mut worst: (f64, f64) = (f64::NEG_INFINITY, 0.0);
    let mut restarted = 0;
    let step = 0.05;
    for tick in 0..200 {
        let now = start + f64::from(tick) * step;
        if scenario.restart && tick % 30 == 29 {
            for (at, host) in hosts.iter_mut().enumerate() {
                if uniform(&mut seed) < 0.7 {
                    *host = TestHost::seeded(
                        deployment.clone(),
                        engines,
                        scenario.seed * 1000 + at as u64 + 500 * tick as u64,
                    );
                    host.now = now;
                    host.gateway.engines_listed(now, &[cold_listing], false);
                    (in_flight[at], work_by_request[at]) = Default::default();
                    restarted += 1;
                }
            }
        }
        for (at, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            let completed: Vec<_> = in_flight[at].iter().copied().filter(|(end, ..)| *end <= now).collect();
            in_flight[at].retain(|(end, ..)| *end > now);
            for (_, request, work) in completed {
                host.completed_with_cost(request, SECONDS_PER_WORK * work, work, 100.0);
            }
            let mut expected_arrivals = if at < scenario.busy { rate * step } else { 0.0 };
            while expected_arrivals > 0.0 && uniform(&mut seed) < expected_arrivals {
                expected_arrivals -= 1.0;
                let class = usize::from(uniform(&mut seed) < SHARES[1]);
                let work = scenario.work[class] * (0.5 + uniform(&mut seed));
                let estimate = scenario.estimates.then_some(work);
                let group = (uniform(&mut seed) * 300.0) as u64;
                host.request(class, |incoming| {
                    (incoming.estimated_work, incoming.table_group) = (estimate, group)
                });
                work_by_request[at].push(work);
            }
            let before = host.recorder.actions.len();
            host.round();
            let written = host.recorder.actions[before..].to_vec();
            for (_, action) in written {
                if let WrittenAction::Attempt { request, engine, .. } = action {
                    let work = work_by_request[at][request];
                    in_flight[at].push_back((now + SECONDS_PER_WORK * work, request, work));
                    if engine == 0 {
                        sent.push_back((now, work));
                    }
                }
            }
        }
        sent.retain(|(sent_at, _)| *sent_at > now - slow_start.window);
        let request_count = sent.iter().map(|(_, work)| work).sum::<f64>() / mean;
        let warmth = (slow_start.initial_share
            + (1.0 - slow_start.initial_share) * (now - start) / slow_start.duration)
            .min(1.0);
        let budget = slow_start.overload_multiple * cores * warmth * slow_start.window / mean;
        // The allowance for scatter is two standard deviations of a Poisson count, and two requests.
        let excess = request_count - (budget + 2.0 * budget.sqrt() + 2.0);
        worst = (excess.max(worst.0), worst.1.max(request_count / budget));
    }
    assert_eq!(restarted > 0, scenario.restart);
    worst
}

/// Mean work of a light and a heavy request: the light one is a sixtieth of the heavy one, which is too large to pass
/// the slow-start lottery.
const UNEVEN_WORK: [f64; 2] = [0.1, 6.0];

#[test]
fn all_gateways_together_keep_a_cold_engines_budget() {
    for gateways in [1usize, 2, 3, 5, 8, 20, 30, 120, 300] {
        // The largest fleet runs with one seed only, since it takes as long as all the others.
        let seeds = if gateways > 120 { 1..2 } else { 1..4 };
        for (busy, estimates, restart) in [
            (gateways, true, false),
            (gateways, false, false),
            (gateways, true, true),
            (gateways, false, true),
            (gateways.div_ceil(5), true, false),
            (gateways.div_ceil(5), false, false),
        ] {
            for seed in seeds.clone() {
                let scenario = ColdEngineScenario {
                    gateways,
                    busy,
                    work: UNEVEN_WORK,
                    demand: 3.0,
                    estimates,
                    restart,
                    seed,
                };
                let (excess, share) = worst_window(&scenario);
                assert!(
                    excess <= 0.0,
                    "{scenario:?}: {excess:.1} requests beyond random scatter, {share:.2} of the budget"
                );
                assert!(share > 0.0, "{scenario:?}: the cold engine received no work");
            }
        }
    }
}

/// Every request is small enough to pass the slow-start lottery, and every gateway has a request for each of its draws,
/// so that only the lottery limits what is sent.
#[test]
fn gateways_that_use_every_lottery_draw_keep_a_cold_engines_budget() {
    for gateways in [30, 120, 300] {
        for seed in 1..3 {
            let busy = gateways;
            let scenario = ColdEngineScenario {
                gateways,
                busy,
                work: [0.5, 1.0],
                demand: 12.0,
                estimates: true,
                restart: false,
                seed,
            };
            let (excess, share) = worst_window(&scenario);
            assert!(
                excess <= 0.0,
                "{scenario:?}: {excess:.1} requests beyond random scatter, {share:.2} of the budget"
            );
            assert!(share > 0.2, "{scenario:?}: {share:.2} of the budget, the lottery draws were not used");
        }
    }
}

/// A fleet whose work estimates are never corrected by answers, and of whose ten engines six are replaced by cold ones.
struct ReplacementFleet {
    hosts: Vec<TestHost>,
    /// End time, number and duration in seconds of each request in flight, by gateway.
    in_flight: Vec<VecDeque<(f64, usize, f64)>>,
    /// Work sent to the new engines, in core-seconds.
    sent_to_new: f64,
    rejected: usize,
    seed: u64,
}

impl ReplacementFleet {
    /// More gateways than cores, so that no gateway's share reaches one core.
    const GATEWAYS: usize = 200;
    const ENGINES: usize = 10;
    /// Number of engines that are replaced.
    const REPLACED: usize = 6;
    const CORES: f64 = 16.0;
    /// Run time as a multiple of the estimated work, on an old and on a new engine.
    const SLOWDOWN_OLD: f64 = 12.0;
    const SLOWDOWN_NEW: f64 = 1.0;
    const STEP: f64 = 0.05;

    fn new(seed: u64) -> ReplacementFleet {
        let mut deployment = two_class_deployment();
        deployment.gateways = Self::GATEWAYS as f64;
        deployment.engine_kinds = vec![EngineKind { cores: Self::CORES, memory_mb: 32000.0 }];
        deployment.slow_start =
            SlowStart { initial_share: 0.4, duration: 12.0, overload_multiple: 3.0, window: 3.0 };
        let seeds = (0..Self::GATEWAYS as u64).map(|at| 1000 * seed + at);
        let hosts = seeds.map(|seed| TestHost::seeded(deployment.clone(), Self::ENGINES, seed)).collect();
        ReplacementFleet {
            hosts,
            in_flight: vec![VecDeque::new(); Self::GATEWAYS],
            sent_to_new: 0.0,
            rejected: 0,
            seed,
        }
    }

    /// Removes engines 0 to 5 from the list and adds as many cold ones.
    fn replace(&mut self) {
        for host in &mut self.hosts {
            let gone =
                (0..Self::REPLACED).map(|at| EngineListing { stage: EngineStage::Gone, ..listing(at) });
            let new = (0..Self::REPLACED)
                .map(|at| EngineListing { started_at: Some(host.now), ..listing(Self::ENGINES + at) });
            host.gateway.engines_listed(host.now, &gone.chain(new).collect::<Vec<_>>(), false);
        }
    }

    /// Advances the fleet while light requests arrive for half the capacity of all cores.
    fn advance(&mut self, seconds: f64) {
        const WORK: f64 = 0.1;
        let rate = 0.5 * Self::ENGINES as f64 * Self::CORES / WORK / Self::GATEWAYS as f64;
        for _ in 0..(seconds / Self::STEP) as usize {
            for (host, in_flight) in self.hosts.iter_mut().zip(&mut self.in_flight) {
                host.now += Self::STEP;
                while in_flight.front().is_some_and(|(end, ..)| *end <= host.now) {
                    let (_, request, duration) =
                        in_flight.pop_front().expect("the queue was checked to be non-empty");
                    host.attempt_ended(request, AttemptOutcome::Completed, duration);
                }
                let mut expected_arrivals = rate * Self::STEP;
                while expected_arrivals > 0.0 && uniform(&mut self.seed) < expected_arrivals {
                    expected_arrivals -= 1.0;
                    let group = (uniform(&mut self.seed) * 300.0) as u64;
                    host.request(0, |incoming| incoming.table_group = group);
                }
                let before = host.recorder.actions.len();
                host.round();
                for (_, action) in &host.recorder.actions[before..] {
                    match *action {
                        WrittenAction::Attempt { request, engine, .. } => {
                            let new = engine >= Self::ENGINES;
                            self.sent_to_new += if new { WORK } else { 0.0 };
                            let duration = WORK * if new { Self::SLOWDOWN_NEW } else { Self::SLOWDOWN_OLD };
                            in_flight.push_back((host.now + duration, request, duration));
                        }
                        WrittenAction::Reject(_) => self.rejected += 1,
                        _ => {}
                    }
                }
                in_flight.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
            }
        }
    }
}

#[test]
fn new_engines_are_not_left_idle_while_requests_are_rejected() {
    for seed in 1..4 {
        let mut fleet = ReplacementFleet::new(seed);
        fleet.advance(6.0);
        assert_eq!(fleet.sent_to_new, 0.0);
        fleet.replace();
        fleet.rejected = 0;
        let seconds = 4.0;
        fleet.advance(seconds);
        // The least work that the new engines can do while they are cold: 0.4 is `slow_start.initial_share`.
        let capacity = 0.4 * ReplacementFleet::REPLACED as f64 * ReplacementFleet::CORES * seconds;
        let used = fleet.sent_to_new / capacity;
        assert!(
            fleet.rejected > 0,
            "seed {seed}: the old engines were not overloaded, so the test shows nothing"
        );
        assert!(
            used > 0.4,
            "seed {seed}: {used:.2} of the new engines' capacity used, {} requests rejected",
            fleet.rejected
        );
    }
}

/// Each gateway has too few requests to overload an engine by itself, so a hot group is spread because of its share of
/// the work.
#[test]
fn a_hot_table_group_is_spread_over_as_many_engines_as_its_work_needs() {
    const GATEWAYS: usize = 100;
    const ENGINES: usize = 30;
    const HOT_SHARE: f64 = 0.3;
    let mut deployment = two_class_deployment();
    deployment.gateways = GATEWAYS as f64;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    let mut seed = 11;
    let mut sent = [0.0; ENGINES];
    for at in 0..GATEWAYS as u64 {
        let mut host = TestHost::seeded(deployment.clone(), ENGINES, at);
        for _ in 0..60 {
            let hot = uniform(&mut seed) < HOT_SHARE;
            let group = if hot { 7 } else { 100 + (uniform(&mut seed) * 300.0) as u64 };
            let request = host.request(0, |incoming| incoming.table_group = group);
            host.advance(0.1);
            sent[*host.engines_of(request).first().expect("an engine has capacity for the request")] += 1.0;
            host.completed_with_cost(request, 0.1, 0.1, 50.0);
        }
    }
    let mean = sent.iter().sum::<f64>() / ENGINES as f64;
    let max = sent.iter().copied().fold(0.0, f64::max);
    assert!(max < 2.5 * mean, "the busiest engine got {:.1} times the mean: {sent:?}", max / mean);
}
