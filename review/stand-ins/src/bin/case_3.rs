//! Case 3: bad clients connect by the hundred, and each sends hundreds of requests at once. The router goes over the memory
//! that its configuration states, and the platform kills it.

use stand_ins::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 1024;
/// The connections of bad clients, and how many requests each of them sends at once. With the eight usual clients and the
/// front's ping these are less than a third of the descriptors.
const BAD_CLIENTS: usize = 330;
const AT_ONCE: u64 = 600;

fn main() {
    std::process::exit(run());
}

/// An engine. It runs each statement for 50 ms. A report has 2,176 rows of 22 bytes: 47,872 bytes in eight pages. A lookup has one row.
fn engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let output = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut input = BufReader::new(stream);
    let page = "2026-12-04\t17:30\t3.41\n".repeat(272);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let answer = match words[..] {
            ["GET", id, given, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                input.read_exact(&mut body).ok()?;
                let is_report = fields(given).get("queue") == Some(&"report");
                let (id, output, page) = (id.to_string(), output.clone(), page.clone());
                thread::spawn(move || {
                    sleep(0.05);
                    let (pages, body) = if is_report { (8, page) } else { (1, "a\tb\tc\n".to_string()) };
                    let answer = format!("{id} DONE work=50,peak=64,parts={pages} {}\r\n{body}\r\n", body.len());
                    let _ = output.lock().unwrap().write_all(answer.as_bytes());
                });
                String::new()
            }
            ["PAGE", id, number] => format!("{id} MORE part_no={number} {}\r\n{page}\r\n", page.len()),
            ["PING", tag] => format!("{tag} FIT - 0\r\n\r\n"),
            _ => String::new(),
        };
        output.lock().unwrap().write_all(answer.as_bytes()).ok()?;
    }
}

/// The private memory of a process, without the pages of files such as its program.
fn private_kb(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?.trim().split(' ').next()?.parse().ok()
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let board = Board::open(&record);
    let uids = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9", "s-10"];
    let engines: Vec<SocketAddr> = uids.iter().map(|_| engine()).collect();
    let targets: Vec<Target> = uids
        .iter()
        .zip(&engines)
        .map(|(uid, address)| Target { uid, address: *address, zone: "east", cell: 1, state: "ready", boot_ms: 0 })
        .collect();
    board.tell(true, &targets);
    let listen = free_address();
    let config = Config {
        name: "n1",
        listen,
        board: &board,
        routers: 1,
        zones: r#""east""#,
        categories: r#"{"name":"lookup","idempotency":"safe","group":"all","window-us":5000000,"objective-us":750000,"aim-stretch":2.0,"hard-limit-us":4000000,"gain":1.0,"late-worth":0.1},{"name":"report","idempotency":"safe","group":"all","window-us":5000000,"objective-us":10000000,"aim-stretch":2.0,"hard-limit-us":20000000,"gain":8.0,"late-worth":0.1}"#,
        threads: "1,1",
        is_load: "false,false",
        limits: r#""cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-us":500000,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100"#,
        rules: r#""cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,"drain-grace-us":1000000,"answer-slack-us":20000"#,
    };
    let json = config.json().replace(r#""memory_mb":192,"sockets":1024"#, &format!(r#""memory_mb":{MEMORY_MB},"sockets":{DESCRIPTORS}"#));
    let json = json.replace(r#""cores-by-kind":[8]"#, r#""cores-by-kind":[16]"#);
    let mut router = case.start_router("n1", listen, &json, "");
    if !wait_ready(listen, 30.0) {
        return case.finish(COULD_NOT_RUN, "the router was not ready within 30 s");
    }
    sleep(0.5);
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    // The usual clients.
    for client in 0..8usize {
        let (stop, lost, served, record) = (stop.clone(), lost.clone(), served.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            let Ok(mut session) = Client::connect(listen) else { return };
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let call = format!("{:016x}", client * 1_000_000 + number + 1);
                match session.query(&format!("/* op=lookup,call={call},ttl=4000 */ SELECT 1 FROM sales_{client}.orders")) {
                    Answer::Served(_) => served.fetch_add(1, Ordering::Relaxed),
                    Answer::Lost(why) => {
                        record.line(format!("usual client {client}: {call} lost: {why}"));
                        lost.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                    _ => 0,
                };
                sleep(0.02);
            }
        }));
    }
    sleep(1.0);
    if case.trouble {
        record.line(format!("{BAD_CLIENTS} bad clients come, each with {AT_ONCE} requests at once"));
        for bad in 0..BAD_CLIENTS {
            let (stop, sent, record) = (stop.clone(), sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let mut number = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut session) = Early::login(listen) else {
                        sleep(0.05);
                        continue;
                    };
                    let mut at_once = Vec::new();
                    for _ in 0..AT_ONCE {
                        number += 1;
                        let call = format!("{:016x}", 0x5000_0000_0000_0000u64 + bad as u64 * 1_000_000 + number);
                        let fields = format!("op=report,call={call},ttl=20000");
                        at_once.extend(query_packet(&format!(
                            "/* {fields} */ SELECT day, hour, level FROM gauges_{bad}.readings WHERE basin = 'mondego' AND day BETWEEN '2026-01-01' AND '2026-12-31' ORDER BY day, hour, level"
                        )));
                    }
                    if bad == 0 {
                        record.line(format!("bad client {bad}: sends {AT_ONCE} requests, {} bytes, at once", at_once.len()));
                    }
                    if session.raw(&at_once).is_err() {
                        continue;
                    }
                    sent.fetch_add(AT_ONCE as usize, Ordering::Relaxed);
                    // It reads whatever it is sent.
                    let bytes = session.read_to_end(8.0);
                    if bad == 0 {
                        record.line(format!("bad client {bad}: {bytes} bytes came"));
                    }
                }
            }));
        }
    }
    // The platform: over the limit the router is killed.
    let began = Instant::now();
    let mut most = 0;
    let mut killed = false;
    while began.elapsed() < Duration::from_secs(12) {
        let Some(resident) = private_kb(router.child.id()) else { break };
        if resident > most + 500 {
            record.line(format!("the router has {resident} KB"));
        }
        most = most.max(resident);
        if resident > MEMORY_MB * 1024 && !killed && std::env::var("GO_ON").is_err() {
            record.line(format!("the router has {resident} KB, over {} KB: the platform kills it", MEMORY_MB * 1024));
            killed = true;
            router.kill();
            break;
        }
        sleep(0.005);
    }
    sleep(0.2);
    stop.store(true, Ordering::Relaxed);
    sleep(0.3);
    router.kill();
    let (lost, served, sent) = (lost.load(Ordering::Relaxed), served.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    case.note_log("n1", 8);
    let figures = format!("most {most} KB of {} KB private; usual clients: {served} served, {lost} lost; bad clients sent {sent} requests", MEMORY_MB * 1024);
    if served == 0 {
        return case.finish(COULD_NOT_RUN, &figures);
    }
    match killed {
        false => case.finish(HELD, &figures),
        true => case.finish(BROKEN, &format!("the router went over its memory and was killed: {figures}")),
    }
}
