//! Rule 4 over the sum of many gateways: what a cold engine gets from all of them together.

use crate::host::*;
use cleatgw::*;
use std::collections::VecDeque;

/// A draw from 0 to 1; the seed moves on.
fn draw(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*seed >> 33) as f64 / (1u64 << 31) as f64
}

/// How a fleet whose only engine is cold is asked for three times what that can do warm.
#[derive(Debug)]
struct Play {
    gateways: usize,
    /// So many of them have all the traffic.
    busy: usize,
    /// Jobs tell what they cost.
    estimates: bool,
    /// Seven in ten restart at once, knowing nothing, and again every one and a half seconds.
    restart: bool,
    seed: u64,
}

/// What the cold engine got in its worst windows: calls of mean work beyond its budget and what may be chance, and the
/// largest part of its budget.
fn worst(play: &Play) -> (f64, f64) {
    const WORK: [f64; 2] = [0.1, 6.0];
    const SHARES: [f64; 2] = [0.9, 0.1];
    let mean = WORK[0] * SHARES[0] + WORK[1] * SHARES[1];
    // So quick that no gateway feels a crowd: what holds them back is the cold engine's budget alone.
    const PACE: f64 = 0.4;
    let (cores, engines) = (16.0, 1);
    let mut deployment = plain();
    deployment.gateways = play.gateways as f64;
    deployment.kinds = vec![Kind { cores, memory_mb: 32000.0 }];
    deployment.cold = ColdStart { from: 0.3, warm_after: 10.0, multiple: 3.0, window: 2.0 };
    deployment.categories[1].threads = 2.0;
    let cold = deployment.cold;
    let mut seed = play.seed;
    let mut worlds: Vec<World> = (0..play.gateways)
        .map(|at| World::seeded(deployment.clone(), engines, play.seed * 1000 + at as u64))
        .collect();
    let begun = worlds[0].now;
    let fresh = Listing { since: Some(begun), ..listing(0) };
    worlds.iter_mut().for_each(|world| world.gateway.engines_listed(begun, &[fresh], false));
    let rate = 3.0 * engines as f64 * cores / mean / play.busy as f64;
    let mut out: Vec<VecDeque<(f64, usize, f64)>> = vec![VecDeque::new(); play.gateways];
    let mut costs: Vec<Vec<f64>> = vec![Vec::new(); play.gateways];
    let mut sent: VecDeque<(f64, f64)> = VecDeque::new();
    let mut most: (f64, f64) = (f64::NEG_INFINITY, 0.0);
    let mut restarted = 0;
    let step = 0.05;
    for tick in 0..200 {
        let now = begun + f64::from(tick) * step;
        if play.restart && tick % 30 == 29 {
            for (at, world) in worlds.iter_mut().enumerate() {
                if draw(&mut seed) < 0.7 {
                    *world = World::seeded(
                        deployment.clone(),
                        engines,
                        play.seed * 1000 + at as u64 + 500 * tick as u64,
                    );
                    world.now = now;
                    world.gateway.engines_listed(now, &[fresh], false);
                    (out[at], costs[at]) = Default::default();
                    restarted += 1;
                }
            }
        }
        for (at, world) in worlds.iter_mut().enumerate() {
            world.now = now;
            let done: Vec<_> = out[at].iter().copied().filter(|(end, ..)| *end <= now).collect();
            out[at].retain(|(end, ..)| *end > now);
            for (_, job, work) in done {
                world.tell(job, PACE * work, work, 100.0);
            }
            let mut left = if at < play.busy { rate * step } else { 0.0 };
            while left > 0.0 && draw(&mut seed) < left {
                left -= 1.0;
                let category = usize::from(draw(&mut seed) < SHARES[1]);
                let work = WORK[category] * (0.5 + draw(&mut seed));
                let told = play.estimates.then_some(work);
                let group = (draw(&mut seed) * 300.0) as u64;
                world.job(category, |taken| (taken.cost, taken.table_group) = (told, group));
                costs[at].push(work);
            }
            let before = world.book.wrote.len();
            world.round();
            let wrote = world.book.wrote[before..].to_vec();
            for (_, what) in wrote {
                if let Wrote::Push { job, engine, .. } = what {
                    let work = costs[at][job];
                    out[at].push_back((now + PACE * work, job, work));
                    if engine == 0 {
                        sent.push_back((now, work));
                    }
                }
            }
        }
        sent.retain(|(at, _)| *at > now - cold.window);
        let calls = sent.iter().map(|(_, work)| work).sum::<f64>() / mean;
        let warmth = (cold.from + (1.0 - cold.from) * (now - begun) / cold.warm_after).min(1.0);
        let budget = cold.multiple * cores * warmth * cold.window / mean;
        let over = calls - (budget + 2.0 * budget.sqrt() + 2.0);
        most = (over.max(most.0), most.1.max(calls / budget));
    }
    assert_eq!(restarted > 0, play.restart);
    most
}

#[test]
fn all_gateways_together_keep_a_cold_engines_budget() {
    for gateways in [1usize, 3, 8, 20, 30, 120] {
        for (busy, estimates, restart) in [
            (gateways, true, false),
            (gateways, false, false),
            (gateways, true, true),
            (gateways, false, true),
            (gateways.div_ceil(5), true, false),
            (gateways.div_ceil(5), false, false),
        ] {
            for seed in 1..4 {
                let play = Play { gateways, busy, estimates, restart, seed };
                let (over, share) = worst(&play);
                assert!(over <= 0.0, "{play:?}: {over:.1} calls beyond chance, {share:.2} of the budget");
                assert!(share > 0.0, "{play:?}: the cold engine had no work");
            }
        }
    }
}
