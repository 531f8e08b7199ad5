//! Runs the router program between simulated engines, clients and a discovery service, and checks that each request
//! that the router has read gets exactly one final answer in time. Neither the moment at which the request arrives,
//! nor a fault of its engine, nor the behavior of other clients may prevent it.
//!
//! A turn is one pass of the router's event loop: it reads all ready sources, then processes what it has read as one
//! batch.

use cleatgw_testbed::stand_ins::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// The answer of an engine to a statement without a special meaning.
fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// Starts a discovery service that lists the engine, and a router with this limit of file descriptors.
fn start_with_engine(engine: &Engine, descriptors: u32) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, descriptors, &[]);
    (discovery, router)
}

/// Connects and writes the login and a request at once, without reading anything.
fn connect_and_send(router: &Router) -> Client {
    connect_and_send_text(router, &request("look", 5000, "new"))
}

fn connect_and_send_text(router: &Router, text: &str) -> Client {
    let mut stream = TcpStream::connect(router.address).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream.write_all(&[login(), query(text)].concat()).unwrap();
    Client { stream, session: 0 }
}

/// Reads the greeting, the answer to the login, and the answer to the request of [`connect_and_send`]. Returns the
/// answer to the request, or `None` if the connection ended before it.
fn read_first_answer(client: &mut Client) -> Option<Answered> {
    client.packet()?;
    assert_eq!(client.try_answer()?, Answered::Ok);
    client.try_answer()
}

/// Requires that every client gets the row. All connections stay open until the last answer has been read.
fn assert_all_answered(mut clients: Vec<Client>, case: &str) {
    let answers = clients.iter_mut().map(read_first_answer).collect::<Vec<_>>();
    let answered = answers.iter().filter(|answer| **answer == Some(row())).count();
    assert_eq!(answered, clients.len(), "{case}: {answers:?}");
}

#[test]
fn requests_on_new_connections_are_answered_when_a_stop_is_read_in_the_turn_that_accepts_them() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = start_with_engine(&engine, 256);
    let mut clients = Vec::new();
    router.stop_for(Duration::ZERO, || {
        clients.extend((0..10).map(|_| connect_and_send(&router)));
        router.fail();
        clients.extend((0..10).map(|_| connect_and_send(&router)));
    });
    assert_all_answered(clients, "accepted in the turn that reads the stop signal");
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "taken"), counter(&counters, "delivered")), (Some(0), 20, 20));
}

/// The router process is stopped from before until after the time at which a planned stop ends the sessions, 750 ms
/// after its signal (`REQUEST_ARRIVAL_WINDOW`); hence the 900 ms. The requests that arrive meanwhile, on new and on idle
/// connections, are read in the same turn that would end those sessions.
#[test]
fn requests_read_in_the_turn_that_would_end_their_sessions_are_answered() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = start_with_engine(&engine, 256);
    let mut idle: Vec<Client> = (0..10).map(|_| Client::new(&router)).collect();
    router.fail();
    router.log.wait("stopping", 1);
    let mut clients = Vec::new();
    router.stop_for(Duration::from_millis(900), || {
        clients.extend((0..10).map(|_| connect_and_send(&router)));
        idle.iter_mut().for_each(|client| client.send(&request("look", 5000, "idle")));
    });
    assert_all_answered(clients, "read in the turn that ends the sessions");
    for client in &mut idle {
        assert_eq!(client.try_answer(), Some(row()));
    }
    drop(idle);
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "taken"), counter(&counters, "delivered")), (Some(0), 20, 20));
}

#[test]
fn requests_on_new_connections_are_answered_when_an_idle_session_must_be_closed_for_each() {
    let engine = Engine::start("e");
    let descriptors = 24;
    let (_discovery, router) = start_with_engine(&engine, descriptors);
    let mut idle: Vec<Client> = (0..descriptors / 2).map(|_| Client::new(&router)).collect();
    let mut clients = Vec::new();
    router.stop_for(Duration::ZERO, || {
        clients.extend((0..60).map(|_| connect_and_send(&router)));
        // Half of the idle sessions, which may be closed to free descriptors, have just sent a request.
        idle.iter_mut().step_by(2).for_each(|client| client.send(&request("look", 5000, "idle")));
    });
    assert_all_answered(clients, "accepted while descriptors run short");
    for client in idle.iter_mut().step_by(2) {
        assert_eq!(client.try_answer(), Some(row()));
    }
    let counters = Client::new(&router).counters("open", 0);
    // Client sessions may take half of the descriptors, so at most that many of the 60 new connections are accepted
    // without a session being closed for them.
    assert!(counter(&counters, "sessions_closed_for_room") >= 60 - u64::from(descriptors) / 2, "{counters}");
    // 60 requests on new connections, and 6 from half of the 12 idle sessions.
    assert_eq!((counter(&counters, "taken"), counter(&counters, "delivered")), (66, 66));
}

/// The time to live of the requests, in milliseconds.
const TTL: u64 = 1000;
/// How long after the deadline of a request its final answer may still arrive.
const GRACE: Duration = Duration::from_millis(500);
const CLASSES: [&str; 3] = ["look", "load", "once"];

/// Causes a fault at an engine that holds several requests; the text is the id of one of them. Returns on how many
/// connections the fault took effect.
type Fault = fn(&Engine, &str) -> usize;

/// The faults, each with its name.
const FAULTS: [(&str, Fault); 11] = [
    ("no answer at all", |_, _| 1),
    ("text that is not an answer", |engine, _| engine.say(b"what is this\r\n")),
    ("a line without an end", |engine, _| engine.say(&[b'x'; 3000])),
    ("a row without its columns", |engine, call| {
        engine.say(format!("{call} DONE work=5,peak=7,parts=1 3\r\nabc\r\n").as_bytes())
    }),
    ("a page that was not requested", |engine, call| {
        engine.say(
            format!("{call} DONE work=5,peak=7,parts=3 6\r\na\tb\tc\n\r\n{call} MORE part_no=9 0\r\n\r\n")
                .as_bytes(),
        )
    }),
    ("a truncated answer", |engine, call| {
        engine.say(format!("{call} DONE work=5,peak=7,parts=1 9000\r\na\tb\tc\n").as_bytes())
    }),
    ("an answer that never ends", |engine, call| {
        let begun = engine.say(format!("{call} DONE work=5,peak=7,parts=1 9000\r\n").as_bytes());
        for _ in 0..15 {
            std::thread::sleep(Duration::from_millis(50));
            engine.say(b"a");
        }
        begun
    }),
    ("a second answer", |engine, call| {
        engine.say(format!("{call} DONE work=5,peak=7,parts=1 6\r\na\tb\tc\n\r\n").repeat(2).as_bytes())
    }),
    ("a late second answer that contradicts the first", |engine, call| {
        let first = engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes());
        std::thread::sleep(Duration::from_millis(20));
        first.min(engine.say(format!("{call} DONE work=5,peak=7,parts=1 6\r\na\tb\tc\n\r\n").as_bytes()))
    }),
    ("a connection reset", |engine, _| engine.reset()),
    ("answers to unknown requests", |engine, _| {
        (0..200)
            .map(|call| {
                engine.say(format!("{call:016x} DONE work=5,peak=7,parts=1 6\r\na\tb\tc\n\r\n").as_bytes())
            })
            .min()
            .unwrap_or(0)
    }),
];

/// Sends one request of each class and one more, which the fault concerns, to the same engine. Requires that each
/// gets one answer by its deadline plus [`GRACE`], and that its session then serves another request.
fn assert_all_answered_despite(name: &str, fault: Fault, router: &Router, engine: &Engine) {
    let mut target = Client::new(router);
    let text = request("look", TTL, "hold").replace("work=5.0", "work=800");
    let call = text.split_once("call=").unwrap().1[..16].to_string();
    let mut clients: Vec<Client> = CLASSES.map(|_| Client::new(router)).into();
    let sent = Instant::now();
    target.send(&text);
    for (client, class) in clients.iter_mut().zip(CLASSES) {
        client.send(&request(class, TTL, "hold").replace("work=5.0", "work=800"));
    }
    engine.seen.wait("GET", 4);
    assert!(fault(engine, &call) > 0, "{name}: the fault took no effect");
    clients.push(target);
    for client in &mut clients {
        let answer = client.try_answer();
        assert!(answer.is_some(), "{name}: the connection ended without an answer");
        assert!(
            sent.elapsed() < Duration::from_millis(TTL) + GRACE,
            "{name}: {answer:?} after {:?}",
            sent.elapsed()
        );
    }
    for client in &mut clients {
        // A second answer to the first request would be read here in place of the row.
        let next = client.ask(&request("look", 5000, "x"));
        assert_eq!(next, row(), "{name}: the next request on the session was not answered with its own row");
    }
    let counters = clients[0].counters("open", 0);
    assert_eq!((counter(&counters, "taken"), counter(&counters, "panics")), (8, 0), "{name}");
}

#[test]
fn an_engine_fault_costs_no_request_at_that_engine_its_one_final_answer() {
    std::thread::scope(|scope| {
        for (name, fault) in FAULTS {
            scope.spawn(move || {
                let engine = Engine::start("e");
                let (_discovery, router) = start_with_engine(&engine, 256);
                assert_all_answered_despite(name, fault, &router, &engine);
            });
        }
    });
}

/// The bytes that the clients of each kind of flood write on every connection.
fn floods() -> [Vec<u8>; 5] {
    [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        login()[..9].to_vec(),
        [login(), packet(0, &[0x0e]).repeat(200)].concat(),
        [login(), query("SELECT 1").repeat(50)].concat(),
        [login(), query(&request("look", 100, "hold")).repeat(3)].concat(),
    ]
}

/// Opens connections and writes `bytes` on each until `over` is set, keeping the newest eight open. Counts the
/// connections on which the write succeeded in `opened`.
fn flood(router: &Router, bytes: &[u8], over: &AtomicBool, opened: &AtomicU64) {
    let mut open = VecDeque::new();
    while !over.load(Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(router.address) {
            opened.fetch_add(u64::from(stream.write_all(bytes).is_ok()), Relaxed);
            open.push_back(stream);
        }
        if open.len() > 8 {
            open.pop_front();
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The counters of the router that the floods increase.
const FLOOD_COUNTERS: [&str; 3] = ["sessions_malformed", "unusable", "withdrawn"];

/// Whether each of [`FLOOD_COUNTERS`] is at least 5. False if a counter is missing, as when the counters could not be
/// read.
fn floods_counted(counters: &str) -> bool {
    let is_present =
        |name: &str| counters.contains(&format!("{name}:")) || counters.contains(&format!("{name}="));
    FLOOD_COUNTERS.iter().all(|name| is_present(name) && counter(counters, name) >= 5)
}

#[test]
fn floods_from_other_clients_cost_no_request_its_final_answer() {
    let engine = Engine::start("e");
    let (_discovery, router) = start_with_engine(&engine, 256);
    let (over, floods) = (AtomicBool::new(false), floods());
    let opened = [const { AtomicU64::new(0) }; 5];
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&over);
        for (bytes, opened) in floods.iter().zip(&opened) {
            let (over, router) = (&over, &router);
            scope.spawn(move || flood(router, bytes, over, opened));
        }
        let begun = Instant::now();
        while opened.iter().any(|count| count.load(Relaxed) < 20) {
            assert!(
                begun.elapsed() < GENEROUS,
                "fewer than 20 connections of a flood were opened: {opened:?}"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut rounds = 0;
        // The flood of requests repeats one id, so few of its requests are open at a time. The rounds go on until the
        // counters show that the router has handled enough of each flood.
        while rounds < 10 || !floods_counted(&Client::new(&router).counters_now()) {
            assert!(begun.elapsed() < GENEROUS, "the counters do not show the floods");
            rounds += 1;
            let sent = Instant::now();
            // A session that is idle between two requests may be closed to free its descriptor. One whose request
            // arrives together with its login may not.
            let clients = CLASSES.map(|class| connect_and_send_text(&router, &request(class, TTL, "x")));
            for mut client in clients {
                let answer = read_first_answer(&mut client);
                assert!(answer.is_some(), "the connection ended without an answer");
                assert!(
                    sent.elapsed() < Duration::from_millis(TTL) + GRACE,
                    "{answer:?} after {:?}",
                    sent.elapsed()
                );
            }
        }
    });
    let counters = Client::new(&router).counters("open", 0);
    assert!(floods_counted(&counters), "{counters}");
    assert_eq!(counter(&counters, "panics"), 0);
}

/// Stops the floods when it is dropped, so that they end even if the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}
