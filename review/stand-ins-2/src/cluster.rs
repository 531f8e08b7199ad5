//! Cluster files, and what `cleatgw holds` tells.

use std::net::SocketAddr;
use std::process::Command;

/// A cluster file in the form of deploy/cluster.json, with one duty. The routers are n1, n2, ...
pub fn cluster_file(addresses: &[SocketAddr]) -> String {
    let routers: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!(r#"{{ "name": "n{}", "address": "{address}" }}"#, index + 1))
        .collect();
    format!(
        r#"{{ "name": "coimbra", "routers": [{}], "networks": ["127.0.0.0/8"], "tell_of_engines": true, "duties": ["nightly"],
 "pace": {{ "probe_period_s": 0.4, "round_trip_s": 0.12, "suspicion_s": 1 }} }}"#,
        routers.join(", ")
    )
}

/// What a success of `cleatgw holds` tells: the epoch, and that the router holds the duty from `from` to `to`, Unix time.
#[derive(Clone, Debug)]
pub struct Duty {
    pub epoch: u64,
    pub from: f64,
    pub to: f64,
    pub text: String,
}

/// Asks a router whether it holds the duty now.
pub fn holds(address: SocketAddr) -> Option<Duty> {
    let output = Command::new("target/release/cleatgw")
        .args(["holds", &address.to_string(), "nightly"])
        .output()
        .ok()?;
    if !output.status.success() {
        return None;
    }
    // `ours  epoch E at UNIX for R s`
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
    let words: Vec<&str> = text.split_whitespace().collect();
    let after = |word: &str| words.iter().position(|known| *known == word).and_then(|at| words.get(at + 1));
    let from: f64 = after("at")?.parse().ok()?;
    let remaining: f64 = after("for")?.parse().ok()?;
    Some(Duty { epoch: after("epoch")?.parse().ok()?, from, to: from + remaining, text: text.clone() })
}
