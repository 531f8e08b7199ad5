//! Beside the cases: a cluster of three routers is grown to five as the on-call page says. While the new list goes round, two
//! routers hold the same leader role.

use stand_ins::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const ROLE: &str = "nightly";
/// The pause between two routers that are sent SIGHUP, in seconds: the whole change takes well under a minute.
const PAUSE: f64 = 10.0;
/// How often each machine's job asks its own router, in seconds.
const LOOK_EVERY: f64 = 0.2;

/// One look of a job: `cleatgw holds` succeeded, and what it printed.
#[derive(Clone, Debug)]
struct Look {
    router: usize,
    /// The Unix time that the router stated, and until when the role is held by its own word.
    at: f64,
    until: f64,
    epoch: u64,
}

fn main() {
    std::process::exit(run());
}

fn cluster_file(names: &[&str], addresses: &[SocketAddr]) -> String {
    let routers: Vec<String> = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| format!(r#"{{"name":"{name}","address":"{address}"}}"#))
        .collect();
    format!(
        r#"{{"name":"coimbra","routers":[{}],"networks":["127.0.0.0/8"],"tell_of_engines":true,"duties":["{ROLE}"],"pace":{{"probe_period_s":0.4,"round_trip_s":0.12,"suspicion_s":1}}}}"#,
        routers.join(",")
    )
}

/// Reads `ours  epoch E at UNIX for R s`.
fn parse(router: usize, text: &str) -> Option<Look> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let after = |word: &str| words.iter().position(|other| *other == word).and_then(|index| words.get(index + 1));
    let at: f64 = after("at")?.parse().ok()?;
    let remaining: f64 = after("for")?.parse().ok()?;
    Some(Look { router, at, until: at + remaining, epoch: after("epoch")?.parse().ok()? })
}

fn run() -> i32 {
    let case = Case::begin();
    let record = case.record.clone();
    let lines = Lines::default();
    let board = Board::open(&record);
    let (_engine, address) = case.start_engine("s-1", 0.1, &lines);
    board.tell(true, &[Target { uid: "s-1", address, zone: "east", cell: 1, state: "ready", boot_ms: 0 }]);

    let names = ["n1", "n2", "n3", "n4", "n5"];
    let listens: Vec<SocketAddr> = names.iter().map(|_| free_address()).collect();
    let cluster: Vec<SocketAddr> = names.iter().map(|_| free_udp_address()).collect();
    let (old, new) = (cluster_file(&names[..3], &cluster[..3]), cluster_file(&names, &cluster));
    let write = |name: &str, text: &str| std::fs::write(case.temp.join(format!("{name}.cluster")), text).unwrap();
    let start = |index: usize| {
        let name = names[index];
        let config = Config {
            name,
            listen: listens[index],
            board: &board,
            routers: 5,
            zones: r#""east""#,
            categories: r#"{"name":"lookup","idempotency":"safe","group":"all","window-us":5000000,"objective-us":750000,"aim-stretch":2.0,"hard-limit-us":4000000,"gain":1.0,"late-worth":0.1}"#,
            threads: "1",
            is_load: "false",
            limits: r#""cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-us":500000,"connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100"#,
            rules: r#""cold-from":0.3,"warm-after-us":15000000,"fall-multiple":4.0,"overload-for-us":1000000,"drain-grace-us":1000000,"answer-slack-us":20000"#,
        };
        let file = case.temp.join(format!("{name}.cluster"));
        let arguments = format!("serve --config \"$BALANCER_CONFIG\" --cluster '{}'", file.display());
        case.start_router(name, listens[index], &config.json(), &arguments)
    };

    let mut routers = Vec::new();
    for index in 0..3 {
        write(names[index], &old);
        routers.push(start(index));
    }
    if !listens[..3].iter().all(|listen| wait_ready(*listen, 30.0)) {
        return case.finish(COULD_NOT_RUN, "the first three routers were not ready within 30 s");
    }

    // A job on each machine asks its own router by `cleatgw holds` ahead of each step.
    let looks: Arc<Mutex<Vec<Look>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let program = case.root.join("target/release/cleatgw");
    let mut jobs = Vec::new();
    for (index, listen) in listens.iter().copied().enumerate() {
        let (record, looks, stop, program) = (record.clone(), looks.clone(), stop.clone(), program.clone());
        let name = names[index];
        jobs.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                if let Ok(output) = Command::new(&program).args(["holds", &listen.to_string(), ROLE]).output() {
                    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
                    if let Some(look) = output.status.success().then(|| parse(index, &text)).flatten() {
                        record.line(format!("job on {name}: `cleatgw holds` succeeds: {text}"));
                        looks.lock().unwrap().push(look);
                    }
                }
                sleep(LOOK_EVERY);
            }
        }));
    }
    sleep(8.0);
    if looks.lock().unwrap().is_empty() {
        stop.store(true, Ordering::Relaxed);
        return case.finish(COULD_NOT_RUN, "no router held the role after 8 s");
    }

    // The cluster grows: the two new routers start with the new list, which is written everywhere, and SIGHUP is sent to
    // one router after another.
    if case.trouble {
        for index in 0..5 {
            write(names[index], &new);
        }
        record.line("the new list, of n1 to n5, is written everywhere");
        for index in 3..5 {
            routers.push(start(index));
        }
        if !listens[3..].iter().all(|listen| wait_ready(*listen, 30.0)) {
            stop.store(true, Ordering::Relaxed);
            return case.finish(COULD_NOT_RUN, "the new routers were not ready within 30 s");
        }
        for index in 0..3 {
            sleep(PAUSE);
            record.line(format!("SIGHUP to {}", names[index]));
            routers[index].signal("HUP");
        }
    } else {
        sleep(3.0 * PAUSE);
    }
    sleep(PAUSE);
    stop.store(true, Ordering::Relaxed);
    for job in jobs {
        let _ = job.join();
    }
    if routers.iter_mut().any(Process::has_ended) {
        return case.finish(COULD_NOT_RUN, "a router ended by itself");
    }
    for name in names {
        case.note_log(name, 30);
    }

    // Two hold the role at once where one router's look lies between two looks of another one that follow each other, and
    // that other one held the role by its own word all the while: its first look tells the role for longer than until its
    // second look.
    let mut looks = looks.lock().unwrap().clone();
    looks.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut overlaps = 0;
    let (mut first, mut last) = (f64::INFINITY, 0.0f64);
    for router in 0..names.len() {
        let own: Vec<&Look> = looks.iter().filter(|look| look.router == router).collect();
        for pair in own.windows(2).filter(|pair| pair[1].at < pair[0].until) {
            for other in looks.iter().filter(|look| look.router != router) {
                if pair[0].at < other.at && other.at < pair[1].at {
                    overlaps += 1;
                    first = first.min(other.at);
                    last = last.max(other.at);
                    if overlaps <= 5 {
                        record.line(format!(
                            "TWO HOLDERS: {} at {:.3} and {:.3} (epochs {} and {}), and {} at {:.3} (epoch {})",
                            names[router], pair[0].at, pair[1].at, pair[0].epoch, pair[1].epoch,
                            names[other.router], other.at, other.epoch
                        ));
                    }
                }
            }
        }
    }
    match overlaps {
        0 => case.finish(HELD, &format!("{} looks, one holder at a time", looks.len())),
        _ => case.finish(BROKEN, &format!("two routers held the role at once, over {:.1} s", last - first)),
    }
}
