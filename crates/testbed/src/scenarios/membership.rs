//! How well routers know each other under faults: real processes through relays, or the same code in virtual time.

use crate::clients::load::Load;
use crate::faults::schedule::{mixed, FaultAction};
use crate::routers::cluster::{Cluster, Plan, Watch};
use crate::scenarios::virtual_membership::World;
use crate::stand_ins::{counter, Client, Router};
use cleatgw_membership::swim::{Defences, DetectorSettings};
use plotters::prelude::*;
use serde_json::{json, Value};
use std::path::Path;
use std::time::{Duration, Instant};

/// Real processes under a mixed schedule and load.
pub fn measure(program: &Path, routers: usize, seed: u64, seconds: f64) -> Value {
    let fields = r#""duties":["one","two"],"#.to_string();
    let mut cluster = Cluster::planned(program, Plan { routers, seed, fields, ..Plan::default() });
    (0..routers).for_each(|router| cluster.stands(router, "whole"));
    let sent = |cluster: &Cluster| -> Vec<u64> {
        let bytes = |router| {
            let line = Client::at(cluster.address(router)).map(|mut client| client.counters_now());
            counter(&line.unwrap_or_default(), "cluster_out_bytes")
        };
        (0..cluster.routers()).map(bytes).collect()
    };
    // What it costs when nothing happens.
    let (before, began) = (sent(&cluster), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let calm = began.elapsed().as_secs_f64();
    let bytes: u64 =
        sent(&cluster).iter().zip(&before).map(|(after, before)| after.saturating_sub(*before)).sum();
    let (load, watch) = (Load::start(&cluster, 20.0), Watch::start(&cluster));
    cluster.play(&mixed(routers, 1.0, seconds, seed), 8.0);
    let (tally, claims) = (load.tally(&cluster), watch.end());
    let check_result = cluster.check_result(&tally.asked, false);
    let (two_holders, held_by) = cluster.two_holders(&claims);
    let mut report = cluster.record().report();
    let link_conditions = cluster.relays.link_conditions.lock().expect("the conditions of links");
    let more = json!({
        "two_holders": two_holders,
        "held_by": held_by,
        "claims": claims.len(),
        "jobs": tally.answered,
        "unanswered": tally.unanswered,
        "rule_breaks": check_result.breaks(),
        "broken": check_result.finds,
        "bytes_per_second_per_router": (bytes as f64 / calm / routers as f64).round(),
        "datagrams_lost": link_conditions.lost,
        "datagrams_cut": link_conditions.cut,
        "datagrams_damaged": link_conditions.damaged,
        "datagrams_twice": link_conditions.twice,
        "seed": seed,
    });
    report.as_object_mut().expect("a report").extend(more.as_object().expect("more").clone());
    report
}

/// Processor time of a process's first thread so far, in nanoseconds.
fn spent(process: u32) -> u64 {
    let text =
        std::fs::read_to_string(format!("/proc/{process}/task/{process}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|nanoseconds| nanoseconds.parse().ok()).unwrap_or(0)
}

/// Processor time a request of one router, in a cluster of so many and without a cluster file, in turn under the same load.
pub fn cost(program: &Path, routers: usize, seed: u64, pairs: usize) -> Value {
    // Room for all clients' requests at once: short ones, by the engines' clock tick, would pass for slow engines.
    let cluster = Cluster::planned(program, Plan { routers, seed, cores: 24.0, ..Plan::default() });
    (0..routers).for_each(|router| cluster.stands(router, "whole"));
    let gateways = format!("\"balancers\":{routers}");
    let change = |text: String| text.replace(r#""balancers":1"#, &gateways);
    let alone = Router::changed(
        &program.to_string_lossy(),
        cluster.discovery(0),
        512,
        &["--log-format", "text"],
        change,
    );
    // What is spent on the others alone: requests or none, as many datagrams come and go.
    let idle = {
        let both = || [cluster.router(0).process(), alone.process()].map(spent);
        let before = both();
        std::thread::sleep(Duration::from_secs(8));
        let after = both();
        [0, 1].map(|at| (after[at] - before[at]) as f64 / 8e9)
    };
    let one = |address, process| {
        let load = Load::at(&[(0, address); 48], 1e6, 2.0, cluster.relays.began);
        std::thread::sleep(Duration::from_millis(500));
        let (began, before) = (Client::at(address).map(|mut client| client.counters_now()), spent(process));
        std::thread::sleep(Duration::from_secs(2));
        let (ended, after) = (Client::at(address).map(|mut client| client.counters_now()), spent(process));
        load.end(&cluster);
        // None where its counters could not be had under full load.
        let completed = |line: std::io::Result<String>| Some(counter(&line.ok()?, "delivered"));
        let requests =
            completed(ended).zip(completed(began)).map(|(ended, began)| ended.saturating_sub(began));
        let requests = requests.filter(|requests| *requests > 1000);
        (requests, requests.map(|requests| (after - before) as f64 / 1e3 / requests as f64))
    };
    let rows: Vec<Value> = (0..pairs)
        .map(|_| {
            let (requests_on, on) = one(cluster.address(0), cluster.router(0).process());
            let (requests_off, off) = one(alone.address, alone.process());
            let ratio = on.zip(off).map(|(on, off)| on / off);
            json!({"jobs_on": requests_on, "us_on": on, "jobs_off": requests_off, "us_off": off, "ratio": ratio})
        })
        .collect();
    let mut ratios: Vec<f64> = rows.iter().filter_map(|row| row["ratio"].as_f64()).collect();
    ratios.sort_by(f64::total_cmp);
    let at =
        |share: f64| ratios.get((ratios.len().saturating_sub(1) as f64 * share).round() as usize).copied();
    json!({
        "routers": routers,
        "seed": seed,
        "ratio_quartiles": [at(0.25), at(0.5), at(0.75)],
        "idle_core_share_on": idle[0],
        "idle_core_share_off": idle[1],
        "pairs": rows,
    })
}

/// Thinly loaded routers and an engine that falls silent for a while, twice: with what they tell each other of engines,
/// and without.
pub fn words(program: &Path, routers: usize, seed: u64, rate: f64) -> Value {
    let play = |tell: bool| {
        let fields = format!(r#""tell_of_engines":{tell},"#);
        let cluster =
            Cluster::planned(program, Plan { routers, engines: 6, seed, fields, ..Plan::default() });
        (0..routers).for_each(|router| cluster.stands(router, "whole"));
        let load = Load::start(&cluster, rate);
        for sick in 0..2 {
            std::thread::sleep(Duration::from_secs(3));
            cluster.engines[sick].silent(true);
            std::thread::sleep(Duration::from_secs(8));
            cluster.engines[sick].silent(false);
        }
        let tally = load.tally(&cluster);
        json!({
            "jobs": tally.answered,
            "needed_another_push": tally.answered - tally.at_once,
            "unanswered": tally.unanswered,
        })
    };
    json!({"routers": routers, "rate": rate, "seed": seed, "told": play(true), "untold": play(false)})
}

/// The same code in virtual time, under the same schedule. CPU is this process's, for all routers together.
pub fn measure_virtual(routers: usize, seed: u64, seconds: f64, plot: Option<&Path>) -> Value {
    let mut world = World::new(routers, DetectorSettings::default(), seed);
    // One leader role, and clocks as far apart as leases allow for.
    world.role = Some(cleatgw_membership::leader::role_resource("one"));
    let drift = cleatgw_membership::lease::DRIFT;
    world.rates = (0..routers).map(|router| 1.0 + drift * (router % 3) as f64 - drift).collect();
    (0..routers).for_each(|router| world.at(router as f64 / routers as f64, FaultAction::Start(router)));
    // Large clusters take longer to have met all.
    let settled = 10.0;
    world.run_until(settled);
    let (before, began) = (world.sent_bytes, Instant::now());
    world.run_until(settled + 5.0);
    let bytes = (world.sent_bytes - before) as f64 / 5.0 / routers as f64;
    let cpu = began.elapsed().as_secs_f64() / 5.0 / routers as f64;
    let from = settled + 6.0;
    world.plan(&mixed(routers, from, seconds, seed));
    world.run_until(from + seconds + 8.0);
    let mut report = world.record.report();
    let more = json!({
        "virtual": true,
        "two_holders": world.two_holders,
        "duty_changed_hands": world.changed_hands,
        "bytes_per_second_per_router": bytes.round(),
        "cpu_us_per_second_per_router": (cpu * 1e6).round(),
        "datagrams_lost": world.link_conditions.lost,
        "datagrams_cut": world.link_conditions.cut,
        "datagrams_damaged": world.link_conditions.damaged,
        "seed": seed,
    });
    report.as_object_mut().expect("a report").extend(more.as_object().expect("more").clone());
    if let Some(path) = plot {
        report["under_loss"] = under_loss(seed, path);
    }
    report
}

/// Detection and false failures of 30 routers while datagrams are lost, with each defence and without.
fn under_loss(seed: u64, path: &Path) -> Value {
    let all = Defences::default();
    let kinds = [
        ("all", all),
        ("no local health", Defences { local_health: false, ..all }),
        ("no own ears", Defences { trust_direct_contact: false, ..all }),
        ("no suspicion", Defences { suspicion: false, ..all }),
    ];
    let losses = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5];
    let mut rows = Vec::new();
    for (name, defences) in kinds {
        for loss in losses {
            let mut world =
                World::started(30, DetectorSettings { defences, ..DetectorSettings::default() }, seed);
            world.run_until(10.0);
            world.at(10.0, FaultAction::Loss(loss));
            (0..3).for_each(|router| {
                world.at(20.0 + f64::from(router) * 15.0, FaultAction::Kill(router as usize))
            });
            world.run_until(65.0);
            let (times, missed) = world.record.detections();
            let false_failures = world.record.false_failures().len();
            rows.push((name, loss, times.value_at_quantile(0.99), missed, false_failures));
        }
    }
    if let Err(error) = draw(path, &rows) {
        eprintln!("{}: {error}", path.display());
    }
    rows.iter()
        .map(|(name, loss, p99, missed, wrong)| {
            json!({"defences": name, "loss": loss, "detected_ms_p99": p99, "missed": missed, "false_failures": wrong})
        })
        .collect()
}

type Row = (&'static str, f64, u64, u64, usize);

fn draw(path: &Path, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(450);
    let most = rows.iter().map(|row| row.2).max().unwrap_or(1) as f64 / 1e3;
    let mut found = ChartBuilder::on(&left)
        .caption("found failed, p99 (s)", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..0.5, 0.0..most * 1.1)?;
    found.configure_mesh().x_desc("share of datagrams lost").draw()?;
    let most = rows.iter().map(|row| row.4).max().unwrap_or(1).max(1) as f64;
    let mut wrong = ChartBuilder::on(&right)
        .caption("called failed for over 1 s, though sound", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..0.5, 0.0..most * 1.1)?;
    wrong.configure_mesh().x_desc("share of datagrams lost").draw()?;
    for (number, name) in ["all", "no local health", "no own ears", "no suspicion"].into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let of = || rows.iter().filter(move |row| row.0 == name);
        found
            .draw_series(LineSeries::new(of().map(|row| (row.1, row.2 as f64 / 1e3)), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        wrong.draw_series(LineSeries::new(of().map(|row| (row.1, row.4 as f64)), color.stroke_width(2)))?;
    }
    found.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
