//! Case 2: a bad client that uses the id of an open request with a statement of its own is answered with the rows that an
//! engine made for the other client's statement.

use stand_ins::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const REQUESTS: usize = 60;
/// How long an engine runs a statement, in seconds.
const WORK: f64 = 0.1;
/// How much later the second copy of an answer comes, in milliseconds.
const COPY_MS: f64 = 5.0;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let lines = Lines::default();
    let board = Board::open(&record);
    let mut engines = Vec::new();
    for uid in ["s-1", "s-2"] {
        let mut arguments = vec![WORK.to_string()];
        arguments.extend(case.trouble.then(|| COPY_MS.to_string()));
        let (process, address) = case.start_engine_with(uid, &arguments, &lines);
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

    // The bad client sends the id of the request that is open with a statement of its own, and the same again the moment
    // it is turned away.
    let open: Arc<AtomicUsize> = Arc::new(AtomicUsize::new(0));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let tries: Arc<AtomicUsize> = Arc::default();
    let bad_client = {
        let (open, foreign, record, tries) = (open.clone(), foreign.clone(), record.clone(), tries.clone());
        thread::spawn(move || {
            let Ok(mut client) = Client::connect(listen) else { return };
            let mut last = 0;
            loop {
                let number = open.load(Ordering::Relaxed);
                if number > REQUESTS {
                    return;
                }
                if number == last {
                    sleep(0.005);
                    continue;
                }
                last = number;
                // Half way through the other client's request.
                sleep(WORK / 2.0);
                let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + number as u64);
                let own = format!("SELECT 'bad {number}' FROM sales_17.orders");
                for _ in 0..100_000 {
                    let statement = format!("/* op=lookup,call={call},ttl=1500 */ {own}");
                    tries.fetch_add(1, Ordering::Relaxed);
                    match client.query(&statement) {
                        Answer::Error(..) => {}
                        Answer::Served(rows) => {
                            record.line(format!("bad client: sent {own:?} as {call}, served {rows:?}"));
                            if rows.iter().any(|row| row.get(2) != Some(&own)) {
                                foreign.lock().unwrap().push(format!("{call}: {rows:?}"));
                            }
                            break;
                        }
                        Answer::Lost(why) => {
                            record.line(format!("bad client: connection lost: {why}"));
                            match Client::connect(listen) {
                                Ok(again) => client = again,
                                Err(_) => return,
                            }
                            break;
                        }
                    }
                }
            }
        })
    };
    let mut wrong = 0;
    let mut served = 0;
    for number in 1..=REQUESTS {
        let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + number as u64);
        let own = format!("SELECT 'good {number}' FROM sales_17.orders");
        let Ok(mut client) = Client::connect(listen) else { continue };
        open.store(number, Ordering::Relaxed);
        let answer = client.query(&format!("/* op=lookup,call={call},ttl=1500 */ {own}"));
        record.line(format!("client: sent {own:?} as {call}: {answer:?}"));
        match answer {
            Answer::Served(rows) if rows.len() == 1 && rows[0].get(2) == Some(&own) => served += 1,
            Answer::Served(_) => wrong += 1,
            _ => {}
        }
        sleep(0.3);
    }
    open.store(REQUESTS + 1, Ordering::Relaxed);
    let _ = bad_client.join();
    if router.has_ended() {
        return case.finish(COULD_NOT_RUN, "the router ended by itself");
    }
    case.note_log("n1", 10);
    let foreign = foreign.lock().unwrap();
    record.line(format!("{served} requests served rightly, {wrong} wrongly; the bad client sent {}", tries.load(Ordering::Relaxed)));
    if served < REQUESTS / 2 {
        return case.finish(COULD_NOT_RUN, "too few requests were served");
    }
    match foreign.len() + wrong {
        0 => case.finish(HELD, "every answer was made for its own statement"),
        _ => case.finish(BROKEN, &format!("{} answers to the bad client and {wrong} others were made for another client's statement", foreign.len())),
    }
}
