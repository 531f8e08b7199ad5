//! What the decisions cost a request: the module alone, in virtual time, at a router's part of the target's rate. The clock is
//! read around its calls only.

use super::{report, target, Ask, Row};
use cleatgw::Gateway;
use cleatgw::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::time::Instant;

/// Of a statement: seconds of one core.
const WORK: f64 = 0.02;
const CORES: f64 = 64.0;
/// Seconds that are played before, and while it is measured.
const BEFORE: f64 = 1.5;
const WHILE: f64 = 2.0;

#[derive(Clone, Copy, PartialEq)]
enum Third {
    Sound,
    /// It breaks every attempt.
    Fails,
    /// It has just started, and stays cold.
    Cold,
    /// It turns every attempt away as full.
    Full,
}

#[derive(Clone, Copy)]
struct Play {
    engines: usize,
    groups: u64,
    held: usize,
    /// Changes of the list a second, each an engine replaced by a new one.
    changes: f64,
    third: Third,
}

const USUAL: Play =
    Play { engines: target::ENGINES, groups: 1000, held: 0, changes: 0.0, third: Third::Sound };

#[derive(Default)]
struct Book(Vec<(usize, usize)>);

impl ActionWriter for Book {
    fn set_priority_and_memory(&mut self, _: usize, _: u8, _: f64) {}
    fn dispatch(&mut self, request: usize, engine: usize, _: Option<f64>, _: f64) {
        self.0.push((request, engine));
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

/// Of so many engines, with routers in the target's proportion.
fn deployment(engines: usize) -> Deployment {
    let class = |credit, threads, only_kinds| RequestClass {
        value: credit,
        late_value_share: 0.0,
        latency_objective: 1.0,
        max_wait: f64::INFINITY,
        objective_stretch: 2.0,
        threads,
        idempotency: Idempotency::Idempotent,
        in_key_order: false,
        locks_tables: false,
        waits_for_table_locks: false,
        allowed_zones: None,
        allowed_kinds: only_kinds,
    };
    Deployment {
        gateways: (engines * target::ROUTERS).div_ceil(target::ENGINES) as f64,
        // The second one is bound to a kind that is not there: its requests are held.
        classes: vec![class(1.0, 1.0, None), class(0.1, 1.0, Some(vec![1]))],
        engine_kinds: vec![EngineKind { cores: CORES, memory_mb: 64_000.0 }; 2],
        max_memory_share: 0.5,
        honours_grants: true,
        has_priority_lanes: true,
        max_attempts: 3,
        slow_start: SlowStart { initial_share: 0.3, duration: 1e6, overload_multiple: 2.0, window: 1.0 },
        ..Deployment::default()
    }
}

/// Microseconds a request, and the longest round in milliseconds; requests that were dispatched at least once of those that came.
fn play(play: Play, seed: u64) -> (f64, f64, f64) {
    let mut chance = SmallRng::seed_from_u64(seed);
    let rate = target::STATEMENTS / target::ROUTERS as f64;
    let mut gateway = Gateway::new(deployment(play.engines), seed, 0.0);
    let mut names = 0;
    let mut listing = |engine: usize, new: bool| {
        names += 1;
        let is_cold = play.third == Third::Cold && engine.is_multiple_of(3);
        let since = (is_cold || new).then_some(0.0);
        EngineListing {
            engine,
            name_hash: seed ^ (names * 0x9e37_79b9_7f4a_7c15),
            started_at: since,
            ..EngineListing::default()
        }
    };
    let all: Vec<EngineListing> = (0..play.engines).map(|engine| listing(engine, false)).collect();
    gateway.engines_listed(0.0, &all, true);
    let mut book = Book::default();
    let taken = |class, table_group, deadline| IncomingRequest {
        class,
        table_group,
        deadline,
        estimated_work: Some(WORK),
        estimated_memory_mb: Some(50.0),
        ..IncomingRequest::default()
    };
    for request in 0..play.held {
        gateway.request_received(0.0, request, taken(1, request as u64 % play.groups, 1e6));
    }
    // What stands on an engine at the target's rate, from all routers.
    let stands = target::STATEMENTS * WORK / target::ENGINES as f64;
    let (mut now, mut next_request, mut first, mut came) = (0.0, play.held, 0, 0);
    let mut out: VecDeque<(f64, usize, usize)> = VecDeque::new();
    let (mut spent, mut longest, mut change_at) = (0.0, 0.0f64, 0.0);
    let mut ran = vec![];
    while now < BEFORE + WHILE {
        now += 1.0 / rate;
        let request = next_request;
        next_request += 1;
        let group = chance.random_range(0..play.groups);
        let mut ends = Vec::new();
        while out.front().is_some_and(|(at, ..)| *at <= now) {
            ends.extend(out.pop_front());
        }
        let change = (play.changes > 0.0 && now >= change_at).then(|| {
            change_at = now + 1.0 / play.changes;
            listing(chance.random_range(0..play.engines), play.third == Third::Cold)
        });
        let began = Instant::now();
        if let Some(change) = change {
            gateway.engines_listed(now, &[change], false);
        }
        for &(_, request, engine) in &ends {
            let ending = match play.third {
                Third::Fails if engine.is_multiple_of(3) => AttemptOutcome::ConnectionLost,
                Third::Full if engine.is_multiple_of(3) => AttemptOutcome::EngineFull,
                _ => AttemptOutcome::Completed,
            };
            let request_done = ending == AttemptOutcome::Completed;
            let told = request_done.then_some(MeasuredCost { work: WORK, memory_mb: 50.0 });
            let load = LoadReport { requests: Some(stands), ..LoadReport::default() };
            gateway.attempt_ended(
                now,
                &AttemptEnd {
                    request,
                    engine,
                    outcome: ending,
                    request_done,
                    elapsed: WORK,
                    measured: told,
                    load,
                },
            );
        }
        gateway.request_received(now, request, taken(0, group, now + 5.0));
        gateway.round(now, &mut book);
        let took = began.elapsed().as_secs_f64();
        for (request, engine) in book.0.drain(..) {
            ran.resize(next_request, false);
            first += u32::from(now >= BEFORE && !std::mem::replace(&mut ran[request], true));
            out.push_back((now + WORK, request, engine));
        }
        if now >= BEFORE {
            (spent, longest, came) = (spent + took, longest.max(took), came + 1);
        }
    }
    (spent * 1e6 / f64::from(came), longest * 1e3, f64::from(first) / f64::from(came))
}

struct Rows {
    rows: Vec<Row>,
    dispatched: f64,
}

impl Rows {
    /// One row of the cost a request, and one of the longest round, by what `at` makes of a size.
    fn add(&mut self, ask: &Ask, name: &str, sizes: &[f64], end: f64, at: impl Fn(f64) -> Play) {
        let mut plays = |size: f64| {
            let plays: Vec<_> =
                (0..ask.plays as u64).map(|number| play(at(size), ask.seed + number)).collect();
            self.dispatched =
                plays.iter().fold(self.dispatched, |least, (.., dispatched)| least.min(*dispatched));
            let of = |which: fn(&(f64, f64, f64)) -> f64| plays.iter().map(which).collect::<Vec<f64>>();
            (of(|play| play.0), of(|play| play.1))
        };
        let measured: Vec<_> = sizes.iter().map(|&size| (size, plays(size))).collect();
        let (cost, longest) = plays(end);
        let row = |name: String, unit, measured, at_target, budget| Row {
            name,
            unit,
            measured,
            target: end,
            at_target: Ok(at_target),
            budget: Some(budget),
        };
        let costs = measured.iter().map(|(size, (cost, _))| (*size, cost.clone())).collect();
        let rounds = measured.into_iter().map(|(size, (_, longest))| (size, longest)).collect();
        self.rows.push(row(format!("CPU a job, {name}"), "us", costs, cost, 25.0));
        self.rows.push(row(format!("longest round, {name}"), "ms", rounds, longest, 2.0));
    }
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&[10.0, 30.0, 100.0, 300.0, 1380.0]);
    if let Some(size) = sizes.iter().find(|size| **size > 100_000.0) {
        return Err(format!("`--sizes {size}`: 100000 engines are the most that are played"));
    }
    let mut rows = Rows { rows: Vec::new(), dispatched: 1.0 };
    let engines = target::ENGINES as f64;
    let of = |third, changes| move |size: f64| Play { engines: size as usize, third, changes, ..USUAL };
    rows.add(ask, "by engines", &sizes, engines, of(Third::Sound, 0.0));
    rows.add(ask, "by engines, 50 list changes a second", &sizes, engines, of(Third::Sound, 50.0));
    rows.add(ask, "by engines, a third fails", &sizes, engines, of(Third::Fails, 0.0));
    rows.add(ask, "by engines, a third cold", &sizes, engines, of(Third::Cold, 0.0));
    rows.add(ask, "by engines, a third full", &sizes, engines, of(Third::Full, 0.0));
    let held = [100.0, 300.0, 1000.0, 3000.0, 5000.0];
    rows.add(ask, "by held jobs", &held, 10_000.0, |held| Play { held: held as usize, ..USUAL });
    let groups = [10.0, 100.0, 1000.0, 3000.0, 6000.0];
    rows.add(ask, "by table groups", &groups, 10_000.0, |groups| Play { groups: groups as u64, ..USUAL });
    let changes = [1.0, 3.0, 10.0, 20.0, 30.0];
    rows.add(ask, "by list changes a second", &changes, 50.0, |changes| Play { changes, ..USUAL });
    let by = |part: usize| rows.rows[part].measured.iter().find(|(size, _)| *size == 30.0);
    let at_30 = by(0).and_then(|(_, plays)| super::Range::of(plays)).map(|range| range.median);
    let at_target = rows.rows[0].at_target.as_ref().ok().and_then(|plays| super::Range::of(plays));
    let times = at_30.zip(at_target).map(|(at_30, at_target)| at_target.median / at_30);
    let more = json!({
        "jobs_a_second": target::STATEMENTS / target::ROUTERS as f64,
        "times_the_cost_at_30": times,
        "least_share_of_jobs_pushed": rows.dispatched,
    });
    Ok(report("decisions", ask, &rows.rows, more))
}
