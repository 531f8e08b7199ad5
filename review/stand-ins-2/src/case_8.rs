//! Case 8: the router that holds a duty is cut off from the others. It goes on telling its job that it holds the duty
//! until a tenth of a second before its lease ends; the step that the job then begins runs on while another router holds
//! the duty, and its job acts.

use crate::board::Board;
use crate::cluster::cluster_file;
use crate::engine::{Cell, Engine, EngineSettings};
use crate::jobs::Jobs;
use crate::record::Record;
use crate::relays::Relays;
use crate::router::{free_tcp, free_udp, Router};
use crate::setting::{config, lookup_only};
use crate::{Outcome, Setup};
use std::net::SocketAddr;
use std::time::Duration;

/// How often the holder is cut off, for how long, and the time between.
const CUTS: usize = 11;
const CUT: Duration = Duration::from_millis(4000);
const BETWEEN: Duration = Duration::from_millis(4500);
/// The cuts come at times that differ by this much against the steps of the holder's job.
const PHASE: Duration = Duration::from_millis(85);

pub fn play(setup: &Setup, record: &Record) -> Outcome {
    let board = Board::start();
    let settings =
        EngineSettings { run_time: Duration::from_millis(20), stops: true, ..EngineSettings::default() };
    let engine = Engine::start("s-1", 1, Cell::default(), &settings, record);
    let deployment = lookup_only(3);
    let relays = Relays::start((0..3).map(|_| free_udp()).collect());
    let mut routers: Vec<Router> = (0..3)
        .map(|index| {
            let listen = free_tcp();
            let name = format!("n{}", index + 1);
            let file = setup.folder.join(format!("{name}-cluster.json"));
            let text = cluster_file(&relays.reached_at[index], Some(relays.listens[index]));
            std::fs::write(&file, text).unwrap();
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
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.listen).collect();
    let jobs = Jobs::start(&addresses, record);
    let mut held_rounds = 0;
    for number in 0..CUTS {
        std::thread::sleep(BETWEEN);
        let Some(holder) = jobs.next_step() else { continue };
        held_rounds += 1;
        if setup.trouble {
            std::thread::sleep(PHASE * number as u32);
            record.note(&format!("n{} is cut off from the others", holder + 1));
            relays.cut(holder, true);
            std::thread::sleep(CUT);
            record.note(&format!("n{} reaches the others again", holder + 1));
            relays.cut(holder, false);
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    let overlaps = jobs.end(record);
    drop(routers);
    if held_rounds < CUTS {
        return Outcome::CouldNotRun(format!("nobody held the duty before {} cuts", CUTS - held_rounds));
    }
    match overlaps {
        0 => Outcome::Held,
        _ => Outcome::Broken(format!("jobs of two routers acted at once, {overlaps} times in {CUTS} cuts")),
    }
}
