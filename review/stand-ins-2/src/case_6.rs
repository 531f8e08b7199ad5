//! Case 6: the answer to a load never arrives. The router turns its client back after the time for which engines
//! remember the load's key; the client asks again, and the load runs a second time.

use crate::board::Board;
use crate::client::{pushback, Answer, Client};
use crate::engine::{Cell, Engine, EngineSettings, Run};
use crate::record::Record;
use crate::router::{free_tcp, Router};
use crate::setting::{config, Deployment};
use crate::{Outcome, Setup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LOADS: usize = 5;
/// How many of them lose their first answer.
const LOST: usize = 1;
/// How long a client waits in all, and for its first try: a try is given up after 80 to 100 % of the cut-off.
const CUT_OFF: Duration = Duration::from_secs(20);
const FIRST_TRY: Duration = Duration::from_secs(16);
const WINDOW: Duration = Duration::from_secs(12);

/// A client: it asks again only after a refusal, twice at most, once the stated time is over and while it still waits.
fn client(address: SocketAddr, number: usize, record: Record) -> Vec<Answer> {
    let began = Instant::now();
    let mut answers = Vec::new();
    for attempt in 0..3 {
        let left = CUT_OFF.saturating_sub(began.elapsed()).min(FIRST_TRY);
        if left < Duration::from_millis(100) {
            break;
        }
        let retry = if attempt > 0 { ",rep=1" } else { "" };
        let statement = format!(
            "/* op=load,call={:016x},ttl={},dedupe=key{number:02},work=3900,mb=96{retry} */ INSERT INTO feed_{number}.rows SELECT * FROM staging.batch",
            0x9b1f_03aa_0000_0000_u64 + (number * 16 + attempt) as u64,
            left.as_millis()
        );
        record.note(&format!("client of key{number:02}: try {attempt}, for {:.1} s", left.as_secs_f64()));
        let answer = match Client::connect(address) {
            Ok(mut client) => client.ask(&statement),
            Err(error) => Answer::Lost(format!("no connection: {error}")),
        };
        record.note(&format!("client of key{number:02}: try {attempt} ended: {answer:?}"));
        answers.push(answer.clone());
        let Answer::Refused(text) = answer else { break };
        std::thread::sleep(Duration::from_millis(pushback(&text).unwrap_or(300)));
    }
    answers
}

pub fn play(setup: &Setup, record: &Record) -> Outcome {
    let board = Board::start();
    let lost = if setup.trouble { LOST } else { 0 };
    let settings = EngineSettings {
        window: WINDOW,
        run_time: Duration::from_millis(1950),
        stops: true,
        loses: Arc::new(Mutex::new((0..lost).map(|number| format!("key{number:02}")).collect())),
    };
    let all = Cell::default();
    let engines: Vec<Engine> = (0..6)
        .map(|index| {
            Engine::start(&format!("s-{}", index + 1), index as u64 / 3 + 1, all.clone(), &settings, record)
        })
        .collect();
    // The classes, limits and rules of the customer that has one server room.
    let class = |name: &str, effect: &str, aim: u64, stretch: f64, cut_off: u64, gain: f64, late: f64| {
        format!(
            r#"{{"name":"{name}","idempotency":"{effect}","group":"all","window-us":12000000,"objective-us":{aim},"aim-stretch":{stretch},"hard-limit-us":{cut_off},"gain":{gain},"late-worth":{late}}}"#
        )
    };
    let deployment = Deployment {
        routers: 3,
        categories: [
            class("lookup", "safe", 750_000, 2.0, 4_000_000, 1.0, 0.1),
            class("report", "safe", 1_500_000, 2.5, 20_000_000, 6.0, 0.4),
            class("load", "keyed", 4_000_000, 3.0, 20_000_000, 15.0, 0.6),
        ]
        .join(","),
        threads: "1,2,2",
        is_load: "false,false,true",
        yields: "true,false,false",
        cancel: true,
        max_attempts: 3,
        rules: r#","look-back-us":10000000,"spare-attempts":2,"budget-share":0.2"#.to_string(),
    };
    let mut routers: Vec<Router> = (0..3)
        .map(|index| {
            let name = format!("n{}", index + 1);
            let listen = free_tcp();
            Router::new(
                &setup.folder,
                &name,
                listen,
                &config(&name, index, listen, board.address, &engines, &deployment),
                &[],
            )
        })
        .collect();
    routers.iter_mut().for_each(Router::start);
    if !routers.iter().all(Router::wait_ready) {
        return Outcome::CouldNotRun("a router was not ready within 10 s".to_string());
    }
    let address = routers[0].listen;
    let clients: Vec<_> = (0..LOADS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || client(address, number, record))
        })
        .collect();
    let answers: Vec<Vec<Answer>> =
        clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    std::thread::sleep(Duration::from_secs(1));
    drop(routers);
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for engine in &engines {
        for run in engine.runs.lock().unwrap().iter() {
            runs.entry(run.key.clone()).or_default().push(run.clone());
        }
    }
    if runs.len() < LOADS {
        return Outcome::CouldNotRun(format!("{} of {LOADS} loads were run", runs.len()));
    }
    let unanswered =
        answers.iter().filter(|answers| !matches!(answers.last(), Some(Answer::Served(_)))).count();
    record.note(&format!("{unanswered} of {LOADS} clients were not served in the end"));
    let mut twice = Vec::new();
    for (key, runs) in runs.iter().filter(|(_, runs)| runs.len() > 1) {
        for run in runs {
            record.note(&format!("{key}: {} was run to its end on {} at {:.3}", run.id, run.engine, run.at));
        }
        twice.push(key.clone());
    }
    match twice.len() {
        0 => Outcome::Held,
        count => Outcome::Broken(format!("{count} of {LOADS} loads ran twice")),
    }
}
