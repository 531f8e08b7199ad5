//! Each request that the router has read gets its one final answer in time: whatever becomes of its connection's moment, of
//! its server, or of other clients. The real program between stand-ins.

use cleatgw_testbed::stand_ins::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

fn with_engine(engine: &Engine, descriptors: u32) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, descriptors, &[]);
    (discovery, router)
}

/// Connects, and writes login and request at once; nothing is read yet.
fn newcomer(router: &Router) -> Client {
    newcomer_with(router, &request("look", 5000, "new"))
}

fn newcomer_with(router: &Router, text: &str) -> Client {
    let mut stream = TcpStream::connect(router.address).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream.write_all(&[login(), query(text)].concat()).unwrap();
    Client { stream, session: 0 }
}

/// What a newcomer got: its greeting, its login's answer and its request's.
fn had(client: &mut Client) -> Option<Answered> {
    client.packet()?;
    assert_eq!(client.try_answer()?, Answered::Ok);
    client.try_answer()
}

/// All of them stay until the last has its answer.
fn all_answered(mut clients: Vec<Client>, when: &str) {
    let had = clients.iter_mut().map(had).collect::<Vec<_>>();
    let rows = had.iter().filter(|answer| **answer == Some(row())).count();
    assert_eq!(rows, clients.len(), "{when}: {had:?}");
}

#[test]
fn requests_on_new_connections_are_answered_when_a_stop_is_read_in_the_turn_that_accepts_them() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = with_engine(&engine, 256);
    let mut clients = Vec::new();
    router.stop_for(Duration::ZERO, || {
        clients.extend((0..10).map(|_| newcomer(&router)));
        router.fail();
        clients.extend((0..10).map(|_| newcomer(&router)));
    });
    all_answered(clients, "with the signal");
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "taken"), counter(&counters, "delivered")), (Some(0), 20, 20));
}

/// The router has no turn from before its sessions are to be ended until after: what came meanwhile, on new connections and
/// on those that rest, it reads in the turn that would end them.
#[test]
fn requests_are_answered_that_are_read_in_the_turn_that_would_end_their_sessions() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = with_engine(&engine, 256);
    let mut rest: Vec<Client> = (0..10).map(|_| Client::new(&router)).collect();
    router.fail();
    router.log.wait("stopping", 1);
    let mut clients = Vec::new();
    router.stop_for(Duration::from_millis(900), || {
        clients.extend((0..10).map(|_| newcomer(&router)));
        rest.iter_mut().for_each(|client| client.send(&request("look", 5000, "rests")));
    });
    all_answered(clients, "at the end");
    for client in &mut rest {
        assert_eq!(client.try_answer(), Some(row()));
    }
    drop(rest);
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "taken"), counter(&counters, "delivered")), (Some(0), 20, 20));
}

#[test]
fn requests_on_new_connections_are_answered_where_room_has_to_be_made_for_each() {
    let engine = Engine::start("e");
    let descriptors = 24;
    let (_discovery, router) = with_engine(&engine, descriptors);
    let mut rest: Vec<Client> = (0..descriptors / 2).map(|_| Client::new(&router)).collect();
    let mut clients = Vec::new();
    router.stop_for(Duration::ZERO, || {
        clients.extend((0..60).map(|_| newcomer(&router)));
        // Half of those that could be closed for room have just asked.
        rest.iter_mut().step_by(2).for_each(|client| client.send(&request("look", 5000, "rests")));
    });
    all_answered(clients, "for room");
    for client in rest.iter_mut().step_by(2) {
        assert_eq!(client.try_answer(), Some(row()));
    }
    let counters = Client::new(&router).counters("open", 0);
    assert!(counter(&counters, "sessions_closed_for_room") >= 60 - u64::from(descriptors) / 2, "{counters}");
    assert_eq!((counter(&counters, "taken"), counter(&counters, "delivered")), (66, 66));
}

const TTL: u64 = 1000;
/// The final answer comes this much after its time at the latest.
const GRACE: Duration = Duration::from_millis(500);
const CLASSES: [&str; 3] = ["look", "load", "once"];

/// What goes wrong at an engine that has several requests; tells how often it took effect.
type Trouble = fn(&Engine, &str) -> usize;

const TROUBLES: [(&str, Trouble); 11] = [
    ("no answer at all", |_, _| 1),
    ("words that are no answer", |engine, _| engine.say(b"what is this\r\n")),
    ("a line without end", |engine, _| engine.say(&[b'x'; 3000])),
    ("a row without its columns", |engine, call| {
        engine.say(format!("{call} DONE work=5,peak=7,parts=1 3\r\nabc\r\n").as_bytes())
    }),
    ("a page that was not asked for", |engine, call| {
        engine.say(
            format!("{call} DONE work=5,peak=7,parts=3 6\r\na\tb\tc\n\r\n{call} MORE part_no=9 0\r\n\r\n")
                .as_bytes(),
        )
    }),
    ("an answer that stops short", |engine, call| {
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
    ("a second answer that comes late and tells otherwise", |engine, call| {
        let first = engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes());
        std::thread::sleep(Duration::from_millis(20));
        first.min(engine.say(format!("{call} DONE work=5,peak=7,parts=1 6\r\na\tb\tc\n\r\n").as_bytes()))
    }),
    ("a reset", |engine, _| engine.reset()),
    ("answers to nobody's requests", |engine, _| {
        (0..200)
            .map(|call| {
                engine.say(format!("{call:016x} DONE work=5,peak=7,parts=1 6\r\na\tb\tc\n\r\n").as_bytes())
            })
            .min()
            .unwrap_or(0)
    }),
];

/// Clients of each class, and one more whose request the trouble is about, all at one engine; then each has had one answer
/// in its time, and its session serves on.
fn all_have_their_answers_beside(name: &str, trouble: Trouble, router: &Router, engine: &Engine) {
    let mut target = Client::new(router);
    let text = request("look", TTL, "hold").replace("work=5.0", "work=800");
    let call = text.split_once("call=").unwrap().1[..16].to_string();
    let mut beside: Vec<Client> = CLASSES.map(|_| Client::new(router)).into();
    let sent = Instant::now();
    target.send(&text);
    for (client, class) in beside.iter_mut().zip(CLASSES) {
        client.send(&request(class, TTL, "hold").replace("work=5.0", "work=800"));
    }
    engine.seen.wait("GET", 4);
    assert!(trouble(engine, &call) > 0, "{name}: it took no effect");
    beside.push(target);
    for client in &mut beside {
        let answer = client.try_answer();
        assert!(answer.is_some(), "{name}: an end and no answer");
        assert!(
            sent.elapsed() < Duration::from_millis(TTL) + GRACE,
            "{name}: {answer:?} after {:?}",
            sent.elapsed()
        );
    }
    for client in &mut beside {
        let next = client.ask(&request("look", 5000, "x"));
        assert_eq!(next, row(), "{name}: nothing came behind the answer");
    }
    let counters = beside[0].counters("open", 0);
    assert_eq!((counter(&counters, "taken"), counter(&counters, "panics")), (8, 0), "{name}");
}

#[test]
fn trouble_at_a_server_costs_no_request_there_its_one_final_answer() {
    std::thread::scope(|scope| {
        for (name, trouble) in TROUBLES {
            scope.spawn(move || {
                let engine = Engine::start("e");
                let (_discovery, router) = with_engine(&engine, 256);
                all_have_their_answers_beside(name, trouble, &router, &engine);
            });
        }
    });
}

/// What other clients write, again and again.
fn floods() -> [Vec<u8>; 5] {
    [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        login()[..9].to_vec(),
        [login(), packet(0, &[0x0e]).repeat(200)].concat(),
        [login(), query("SELECT 1").repeat(50)].concat(),
        [login(), query(&request("look", 100, "hold")).repeat(3)].concat(),
    ]
}

/// Connects and writes, and goes once others have come after it; tells how many came.
fn flood(router: &Router, bytes: &[u8], over: &AtomicBool, came: &AtomicU64) {
    let mut open = VecDeque::new();
    while !over.load(Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(router.address) {
            came.fetch_add(u64::from(stream.write_all(bytes).is_ok()), Relaxed);
            open.push_back(stream);
        }
        if open.len() > 8 {
            open.pop_front();
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// What the floods leave behind in the router's counters.
const FLOOD_COUNTERS: [&str; 3] = ["sessions_malformed", "unusable", "withdrawn"];

/// Each kind of flood has been met several times; not so where the counters could not be had.
fn floods_were_met(counters: &str) -> bool {
    let is_there =
        |name: &str| counters.contains(&format!("{name}:")) || counters.contains(&format!("{name}="));
    FLOOD_COUNTERS.iter().all(|name| is_there(name) && counter(counters, name) >= 5)
}

#[test]
fn floods_from_other_clients_cost_no_request_its_final_answer() {
    let engine = Engine::start("e");
    let (_discovery, router) = with_engine(&engine, 256);
    let (over, floods) = (AtomicBool::new(false), floods());
    let came = [const { AtomicU64::new(0) }; 5];
    std::thread::scope(|scope| {
        let _ends = Ends(&over);
        for (bytes, came) in floods.iter().zip(&came) {
            let (over, router) = (&over, &router);
            scope.spawn(move || flood(router, bytes, over, came));
        }
        let begun = Instant::now();
        while came.iter().any(|came| came.load(Relaxed) < 20) {
            assert!(begun.elapsed() < GENEROUS, "no flood: {came:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
        let mut rounds = 0;
        // The flood of requests uses one id, so few of its requests are open at a time: the floods go on until enough were met.
        while rounds < 10 || !floods_were_met(&Client::new(&router).counters_now()) {
            assert!(begun.elapsed() < GENEROUS, "the floods are not met");
            rounds += 1;
            let sent = Instant::now();
            // A session that rests between two requests may be closed for room; one that comes with its request may not.
            let clients = CLASSES.map(|class| newcomer_with(&router, &request(class, TTL, "x")));
            for mut client in clients {
                let answer = had(&mut client);
                assert!(answer.is_some(), "an end and no answer");
                assert!(
                    sent.elapsed() < Duration::from_millis(TTL) + GRACE,
                    "{answer:?} after {:?}",
                    sent.elapsed()
                );
            }
        }
    });
    let counters = Client::new(&router).counters("open", 0);
    assert!(floods_were_met(&counters), "{counters}");
    assert_eq!(counter(&counters, "panics"), 0);
}

/// Ends the floods, also where the test fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}
