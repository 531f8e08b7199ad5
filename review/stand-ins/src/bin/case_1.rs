//! Case 1: a keyed request whose class is deduplicated by zone is run in a second zone, after the engine that may have
//! run it has been replaced by one of another zone.

use stand_ins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;

const LOADS: usize = 20;
/// How long engines drop a repeat, in seconds, as `window-us` states.
const WINDOW: f64 = 12.0;
/// How long an engine runs a load, in seconds.
const WORK: f64 = 2.5;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let lines = Lines::default();
    let zones = [("s-1", "hall-a"), ("s-2", "hall-b"), ("s-3", "hall-b"), ("s-4", "hall-c"), ("s-5", "hall-c")];
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
    let listen = free_address();
    let config = Config {
        name: "n1",
        listen,
        board: &board,
        routers: 1,
        zones: r#""hall-a","hall-b","hall-c""#,
        categories: r#"{"name":"load","idempotency":"keyed","group":"zone","window-us":12000000,"objective-us":4000000,"aim-stretch":3.0,"hard-limit-us":20000000,"gain":10.0,"late-worth":0.3}"#,
        threads: "2",
        is_load: "false",
        limits: r#""cancel":true,"max-attempts":4,"retry-after":true,"max-retry-after-us":500000,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100"#,
        rules: r#""cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,"drain-grace-us":1000000,"answer-slack-us":20000"#,
    };
    let mut router = case.start_router("n1", listen, &config.json(), "");
    if !wait_ready(listen, 30.0) {
        case.note_log("n1", 20);
        return case.finish(COULD_NOT_RUN, "the router was not ready within 30 s");
    }
    sleep(1.0);

    // The clients: each sends one load with a key of its own, and waits for its answer.
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..LOADS {
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + number as u64);
            let key = format!("{:032x}", 0x5c0f_6e1a_0000u64 + number as u64);
            let statement = format!(
                "/* op=load,call={call},ttl=20000,dedupe={key},work=5000,mb=64 */ INSERT INTO stock_{number}.receipts VALUES ({number})"
            );
            record.line(format!("client {number}: sends {statement}"));
            let answer = match Client::connect(listen) {
                Ok(mut client) => client.query(&statement),
                Err(error) => Answer::Lost(error.to_string()),
            };
            record.line(format!("client {number}: key {key}: {answer:?}"));
            answers.lock().unwrap().insert(key, answer);
        }));
    }
    sleep(0.5);
    if case.trouble {
        // One engine of five, the only one of its zone, is replaced by a new one in another zone: it is told to drain, ends
        // 1.5 s later with requests still open on it, is told to be gone, and a second later the new one is told.
        let old_at = engines[0].3;
        let old = |state| Target { uid: "s-1", address: old_at, zone: "hall-a", cell: 1, state, boot_ms: 0 };
        board.tell(false, &[old("draining")]);
        sleep(1.5);
        record.line("engine s-1 ends (SIGKILL)");
        engines[0].2.kill();
        sleep(0.2);
        board.tell(false, &[old("gone")]);
        sleep(1.0);
        let (process, address) = case.start_engine("s-6", WORK, &lines);
        let boot_ms = (unix() * 1e3) as u64;
        board.tell(false, &[Target { uid: "s-6", address, zone: "hall-b", cell: 1, state: "ready", boot_ms }]);
        engines.push(("s-6", "hall-b", process, address));
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(0.3);
    if router.has_ended() {
        return case.finish(COULD_NOT_RUN, "the router ended by itself");
    }
    case.note_log("n1", 15);

    // Where each key ran: the zones of the engines that it came to whole. Within a zone a repeat is dropped for the
    // window, so that each zone counts once.
    let zone_of = |uid: &str| engines.iter().find(|engine| engine.0 == uid).map_or("?", |engine| engine.1);
    let mut runs: BTreeMap<String, Vec<(f64, String)>> = BTreeMap::new();
    let mut on_first = BTreeSet::new();
    for (at, line) in lines.all() {
        let words: Vec<&str> = line.split(' ').collect();
        let [uid, "GET", _, key, ..] = words[..] else { continue };
        let key = key.trim_start_matches("uniq=").to_string();
        if uid == "s-1" {
            on_first.insert(key.clone());
        }
        runs.entry(key).or_default().push((at, uid.to_string()));
    }
    let mut twice = 0;
    for (key, attempts) in &runs {
        let zones: BTreeSet<&str> = attempts.iter().map(|(_, uid)| zone_of(uid)).collect();
        let span = attempts.last().unwrap().0 - attempts[0].0;
        if zones.len() > 1 || span > WINDOW {
            twice += 1;
            record.line(format!("RUN TWICE: key {key} came to {attempts:?}, in the zones {zones:?}"));
        }
    }
    record.line(format!("{} of {LOADS} loads came to s-1; answers: {}", on_first.len(), answers.lock().unwrap().len()));
    if case.trouble && on_first.is_empty() {
        return case.finish(COULD_NOT_RUN, "no load came to the engine that crashed");
    }
    if runs.len() < LOADS / 2 {
        return case.finish(COULD_NOT_RUN, "too few loads came to any engine");
    }
    match twice {
        0 => case.finish(HELD, "each key ran in one zone only"),
        _ => case.finish(BROKEN, &format!("{twice} keys ran in two zones, whose engines do not know each other's keys")),
    }
}
