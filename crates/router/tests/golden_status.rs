//! Golden tables: what `SHOW` answers, each number replaced by `#`, as the version before the code was reshaped wrote it.
//! Operators' programs read these tables.

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

/// Each run of digits as `#`, and the states of a session that does not come up as `STATE`.
fn normalized(table: &str) -> String {
    let mut text = String::new();
    for character in table.chars() {
        match character {
            '0'..='9' if text.ends_with('#') => {}
            '0'..='9' => text.push('#'),
            other => text.push(other),
        }
    }
    // The state of a session that no peer answers changes from moment to moment.
    let session = ["Idle", "Connect", "Active"]
        .iter()
        .fold(text, |text, state| text.replace(&format!(",{state},"), ",STATE,"));
    session.replace("#.#", "#")
}

fn shown(router: &Router, topic: &str) -> String {
    match Client::new(router).ask(&format!("SHOW {topic}")) {
        Answered::Rows(rows) => rows.join("\n"),
        other => format!("{other:?}"),
    }
}

fn file(folder: &std::path::Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the folder is ours");
    path
}

#[test]
fn tables_of_every_topic_have_the_words_of_the_former_version() {
    let folder = std::env::temp_dir().join(format!("cleatgw-golden-status-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder of ours");
    let address = vacant();
    let cluster = format!(
        r#"{{"name": "golden", "routers": [{{"name": "n1", "address": "{address}"}}, {{"name": "n2", "address": "127.0.0.1:9"}}],
            "networks": ["127.0.0.0/8"], "duties": ["nightly"]}}"#
    );
    let store = format!(r#"{{"path": "{}"}}"#, folder.join("kept.redb").display());
    let files = [
        ("--service", file(&folder, "service.json", SERVICE)),
        ("--teams", file(&folder, "teams.json", TEAMS)),
        ("--cluster", file(&folder, "cluster.json", &cluster)),
        ("--store", file(&folder, "store.json", &store)),
    ];
    let arguments: Vec<&str> =
        files.iter().flat_map(|(option, path)| [*option, path.to_str().expect("plain text")]).collect();
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let names = r#"[{"name":"greedy"},{"name":"modest"}]"#;
    let router = Router::changed(PROGRAM, &discovery, 512, &arguments, |text| {
        text.replace(r#"[{"name":"town"}]"#, names)
    });
    Client::new(&router).ask(&request("look", 5000, "x"));
    // Until the store and the cluster have come to rest.
    let begun = Instant::now();
    while !shown(&router, "STORE").contains("full") || shown(&router, "CLUSTER").contains("just") {
        assert!(begun.elapsed() < Duration::from_secs(30), "it does not come to rest");
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut text = String::new();
    for topic in ["TEAMS", "CLUSTER", "DUTIES", "STORE", "ANNOUNCEMENTS"] {
        text += &format!("{topic}\n{}\n\n", shown(&router, topic));
    }
    let text = normalized(&text.replace(folder.to_str().expect("plain text"), "FOLDER"));
    expect_file!["golden/status.txt"].assert_eq(&text);
    let none = Router::with(PROGRAM, &discovery, 256, &[]);
    for topic in ["TEAMS", "CLUSTER", "DUTIES", "STORE", "ANNOUNCEMENTS"] {
        let answer = shown(&none, topic);
        assert!(answer.contains("there is nothing of the kind here"), "{topic}: {answer}");
    }
    std::fs::remove_dir_all(folder).expect("it is ours");
}
