//! Sizes that the operators name, on the real program: lists of 1,024, memory and descriptors by need, input past a bound
//! refused by its name, and few descriptors under idle clients.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
const MANY: usize = 1024;
/// The longest line of a list that every router takes, however little memory it has.
const LINE: usize = 1024 * 1024;

fn row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// So many entries, all of which lead to one engine, each filled up to so many bytes.
fn entries(engine: &Engine, count: usize, each: usize) -> Vec<String> {
    let named = |name: &str| Engine { uid: name.to_string(), ..engine.clone() }.entry("ready");
    let one = |at| {
        let bare = named(&format!("{at:04}")).len();
        named(&format!("{at:04}{}", "x".repeat(each.saturating_sub(bare))))
    };
    (0..count).map(one).collect()
}

fn sized(text: String, routers: usize, memory: usize) -> String {
    let text = text.replace("\"balancers\":1,", &format!("\"balancers\":{routers},"));
    text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory}"))
}

fn serves(router: &Router, engine: &Engine, groups: usize) {
    let mut client = Client::new(router);
    for group in 0..groups {
        assert_eq!(client.ask(&request("look", 5000, &format!("x FROM sales_{group}.t"))), row());
    }
    assert_eq!(engine.seen.wait("GET", groups).len(), groups);
}

#[test]
fn a_list_of_1024_engines_is_taken_and_served_among_1024_routers_from_the_watch_and_from_the_file() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    // The least memory that a configuration states, and the longest line.
    let little = |text| sized(text, MANY, 1);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], little);
    let list = entries(&engine, MANY, 1000);
    let length: usize = list.iter().map(String::len).sum();
    assert!(length > LINE * 9 / 10 && length < LINE, "{length} bytes");
    discovery.tell(true, &list);
    let mut client = Client::new(&router);
    client.counters("board_events", 1);
    serves(&router, &engine, 40);
    let told = Router::changed(PROGRAM, &discovery, 256, &[], little);
    engine.seen.forget();
    serves(&told, &engine, 40);
}

/// What a process holds: threads, descriptors, and memory that is in use (KiB).
fn holds(router: &Router) -> (usize, usize, u64) {
    let at = |what: &str| format!("/proc/{}/{what}", router.process());
    let count = |what| std::fs::read_dir(at(what)).unwrap().count();
    let status = std::fs::read_to_string(at("status")).unwrap();
    let used = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let used = used.trim().split(' ').next().unwrap().parse().unwrap();
    (count("task"), count("fd"), used)
}

#[test]
fn threads_descriptors_and_memory_do_not_grow_with_what_is_stated() {
    let engine = Engine::start("e");
    let of = |engines: usize, routers: usize, stated: u32| {
        let discovery = Discovery::start();
        discovery.tell(true, &entries(&engine, engines, 200));
        let states = |text: String| {
            sized(text, routers, 100 * routers).replace("\"sockets\":256", &format!("\"sockets\":{stated}"))
        };
        let router = Router::changed(PROGRAM, &discovery, 256, &[], states);
        let mut client = Client::new(&router);
        client.counters("open", 0);
        holds(&router)
    };
    let (few, many) = (of(8, 1, 64), of(MANY, MANY, 65536));
    assert_eq!((few.0, few.1), (many.0, many.1), "threads and descriptors");
    // The list itself, as it was read and as it is kept.
    assert!(many.2 < few.2 + 16 * 1024, "{} KiB with few, {} with many", few.2, many.2);
}

#[test]
fn a_list_past_its_bound_is_refused_by_the_bounds_name_and_the_one_before_it_is_served() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], |text| sized(text, 1, 1));
    let mut client = Client::new(&router);
    assert_eq!(client.ask(&request("look", 5000, "x")), row());
    discovery.tell(true, &entries(&engine, MANY + 100, 1000));
    let told = router.log.wait("discovery service lost", 1).pop().unwrap();
    assert!(told.contains(&format!("a line of more than {LINE} bytes")), "{told}");
    // Asked again and again, it has nothing else to say.
    discovery.seen.wait("watch 1", 3);
    assert_eq!(client.ask(&request("look", 5000, "x")), row());
    let counters = client.counters("open", 0);
    assert_eq!((counter(&counters, "board_events"), counter(&counters, "panics")), (0, 0));
    // Another one is taken.
    let sound = Discovery::start();
    sound.tell(true, &[engine.entry("ready")]);
    sound.tell(false, &[Engine { uid: "second".to_string(), ..engine.clone() }.entry("ready")]);
    router.reload(&router.configuration(&sound, r#"{"rev":1,"notices":[]}"#));
    router.log.wait("is second", 1);
    assert_eq!(client.ask(&request("look", 5000, "x")), row());
}

#[test]
fn settings_past_a_bound_are_refused_by_its_name_and_those_before_are_served() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    let good = router.configuration(&discovery, r#"{"rev":1,"notices":[]}"#);
    let tenants = vec![r#"{"name":"t"}"#; 10_001].join(",");
    let bad = good.replace(r#""tenants":[{"name":"town"}]"#, &format!(r#""tenants":[{tenants}]"#));
    assert_ne!(bad, good);
    router.reload(&bad);
    let told = router
        .log
        .wait("the configuration is not applied, the running one stays in effect", 1)
        .pop()
        .unwrap();
    assert!(told.contains("field settings: setting tenants.count: expected 0 to 10000, got 10001"), "{told}");
    assert_eq!(client.ask(&request("look", 5000, "x")), row());
    client.counters("reloads_refused", 1);
}

#[test]
fn settings_that_contradict_each_other_are_named_by_their_fields_and_the_router_serves() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let contradictory = |text: String| {
        text.replace("\"parallelism\":[1,1,1]", "\"parallelism\":[1,1]")
            .replace("\"shapes\":[\"std\"]", "\"shapes\":[\"std\",\"big\"]")
            .replace("\"name\":\"load\"", "\"name\":\"look\",\"confined-to\":[\"west\"]")
            .replace("\"objective-us\":1000000", "\"objective-us\":30000000")
            .replace("\"balancers\":1,", "\"balancers\":3,\"self-index\":3,")
    };
    let router = Router::changed(PROGRAM, &discovery, 256, &[], contradictory);
    assert_eq!(Client::new(&router).ask(&request("look", 5000, "x")), row());
    let file = std::env::temp_dir().join(format!("cleatgw-{}-contradictory.json", std::process::id()));
    std::fs::write(&file, contradictory(router.configuration(&discovery, "{}"))).unwrap();
    let check = Command::new(PROGRAM).arg("check").arg(&file).output().unwrap();
    std::fs::remove_file(file).unwrap();
    assert!(check.status.success());
    let checked = String::from_utf8(check.stderr).unwrap();
    let expected = [
        "setting family-info.parallelism: expected 3 values, one for each of categories, got 2",
        "setting family-info.cores-by-kind: expected 2 values, one for each of shapes, got 1",
        "setting family-info.ram-of-kind-mb: expected 2 values, one for each of shapes, got 1",
        "setting categories.1.name: expected a unique name, got the name of categories.0",
        "setting categories.0.objective-us: expected at most categories.0.hard-limit-us (20000000), got 30000000",
        "setting categories.1.confined-to: expected names of zones, got \"west\"",
        "setting categories.1.objective-us: expected at most categories.1.hard-limit-us (20000000), got 30000000",
        "setting categories.2.objective-us: expected at most categories.2.hard-limit-us (20000000), got 30000000",
        "setting self-index: expected less than balancers (3), got 3",
    ];
    for words in expected {
        router.log.wait(&format!("configuration: contradictory {words}"), 1);
        assert!(checked.contains(&format!("contradictory {words}\n")), "{checked}");
    }
    let told = router.log.all().iter().filter(|line| line.contains("contradictory")).count();
    assert_eq!((told, checked.lines().count()), (expected.len(), expected.len()));
}

/// Idle clients, half logins and waiting pings: connects until the descriptors are used up, again and again.
fn crowds(address: SocketAddr, over: &AtomicBool, came: &AtomicU64) {
    let mut held = Vec::new();
    while !over.load(Relaxed) {
        if let Ok(mut stream) = std::net::TcpStream::connect(address) {
            let said = match held.len() % 3 {
                0 => login(),
                1 => login()[..9].to_vec(),
                _ => [login(), packet(0, &[0x0e])].concat(),
            };
            came.fetch_add(u64::from(stream.write_all(&said).is_ok()), Relaxed);
            held.push(stream);
        }
        if held.len() > 200 {
            held.drain(..100);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The system allows few descriptors, the configuration states many, discovery is down, and idle clients take all that they
/// can get from before the router's start on.
#[test]
fn a_restarted_router_with_few_descriptors_under_idle_clients_is_ready_in_time_while_discovery_is_down() {
    let engine = Engine::start("e");
    let mut discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    discovery.address = vacant();
    let descriptors = 24;
    let (address, over, came) = (vacant(), AtomicBool::new(false), AtomicU64::new(0));
    let states = |text: String| text.replace(&format!("\"sockets\":{descriptors}"), "\"sockets\":65536");
    std::thread::scope(|scope| {
        let _ends = Ends(&over);
        scope.spawn(|| crowds(address, &over, &came));
        for incarnation in 0..5 {
            let before = came.load(Relaxed);
            let begun = Instant::now();
            let at = (discovery.address, &discovery);
            let router = Router::spawned(address, Path::new(PROGRAM), at, descriptors, &[], &[], states);
            router.log.wait("listens on", 1);
            let limits = std::fs::read_to_string(format!("/proc/{}/limits", router.process())).unwrap();
            let allowed = limits.lines().find(|line| line.starts_with("Max open files")).unwrap();
            assert!(allowed.split_whitespace().nth(3) == Some("24"), "{allowed}");
            while !pings(address) {
                assert!(begun.elapsed() < Duration::from_secs(10), "life {incarnation}: not ready");
            }
            assert!(
                begun.elapsed() < Duration::from_secs(10),
                "life {incarnation}: ready after {:?}",
                begun.elapsed()
            );
            // As many as there is room for, and more.
            while came.load(Relaxed) < before + 60 {
                assert!(begun.elapsed() < GENEROUS, "no crowd");
                std::thread::sleep(Duration::from_millis(1));
            }
            let counters = asked(address, || request("look", 5000, "x"));
            let closed = counter(&counters, "sessions_closed_for_room");
            assert!(closed > 0, "life {incarnation}: the crowd did not fill it: {counters}");
            router.signal(Signal::KILL);
        }
    });
}

/// One that looks whether the router is ready.
fn pings(address: SocketAddr) -> bool {
    let Ok(mut client) = Client::at(address) else { return false };
    client.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    client.stream.write_all(&packet(0, &[0x0e])).is_ok() && client.try_answer() == Some(Answered::Ok)
}

/// A client asks and is answered; one that is shut before it has asked comes again. The counters as it sees them.
fn asked(address: SocketAddr, text: impl Fn() -> String) -> String {
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < GENEROUS, "nobody is let in");
        let Ok(mut client) = Client::at(address) else { continue };
        if client.try_send(&text()) && client.try_answer() == Some(row()) {
            return client.counters_now();
        }
    }
}

/// Ends the crowd, also where the test fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}
