//! The real program between small stand-ins, one story for each thing that must hold.

use cleatgw_testbed::stand_ins::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

const DESCRIPTORS: u32 = 256;
const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// A discovery service that lists these engines, and a router on it.
fn started(engines: &[&Engine]) -> (Discovery, Router) {
    limited(engines, DESCRIPTORS)
}

/// The same, with so many descriptors.
fn limited(engines: &[&Engine], descriptors: u32) -> (Discovery, Router) {
    let discovery = Discovery::start();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("ready")).collect();
    discovery.tell(true, &entries);
    let router = Router::with(PROGRAM, &discovery, descriptors, &[]);
    (discovery, router)
}

fn rows(count: usize) -> Answered {
    Answered::Rows((0..count).map(|page| format!("{page},one,two")).collect())
}

#[test]
fn login_and_first_query_before_the_greeting_and_a_result_of_many_pages() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let first = request("look", 5000, "pages 8 FROM sales_17.t");
    let mut client = Client::early(&router, &[login(), query(&first)].concat());
    assert_eq!((client.answer(), client.answer()), (Answered::Ok, rows(8)));
    let get = engine.seen.wait("GET", 1).pop().unwrap();
    assert!(get.contains("queue=look,budget=") && get.ends_with(": pages 8 FROM sales_17.t"), "{get}");
    // The pages were asked for without waiting, and closed.
    engine.seen.wait("CLOSE", 1);
    assert_eq!(engine.seen.wait("PAGE", 7).len(), 7);
    assert_eq!(client.ask(&request("look", 5000, "pages 1")), rows(1));
}

#[test]
fn packets_in_single_bytes_and_several_in_one_write() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::early(&router, &[]);
    for byte in [login(), query(&request("look", 5000, "x"))].concat() {
        client.stream.write_all(&[byte]).unwrap();
    }
    assert_eq!((client.answer(), client.answer()), (Answered::Ok, rows(1)));
    let joined =
        [query("SET NAMES utf8mb4"), packet(0, &[0x0e]), query(&request("look", 5000, "x")), packet(0, &[1])];
    client.stream.write_all(&joined.concat()).unwrap();
    assert_eq!((client.answer(), client.answer(), client.answer()), (Answered::Ok, Answered::Ok, rows(1)));
    assert!(client.closed());
}

#[test]
fn what_drivers_ask_at_their_start_and_what_no_request_can_be_made_of() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    assert_eq!(client.ask("SET NAMES utf8mb4"), Answered::Ok);
    for (text, why) in [
        ("SELECT 1 FROM sales_17.t".to_string(), "no fields comment"),
        // No engine made a result for these.
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
        let Answered::Error(_, words) = client.ask(&text) else { panic!("{text} was answered") };
        assert!(words.contains(why), "{words}");
    }
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    let counters = client.counters("delivered", 1);
    assert_eq!((counter(&counters, "taken"), counter(&counters, "unusable")), (1, 9));
}

#[test]
fn malformed_bytes_end_only_their_connection() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut good = Client::new(&router);
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[1, 0, 0, 1, 0], &[0xff, 0xff, 0xff, 1], &packet(5, b"\x03x")]
    {
        let mut bad = Client::early(&router, bytes);
        assert!(matches!(bad.answer(), Answered::Error(..)), "{bytes:?}");
        assert!(bad.closed());
    }
    let mut half = Client::early(&router, &login()[..20]);
    half.stream.shutdown(Shutdown::Both).unwrap();
    assert!(half.closed());
    assert_eq!(good.ask(&request("look", 5000, "x")), rows(1));
    good.counters("sessions_malformed", 4);
}

#[test]
fn a_killed_query_has_its_attempt_given_up_and_its_session_goes_on() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    let text = request("look", 20000, "hold");
    client.send(&text);
    engine.seen.wait("GET", 1);
    let other = Client::new(&router).ask(&text.replace("hold", "x"));
    assert!(matches!(other, Answered::Error(1064, words) if words.contains("an id that is not in use")));
    let mut killer = Client::new(&router);
    assert_eq!(killer.ask(&format!("KILL QUERY {}", client.session)), Answered::Ok);
    engine.seen.wait("DROP", 1);
    assert!(matches!(client.answer(), Answered::Error(1317, _)));
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    client.counters("withdrawn", 1);
}

#[test]
fn a_refused_engine_proves_that_nothing_ran_and_a_reset_does_not() {
    let away = Engine { address: vacant(), ..Engine::start("away") };
    let (discovery, router) = started(&[&away]);
    let mut client = Client::new(&router);
    // A non-idempotent request goes on as nothing ran, and is rejected when no engine can be had.
    assert!(
        matches!(client.ask(&request("once", 1000, "x")), Answered::Error(1040, words) if words.contains("pushback="))
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
fn an_idempotent_request_goes_elsewhere_when_its_engine_resets_is_full_loses_a_page_or_talks_nonsense() {
    for (uid, statement) in
        [("resets", "reset"), ("full", "full"), ("loses", "pages 4"), ("garbage", "garbage")]
    {
        let (bad, good) = (Engine::start(uid), Engine::start("good"));
        let (_discovery, router) = started(&[&bad, &good]);
        let mut client = Client::new(&router);
        let expected = if uid == "loses" { rows(4) } else { rows(1) };
        // Whatever order a group's engines have, some group begins with the bad one.
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
fn an_engine_whose_connection_is_mute_is_connected_to_anew() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    // So heavy that its attempt is waited for long.
    client.send(&request("look", 20000, "mute").replace("work=5.0", "work=4000"));
    engine.seen.wait("PING sign on 0", 1);
    router.log.wait("no answer to a ping", 1);
    let mut other = Client::new(&router);
    assert_eq!(other.ask(&request("load", 15000, "x")), rows(1));
    assert_eq!(engine.seen.wait("GET", 2).iter().filter(|line| line.contains("on 1")).count(), 1);
}

#[test]
fn a_machine_that_vanishes_takes_its_attempts_with_it_and_holds_up_no_other() {
    let vanished = Engine::vanished("v");
    let (discovery, router) = started(&[&vanished]);
    let mut client = Client::new(&router);
    // So heavy that their attempts would be waited for long.
    let heavy = |class: &str| request(class, 20000, "x").replace("work=5.0", "work=4000");
    client.send(&heavy("look"));
    vanished.seen.wait("GET", 1);
    let mut other = Client::new(&router);
    other.send(&heavy("once"));
    vanished.seen.wait("queue=once", 1);
    let good = Engine::start("good");
    discovery.tell(false, &[good.entry("ready")]);
    // What is pure goes elsewhere, what is non-idempotent may have run.
    assert_eq!(client.answer(), rows(1));
    assert!(matches!(other.answer(), Answered::Error(1105, _)));
    router.log.wait("engine unreachable, with 2 attempts", 1);
    let counters = client.counters("open", 0);
    assert_eq!((counter(&counters, "pushes_broken"), counter(&counters, "pushes_timed_out")), (2, 0));
}

#[test]
fn the_discovery_may_drop_talk_nonsense_and_replace_engines_at_their_address() {
    let first = Engine::start("first");
    let (discovery, router) = started(&[&first]);
    let mut client = Client::new(&router);
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    discovery.drop_all();
    // It comes again with the last event that it holds.
    assert_eq!(discovery.seen.wait("watch 1", 2).len(), 2);
    discovery.say("{\"rev\":\n");
    router.log.wait("discovery service lost: malformed", 1);
    discovery.seen.wait("watch 1", 3);
    // The old list stood; now another engine has the old one's address.
    let second = Engine { uid: "second".to_string(), ..first.clone() };
    discovery.tell(false, &[first.entry("gone"), second.entry("ready")]);
    router.log.wait("is second", 1);
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    assert_eq!(first.seen.wait("connection", 2).len(), 2, "it shares no connection with the old one");
}

#[test]
fn clients_that_are_idle_or_read_nothing_hold_up_nobody() {
    let engine = Engine::start("e");
    let (_discovery, router) = limited(&[&engine], 64);
    // More than the descriptors allow: the idle ones make room.
    let mut idle: Vec<Client> = (0..100).map(|_| Client::new(&router)).collect();
    let mut deaf = Client::new(&router);
    let text = request("look", 5000, "pages 8");
    deaf.stream.write_all(&query(&text).repeat(2000)).unwrap_or(());
    assert_eq!(idle.last_mut().unwrap().ask(&request("look", 5000, "x")), rows(1));
    let counters = idle.last_mut().unwrap().counters("open", 0);
    assert!(counter(&counters, "sessions_closed_for_room") > 0);
    assert!(counter(&counters, "descriptors_short") == 0 && counter(&counters, "sessions_open") <= 32);
}

#[test]
fn who_dawdles_is_closed_soon_and_who_asked_once_may_stay() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut stays = Client::new(&router);
    assert_eq!(stays.ask(&request("look", 5000, "x")), rows(1));
    let begun = Instant::now();
    let mut silent = Client::early(&router, &[]);
    let mut half = Client::new(&router);
    half.stream.write_all(&query("SELECT")[..5]).unwrap();
    // A byte now and then keeps nothing open.
    let mut trickles = Client::early(&router, &[]);
    let mut far = trickles.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while far.write_all(&[1]).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    assert!(silent.closed() && half.closed() && trickles.closed());
    assert!(begun.elapsed() < GENEROUS / 2, "{:?}", begun.elapsed());
    assert_eq!(stays.ask(&request("look", 5000, "x")), rows(1));
}

#[test]
fn strangers_that_say_nothing_make_room_before_clients_that_have_asked() {
    let engine = Engine::start("e");
    let (_discovery, router) = limited(&[&engine], 64);
    let mut stay: Vec<Client> = (0..8).map(|_| Client::new(&router)).collect();
    let half = &login()[..9];
    for _ in 0..2 {
        let _silent: Vec<Client> = (0..23).map(|_| Client::early(&router, half)).collect();
        // By now they dawdle.
        std::thread::sleep(Duration::from_millis(700));
        let _more: Vec<Client> = (0..23).map(|_| Client::early(&router, half)).collect();
        for client in &mut stay {
            assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
        }
    }
}

#[test]
fn what_is_asked_while_the_router_stands_still_is_answered_in_its_clients_time() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    router.stop_for(Duration::from_millis(1500), || client.send(&request("look", 2000, "hold")));
    let asked = Instant::now() - Duration::from_millis(1500);
    assert!(matches!(client.answer(), Answered::Error(1040, _)));
    assert!(asked.elapsed() < Duration::from_millis(3000), "{:?}", asked.elapsed());
}

#[test]
fn answers_that_are_read_late_are_whole_all_the_same() {
    let engine = Engine::start("wide");
    let (_discovery, router) = started(&[&engine]);
    let mut slow = Client::new(&router);
    // Several times what the system buffers between the two; the queries wait in turn.
    let text: Vec<Vec<u8>> = (0..300).map(|_| query(&request("look", 30000, "pages 8"))).collect();
    slow.stream.write_all(&text.concat()).unwrap();
    let mut other = Client::new(&router);
    assert!(matches!(other.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let row = |page: usize| format!("{page},{},two", "x".repeat(5900));
    for _ in 0..300 {
        assert!(slow.answer() == Answered::Rows((0..8).map(row).collect()));
    }
}

#[test]
fn running_out_of_descriptors_costs_idle_sessions_only() {
    let engine = Engine::start("e");
    // Fewer than the router's shares for clients and engines and what it needs itself.
    let (_discovery, router) = limited(&[&engine], 20);
    let mut open = Client::new(&router);
    open.send(&request("look", 20000, "hold"));
    engine.seen.wait("GET", 1);
    let mut idle: Vec<Client> = (0..30).map(|_| Client::new(&router)).collect();
    let last = idle.last_mut().unwrap();
    assert_eq!(last.ask(&request("look", 5000, "x")), rows(1));
    assert_eq!(last.ask(&format!("KILL QUERY {}", open.session)), Answered::Ok);
    assert!(matches!(open.answer(), Answered::Error(1317, _)), "it was not closed for room");
    let counters = last.counters("withdrawn", 1);
    assert!(counter(&counters, "sessions_closed_for_room") > 15 && counter(&counters, "turns") < 2000);
}

#[test]
fn a_log_that_nobody_reads_holds_up_nothing() {
    let engine = Engine::start("e");
    let (_discovery, router) = started(&[&engine]);
    let mut client = Client::new(&router);
    let started_at = Instant::now();
    let unread = router.reading.lock().unwrap();
    // Each makes a line of thousands of bytes; a pipe holds few of them.
    let loud = request("look", 50, "x").replace("ttl=50", &format!("ttl={}", "x".repeat(5000)));
    for _ in 0..100 {
        assert!(matches!(client.ask(&loud), Answered::Error(1064, _)));
    }
    assert_eq!(client.ask(&request("look", 5000, "x")), rows(1));
    drop(unread);
    // Told with the first line that gets through again.
    while !router.log.all().iter().any(|line| line.contains("log lines lost")) {
        assert!(started_at.elapsed() < GENEROUS, "not told");
        client.ask(&loud);
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_planned_stop_serves_what_still_comes_and_answers_every_request() {
    let engine = Engine::start("e");
    let (_discovery, mut router) = started(&[&engine]);
    let mut long = Client::new(&router);
    long.send(&request("load", 20000, "hold"));
    engine.seen.wait("GET", 1);
    let mut open = Client::new(&router);
    router.fail();
    router.log.wait("stopping", 1);
    assert_eq!(Client::new(&router).ask(&request("look", 5000, "pages 2")), rows(2));
    assert_eq!(open.ask(&request("look", 5000, "x")), rows(1));
    // Its deadline lies far beyond the end.
    assert!(matches!(long.answer(), Answered::Error(1040, _)));
    let (code, counters) = router.ended();
    assert_eq!(code, Some(0));
    let ends =
        ["delivered", "turned_back", "terminated", "withdrawn", "open"].map(|name| counter(&counters, name));
    assert_eq!((counter(&counters, "taken"), ends), (3, [2, 1, 0, 0, 0]));
}

#[test]
fn a_bad_configuration_is_named_by_its_field_in_one_line() {
    let file = std::env::temp_dir().join(format!("cleatgw-{}-bad.json", std::process::id()));
    let at = |port| ([127, 0, 0, 1], port).into();
    let good = configuration(at(6565), at(9092), r#"{"rev":0,"notices":[]}"#, 64);
    for (was, is, field) in [
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
        let text = good.replace(was, is);
        assert_ne!(text, good, "{was}");
        std::fs::write(&file, text).unwrap();
        for command in [vec!["check"], vec![]] {
            let mut run = Command::new(env!("CARGO_BIN_EXE_cleatgw"));
            let output = run.args(&command).env("BALANCER_CONFIG", &file).output().unwrap();
            let words = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && words.contains(field), "{words}");
            assert_eq!(words.lines().count(), 1, "{words}");
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
fn a_discovery_that_is_away_costs_no_turns() {
    let engine = Engine::start("e");
    let mut discovery = Discovery::start();
    discovery.address = vacant();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, DESCRIPTORS, &[]);
    let mut client = Client::new(&router);
    // Half a second passes while this waits for its deadline.
    assert!(matches!(client.ask(&request("look", 500, "hold")), Answered::Error(1040, _)));
    let turns = counter(&client.counters("turned_back", 1), "turns");
    assert!(turns < 300, "{turns} turns");
}

#[test]
fn a_new_configuration_moves_the_discovery_and_one_that_is_no_use_changes_nothing() {
    let (first, second, third) = (Engine::start("first"), Engine::start("second"), Engine::start("third"));
    let (old, mut router) = started(&[&first]);
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
    // An event that is newer is taken from the file, one behind a gap is left to the discovery service.
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
    // While stopping too; the request that was open all along has its answer.
    router.fail();
    router.log.wait("stopping", 1);
    router.reload(&text);
    assert!(matches!(client.answer(), Answered::Error(1040, _)));
    let (code, counters) = router.ended();
    assert_eq!((code, counter(&counters, "reloads"), counter(&counters, "reloads_refused")), (Some(0), 6, 3));
}
