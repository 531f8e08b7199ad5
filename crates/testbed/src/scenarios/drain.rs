//! Real routers between stand-ins are stopped by SIGTERM in every state of their BGP session, under load.

use crate::routers::bgp_peer::Saw;
use crate::routers::routing_peer::{open, service, service_file, Mode, Peering};
use crate::stand_ins::{request, Answered, Client, Discovery, Engine, Router};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// In which state the stop finds the session.
const STATES: [&str; 7] =
    ["established", "open-sent", "open-confirm", "refused", "deaf", "lost-and-kept", "lost"];
const PARALLEL: usize = 4;

#[derive(Default)]
struct Sums {
    withdraw_ms: Vec<f64>,
    new_after: usize,
    in_flight: usize,
    unanswered: usize,
    announced_after: usize,
    left: usize,
    exits: usize,
    states: std::collections::BTreeMap<&'static str, usize>,
}

fn has_route(peering: &Peering) -> bool {
    peering.table().iter().any(|(net, _)| *net == service())
}

/// Asks until the router is gone: what is sent a second after the stop says so, and is looked for at the engine.
fn client(
    router: std::net::SocketAddr,
    began: Arc<Mutex<Option<Instant>>>,
    over: Arc<AtomicBool>,
) -> (usize, usize) {
    let (mut in_flight, mut unanswered) = (0, 0);
    while !over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::at(router) else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        loop {
            let stop = *began.lock().unwrap();
            let late = stop.is_some_and(|stop| stop.elapsed() >= Duration::from_secs(1));
            let word = if late { "late" } else { "x" };
            if !client.try_send(&request("look", 1500, word)) {
                break;
            }
            let answered = client.try_answer();
            // What was asked before the stop, and was open when it came.
            let crossed = stop.is_none() && began.lock().unwrap().is_some();
            in_flight += usize::from(crossed);
            match answered {
                Some(Answered::Rows(_) | Answered::Error(..) | Answered::Ok) => {}
                None => {
                    unanswered += usize::from(crossed);
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }
    (in_flight, unanswered)
}

fn run(program: &Path, number: usize, seed: u64, sums: &Mutex<Sums>) {
    let mut chance = SmallRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(number as u64));
    let state = STATES[number % STATES.len()];
    let keeps = state == "lost-and-kept";
    let peering = Peering::start(open(keeps));
    peering.mode(match state {
        "open-sent" => Mode::Mute,
        "open-confirm" => Mode::HalfOpen,
        "refused" => Mode::Resets,
        _ => Mode::Well,
    });
    let file = std::env::temp_dir().join(format!("cleatgw-lab-drain-{}-{number}.json", std::process::id()));
    let mut text = service_file(&[&peering], "");
    if keeps {
        text = text.replace("\"hold_s\":9", "\"hold_s\":9,\"graceful_restart_s\":120");
    }
    std::fs::write(&file, text).expect("a temporary file");
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let mut router =
        Router::with(&program.to_string_lossy(), &discovery, 256, &["--service", &file.to_string_lossy()]);
    if matches!(state, "established" | "deaf" | "lost" | "lost-and-kept") {
        peering.wait("announced", has_route);
        // Until the return is over, so that nothing else is under way.
        std::thread::sleep(Duration::from_millis(300));
    }
    match state {
        "deaf" => peering.mode(Mode::Deaf),
        "lost" | "lost-and-kept" => {
            peering.mode(Mode::Resets);
            peering.reset();
        }
        _ => {}
    }
    let (began, over) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (address, began, over) = (router.address, began.clone(), over.clone());
            std::thread::spawn(move || client(address, began, over))
        })
        .collect();
    // Requests that are out for long, so that the stop finds some.
    let mut held: Vec<Client> = (0..3).filter_map(|_| Client::at(router.address).ok()).collect();
    held.retain_mut(|one| one.try_send(&request("look", 1200, "hold")));
    std::thread::sleep(Duration::from_millis(chance.random_range(50..250)));
    let stop = Instant::now();
    *began.lock().unwrap() = Some(stop);
    router.fail();
    if state == "lost-and-kept" {
        std::thread::sleep(Duration::from_millis(chance.random_range(0..300)));
        peering.mode(Mode::Well);
    }
    let answered = held.iter_mut().filter_map(Client::try_answer).count();
    let end = Instant::now() + Duration::from_secs(8);
    while router.over().is_none() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    let exit = router.over().flatten();
    over.store(true, Ordering::Relaxed);
    if state == "deaf" {
        peering.mode(Mode::Well);
    }
    let asked: Vec<(usize, usize)> =
        clients.into_iter().map(|client| client.join().unwrap_or((0, 1))).collect();
    std::thread::sleep(Duration::from_millis(50));
    let noted = peering.noted();
    let after = |saw: &&(Instant, Saw)| saw.0 > stop;
    let gone = noted.iter().find(|saw| after(saw) && matches!(saw.1, Saw::Withdrawn(_) | Saw::Dropped(_)));
    let mut sums = sums.lock().unwrap();
    if state == "established" {
        let taken = gone.map_or(f64::INFINITY, |(at, _)| (*at - stop).as_secs_f64() * 1e3);
        sums.withdraw_ms.push(taken);
    }
    sums.announced_after +=
        noted.iter().filter(|saw| after(saw) && matches!(saw.1, Saw::Announced(..))).count();
    sums.new_after += engine.seen.all().iter().filter(|line| line.ends_with(": late")).count();
    sums.in_flight += asked.iter().map(|asked| asked.0).sum::<usize>() + held.len();
    sums.unanswered += asked.iter().map(|asked| asked.1).sum::<usize>() + held.len() - answered;
    sums.left += usize::from(has_route(&peering));
    sums.exits += usize::from(exit == Some(0));
    *sums.states.entry(state).or_default() += 1;
    let _ = std::fs::remove_file(&file);
}

/// Stops so many routers; the report's figures are loopback ones.
pub fn measure(program: &Path, runs: usize, seed: u64) -> Value {
    let sums = Mutex::new(Sums::default());
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL.min(runs) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= runs {
                    return;
                }
                run(program, number, seed, &sums);
            });
        }
    });
    let sums = sums.into_inner().unwrap();
    let mut withdraw = Histogram::<u64>::new(3).expect("three digits");
    for ms in &sums.withdraw_ms {
        withdraw.record((ms * 1e3).min(1e9) as u64).expect("it grows as needed");
    }
    let at = |quantile| withdraw.value_at_quantile(quantile) as f64 / 1e3;
    json!({
        "runs": runs,
        "states": sums.states,
        "withdraw_ms_p50": at(0.5),
        "withdraw_ms_p99": at(0.99),
        "withdraw_ms_max": withdraw.max() as f64 / 1e3,
        "withdraw_measured": sums.withdraw_ms.len(),
        "new_jobs_after_1s": sums.new_after,
        "in_flight": sums.in_flight,
        "unanswered": sums.unanswered,
        "announced_after_drain": sums.announced_after,
        "routes_left": sums.left,
        "exit_0": sums.exits,
    })
}
