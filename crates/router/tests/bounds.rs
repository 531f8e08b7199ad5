//! Runs the real program at the size limits that operators state: lists of 1,024 engines, memory and descriptors used as
//! needed, input beyond a limit refused with the name of that limit, and few descriptors while idle clients connect.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// The MySQL command byte of a ping.
const COM_PING: u8 = 0x0e;
/// Engines in the largest list and routers in the largest configuration that the tests use.
const MAX_LIST_LENGTH: usize = 1024;
/// Length in bytes of the longest engine list line that every router accepts, however little memory it has.
const MAX_LINE_BYTES: usize = 1024 * 1024;

fn expected_row() -> Answered {
    Answered::Rows(vec!["0,one,two".to_string()])
}

/// `count` list entries with different names for the same engine, each padded to `entry_bytes` bytes.
fn padded_entries(engine: &Engine, count: usize, entry_bytes: usize) -> Vec<String> {
    let entry_named = |name: &str| Engine { uid: name.to_string(), ..engine.clone() }.entry("ready");
    let padded_entry = |number| {
        let unpadded_bytes = entry_named(&format!("{number:04}")).len();
        entry_named(&format!("{number:04}{}", "x".repeat(entry_bytes.saturating_sub(unpadded_bytes))))
    };
    (0..count).map(padded_entry).collect()
}

/// Sets the number of routers and the memory in MB in a configuration text.
fn with_routers_and_memory(text: String, routers: usize, memory_mb: usize) -> String {
    let text = text.replace("\"balancers\":1,", &format!("\"balancers\":{routers},"));
    text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
}

/// Asserts that requests for `groups` table groups are answered and each is dispatched to the engine once.
fn assert_serves(router: &Router, engine: &Engine, groups: usize) {
    let mut client = Client::new(router);
    for group in 0..groups {
        assert_eq!(client.ask(&request("look", 5000, &format!("x FROM sales_{group}.t"))), expected_row());
    }
    assert_eq!(engine.seen.wait("GET", groups).len(), groups);
}

#[test]
fn a_list_of_1024_engines_is_accepted_and_served_with_1024_routers_from_the_watch_and_from_the_file() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    // The smallest memory that a configuration can state, with nearly the longest line.
    let smallest_memory = |text| with_routers_and_memory(text, MAX_LIST_LENGTH, 1);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], smallest_memory);
    let list = padded_entries(&engine, MAX_LIST_LENGTH, 1000);
    let length: usize = list.iter().map(String::len).sum();
    assert!(length > MAX_LINE_BYTES * 9 / 10 && length < MAX_LINE_BYTES, "{length} bytes");
    discovery.tell(true, &list);
    let mut client = Client::new(&router);
    client.counters("board_events", 1);
    assert_serves(&router, &engine, 40);
    // The configuration file of a router that starts now states the list that the discovery service has told.
    let second_router = Router::changed(PROGRAM, &discovery, 256, &[], smallest_memory);
    engine.seen.forget();
    assert_serves(&second_router, &engine, 40);
}

/// The router process's number of threads, number of descriptors and resident memory (KiB).
fn process_resources(router: &Router) -> (usize, usize, u64) {
    let proc_path = |name: &str| format!("/proc/{}/{name}", router.process());
    let entry_count = |name| std::fs::read_dir(proc_path(name)).unwrap().count();
    let status = std::fs::read_to_string(proc_path("status")).unwrap();
    let resident_kib = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let resident_kib = resident_kib.trim().split(' ').next().unwrap().parse().unwrap();
    (entry_count("task"), entry_count("fd"), resident_kib)
}

#[test]
fn threads_descriptors_and_memory_do_not_grow_with_the_configured_limits() {
    let engine = Engine::start("e");
    let resources_with = |engines: usize, routers: usize, sockets: u32| {
        let discovery = Discovery::start();
        discovery.tell(true, &padded_entries(&engine, engines, 200));
        let change_text = |text: String| {
            with_routers_and_memory(text, routers, 100 * routers)
                .replace("\"sockets\":256", &format!("\"sockets\":{sockets}"))
        };
        let router = Router::changed(PROGRAM, &discovery, 256, &[], change_text);
        let mut client = Client::new(&router);
        client.counters("open", 0);
        process_resources(&router)
    };
    let (few, many) = (resources_with(8, 1, 64), resources_with(MAX_LIST_LENGTH, MAX_LIST_LENGTH, 65536));
    assert_eq!((few.0, few.1), (many.0, many.1), "threads and descriptors");
    // The allowance of 16 MiB covers the list itself, both as received and as stored.
    assert!(many.2 < few.2 + 16 * 1024, "{} KiB with small limits, {} KiB with large limits", few.2, many.2);
}

#[test]
fn a_list_beyond_its_limit_is_refused_with_the_name_of_the_limit_and_the_previous_list_is_served() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::changed(PROGRAM, &discovery, 256, &[], |text| with_routers_and_memory(text, 1, 1));
    let mut client = Client::new(&router);
    assert_eq!(client.ask(&request("look", 5000, "x")), expected_row());
    discovery.tell(true, &padded_entries(&engine, MAX_LIST_LENGTH + 100, 1000));
    let log_line = router.log.wait("discovery service lost", 1).pop().unwrap();
    assert!(log_line.contains(&format!("a line of more than {MAX_LINE_BYTES} bytes")), "{log_line}");
    // The discovery service answers each repeated watch with the same oversized list.
    discovery.seen.wait("watch 1", 3);
    assert_eq!(client.ask(&request("look", 5000, "x")), expected_row());
    let counters = client.counters("open", 0);
    // No event was applied: the list that is served comes from the configuration file.
    assert_eq!((counter(&counters, "board_events"), counter(&counters, "panics")), (0, 0));
    // A list from another discovery service is accepted.
    let other_discovery = Discovery::start();
    other_discovery.tell(true, &[engine.entry("ready")]);
    other_discovery.tell(false, &[Engine { uid: "second".to_string(), ..engine.clone() }.entry("ready")]);
    router.reload(&router.configuration(&other_discovery, r#"{"rev":1,"notices":[]}"#));
    router.log.wait("is second", 1);
    assert_eq!(client.ask(&request("look", 5000, "x")), expected_row());
}

#[test]
fn settings_beyond_a_limit_are_refused_with_the_name_of_the_setting_and_the_previous_ones_stay_in_use() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let mut client = Client::new(&router);
    let valid = router.configuration(&discovery, r#"{"rev":1,"notices":[]}"#);
    let tenants = vec![r#"{"name":"t"}"#; 10_001].join(",");
    let invalid = valid.replace(r#""tenants":[{"name":"town"}]"#, &format!(r#""tenants":[{tenants}]"#));
    assert_ne!(invalid, valid);
    router.reload(&invalid);
    let log_line = router
        .log
        .wait("the configuration is not applied, the running one stays in effect", 1)
        .pop()
        .unwrap();
    assert!(
        log_line.contains("field settings: setting tenants.count: expected 0 to 10000, got 10001"),
        "{log_line}"
    );
    assert_eq!(client.ask(&request("look", 5000, "x")), expected_row());
    client.counters("reloads_refused", 1);
}

#[test]
fn settings_that_contradict_each_other_are_logged_with_their_field_names_and_the_router_serves() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let make_contradictory = |text: String| {
        text.replace("\"parallelism\":[1,1,1]", "\"parallelism\":[1,1]")
            .replace("\"shapes\":[\"std\"]", "\"shapes\":[\"std\",\"big\"]")
            .replace("\"name\":\"load\"", "\"name\":\"look\",\"confined-to\":[\"west\"]")
            .replace("\"objective-us\":1000000", "\"objective-us\":30000000")
            .replace("\"balancers\":1,", "\"balancers\":3,\"self-index\":3,")
    };
    let router = Router::changed(PROGRAM, &discovery, 256, &[], make_contradictory);
    assert_eq!(Client::new(&router).ask(&request("look", 5000, "x")), expected_row());
    let file = std::env::temp_dir().join(format!("cleatgw-{}-contradictory.json", std::process::id()));
    std::fs::write(&file, make_contradictory(router.configuration(&discovery, "{}"))).unwrap();
    let check = Command::new(PROGRAM).arg("check").arg(&file).output().unwrap();
    std::fs::remove_file(file).unwrap();
    assert!(check.status.success());
    let check_output = String::from_utf8(check.stderr).unwrap();
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
    for message in expected {
        router.log.wait(&format!("configuration: contradictory {message}"), 1);
        assert!(check_output.contains(&format!("contradictory {message}\n")), "{check_output}");
    }
    let logged = router.log.all().iter().filter(|line| line.contains("contradictory")).count();
    assert_eq!((logged, check_output.lines().count()), (expected.len(), expected.len()));
}

/// Opens idle sessions, incomplete logins and sessions with an unread ping reply until `stop` is set, so that the router's
/// descriptors stay used up. Counts in `connected` the connections on which the first bytes could be sent.
fn open_idle_connections(address: SocketAddr, stop: &AtomicBool, connected: &AtomicU64) {
    let mut open_streams = Vec::new();
    while !stop.load(Relaxed) {
        if let Ok(mut stream) = std::net::TcpStream::connect(address) {
            let first_bytes = match open_streams.len() % 3 {
                0 => login(),
                1 => login()[..9].to_vec(),
                _ => [login(), packet(0, &[COM_PING])].concat(),
            };
            connected.fetch_add(u64::from(stream.write_all(&first_bytes).is_ok()), Relaxed);
            open_streams.push(stream);
        }
        if open_streams.len() > 200 {
            open_streams.drain(..100);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The system allows 24 descriptors, the configuration states 65536, discovery is down, and idle clients take all
/// descriptors that they can get, beginning before the router starts.
#[test]
fn a_restarted_router_with_few_descriptors_under_idle_clients_is_ready_in_time_while_discovery_is_down() {
    let engine = Engine::start("e");
    let mut discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    discovery.address = vacant();
    let descriptors = 24;
    let (address, stop, connected) = (vacant(), AtomicBool::new(false), AtomicU64::new(0));
    let state_many_sockets =
        |text: String| text.replace(&format!("\"sockets\":{descriptors}"), "\"sockets\":65536");
    std::thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&stop);
        scope.spawn(|| open_idle_connections(address, &stop, &connected));
        for incarnation in 0..5 {
            let connected_before = connected.load(Relaxed);
            let start = Instant::now();
            let discovery_at = (discovery.address, &discovery);
            let router = Router::spawned(
                address,
                Path::new(PROGRAM),
                discovery_at,
                descriptors,
                &[],
                &[],
                state_many_sockets,
            );
            router.log.wait("listens on", 1);
            let limits = std::fs::read_to_string(format!("/proc/{}/limits", router.process())).unwrap();
            let open_files_limit = limits.lines().find(|line| line.starts_with("Max open files")).unwrap();
            assert!(open_files_limit.split_whitespace().nth(3) == Some("24"), "{open_files_limit}");
            while !answers_ping(address) {
                assert!(
                    start.elapsed() < Duration::from_secs(10),
                    "incarnation {incarnation}: not ready within 10 s"
                );
            }
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "incarnation {incarnation}: ready after {:?}",
                start.elapsed()
            );
            // Wait for more connections than there are descriptors.
            while connected.load(Relaxed) < connected_before + 60 {
                assert!(start.elapsed() < GENEROUS, "fewer than 60 idle clients connected");
                std::thread::sleep(Duration::from_millis(1));
            }
            let counters = counters_after_answer(address, || request("look", 5000, "x"));
            let closed = counter(&counters, "sessions_closed_for_room");
            assert!(
                closed > 0,
                "incarnation {incarnation}: idle clients did not use up the descriptors: {counters}"
            );
            router.signal(Signal::KILL);
        }
    });
}

/// Whether a new session can log in and gets its ping answered.
fn answers_ping(address: SocketAddr) -> bool {
    let Ok(mut client) = Client::at(address) else { return false };
    client.stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    client.stream.write_all(&packet(0, &[COM_PING])).is_ok() && client.try_answer() == Some(Answered::Ok)
}

/// Sends a request, with a new session each time the router closes one before it answers, and returns the counters that
/// the answered session reads.
fn counters_after_answer(address: SocketAddr, request_text: impl Fn() -> String) -> String {
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < GENEROUS, "no session got an answer");
        let Ok(mut client) = Client::at(address) else { continue };
        if client.try_send(&request_text()) && client.try_answer() == Some(expected_row()) {
            return client.counters_now();
        }
    }
}

/// Stops the thread that opens idle connections, also when the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}
