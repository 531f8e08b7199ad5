//! Cluster files, and what `cleatgw holds` tells.

use std::net::SocketAddr;
use std::process::Command;

/// A cluster file in the form of deploy/cluster.json, with one duty. The routers are n1, n2, ... `listen` is where the
/// router of this file listens, if that is not where the others reach it.
pub fn cluster_file(addresses: &[SocketAddr], listen: Option<SocketAddr>) -> String {
    let routers: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!(r#"{{ "name": "n{}", "address": "{address}" }}"#, index + 1))
        .collect();
    let listen = listen.map_or(String::new(), |listen| format!(r#""listen": "{listen}", "#));
    format!(
        r#"{{ "name": "coimbra", {listen} "routers": [{}], "networks": ["127.0.0.0/8"], "tell_of_engines": true, "duties": ["nightly"],
 "pace": {{ "probe_period_s": 0.4, "round_trip_s": 0.12, "suspicion_s": 1 }} }}"#,
        routers.join(", ")
    )
}

/// What a success of `cleatgw holds` tells.
#[derive(Clone, Debug)]
pub struct Duty {
    pub epoch: u64,
    /// For how many more seconds the router holds the duty, if nothing comes between.
    pub remaining: f64,
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
    Some(Duty { epoch: after("epoch")?.parse().ok()?, remaining: after("for")?.parse().ok()? })
}
