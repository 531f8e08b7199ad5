//! Runs the real program with little memory under clients that make it hold as much as they can, and checks that its private
//! memory stays within what its configuration states.

use cleatgw_testbed::stand_ins::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u32 = 1024;
/// Bad clients, a third of the descriptors less a few for others.
const BAD_CLIENTS: usize = 320;
/// Requests that a bad client sends at once.
const REQUESTS_AT_ONCE: usize = 600;
const ENGINES: usize = 10;
/// The pages of the longest result.
const PAGES: usize = 8;
/// The long results that have to be delivered, at least, for a flood to have taken effect.
const MIN_RESULTS: u64 = 100;
/// How long the bad clients go on.
const FLOOD: Duration = Duration::from_secs(4);

/// What a bad client does on one connection after its login.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Sends many requests for long results at once, and reads all answers.
    ReadsAnswers,
    /// Sends the same, and reads nothing.
    ReadsNothing,
    /// Sends a long statement again and again, each up to its last byte only after a while.
    LongStatements,
    /// Asks for a status table that the router does not have, many times at once, and reads nothing. Tables without memory
    /// are tested in the unit tests of the sessions.
    StatusQuestions,
}

/// The private memory of the process in KiB, without the pages of files such as its program.
fn private_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let private = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    private.trim().split(' ').next().unwrap().parse().unwrap()
}

/// Reads what has arrived, for as long as there is something.
fn read_available(stream: &mut TcpStream) -> std::io::Result<usize> {
    let (mut bytes, mut total) = ([0; 1 << 16], 0);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => total += read,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(total),
            Err(error) => return Err(error),
        }
    }
}

/// The bytes that a bad client sends at once.
fn flood_bytes(flood: Flood) -> Vec<u8> {
    let pages = || query(&request("look", 15_000, &format!("pages {PAGES}")));
    match flood {
        Flood::ReadsAnswers | Flood::ReadsNothing => (0..REQUESTS_AT_ONCE).flat_map(|_| pages()).collect(),
        Flood::LongStatements => query(&request("look", 15_000, &"x".repeat(12_000))),
        Flood::StatusQuestions => query("SHOW TEAMS").repeat(REQUESTS_AT_ONCE),
    }
}

/// One connection of a bad client. It is replaced when the router closes it.
struct BadClient {
    stream: TcpStream,
    unsent: Vec<u8>,
}

impl BadClient {
    fn connect(router: &Router, flood: Flood) -> std::io::Result<BadClient> {
        let stream = TcpStream::connect(router.address)?;
        stream.set_nonblocking(true)?;
        Ok(BadClient { stream, unsent: [login(), flood_bytes(flood)].concat() })
    }

    /// Sends and reads what is possible now. An error says that the connection has ended.
    fn step(&mut self, flood: Flood) -> std::io::Result<()> {
        if !matches!(flood, Flood::ReadsNothing | Flood::StatusQuestions) {
            read_available(&mut self.stream)?;
        }
        if self.unsent.is_empty() {
            self.unsent = flood_bytes(flood);
        }
        // The last byte of a long statement stays away until the next step.
        let length = match flood {
            Flood::LongStatements if self.unsent.len() > 1 => self.unsent.len() - 1,
            _ => self.unsent.len(),
        };
        match self.stream.write(&self.unsent[..length]) {
            Ok(written) => drop(self.unsent.drain(..written)),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }
}

/// Drives all bad clients until `stop` is set. Counts the connections in `connected`.
fn run_bad_clients(router: &Router, flood: Flood, stop: &AtomicBool, connected: &AtomicU64) {
    let mut clients: Vec<Option<BadClient>> = (0..BAD_CLIENTS).map(|_| None).collect();
    while !stop.load(Relaxed) {
        for client in &mut clients {
            match client {
                None => {
                    *client = BadClient::connect(router, flood).ok();
                    connected.fetch_add(u64::from(client.is_some()), Relaxed);
                }
                Some(open) => {
                    if open.step(flood).is_err() {
                        *client = None;
                    }
                }
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Runs a router under the flood. Returns the highest private memory of its process in KiB, and its counters.
fn flooded(engine_uid: &str, flood: Flood) -> (u64, String) {
    let engines: Vec<Engine> =
        (0..ENGINES).map(|number| Engine::start(&format!("{engine_uid}-{number}"))).collect();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    let discovery = Discovery::start();
    discovery.tell(true, &entries);
    let little_memory =
        |text: String| text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let router = Router::changed(PROGRAM, &discovery, DESCRIPTORS, &[], little_memory);
    let mut usual_client = Client::new(&router);
    let usual_request = || request("load", 10_000, "x");
    assert!(matches!(usual_client.ask(&usual_request()), Answered::Rows(_)));
    let (stop, connected) = (AtomicBool::new(false), AtomicU64::new(0));
    let mut highest = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| run_bad_clients(&router, flood, &stop, &connected));
        let start = Instant::now();
        while start.elapsed() < FLOOD {
            highest = highest.max(private_kib(router.process()));
            std::thread::sleep(Duration::from_millis(1));
        }
        stop.store(true, Relaxed);
    });
    assert!(connected.load(Relaxed) >= BAD_CLIENTS as u64, "{flood:?}: too few connections");
    // The router goes on: the usual client gets an answer, and everything that the flood reserved is released.
    assert!(matches!(usual_client.ask(&usual_request()), Answered::Rows(_) | Answered::Error(1040, _)));
    usual_client.counters("open", 0);
    for name in ["session_bytes", "request_bytes", "result_bytes"] {
        usual_client.counters(name, 0);
    }
    println!("{engine_uid}, {flood:?}: {highest} KiB");
    (highest, usual_client.counters_now())
}

/// Guards against buffers that grow by sessions times answers: hundreds of clients that each sent hundreds of requests at
/// once made the router hold more than its memory, and the platform killed it.
#[test]
fn the_memory_stays_within_its_limit_whatever_hundreds_of_clients_send_at_once_and_do_not_read() {
    // Rows of six bytes are more than doubled in the MySQL protocol.
    for engine in ["wide", "narrow"] {
        for flood in [Flood::ReadsAnswers, Flood::ReadsNothing] {
            let (highest, counters) = flooded(engine, flood);
            assert!(counter(&counters, "delivered") >= MIN_RESULTS, "{engine}, {flood:?}: {counters}");
            assert!(highest < MEMORY_MB * 1024, "{engine}, {flood:?}: {highest} KiB; {counters}");
        }
    }
}

#[test]
fn the_memory_stays_within_its_limit_under_long_statements_and_status_questions() {
    for flood in [Flood::LongStatements, Flood::StatusQuestions] {
        let (highest, counters) = flooded("e", flood);
        if matches!(flood, Flood::LongStatements) {
            assert!(counter(&counters, "memory_short") > 0, "{flood:?}: {counters}");
        }
        assert!(highest < MEMORY_MB * 1024, "{flood:?}: {highest} KiB; {counters}");
    }
}
