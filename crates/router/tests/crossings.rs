//! Rare moments, each forced: a client that leaves, a kill, a signal or a close that comes between two things that the
//! router does. The real program between stand-ins that hold what crosses until it is due.

use cleatgw_testbed::stand_ins::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// A router whose discovery service tells of no engine yet: what is asked waits.
fn without_engines() -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    (discovery, router)
}

fn with_engine(engine: &Engine) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    (discovery, router)
}

fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// An engine comes, and one request more is asked: the statements that the engine has had by its answer.
fn dispatched_once_an_engine_comes(discovery: &Discovery, router: &Router) -> Vec<String> {
    let engine = Engine::start("e");
    discovery.tell(false, &[engine.entry("ready")]);
    router.log.wait("is e at", 1);
    assert_eq!(Client::new(router).ask(&request("look", 5000, "the last")), row());
    let seen = engine.seen.all();
    seen.iter().filter_map(|line| Some(line.strip_prefix("GET ")?.split_once(": ")?.1.to_string())).collect()
}

#[test]
fn nothing_is_begun_for_a_client_that_closed_reset_or_half_closed_while_its_request_waited() {
    let (discovery, router) = without_engines();
    let mut closes = Client::new(&router);
    closes.send(&request("look", 20000, "closed"));
    let mut resets = Client::new(&router);
    // An answer that it leaves unread makes its end a reset.
    resets.stream.write_all(&packet(0, &[0x0e])).unwrap();
    resets.send(&request("look", 20000, "reset"));
    let mut half = Client::new(&router);
    half.send(&request("look", 20000, "half-closed"));
    let mut witness = Client::new(&router);
    witness.counters("open", 3);
    drop((closes, resets));
    half.stream.shutdown(Shutdown::Write).unwrap();
    assert!(matches!(half.answer(), Answered::Error(1317, _)), "one that still reads is told");
    assert!(half.closed());
    witness.counters("withdrawn", 3);
    assert_eq!(dispatched_once_an_engine_comes(&discovery, &router), ["the last"]);
}

#[test]
fn what_a_client_sent_at_once_before_it_went_is_not_begun() {
    let (discovery, router) = without_engines();
    let many: Vec<u8> = (0..20).flat_map(|_| query(&request("look", 20000, "sent and gone"))).collect();
    let mut half = Client::early(&router, &[login(), many.clone()].concat());
    half.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(half.answer(), Answered::Ok);
    (0..20).for_each(|_| assert!(matches!(half.answer(), Answered::Error(1317, _))));
    assert!(half.closed());
    drop(Client::early(&router, &[login(), many].concat()));
    let mut witness = Client::new(&router);
    let counters = witness.counters("sessions_open", 1);
    assert_eq!(counter(&counters, "taken"), counter(&counters, "withdrawn"));
    assert_eq!(dispatched_once_an_engine_comes(&discovery, &router), ["the last"]);
}

#[test]
fn an_end_behind_bytes_that_find_no_room_is_seen() {
    let discovery = Discovery::start();
    discovery.tell(true, &[]);
    // So little memory that a session's buffer is the smallest there is: 16 KiB.
    let small = |text: String| text.replace("\"memory_mb\":192", "\"memory_mb\":4");
    let router = Router::changed(PROGRAM, &discovery, 256, &[], small);
    let mut client = Client::new(&router);
    client.send(&request("look", 20000, "hidden"));
    let mut witness = Client::new(&router);
    witness.counters("open", 1);
    let behind = query(&request("look", 20000, "x")).repeat(400);
    assert!(behind.len() > 24 * 1024, "more than the buffer holds");
    client.stream.write_all(&behind).unwrap();
    drop(client);
    // Those behind it that are read before its end are begun no more than itself.
    let counters = witness.counters("sessions_open", 1);
    assert_eq!(counter(&counters, "taken"), counter(&counters, "withdrawn"));
    assert_eq!(dispatched_once_an_engine_comes(&discovery, &router), ["the last"]);
}

#[test]
fn a_client_that_leaves_has_its_attempt_given_up_and_no_other_made() {
    let engine = Engine::start("e");
    let (_discovery, router) = with_engine(&engine);
    let mut client = Client::new(&router);
    client.send(&request("look", 20000, "hold"));
    engine.seen.wait("GET", 1);
    drop(client);
    engine.seen.wait("DROP", 1);
    let mut witness = Client::new(&router);
    let counters = witness.counters("withdrawn", 1);
    assert_eq!((counter(&counters, "pushes"), counter(&counters, "open")), (1, 0));
}

/// A kill and the query that it is meant for come in one turn, either of them first; the router stands still meanwhile.
#[test]
fn a_kill_meets_the_query_that_is_read_in_the_same_turn_whichever_came_first() {
    let engine = Engine::start("e");
    for kill_first in [false, true] {
        let (_discovery, router) = with_engine(&engine);
        let mut target = Client::new(&router);
        let mut killer = Client::new(&router);
        let kill = format!("KILL QUERY {}", target.session);
        router.stop_for(Duration::ZERO, || {
            if kill_first {
                killer.send(&kill);
                target.send(&request("look", 20000, "killed"));
            } else {
                target.send(&request("look", 20000, "killed"));
                killer.send(&kill);
            }
        });
        assert_eq!(killer.answer(), Answered::Ok);
        assert!(matches!(target.answer(), Answered::Error(1317, _)));
        assert_eq!(target.ask(&request("look", 5000, "x")), row());
    }
    assert!(!engine.seen.all().iter().any(|line| line.contains("killed")));
}

/// The query stands so far behind other packets that it is not read in the turn that reads its kill.
#[test]
fn a_kill_meets_a_query_that_waits_behind_other_packets() {
    let engine = Engine::start("e");
    let (_discovery, router) = with_engine(&engine);
    let mut target = Client::new(&router);
    let mut killer = Client::new(&router);
    let pings = 20;
    let sent = [packet(0, &[0x0e]).repeat(pings), query(&request("look", 20000, "killed"))].concat();
    router.stop_for(Duration::ZERO, || {
        target.stream.write_all(&sent).unwrap();
        killer.send(&format!("KILL QUERY {}", target.session));
    });
    assert_eq!(killer.answer(), Answered::Ok);
    (0..pings).for_each(|_| assert_eq!(target.answer(), Answered::Ok));
    assert!(matches!(target.answer(), Answered::Error(1317, _)));
    assert!(!engine.seen.all().iter().any(|line| line.contains("killed")));
}

/// One whose requests last half a second at most, so that its planned stop is soon over.
fn quick(engine: &Engine) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let shorter = |text: String| text.replace("\"hard-limit-us\":20000000", "\"hard-limit-us\":500000");
    let router = Router::changed(PROGRAM, &discovery, 256, &[], shorter);
    (discovery, router)
}

#[test]
fn a_planned_stop_answers_what_waits_behind_the_last_request_and_ends_every_session_in_order() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = quick(&engine);
    let mut rests = Client::new(&router);
    let mut asks = Client::new(&router);
    let behind = 20;
    let requests: Vec<u8> = (0..=behind).flat_map(|_| query(&request("look", 500, "hold"))).collect();
    asks.stream.write_all(&requests).unwrap();
    engine.seen.wait("GET", 1);
    router.fail();
    for at in 0..=behind {
        let answer = asks.try_answer();
        assert!(matches!(answer, Some(Answered::Error(1040, _))), "{at}: {answer:?}");
    }
    // An end, and no reset.
    let mut byte = [0];
    assert_eq!(rests.stream.read(&mut byte).unwrap(), 0);
    assert_eq!(asks.stream.read(&mut byte).unwrap(), 0);
    let before = Instant::now();
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "open")), (Some(0), 0));
    // Neither closes: it waits for them without turning all the while.
    assert!(before.elapsed() < Duration::from_secs(5));
    assert!(counter(&counters, "turns") < 1500, "{counters}");
    drop((rests, asks));
}

/// Two signals in one turn, with an answer of the engine's and a new client's request.
#[test]
fn a_stop_and_a_new_configuration_in_one_turn_lose_nothing() {
    let engine = Engine::start("e");
    let (discovery, mut router) = quick(&engine);
    let mut asks = Client::new(&router);
    let text = router.configuration(&discovery, "{\"rev\":1,\"notices\":[]}");
    router.stop_for(Duration::ZERO, || {
        router.fail();
        router.reload(&text);
        router.fail();
        asks.send(&request("look", 500, "x"));
    });
    assert_eq!(asks.answer(), row());
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "reloads"), counter(&counters, "open")), (Some(0), 1, 0));
    assert_eq!((counter(&counters, "taken"), counter(&counters, "delivered")), (1, 1));
}

#[test]
fn a_stop_before_the_first_list_answers_what_waits() {
    let discovery = Discovery::start();
    let shorter = |text: String| text.replace("\"hard-limit-us\":20000000", "\"hard-limit-us\":500000");
    let mut router = Router::changed(PROGRAM, &discovery, 256, &[], shorter);
    let mut pings = Client::new(&router);
    pings.stream.write_all(&packet(0, &[0x0e])).unwrap();
    let mut asks = Client::new(&router);
    asks.send(&request("once", 500, "x"));
    Client::new(&router).counters("open", 1);
    router.fail();
    assert!(matches!(asks.answer(), Answered::Error(1040, _)));
    assert!(pings.closed());
    drop((pings, asks));
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "turned_back"), counter(&counters, "open")), (Some(0), 1, 0));
}

/// The engine hangs from before the stop until after it, under a request longer than what is left.
#[test]
fn an_engine_that_hangs_through_the_whole_stop_costs_no_answer() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = quick(&engine);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(&router)).collect();
    for (client, class) in clients.iter_mut().zip(["look", "load", "once"]) {
        client.send(&request(class, 500, "hold"));
    }
    engine.seen.wait("GET", 3);
    let begun = Instant::now();
    router.fail();
    assert!(matches!(clients[0].answer(), Answered::Error(1040, _)));
    assert!(matches!(clients[1].answer(), Answered::Error(1040, _)));
    assert!(matches!(clients[2].answer(), Answered::Error(1105, _)), "it may have run");
    drop(clients);
    assert_eq!(router.ended().0, Some(0));
    assert!(begun.elapsed() < GENEROUS / 2);
}

/// Idle clients fill what descriptors there are while discovery is down: the discovery service and a first connection to each engine
/// find theirs all the same, and a client that asks is let in.
#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_out_neither_discovery_nor_engine() {
    let engines: Vec<Engine> = ["a", "b", "c", "d", "e", "f"].map(Engine::start).into();
    let discovery = Discovery::start();
    let away = vacant();
    let descriptors = 40;
    // It starts while discovery is down, and knows of no engine.
    let elsewhere = |text: String| text.replace(&discovery.address.to_string(), &away.to_string());
    let router = Router::changed(PROGRAM, &discovery, descriptors, &[], elsewhere);
    let _idle: Vec<Client> = (0..2 * descriptors).map(|_| Client::new(&router)).collect();
    let half: Vec<Client> = (0..descriptors).map(|_| Client::early(&router, &login()[..9])).collect();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    router.reload(&router.configuration(&discovery, "{\"rev\":0,\"notices\":[]}"));
    router.log.wait("is f at", 1);
    let mut asks = Client::new(&router);
    // Some group begins with each of them.
    for group in 0..400 {
        let _ = asks.ask(&request("look", 5000, &format!("x FROM sales_{group}.t")));
        if engines.iter().all(|engine| engine.seen.all().iter().any(|line| line.starts_with("GET"))) {
            break;
        }
    }
    for engine in &engines {
        assert!(engine.seen.all().iter().any(|line| line.starts_with("GET")), "{} had nothing", engine.uid);
    }
    let counters = asks.counters("open", 0);
    assert_eq!((counter(&counters, "descriptors_short"), counter(&counters, "pushes_never_sent")), (0, 0));
    drop(half);
}

/// A new process comes while the one before it still holds the port and has a request open; discovery is down.
#[test]
fn a_restarted_router_is_ready_as_soon_as_the_one_before_it_lets_go_of_the_port() {
    let engine = Engine::start("e");
    let (mut discovery, mut router) = quick(&engine);
    let mut long = Client::new(&router);
    long.send(&request("look", 500, "hold"));
    engine.seen.wait("GET", 1);
    router.fail();
    router.log.wait("stopping", 1);
    discovery.address = vacant();
    let program = std::path::Path::new(PROGRAM);
    let at = (discovery.address, &discovery);
    let next = Router::spawned(router.address, program, at, 256, &[], &[], |text| text);
    next.log.wait("starts, version", 1);
    assert_eq!(router.over(), None, "the one before it still holds the port");
    next.log.wait("listens on", 1);
    assert!(matches!(long.answer(), Answered::Error(1040, _)), "it had its answer from the one before");
    let begun = Instant::now();
    let mut client = Client::new(&next);
    client.stream.write_all(&packet(0, &[0x0e])).unwrap();
    assert_eq!(client.answer(), Answered::Ok);
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert_eq!(router.ended().0, Some(0));
}
