//! The operators' stricter terms on requests, each forced on the real program between stand-ins: nothing begins for a client
//! that has left, no server is promised more time than the client has, and no trouble elsewhere costs a request its answer.

use cleatgw_testbed::stand_ins::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// What a server may be promised beyond what its client has left, in milliseconds.
const SLACK: f64 = 150.0;
/// Long enough for an attempt that should not begin to have begun.
const SOON: Duration = Duration::from_millis(300);

fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// A discovery service that lists these engines, and a router on it.
fn started(engines: &[&Engine]) -> (Discovery, Router) {
    changed(engines, |text| text)
}

fn changed(engines: &[&Engine], change: impl Fn(String) -> String) -> (Discovery, Router) {
    let discovery = Discovery::start();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], change);
    (discovery, router)
}

/// Connections may take long to come up.
fn patient(text: String) -> String {
    let patient = text.replace("\"connect-timeout-us\":250000", "\"connect-timeout-us\":9000000");
    assert_ne!(patient, text);
    patient
}

/// So heavy that its engine is left to it for long.
fn heavy(class: &str, ttl: u64, statement: &str) -> String {
    request(class, ttl, statement).replace("work=5.0", "work=4000")
}

/// The statements that an engine was given, in order.
fn given(engine: &Engine) -> Vec<String> {
    let seen = engine.seen.all();
    seen.iter().filter_map(|line| Some(line.strip_prefix("GET ")?.split_once(": ")?.1.to_string())).collect()
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Stays,
    Closes,
    Cancels,
    /// By a session that it opens for this.
    CancelsAnew,
}

const ALL: [Leaves; 4] = [Leaves::Stays, Leaves::Closes, Leaves::Cancels, Leaves::CancelsAnew];

/// A client with a request, and another session of its own.
struct Pair {
    asks: Client,
    other: Client,
}

impl Pair {
    fn asking(router: &Router, text: &str) -> Pair {
        let (mut asks, other) = (Client::new(router), Client::new(router));
        asks.send(text);
        Pair { asks, other }
    }

    /// Leaves as it does. What is kept is yet to be read, or not to be closed.
    fn leaves(self, how: Leaves, router: &Router) -> Vec<Client> {
        let Pair { asks, mut other } = self;
        let kill = format!("KILL QUERY {}", asks.session);
        match how {
            Leaves::Stays => vec![asks, other],
            Leaves::Closes => {
                drop(asks);
                vec![other]
            }
            Leaves::Cancels => {
                other.send(&kill);
                vec![asks, other]
            }
            Leaves::CancelsAnew => {
                let mut anew = std::net::TcpStream::connect(router.address).unwrap();
                anew.write_all(&[login(), query(&kill)].concat()).unwrap();
                vec![asks, other, Client { stream: anew, session: 0 }]
            }
        }
    }
}

/// A client leaves before the turn that can first dispatch its request, in which all of it is read.
#[test]
fn no_first_attempt_begins_for_a_client_that_left_before_the_turn_that_brings_an_engine() {
    for how in ALL {
        let engine = Engine::start("e");
        let discovery = Discovery::start();
        discovery.tell(true, &[]);
        let router = Router::with(PROGRAM, &discovery, 256, &[]);
        let mut witness = Client::new(&router);
        let pair = Pair::asking(&router, &request("look", 20000, "left"));
        witness.counters("open", 1);
        discovery.seen.wait("watch", 1);
        let event = format!(
            "{{\"rev\":2,\"pool\":{{\"rev\":1,\"all\":false,\"targets\":[{}]}}}}\n",
            engine.entry("ready")
        );
        let mut kept = Vec::new();
        router.stop_for(SOON, || {
            kept = pair.leaves(how, &router);
            discovery.say(&event);
        });
        router.log.wait("is e at", 1);
        if how == Leaves::Stays {
            assert_eq!(kept[0].answer(), row(), "the event alone has it dispatched");
            continue;
        }
        witness.counters("withdrawn", 1);
        assert_eq!(witness.ask(&request("look", 5000, "the last")), row());
        assert_eq!(given(&engine), ["the last"], "{how:?}");
    }
}

/// A client leaves before the turn that reads how its first attempt ended.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_before_the_turn_that_ends_its_attempt() {
    for how in ALL {
        for end in ["WAIT", "BROKE", "reset"] {
            let engines = [Engine::start("a"), Engine::start("b")];
            let (_discovery, router) = started(&[&engines[0], &engines[1]]);
            let mut witness = Client::new(&router);
            let text = heavy("look", 20000, "hold");
            let call = text.split_once("call=").unwrap().1[..16].to_string();
            let pair = Pair::asking(&router, &text);
            witness.counters("pushes", 1);
            let has = |engine: &&Engine| !given(engine).is_empty();
            let begun = Instant::now();
            while !engines.iter().any(|engine| has(&engine)) {
                assert!(begun.elapsed() < GENEROUS, "no first attempt");
                std::thread::sleep(Duration::from_millis(1));
            }
            let first = engines.iter().find(has).unwrap();
            let mut kept = Vec::new();
            let mut took = 0;
            router.stop_for(SOON, || {
                kept = pair.leaves(how, &router);
                took = match end {
                    "reset" => first.reset(),
                    word => first.say(format!("{call} {word} - 0\r\n\r\n").as_bytes()),
                };
            });
            assert_eq!(took, 1, "{end} was said where the attempt was");
            if how == Leaves::Stays {
                witness.counters("pushes", 2);
                continue;
            }
            witness.counters("withdrawn", 1);
            std::thread::sleep(SOON);
            let counters = witness.counters("open", 0);
            assert_eq!(counter(&counters, "pushes"), 1, "{how:?}, {end}");
            assert_eq!(engines.iter().map(|engine| given(engine).len()).sum::<usize>(), 1, "{how:?}, {end}");
        }
    }
}

/// Requests wait for one connection; their clients leave while it is awaited.
#[test]
fn no_attempt_leaves_on_a_late_connection_for_a_client_that_left_while_it_was_awaited() {
    let (engine, door) = Engine::late("e");
    let (_discovery, router) = changed(&[&engine], patient);
    let mut witness = Client::new(&router);
    let mut pairs: Vec<Pair> =
        ALL.map(|how| Pair::asking(&router, &heavy("look", 20000, &format!("{how:?}")))).into();
    witness.counters("pushes", 4);
    pairs.reverse();
    let mut kept: Vec<Vec<Client>> = ALL.map(|how| pairs.pop().unwrap().leaves(how, &router)).into();
    witness.counters("withdrawn", 3);
    door.open();
    assert_eq!(kept[0][0].answer(), row(), "the connection came up for the one that stayed");
    assert_eq!(given(&engine), ["Stays"]);
}

/// The same where the connection comes up and the clients leave while the router has no turn: it reads both in one.
#[test]
fn no_attempt_leaves_on_a_late_connection_that_comes_up_in_the_turn_that_reads_its_clients_end() {
    let (engine, door) = Engine::late("e");
    let (_discovery, router) = changed(&[&engine], patient);
    let mut witness = Client::new(&router);
    let mut pairs: Vec<Pair> =
        ALL.map(|how| Pair::asking(&router, &heavy("look", 20000, &format!("{how:?}")))).into();
    witness.counters("pushes", 4);
    pairs.reverse();
    let mut kept: Vec<Vec<Client>> = Vec::new();
    router.stop_for(SOON, || {
        kept = ALL.map(|how| pairs.pop().unwrap().leaves(how, &router)).into();
        door.open();
        engine.seen.wait("connection 0", 1);
    });
    assert_eq!(kept[0][0].answer(), row(), "the connection came up for the one that stayed");
    witness.counters("withdrawn", 3);
    assert_eq!(given(&engine), ["Stays"]);
}

/// When each request came to an engine, and what it was promised, in milliseconds.
#[derive(Clone, Default)]
struct Promised(Arc<Mutex<Vec<f64>>>);

impl Promised {
    fn by(engine: &Engine) -> Promised {
        let promised = Promised::default();
        let all = promised.0.clone();
        engine.seen.follow(move |line| {
            let Some((_, rest)) = line.split_once("budget=") else { return };
            let digits = rest.split(|each: char| !each.is_ascii_digit()).next().unwrap();
            all.lock().unwrap().push(digits.parse().unwrap());
        });
        promised
    }

    /// The last one, which left after so much of the time had passed.
    fn is_within(&self, count: usize, ttl: u64, passed: Duration) {
        let all = self.0.lock().unwrap();
        assert_eq!(all.len(), count, "{all:?}");
        let left = ttl as f64 - passed.as_secs_f64() * 1e3;
        let promised = *all.last().unwrap();
        assert!(promised <= left + SLACK && promised > 0.0, "{promised} ms of {left:.1}");
    }
}

const TTL: u64 = 4000;
const LONG: Duration = Duration::from_millis(1000);

#[test]
fn a_server_is_promised_what_is_left_after_a_long_wait_for_any_engine() {
    let engine = Engine::start("e");
    let promised = Promised::by(&engine);
    // It is worth its while for long.
    let longer = |text: String| text.replace("\"objective-us\":1000000", "\"objective-us\":20000000");
    let (discovery, router) = changed(&[], longer);
    let mut client = Client::new(&router);
    let sent = Instant::now();
    let ttl = 5 * TTL;
    client.send(&heavy("look", ttl, "x"));
    Client::new(&router).counters("open", 1);
    std::thread::sleep(LONG);
    let waited = sent.elapsed();
    discovery.tell(false, &[engine.entry("ready")]);
    assert_eq!(client.answer(), row());
    promised.is_within(1, ttl, waited);
}

#[test]
fn a_server_is_promised_what_is_left_after_a_long_wait_for_its_connection() {
    let (engine, door) = Engine::late("e");
    let promised = Promised::by(&engine);
    let (_discovery, router) = changed(&[&engine], patient);
    let mut client = Client::new(&router);
    let sent = Instant::now();
    client.send(&heavy("look", TTL, "x"));
    Client::new(&router).counters("pushes", 1);
    std::thread::sleep(LONG / 2);
    let waited = sent.elapsed();
    door.open();
    assert_eq!(client.answer(), row());
    promised.is_within(1, TTL, waited);
}

#[test]
fn a_server_of_a_later_attempt_is_promised_what_the_earlier_ones_left() {
    let engine = Engine::start("e");
    let promised = Promised::by(&engine);
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    let text = heavy("look", TTL, "hold");
    let call = text.split_once("call=").unwrap().1[..16].to_string();
    let sent = Instant::now();
    client.send(&text);
    engine.seen.wait("GET", 1);
    std::thread::sleep(LONG);
    let waited = sent.elapsed();
    assert_eq!(engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes()), 1);
    engine.seen.wait("GET", 2);
    promised.is_within(2, TTL, waited);
}

/// Its time runs from its last byte, which the router reads late.
#[test]
fn a_slow_clients_server_is_promised_what_is_left_since_the_last_byte() {
    let engine = Engine::start("e");
    let promised = Promised::by(&engine);
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    let bytes = query(&heavy("look", TTL, "x"));
    let (last, pieces) = bytes.split_last().unwrap();
    for piece in pieces.chunks(pieces.len().div_ceil(8)) {
        client.stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut sent = Instant::now();
    let mut waited = Duration::ZERO;
    router.stop_for(Duration::ZERO, || {
        sent = Instant::now();
        client.stream.write_all(&[*last]).unwrap();
        std::thread::sleep(LONG);
        waited = sent.elapsed();
    });
    assert_eq!(client.answer(), row());
    promised.is_within(1, TTL, waited);
}

/// A client that sends its next request before it has read the answer to the last.
#[test]
fn a_request_sent_behind_another_has_its_time_from_its_own_last_byte() {
    let engine = Engine::start("e");
    let promised = Promised::by(&engine);
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    let first = heavy("once", TTL, "hold");
    let call = first.split_once("call=").unwrap().1[..16].to_string();
    let sent = Instant::now();
    client.stream.write_all(&[query(&first), query(&heavy("look", TTL, "x"))].concat()).unwrap();
    engine.seen.wait("GET", 1);
    std::thread::sleep(LONG);
    let waited = sent.elapsed();
    assert_eq!(engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes()), 1);
    assert!(matches!(client.answer(), Answered::Error(1105, _)));
    assert_eq!(client.answer(), row());
    promised.is_within(2, TTL, waited);
}
