//! Case 9: a router is restarted by plan, and the platform starts it again while the former process still ends its
//! clients. The new process waits for the port of the clients, as the pages say, and then ends itself.

use crate::board::Board;
use crate::client::Client;
use crate::cluster::cluster_file;
use crate::engine::{Cell, Engine, EngineSettings};
use crate::record::Record;
use crate::router::{free_tcp, free_udp, Router};
use crate::setting::{config, lookup_only};
use crate::{Outcome, Setup};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// When the new process is started, after SIGTERM to the former one.
const START_AFTER: Duration = Duration::from_millis(500);
/// A restarted router is ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

pub fn play(setup: &Setup, record: &Record) -> Outcome {
    let board = Board::start();
    let settings = EngineSettings {
        window: Duration::from_secs(12),
        run_time: Duration::from_millis(20),
        stops: true,
        ..EngineSettings::default()
    };
    let engine = Engine::start("s-1", 1, Cell::default(), &settings, record);
    let deployment = lookup_only(3);
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_udp()).collect();
    let file = setup.folder.join("cluster.json");
    std::fs::write(&file, cluster_file(&addresses, None)).unwrap();
    let mut routers: Vec<Router> = (0..3)
        .map(|index| {
            let listen = free_tcp();
            let name = format!("n{}", index + 1);
            let config =
                config(&name, index, listen, board.address, std::slice::from_ref(&engine), &deployment);
            Router::new(
                &setup.folder,
                &name,
                listen,
                &config,
                &["--cluster".to_string(), file.display().to_string()],
            )
        })
        .collect();
    routers.iter_mut().for_each(Router::start);
    if !routers.iter().all(Router::wait_ready) {
        return Outcome::CouldNotRun("a router was not ready within 10 s".to_string());
    }
    std::thread::sleep(Duration::from_secs(5));
    // Usual clients: each asks once, and rests until the router ends it. It closes then.
    let address = routers[0].listen;
    let mut clients = Vec::new();
    for number in 0..4 {
        let Ok(mut client) = Client::connect(address) else {
            return Outcome::CouldNotRun("a client could not connect".to_string());
        };
        let answer = client.ask(&format!(
            "/* op=lookup,call={:016x},ttl=3000,work=20 */ SELECT note FROM sales_{number}.orders",
            0x9b1f_03aa_0000_0000_u64 + number
        ));
        record.note(&format!("client {number} is answered {answer:?}, and rests"));
        clients.push(client);
    }
    let resting: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let record = record.clone();
            std::thread::spawn(move || {
                client.rest();
                record.note(&format!("client {number} sees that its router ended the connection"));
                // It has nothing to ask just now, and closes its own end a moment later.
                std::thread::sleep(Duration::from_millis(300));
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    record.note("SIGTERM to n1");
    routers[0].signal("TERM");
    if setup.trouble {
        std::thread::sleep(START_AFTER);
    } else {
        let began = Instant::now();
        while !routers[0].has_ended() && began.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    let former_runs = !routers[0].has_ended();
    let former = routers[0].leave_running();
    record.note(&format!(
        "n1 is started again; its former process {}",
        if former_runs { "still ends its clients" } else { "has ended" }
    ));
    routers[0].start();
    let began = Instant::now();
    let mut ready = false;
    while began.elapsed() < READY_WITHIN && !ready && !routers[0].has_ended() {
        // Ready is the new process only, so the former one has to be over.
        let former_over = former
            .as_ref()
            .is_none_or(|former| former.lock().unwrap().try_wait().is_ok_and(|end| end.is_some()));
        ready = former_over && Client::connect(address).and_then(|mut client| client.ping()).unwrap_or(false);
        std::thread::sleep(Duration::from_millis(20));
    }
    let ended = routers[0].has_ended();
    resting.into_iter().for_each(|client| drop(client.join()));
    let log = std::fs::read_to_string(routers[0].log_path()).unwrap_or_default();
    for line in log.lines().filter(|line| !line.contains("counters:")) {
        record.note(&format!("n1's log: {line}"));
    }
    let status = routers[0].exit_text();
    drop(routers);
    if setup.trouble && !former_runs {
        return Outcome::CouldNotRun(
            "the former process was over before the new one was started".to_string(),
        );
    }
    record.note(&format!("ready {ready}, the new process ended {ended} {status}"));
    match (ready, ended) {
        (true, _) => Outcome::Held,
        (false, true) => Outcome::Broken(format!("the restarted router ended itself ({status})")),
        (false, false) => Outcome::Broken("the restarted router was not ready within 10 s".to_string()),
    }
}
