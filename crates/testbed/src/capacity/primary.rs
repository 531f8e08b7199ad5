//! A change of primary, for a product that has none of its own: (a) the engine that serves table groups is lost, announced
//! (drained by the discovery service) or silent (it hangs), and others take its requests; (b) a leader role's holder is lost and another holds it.
//! Counted from the last good answer of the one that is lost.

use super::{report, target, Ask, Need, Row};
use crate::checkers::request_rules::{Asked, Outcome, Ran};
use crate::clients::load::{Load, Tally};
use crate::faults::schedule::FaultAction;
use crate::routers::cluster::{Cluster, Plan, Watch};
use crate::scenarios::virtual_membership::World;
use cleatgw_membership::swim::DetectorSettings;
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const ENGINES: [f64; 5] = [3.0, 6.0, 15.0, 30.0, 60.0];
const ROLES: [f64; 5] = [12.0, 30.0, 75.0, 150.0, 300.0];
const ROUTERS: usize = 3;
/// Requests a second of each router's client.
const RATE: f64 = 100.0;
/// Table groups that clients ask for in turn, as [`Load`] does.
const GROUPS: usize = 16;
/// Seconds ahead of a loss, and what is watched behind it: more than the budget.
const BEFORE: f64 = 1.5;
const AFTER: f64 = 7.0;
/// An answer is good where it comes this soon, and service is counted over so long.
const GOOD: f64 = 0.3;
const WINDOW: f64 = 0.5;
const SHARE: f64 = 0.95;
/// What windows tell apart: service that never fell below the share counts as back so soon.
const STEP: f64 = 0.05;
const ABREAST: usize = 3;

fn good(request: &Asked) -> bool {
    matches!(request.answered, Some((at, Outcome::Rows)) if at - request.sent <= GOOD)
}

/// What became of the service of the table groups that an engine served.
struct Loss {
    /// From the lost one's last good answer until 95 % of the service before holds.
    seconds: f64,
    /// The worst window's share of the service before, and the longest answer.
    worst: f64,
    longest: f64,
    /// Requests that the lost one was given before, and after it was lost.
    requests: usize,
    after: usize,
}

/// The share of good answers of what was sent to these groups, window by window.
fn loss_of_service(asked: &[(usize, &Asked)], ran: &[Ran], lost: usize, at: f64, end: f64) -> Option<Loss> {
    let by_call: HashMap<&str, usize> =
        asked.iter().map(|(group, request)| (request.call.as_str(), *group)).collect();
    let there = |from: f64, to: f64| {
        ran.iter().filter(move |run| run.engine == lost && (from..to).contains(&run.got))
    };
    let groups: HashSet<usize> =
        there(at - BEFORE, at).filter_map(|run| by_call.get(run.call.as_str()).copied()).collect();
    let concerned: Vec<&Asked> =
        asked.iter().filter(|(group, _)| groups.contains(group)).map(|(_, request)| *request).collect();
    let share = |from: f64, to: f64| {
        let all: Vec<&&Asked> =
            concerned.iter().filter(|request| (from..to).contains(&request.sent)).collect();
        let good = all.iter().filter(|request| good(request)).count();
        (!all.is_empty()).then(|| good as f64 / all.len() as f64)
    };
    let before = share(at - BEFORE, at)?;
    let calls: HashMap<&str, f64> = there(0.0, at).map(|run| (run.call.as_str(), run.over)).collect();
    let answers =
        asked.iter().filter(|(_, request)| good(request) && calls.contains_key(request.call.as_str()));
    let last_good = answers.filter_map(|(_, request)| request.answered).map(|(when, _)| when);
    let last_good = last_good.filter(|when| *when <= at + 0.1).fold(f64::NAN, f64::max);
    let steps = ((end - WINDOW - at) / STEP) as usize;
    let windows = (0..steps).map(|step| at + step as f64 * STEP);
    // A window without a request is one without service: its clients still wait.
    let shares: Vec<(f64, f64)> =
        windows.map(|from| (from, share(from, from + WINDOW).unwrap_or(0.0) / before)).collect();
    let bad = shares.iter().rev().find(|(_, share)| *share < SHARE);
    let back = bad.map_or(last_good, |(from, _)| from + WINDOW);
    let worst = shares.iter().map(|(_, share)| *share).fold(1.0, f64::min);
    let later = concerned.iter().filter(|request| request.sent > at - GOOD && request.sent < end);
    let longest = later.map(|request| request.over - request.sent).fold(0.0, f64::max);
    Some(Loss {
        seconds: (back - last_good).max(STEP),
        worst,
        longest,
        requests: there(at - BEFORE, at).count(),
        after: there(at, end).count(),
    })
}

/// Each request with its table group, which goes round by client.
fn grouped(tally: &Tally) -> Vec<(usize, &Asked)> {
    let mut of: HashMap<usize, usize> = HashMap::new();
    let number = |request: &Asked| {
        let next = of.entry(request.router).or_default();
        *next += 1;
        (*next - 1) % GROUPS
    };
    let mut number = number;
    tally.asked.iter().map(|request| (number(request), request)).collect()
}

/// The engine that was given most since then, of those still there.
fn busiest(cluster: &Cluster, since: f64, without: Option<usize>) -> usize {
    let given = |engine: &usize| cluster.engines[*engine].ran().iter().filter(|run| run.got > since).count();
    let engines = (0..cluster.engines.len()).filter(|engine| Some(*engine) != without);
    engines.max_by_key(given).expect("an engine")
}

struct Engines {
    announced: Loss,
    silent: Loss,
    breaks: usize,
    unanswered: u64,
    finds: Vec<String>,
}

/// Plays beside each other, a few at a time: they mostly wait.
fn beside<T: Send>(plays: usize, play: impl Fn(usize) -> Result<T, String> + Sync) -> Result<Vec<T>, String> {
    let all: Vec<usize> = (0..plays).collect();
    let mut done = Vec::new();
    for some in all.chunks(ABREAST) {
        let results: Vec<Result<T, String>> = std::thread::scope(|scope| {
            let threads: Vec<_> = some
                .iter()
                .map(|&at| {
                    scope.spawn({
                        let play = &play;
                        move || play(at)
                    })
                })
                .collect();
            let ended = |thread: std::thread::ScopedJoinHandle<Result<T, String>>| {
                thread.join().unwrap_or_else(|_| Err("a play ended in a panic".to_string()))
            };
            threads.into_iter().map(ended).collect()
        });
        for result in results {
            done.push(result?);
        }
    }
    Ok(done)
}

/// One engine is drained by the discovery service, then another hangs.
fn engines(ask: &Ask, count: usize, play: u64) -> Result<Engines, String> {
    let plan =
        Plan { routers: ROUTERS, engines: count, seed: ask.seed.wrapping_mul(100) + play, ..Plan::default() };
    let mut cluster = Cluster::planned(&ask.program, plan);
    let all: Vec<usize> = (0..ROUTERS).collect();
    all.iter().for_each(|router| cluster.stands(*router, "whole"));
    let load = Load::start(&cluster, RATE);
    let wait = |seconds| std::thread::sleep(Duration::from_secs_f64(seconds));
    wait(BEFORE + 0.5);
    let first = busiest(&cluster, cluster.now() - BEFORE, None);
    let drained = cluster.now();
    cluster.engine_is(first, "draining", &all);
    wait(BEFORE + 0.5);
    let second = busiest(&cluster, cluster.now() - BEFORE, Some(first));
    let hung = cluster.now();
    cluster.play(&vec![(0.0, FaultAction::Silent(second, true))], AFTER);
    let end = cluster.now();
    let tally = load.tally(&cluster);
    let check_result = cluster.check_result(&tally.asked, false);
    let ran: Vec<Ran> = cluster.engines.iter().flat_map(|engine| engine.ran()).collect();
    let requests = grouped(&tally);
    let no_request = || format!("{count} engines: no job came to the engine that was lost");
    Ok(Engines {
        announced: loss_of_service(&requests, &ran, first, drained, hung).ok_or_else(no_request)?,
        silent: loss_of_service(&requests, &ran, second, hung, end).ok_or_else(no_request)?,
        breaks: check_result.breaks(),
        unanswered: tally.unanswered,
        finds: check_result.finds,
    })
}

/// In virtual time: from the moment a holder that held it is killed to the first moment that another holds it. Then how
/// often two held it.
fn role(routers: usize, seed: u64) -> (f64, usize) {
    let mut world = World::started(routers, DetectorSettings::default(), seed);
    let thing = cleatgw_membership::leader::role_resource("one");
    world.role = Some(thing);
    let holder = |world: &World| {
        let holds =
            |at: &usize| world.members(*at).is_some_and(|one| one.held_epoch(thing, world.now).is_some());
        (0..routers).find(holds)
    };
    let (mut lost, mut at, most) = (None, 0.0, 60.0);
    while world.now < most {
        let next = world.now + 0.02;
        world.run_until(next);
        match (lost, holder(&world)) {
            (None, Some(one)) if world.now > 12.0 => {
                (lost, at) = (Some(one), world.now);
                world.at(world.now, FaultAction::Kill(one));
            }
            (Some(old), Some(one)) if one != old => return (world.now - at, world.two_holders),
            _ => {}
        }
    }
    (f64::INFINITY, world.two_holders)
}

/// What is done to a router of this number.
type ToLose = fn(usize) -> FaultAction;

/// Real routers: from a holder's last claim to another's first, by what they say when asked.
fn role_of_processes(ask: &Ask, routers: usize, act: ToLose) -> Result<(f64, usize), String> {
    let fields = r#""duties":["nightly"],"#.to_string();
    let plan = Plan { routers, seed: ask.seed, fields, ..Plan::default() };
    let mut cluster = Cluster::planned(&ask.program, plan);
    (0..routers).for_each(|router| cluster.stands(router, "whole"));
    let ours = |cluster: &Cluster| {
        let holds = |router: &usize| {
            let rows = cluster.asked(*router, "SHOW DUTIES");
            rows.first().is_some_and(|row| row.contains(",ours,"))
        };
        (0..100).find_map(|_| {
            std::thread::sleep(Duration::from_millis(50));
            (0..routers).find(holds)
        })
    };
    let old = ours(&cluster).ok_or("nobody came to hold the duty in 5 s")?;
    let watch = Watch::start(&cluster);
    std::thread::sleep(Duration::from_secs(1));
    cluster.play(&vec![(0.0, act(old))], target::PRIMARY_S + 1.0);
    let claims = watch.end();
    let last = claims.iter().filter(|claim| claim.router == old).map(|claim| claim.at).fold(0.0, f64::max);
    let next = claims.iter().filter(|claim| claim.router != old && claim.at > last);
    let next = next.map(|claim| claim.at).fold(f64::INFINITY, f64::min);
    Ok((next - last, cluster.two_holders(&claims).0))
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&ENGINES);
    let most = sizes.iter().copied().fold(0.0, f64::max);
    // Relays, connections and listeners for each engine and router; each stand-in engine has a thread that wakes each
    // millisecond, and requests of their own.
    let abreast = ABREAST.min(ask.plays) as u64;
    let descriptors = abreast * (16 * ROUTERS as u64 * most as u64 + 500);
    Need { descriptors, memory_mb: 500 + 8 * abreast * most as u64, processes: 1 + 9 * ABREAST as u64 }
        .borne()?;
    if most > 120.0 {
        return Err(format!(
            "{} engines too many: 120 stand-ins that wake each millisecond at most",
            most - 120.0
        ));
    }
    let (mut announced, mut silent) = (Vec::new(), Vec::new());
    let (mut breaks, mut unanswered, mut plays, mut finds) = (0, 0, Vec::new(), Vec::new());
    for &size in &sizes {
        let (mut by_notice, mut by_silence) = (Vec::new(), Vec::new());
        for one in beside(ask.plays, |play| engines(ask, size as usize, play as u64))? {
            by_notice.push(one.announced.seconds);
            by_silence.push(one.silent.seconds);
            breaks += one.breaks;
            unanswered += one.unanswered;
            finds.extend(one.finds);
            let words = |loss: &Loss| {
                let Loss { seconds, worst, longest, requests, after } = loss;
                json!({"seconds": seconds, "worst_share": worst, "longest_answer_s": longest, "jobs_before": requests, "jobs_after": after})
            };
            let (notice, silence) = (words(&one.announced), words(&one.silent));
            plays.push(json!({"engines": size, "announced": notice, "silent": silence}));
        }
        announced.push((size, by_notice));
        silent.push((size, by_silence));
    }
    let mut two_holders = 0;
    let mut roles = |routers: f64| -> Result<Vec<f64>, String> {
        let one = |play| Ok(role(routers as usize, ask.seed.wrapping_mul(100) + play as u64));
        let all = beside(ask.plays, one)?;
        two_holders += all.iter().map(|(_, two)| two).sum::<usize>();
        Ok(all.into_iter().map(|(seconds, _)| seconds).collect())
    };
    let mut by_routers = Vec::new();
    for routers in ROLES {
        by_routers.push((routers, roles(routers)?));
    }
    let at_target = roles(target::ROUTERS as f64)?;
    let acts: [(&str, ToLose); 3] =
        [("killed", FaultAction::Kill), ("frozen", FaultAction::Freeze), ("leaves", FaultAction::Leave)];
    let mut real = Vec::new();
    for routers in [3, 9] {
        let played = beside(acts.len(), |at| role_of_processes(ask, routers, acts[at].1))?;
        for ((word, _), (seconds, two)) in acts.iter().zip(played) {
            two_holders += two;
            real.push(json!({"routers": routers, "holder": word, "seconds": seconds}));
        }
    }
    let far = || {
        Err("690 stand-in engines that each wake every millisecond leave no core to the routers".to_string())
    };
    let row = |name: &str, measured, size: usize, at_target| Row {
        name: name.to_string(),
        unit: "s",
        measured,
        target: size as f64,
        at_target,
        budget: Some(target::PRIMARY_S),
    };
    let rows = [
        row(
            "an engine hangs: from its last good answer to 95 % service of its groups, by engines",
            silent,
            target::ENGINES,
            far(),
        ),
        row("an engine is drained by the board: the same, by engines", announced, target::ENGINES, far()),
        row(
            "a duty's holder is killed: until another holds it, by routers, in virtual time",
            by_routers,
            target::ROUTERS,
            Ok(at_target),
        ),
    ];
    let more = json!({
        "routers": ROUTERS,
        "rule_breaks": breaks,
        "finds": finds,
        "unanswered": unanswered,
        "two_holders": two_holders,
        "plays": plays,
        "duty_of_real_routers": real,
    });
    Ok(report("primary", ask, &rows, more))
}
