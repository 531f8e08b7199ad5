//! Beside the cases: a router stands still for 1.9 s. It is told to end by plan just after it began to. Are all requests
//! that it has taken answered when SIGKILL comes, 3.7 s after SIGTERM?

use stand_ins::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const REQUESTS: usize = 8;
/// How long the router stands still, in seconds; the pages name 1.1 to 2 s.
const STILL: f64 = 1.9;
/// SIGKILL comes no sooner after SIGTERM: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
const KILL_AFTER: f64 = 3.7;

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
        let (process, address) = case.start_engine(uid, 8.0, &lines);
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
        categories: r#"{"name":"report","idempotency":"safe","group":"all","window-us":5000000,"objective-us":12000000,"aim-stretch":2.0,"hard-limit-us":20000000,"gain":1.0,"late-worth":0.1}"#,
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
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let call = format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64 + number as u64);
            let statement = format!("/* op=report,call={call},ttl=20000 */ SELECT {number} FROM sales_{number}.orders");
            let answer = match Client::connect(listen) {
                Ok(mut client) => {
                    record.line(format!("client {number}: sends {statement}"));
                    client.query(&statement)
                }
                Err(error) => Answer::Lost(error.to_string()),
            };
            record.line(format!("client {number}: {answer:?}"));
            answers.lock().unwrap().push(answer);
        }));
    }
    sleep(1.5);
    if case.trouble {
        router.signal("STOP");
        record.line("router n1 stands still (SIGSTOP)");
        sleep(0.05);
    }
    router.signal("TERM");
    let told_at = Instant::now();
    record.line("router n1 is told to end (SIGTERM)");
    if case.trouble {
        sleep(STILL - 0.05);
        router.signal("CONT");
        record.line("router n1 goes on (SIGCONT)");
    }
    while told_at.elapsed().as_secs_f64() < KILL_AFTER && !router.has_ended() {
        sleep(0.005);
    }
    record.line(format!("{:.3} s after SIGTERM: ended by itself: {}", told_at.elapsed().as_secs_f64(), router.has_ended()));
    router.kill();
    record.line("SIGKILL");
    for client in clients {
        let _ = client.join();
    }
    case.note_log("n1", 12);
    let answers = answers.lock().unwrap();
    let lost = answers.iter().filter(|answer| matches!(answer, Answer::Lost(_))).count();
    let came = lines.all().iter().filter(|(_, line)| line.contains(" GET ")).count();
    if came < REQUESTS {
        return case.finish(COULD_NOT_RUN, "not all requests came to an engine before the stop");
    }
    match lost {
        0 => case.finish(HELD, "every request had its final answer before SIGKILL"),
        _ => case.finish(BROKEN, &format!("{lost} of {REQUESTS} requests were taken and never answered")),
    }
}
