//! Race tests: a client's disconnect, a kill, a signal or a closed connection is forced to arrive between two particular
//! steps of the router. The tests run the real program against stand-ins for clients, engines and the discovery service,
//! which hold messages back until the chosen moment.

use cleatgw_testbed::stand_ins::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// The MySQL command byte of a ping.
const COM_PING: u8 = 0x0e;
/// Error code of a request that was rejected and can be tried again without harm.
const TOO_MANY_CONNECTIONS: u16 = 1040;
/// Error code of a request that failed and may have run.
const UNKNOWN_ERROR: u16 = 1105;
/// Error code of a request that was killed or whose client has left.
const QUERY_INTERRUPTED: u16 = 1317;

/// A router whose discovery service reports no engine yet, so that requests wait.
fn router_without_engines() -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    (discovery, router)
}

fn router_with_engine(engine: &Engine) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    (discovery, router)
}

fn expected_row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// Adds an engine, sends one more request, and returns the statements that the engine received until that request is
/// answered.
fn statements_after_engine_is_added(discovery: &Discovery, router: &Router) -> Vec<String> {
    let engine = Engine::start("e");
    discovery.tell(false, &[engine.entry("ready")]);
    router.log.wait("is e at", 1);
    assert_eq!(Client::new(router).ask(&request("look", 5000, "the last")), expected_row());
    let seen = engine.seen.all();
    seen.iter().filter_map(|line| Some(line.strip_prefix("GET ")?.split_once(": ")?.1.to_string())).collect()
}

#[test]
fn nothing_is_dispatched_for_a_client_that_closed_reset_or_half_closed_while_its_request_waited() {
    let (discovery, router) = router_without_engines();
    let mut closing_client = Client::new(&router);
    closing_client.send(&request("look", 20000, "closed"));
    let mut resetting_client = Client::new(&router);
    // The client does not read the answer to this ping, so that its close sends a TCP reset.
    resetting_client.stream.write_all(&packet(0, &[COM_PING])).unwrap();
    resetting_client.send(&request("look", 20000, "reset"));
    let mut half_closed_client = Client::new(&router);
    half_closed_client.send(&request("look", 20000, "half-closed"));
    let mut observer = Client::new(&router);
    observer.counters("open", 3);
    drop((closing_client, resetting_client));
    half_closed_client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(
        matches!(half_closed_client.answer(), Answered::Error(QUERY_INTERRUPTED, _)),
        "a client that still reads must get the error"
    );
    assert!(half_closed_client.closed());
    observer.counters("withdrawn", 3);
    assert_eq!(statements_after_engine_is_added(&discovery, &router), ["the last"]);
}

#[test]
fn requests_that_a_client_sent_together_before_it_left_are_not_dispatched() {
    let (discovery, router) = router_without_engines();
    let requests: Vec<u8> = (0..20).flat_map(|_| query(&request("look", 20000, "sent and gone"))).collect();
    let mut half_closed_client = Client::early(&router, &[login(), requests.clone()].concat());
    half_closed_client.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(half_closed_client.answer(), Answered::Ok);
    (0..20)
        .for_each(|_| assert!(matches!(half_closed_client.answer(), Answered::Error(QUERY_INTERRUPTED, _))));
    assert!(half_closed_client.closed());
    drop(Client::early(&router, &[login(), requests].concat()));
    let mut observer = Client::new(&router);
    let counters = observer.counters("sessions_open", 1);
    assert_eq!(counter(&counters, "taken"), counter(&counters, "withdrawn"));
    assert_eq!(statements_after_engine_is_added(&discovery, &router), ["the last"]);
}

#[test]
fn a_close_behind_more_bytes_than_the_buffer_holds_is_noticed() {
    let discovery = Discovery::start();
    discovery.tell(true, &[]);
    // With so little memory a session's buffer has its minimum size, 16 KiB.
    let little_memory = |text: String| text.replace("\"memory_mb\":192", "\"memory_mb\":4");
    let router = Router::changed(PROGRAM, &discovery, 256, &[], little_memory);
    let mut client = Client::new(&router);
    client.send(&request("look", 20000, "hidden"));
    let mut observer = Client::new(&router);
    observer.counters("open", 1);
    let later_requests = query(&request("look", 20000, "x")).repeat(400);
    assert!(later_requests.len() > 24 * 1024, "the requests fit into the buffer");
    client.stream.write_all(&later_requests).unwrap();
    drop(client);
    // Neither the first request nor the later ones that are read before the close are dispatched.
    let counters = observer.counters("sessions_open", 1);
    assert_eq!(counter(&counters, "taken"), counter(&counters, "withdrawn"));
    assert_eq!(statements_after_engine_is_added(&discovery, &router), ["the last"]);
}

#[test]
fn the_attempt_of_a_client_that_leaves_is_cancelled_and_not_retried() {
    let engine = Engine::start("e");
    let (_discovery, router) = router_with_engine(&engine);
    let mut client = Client::new(&router);
    client.send(&request("look", 20000, "hold"));
    engine.seen.wait("GET", 1);
    drop(client);
    engine.seen.wait("DROP", 1);
    let mut observer = Client::new(&router);
    let counters = observer.counters("withdrawn", 1);
    assert_eq!((counter(&counters, "pushes"), counter(&counters, "open")), (1, 0));
}

/// A kill and its target query arrive in the same turn of the event loop, in either order, because the router process is
/// stopped while both are sent.
#[test]
fn a_kill_ends_the_query_that_is_read_in_the_same_turn_in_either_order() {
    let engine = Engine::start("e");
    for kill_first in [false, true] {
        let (_discovery, router) = router_with_engine(&engine);
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
        assert!(matches!(target.answer(), Answered::Error(QUERY_INTERRUPTED, _)));
        assert_eq!(target.ask(&request("look", 5000, "x")), expected_row());
    }
    assert!(!engine.seen.all().iter().any(|line| line.contains("killed")));
}

/// So many packets precede the query that it is not read in the same turn as the kill.
#[test]
fn a_kill_ends_a_query_that_waits_behind_other_packets() {
    let engine = Engine::start("e");
    let (_discovery, router) = router_with_engine(&engine);
    let mut target = Client::new(&router);
    let mut killer = Client::new(&router);
    let pings = 20;
    let sent = [packet(0, &[COM_PING]).repeat(pings), query(&request("look", 20000, "killed"))].concat();
    router.stop_for(Duration::ZERO, || {
        target.stream.write_all(&sent).unwrap();
        killer.send(&format!("KILL QUERY {}", target.session));
    });
    assert_eq!(killer.answer(), Answered::Ok);
    (0..pings).for_each(|_| assert_eq!(target.answer(), Answered::Ok));
    assert!(matches!(target.answer(), Answered::Error(QUERY_INTERRUPTED, _)));
    assert!(!engine.seen.all().iter().any(|line| line.contains("killed")));
}

/// A router whose requests take at most half a second, so that its drain is short.
fn router_with_short_limit(engine: &Engine) -> (Discovery, Router) {
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let shorten_limit = |text: String| text.replace("\"hard-limit-us\":20000000", "\"hard-limit-us\":500000");
    let router = Router::changed(PROGRAM, &discovery, 256, &[], shorten_limit);
    (discovery, router)
}

#[test]
fn a_drain_answers_requests_queued_behind_the_last_one_and_closes_every_session_cleanly() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = router_with_short_limit(&engine);
    let mut idle_client = Client::new(&router);
    let mut asking_client = Client::new(&router);
    let queued = 20;
    let requests: Vec<u8> = (0..=queued).flat_map(|_| query(&request("look", 500, "hold"))).collect();
    asking_client.stream.write_all(&requests).unwrap();
    engine.seen.wait("GET", 1);
    // `fail` sends SIGTERM.
    router.fail();
    for index in 0..=queued {
        let answer = asking_client.try_answer();
        assert!(
            matches!(answer, Some(Answered::Error(TOO_MANY_CONNECTIONS, _))),
            "request {index}: {answer:?}"
        );
    }
    // Both sessions end with a regular close instead of a reset.
    let mut byte = [0];
    assert_eq!(idle_client.stream.read(&mut byte).unwrap(), 0);
    assert_eq!(asking_client.stream.read(&mut byte).unwrap(), 0);
    let start = Instant::now();
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "open")), (Some(0), 0));
    // Neither client closes its side: the router waits for them without running turns continuously.
    assert!(start.elapsed() < Duration::from_secs(5));
    assert!(counter(&counters, "turns") < 1500, "{counters}");
    drop((idle_client, asking_client));
}

/// The stop signal, sent twice, the reload signal and a new request arrive in one turn. The engine's answer to that
/// request still has to reach the client.
#[test]
fn a_stop_and_a_new_configuration_in_one_turn_lose_nothing() {
    let engine = Engine::start("e");
    let (discovery, mut router) = router_with_short_limit(&engine);
    let mut asking_client = Client::new(&router);
    let text = router.configuration(&discovery, "{\"rev\":1,\"notices\":[]}");
    router.stop_for(Duration::ZERO, || {
        router.fail();
        router.reload(&text);
        router.fail();
        asking_client.send(&request("look", 500, "x"));
    });
    assert_eq!(asking_client.answer(), expected_row());
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "reloads"), counter(&counters, "open")), (Some(0), 1, 0));
    assert_eq!((counter(&counters, "taken"), counter(&counters, "delivered")), (1, 1));
}

#[test]
fn a_stop_before_the_first_engine_list_answers_waiting_requests() {
    let discovery = Discovery::start();
    let shorten_limit = |text: String| text.replace("\"hard-limit-us\":20000000", "\"hard-limit-us\":500000");
    let mut router = Router::changed(PROGRAM, &discovery, 256, &[], shorten_limit);
    let mut pinging_client = Client::new(&router);
    pinging_client.stream.write_all(&packet(0, &[COM_PING])).unwrap();
    let mut asking_client = Client::new(&router);
    asking_client.send(&request("once", 500, "x"));
    Client::new(&router).counters("open", 1);
    router.fail();
    assert!(matches!(asking_client.answer(), Answered::Error(TOO_MANY_CONNECTIONS, _)));
    assert!(pinging_client.closed());
    drop((pinging_client, asking_client));
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "turned_back"), counter(&counters, "open")), (Some(0), 1, 0));
}

/// The engine hangs from before the stop until after it, with requests that take longer than the time left.
#[test]
fn an_engine_that_hangs_during_the_whole_drain_leaves_no_request_unanswered() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = router_with_short_limit(&engine);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(&router)).collect();
    for (client, class) in clients.iter_mut().zip(["look", "load", "once"]) {
        client.send(&request(class, 500, "hold"));
    }
    engine.seen.wait("GET", 3);
    let start = Instant::now();
    router.fail();
    assert!(matches!(clients[0].answer(), Answered::Error(TOO_MANY_CONNECTIONS, _)));
    assert!(matches!(clients[1].answer(), Answered::Error(TOO_MANY_CONNECTIONS, _)));
    assert!(
        matches!(clients[2].answer(), Answered::Error(UNKNOWN_ERROR, _)),
        "expected the error for a request that may have run"
    );
    drop(clients);
    assert_eq!(router.ended().0, Some(0));
    assert!(start.elapsed() < GENEROUS / 2);
}

/// Idle clients use up the descriptors while discovery is down. The connection to the discovery service and a first
/// connection to each engine still have to get a descriptor, and a client with a request has to be accepted.
#[test]
fn idle_clients_that_use_up_the_descriptors_while_discovery_is_down_block_neither_discovery_nor_engines() {
    let engines: Vec<Engine> = ["a", "b", "c", "d", "e", "f"].map(Engine::start).into();
    let discovery = Discovery::start();
    let unused_address = vacant();
    let descriptors = 40;
    // The router starts while discovery is down, and knows no engine.
    let unreachable_discovery =
        |text: String| text.replace(&discovery.address.to_string(), &unused_address.to_string());
    let router = Router::changed(PROGRAM, &discovery, descriptors, &[], unreachable_discovery);
    let _idle_clients: Vec<Client> = (0..2 * descriptors).map(|_| Client::new(&router)).collect();
    let incomplete_logins: Vec<Client> =
        (0..descriptors).map(|_| Client::early(&router, &login()[..9])).collect();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    router.reload(&router.configuration(&discovery, "{\"rev\":0,\"notices\":[]}"));
    router.log.wait("is f at", 1);
    let mut asking_client = Client::new(&router);
    // For each engine some table group has it as first choice.
    for group in 0..400 {
        let _ = asking_client.ask(&request("look", 5000, &format!("x FROM sales_{group}.t")));
        if engines.iter().all(|engine| engine.seen.all().iter().any(|line| line.starts_with("GET"))) {
            break;
        }
    }
    for engine in &engines {
        assert!(
            engine.seen.all().iter().any(|line| line.starts_with("GET")),
            "{} received no request",
            engine.uid
        );
    }
    let counters = asking_client.counters("open", 0);
    assert_eq!((counter(&counters, "descriptors_short"), counter(&counters, "pushes_never_sent")), (0, 0));
    drop(incomplete_logins);
}

/// A new process starts while the previous one still holds the port and has an open request, and discovery is down.
#[test]
fn a_restarted_router_is_ready_as_soon_as_the_previous_process_releases_the_port() {
    let engine = Engine::start("e");
    let (mut discovery, mut router) = router_with_short_limit(&engine);
    let mut waiting_client = Client::new(&router);
    waiting_client.send(&request("look", 500, "hold"));
    engine.seen.wait("GET", 1);
    router.fail();
    router.log.wait("stopping", 1);
    discovery.address = vacant();
    let program = std::path::Path::new(PROGRAM);
    let discovery_at = (discovery.address, &discovery);
    let next = Router::spawned(router.address, program, discovery_at, 256, &[], &[], |text| text);
    next.log.wait("starts, version", 1);
    assert_eq!(router.over(), None, "the previous process has ended already");
    next.log.wait("listens on", 1);
    assert!(
        matches!(waiting_client.answer(), Answered::Error(TOO_MANY_CONNECTIONS, _)),
        "no answer from the previous process"
    );
    let start = Instant::now();
    let mut client = Client::new(&next);
    client.stream.write_all(&packet(0, &[COM_PING])).unwrap();
    assert_eq!(client.answer(), Answered::Ok);
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(router.ended().0, Some(0));
}
