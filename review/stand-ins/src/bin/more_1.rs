//! Beside the cases: a router with a store is killed and started again. Clients repeat what it held, under the same keys. In the
//! first moments after its start the router does not know the keys that it has stored, and sends the repeats to engines
//! of another zone.

use stand_ins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;

const LOADS: usize = 16;
/// How long an engine runs a load, in seconds.
const WORK: f64 = 2.0;
/// How long the platform takes to start a killed router again, in seconds.
const AWAY: f64 = 1.0;
/// A client's wait before it tries again, in seconds.
const RETRY_WAIT: f64 = 0.1;

fn main() {
    std::process::exit(run());
}

fn cluster_file(names: &[&str], addresses: &[SocketAddr]) -> String {
    let routers: Vec<String> = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| format!(r#"{{"name":"{name}","address":"{address}"}}"#))
        .collect();
    format!(r#"{{"name":"coimbra","routers":[{}],"networks":["127.0.0.0/8"]}}"#, routers.join(","))
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let lines = Lines::default();
    let zones = [("s-1", "hall-a"), ("s-2", "hall-b"), ("s-3", "hall-a"), ("s-4", "hall-b")];
    let mut engines = Vec::new();
    for (uid, zone) in zones {
        let (process, address) = case.start_engine(uid, WORK, &lines);
        engines.push((uid, zone, process, address));
    }
    let board = Board::open(&record);
    let targets: Vec<Target> = engines
        .iter()
        .map(|(uid, zone, _, address)| Target { uid, address: *address, zone, cell: 1, state: "ready", boot_ms: 0 })
        .collect();
    board.tell(true, &targets);

    let names = ["n1", "n2", "n3"];
    let listens: Vec<SocketAddr> = names.iter().map(|_| free_address()).collect();
    let cluster: Vec<SocketAddr> = names.iter().map(|_| free_udp_address()).collect();
    let start = |index: usize| {
        let name = names[index];
        let config = Config {
            name,
            listen: listens[index],
            board: &board,
            routers: 3,
            zones: r#""hall-a","hall-b""#,
            categories: r#"{"name":"load","idempotency":"keyed","group":"zone","window-us":12000000,"objective-us":4000000,"aim-stretch":3.0,"hard-limit-us":20000000,"gain":10.0,"late-worth":0.3}"#,
            threads: "2",
            is_load: "false",
            limits: r#""cancel":true,"max-attempts":4,"retry-after":true,"max-retry-after-us":500000,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100"#,
            rules: r#""cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,"drain-grace-us":1000000,"answer-slack-us":20000"#,
        };
        let file = |kind: &str, text: String| {
            let path = case.temp.join(format!("{name}.{kind}"));
            std::fs::write(&path, text).unwrap();
            path.display().to_string()
        };
        let kept = case.temp.join(format!("{name}.redb"));
        let store = file("store", format!(r#"{{"path":"{}"}}"#, kept.display()));
        let cluster = file("cluster", cluster_file(&names, &cluster));
        let arguments = format!("serve --config \"$BALANCER_CONFIG\" --store '{store}' --cluster '{cluster}'");
        case.start_router(name, listens[index], &config.json(), &arguments)
    };
    let mut routers: Vec<Process> = (0..3).map(start).collect();
    if !listens.iter().all(|listen| wait_ready(*listen, 30.0)) {
        return case.finish(COULD_NOT_RUN, "the routers were not ready within 30 s");
    }
    sleep(5.0);

    // The clients: each sends one load with a key of its own. Where its router ends under the request, it tries once more,
    // with a new call and the same key, as soon as the router answers COM_PING.
    let listen = listens[0];
    let mut clients = Vec::new();
    for number in 0..LOADS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let began = record.now();
            let key = format!("{:032x}", 0x5c0f_6e1a_0000u64 + number as u64);
            for attempt in 0..2 {
                let mut client = loop {
                    // The front takes in a router once that has answered COM_PING with OK.
                    if wait_ready(listen, 0.01) {
                        if let Ok(client) = Client::connect(listen) {
                            break client;
                        }
                    }
                    if record.now() > began + 15.0 {
                        return;
                    }
                    sleep(RETRY_WAIT);
                };
                let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + (attempt * 256 + number) as u64);
                let left = ((20.0 - (record.now() - began)) * 1e3) as u64;
                let repeat = if attempt > 0 { ",rep=1" } else { "" };
                let statement = format!(
                    "/* op=load,call={call},ttl={left},dedupe={key},work=4000,mb=64{repeat} */ INSERT INTO stock_{number}.receipts VALUES ({number})"
                );
                record.line(format!("client {number}: sends {statement}"));
                let answer = client.query(&statement);
                record.line(format!("client {number}: key {key}: {answer:?}"));
                if !matches!(answer, Answer::Lost(_)) {
                    return;
                }
                sleep(RETRY_WAIT);
            }
        }));
    }
    sleep(1.0);
    if case.trouble {
        record.line("all three routers are killed (SIGKILL)");
        routers.iter_mut().for_each(Process::kill);
        sleep(AWAY);
        routers = (0..3).map(start).collect();
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(0.3);
    if routers.iter_mut().any(Process::has_ended) {
        return case.finish(COULD_NOT_RUN, "a router ended by itself");
    }
    case.note_log("n1", 30);

    let zone_of = |uid: &str| engines.iter().find(|engine| engine.0 == uid).map_or("?", |engine| engine.1);
    let mut runs: BTreeMap<String, Vec<(f64, String)>> = BTreeMap::new();
    for (at, line) in lines.all() {
        let words: Vec<&str> = line.split(' ').collect();
        let [uid, "GET", _, key, ..] = words[..] else { continue };
        runs.entry(key.trim_start_matches("uniq=").to_string()).or_default().push((at, uid.to_string()));
    }
    let mut twice = 0;
    let mut repeated = 0;
    for (key, attempts) in &runs {
        let zones: BTreeSet<&str> = attempts.iter().map(|(_, uid)| zone_of(uid)).collect();
        repeated += usize::from(attempts.len() > 1);
        if zones.len() > 1 {
            twice += 1;
            record.line(format!("RUN TWICE: key {key} came to {attempts:?}, in the zones {zones:?}"));
        }
    }
    record.line(format!("{} keys ran, {repeated} of them were sent to an engine more than once", runs.len()));
    if runs.len() < LOADS / 2 {
        return case.finish(COULD_NOT_RUN, "too few loads came to any engine");
    }
    match twice {
        0 => case.finish(HELD, "each key ran in one zone only"),
        _ => case.finish(BROKEN, &format!("{twice} keys ran in two zones, {repeated} were sent again by the restarted router")),
    }
}
