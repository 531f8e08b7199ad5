//! The real program with tenants, between stand-ins.

use cleatgw_testbed::engines::shared_engine::Shared;
use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");
static FILES: AtomicU32 = AtomicU32::new(0);

struct World {
    engine: Shared,
    _discovery: Discovery,
    router: Router,
    file: PathBuf,
}

fn started(text: &str, cores: f64) -> World {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("cleatgw-teams-{}-{number}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let engine = Shared::start("e", cores);
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry()]);
    let names = r#"[{"name":"greedy"},{"name":"modest"}]"#;
    let change = |text: String| {
        text.replace(r#"[{"name":"town"}]"#, names).replace("\"cores-by-kind\":[8]", "\"cores-by-kind\":[2]")
    };
    let arguments = ["--teams", file.to_str().unwrap()];
    let router = Router::changed(PROGRAM, &discovery, 512, &arguments, change);
    World { engine, _discovery: discovery, router, file }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn ask(tenant: &str, work: f64) -> String {
    request("look", 15000, &format!("work {work} FROM sales_1.t")).replacen(
        "op=look",
        &format!("op=look,org={tenant}"),
        1,
    )
}

const TWO: &str = r#"{"teams":[{"name":"greedy","weight":1,"most_queued":20},{"name":"modest","weight":1}]}"#;

fn rows(world: &World) -> String {
    match Client::new(&world.router).ask("SHOW TEAMS") {
        Answered::Rows(rows) => rows.join("\n"),
        other => panic!("{other:?}"),
    }
}

/// Hard case: one tenant sends far more than its share.
#[test]
fn a_greedy_tenant_is_rejected_past_its_line_and_another_one_goes_ahead_of_it() {
    let world = started(TWO, 2.0);
    let mut greedy: Vec<Client> = (0..60).map(|_| Client::new(&world.router)).collect();
    greedy.iter_mut().for_each(|client| client.send(&ask("greedy", 150.0)));
    // Those that found no room in the line are told so; then it is full, and stays so for a second.
    Client::new(&world.router).counters("taken", 60);
    let shown = rows(&world);
    assert!(shown.contains("team greedy") && shown.contains("in line"), "{shown}");
    let mut modest = Client::new(&world.router);
    assert_eq!(modest.ask(&ask("modest", 10.0)), Answered::Rows(vec!["0,one,two".to_string()]));
    // It did not wait for the line ahead of it: most of that is still there.
    let counters = Client::new(&world.router).counters_now();
    assert!(counter(&counters, "turned_back") >= 20, "{counters}");
    assert!(counter(&counters, "open") >= 5, "{counters}");
    let answers: Vec<Answered> = greedy.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|answer| matches!(answer, Answered::Rows(_) | Answered::Error(1040, _))));
}

/// Hard case: an engine is silent while requests wait, and a reload takes a tenant away from them.
#[test]
fn a_reload_that_removes_a_tenant_loses_none_of_its_requests() {
    let world = started(TWO, 2.0);
    world.engine.silent(true);
    let mut waiting: Vec<Client> = (0..15).map(|_| Client::new(&world.router)).collect();
    waiting.iter_mut().for_each(|client| client.send(&ask("greedy", 20.0)));
    Client::new(&world.router).counters("taken", 15);
    std::fs::write(&world.file, r#"{"teams":[{"name":"modest","weight":0}]}"#).unwrap();
    world.router.signal(Signal::HUP);
    world.router.log.wait("the teams file is not applied, the running one stays in effect", 1);
    std::fs::write(&world.file, r#"{"teams":[{"name":"modest","weight":1}]}"#).unwrap();
    world.router.signal(Signal::HUP);
    world.router.log.wait("teams file applied", 1);
    let shown = rows(&world);
    assert!(shown.contains("team others-") && !shown.contains("team greedy"), "{shown}");
    std::thread::sleep(Duration::from_millis(100));
    world.engine.silent(false);
    // Each has one answer, whichever it is.
    assert!(waiting
        .iter_mut()
        .all(|client| matches!(client.answer(), Answered::Rows(_) | Answered::Error(..))));
    Client::new(&world.router).counters("open", 0);
}

#[test]
fn without_a_tenants_file_there_are_no_tenants_to_show() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let router = Router::with(PROGRAM, &discovery, 256, &[]);
    let answer = Client::new(&router).ask("SHOW TEAMS");
    assert!(
        matches!(&answer, Answered::Error(1064, words) if words.contains("nothing of the kind")),
        "{answer:?}"
    );
}
