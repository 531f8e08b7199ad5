//! What a change of configuration costs a router must not grow with what it knows: counts, not clocks, so that every
//! machine gives the same verdict. Engines are known by the hundred and few are there.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

/// What reloads did to a router, in counts.
#[derive(Debug, PartialEq)]
struct Counted {
    /// By each kind of line: how many the log had.
    lines: [usize; 4],
    /// How often the discovery service was called, the first call aside.
    calls: usize,
    connections: usize,
    attempts: u64,
    sessions: u64,
    links: u64,
    events: u64,
    reloads: u64,
    refused: u64,
}

/// A discovery service's entries for so many engines; one alone is there.
fn entries(engine: &Engine, count: usize) -> Vec<String> {
    let far = |at: usize| {
        let (host, port) = (at / 250 + 1, at % 250 + 1);
        format!(
            r#"{{"uid":"far{at}","endpoint":"127.0.9.{host}:{port}","az":"east","model":"std","state":"draining"}}"#
        )
    };
    (1..count).map(far).chain([engine.entry("ready")]).collect()
}

/// Three SIGHUPs without a change, then one for a changed limit and one for another discovery service, with so many engines known.
fn reloads(count: usize) -> Counted {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &entries(&engine, count));
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    assert!(matches!(client.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let before = client.counters("delivered", 1);
    // A log has so many lines a second: those on hundreds of engines at the start are not to hide what comes now.
    std::thread::sleep(std::time::Duration::from_millis(1200));
    router.log.forget();
    let all = entries(&engine, count).join(",");
    let known = format!(r#"{{"notices":[{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{all}]}}}}]}}"#);
    let text = router.configuration(&discovery, &known);
    router.reload(&text);
    let reloaded = client.counters("reloads", 1);
    assert_eq!(counter(&reloaded, "reloads_refused"), 0);
    for number in 2..4 {
        router.signal(Signal::HUP);
        client.counters("reloads", number);
    }
    let at_rest = router.log.all();
    let about = |line: &&String| {
        ["engine ", "discovery service", "can't change"].iter().any(|word| line.contains(word))
    };
    assert_eq!(
        at_rest.iter().filter(about).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "nothing was changed"
    );
    let moved = discovery.moved();
    router.reload(&router.configuration(&moved, &known).replace("\"memory_mb\":192", "\"memory_mb\":99"));
    moved.seen.wait("watch 1", 1);
    router.log.wait("discovery service connected", 1);
    let after = client.counters("reloads", 4);
    let grown = |name: &str| counter(&after, name) - counter(&before, name);
    // The session is still there and is served, on the connection that was there.
    assert!(matches!(client.ask(&request("look", 5000, "x")), Answered::Rows(_)));
    let lines = router.log.all();
    let count_of = |words: &str| lines.iter().filter(|line| line.contains(words)).count();
    Counted {
        lines: ["engine ", "discovery service is", "can't change while running", "connected; last event 1"]
            .map(count_of),
        calls: discovery.seen.all().len() + moved.seen.all().len() - 1,
        connections: engine.seen.all().iter().filter(|line| line.starts_with("connection")).count(),
        attempts: grown("pushes"),
        sessions: grown("sessions"),
        links: grown("links"),
        events: grown("board_events"),
        reloads: grown("reloads"),
        refused: grown("reloads_refused"),
    }
}

/// Guards against a reload that takes all engines anew (lines, attempts, connections and calls by engines).
#[test]
fn a_reload_touches_what_was_changed_whatever_the_number_of_engines_known() {
    let (few, many) = (reloads(30), reloads(690));
    assert_eq!(few, many, "30 and 690 engines known");
    let expected = Counted {
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

/// Guards against reloads that pile up: what one hand writes while a router is away is taken once, the last of it.
#[test]
fn changes_that_come_while_a_router_stands_still_are_put_in_force_by_one_reload() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    let discoveries: Vec<Discovery> = (0..20).map(|_| discovery.moved()).collect();
    router.stop_for(std::time::Duration::from_millis(50), || {
        let text = |discovery| router.configuration(discovery, r#"{"rev":1,"notices":[]}"#);
        discoveries.iter().for_each(|discovery| router.reload(&text(discovery)));
    });
    let last = discoveries.last().unwrap();
    last.seen.wait("watch 1", 1);
    let counters = client.counters("reloads", 1);
    assert_eq!(counter(&counters, "reloads_refused"), 0);
    assert_eq!(router.log.wait("discovery service is", 1).len(), 1);
    assert!(
        discoveries[..19].iter().all(|discovery| discovery.seen.all().is_empty()),
        "one that was passed over was called"
    );
}
