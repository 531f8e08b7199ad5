//! Case 7: routers with stores are killed outright and started again; the clients repeat what they held. A request of a
//! class whose repeats only the engines of one cell drop runs in two cells, although the store has its idempotency key.

use crate::board::Board;
use crate::client::{Answer, Client};
use crate::engine::{Cell, Engine, EngineSettings};
use crate::record::Record;
use crate::router::{free_tcp, free_udp, Router};
use crate::setting::{config, Deployment};
use crate::{Outcome, Setup};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const REQUESTS: usize = 48;
/// When the routers are killed, after the requests were sent. Their keys are on the disk by then.
const KILL_AFTER: Duration = Duration::from_millis(800);
const RUN_TIME: Duration = Duration::from_millis(1200);
/// How long the clients wait before they ask again: 100 to 600 ms, each its own time.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_millis(600);
/// The platform starts a killed router again.
const RESTART_AFTER: Duration = Duration::from_millis(100);

fn statement(number: usize, attempt: usize) -> String {
    let retry = if attempt > 0 { ",rep=1" } else { "" };
    format!(
        "/* op=load,call={:016x},ttl=16000,dedupe=key{number:02},work=1200,mb=10{retry} */ INSERT INTO feed_{number}.rows SELECT * FROM staging.batch",
        0x9b1f_03aa_0000_0000_u64 + (number * 16 + attempt) as u64
    )
}

/// A client: it asks, and if its router could not be reached or died under the request, asks again, twice at most.
fn client(address: SocketAddr, number: usize, record: Record) {
    let backoff = SHORTEST_BACKOFF + (LONGEST_BACKOFF - SHORTEST_BACKOFF) * number as u32 / REQUESTS as u32;
    for attempt in 0..3 {
        record.note(&format!("client of key{number:02}: try {attempt}"));
        let answer = match Client::connect(address) {
            Ok(mut client) => client.ask(&statement(number, attempt)),
            Err(error) => Answer::Lost(format!("no connection: {error}")),
        };
        record.note(&format!("client of key{number:02}: try {attempt} ended: {answer:?}"));
        if !matches!(answer, Answer::Lost(_)) {
            return;
        }
        std::thread::sleep(backoff);
    }
}

pub fn play(setup: &Setup, record: &Record) -> Outcome {
    let board = Board::start();
    // Cancelling does not stop running work here.
    let settings = EngineSettings {
        window: Duration::from_secs(12),
        run_time: RUN_TIME,
        stops: false,
        ..EngineSettings::default()
    };
    let cells: Vec<Cell> = vec![Cell::default(), Cell::default()];
    let engines: Vec<Engine> = (0..8)
        .map(|index| {
            Engine::start(
                &format!("s-{}", index + 1),
                index as u64 / 4 + 1,
                cells[index / 4].clone(),
                &settings,
                record,
            )
        })
        .collect();
    let deployment = Deployment {
        routers: 3,
        categories: r#"{"name":"load","idempotency":"keyed","group":"cell","window-us":12000000,"objective-us":4000000,"aim-stretch":3.0,"hard-limit-us":20000000,"gain":15.0,"late-worth":0.6}"#.to_string(),
        threads: "1",
        is_load: "false",
        yields: "false",
        cancel: false,
        max_attempts: 3,
        rules: String::new(),
    };
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_udp()).collect();
    let listed: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!(r#"{{"name":"n{}","address":"{address}"}}"#, index + 1))
        .collect();
    let cluster =
        format!(r#"{{"name":"coimbra","routers":[{}],"networks":["127.0.0.0/8"]}}"#, listed.join(","));
    let cluster_path = setup.folder.join("cluster.json");
    std::fs::write(&cluster_path, cluster).unwrap();
    let mut routers: Vec<Router> = (0..3)
        .map(|index| {
            let name = format!("n{}", index + 1);
            let store_path = setup.folder.join(format!("{name}-store.json"));
            let kept = setup.folder.join(format!("{name}.redb"));
            std::fs::write(&store_path, format!(r#"{{"path":"{}"}}"#, kept.display())).unwrap();
            let listen = free_tcp();
            let files = [
                "--cluster",
                &cluster_path.display().to_string(),
                "--store",
                &store_path.display().to_string(),
            ]
            .map(str::to_string);
            Router::new(
                &setup.folder,
                &name,
                listen,
                &config(&name, index, listen, board.address, &engines, &deployment),
                &files,
            )
        })
        .collect();
    routers.iter_mut().for_each(Router::start);
    if !routers.iter().all(Router::wait_ready) {
        return Outcome::CouldNotRun("a router was not ready within 10 s".to_string());
    }
    // Quiet service; every store has been written many times.
    std::thread::sleep(Duration::from_secs(15));
    let address = routers[0].listen;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || client(address, number, record))
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    let begun: usize = engines.iter().map(|engine| engine.begun.lock().unwrap().len()).sum();
    if begun != REQUESTS {
        return Outcome::CouldNotRun(format!("{begun} of {REQUESTS} requests were begun before the kill"));
    }
    if setup.trouble {
        record.note("n1 and n2 are killed");
        routers[..2].iter_mut().for_each(Router::kill);
        std::thread::sleep(RESTART_AFTER);
        record.note("n1 and n2 are started again");
        routers[..2].iter_mut().for_each(Router::start);
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(2 * RUN_TIME);
    let log = std::fs::read_to_string(routers[0].log_path()).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("recovery")) {
        record.note(&format!("n1's log: {line}"));
    }
    drop(routers);
    let mut cells_by_key: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for engine in &engines {
        for run in engine.runs.lock().unwrap().iter() {
            cells_by_key.entry(run.key.clone()).or_default().insert(run.cell);
        }
    }
    let twice: Vec<&String> =
        cells_by_key.iter().filter(|(_, cells)| cells.len() > 1).map(|(key, _)| key).collect();
    record.note(&format!(
        "{} keys were run, of these {} to the end in both cells: {twice:?}",
        cells_by_key.len(),
        twice.len()
    ));
    if cells_by_key.len() < REQUESTS {
        return Outcome::CouldNotRun(format!("{} of {REQUESTS} requests were run", cells_by_key.len()));
    }
    match twice.len() {
        0 => Outcome::Held,
        count => Outcome::Broken(format!("{count} of {REQUESTS} requests ran in two cells")),
    }
}
