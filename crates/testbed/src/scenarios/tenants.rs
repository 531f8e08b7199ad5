//! Tenants that share engines through one real router: what each waits, against what it would wait with its share alone.

use crate::engines::shared_engine::Shared;
use crate::stand_ins::{counter, Answered, Client, Discovery, Router};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What one tenant sends.
#[derive(Clone, Debug)]
struct Sends {
    name: &'static str,
    weight: f64,
    /// Requests a second, their work in milliseconds, and when it begins and ends, as parts of the run.
    rate: f64,
    work_ms: f64,
    during: (f64, f64),
}

struct Scenario {
    tenants: Vec<Sends>,
    /// One of the engines answers nothing in this part of the run.
    silent: Option<(f64, f64)>,
}

const ENGINES: usize = 2;
const CORES: f64 = 8.0;
const ALWAYS: (f64, f64) = (0.0, 1.0);
/// Connections a tenant.
const CLIENTS: usize = 80;
/// How long a client waits, in milliseconds.
const TIME_TO_LIVE: u64 = 4000;
pub const SCENARIOS: [&str; 6] = ["greedy", "silent", "greedy+silent", "return", "heavy-light", "overload"];

/// Capacity is 16 cores: 16,000 ms of work a second.
fn scenario(name: &str) -> Option<Scenario> {
    let tenant = |name, weight, rate, work_ms, during| Sends { name, weight, rate, work_ms, during };
    let modest = tenant("modest", 1.0, 40.0, 100.0, ALWAYS);
    // Ten times half of the engines.
    let greedy = tenant("greedy", 1.0, 800.0, 100.0, ALWAYS);
    let silent = Some((0.4, 0.6));
    Some(match name {
        "greedy" => Scenario { tenants: vec![modest, greedy], silent: None },
        "silent" => {
            let other = tenant("other", 1.0, 40.0, 100.0, ALWAYS);
            Scenario { tenants: vec![modest, other], silent }
        }
        "greedy+silent" => Scenario { tenants: vec![modest, greedy], silent },
        "return" => {
            let steady = tenant("steady", 1.0, 150.0, 100.0, ALWAYS);
            let back = tenant("back", 1.0, 300.0, 100.0, (0.5, 0.8));
            Scenario { tenants: vec![steady, back], silent: None }
        }
        "heavy-light" => {
            let light = tenant("light", 1.0, 300.0, 20.0, ALWAYS);
            let heavy = tenant("heavy", 1.0, 30.0, 800.0, ALWAYS);
            Scenario { tenants: vec![light, heavy], silent: None }
        }
        "overload" => {
            let one = tenant("one", 3.0, 400.0, 100.0, ALWAYS);
            let two = tenant("two", 1.0, 400.0, 100.0, ALWAYS);
            Scenario { tenants: vec![one, two], silent: None }
        }
        _ => return None,
    })
}

/// One request: when it was sent, counted from the start, how long it waited for an engine, and how it ended.
#[derive(Clone, Copy)]
struct Went {
    at: f64,
    wait: Option<f64>,
    ended: Ended,
}

#[derive(Clone, Copy, PartialEq)]
enum Ended {
    Completed,
    Rejected,
    Unanswered,
}

struct Played {
    by_tenant: Vec<Vec<Went>>,
    counters: String,
}

static CALL: AtomicU64 = AtomicU64::new(1);

fn client(
    router: std::net::SocketAddr,
    tenant: &Sends,
    seed: u64,
    began: Instant,
    seconds: f64,
) -> Vec<(String, Instant, Ended)> {
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let Ok(mut client) = Client::at(router) else { return all };
    let each = CLIENTS as f64 / tenant.rate;
    let mut next = tenant.during.0 * seconds + chance.random_range(0.0..each);
    while next < tenant.during.1 * seconds {
        let wait = next - began.elapsed().as_secs_f64();
        if wait > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
        let call = format!("{:016x}", CALL.fetch_add(1, Ordering::Relaxed));
        // Alike requests that share an engine would all end at once.
        let work = tenant.work_ms * chance.random_range(0.3..1.7);
        let text = format!(
            "/* op=look,call={call},ttl={TIME_TO_LIVE},org={},work={work:.1},mb=10 */ work {work:.1} FROM sales_{}.t",
            tenant.name,
            chance.random_range(1..20)
        );
        let sent = Instant::now();
        let ended = match client.try_send(&text).then(|| client.try_answer()).flatten() {
            Some(Answered::Rows(_)) => Ended::Completed,
            Some(_) => Ended::Rejected,
            None => Ended::Unanswered,
        };
        all.push((call, sent, ended));
        if ended == Ended::Unanswered {
            return all;
        }
        // Exponential gaps; who is late does not catch up.
        let gap = -each * (1.0 - chance.random_range(0.0..1.0f64)).ln();
        next = (next + gap).max(began.elapsed().as_secs_f64());
    }
    all
}

/// The file that makes tenants of them; a round robin is a weight of one each.
fn teams_file(tenants: &[Sends], plain: bool, ageing: Option<f64>) -> String {
    let ageing = ageing.map_or(String::new(), |seconds| format!(r#","ageing_s":{seconds}"#));
    let tenant = |tenant: &Sends| {
        let weight = if plain { 1.0 } else { tenant.weight };
        format!(r#"{{"name":"{}","weight":{weight},"most_queued":200{ageing}}}"#, tenant.name)
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(r#"{{"teams":[{}]}}"#, tenants.join(","))
}

fn play(
    program: &Path,
    tenants: &[Sends],
    silent: Option<(f64, f64)>,
    file: Option<&str>,
    cores: f64,
    seed: u64,
    seconds: f64,
) -> Played {
    let engines: Vec<Shared> = (0..ENGINES).map(|at| Shared::start(&format!("s-{at}"), cores)).collect();
    let discovery = Discovery::start();
    discovery.tell(true, &engines.iter().map(Shared::entry).collect::<Vec<_>>());
    let names: Vec<String> =
        tenants.iter().map(|tenant| format!(r#"{{"name":"{}"}}"#, tenant.name)).collect();
    let change = |text: String| {
        text.replace(r#"[{"name":"town"}]"#, &format!("[{}]", names.join(",")))
            .replace("\"cores-by-kind\":[8]", &format!("\"cores-by-kind\":[{cores}]"))
    };
    let path = std::env::temp_dir().join(format!("cleatgw-lab-teams-{}.json", std::process::id()));
    let mut more = Vec::new();
    if let Some(text) = file {
        std::fs::write(&path, text).expect("a temporary file");
        more = vec!["--teams".to_string(), path.to_string_lossy().into_owned()];
    }
    let more: Vec<&str> = more.iter().map(String::as_str).collect();
    let router = Router::changed(&program.to_string_lossy(), &discovery, 1024, &more, change);
    let began = Instant::now();
    let sent: Mutex<Vec<Vec<(String, Instant, Ended)>>> = Mutex::new(vec![Vec::new(); tenants.len()]);
    std::thread::scope(|scope| {
        for (at, tenant) in tenants.iter().enumerate() {
            for number in 0..CLIENTS {
                let (sent, address) = (&sent, router.address);
                let seed = seed.wrapping_mul(1_000_003).wrapping_add((at * CLIENTS + number) as u64);
                scope.spawn(move || {
                    let all = client(address, tenant, seed, began, seconds);
                    sent.lock().unwrap()[at].extend(all);
                });
            }
        }
        if let Some((from, to)) = silent {
            std::thread::sleep(Duration::from_secs_f64(from * seconds).saturating_sub(began.elapsed()));
            engines[0].silent(true);
            std::thread::sleep(Duration::from_secs_f64(to * seconds).saturating_sub(began.elapsed()));
            engines[0].silent(false);
        }
    });
    let counters = Client::at(router.address).map(|mut client| client.counters_now()).unwrap_or_default();
    let mut got = engines[0].got();
    for (call, at) in engines[1].got() {
        let first = got.get(&call).map_or(at, |other| at.min(*other));
        got.insert(call, first);
    }
    let by_tenant = sent.into_inner().unwrap().into_iter().map(|requests| {
        let went = |(call, sent, ended): (String, Instant, Ended)| Went {
            at: (sent - began).as_secs_f64(),
            wait: got.get(&call).map(|at| at.saturating_duration_since(sent).as_secs_f64()),
            ended,
        };
        requests.into_iter().map(went).collect()
    });
    let played = Played { by_tenant: by_tenant.collect(), counters };
    let _ = std::fs::remove_file(&path);
    played
}

/// In milliseconds, of waits in seconds.
fn quantile(waits: &[f64], part: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits");
    for wait in waits {
        histogram.record((wait * 1e6) as u64).expect("it grows as needed");
    }
    histogram.value_at_quantile(part) as f64 / 1e3
}

/// The first second and a half does not count: the router learns what engines take.
const BEGINS: f64 = 1.5;

fn waits(went: &[Went]) -> Vec<f64> {
    went.iter().filter(|one| one.at >= BEGINS).filter_map(|one| one.wait).collect()
}

fn report(tenants: &[Sends], played: &Played, fair: Option<&[f64]>) -> Value {
    let mut by_tenant = Map::new();
    for (at, tenant) in tenants.iter().enumerate() {
        let went = &played.by_tenant[at];
        let count = |ended| went.iter().filter(|one| one.ended == ended).count();
        let waits = waits(went);
        let p99 = quantile(&waits, 0.99);
        let mut one = json!({
            "jobs": went.len(),
            "delivered": count(Ended::Completed),
            "turned_back": count(Ended::Rejected),
            "unanswered": count(Ended::Unanswered),
            "wait_p50_ms": quantile(&waits, 0.5),
            "wait_p99_ms": p99,
        });
        if let Some(fair) = fair {
            one["fair_wait_p99_ms"] = fair[at].into();
            // A turn of the loop and the way there are no wait.
            one["wait_over_fair"] = (p99 / fair[at].max(5.0)).into();
        }
        by_tenant.insert(tenant.name.to_string(), one);
    }
    let counted = |name| counter(&played.counters, name);
    let (compared, unknown) = (counted("waits_compared"), counted("waits_unknown"));
    json!({
        "teams": by_tenant,
        "estimates": compared,
        "within_20_percent_or_20_ms": counted("waits_near") as f64 / (compared as f64).max(1.0),
        "within_20_percent": counted("waits_within_a_fifth") as f64 / (compared as f64).max(1.0),
        "coverage": compared as f64 / ((compared + unknown) as f64).max(1.0),
    })
}

/// Median waits by tenant and second, with and without tenants.
fn draw(
    path: &Path,
    tenants: &[Sends],
    with: &Played,
    without: &Played,
    seconds: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (1000, 600)).into_drawing_area();
    area.fill(&WHITE)?;
    for (part, (at, tenant)) in area.split_evenly((tenants.len(), 1)).iter().zip(tenants.iter().enumerate()) {
        let lines = [(without, RED), (with, BLUE)].map(|(played, colour)| {
            let mut by_second: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
            for one in &played.by_tenant[at] {
                by_second.entry(one.at as usize).or_default().extend(one.wait);
            }
            let points: Vec<(f64, f64)> =
                by_second.iter().map(|(second, waits)| (*second as f64, quantile(waits, 0.5))).collect();
            (points, colour)
        });
        let most = lines.iter().flat_map(|line| &line.0).map(|point| point.1).fold(10.0, f64::max);
        let words = format!("{}: median wait, ms (blue: with teams, red: without)", tenant.name);
        let mut chart = ChartBuilder::on(part);
        chart.caption(words, ("sans-serif", 16)).margin(8).x_label_area_size(24).y_label_area_size(48);
        let mut chart = chart.build_cartesian_2d(0.0..seconds, 0.0..most * 1.05)?;
        chart.configure_mesh().disable_mesh().x_labels(8).y_labels(4).x_desc("seconds").draw()?;
        for (points, colour) in lines {
            chart.draw_series(LineSeries::new(points, &colour))?;
        }
    }
    area.present()?;
    Ok(())
}

/// Plays a scenario with tenants, with a plain round robin and without; and each tenant alone with its share of the cores.
pub fn measure(
    program: &Path,
    name: &str,
    seed: u64,
    seconds: f64,
    ageing: Option<f64>,
    plot: Option<&Path>,
) -> Value {
    let Some(Scenario { tenants, silent }) = scenario(name) else {
        return json!({ "error": format!("no scenario {name:?}: expected one of {}", SCENARIOS.join(" ")) });
    };
    let total: f64 = tenants.iter().map(|tenant| tenant.weight).sum();
    let fair: Vec<f64> = tenants
        .iter()
        .map(|tenant| {
            let cores = CORES * tenant.weight / total;
            let alone = play(program, std::slice::from_ref(tenant), silent, None, cores, seed, seconds);
            quantile(&waits(&alone.by_tenant[0]), 0.99)
        })
        .collect();
    let run = |file: Option<&str>| play(program, &tenants, silent, file, CORES, seed, seconds);
    let with = run(Some(&teams_file(&tenants, false, ageing)));
    let robin = run(Some(&teams_file(&tenants, true, ageing)));
    let without = run(None);
    if let Some(Err(error)) = plot.map(|path| draw(path, &tenants, &with, &without, seconds)) {
        eprintln!("no plot: {error}");
    }
    let mut whole = report(&tenants, &with, Some(&fair));
    whole["scenario"] = name.into();
    whole["seconds"] = seconds.into();
    whole["ageing_s"] = ageing.into();
    whole["round_robin"] = report(&tenants, &robin, Some(&fair));
    whole["off"] = report(&tenants, &without, Some(&fair));
    whole
}
