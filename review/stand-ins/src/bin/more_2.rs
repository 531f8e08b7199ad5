//! Beside the cases: a router stands still for 1.5 s. Clients send requests meanwhile on connections that they have
//! kept, and give up, each by KILL QUERY on a new connection. After the router has woken, does it begin attempts for clients
//! that have gone?

use stand_ins::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Requests a second, each on a connection of its own that was idle for one second.
const RATE: f64 = 100.0;
const SECONDS: f64 = 6.0;
/// A client gives up after this many seconds, and closes its own connection half a second later.
const PATIENCE: f64 = 0.6;
const STILL: f64 = 1.5;
/// An attempt may begin so long after its client has gone, in seconds; the pages' 0.1 s and the 50 ms of the sockets.
const SLACK: f64 = 0.15;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let lines = Lines::default();
    let board = Board::open(&record);
    let mut engines = Vec::new();
    for uid in ["s-1", "s-2", "s-3"] {
        let (process, address) = case.start_engine(uid, 0.05, &lines);
        engines.push((uid, process, address));
    }
    let targets: Vec<Target> = engines
        .iter()
        .map(|(uid, _, address)| Target { uid, address: *address, zone: "east", cell: 1, state: "ready", boot_ms: 0 })
        .collect();
    board.tell(true, &targets);
    let listen = free_address();
    let config = Config {
        name: "n1",
        listen,
        board: &board,
        routers: 1,
        zones: r#""east""#,
        categories: r#"{"name":"lookup","idempotency":"safe","group":"all","window-us":5000000,"objective-us":750000,"aim-stretch":2.0,"hard-limit-us":4000000,"gain":1.0,"late-worth":0.1}"#,
        threads: "1",
        is_load: "false",
        limits: r#""cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-us":500000,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100"#,
        rules: r#""cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,"drain-grace-us":1000000,"answer-slack-us":20000"#,
    };
    let mut router = case.start_router("n1", listen, &config.json(), "");
    if !wait_ready(listen, 30.0) {
        return case.finish(COULD_NOT_RUN, "the router was not ready within 30 s");
    }
    sleep(1.0);
    // When each client's kill was written whole, by its call.
    let gone: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let mut clients = Vec::new();
    let began = record.now();
    let mut stopped = false;
    for number in 0..(RATE * SECONDS) as usize {
        let due = began + number as f64 / RATE;
        if case.trouble && !stopped && due >= began + 2.0 {
            stopped = true;
            let id = router.child.id();
            let record = record.clone();
            router.signal("STOP");
            record.line("router n1 stands still (SIGSTOP)");
            clients.push(thread::spawn(move || {
                sleep(STILL);
                let _ = std::process::Command::new("/bin/sh").arg("-c").arg(format!("kill -CONT {id}")).status();
                record.line("router n1 goes on (SIGCONT)");
            }));
        }
        sleep(due - record.now());
        let (record, gone) = (record.clone(), gone.clone());
        clients.push(thread::spawn(move || {
            let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + number as u64);
            let text = format!("/* op=lookup,call={call},ttl=4000 */ SELECT {number} FROM sales_{}.orders", number % 10);
            let Ok(mut session) = Early::login(listen) else { return };
            sleep(1.0);
            session.answered_within(0.01);
            let Some(id) = session.id() else { return };
            if session.query(&text).is_err() || session.answered_within(PATIENCE) {
                return;
            }
            let Ok(kill) = Early::send(listen, &format!("KILL QUERY {id}")) else { return };
            record.line(format!("client {call}: gives up, KILL QUERY {id} is written"));
            gone.lock().unwrap().insert(call, record.now());
            sleep(0.5);
            drop(session);
            sleep(1.0);
            drop(kill);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(1.0);
    if router.has_ended() {
        return case.finish(COULD_NOT_RUN, "the router ended by itself");
    }
    case.note_log("n1", 10);
    let gone = gone.lock().unwrap();
    let mut late = 0;
    for (at, line) in lines.all() {
        let words: Vec<&str> = line.split(' ').collect();
        let [uid, "GET", call, ..] = words[..] else { continue };
        if let Some(left) = gone.get(call).filter(|left| at > **left + SLACK) {
            late += 1;
            record.line(format!("LATE: {call} came to {uid} at {at:.3}, its client had gone at {left:.3}"));
        }
    }
    match late {
        0 => case.finish(HELD, &format!("{} clients gave up, no attempt began for them later", gone.len())),
        _ => case.finish(BROKEN, &format!("{late} attempts began over 0.15 s after their client had gone ({} gave up)", gone.len())),
    }
}
