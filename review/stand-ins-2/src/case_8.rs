//! Case 8: a cluster of three grows to five as the on-call page says, and a duty is held by two routers meanwhile.

use crate::board::Board;
use crate::cluster::{cluster_file, holds as ask};
use crate::engine::{Cell, Engine, EngineSettings};
use crate::record::Record;
use crate::router::{free_tcp, free_udp, Router};
use crate::setting::{config, lookup_only};
use crate::{Outcome, Setup};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two SIGHUPs: the five of them take 30 s, of the minute that the on-call page gives.
const BETWEEN_SIGHUPS: Duration = Duration::from_secs(10);

/// What one success of `cleatgw holds` told: this router holds the duty from `from` to `to`, in Unix time.
#[derive(Clone, Debug)]
struct Hold {
    router: usize,
    epoch: u64,
    from: f64,
    to: f64,
}

pub fn play(setup: &Setup, record: &Record) -> Outcome {
    let board = Board::start();
    let settings = EngineSettings {
        window: Duration::from_secs(12),
        run_time: Duration::from_millis(20),
        stops: true,
        ..EngineSettings::default()
    };
    let engine = Engine::start("s-1", 1, Cell::default(), &settings, record);
    let deployment = lookup_only(5);
    let addresses: Vec<SocketAddr> = (0..5).map(|_| free_udp()).collect();
    let (old_list, new_list) = (cluster_file(&addresses[..3]), cluster_file(&addresses));
    let file = |router: usize| setup.folder.join(format!("n{}-cluster.json", router + 1));
    let mut routers: Vec<Router> = (0..5)
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
                &["--cluster".to_string(), file(index).display().to_string()],
            )
        })
        .collect();
    for (index, router) in routers.iter_mut().take(3).enumerate() {
        std::fs::write(file(index), &old_list).unwrap();
        router.start();
    }
    if !(0..3).all(|index| routers[index].wait_ready()) {
        return Outcome::CouldNotRun("a router was not ready within 10 s".to_string());
    }
    // Each router's own job asks it, as the on-call page says, whether it holds the duty.
    let ends = Arc::new(AtomicBool::new(false));
    let holds: Arc<Mutex<Vec<Hold>>> = Arc::default();
    let askers: Vec<_> = (0..5)
        .map(|index| {
            let (address, ends, holds, record) =
                (routers[index].listen, ends.clone(), holds.clone(), record.clone());
            std::thread::spawn(move || {
                let mut held_before = false;
                while !ends.load(Ordering::SeqCst) {
                    let duty = ask(address);
                    if duty.is_some() != held_before {
                        held_before = duty.is_some();
                        match &duty {
                            Some(duty) => record.note(&format!(
                                "n{}: `cleatgw holds` succeeds: {}",
                                index + 1,
                                duty.text
                            )),
                            None => record.note(&format!("n{}: `cleatgw holds` fails", index + 1)),
                        }
                    }
                    let hold = duty.map(|duty| Hold {
                        router: index,
                        epoch: duty.epoch,
                        from: duty.from,
                        to: duty.to,
                    });
                    holds.lock().unwrap().extend(hold);
                    std::thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let wait_for_holder = || {
        for _ in 0..200 {
            if !holds.lock().unwrap().is_empty() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    };
    let formed = wait_for_holder();
    if formed {
        if setup.trouble {
            // "write the new list everywhere and send SIGHUP to one after another ... do it within a minute"
            for index in 0..5 {
                std::fs::write(file(index), &new_list).unwrap();
            }
            record.note("the new list of five is written everywhere; n4 and n5 are started with it");
            routers[3..].iter_mut().for_each(Router::start);
            for index in (0..3).rev() {
                std::thread::sleep(BETWEEN_SIGHUPS);
                record.note(&format!("SIGHUP to n{}", index + 1));
                routers[index].signal("HUP");
            }
            std::thread::sleep(BETWEEN_SIGHUPS);
        } else {
            record.note("the list stays as it is");
            std::thread::sleep(4 * BETWEEN_SIGHUPS);
        }
    }
    ends.store(true, Ordering::SeqCst);
    askers.into_iter().for_each(|asker| drop(asker.join()));
    drop(routers);
    if !formed {
        return Outcome::CouldNotRun("nobody held the duty within 10 s".to_string());
    }
    let holds = holds.lock().unwrap().clone();
    let mut overlaps = 0;
    for one in &holds {
        // The other router's job was told so too, within half a second before and after, and that word still held.
        let others = || holds.iter().filter(|other| other.router != one.router);
        let before = others().filter(|other| other.from <= one.from).max_by(|a, b| a.from.total_cmp(&b.from));
        let after = others().filter(|other| other.from > one.from).min_by(|a, b| a.from.total_cmp(&b.from));
        let (Some(before), Some(after)) = (before, after) else { continue };
        let is_held = before.router == after.router && one.from < before.to && after.from - before.from < 0.5;
        if is_held {
            overlaps += 1;
            if overlaps <= 5 {
                record.note(&format!(
                    "two holders: n{} (epoch {}) told at {:.3}; n{} told at {:.3} (epoch {}, until {:.3}) and at {:.3}",
                    one.router + 1, one.epoch, one.from, before.router + 1, before.from, before.epoch, before.to, after.from
                ));
            }
        }
    }
    let last = holds.iter().map(|hold| hold.router + 1).collect::<std::collections::BTreeSet<_>>();
    record.note(&format!(
        "{} successes of `cleatgw holds`, by routers {last:?}; {overlaps} while another router held it too",
        holds.len()
    ));
    match overlaps {
        0 => Outcome::Held,
        _ => Outcome::Broken(format!("two routers held the duty at once, {overlaps} times")),
    }
}
