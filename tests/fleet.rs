//! What many gateways do together, each by what it sees alone: a cold engine's budget (rule 4), new engines beside crowded
//! ones, a hot table group.

mod common;

use cleatgw::*;
use common::*;
use std::collections::VecDeque;

/// A draw from 0 to 1; the seed moves on.
fn draw(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*seed >> 33) as f64 / (1u64 << 31) as f64
}

/// How a fleet whose only engine is cold is asked for more than that can do warm.
#[derive(Debug)]
struct Play {
    gateways: usize,
    /// So many of them have all the traffic.
    busy: usize,
    /// Work of a light and of a heavy request, and how many times what the engine can do warm is asked for.
    work: [f64; 2],
    demand: f64,
    /// Requests tell what they cost.
    estimates: bool,
    /// Seven in ten restart at once, knowing nothing, and again every one and a half seconds.
    restart: bool,
    seed: u64,
}

/// What the cold engine got in its worst windows: calls of mean work beyond its budget and what may be chance, and the
/// largest part of its budget.
fn worst(play: &Play) -> (f64, f64) {
    const SHARES: [f64; 2] = [0.9, 0.1];
    let mean = play.work[0] * SHARES[0] + play.work[1] * SHARES[1];
    // So quick that no gateway feels a crowd: what holds them back is the cold engine's budget alone.
    const PACE: f64 = 0.4;
    let (cores, engines) = (16.0, 1);
    let mut deployment = two_class_deployment();
    deployment.gateways = play.gateways as f64;
    deployment.engine_kinds = vec![EngineKind { cores, memory_mb: 32000.0 }];
    deployment.slow_start =
        SlowStart { initial_share: 0.3, duration: 10.0, overload_multiple: 3.0, window: 2.0 };
    deployment.classes[1].threads = 2.0;
    let cold = deployment.slow_start;
    let mut seed = play.seed;
    let mut hosts: Vec<TestHost> = (0..play.gateways)
        .map(|at| TestHost::seeded(deployment.clone(), engines, play.seed * 1000 + at as u64))
        .collect();
    let begun = hosts[0].now;
    let fresh = EngineListing { started_at: Some(begun), ..listing(0) };
    hosts.iter_mut().for_each(|host| host.gateway.engines_listed(begun, &[fresh], false));
    let rate = play.demand * engines as f64 * cores / mean / play.busy as f64;
    let mut out: Vec<VecDeque<(f64, usize, f64)>> = vec![VecDeque::new(); play.gateways];
    let mut costs: Vec<Vec<f64>> = vec![Vec::new(); play.gateways];
    let mut sent: VecDeque<(f64, f64)> = VecDeque::new();
    let mut most: (f64, f64) = (f64::NEG_INFINITY, 0.0);
    let mut restarted = 0;
    let step = 0.05;
    for tick in 0..200 {
        let now = begun + f64::from(tick) * step;
        if play.restart && tick % 30 == 29 {
            for (at, host) in hosts.iter_mut().enumerate() {
                if draw(&mut seed) < 0.7 {
                    *host = TestHost::seeded(
                        deployment.clone(),
                        engines,
                        play.seed * 1000 + at as u64 + 500 * tick as u64,
                    );
                    host.now = now;
                    host.gateway.engines_listed(now, &[fresh], false);
                    (out[at], costs[at]) = Default::default();
                    restarted += 1;
                }
            }
        }
        for (at, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            let done: Vec<_> = out[at].iter().copied().filter(|(end, ..)| *end <= now).collect();
            out[at].retain(|(end, ..)| *end > now);
            for (_, request, work) in done {
                host.completed_with_cost(request, PACE * work, work, 100.0);
            }
            let mut left = if at < play.busy { rate * step } else { 0.0 };
            while left > 0.0 && draw(&mut seed) < left {
                left -= 1.0;
                let class = usize::from(draw(&mut seed) < SHARES[1]);
                let work = play.work[class] * (0.5 + draw(&mut seed));
                let told = play.estimates.then_some(work);
                let group = (draw(&mut seed) * 300.0) as u64;
                host.request(class, |taken| (taken.estimated_work, taken.table_group) = (told, group));
                costs[at].push(work);
            }
            let before = host.recorder.actions.len();
            host.round();
            let wrote = host.recorder.actions[before..].to_vec();
            for (_, what) in wrote {
                if let WrittenAction::Attempt { request, engine, .. } = what {
                    let work = costs[at][request];
                    out[at].push_back((now + PACE * work, request, work));
                    if engine == 0 {
                        sent.push_back((now, work));
                    }
                }
            }
        }
        sent.retain(|(at, _)| *at > now - cold.window);
        let calls = sent.iter().map(|(_, work)| work).sum::<f64>() / mean;
        let warmth =
            (cold.initial_share + (1.0 - cold.initial_share) * (now - begun) / cold.duration).min(1.0);
        let budget = cold.overload_multiple * cores * warmth * cold.window / mean;
        let over = calls - (budget + 2.0 * budget.sqrt() + 2.0);
        most = (over.max(most.0), most.1.max(calls / budget));
    }
    assert_eq!(restarted > 0, play.restart);
    most
}

/// A light request in a sixtieth of a heavy one, which passes no lot.
const UNEVEN: [f64; 2] = [0.1, 6.0];

#[test]
fn all_gateways_together_keep_a_cold_engines_budget() {
    for gateways in [1usize, 2, 3, 5, 8, 20, 30, 120, 300] {
        // The largest fleet has one seed, as it takes as long as all others.
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
                let play = Play { gateways, busy, work: UNEVEN, demand: 3.0, estimates, restart, seed };
                let (over, share) = worst(&play);
                assert!(over <= 0.0, "{play:?}: {over:.1} calls beyond chance, {share:.2} of the budget");
                assert!(share > 0.0, "{play:?}: the cold engine had no work");
            }
        }
    }
}

/// Requests of which each could pass a lot, and so many that every gateway has one for each: the lots alone hold them back.
#[test]
fn gateways_that_use_every_lot_keep_a_cold_engines_budget() {
    for gateways in [30, 120, 300] {
        for seed in 1..3 {
            let busy = gateways;
            let play = Play {
                gateways,
                busy,
                work: [0.5, 1.0],
                demand: 12.0,
                estimates: true,
                restart: false,
                seed,
            };
            let (over, share) = worst(&play);
            assert!(over <= 0.0, "{play:?}: {over:.1} calls beyond chance, {share:.2} of the budget");
            assert!(share > 0.2, "{play:?}: {share:.2} of the budget, the lots were not used");
        }
    }
}

/// A fleet whose estimates no answer corrects, before engines of which six in ten are replaced by cold ones.
struct Replaced {
    hosts: Vec<TestHost>,
    /// When each request that is out ends, its number and its work, by gateway.
    out: Vec<VecDeque<(f64, usize, f64)>>,
    sent_to_new: f64,
    rejected: usize,
    seed: u64,
}

impl Replaced {
    /// More than there are cores, so that no gateway has a core of its own.
    const GATEWAYS: usize = 200;
    const ENGINES: usize = 10;
    const NEW: usize = 6;
    const CORES: f64 = 16.0;
    /// How much slower than estimated an old engine is, and a new one.
    const PACE_OLD: f64 = 12.0;
    const PACE_NEW: f64 = 1.0;
    const STEP: f64 = 0.05;

    fn new(seed: u64) -> Replaced {
        let mut deployment = two_class_deployment();
        deployment.gateways = Self::GATEWAYS as f64;
        deployment.engine_kinds = vec![EngineKind { cores: Self::CORES, memory_mb: 32000.0 }];
        deployment.slow_start =
            SlowStart { initial_share: 0.4, duration: 12.0, overload_multiple: 3.0, window: 3.0 };
        let seeds = (0..Self::GATEWAYS as u64).map(|at| 1000 * seed + at);
        let hosts = seeds.map(|seed| TestHost::seeded(deployment.clone(), Self::ENGINES, seed)).collect();
        Replaced { hosts, out: vec![VecDeque::new(); Self::GATEWAYS], sent_to_new: 0.0, rejected: 0, seed }
    }

    /// Old engines 0 to 5 go, and cold ones take their places in the list.
    fn replace(&mut self) {
        for host in &mut self.hosts {
            let gone = (0..Self::NEW).map(|at| EngineListing { stage: EngineStage::Gone, ..listing(at) });
            let new = (0..Self::NEW)
                .map(|at| EngineListing { started_at: Some(host.now), ..listing(Self::ENGINES + at) });
            host.gateway.engines_listed(host.now, &gone.chain(new).collect::<Vec<_>>(), false);
        }
    }

    /// Light requests for half of what all cores can do.
    fn advance(&mut self, seconds: f64) {
        const WORK: f64 = 0.1;
        let rate = 0.5 * Self::ENGINES as f64 * Self::CORES / WORK / Self::GATEWAYS as f64;
        for _ in 0..(seconds / Self::STEP) as usize {
            for (host, out) in self.hosts.iter_mut().zip(&mut self.out) {
                host.now += Self::STEP;
                while out.front().is_some_and(|(end, ..)| *end <= host.now) {
                    let (_, request, spent) = out.pop_front().expect("there is one");
                    host.attempt_ended(request, AttemptOutcome::Completed, spent);
                }
                let mut left = rate * Self::STEP;
                while left > 0.0 && draw(&mut self.seed) < left {
                    left -= 1.0;
                    let group = (draw(&mut self.seed) * 300.0) as u64;
                    host.request(0, |taken| taken.table_group = group);
                }
                let before = host.recorder.actions.len();
                host.round();
                for (_, what) in &host.recorder.actions[before..] {
                    match *what {
                        WrittenAction::Attempt { request, engine, .. } => {
                            let new = engine >= Self::ENGINES;
                            self.sent_to_new += if new { WORK } else { 0.0 };
                            let spent = WORK * if new { Self::PACE_NEW } else { Self::PACE_OLD };
                            out.push_back((host.now + spent, request, spent));
                        }
                        WrittenAction::Reject(_) => self.rejected += 1,
                        _ => {}
                    }
                }
                out.make_contiguous().sort_by(|a, b| a.0.total_cmp(&b.0));
            }
        }
    }
}

#[test]
fn new_engines_are_not_left_idle_while_requests_are_rejected() {
    for seed in 1..4 {
        let mut fleet = Replaced::new(seed);
        fleet.advance(6.0);
        assert_eq!(fleet.sent_to_new, 0.0);
        fleet.replace();
        fleet.rejected = 0;
        let seconds = 4.0;
        fleet.advance(seconds);
        // What the new ones can do at the least while they are cold.
        let can = 0.4 * Replaced::NEW as f64 * Replaced::CORES * seconds;
        let used = fleet.sent_to_new / can;
        assert!(fleet.rejected > 0, "seed {seed}: the old ones were not crowded, nothing is shown");
        assert!(used > 0.4, "seed {seed}: {used:.2} of the new engines used, {} rejected", fleet.rejected);
    }
}

/// Each gateway has so few requests that it never sees its own crowd: what spreads a hot group is its share of the work.
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
            let hot = draw(&mut seed) < HOT_SHARE;
            let group = if hot { 7 } else { 100 + (draw(&mut seed) * 300.0) as u64 };
            let request = host.request(0, |taken| taken.table_group = group);
            host.advance(0.1);
            sent[*host.engines_of(request).first().expect("there is room")] += 1.0;
            host.completed_with_cost(request, 0.1, 0.1, 50.0);
        }
    }
    let mean = sent.iter().sum::<f64>() / ENGINES as f64;
    let most = sent.iter().copied().fold(0.0, f64::max);
    assert!(most < 2.5 * mean, "the busiest engine got {:.1} times the mean: {sent:?}", most / mean);
}
