//! What the platform tells a router of the deployment.

use crate::engine::Engine;
use std::net::SocketAddr;

/// The figures in which the deployments of the cases differ.
pub struct Deployment {
    pub routers: usize,
    /// JSON of the request classes.
    pub categories: String,
    /// For each class: threads, and whether it is a load.
    pub threads: &'static str,
    pub is_load: &'static str,
    pub yields: &'static str,
    pub cancel: bool,
    pub max_attempts: u32,
    /// JSON members of `rules`.
    pub rules: String,
}

/// A deployment with one class, for cases that are not about requests.
pub fn lookup_only(routers: usize) -> Deployment {
    Deployment {
        routers,
        categories: r#"{"name":"lookup","idempotency":"safe","group":"all","window-us":5000000,"objective-us":750000,"aim-stretch":2.0,"hard-limit-us":4000000,"gain":1.0,"late-worth":0.1}"#.to_string(),
        threads: "1",
        is_load: "false",
        yields: "false",
        cancel: true,
        max_attempts: 3,
        rules: String::new(),
    }
}

/// The notice board's first event: the whole list.
pub fn list(engines: &[Engine]) -> String {
    let targets: Vec<String> = engines
        .iter()
        .map(|engine| {
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"hall-a","model":"std-8","pod_group":{},"state":"ready","capacity_hint":8,"boot_ms":0}}"#,
                engine.name, engine.address, engine.cell_number
            )
        })
        .collect();
    format!(r#"{{"rev":1,"pool":{{"rev":1,"all":true,"targets":[{}]}}}}"#, targets.join(","))
}

/// A router's configuration, in the form of DEPLOY.md.
pub fn config(
    name: &str,
    index: usize,
    listen: SocketAddr,
    board: SocketAddr,
    engines: &[Engine],
    deployment: &Deployment,
) -> String {
    let Deployment { routers, categories, threads, is_load, yields, cancel, max_attempts, rules } =
        deployment;
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"board":"{board}","known":{{"rev":1,"notices":[{}]}},
"settings":{{"balancers":{routers},"self-index":{index},"zones":["hall-a"],"zone":"hall-a","shapes":["std-8"],
"discovery":"automatic","clients":{{"marks-retry":true}},
"categories":[{categories}],
"family":"queries","family-info":{{"parallelism":[{threads}],"is-load":[{is_load}],"yields-to-loads":[{yields}],
"cores-by-kind":[8],"ram-of-kind-mb":[16384.0],"largest-share":0.5,"grants-count":true,"takes-priority":true,
"overbooked":"queue","tells-cost":true,"progress-us":0}},
"limits":{{"cancel":{cancel},"max-attempts":{max_attempts},"retry-after":true,"max-retry-after-us":500000,"peers":true,
"may-probe":false,"second-copies":false,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100,"max-open":20000}},
"report":{{"how":"off","columns":[]}},
"rules":{{"cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,
"drain-grace-us":1000000,"answer-slack-us":20000{rules}}}}}}}"#,
        0x8c1f_30d2_7a5b_e964_u64 + index as u64,
        list(engines),
    )
}
