//! The same load on two routers at once, one of them with a routing peer whose session ends again and again.

use crate::routers::bgp_peer::Saw;
use crate::routers::routing_peer::{open, service_file, Peering};
use crate::stand_ins::{counter, request, Answered, Client, Discovery, Engine, Router};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;

/// CPU seconds and resident KiB of a process, from the system's own accounting.
fn usage(process: u32) -> (f64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let behind = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = behind.split_whitespace().map(|word| word.parse().unwrap_or(0)).collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
    (ticks as f64 / 100.0, resident.unwrap_or(0))
}

struct Side {
    router: Router,
    peering: Peering,
    _engine: Engine,
    _discovery: Discovery,
    file: std::path::PathBuf,
}

fn side(program: &Path, name: &str) -> Side {
    let peering = Peering::start(open(false));
    let file = std::env::temp_dir().join(format!("cleatgw-lab-flap-{}-{name}.json", std::process::id()));
    std::fs::write(&file, service_file(&[&peering], "")).expect("a temporary file");
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router =
        Router::with(&program.to_string_lossy(), &discovery, 256, &["--service", &file.to_string_lossy()]);
    peering.wait("announced", |peering| !peering.table().is_empty());
    Side { router, peering, _engine: engine, _discovery: discovery, file }
}

/// Answers by kind, and how long they took.
type Load = (BTreeMap<&'static str, u64>, Histogram<u64>);

fn load(router: std::net::SocketAddr, seed: u64, over: &AtomicBool) -> Load {
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut kinds = BTreeMap::new();
    let mut times = Histogram::new(3).expect("three digits");
    let Ok(mut client) = Client::at(router) else { return (kinds, times) };
    while !over.load(Ordering::Relaxed) {
        let began = Instant::now();
        let pages = chance.random_range(1..4);
        let sent = client.try_send(&request(
            "look",
            5000,
            &format!("pages {pages} FROM sales_{}.t", chance.random_range(1..9)),
        ));
        let kind = match client.try_answer().filter(|_| sent) {
            Some(Answered::Rows(_)) => "delivered",
            Some(_) => "refused",
            None => "lost",
        };
        *kinds.entry(kind).or_default() += 1;
        times.record(began.elapsed().as_micros() as u64).expect("it grows as needed");
        if kind == "lost" {
            break;
        }
        std::thread::sleep(Duration::from_micros(chance.random_range(1000..5000)));
    }
    (kinds, times)
}

/// How long from each session's coming up to the route's being there, in seconds, but for the first session.
fn told_after(peering: &Peering) -> Vec<f64> {
    let mut up = None;
    let mut times = Vec::new();
    for (at, saw) in peering.noted() {
        match saw {
            Saw::Established => up = Some(at),
            Saw::Announced(..) => times.extend(up.take().map(|up| (at - up).as_secs_f64())),
            _ => {}
        }
    }
    // The first one waited for the router to be ready, not for the session.
    times.split_off(1.min(times.len()))
}

pub fn measure(program: &Path, minutes: f64, per_minute: f64, seed: u64) -> Value {
    let sides = [side(program, "steady"), side(program, "flapping")];
    let over = Arc::new(AtomicBool::new(false));
    let before = sides.each_ref().map(|side| usage(side.router.process()).0);
    let clients = sides.each_ref().map(|side| {
        let start = |at: usize| {
            let (address, over) = (side.router.address, over.clone());
            std::thread::spawn(move || load(address, seed.wrapping_add(at as u64), &over))
        };
        (0..CLIENTS).map(start).collect::<Vec<_>>()
    });
    let (began, whole) = (Instant::now(), Duration::from_secs_f64(60.0 * minutes));
    let mut quarters: [Vec<u64>; 2] = Default::default();
    let mut flaps = 0;
    while began.elapsed() < whole {
        std::thread::sleep(Duration::from_millis(20));
        let passed = began.elapsed().as_secs_f64();
        if passed >= whole.as_secs_f64() / 4.0 * (quarters[0].len() + 1) as f64 {
            for (side, quarter) in sides.iter().zip(&mut quarters) {
                quarter.push(usage(side.router.process()).1);
            }
        }
        if passed * per_minute / 60.0 >= f64::from(flaps + 1) {
            match flaps % 4 {
                0 => sides[1].peering.reset(),
                1 => sides[1].peering.cease(),
                2 => sides[1].peering.say(|out| out.extend([0; 19])),
                _ => {
                    sides[1].peering.say(|out| out.extend([0xff; 17]));
                    sides[1].peering.reset();
                }
            }
            flaps += 1;
        }
    }
    over.store(true, Ordering::Relaxed);
    let loads = clients.map(|clients| {
        let mut all: Load = (BTreeMap::new(), Histogram::new(3).expect("three digits"));
        for client in clients {
            let (kinds, times) = client.join().expect("a client");
            kinds.into_iter().for_each(|(kind, count)| *all.0.entry(kind).or_default() += count);
            all.1.add(&times).expect("alike");
        }
        all
    });
    let seconds = began.elapsed().as_secs_f64();
    let report = |at: usize| {
        let (side, (kinds, times)) = (&sides[at], &loads[at]);
        let counters =
            Client::at(side.router.address).map(|mut client| client.counters_now()).unwrap_or_default();
        let cpu = usage(side.router.process()).0 - before[at];
        let told = told_after(&side.peering);
        json!({
            "answers": kinds,
            "us_p50": times.value_at_quantile(0.5),
            "us_p99": times.value_at_quantile(0.99),
            "us_max": times.max(),
            "cpu_percent": cpu / seconds * 100.0,
            "cpu_us_a_job": cpu * 1e6 / kinds.values().sum::<u64>().max(1) as f64,
            "resident_kib_by_quarter": quarters[at],
            "updates_out": counter(&counters, "bgp_updates_out"),
            "sessions": counter(&counters, "bgp_established"),
            "longest_turn_us": counter(&counters, "longest_turn_us"),
            "told_ms_max": told.iter().copied().fold(0.0, f64::max) * 1e3,
        })
    };
    let whole = json!({
        "minutes": minutes, "per_minute": per_minute, "flaps": flaps, "steady": report(0), "flapping": report(1),
    });
    sides.iter().for_each(|side| drop(std::fs::remove_file(&side.file)));
    whole
}
