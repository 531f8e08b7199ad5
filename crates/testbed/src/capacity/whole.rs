//! The whole fleet at once, [`super::fleet`] played by size: each play has a process of its own, so that its memory is its
//! own. A play is `--what whole --plays 1` with one size, which is also how one is looked at by hand.

use super::fleet::{Play, World};
use super::target::{CONTROL_BYTES, CONTROL_CPU, CONTROL_MB, ENGINES, PRIMARY_S, ROUTERS, STATEMENTS};
use super::{report, Ask, Need, Row};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

const SIZES: [f64; 6] = [25.0, 50.0, 100.0, 200.0, 350.0, 500.0];
/// Requests a second and router, the share of the engines' cores that they fill, and for how long troubles begin.
const RATE: f64 = 20.0;
const FULL: f64 = 0.6;
const SECONDS: f64 = 16.0;
const TIMES: f64 = 100.0;
/// Plays at once, each on a core.
const AT_ONCE: usize = 7;

pub fn play(routers: usize, seed: u64) -> Play {
    let engines = (routers * ENGINES).div_ceil(ROUTERS);
    // A zone is lost at times.
    let zone_lost = seed % 2 == 1;
    let (rate, full, seconds, times) = (RATE, FULL, SECONDS, TIMES);
    Play { routers, engines, seed, rate, full, seconds, times, zone_lost, hears_all: false, planted: None }
}

/// MB that a play of so many routers takes at most.
fn memory_mb(routers: f64) -> u64 {
    (64.0 + 2.5 * routers) as u64
}

/// MB of this process.
fn resident_mb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmHWM:"))?.to_string();
    Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
}

fn played_here(routers: f64, seed: u64) -> Result<Value, String> {
    let mut world = World::new(play(routers as usize, seed));
    world.run()?;
    let mut report = world.report();
    report["memory_mb"] = json!(resident_mb().map(|mb| mb / routers));
    Ok(report)
}

/// The same in a process of its own: its words, or how it died.
fn played_there(ask: &Ask, routers: f64, seed: u64) -> Result<Value, String> {
    let name = format!("the play of {routers} routers with seed {seed}");
    let program = std::env::current_exe().map_err(|error| format!("{name}: {error}"))?;
    let words = ["capacity", "--what", "whole", "--plays", "1", "--sizes", &routers.to_string()];
    let mut command = Command::new(program);
    command.args(words).args(["--seed", &seed.to_string()]).arg("--program").arg(&ask.program);
    let out = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).output();
    let out = out.map_err(|error| format!("{name}: {error}"))?;
    let text = String::from_utf8_lossy(&out.stdout);
    let value = text.lines().last().and_then(|line| serde_json::from_str::<Value>(line).ok());
    let played = value.map(|mut value| value["more"]["play"].take()).filter(|_| out.status.success());
    played.ok_or_else(|| {
        let why = String::from_utf8_lossy(&out.stderr).lines().last().unwrap_or_default().to_string();
        format!("{name} died, {}: {why}", out.status)
    })
}

/// All plays, the largest first, some at once.
fn all_played(ask: &Ask, sizes: &[f64]) -> Vec<(f64, Result<Value, String>)> {
    let seeds = (0..ask.plays as u64).map(|play| ask.seed + play);
    let todo: Vec<(f64, u64)> =
        sizes.iter().rev().flat_map(|size| seeds.clone().map(|seed| (*size, seed))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..AT_ONCE.min(todo.len()) {
            scope.spawn(|| {
                while let Some((size, seed)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = played_there(ask, *size, *seed);
                    done.lock().unwrap().push((*size, played));
                }
            });
        }
    });
    done.into_inner().unwrap()
}

/// Counts by name over all plays.
fn summed<'a>(plays: impl Iterator<Item = &'a Value>, field: &str) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (name, count) in plays.filter_map(|play| play[field].as_object()).flatten() {
        *sums.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
    sums
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let one = ask.sizes.as_ref().filter(|sizes| sizes.len() == 1 && ask.plays == 1).map(|sizes| sizes[0]);
    let target = ROUTERS as f64;
    let mut sizes = ask.sizes(&SIZES);
    if one.is_none() {
        sizes.retain(|size| *size != target);
        sizes.push(target);
        sizes.sort_by(f64::total_cmp);
    }
    let mut largest: Vec<u64> = sizes.iter().map(|size| memory_mb(*size)).collect();
    largest.sort_unstable();
    let each = largest.iter().rev().flat_map(|mb| std::iter::repeat_n(*mb, ask.plays)).take(AT_ONCE);
    let processes = AT_ONCE.min(sizes.len() * ask.plays) as u64;
    Need { descriptors: 64, memory_mb: each.sum(), processes }.borne()?;
    if let Some(lacks) = sizes.iter().find(|size| **size > cleatgw_membership::MAX_ROUTERS as f64) {
        return Err(format!("{lacks} routers: at most {} make a cluster", cleatgw_membership::MAX_ROUTERS));
    }
    let played = match one {
        Some(size) => vec![(size, played_here(size, ask.seed))],
        None => all_played(ask, &sizes),
    };
    let values = |field: &str, of: f64| -> Vec<f64> {
        let of = played.iter().filter(|(size, _)| *size == of);
        of.filter_map(|(_, play)| play.as_ref().ok()?[field].as_f64()).collect()
    };
    let row = |name: &str, unit, field: &str, budget| {
        let others = sizes.iter().filter(|size| **size != target);
        let at_target = Some(values(field, target)).filter(|plays| !plays.is_empty());
        Row {
            name: format!("{name}, by routers"),
            unit,
            measured: others.map(|size| (*size, values(field, *size))).collect(),
            target,
            at_target: at_target.ok_or_else(|| "not played at the target, see `died`".to_string()),
            budget,
        }
    };
    let rows = [
        row("CPU of control a router", "share of a core", "control_cpu", Some(CONTROL_CPU)),
        row("of it: what peers say of engines", "share of a core", "control_cpu_hears", None),
        row("control a router", "bytes/s", "control_bytes", Some(CONTROL_BYTES)),
        row("control a router with UDP and IP headers", "bytes/s", "control_bytes_with_headers", None),
        row("of it: changes of the list", "bytes/s", "list_bytes", None),
        row("memory a router, decisions and members", "MB", "memory_mb", Some(CONTROL_MB)),
        row("CPU of the decisions a job", "us", "decisions_us", None),
        row("a duty's holder lost until another holds it", "s", "primary_s", Some(PRIMARY_S)),
        row("jobs in time, quiet", "share", "in_time_quiet", None),
        row("jobs in time, troubles", "share", "in_time_troubles", None),
    ];
    let good: Vec<&Value> = played.iter().filter_map(|(_, play)| play.as_ref().ok()).collect();
    let named = |field: &'static str| {
        let words = good.iter().filter_map(move |play| play[field].as_array()).flatten();
        words.filter_map(Value::as_str).map(String::from)
    };
    let dead = played.iter().filter_map(|(_, play)| play.as_ref().err().cloned());
    let died: Vec<String> = named("died").chain(dead).collect();
    let count = |field: &str| good.iter().filter_map(|play| play[field].as_u64()).sum::<u64>();
    let share = RATE * target / STATEMENTS;
    let mut more = json!({
        "plays_done": good.len(),
        "died": died,
        "checked": summed(good.iter().copied(), "checked"),
        "broken": summed(good.iter().copied(), "broken"),
        "first_broken": named("first_broken").take(10).collect::<Vec<_>>(),
        "troubles": summed(good.iter().copied(), "troubles"),
        "primary_lost": count("primary_lost"),
        "primary_taken_over": count("primary_taken_over"),
        "two_holders": count("two_holders"),
        "jobs": count("jobs"),
        "turned_back": count("turned_back"),
        "terminated": count("terminated"),
        "further_pushes": count("further_pushes"),
        "jobs_a_second_and_router": RATE,
        "share_of_the_targets_statements": share,
        "engines_full": FULL,
        "day_at_times": TIMES,
        "at_once": processes,
    });
    if one.is_some() {
        more["play"] = good.first().map_or(Value::Null, |play| (*play).clone());
    }
    match played.into_iter().find_map(|(_, play)| play.err().filter(|_| one.is_some())) {
        Some(why) => Err(why),
        None => Ok(report("whole", ask, &rows, more)),
    }
}

#[cfg(test)]
#[path = "whole_tests.rs"]
mod tests;
