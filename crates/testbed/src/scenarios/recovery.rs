//! How routers that were killed together come back: real processes under load, with stores that are kept, lost, old or
//! torn, an engine that was replaced and one that was drained meanwhile.

use crate::checkers::request_rules::{Asked, Outcome, Stated};
use crate::clients::load::{Load, Tally};
use crate::faults::schedule::{FaultAction, Target};
use crate::routers::cluster::{Cluster, Plan};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What becomes of the stores of those that were killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Kept,
    Lost,
    /// A copy of two seconds before is put back.
    Stale,
    /// Cut in half.
    Torn,
    /// Each of these in turn.
    Mixed,
}

impl std::str::FromStr for State {
    type Err = String;

    fn from_str(text: &str) -> Result<State, String> {
        match text {
            "kept" => Ok(State::Kept),
            "lost" => Ok(State::Lost),
            "stale" => Ok(State::Stale),
            "torn" => Ok(State::Torn),
            "mixed" => Ok(State::Mixed),
            other => Err(format!("{other:?}: expected kept, lost, stale, torn or mixed")),
        }
    }
}

const ENGINES: usize = 6;
const CORES: f64 = 8.0;
/// Each request's work, in milliseconds, and how many each router gets a second.
const WORK_MS: f64 = 40.0;
const RATE: f64 = 30.0;
const CLIENTS: usize = 4;
/// What a cold engine stands: so much of its cores' work at first, all of it after this long, over a second.
const COLD_FROM: f64 = 0.05;
const WARM_AFTER: f64 = 6.0;
const COLD_WINDOW: f64 = 1.0;

fn plan(routers: usize, seed: u64, keeps: bool) -> Plan {
    let rules = format!(
        r#""settings":{{"rules":{{"look-back-us":10000000,"spare-attempts":4,"budget-share":0.1,"cold-from":{COLD_FROM},
        "warm-after-us":{},"fall-multiple":1.0,"overload-for-us":{}}},"#,
        WARM_AFTER * 1e6,
        COLD_WINDOW * 1e6
    );
    Plan {
        routers,
        engines: ENGINES,
        cores: CORES,
        seed,
        keeps,
        changes: vec![(r#""settings":{"#.to_string(), rules)],
        stated: Stated { spare: 4.0, share: 0.1, ..Stated::default() },
        ..Plan::default()
    }
}

/// Answers in time of one router in the second that ends then.
fn in_time(requests: &[&Asked], end: f64) -> usize {
    let counts = |request: &&&Asked| matches!(request.answered, Some((at, Outcome::Rows)) if at - request.sent <= 1.0 && at <= end && at > end - 1.0);
    requests.iter().filter(counts).count()
}

/// Seconds from a router's start until it answers as much in time as 95 % of the second before the kill.
fn full_after(tally: &Tally, router: usize, killed: f64, started: f64, end: f64) -> Option<f64> {
    let requests: Vec<&Asked> = tally.asked.iter().filter(|request| request.router == router).collect();
    // The mean of three seconds: one second holds some thirty requests.
    let before: usize = (0..3).map(|back| in_time(&requests, killed - f64::from(back))).sum();
    let wanted = 0.95 * before as f64 / 3.0;
    // The first second that lies wholly after the start.
    let mut at = started + 1.0;
    while at < end {
        if in_time(&requests, at) as f64 >= wanted.floor() {
            return Some(at - started);
        }
        at += 0.02;
    }
    None
}

/// The most of these in any second, and the mean of a second between two times.
fn peak(times: &[f64], from: f64, to: f64) -> usize {
    let within = |at: f64| times.iter().filter(|time| **time <= at && **time > at - 1.0).count();
    times.iter().filter(|at| **at >= from && **at < to).map(|at| within(*at)).max().unwrap_or(0)
}

/// Windows in which an engine that was started then got more than it stands, by the rule on cold ones.
fn over_slow_start_budget(given: &[(f64, f64)], started: f64) -> usize {
    let over = |at: f64| {
        let slow_start_progress = (COLD_FROM + (1.0 - COLD_FROM) * (at - started) / WARM_AFTER).min(1.0);
        let stands = CORES * slow_start_progress * COLD_WINDOW / (WORK_MS / 1e3);
        let got =
            given.iter().filter(|(when, _)| *when <= at && *when > at - COLD_WINDOW && *when >= started);
        got.map(|(_, work)| work / (WORK_MS / 1e3)).sum::<f64>() > stands + 3.0 * stands.sqrt() + 3.0
    };
    given.iter().filter(|(at, _)| *at >= started && *at < started + WARM_AFTER && over(*at)).count()
}

fn spoil(cluster: &Cluster, router: usize, state: State) {
    let (path, copy) = (cluster.store(router), cluster.folder.join(format!("copy-{router}")));
    let state = match state {
        State::Mixed => [State::Kept, State::Lost, State::Stale, State::Torn][router % 4],
        one => one,
    };
    let done = match state {
        State::Lost => std::fs::remove_file(&path),
        State::Stale => std::fs::copy(&copy, &path).map(drop),
        State::Torn => {
            std::fs::read(&path).and_then(|bytes| std::fs::write(&path, &bytes[..bytes.len() / 2]))
        }
        State::Kept | State::Mixed => Ok(()),
    };
    if let Err(error) = done {
        eprintln!("{}: {error}", path.display());
    }
}

pub fn measure(program: &Path, routers: usize, killed: f64, state: State, seed: u64, keeps: bool) -> Value {
    let mut cluster = Cluster::planned(program, plan(routers, seed, keeps));
    (0..routers).for_each(|router| cluster.stands(router, "whole"));
    // Several clients each, so that one that waits for a silent engine does not stop the others.
    let clients = (0..routers * CLIENTS).map(|client| client % routers);
    let addresses: Vec<_> = clients.map(|router| (router, cluster.address(router))).collect();
    let load = Load::at(&addresses, RATE / CLIENTS as f64, WORK_MS, cluster.relays.began);
    let (over, open) = (Arc::new(AtomicBool::new(false)), cluster.engines.clone());
    let (stop, began) = (over.clone(), cluster.relays.began);
    let counted = std::thread::spawn(move || {
        let mut all = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let sum: usize = open.iter().map(crate::engines::shared_engine::Shared::connections).sum();
            all.push((began.elapsed().as_secs_f64(), sum));
            std::thread::sleep(Duration::from_millis(20));
        }
        all
    });
    // One engine is silent for a while, so that retries are made.
    std::thread::sleep(Duration::from_secs(4));
    cluster.engines[0].silent(true);
    std::thread::sleep(Duration::from_secs(2));
    let gone = ((routers as f64 * killed).round() as usize).clamp(1, routers);
    let victims: Vec<usize> = (routers - gone..routers).collect();
    for router in victims.iter().filter(|_| keeps) {
        let _ = std::fs::copy(cluster.store(*router), cluster.folder.join(format!("copy-{router}")));
    }
    std::thread::sleep(Duration::from_secs(2));
    let killed_at = cluster.now();
    cluster.act_all(&victims.iter().map(|router| FaultAction::Kill(*router)).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_millis(200));
    victims.iter().filter(|_| keeps).for_each(|router| spoil(&cluster, *router, state));
    // During the outage one engine is drained and another one's place is taken by a cold one.
    let all: Vec<usize> = (0..routers).collect();
    cluster.engine_is(1, "draining", &all);
    cluster.engine_is_replaced(2, &all);
    let replaced_at = cluster.now();
    let started_at = cluster.now();
    cluster.act_all(&victims.iter().map(|router| FaultAction::Start(*router)).collect::<Vec<_>>());
    std::thread::sleep(Duration::from_secs(4));
    cluster.engines[0].silent(false);
    std::thread::sleep(Duration::from_secs(8));
    let end = cluster.now();
    over.store(true, Ordering::Relaxed);
    let (tally, open) = (load.tally(&cluster), counted.join().expect("a counter"));
    let check_result = cluster.check_result(&tally.asked, true);
    let mut full = Histogram::<u64>::new(3).expect("a histogram");
    let mut never = 0;
    for router in &victims {
        match full_after(&tally, *router, killed_at, started_at, end) {
            Some(after) => full.record((after * 1e3) as u64).unwrap_or(()),
            None => never += 1,
        }
    }
    let between =
        |from: f64, to: f64| open.iter().filter(move |(at, _)| *at >= from && *at < to).map(|(_, sum)| *sum);
    let steady = between(killed_at - 2.0, killed_at).max().unwrap_or(0).max(1);
    let most = between(started_at, end).max().unwrap_or(0);
    let came = |target: fn(usize) -> Target, count: usize| -> Vec<f64> {
        let targets = (0..routers).flat_map(move |router| (0..count).map(move |at| (router, target(at))));
        targets.flat_map(|(router, target)| cluster.way(router, target).came()).collect()
    };
    let (links, discoveries) = (came(Target::Engine, ENGINES), came(|_| Target::Discovery, 1));
    let cold = over_slow_start_budget(&cluster.engines[2].work_given(), replaced_at);
    json!({
        "routers": routers,
        "killed": gone,
        "state": format!("{state:?}").to_lowercase(),
        "with_store": keeps,
        "full_service_s_p50": full.value_at_quantile(0.5) as f64 / 1e3,
        "full_service_s_max": full.max() as f64 / 1e3,
        "never_full": never,
        "connections_peak_over_steady": most as f64 / steady as f64,
        "new_connections_peak_per_s": peak(&links, started_at, end),
        "board_calls_peak_per_s": peak(&discoveries, started_at, end),
        "cold_over_budget": cold,
        "pushes_over_budget": check_result.attempts_over_budget,
        "further_pushes_most": victims.iter().map(|at| cluster.retries(&tally.asked, *at, 10.0)).max(),
        "stale_decisions": check_result.to_draining,
        "ran_twice": check_result.ran_twice,
        "two_answers": check_result.two_answers,
        "two_out": check_result.two_out,
        "jobs": tally.answered,
        "unanswered": tally.unanswered,
        "broken": check_result.finds,
        "seed": seed,
    })
}
