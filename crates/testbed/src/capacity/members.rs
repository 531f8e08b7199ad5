//! What it takes routers to know one another, by their number: the real crate in virtual time, in three regions of ten
//! zones. Processor time is that of the thread that plays, memory what the process came to hold, so both are the most
//! that a router may need: the test bed's own notes are in them. System calls are not.

use super::{report, target, Ask, Need, Row};
use crate::faults::schedule::{three_regions, FaultAction, REGION_OF_ZONE};
use crate::scenarios::virtual_membership::World;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_membership::MAX_ROUTERS;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

const SIZES: [f64; 6] = [30.0, 75.0, 150.0, 300.0, 700.0, 1100.0];
/// Virtual seconds: until all is quiet, until all have met, of quiet, and after the last of what goes wrong.
const SETTLES: f64 = 12.0;
const MET: f64 = 4.0;
const QUIET: f64 = 8.0;
const AFTER: f64 = 9.0;
const CUT_FOR: f64 = 180.0;
/// 120 machines a day at a hundred times the pace, in seconds between two.
const REPLACED_EVERY: f64 = 86_400.0 / 120.0 / 100.0;
/// Of IP and UDP, with each datagram.
const HEADERS: u64 = 28;
/// Plays side by side.
const THREADS: usize = 4;
/// Bytes that the test bed and the routers hold for each ordered pair of routers, at most.
const BYTES_A_PAIR: f64 = 1500.0;

/// What one play gave.
#[derive(Clone, Debug, Default)]
struct Play {
    bytes: f64,
    /// The same for the holder of the one leader role.
    holder_bytes: Option<f64>,
    cpu: f64,
    found_s: f64,
    missed: u64,
    false_failures: usize,
    two_holders: usize,
    kills: usize,
}

/// Places routers evenly in ten zones, on clocks as far apart as leases allow for, with one leader role; lets them meet.
fn settled(routers: usize, seed: u64, absent: &[usize], until: f64) -> World {
    let mut world = World::new(routers, DetectorSettings::default(), seed);
    world.link_conditions.place((0..routers).map(|router| router % target::ZONES).collect(), three_regions());
    world.role = Some(cleatgw_membership::leader::role_resource("one"));
    let drift = cleatgw_membership::lease::DRIFT;
    world.rates = (0..routers).map(|router| 1.0 + drift * (router % 3) as f64 - drift).collect();
    for router in (0..routers).filter(|router| !absent.contains(router)) {
        world.at(router as f64 / routers as f64, FaultAction::Start(router));
    }
    // What was true while they started is of no interest, and long.
    for step in 1..=20 {
        world.run_until(f64::from(step) * 0.05);
        forget(&mut world);
    }
    world.run_until(until);
    world
}

fn forget(world: &mut World) {
    let last = world.record.truths.len() - 1;
    world.record.truths.drain(..last);
}

/// Bytes on the wire that each running router sent in this incarnation.
fn sent(world: &World) -> Vec<u64> {
    let bytes = |router| {
        let counts = world.members(router).map(|members| members.counters());
        counts.map_or(0, |counts| counts.sent_bytes + HEADERS * counts.sent)
    };
    (0..world.routers()).map(bytes).collect()
}

/// What each sent meanwhile, in bytes.
fn grown(before: &[u64], after: &[u64]) -> Vec<f64> {
    let grown = |(before, after): (&u64, &u64)| after.checked_sub(*before).unwrap_or(*after) as f64;
    before.iter().zip(after).map(grown).collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
    sum / f64::max(count, 1.0)
}

/// Processor time of this thread so far, in seconds.
fn spent() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|spent| spent.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1e9
}

/// What this process has resident, in MB.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1024.0
}

/// Quiet, then three routers die.
fn quiet_and_deaths(world: &mut World, seed: u64) -> Play {
    let (before, holders, began) = (sent(world), world.holders(), spent());
    world.run_until(world.now + QUIET);
    let cpu = (spent() - began) / QUIET / world.routers() as f64;
    let grown = grown(&before, &sent(world));
    let held = holders == world.holders();
    let of_others = grown.iter().enumerate().filter(|(router, _)| !holders.contains(router));
    let bytes = mean(of_others.map(|(_, bytes)| *bytes)) / QUIET;
    let holder_bytes = holders.first().filter(|_| held).map(|router| grown[*router] / QUIET);
    let mut rng = SmallRng::seed_from_u64(seed);
    let first = rng.random_range(0..world.routers());
    let dead = (0..3).map(|number| (first + number * (world.routers() / 3)) % world.routers());
    let plan =
        dead.enumerate().map(|(number, dead)| (world.now + number as f64 * 0.7, FaultAction::Kill(dead)));
    let plan: Vec<(f64, FaultAction)> = plan.collect();
    world.plan(&plan);
    world.run_until(world.now + 1.4 + AFTER);
    let (times, missed) = world.record.detections();
    Play {
        bytes,
        holder_bytes,
        cpu,
        found_s: times.value_at_quantile(0.99) as f64 / 1e3,
        missed,
        false_failures: world.record.false_failures().len(),
        two_holders: world.two_holders,
        kills: plan.len(),
    }
}

/// Runs on in steps of `step` seconds: the most that one router sent in a second, and all on average; how long nobody held
/// the leader role, and the most holders at once.
#[derive(Default)]
struct Watched {
    most_bytes: f64,
    /// Who that was, when, and whether it held the leader role then.
    most_by: Option<(usize, f64, bool)>,
    most_mean_bytes: f64,
    mean_bytes: Vec<f64>,
    unheld_s: f64,
    longest_unheld_s: f64,
    holders: usize,
}

fn watch(world: &mut World, seconds: f64) -> Watched {
    let mut seen = Watched::default();
    let (step, mut unheld, mut before) = (0.1, 0.0, sent(world));
    for number in 1..=(seconds / step).round() as usize {
        world.run_until(world.now + step);
        let holders = world.holders().len();
        seen.holders = seen.holders.max(holders);
        unheld = if holders == 0 { unheld + step } else { 0.0 };
        seen.unheld_s += if holders == 0 { step } else { 0.0 };
        seen.longest_unheld_s = seen.longest_unheld_s.max(unheld);
        if number % 10 == 0 {
            let after = sent(world);
            let grown = grown(&before, &after);
            for (router, bytes) in grown.iter().enumerate().filter(|(_, bytes)| **bytes > 0.0) {
                if *bytes > seen.most_bytes {
                    seen.most_bytes = *bytes;
                    seen.most_by = Some((router, world.now, world.holders().contains(&router)));
                }
            }
            let mean = mean(grown.into_iter());
            seen.most_mean_bytes = seen.most_mean_bytes.max(mean);
            seen.mean_bytes.push(mean);
            before = after;
        }
    }
    seen
}

fn told(world: &World, seen: &Watched) -> Value {
    let (times, missed) = world.record.detections();
    json!({
        "found_s_p50": times.value_at_quantile(0.5) as f64 / 1e3,
        "found_s_p99": times.value_at_quantile(0.99) as f64 / 1e3,
        "found_s_max": times.max() as f64 / 1e3,
        "detections": times.len(),
        "missed": missed,
        "false_failures": world.record.false_failures().len(),
        "agreed_s": world.record.agreed_after().map(|agreed| agreed as f64 / 1e3),
        "bytes_a_second_peak_mean": seen.most_mean_bytes.round(),
        "bytes_a_second_peak_router": seen.most_bytes.round(),
        "peak_router_at_held": seen.most_by,
        "bytes_a_second_mean": mean(seen.mean_bytes.iter().copied()).round(),
        "unheld_s": (seen.unheld_s * 10.0).round() / 10.0,
        "unheld_s_longest": (seen.longest_unheld_s * 10.0).round() / 10.0,
        "holders_most": seen.holders,
        "two_holders": world.two_holders,
        "datagrams_cut": world.link_conditions.cut,
    })
}

fn zone_of(world: &World, router: usize) -> usize {
    world.link_conditions.zones()[router]
}

/// The holder's zone is lost, all of it at once.
fn zone_lost(routers: usize, seed: u64) -> Value {
    let mut world = settled(routers, seed, &[], SETTLES);
    let zone = world.holders().first().map_or(0, |holder| zone_of(&world, *holder));
    let lost: Vec<usize> = (0..routers).filter(|router| zone_of(&world, *router) == zone).collect();
    let plan: Vec<(f64, FaultAction)> =
        lost.iter().map(|router| (world.now, FaultAction::Kill(*router))).collect();
    world.plan(&plan);
    let seen = watch(&mut world, 15.0);
    let mut report = told(&world, &seen);
    report["lost"] = json!(lost.len());
    report
}

/// The holder's region hears no other for three minutes, and is healed.
fn region_cut(routers: usize, seed: u64) -> Value {
    let mut world = settled(routers, seed, &[], SETTLES);
    let region = |router: usize| REGION_OF_ZONE[zone_of(&world, router)];
    let cut_off = world.holders().first().map_or(1, |holder| region(*holder));
    let parts: Vec<usize> = (0..routers).map(|router| usize::from(region(router) == cut_off)).collect();
    world.plan(&vec![(world.now, FaultAction::Part(parts.clone()))]);
    let cut = watch(&mut world, CUT_FOR);
    // Who calls whom failed: by side of the one that does, and of the other.
    let mut called = [[0usize; 2]; 2];
    for by in 0..routers {
        for (of, member) in world.members(by).expect("it runs").members().iter().enumerate() {
            called[parts[by]][parts[of]] += usize::from(member.state == cleatgw_membership::State::Failed);
        }
    }
    let held_by_rest = world.holders().iter().filter(|holder| parts[**holder] == 0).count();
    world.plan(&vec![(world.now, FaultAction::Heal)]);
    let healed = watch(&mut world, 30.0);
    let size = |part: usize| parts.iter().filter(|other| **other == part).count();
    let mut report = told(&world, &healed);
    report["cut_off"] = json!(size(1));
    report["called_failed"] = json!({
        "rest_of_cut_off": called[0][1],
        "cut_off_of_rest": called[1][0],
        "of_those": size(0) * size(1),
        "within_a_side": called[0][0] + called[1][1],
    });
    report["held_by_the_rest_meanwhile"] = json!(held_by_rest);
    report["while_cut"] = json!({
        "bytes_a_second_peak_mean": cut.most_mean_bytes.round(),
        "bytes_a_second_peak_router": cut.most_bytes.round(),
        "bytes_a_second_mean": mean(cut.mean_bytes.iter().copied()).round(),
        "unheld_s": (cut.unheld_s * 10.0).round() / 10.0,
        "holders_most": cut.holders,
    });
    report
}

/// Machines are replaced under their names at a hundred times the day's pace, while others come and go by plan.
fn replaced(routers: usize, seed: u64) -> Value {
    let added: Vec<usize> = (0..5).map(|number| number * routers / 5 + 1).collect();
    let mut world = settled(routers, seed, &added, SETTLES);
    let (mut rng, from, rounds) = (SmallRng::seed_from_u64(seed), world.now, 10);
    let mut plan = Vec::new();
    for round in 0..rounds {
        let at = from + f64::from(round) * REPLACED_EVERY;
        let router = round as usize * routers / rounds as usize + 2;
        // Another machine, whose clock shows another time.
        world.clocks[router] = rng.random_range(0..500);
        plan.extend([(at, FaultAction::Kill(router)), (at + 5.0, FaultAction::Start(router))]);
        let other = round as usize / 2;
        let come_or_go = match round % 2 {
            0 => FaultAction::Start(added[other]),
            _ => FaultAction::Leave(other * routers / 5 + 3),
        };
        plan.push((at + 6.0, come_or_go));
    }
    world.plan(&plan);
    let seen = watch(&mut world, f64::from(rounds) * REPLACED_EVERY + AFTER);
    let mut report = told(&world, &seen);
    // Who of those that run counts whom otherwise than it is by the end.
    let up = &world.record.truths.last().expect("what is true").up;
    let running = (0..routers).filter(|router| up[*router]).filter_map(|by| Some((by, world.members(by)?)));
    let wrong = running.flat_map(|(by, view)| {
        let members = view.members().iter().enumerate();
        members
            .filter(|(of, member)| member.state.counts_as_present() != up[*of])
            .map(move |(of, _)| (by, of))
    });
    let wrong: Vec<(usize, usize)> = wrong.collect();
    report["counted_wrongly_at_the_end"] = json!(wrong.len());
    report["first_wrong"] = json!(wrong.first());
    report["replaced"] = json!(rounds);
    report["added"] = json!(added.len());
    report["taken_away"] = json!(rounds / 2);
    report
}

/// All are started again with a list that names another machine, one after another: another cluster grows beside the old.
fn list_changed(routers: usize, seed: u64) -> Value {
    let (mut world, takes) = (settled(routers, seed, &[], SETTLES), 60.0);
    let list = world.lists[0] + 1;
    let mut seen = Watched::default();
    let (from, mut next, step) = (world.now, 0, 0.1);
    let mut fewest_seen = routers;
    while world.now < from + takes + 15.0 {
        let started = (((world.now - from) / takes * routers as f64) as usize).min(routers);
        for router in next..started {
            world.lists[router] = list;
            world.at(world.now, FaultAction::Kill(router));
            world.at(world.now + 1.0, FaultAction::Start(router));
        }
        next = started;
        world.run_until(world.now + step);
        forget(&mut world);
        let holders = world.holders().len();
        seen.holders = seen.holders.max(holders);
        seen.unheld_s += if holders == 0 { step } else { 0.0 };
        let most = (0..routers).step_by(routers.div_ceil(20)).filter_map(|router| world.members(router));
        fewest_seen = fewest_seen.min(most.map(|members| members.present().count()).max().unwrap_or(0));
    }
    json!({
        "started_again": next,
        "takes_s": takes,
        "unheld_s": (seen.unheld_s * 10.0).round() / 10.0,
        "holders_most": seen.holders,
        "two_holders": world.two_holders,
        "largest_view_at_its_smallest": fewest_seen,
    })
}

enum Request {
    Size(usize, usize),
    Event(&'static str),
}

fn need(sizes: &[f64]) -> Result<Need, String> {
    let largest = sizes.iter().copied().fold(0.0, f64::max);
    if largest > MAX_ROUTERS as f64 {
        return Err(format!(
            "{largest} routers: {} more than a cluster may have",
            largest - MAX_ROUTERS as f64
        ));
    }
    if sizes.iter().any(|size| *size < 4.0) {
        return Err("a cluster of fewer than 4 routers bears no three deaths".to_string());
    }
    // Those of the memory's play are held all at once, then the largest side by side.
    let pairs: f64 = sizes.iter().map(|size| size * size).sum();
    let side_by_side = largest * largest * THREADS as f64;
    Ok(Need { memory_mb: (pairs.max(side_by_side) * BYTES_A_PAIR / 1e6) as u64, ..Need::default() })
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&SIZES);
    let mut all: Vec<f64> = sizes.iter().copied().filter(|size| *size != target::ROUTERS as f64).collect();
    all.push(target::ROUTERS as f64);
    need(&all)?.borne()?;
    let plays = ask.plays.max(1);
    // Memory first and alone, from the smallest on, nothing given back in between.
    let mut sorted = all.clone();
    sorted.sort_by(f64::total_cmp);
    let (mut memory, mut kept) = (Vec::new(), Vec::new());
    for size in sorted {
        let before = resident();
        kept.push(settled(size as usize, ask.seed, &[], MET));
        memory.push((size as usize, (resident() - before) / size));
    }
    drop(kept);
    // The dearest first, so that no thread is left with it at the end.
    let events = ["region_cut", "replaced", "list_changed", "zone_lost"];
    let mut requests: Vec<Request> = events.into_iter().map(Request::Event).collect();
    let mut by_size: Vec<usize> = all.iter().map(|size| *size as usize).collect();
    by_size.sort_unstable_by_key(|size| std::cmp::Reverse(*size));
    requests.extend(by_size.iter().flat_map(|size| (0..plays).map(|play| Request::Size(*size, play))));
    let (next, played, told) = (AtomicUsize::new(0), Mutex::new(Vec::new()), Mutex::new(json!({})));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(request) = requests.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match request {
                        Request::Size(size, play) => {
                            let seed = ask.seed * 1000 + *play as u64;
                            let mut world = settled(*size, seed, &[], SETTLES);
                            let play = quiet_and_deaths(&mut world, seed);
                            played.lock().expect("plays").push((*size, play));
                        }
                        Request::Event(name) => {
                            let event = match *name {
                                "zone_lost" => zone_lost,
                                "region_cut" => region_cut,
                                "replaced" => replaced,
                                _ => list_changed,
                            };
                            let came = event(target::ROUTERS, ask.seed);
                            told.lock().expect("events")[*name] = came;
                        }
                    }
                }
            });
        }
    });
    let played = played.into_inner().expect("plays");
    let kills: usize = played.iter().map(|(_, play): &(usize, Play)| play.kills).sum();
    assert_eq!(kills, 3 * plays * all.len(), "each play had its deaths");
    let row = |name: &str, unit, budget, of: &dyn Fn(&Play) -> Option<f64>| {
        let at = |size: usize| -> Vec<f64> {
            played.iter().filter(|(other, _)| *other == size).filter_map(|(_, play)| of(play)).collect()
        };
        let fitted = all.iter().filter(|size| **size != target::ROUTERS as f64);
        Row {
            name: format!("{name}, by routers"),
            unit,
            measured: fitted.map(|size| (*size, at(*size as usize))).collect(),
            target: target::ROUTERS as f64,
            at_target: Ok(at(target::ROUTERS)),
            budget,
        }
    };
    let mut rows = vec![
        row("bytes a second of the holder of one duty", "B/s", Some(target::CONTROL_BYTES), &|play| {
            play.holder_bytes
        }),
        row("seconds until a death is known to all, p99", "s", Some(3.0), &|play| Some(play.found_s)),
        row("bytes a second and router, holders apart", "B/s", Some(target::CONTROL_BYTES), &|play| {
            Some(play.bytes)
        }),
        row("CPU a router, at most", "cores", Some(target::CONTROL_CPU), &|play| Some(play.cpu)),
    ];
    let of =
        |size: f64| memory.iter().filter(|(other, _)| *other == size as usize).map(|(_, mb)| *mb).collect();
    rows.push(Row {
        name: "memory a router, at most, by routers".to_string(),
        unit: "MB",
        measured: all
            .iter()
            .filter(|size| **size != target::ROUTERS as f64)
            .map(|size| (*size, of(*size)))
            .collect(),
        target: target::ROUTERS as f64,
        at_target: Ok(of(target::ROUTERS as f64)),
        budget: Some(target::CONTROL_MB),
    });
    let by_size: Vec<Value> = all
        .iter()
        .map(|size| {
            let at = || played.iter().filter(|(other, _)| *other == *size as usize).map(|(_, play)| play);
            json!({
                "routers": size,
                "false_failures": at().map(|play| play.false_failures).collect::<Vec<_>>(),
                "missed": at().map(|play| play.missed).collect::<Vec<_>>(),
                "two_holders": at().map(|play| play.two_holders).collect::<Vec<_>>(),
            })
        })
        .collect();
    let events = told.into_inner().expect("events");
    let more = json!({"virtual": true, "headers_a_datagram": HEADERS, "by_size": by_size, "events": events});
    Ok(report("members", ask, &rows, more))
}
