//! Runs the router program with a file of tenants between simulated engines and clients, and checks how tenants share
//! the engines, what a reload of the file does, and what `SHOW TEAMS` answers.

use cleatgw_testbed::engines::shared_engine::Shared;
use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
/// How many tenant files this process has written; it numbers their names.
static FILES: AtomicU32 = AtomicU32::new(0);

/// One engine, a discovery service that lists it, and a router with a file of tenants. The file is removed on drop.
struct Fixture {
    engine: Shared,
    _discovery: Discovery,
    router: Router,
    file: PathBuf,
}

/// Starts an engine with `cores` cores, a discovery service that lists it, and a router with `text` as its file of
/// tenants.
fn start(text: &str, cores: f64) -> Fixture {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("cleatgw-teams-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let engine = Shared::start("e", cores);
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry()]);
    let names = r#"[{"name":"greedy"},{"name":"modest"}]"#;
    let change = |text: String| {
        let with_tenants = text.replace(r#"[{"name":"town"}]"#, names);
        assert_ne!(with_tenants, text);
        let changed =
            with_tenants.replace("\"cores-by-kind\":[8]", &format!("\"cores-by-kind\":[{cores:.0}]"));
        assert_ne!(changed, with_tenants);
        changed
    };
    let arguments = ["--teams", file.to_str().unwrap()];
    let router = Router::changed(PROGRAM, &discovery, 512, &arguments, change);
    Fixture { engine, _discovery: discovery, router, file }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A request of the tenant that is `work` milliseconds of work for the engine.
fn tenant_request(tenant: &str, work: f64) -> String {
    request("look", 15000, &format!("work {work} FROM sales_1.t")).replacen(
        "op=look",
        &format!("op=look,org={tenant}"),
        1,
    )
}

const TWO_TENANTS: &str =
    r#"{"teams":[{"name":"greedy","weight":1,"most_queued":20},{"name":"modest","weight":1}]}"#;

/// The rows of `SHOW TEAMS`, one a line.
fn show_teams(fixture: &Fixture) -> String {
    match Client::new(&fixture.router).ask("SHOW TEAMS") {
        Answered::Rows(rows) => rows.join("\n"),
        other => panic!("{other:?}"),
    }
}

/// Hard case: one tenant sends far more than its share.
#[test]
fn a_tenant_over_its_share_is_rejected_past_its_queue_limit_and_another_one_is_served_first() {
    let fixture = start(TWO_TENANTS, 2.0);
    let mut greedy: Vec<Client> = (0..60).map(|_| Client::new(&fixture.router)).collect();
    greedy.iter_mut().for_each(|client| client.send(&tenant_request("greedy", 150.0)));
    // Requests beyond the queue's limit are rejected at once. The queue is then full, and stays full for a second.
    Client::new(&fixture.router).counters("taken", 60);
    let shown = show_teams(&fixture);
    assert!(shown.contains("team greedy") && shown.contains("in line"), "{shown}");
    let mut modest = Client::new(&fixture.router);
    assert_eq!(modest.ask(&tenant_request("modest", 10.0)), Answered::Rows(vec!["0,one,two".to_string()]));
    // The request did not wait for the queue of the other tenant: at least 5 of its requests are still open.
    let counters = Client::new(&fixture.router).counters_now();
    assert!(counter(&counters, "turned_back") >= 20, "{counters}");
    assert!(counter(&counters, "open") >= 5, "{counters}");
    let answers: Vec<Answered> = greedy.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|answer| matches!(answer, Answered::Rows(_) | Answered::Error(1040, _))));
}

/// Hard case: the engine does not answer while requests wait, and a reload removes the tenant of those requests.
#[test]
fn a_reload_that_removes_a_tenant_loses_none_of_its_requests() {
    let fixture = start(TWO_TENANTS, 2.0);
    fixture.engine.silent(true);
    let mut waiting: Vec<Client> = (0..15).map(|_| Client::new(&fixture.router)).collect();
    waiting.iter_mut().for_each(|client| client.send(&tenant_request("greedy", 20.0)));
    Client::new(&fixture.router).counters("taken", 15);
    std::fs::write(&fixture.file, r#"{"teams":[{"name":"modest","weight":0}]}"#).unwrap();
    fixture.router.signal(Signal::HUP);
    fixture.router.log.wait("the teams file is not applied, the running one stays in effect", 1);
    std::fs::write(&fixture.file, r#"{"teams":[{"name":"modest","weight":1}]}"#).unwrap();
    fixture.router.signal(Signal::HUP);
    fixture.router.log.wait("teams file applied", 1);
    let shown = show_teams(&fixture);
    assert!(shown.contains("team others-") && !shown.contains("team greedy"), "{shown}");
    std::thread::sleep(Duration::from_millis(100));
    fixture.engine.silent(false);
    // Each request gets one answer, either rows or an error.
    assert!(waiting
        .iter_mut()
        .all(|client| matches!(client.answer(), Answered::Rows(_) | Answered::Error(..))));
    Client::new(&fixture.router).counters("open", 0);
}

#[test]
fn without_a_tenants_file_there_are_no_tenants_to_show() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let answer = Client::new(&router).ask("SHOW TEAMS");
    assert!(
        matches!(&answer, Answered::Error(1064, message) if message.contains("nothing of the kind")),
        "{answer:?}"
    );
}
