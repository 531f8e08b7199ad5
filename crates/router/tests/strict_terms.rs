//! The operators' stricter terms on requests, each forced on the real program between stand-ins: nothing begins for a client
//! that has left, no server is promised more time than the client has, and no trouble elsewhere costs a request its answer.

use cleatgw_lab::standins::*;
use std::io::Write;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// Long enough for an attempt that should not begin to have begun.
const SOON: Duration = Duration::from_millis(300);

fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// A discovery service that lists these engines, and a router on it.
fn started(engines: &[&Engine]) -> (Board, Router) {
    changed(engines, |text| text)
}

fn changed(engines: &[&Engine], change: impl Fn(String) -> String) -> (Board, Router) {
    let board = Board::start();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    board.tell(true, &entries);
    let router = Router::changed(PROGRAM, &board, 256, &[], change);
    (board, router)
}

/// So heavy that its engine is left to it for long.
fn heavy(class: &str, ttl: u64, statement: &str) -> String {
    job(class, ttl, statement).replace("work=5.0", "work=4000")
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
        let board = Board::start();
        board.tell(true, &[]);
        let router = Router::with(PROGRAM, &board, 256, &[]);
        let mut witness = Client::new(&router);
        let pair = Pair::asking(&router, &job("look", 20000, "left"));
        witness.counters("open", 1);
        board.seen.wait("watch", 1);
        let event = format!(
            "{{\"rev\":2,\"pool\":{{\"rev\":1,\"all\":false,\"targets\":[{}]}}}}\n",
            engine.entry("ready")
        );
        let mut kept = Vec::new();
        router.stop_for(SOON, || {
            kept = pair.leaves(how, &router);
            board.say(&event);
        });
        router.log.wait("is e at", 1);
        if how == Leaves::Stays {
            assert_eq!(kept[0].answer(), row(), "the event alone has it dispatched");
            continue;
        }
        witness.counters("withdrawn", 1);
        assert_eq!(witness.ask(&job("look", 5000, "the last")), row());
        assert_eq!(given(&engine), ["the last"], "{how:?}");
    }
}

/// A client leaves before the turn that reads how its first attempt ended.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_before_the_turn_that_ends_its_attempt() {
    for how in ALL {
        for end in ["WAIT", "BROKE", "reset"] {
            let engines = [Engine::start("a"), Engine::start("b")];
            let (_board, router) = started(&[&engines[0], &engines[1]]);
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
