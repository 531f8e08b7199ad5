//! Compares the tables that `SHOW` answers, with each number replaced by `#`, with golden tables written by the version
//! before the code was restructured. Operators' programs read these tables.

use cleatgw_testbed::stand_ins::*;
use expect_test::expect_file;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatgw");

const SERVICE: &str = r#"{
  "bgp": {"asn": 64512, "identifier": "192.0.2.11", "peers": [
    {"name": "tor-a", "address": "127.0.0.1:9", "asn": 64500, "hold_s": 9, "next_hop_ipv4": "192.0.2.11"}
  ]},
  "addresses": ["198.51.100.7/32"]
}"#;
const TEAMS: &str =
    r#"{"teams": [{"name": "greedy", "weight": 1, "most_queued": 20}, {"name": "modest", "weight": 1}]}"#;

/// Replaces each run of digits by `#`, a decimal number by one `#` (so that two numbers joined by a point, as in an
/// address, become one `#` as well), and the states of a BGP session that is not established by `STATE`.
fn normalized(table: &str) -> String {
    let mut text = String::new();
    for character in table.chars() {
        match character {
            '0'..='9' if text.ends_with('#') => {}
            '0'..='9' => text.push('#'),
            other => text.push(other),
        }
    }
    // A session whose peer does not answer changes between these states all the time.
    let with_state = ["Idle", "Connect", "Active"]
        .iter()
        .fold(text, |text, state| text.replace(&format!(",{state},"), ",STATE,"));
    with_state.replace("#.#", "#")
}

/// The rows that `SHOW` answers for the topic, one a line, or the error in its debug form.
fn show(router: &Router, topic: &str) -> String {
    match Client::new(router).ask(&format!("SHOW {topic}")) {
        Answered::Rows(rows) => rows.join("\n"),
        other => format!("{other:?}"),
    }
}

fn write_file(folder: &std::path::Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the test owns the folder");
    path
}

#[test]
fn tables_of_every_topic_match_those_of_the_former_version() {
    let folder = std::env::temp_dir().join(format!("cleatgw-golden-status-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test creates its folder");
    let address = vacant();
    let cluster = format!(
        r#"{{"name": "golden", "routers": [{{"name": "n1", "address": "{address}"}}, {{"name": "n2", "address": "127.0.0.1:9"}}],
            "networks": ["127.0.0.0/8"], "duties": ["nightly"]}}"#
    );
    let store = format!(r#"{{"path": "{}"}}"#, folder.join("kept.redb").display());
    let files = [
        ("--service", write_file(&folder, "service.json", SERVICE)),
        ("--teams", write_file(&folder, "teams.json", TEAMS)),
        ("--cluster", write_file(&folder, "cluster.json", &cluster)),
        ("--store", write_file(&folder, "store.json", &store)),
    ];
    let arguments: Vec<&str> = files
        .iter()
        .flat_map(|(option, path)| [*option, path.to_str().expect("the path is UTF-8")])
        .collect();
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let names = r#"[{"name":"greedy"},{"name":"modest"}]"#;
    let router = Router::changed(PROGRAM, &discovery, 512, &arguments, |text| {
        text.replace(r#"[{"name":"town"}]"#, names)
    });
    Client::new(&router).ask(&request("look", 5000, "x"));
    // Wait until the store has a full snapshot, and no row of the cluster says `just` (as in `just started`).
    let begun = Instant::now();
    while !show(&router, "STORE").contains("full") || show(&router, "CLUSTER").contains("just") {
        assert!(
            begun.elapsed() < Duration::from_secs(30),
            "the store and the cluster did not settle within 30 s"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    // The golden row of the service address says `announced`. By default the address reaches that level only after a
    // start delay of 1 s, random delays of up to 5 s and 5 s at the depreferred level, which may take longer than the
    // wait above.
    std::thread::sleep(Duration::from_secs(3));
    let mut text = String::new();
    for topic in ["TEAMS", "CLUSTER", "DUTIES", "STORE", "ANNOUNCEMENTS"] {
        text += &format!("{topic}\n{}\n\n", show(&router, topic));
    }
    let text = normalized(&text.replace(folder.to_str().expect("the path is UTF-8"), "FOLDER"));
    expect_file!["golden/status.txt"].assert_eq(&text);
    let without_files = Router::with(PROGRAM, &discovery, 256, &[]);
    for topic in ["TEAMS", "CLUSTER", "DUTIES", "STORE", "ANNOUNCEMENTS"] {
        let answer = show(&without_files, topic);
        assert!(answer.contains("there is nothing of the kind here"), "{topic}: {answer}");
    }
    std::fs::remove_dir_all(folder).expect("the test owns the folder");
}
