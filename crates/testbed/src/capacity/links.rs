//! What connections to engines cost one router: processor time an attempt by how many are open, how many it opens, and how many
//! come anew after a restart. The real program, before hollow engines on one thread of this process.

use super::{report, target, Ask, Need, Row};
use crate::stand_ins::{counter, request, Answered, Client, Discovery, Router};
use rustix::event::epoll;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connections that are open while the same load runs.
const SIZES: [f64; 7] = [10.0, 30.0, 100.0, 300.0, 600.0, 1000.0, 2000.0];
const OPEN: f64 = 3000.0;
/// Engines before the router while connections are counted.
const FLEETS: [f64; 5] = [30.0, 100.0, 200.0, 350.0, 500.0];
/// Few engines with many connections each, so that choosing among engines costs the same at each size.
const FEW: usize = 10;
/// Requests a second at each size, for so many seconds.
const RATE: f64 = 500.0;
const PLAY: f64 = 1.2;
/// How long a fleet of engines is before the router at its full rate.
const FLEET_PLAY: f64 = 2.5;
/// Table groups that requests ask for.
const GROUPS: u64 = 4000;
/// Longer than all plays: no connection is closed because it is idle.
const IDLE_US: &str = r#""conn-idle-us":1200000000"#;

/// What the engines' thread and the measure share.
#[derive(Default)]
struct Shared {
    over: AtomicBool,
    /// Requests are not answered until this is over.
    holds: AtomicBool,
    held: AtomicU64,
    answered: AtomicU64,
    unwritten: AtomicU64,
    /// Connections that came, and how many of them are open, by engine.
    came: Vec<AtomicU64>,
    open: Vec<AtomicU64>,
    /// Engines that lose all their connections, as by a restart.
    restart: Mutex<Vec<usize>>,
}

/// Engines that answer at once and do no work, all on one thread.
struct Hollow {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    thread: Option<JoinHandle<std::io::Result<()>>>,
}

struct Connection {
    engine: usize,
    stream: TcpStream,
    input: Vec<u8>,
    held: Vec<u8>,
}

impl Connection {
    /// Reads what is there and answers what is whole; false where it is over.
    fn work(&mut self, shared: &Shared) -> bool {
        let mut chunk = [0; 16 * 1024];
        let over = loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(length) => self.input.extend(&chunk[..length]),
                Err(error) => break error.kind() != ErrorKind::WouldBlock,
            }
        };
        let (mut taken, holds) = (0, shared.holds.load(Ordering::Relaxed));
        let mut out = Vec::new();
        while let Some(end) = self.input[taken..].windows(2).position(|pair| pair == b"\r\n") {
            let line = String::from_utf8_lossy(&self.input[taken..taken + end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let mut length = end + 2;
            match words[..] {
                ["GET", id, _, body] => {
                    length += body.parse::<usize>().unwrap_or(0) + 2;
                    if self.input.len() < taken + length {
                        break;
                    }
                    let answer = format!("{id} DONE work=2,peak=1 6\r\na\tb\tc\n\r\n");
                    match holds {
                        true => self.held.extend(answer.as_bytes()),
                        false => out.extend(answer.as_bytes()),
                    }
                    let counted = if holds { &shared.held } else { &shared.answered };
                    counted.fetch_add(1, Ordering::Relaxed);
                }
                ["PING", tag] => out.extend(format!("{tag} FIT - 0\r\n\r\n").as_bytes()),
                _ => {}
            }
            taken += length;
        }
        self.input.drain(..taken);
        self.say(&out, shared);
        !over
    }

    fn say(&mut self, words: &[u8], shared: &Shared) {
        if !words.is_empty() && self.stream.write_all(words).is_err() {
            shared.unwritten.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Serves until it is told to end.
fn serve(listeners: &[TcpListener], shared: &Shared) -> std::io::Result<()> {
    let poll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
    for (at, listener) in listeners.iter().enumerate() {
        listener.set_nonblocking(true)?;
        epoll::add(&poll, listener, epoll::EventData::new_u64(at as u64), epoll::EventFlags::IN)?;
    }
    let (mut open, mut next) = (HashMap::<u64, Connection>::new(), listeners.len() as u64);
    let mut events: Vec<epoll::Event> = Vec::with_capacity(1024);
    let mut held = false;
    while !shared.over.load(Ordering::Relaxed) {
        let wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 10_000_000 };
        events.clear();
        match epoll::wait(&poll, rustix::buffer::spare_capacity(&mut events), Some(&wait)) {
            Err(rustix::io::Errno::INTR) | Ok(_) => {}
            Err(error) => return Err(error.into()),
        }
        for event in &events {
            let at = event.data.u64();
            if let Some(listener) = listeners.get(at as usize) {
                while let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true)?;
                    epoll::add(&poll, &stream, epoll::EventData::new_u64(next), epoll::EventFlags::IN)?;
                    shared.came[at as usize].fetch_add(1, Ordering::Relaxed);
                    shared.open[at as usize].fetch_add(1, Ordering::Relaxed);
                    let (engine, input, held) = (at as usize, Vec::new(), Vec::new());
                    open.insert(next, Connection { engine, stream, input, held });
                    next += 1;
                }
            } else if open.get_mut(&at).is_some_and(|one| !one.work(shared)) {
                open.remove(&at).iter().for_each(|one| {
                    shared.open[one.engine].fetch_sub(1, Ordering::Relaxed);
                });
            }
        }
        let holds = shared.holds.load(Ordering::Relaxed);
        if held && !holds {
            for one in open.values_mut() {
                let answers = std::mem::take(&mut one.held);
                one.say(&answers, shared);
            }
        }
        held = holds;
        let restarted = shared.restart.lock().map(|mut all| std::mem::take(&mut *all)).unwrap_or_default();
        if !restarted.is_empty() {
            open.retain(|_, one| !restarted.contains(&one.engine));
            restarted.iter().for_each(|&engine| shared.open[engine].store(0, Ordering::Relaxed));
        }
    }
    Ok(())
}

fn sum(of: &[AtomicU64]) -> u64 {
    of.iter().map(|one| one.load(Ordering::Relaxed)).sum()
}

impl Hollow {
    fn start(engines: usize) -> Result<Hollow, String> {
        let listeners: std::io::Result<Vec<_>> =
            (0..engines).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners.map_err(|error| format!("hollow engines: {error}"))?;
        let addresses = listeners.iter().filter_map(|listener| listener.local_addr().ok()).collect();
        let none = || (0..engines).map(|_| AtomicU64::new(0)).collect();
        let shared = Arc::new(Shared { came: none(), open: none(), ..Shared::default() });
        let told = shared.clone();
        let thread = Some(std::thread::spawn(move || serve(&listeners, &told)));
        Ok(Hollow { shared, addresses, thread })
    }

    /// The discovery service that tells of them.
    fn discovery(&self) -> Discovery {
        let discovery = Discovery::start();
        let entry = |(at, address): (usize, &SocketAddr)| {
            format!(r#"{{"uid":"e{at}","endpoint":"{address}","az":"east","model":"std","state":"ready"}}"#)
        };
        discovery.tell(true, &self.addresses.iter().enumerate().map(entry).collect::<Vec<_>>());
        discovery
    }

    /// What went wrong on the engines' side, which must not pass for the router's doing.
    fn sound(&self) -> Result<(), String> {
        let unwritten = self.shared.unwritten.load(Ordering::Relaxed);
        match self.thread.as_ref().is_none_or(JoinHandle::is_finished) {
            true => Err("the hollow engines' thread died".to_string()),
            false if unwritten > 0 => Err(format!("the hollow engines could not write {unwritten} times")),
            false => Ok(()),
        }
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// A router before these engines that keeps idle connections, with so many attempts on each at most.
fn router(ask: &Ask, discovery: &Discovery, cores: usize, each: usize) -> Router {
    let program = ask.program.to_string_lossy();
    Router::changed(&program, discovery, 16_000, &["--log-format", "text"], |text| {
        text.replace(r#""conn-idle-us":30000000"#, IDLE_US)
            .replace(r#""multiplex":100"#, &format!(r#""multiplex":{each}"#))
            .replace(r#""cores-by-kind":[8]"#, &format!(r#""cores-by-kind":[{cores}]"#))
            .replace(r#""ram-of-kind-mb":[8192.0]"#, &format!(r#""ram-of-kind-mb":[{cores}000.0]"#))
            .replace(r#""memory_mb":192"#, r#""memory_mb":1024"#)
    })
}

/// Processor time of a process so far, in seconds.
fn spent(process: u32) -> f64 {
    let text =
        std::fs::read_to_string(format!("/proc/{process}/task/{process}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|spent| spent.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

fn client(router: &Router) -> Result<Client, String> {
    Client::at(router.address).map_err(|error| format!("a client could not come: {error}"))
}

/// Has a router open so many connections by as many requests at once, which their engines hold meanwhile.
fn open(router: &Router, hollow: &Hollow, links: u64) -> Result<(), String> {
    let open = || sum(&hollow.shared.open);
    for _ in 0..40 {
        let lacking = links.saturating_sub(open());
        if lacking == 0 {
            return Ok(());
        }
        // Those that are open take requests first.
        hollow.shared.held.store(0, Ordering::Relaxed);
        hollow.shared.holds.store(true, Ordering::Relaxed);
        let mut clients = Vec::new();
        for _ in 0..open() + lacking.min(500) {
            let mut client = client(router)?;
            client.try_send(&request("once", 15_000, "holds"));
            clients.push(client);
        }
        let began = Instant::now();
        while hollow.shared.held.load(Ordering::Relaxed) < clients.len() as u64
            && began.elapsed() < Duration::from_secs(2)
        {
            std::thread::sleep(Duration::from_millis(5));
        }
        hollow.shared.holds.store(false, Ordering::Relaxed);
        clients.iter_mut().for_each(|client| drop(client.try_answer()));
        hollow.sound()?;
    }
    Err(format!("{} connections could be had, {links} were asked for", open()))
}

/// Requests at this rate by some clients; how many were asked and how many had rows.
fn load(router: &Router, clients: usize, rate: f64, seconds: f64) -> Result<(u64, u64), String> {
    let began = Instant::now();
    let address = router.address;
    let one = move |number: u64| {
        let (mut asked, mut rows) = (0, 0);
        let Ok(mut client) = Client::at(address) else { return (0, 0) };
        while began.elapsed().as_secs_f64() < seconds {
            asked += 1;
            client.try_send(&request(
                "look",
                3000,
                &format!("work FROM sales_{}.t", (asked * 7919 + number) % GROUPS),
            ));
            match client.try_answer() {
                Some(Answered::Rows(_)) => rows += 1,
                Some(_) => {}
                None => break,
            }
            let next = asked as f64 * clients as f64 / rate;
            std::thread::sleep(Duration::from_secs_f64((next - began.elapsed().as_secs_f64()).max(0.0)));
        }
        (asked, rows)
    };
    let threads: Vec<_> = (0..clients as u64).map(|number| std::thread::spawn(move || one(number))).collect();
    let mut all = (0, 0);
    for thread in threads {
        let (asked, rows) = thread.join().map_err(|_| "a client failed".to_string())?;
        all = (all.0 + asked, all.1 + rows);
    }
    match all {
        (1.., rows) if rows * 20 >= all.0 * 19 => Ok(all),
        (asked, rows) => Err(format!("{rows} of {asked} jobs had rows: that is no measure of a push")),
    }
}

/// With so many connections open, or a few more: how many they were, and the processor time an attempt and of an idle second in
/// microseconds.
fn attempts(ask: &Ask, links: u64) -> Result<(f64, Vec<f64>, Vec<f64>), String> {
    let hollow = Hollow::start(FEW)?;
    let discovery = hollow.discovery();
    let router = router(ask, &discovery, 8000, 1);
    load(&router, 1, RATE, 0.5)?;
    open(&router, &hollow, links)?;
    // The clients that had them opened are gone by then.
    std::thread::sleep(Duration::from_secs(1));
    let (mut attempt, mut idle) = (Vec::new(), Vec::new());
    for _ in 0..ask.plays {
        let before = spent(router.process());
        std::thread::sleep(Duration::from_secs_f64(PLAY / 2.0));
        idle.push((spent(router.process()) - before) * 1e6 / (PLAY / 2.0));
        let before = spent(router.process());
        let (_, rows) = load(&router, 1, RATE, PLAY)?;
        attempt.push((spent(router.process()) - before) * 1e6 / rows as f64);
    }
    hollow.sound()?;
    let open = sum(&hollow.shared.open);
    if open < links || open > links + links / 20 + FEW as u64 {
        return Err(format!("{open} connections were open at the end, {links} were asked for"));
    }
    Ok((open as f64, attempt, idle))
}

/// What one router opens before a fleet of engines at its rate.
struct Opened {
    links: f64,
    most: u64,
    rate: f64,
    core: f64,
    /// Connections that came anew: after an engine's restart, a zone's, the router's.
    anew: [u64; 3],
}

fn opened(ask: &Ask, engines: usize, restarts: bool) -> Result<Opened, String> {
    let rate = target::STATEMENTS / target::ROUTERS as f64;
    let hollow = Hollow::start(engines)?;
    let discovery = hollow.discovery();
    let mut router = router(ask, &discovery, 8, 100);
    let before = spent(router.process());
    let (_, rows) = load(&router, 24, rate, FLEET_PLAY)?;
    let core = (spent(router.process()) - before) / FLEET_PLAY;
    let links = counter(&client(&router)?.counters_now(), "links_open") as f64;
    let open = &hollow.shared.open;
    let most = open.iter().map(|one| one.load(Ordering::Relaxed)).max().unwrap_or(0);
    let mut anew = [0; 3];
    if restarts {
        let zone = (0..engines).step_by(target::ZONES).collect::<Vec<_>>();
        for (at, gone) in [vec![1], zone].into_iter().enumerate() {
            let came = sum(&hollow.shared.came);
            hollow.shared.restart.lock().map_err(|_| "the engines' side failed")?.extend(gone);
            load(&router, 24, rate, FLEET_PLAY)?;
            anew[at] = sum(&hollow.shared.came) - came;
        }
        let came = sum(&hollow.shared.came);
        router.fail();
        router.ended();
        router = self::router(ask, &discovery, 8, 100);
        load(&router, 24, rate, FLEET_PLAY)?;
        anew[2] = sum(&hollow.shared.came) - came;
    }
    hollow.sound()?;
    Ok(Opened { links, most, rate: rows as f64 / FLEET_PLAY, core, anew })
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&SIZES);
    let most = sizes.iter().fold(OPEN, |most, size| most.max(*size)) as u64;
    // Each connection has its engine's end here, and its request's client when it is opened; the router's limit is its own.
    Need { descriptors: 2 * most + 1000, memory_mb: 1500, processes: 2 }.borne()?;
    if most > 4000 {
        return Err(format!("{} descriptors of the router are lacking: 16000 bear 4000", 4 * (most - 4000)));
    }
    let (mut attempt, mut idle) = (Vec::new(), Vec::new());
    for size in sizes {
        let (size, attempts, idles) = attempts(ask, size as u64)?;
        eprintln!("{size} connections: {attempts:.0?} us a push, {idles:.0?} us an idle second");
        attempt.push((size, attempts));
        idle.push((size, idles));
    }
    let (open, attempt_at, idle_at) = attempts(ask, OPEN as u64)?;
    let (mut links, mut rates) = (Vec::new(), Vec::new());
    for fleet in FLEETS {
        let mut plays = Vec::new();
        for _ in 0..ask.plays.min(2) {
            let opened = opened(ask, fleet as usize, false)?;
            plays.push(opened.links);
            rates.push(json!([fleet, opened.rate.round(), opened.core]));
        }
        eprintln!("{fleet} engines: {plays:?} connections");
        links.push((fleet, plays));
    }
    let at = opened(ask, target::ENGINES, true)?;
    let (engines, routers) = (target::ENGINES as f64, target::ROUTERS as f64);
    let row = |name: &str, unit, measured, target, at_target| Row {
        name: name.to_string(),
        unit,
        measured,
        target,
        at_target,
        budget: None,
    };
    let rows = [
        row("CPU a push, by open connections", "us", attempt, open, Ok(attempt_at)),
        row("CPU of an idle second, by open connections", "us", idle, open, Ok(idle_at)),
        row("connections one router opens, by engines", "connections", links, engines, Ok(vec![at.links])),
    ];
    let more = json!({
        "jobs_a_second": RATE,
        "engines_of_the_first_rows": FEW,
        "rate_and_core_by_engines": rates,
        "rate_at_target": at.rate.round(),
        "core_at_target": at.core,
        "most_connections_of_one_router_to_one_engine": at.most,
        "connections_an_engine_holds_worked_out": at.links / engines * routers,
        "handshakes_of_one_router": { "engine": at.anew[0], "zone": at.anew[1], "router": at.anew[2] },
        "handshakes_of_all_routers_worked_out": {
            "engine": at.anew[0] as f64 * routers,
            "zone": at.anew[1] as f64 * routers,
            "router": at.anew[2],
        },
    });
    Ok(report("links", ask, &rows, more))
}
