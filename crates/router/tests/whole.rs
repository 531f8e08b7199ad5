//! Runs the router program between simulated engines, clients and a discovery service. Each test checks one
//! requirement on the whole program. A turn is one pass of the router's event loop: it reads all ready sources, then
//! processes what it has read as one batch.

use cleatgw_testbed::stand_ins::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

const DESCRIPTORS: u32 = 256;
const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// Starts a discovery service that lists these engines, and a router that uses it.
fn start(engines: &[&Engine]) -> (Discovery, Router) {
    start_with_descriptors(engines, DESCRIPTORS)
}

/// The same, with this limit of file descriptors for the router.
fn start_with_descriptors(engines: &[&Engine], descriptors: u32) -> (Discovery, Router) {
    let discovery = Discovery::start();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    let router = Router::with(PROGRAM, &discovery, descriptors, &[]);
    (discovery, router)
}

/// The answer of an engine to a statement with `count` pages, each of one row.
fn rows(count: usize) -> Answered {
    Answered::Rows((0..count).map(|page| format!("{page},one,two")).collect())
}

#[test]
fn login_and_query_sent_before_the_greeting_get_a_result_of_many_pages() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let first = request("look", 5000, "pages 8 FROM sales_17.t");
    let mut client = Client::early(&router, &[login(), query(&first)].concat());
    assert_eq!((client.answer(), client.answer()), (Answered::Ok, rows(8)));
    let get_line = engine.seen.wait("GET", 1).pop().unwrap();
    assert!(
        get_line.contains("queue=look,budget=") && get_line.ends_with(": pages 8 FROM sales_17.t"),
        "{get_line}"
    );
    // The router requested the pages without waiting for the client to read, and closed the result at the engine.
    engine.seen.wait("CLOSE", 1);
    assert_eq!(engine.seen.wait("PAGE", 7).len(), 7);
    assert_eq!(client.ask(&request("look", 5000, "pages 1")), rows(1));
}

#[test]
fn packets_sent_byte_by_byte_and_several_in_one_write_are_answered() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::early(&router, &[]);
    for byte in [login(), query(&request("look", 5000, "x"))].concat() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!((client.answer(), client.answer()), (Answered::Ok, rows(1)));
    let packets =
        [query("SET NAMES utf8mb4"), packet(0, &[0x0e]), query(&request("look", 5000, "x")), packet(0, &[1])];
    client.stream.write_all(&packets.concat()).unwrap();
    assert_eq!((client.answer(), client.answer(), client.answer()), (Answered::Ok, Answered::Ok, rows(1)));
    assert!(client.closed());
}

#[test]
fn statements_of_drivers_at_startup_and_unusable_queries_are_answered() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    assert_eq!(client.ask("SET NAMES utf8mb4"), Answered::Ok);
    for (text, reason) in [
        ("SELECT 1 FROM sales_17.t".to_string(), "no fields comment"),
        // Drivers send these statements. The router has no result of its own to answer them with, so they get an error.
        ("SELECT 1".to_string(), "no fields comment"),
        ("SELECT @@version_comment LIMIT 1".to_string(), "no fields comment"),
        ("SHOW WARNINGS".to_string(), "no fields comment"),
        (request("lok", 50, "x"), "field op: expected one of look load once"),
        (request("look", 50, "x").replace("ttl=50", "ttl=-1"), "field ttl"),
        (request("look", 50, "x").replace("work=5.0", "work=nan"), "field work"),
        (request("look", 50, "x").replace("ttl=50", "org=nobody,ttl=50"), "field org"),
        (request("load", 50, "x").replace("dedupe=", "dupe="), "field dedupe"),
        ("KILL QUERY 999999".to_string(), "unknown connection id"),
    ] {
        let Answered::Error(_, message) = client.ask(&text) else {
            panic!("{text} was not answered with an error")
        };
        assert!(message.contains(reason), "{message}");
    }
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    let counters = client.counters("delivered", 1);
    assert_eq!((counter(&counters, "taken"), counter(&counters, "unusable")), (1, 9));
}

#[test]
fn malformed_bytes_end_only_the_connection_they_came_on() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut good = Client::new(&router);
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[1, 0, 0, 1, 0], &[0xff, 0xff, 0xff, 1], &packet(5, b"\x03x")]
    {
        let mut bad = Client::early(&router, bytes);
        assert!(matches!(bad.answer(), Answered::Error(..)), "{bytes:?}");
        assert!(bad.closed());
    }
    let mut incomplete = Client::early(&router, &login()[..20]);
    incomplete.stream.shutdown(Shutdown::Both).unwrap();
    assert!(incomplete.closed());
    assert_eq!(good.ask(&request("look", 5000, "x")), rows(1));
    good.counters("sessions_malformed", 4);
}

#[test]
fn a_killed_query_has_its_attempt_dropped_and_its_session_goes_on() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    let text = request("look", 20000, "hold");
    client.send(&text);
    engine.seen.wait("GET", 1);
    let duplicate = Client::new(&router).ask(&text.replace("hold", "x"));
    assert!(
        matches!(duplicate, Answered::Error(1064, message) if message.contains("an id that is not in use"))
    );
    let mut killer = Client::new(&router);
    assert_eq!(killer.ask(&format!("KILL QUERY {}", client.session)), Answered::Ok);
    engine.seen.wait("DROP", 1);
    assert!(matches!(client.answer(), Answered::Error(1317, _)));
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    client.counters("withdrawn", 1);
}

#[test]
fn a_refused_connection_proves_that_nothing_ran_and_a_reset_does_not() {
    let unreachable = Engine { address: vacant(), ..Engine::start("away") };
    let (discovery, router) = start(&[&unreachable]);
    let mut client = Client::new(&router);
    // The refused connection proves that the non-idempotent request did not run, so the router may try it again. It
    // rejects the request when no engine is available.
    assert!(
        matches!(client.ask(&request("once", 1000, "x")), Answered::Error(1040, message) if message.contains("pushback="))
    );
    let resets = Engine::start("resets");
    discovery.tell(true, &[resets.entry("ready")]);
    router.log.wait("is resets", 1);
    assert!(matches!(client.ask(&request("once", 5000, "reset")), Answered::Error(1105, _)));
    assert_eq!(resets.seen.wait("GET", 1).len(), 1);
    let counters = client.counters("terminated", 1);
    assert_eq!((counter(&counters, "turned_back"), counter(&counters, "pushes_broken")), (1, 1));
}

#[test]
fn an_idempotent_request_is_retried_elsewhere_when_its_engine_resets_is_full_loses_a_page_or_answers_garbage()
{
    for (uid, statement) in
        [("resets", "reset"), ("full", "full"), ("loses", "pages 4"), ("garbage", "garbage")]
    {
        let (bad, good) = (Engine::start(uid), Engine::start("good"));
        let (_discovery, router) = start(&[&bad, &good]);
        let mut client = Client::new(&router);
        let expected = if uid == "loses" { rows(4) } else { rows(1) };
        // The order of the engines differs between table groups. For some group the bad engine comes first.
        for group in 0.. {
            let text = format!("{statement} FROM sales_{group}.t");
            assert_eq!(client.ask(&request("look", 5000, &text)), expected, "{uid}");
            if bad.seen.all().iter().any(|line| line.starts_with("GET")) {
                break;
            }
        }
        assert!(good.seen.all().iter().any(|line| line.starts_with("GET")), "{uid}");
    }
}

#[test]
fn an_engine_whose_connection_stops_answering_is_reconnected() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    // Announces so much work that the router waits a long time for the attempt.
    client.send(&request("look", 20000, "mute").replace("work=5.0", "work=4000"));
    engine.seen.wait("PING sign on 0", 1);
    router.log.wait("no answer to a ping", 1);
    let mut other = Client::new(&router);
    assert_eq!(other.ask(&request("load", 15000, "x")), rows(1));
    assert_eq!(engine.seen.wait("GET", 2).iter().filter(|line| line.contains("on 1")).count(), 1);
}

#[test]
fn the_attempts_at_a_machine_that_vanishes_end_early_and_delay_no_other_request() {
    let vanished = Engine::vanished("v");
    let (discovery, router) = start(&[&vanished]);
    let mut client = Client::new(&router);
    // Announces so much work that the router would wait a long time for the attempts.
    let heavy_request = |class: &str| request(class, 20000, "x").replace("work=5.0", "work=4000");
    client.send(&heavy_request("look"));
    vanished.seen.wait("GET", 1);
    let mut other = Client::new(&router);
    other.send(&heavy_request("once"));
    vanished.seen.wait("queue=once", 1);
    let good = Engine::start("good");
    discovery.tell(false, &[good.entry("ready")]);
    // The idempotent request is retried elsewhere. The non-idempotent one may have run, so it gets an error.
    assert_eq!(client.answer(), rows(1));
    assert!(matches!(other.answer(), Answered::Error(1105, _)));
    router.log.wait("engine unreachable, with 2 attempts", 1);
    let counters = client.counters("open", 0);
    assert_eq!((counter(&counters, "pushes_broken"), counter(&counters, "pushes_timed_out")), (2, 0));
}

#[test]
fn the_discovery_service_may_disconnect_send_garbage_and_replace_an_engine_at_its_address() {
    let first = Engine::start("first");
    let (discovery, router) = start(&[&first]);
    let mut client = Client::new(&router);
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    discovery.drop_all();
    // The router connects again, from the last event that it has.
    assert_eq!(discovery.seen.wait("watch 1", 2).len(), 2);
    discovery.say("{\"rev\":\n");
    router.log.wait("discovery service lost: malformed", 1);
    discovery.seen.wait("watch 1", 3);
    // The list from before stayed in effect. Now another engine has the address of the old one.
    let second = Engine { uid: "second".to_string(), ..first.clone() };
    discovery.tell(false, &[first.entry("gone"), second.entry("ready")]);
    router.log.wait("is second", 1);
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    assert_eq!(
        first.seen.wait("connection", 2).len(),
        2,
        "the new engine must not share a connection with the old one"
    );
}

#[test]
fn clients_that_are_idle_or_do_not_read_delay_no_other_client() {
    let engine = Engine::start("e");
    let (_discovery, router) = start_with_descriptors(&[&engine], 64);
    // More sessions than the descriptors allow: idle ones are closed to free descriptors.
    let mut idle: Vec<Client> = (0..100).map(|_| Client::new(&router)).collect();
    let mut not_reading = Client::new(&router);
    let text = request("look", 5000, "pages 8");
    not_reading.stream.write_all(&query(&text).repeat(2000)).unwrap_or(());
    assert_eq!(idle.last_mut().unwrap().ask(&request("look", 5000, "x")), rows(1));
    let counters = idle.last_mut().unwrap().counters("open", 0);
    assert!(counter(&counters, "sessions_closed_for_room") > 0);
    // Client sessions may take half of the 64 descriptors.
    assert!(counter(&counters, "descriptors_short") == 0 && counter(&counters, "sessions_open") <= 32);
}

#[test]
fn a_slow_login_or_packet_is_closed_soon_and_a_session_that_has_sent_a_request_stays() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut stays = Client::new(&router);
    assert_eq!(stays.ask(&request("look", 5000, "x")), rows(1));
    let begun = Instant::now();
    let mut silent = Client::early(&router, &[]);
    let mut incomplete = Client::new(&router);
    incomplete.stream.write_all(&query("SELECT")[..5]).unwrap();
    // A byte every 100 ms does not keep a connection open.
    let mut trickles = Client::early(&router, &[]);
    let mut writer = trickles.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while writer.write_all(&[1]).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    assert!(silent.closed() && incomplete.closed() && trickles.closed());
    assert!(begun.elapsed() < GENEROUS / 2, "{:?}", begun.elapsed());
    assert_eq!(stays.ask(&request("look", 5000, "x")), rows(1));
}

#[test]
fn when_descriptors_run_short_connections_without_a_login_are_closed_before_clients_that_sent_requests() {
    let engine = Engine::start("e");
    let (_discovery, router) = start_with_descriptors(&[&engine], 64);
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&router)).collect();
    let partial_login = &login()[..9];
    for _ in 0..2 {
        let _silent: Vec<Client> = (0..23).map(|_| Client::early(&router, partial_login)).collect();
        // Long enough for the router to count these connections as slow.
        std::thread::sleep(Duration::from_millis(700));
        let _more: Vec<Client> = (0..23).map(|_| Client::early(&router, partial_login)).collect();
        for client in &mut clients {
            assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
        }
    }
}

/// The deadline of 2 s counts from the arrival of the request, not from when the router reads it 1.5 s later. The
/// bound allows 1 s more; a deadline that counted from the reading would pass 3.5 s after the arrival.
#[test]
fn a_request_sent_while_the_router_process_is_stopped_is_answered_soon_after_its_deadline() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    router.stop_for(Duration::from_millis(1500), || client.send(&request("look", 2000, "hold")));
    let sent = Instant::now() - Duration::from_millis(1500);
    assert!(matches!(client.answer(), Answered::Error(1040, _)));
    assert!(sent.elapsed() < Duration::from_millis(3000), "{:?}", sent.elapsed());
}

#[test]
fn answers_that_the_client_reads_late_are_complete() {
    let engine = Engine::start("wide");
    let (_discovery, router) = start(&[&engine]);
    let mut slow = Client::new(&router);
    // The answers are several times what the system buffers between router and client. The queries are run one by one.
    let queries: Vec<Vec<u8>> = (0..300).map(|_| query(&request("look", 30000, "pages 8"))).collect();
    slow.stream.write_all(&queries.concat()).unwrap();
    let mut other = Client::new(&router);
    assert!(matches!(other.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let row = |page: usize| format!("{page},{},two", "x".repeat(5900));
    for _ in 0..300 {
        assert!(slow.answer() == Answered::Rows((0..8).map(row).collect()));
    }
}

#[test]
fn running_out_of_descriptors_closes_idle_sessions_only() {
    let engine = Engine::start("e");
    // Fewer descriptors than the router's shares for clients and engines and its own needs together.
    let (_discovery, router) = start_with_descriptors(&[&engine], 20);
    let mut open = Client::new(&router);
    open.send(&request("look", 20000, "hold"));
    engine.seen.wait("GET", 1);
    let mut idle: Vec<Client> = (0..30).map(|_| Client::new(&router)).collect();
    let last = idle.last_mut().unwrap();
    assert_eq!(last.ask(&request("look", 5000, "x")), rows(1));
    assert_eq!(last.ask(&format!("KILL QUERY {}", open.session)), Answered::Ok);
    assert!(
        matches!(open.answer(), Answered::Error(1317, _)),
        "a session with an open request must not be closed to free descriptors"
    );
    let counters = last.counters("withdrawn", 1);
    assert!(counter(&counters, "sessions_closed_for_room") > 15 && counter(&counters, "turns") < 2000);
}

#[test]
fn a_log_that_nobody_reads_does_not_delay_requests() {
    let engine = Engine::start("e");
    let (_discovery, router) = start(&[&engine]);
    let mut client = Client::new(&router);
    let started_at = Instant::now();
    let log_reader_lock = router.reading.lock().unwrap();
    // Each of these requests causes a log line of thousands of bytes. A pipe holds only a few such lines.
    let long_line_request = request("look", 50, "x").replace("ttl=50", &format!("ttl={}", "x".repeat(5000)));
    for _ in 0..100 {
        assert!(matches!(client.ask(&long_line_request), Answered::Error(1064, _)));
    }
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    drop(log_reader_lock);
    // The loss is logged with the first line that can be written again.
    while !router.log.all().iter().any(|line| line.contains("log lines lost")) {
        assert!(started_at.elapsed() < GENEROUS, "the loss of log lines was not logged");
        client.ask(&long_line_request);
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_planned_stop_serves_requests_that_still_arrive_and_answers_every_request() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = start(&[&engine]);
    let mut long_request = Client::new(&router);
    long_request.send(&request("load", 20000, "hold"));
    engine.seen.wait("GET", 1);
    let mut open = Client::new(&router);
    router.fail();
    router.log.wait("stopping", 1);
    assert_eq!(Client::new(&router).ask(&request("look", 5000, "pages 2")), rows(2));
    assert_eq!(open.ask(&request("look", 5000, "x")), rows(1));
    // The deadline of this request lies far beyond the end of the process.
    assert!(matches!(long_request.answer(), Answered::Error(1040, _)));
    let (code, counters) = router.ended();
    assert_eq!(code, Some(0));
    let outcomes =
        ["delivered", "turned_back", "terminated", "withdrawn", "open"].map(|name| counter(&counters, name));
    assert_eq!((counter(&counters, "taken"), outcomes), (3, [2, 1, 0, 0, 0]));
}

#[test]
fn an_error_in_the_configuration_names_its_field_in_one_line() {
    let file = std::env::temp_dir().join(format!("cleatgw-{}-bad.json", std::process::id()));
    let at = |port| ([127, 0, 0, 1], port).into();
    let good = configuration(at(6565), at(9092), r#"{"rev":0,"notices":[]}"#, 64);
    for (original, replacement, error) in [
        (
            "\"listen\":\"127.0.0.1:6565\"",
            "\"listen\":7",
            "field listen: expected an address and a port, got 7",
        ),
        ("\"sockets\":64", "\"sockets\":\"many\"", "field limits.sockets: expected a number above 0"),
        ("\"notices\":[]", "\"notices\":[{}]", "field known.notices.0.rev: expected a whole number"),
        ("\"gain\":1.0", "\"gain\":\"much\"", "setting categories.0.gain: expected a number"),
        ("\"settings\":", "\"setting\":", "field settings: expected an object"),
        ("{\"name\"", "\"name\"", "expected JSON"),
    ] {
        let text = good.replace(original, replacement);
        assert_ne!(text, good, "{original}");
        std::fs::write(&file, text).unwrap();
        for command in [vec!["check"], vec![]] {
            let mut run = Command::new(env!("CARGO_BIN_EXE_cleatgw"));
            let output = run.args(&command).env("BALANCER_CONFIG", &file).output().unwrap();
            let message = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && message.contains(error), "{message}");
            assert_eq!(message.lines().count(), 1, "{message}");
        }
    }
    std::fs::write(&file, &good).unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_cleatgw")).arg("check").arg(&file).output().unwrap();
    assert!(
        run.status.success()
            && String::from_utf8(run.stdout).unwrap().contains("3 categories (look load once)")
    );
    std::fs::remove_file(file).unwrap();
}

#[test]
fn ping_is_answered_once_engines_are_known() {
    let discovery = Discovery::start();
    let router = Router::with(PROGRAM, &discovery, DESCRIPTORS, &[]);
    let mut client = Client::new(&router);
    client.stream.write_all(&packet(0, &[0x0e])).unwrap();
    let mut byte = [0];
    client.stream.set_nonblocking(true).unwrap();
    assert!(client.stream.read(&mut byte).is_err());
    client.stream.set_nonblocking(false).unwrap();
    discovery.tell(true, &[Engine::start("e").entry("ready")]);
    assert_eq!(client.answer(), Answered::Ok);
}

#[test]
fn an_unreachable_discovery_service_costs_few_turns() {
    let engine = Engine::start("e");
    let mut discovery = Discovery::start();
    discovery.address = vacant();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, DESCRIPTORS, &[]);
    let mut client = Client::new(&router);
    // The request waits half a second until its deadline.
    assert!(matches!(client.ask(&request("look", 500, "hold")), Answered::Error(1040, _)));
    let turns = counter(&client.counters("turned_back", 1), "turns");
    assert!(turns < 300, "{turns} turns");
}

#[test]
fn a_new_configuration_changes_the_discovery_address_and_an_invalid_one_changes_nothing() {
    let (first, second, third) = (Engine::start("first"), Engine::start("second"), Engine::start("third"));
    let (old, mut router) = start(&[&first]);
    let mut client = Client::new(&router);
    client.send(&request("look", 20000, "hold"));
    first.seen.wait("GET", 1);
    for bad in
        ["", "{\"name\":", &router.configuration(&old, "{}").replace("\"gain\":1.0", "\"gain\":\"much\"")]
    {
        router.reload(bad);
        router.log.wait("the configuration is not applied, the running one stays in effect", 1);
        router.log.forget();
    }
    let known = |number, entry| {
        format!(r#"{{"rev":9,"notices":[{{"rev":{number},"pool":{{"all":false,"targets":[{entry}]}}}}]}}"#)
    };
    let new = old.moved();
    // An event that directly follows the last known one is taken from the file. An event behind a gap that is not a
    // complete list is left to the discovery service.
    let text = router.configuration(&new, &known(2, second.entry("ready")));
    old.tell(false, &[second.entry("ready")]);
    router.reload(&text.replace("\"memory_mb\":192", "\"memory_mb\":99"));
    router.log.wait("configuration: limits can't change while running", 1);
    router.log.wait("is second", 1);
    new.seen.wait("watch 2", 1);
    router.reload(&router.configuration(&new, &known(9, first.entry("gone"))));
    new.tell(false, &[first.entry("draining"), third.entry("ready")]);
    router.log.wait("is third", 1);
    assert_eq!(Client::new(&router).ask(&request("look", 5000, "x")), rows(1));
    assert_eq!(first.seen.all().iter().filter(|line| line.starts_with("GET")).count(), 1);
    // A reload works during a stop as well. The request that was open all the time gets its answer.
    router.fail();
    router.log.wait("stopping", 1);
    router.reload(&text);
    assert!(matches!(client.answer(), Answered::Error(1040, _)));
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "reloads"), counter(&counters, "reloads_refused")), (Some(0), 6, 3));
}
