//! Checks that the cost of a configuration change for a router does not grow with the number of engines that it knows.
//! The tests count events instead of measuring time, so that they give the same result on every machine. The router
//! knows hundreds of engines, of which only one exists.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// What the router did because of the reloads, in counts.
#[derive(Debug, PartialEq)]
struct ReloadCosts {
    /// Number of log lines: about engines, about a new discovery service, about a setting that can't change while running,
    /// and about the connection to a discovery service with last event 1.
    lines: [usize; 4],
    /// Calls of the discovery services, without the first call.
    calls: usize,
    /// All connections to the engine since its start, which includes the one opened before the reloads.
    connections: usize,
    attempts: u64,
    sessions: u64,
    links: u64,
    events: u64,
    reloads: u64,
    refused: u64,
}

/// `count` entries of an engine list: the given engine, and draining engines that do not exist.
fn list_entries(engine: &Engine, count: usize) -> Vec<String> {
    let absent_engine = |number: usize| {
        let (host, port) = (number / 250 + 1, number % 250 + 1);
        format!(
            r#"{{"uid":"far{number}","endpoint":"127.0.9.{host}:{port}","az":"east","model":"std","state":"draining"}}"#
        )
    };
    (1..count).map(absent_engine).chain([engine.entry("ready")]).collect()
}

/// The costs of four reloads of a router that knows `count` engines: three without a change, then one with another memory
/// limit and another discovery service.
fn reload_costs(count: usize) -> ReloadCosts {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &list_entries(&engine, count));
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    assert!(matches!(client.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let before = client.counters("delivered", 1);
    // The log drops lines beyond 200 per second. Wait, so that the lines on hundreds of engines at the start do not
    // cause lines of the reloads to be dropped.
    std::thread::sleep(std::time::Duration::from_millis(1200));
    router.log.forget();
    let all_entries = list_entries(&engine, count).join(",");
    let known_engines =
        format!(r#"{{"notices":[{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{all_entries}]}}}}]}}"#);
    let text = router.configuration(&discovery, &known_engines);
    router.reload(&text);
    let reloaded = client.counters("reloads", 1);
    assert_eq!(counter(&reloaded, "reloads_refused"), 0);
    for number in 2..4 {
        router.signal(Signal::HUP);
        client.counters("reloads", number);
    }
    let lines_without_change = router.log.all();
    let is_about_engines_or_settings = |line: &&String| {
        ["engine ", "discovery service", "can't change"].iter().any(|word| line.contains(word))
    };
    assert_eq!(
        lines_without_change.iter().filter(is_about_engines_or_settings).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "lines logged although nothing was changed"
    );
    let moved = discovery.moved();
    router.reload(
        &router.configuration(&moved, &known_engines).replace("\"memory_mb\":192", "\"memory_mb\":99"),
    );
    moved.seen.wait("watch 1", 1);
    router.log.wait("discovery service connected", 1);
    let after = client.counters("reloads", 4);
    let increase = |name: &str| counter(&after, name) - counter(&before, name);
    // The existing session is still served, over the existing connection to the engine.
    assert!(matches!(client.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let lines = router.log.all();
    let lines_with = |text: &str| lines.iter().filter(|line| line.contains(text)).count();
    ReloadCosts {
        lines: ["engine ", "discovery service is", "can't change while running", "connected; last event 1"]
            .map(lines_with),
        calls: discovery.seen.all().len() + moved.seen.all().len() - 1,
        connections: engine.seen.all().iter().filter(|line| line.starts_with("connection")).count(),
        attempts: increase("pushes"),
        sessions: increase("sessions"),
        links: increase("links"),
        events: increase("board_events"),
        reloads: increase("reloads"),
        refused: increase("reloads_refused"),
    }
}

/// Guards against a reload that sets up all engines again, which would add log lines, attempts, connections and calls for
/// each engine.
#[test]
fn a_reload_affects_only_what_was_changed_for_any_number_of_known_engines() {
    let (few, many) = (reload_costs(30), reload_costs(690));
    assert_eq!(few, many, "30 and 690 engines known");
    let expected = ReloadCosts {
        lines: [0, 1, 1, 1],
        calls: 1,
        connections: 1,
        attempts: 0,
        sessions: 0,
        links: 0,
        events: 0,
        reloads: 4,
        refused: 0,
    };
    assert_eq!(many, expected);
}

/// Guards against reloads that pile up: if the configuration file is written several times while the router process is
/// stopped, the router reloads once and applies the last version.
#[test]
fn changes_that_come_while_a_router_is_stopped_are_applied_by_one_reload() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    let discoveries: Vec<Discovery> = (0..20).map(|_| discovery.moved()).collect();
    router.stop_for(std::time::Duration::from_millis(50), || {
        let configuration_with = |discovery| router.configuration(discovery, r#"{"rev":1,"notices":[]}"#);
        discoveries.iter().for_each(|discovery| router.reload(&configuration_with(discovery)));
    });
    let last = discoveries.last().unwrap();
    last.seen.wait("watch 1", 1);
    let counters = client.counters("reloads", 1);
    assert_eq!(counter(&counters, "reloads_refused"), 0);
    assert_eq!(router.log.wait("discovery service is", 1).len(), 1);
    assert!(
        discoveries[..19].iter().all(|discovery| discovery.seen.all().is_empty()),
        "the router called a discovery service of a superseded configuration"
    );
}
