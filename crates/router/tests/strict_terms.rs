//! Runs the router program between simulated engines and clients, and checks two strict requirements on requests: no
//! attempt begins for a client that has left, and no engine is given a budget longer than the time that is left to the
//! client's request. That a fault elsewhere costs no request its answer is checked in `final_answers.rs`.
//!
//! A turn is one pass of the router's event loop: it reads all ready sources, then processes what it has read as one
//! batch.

use cleatgw_testbed::stand_ins::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// By how many milliseconds the budget given to an engine may exceed the time left to the request.
const BUDGET_SLACK_MS: f64 = 150.0;
/// How long the router is stopped, and how long a test waits for an attempt that must not begin: long enough for a
/// wrongly started attempt to show itself.
const ATTEMPT_START_LIMIT: Duration = Duration::from_millis(300);

/// The answer of an engine to a statement without a special meaning.
fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// Starts a discovery service that lists these engines, and a router that uses it.
fn start(engines: &[&Engine]) -> (Discovery, Router) {
    start_with_configuration(engines, |text| text)
}

/// The same, with the configuration text changed by `change`.
fn start_with_configuration(engines: &[&Engine], change: impl Fn(String) -> String) -> (Discovery, Router) {
    let discovery = Discovery::start();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], change);
    (discovery, router)
}

/// Raises the connect timeout to 9 s, so that a late connection does not fail.
fn with_long_connect_timeout(text: String) -> String {
    let changed = text.replace("\"connect-timeout-us\":250000", "\"connect-timeout-us\":9000000");
    assert_ne!(changed, text);
    changed
}

/// A request with so much announced work that the router waits a long time for its attempt.
fn heavy_request(class: &str, ttl: u64, statement: &str) -> String {
    request(class, ttl, statement).replace("work=5.0", "work=4000")
}

/// The statements that an engine has received, in order.
fn statements_received(engine: &Engine) -> Vec<String> {
    let lines = engine.seen.all();
    lines.iter().filter_map(|line| Some(line.strip_prefix("GET ")?.split_once(": ")?.1.to_string())).collect()
}

/// What a client does while its request is open.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAction {
    /// Waits for the answer.
    Stays,
    /// Closes its connection.
    Closes,
    /// Cancels the request from its other session.
    Cancels,
    /// Cancels the request from a session that it opens for this purpose.
    CancelsFromNewSession,
}

const CLIENT_ACTIONS: [ClientAction; 4] =
    [ClientAction::Stays, ClientAction::Closes, ClientAction::Cancels, ClientAction::CancelsFromNewSession];

/// The two sessions of a client: one that has sent a request, and another one.
struct ClientSessions {
    /// The session that has sent the request.
    requesting: Client,
    other: Client,
}

impl ClientSessions {
    fn with_request(router: &Router, text: &str) -> ClientSessions {
        let (mut requesting, other) = (Client::new(router), Client::new(router));
        requesting.send(text);
        ClientSessions { requesting, other }
    }

    /// Does what `how` says. Returns the sessions that stay open, because their answers are still to be read or
    /// because closing them would be another way to leave.
    fn perform(self, how: ClientAction, router: &Router) -> Vec<Client> {
        let ClientSessions { requesting, mut other } = self;
        let kill = format!("KILL QUERY {}", requesting.session);
        match how {
            ClientAction::Stays => vec![requesting, other],
            ClientAction::Closes => {
                drop(requesting);
                vec![other]
            }
            ClientAction::Cancels => {
                other.send(&kill);
                vec![requesting, other]
            }
            ClientAction::CancelsFromNewSession => {
                let mut stream = std::net::TcpStream::connect(router.address).unwrap();
                stream.write_all(&[login(), query(&kill)].concat()).unwrap();
                vec![requesting, other, Client { stream, session: 0 }]
            }
        }
    }
}

/// The client leaves before the turn that could first dispatch its request. In that turn the router reads both that
/// the client has left and the event that adds an engine.
#[test]
fn no_first_attempt_begins_for_a_client_that_left_before_the_turn_that_brings_an_engine() {
    for how in CLIENT_ACTIONS {
        let engine = Engine::start("e");
        let discovery = Discovery::start();
        discovery.tell(true, &[]);
        let router = Router::with(PROGRAM, &discovery, 256, &[]);
        let mut witness = Client::new(&router);
        let sessions = ClientSessions::with_request(&router, &request("look", 20000, "left"));
        witness.counters("open", 1);
        discovery.seen.wait("watch", 1);
        let event = format!(
            "{{\"rev\":2,\"pool\":{{\"rev\":1,\"all\":false,\"targets\":[{}]}}}}\n",
            engine.entry("ready")
        );
        let mut kept = Vec::new();
        router.stop_for(ATTEMPT_START_LIMIT, || {
            kept = sessions.perform(how, &router);
            discovery.say(&event);
        });
        router.log.wait("is e at", 1);
        if how == ClientAction::Stays {
            assert_eq!(kept[0].answer(), row(), "the event that adds an engine must dispatch the request");
            continue;
        }
        witness.counters("withdrawn", 1);
        assert_eq!(witness.ask(&request("look", 5000, "the last")), row());
        assert_eq!(statements_received(&engine), ["the last"], "{how:?}");
    }
}

/// The client leaves before the turn in which the router reads how the first attempt ended.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_before_the_turn_that_ends_its_attempt() {
    for how in CLIENT_ACTIONS {
        for end in ["WAIT", "BROKE", "reset"] {
            let engines = [Engine::start("a"), Engine::start("b")];
            let (_discovery, router) = start(&[&engines[0], &engines[1]]);
            let mut witness = Client::new(&router);
            let text = heavy_request("look", 20000, "hold");
            let call = text.split_once("call=").unwrap().1[..16].to_string();
            let sessions = ClientSessions::with_request(&router, &text);
            witness.counters("pushes", 1);
            let has_request = |engine: &&Engine| !statements_received(engine).is_empty();
            let begun = Instant::now();
            while !engines.iter().any(|engine| has_request(&engine)) {
                assert!(begun.elapsed() < GENEROUS, "no engine received the first attempt");
                std::thread::sleep(Duration::from_millis(1));
            }
            let first = engines.iter().find(has_request).unwrap();
            let mut kept = Vec::new();
            let mut connections = 0;
            router.stop_for(ATTEMPT_START_LIMIT, || {
                kept = sessions.perform(how, &router);
                connections = match end {
                    "reset" => first.reset(),
                    word => first.say(format!("{call} {word} - 0\r\n\r\n").as_bytes()),
                };
            });
            assert_eq!(connections, 1, "{end} must reach the one connection of the attempt");
            if how == ClientAction::Stays {
                witness.counters("pushes", 2);
                continue;
            }
            witness.counters("withdrawn", 1);
            std::thread::sleep(ATTEMPT_START_LIMIT);
            let counters = witness.counters("open", 0);
            assert_eq!(counter(&counters, "pushes"), 1, "{how:?}, {end}");
            assert_eq!(
                engines.iter().map(|engine| statements_received(engine).len()).sum::<usize>(),
                1,
                "{how:?}, {end}"
            );
        }
    }
}

/// Several requests wait for the same connection to an engine, and their clients leave before it is established.
#[test]
fn no_attempt_is_sent_on_a_late_connection_for_a_client_that_left_before_it_was_established() {
    let (engine, door) = Engine::late("e");
    let (_discovery, router) = start_with_configuration(&[&engine], with_long_connect_timeout);
    let mut witness = Client::new(&router);
    let clients: Vec<ClientSessions> = CLIENT_ACTIONS
        .map(|how| ClientSessions::with_request(&router, &heavy_request("look", 20000, &format!("{how:?}"))))
        .into();
    witness.counters("pushes", 4);
    let mut kept: Vec<Vec<Client>> =
        CLIENT_ACTIONS.into_iter().zip(clients).map(|(how, client)| client.perform(how, &router)).collect();
    witness.counters("withdrawn", 3);
    door.open();
    // The client of the first action stays; its first session has sent the request.
    let stayed = &mut kept[0][0];
    assert_eq!(
        stayed.answer(),
        row(),
        "the request of the client that stayed must be sent on the connection"
    );
    assert_eq!(statements_received(&engine), ["Stays"]);
}

/// The same, but the connection is established and the clients leave while the router is stopped, so that it reads
/// both in one turn.
#[test]
fn no_attempt_is_sent_on_a_late_connection_established_in_the_turn_that_reads_its_clients_departure() {
    let (engine, door) = Engine::late("e");
    let (_discovery, router) = start_with_configuration(&[&engine], with_long_connect_timeout);
    let mut witness = Client::new(&router);
    let clients: Vec<ClientSessions> = CLIENT_ACTIONS
        .map(|how| ClientSessions::with_request(&router, &heavy_request("look", 20000, &format!("{how:?}"))))
        .into();
    witness.counters("pushes", 4);
    let mut kept: Vec<Vec<Client>> = Vec::new();
    router.stop_for(ATTEMPT_START_LIMIT, || {
        kept = CLIENT_ACTIONS
            .into_iter()
            .zip(clients)
            .map(|(how, client)| client.perform(how, &router))
            .collect();
        door.open();
        engine.seen.wait("connection 0", 1);
    });
    // The client of the first action stays; its first session has sent the request.
    let stayed = &mut kept[0][0];
    assert_eq!(
        stayed.answer(),
        row(),
        "the request of the client that stayed must be sent on the connection"
    );
    witness.counters("withdrawn", 3);
    assert_eq!(statements_received(&engine), ["Stays"]);
}

/// The budget that came with each request to an engine, in milliseconds, in the order received.
#[derive(Clone, Default)]
struct Budgets(Arc<Mutex<Vec<f64>>>);

impl Budgets {
    fn record(engine: &Engine) -> Budgets {
        let budgets = Budgets::default();
        let list = budgets.0.clone();
        engine.seen.follow(move |line| {
            let Some((_, rest)) = line.split_once("budget=") else { return };
            let digits = rest.split(|character: char| !character.is_ascii_digit()).next().unwrap();
            list.lock().unwrap().push(digits.parse().unwrap());
        });
        budgets
    }

    /// Requires that `count` requests were received, and that the last budget is above 0 and exceeds what is left of
    /// `ttl` (in milliseconds) after the time `passed` by at most [`BUDGET_SLACK_MS`].
    fn assert_last_within(&self, count: usize, ttl: u64, passed: Duration) {
        let budgets = self.0.lock().unwrap();
        assert_eq!(budgets.len(), count, "{budgets:?}");
        let left = ttl as f64 - passed.as_secs_f64() * 1e3;
        let budget = *budgets.last().unwrap();
        assert!(
            budget <= left + BUDGET_SLACK_MS && budget > 0.0,
            "budget of {budget} ms with {left:.1} ms left"
        );
    }
}

/// The time to live of the requests, in milliseconds.
const TTL: u64 = 4000;
/// How long a request is held up before its budget is checked. The wait for a connection is half as long.
const HOLD_UP: Duration = Duration::from_millis(1000);

#[test]
fn an_engine_gets_the_time_left_as_budget_after_a_long_wait_for_any_engine() {
    let engine = Engine::start("e");
    let budgets = Budgets::record(&engine);
    // A long objective, so that the request still pays off after the wait.
    let with_long_objective = |text: String| {
        let changed = text.replace("\"objective-us\":1000000", "\"objective-us\":20000000");
        assert_ne!(changed, text);
        changed
    };
    let (discovery, router) = start_with_configuration(&[], with_long_objective);
    let mut client = Client::new(&router);
    let sent = Instant::now();
    let ttl = 5 * TTL;
    client.send(&heavy_request("look", ttl, "x"));
    Client::new(&router).counters("open", 1);
    std::thread::sleep(HOLD_UP);
    let waited = sent.elapsed();
    discovery.tell(false, &[engine.entry("ready")]);
    assert_eq!(client.answer(), row());
    budgets.assert_last_within(1, ttl, waited);
}

#[test]
fn an_engine_gets_the_time_left_as_budget_after_a_long_wait_for_its_connection() {
    let (engine, door) = Engine::late("e");
    let budgets = Budgets::record(&engine);
    let (_discovery, router) = start_with_configuration(&[&engine], with_long_connect_timeout);
    let mut client = Client::new(&router);
    let sent = Instant::now();
    client.send(&heavy_request("look", TTL, "x"));
    Client::new(&router).counters("pushes", 1);
    std::thread::sleep(HOLD_UP / 2);
    let waited = sent.elapsed();
    door.open();
    assert_eq!(client.answer(), row());
    budgets.assert_last_within(1, TTL, waited);
}

#[test]
fn a_later_attempt_gets_the_time_that_the_earlier_ones_left_as_budget() {
    let engine = Engine::start("e");
    let budgets = Budgets::record(&engine);
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    let text = heavy_request("look", TTL, "hold");
    let call = text.split_once("call=").unwrap().1[..16].to_string();
    let sent = Instant::now();
    client.send(&text);
    engine.seen.wait("GET", 1);
    std::thread::sleep(HOLD_UP);
    let waited = sent.elapsed();
    assert_eq!(engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes()), 1);
    engine.seen.wait("GET", 2);
    budgets.assert_last_within(2, TTL, waited);
}

/// The time of a request runs from the arrival of its last byte, even if the router reads that byte late.
#[test]
fn the_budget_for_a_slow_clients_request_counts_from_its_last_byte() {
    let engine = Engine::start("e");
    let budgets = Budgets::record(&engine);
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    let bytes = query(&heavy_request("look", TTL, "x"));
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
        std::thread::sleep(HOLD_UP);
        waited = sent.elapsed();
    });
    assert_eq!(client.answer(), row());
    budgets.assert_last_within(1, TTL, waited);
}

/// The client sends its next request before it has read the answer to the previous one.
#[test]
fn the_budget_for_a_pipelined_request_counts_from_its_own_last_byte() {
    let engine = Engine::start("e");
    let budgets = Budgets::record(&engine);
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    let first = heavy_request("once", TTL, "hold");
    let call = first.split_once("call=").unwrap().1[..16].to_string();
    let sent = Instant::now();
    client.stream.write_all(&[query(&first), query(&heavy_request("look", TTL, "x"))].concat()).unwrap();
    engine.seen.wait("GET", 1);
    std::thread::sleep(HOLD_UP);
    let waited = sent.elapsed();
    assert_eq!(engine.say(format!("{call} BROKE - 0\r\n\r\n").as_bytes()), 1);
    assert!(matches!(client.answer(), Answered::Error(1105, _)));
    assert_eq!(client.answer(), row());
    budgets.assert_last_within(2, TTL, waited);
}
