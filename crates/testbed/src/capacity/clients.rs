//! What client sessions cost the real router: memory, processor time while they are quiet and while they ask, logins, and
//! the moment when a neighbour's sessions come back at once. All sessions of a crowd share a thread.
//! The time until those are in has no form of the fits': it leaps where the router's listen backlog is full, which
//! `listen_overflows` counts, and their kernel tries anew a second later.

use super::hollow::{self, Guarded};
use super::{report, target, Ask, Need, Range, Row};
use crate::stand_ins::{
    configuration, counter, login, query, request, vacant, Answered, Client, Discovery, Engine,
};
use rustix::event::epoll;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SIZES: [f64; 5] = [400.0, 800.0, 1600.0, 3200.0, 8000.0];
/// Of sessions that come back, to a router that has as many: twice the largest is what its descriptors allow.
const RETURNING: [f64; 5] = [245.0, 490.0, 980.0, 1960.0, 4900.0];
/// The router takes half its descriptors for sessions.
const MOST_DESCRIPTORS: f64 = 20_000.0;
const ENGINES: usize = 10;
/// Logins under way at a time where nothing is hurried: below the router's listen backlog.
const AT_ONCE: usize = 256;
const QUIET: Duration = Duration::from_millis(1500);
const BUSY: Duration = Duration::from_millis(1500);
/// All sessions are in within this, or are counted as missing; none is tried anew more than so often on the average.
const OPENS: Duration = Duration::from_secs(20);
const TRIES: usize = 3;
/// Before a crowd comes back and after it, the others ask for so long.
const BESIDE: Duration = Duration::from_millis(800);

/// Client sessions of a router, as many as the target's mean, in round hundreds.
fn at_target() -> f64 {
    (target::CLIENTS / target::ROUTERS as f64 / 100.0).ceil() * 100.0
}

/// Statements a second and router.
fn rate() -> f64 {
    target::STATEMENTS / target::ROUTERS as f64
}

struct Session {
    stream: TcpStream,
    unread: Vec<u8>,
    greeted: bool,
    logged_in: bool,
    /// Its login is written.
    written: bool,
    asked: Option<Instant>,
    /// Packets of the answer that end a part of it: the second is its last.
    ends: u8,
}

/// Many sessions with one router.
struct ClientGroup {
    epoll: OwnedFd,
    address: SocketAddr,
    sessions: Vec<Option<Session>>,
    begun: usize,
    /// Ended by the router: before they were logged in, and after.
    refused: usize,
    lost: usize,
    logged_in: usize,
    asked: u64,
    answered: u64,
    /// Answered by an error, and due while the session still waited.
    errors: u64,
    skipped: u64,
    last_answer: Instant,
    longest_gap: f64,
    longest_wait: f64,
}

impl ClientGroup {
    fn new(address: SocketAddr) -> std::io::Result<ClientGroup> {
        Ok(ClientGroup {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            address,
            sessions: Vec::new(),
            begun: 0,
            refused: 0,
            lost: 0,
            logged_in: 0,
            asked: 0,
            answered: 0,
            errors: 0,
            skipped: 0,
            last_answer: Instant::now(),
            longest_gap: 0.0,
            longest_wait: 0.0,
        })
    }

    fn begin(&mut self) -> std::io::Result<()> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&self.address.into()) {
            Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(error)
            }
            _ => {}
        }
        let stream = TcpStream::from(socket);
        let flags = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::ET;
        epoll::add(&self.epoll, &stream, epoll::EventData::new_u64(self.sessions.len() as u64), flags)?;
        self.begun += 1;
        let (unread, greeted, logged_in, written) = (Vec::new(), false, false, false);
        self.sessions.push(Some(Session {
            stream,
            unread,
            greeted,
            logged_in,
            written,
            asked: None,
            ends: 0,
        }));
        Ok(())
    }

    /// Takes what comes until then, or until there was something.
    fn turn(&mut self, until: Instant) -> Result<(), String> {
        let wait = until.saturating_duration_since(Instant::now());
        let wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: wait.subsec_nanos().into() };
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&wait)) {
            Err(rustix::io::Errno::INTR) | Ok(_) => {}
            Err(error) => return Err(format!("epoll: {error}")),
        }
        for event in events {
            let at = event.data.u64() as usize;
            let Some(mut session) = self.sessions[at].take() else { continue };
            if self.work(&mut session, event.flags).is_ok() {
                self.sessions[at] = Some(session);
            } else if session.logged_in {
                self.lost += 1;
            } else {
                self.refused += 1;
            }
        }
        Ok(())
    }

    fn work(&mut self, session: &mut Session, flags: epoll::EventFlags) -> std::io::Result<()> {
        if !session.written && flags.contains(epoll::EventFlags::OUT) {
            session.stream.write_all(&login())?;
            session.written = true;
        }
        let mut bytes = [0; 4096];
        let mut ended = false;
        loop {
            match session.stream.read(&mut bytes) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(length) => session.unread.extend(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        let mut taken = 0;
        while let Some(header) = session.unread.get(taken..taken + 4) {
            let length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
            let Some(body) = session.unread.get(taken + 4..taken + 4 + length) else { break };
            let first = (body.first().copied(), body.len());
            taken += 4 + length;
            self.packet(session, first)?;
        }
        session.unread.drain(..taken);
        if session.unread.is_empty() {
            session.unread = Vec::new();
        }
        match ended {
            true => Err(ErrorKind::UnexpectedEof.into()),
            false => Ok(()),
        }
    }

    /// A packet by its first byte and length: a greeting, then login's answer, then answers of a row or an error each.
    fn packet(&mut self, session: &mut Session, first: (Option<u8>, usize)) -> std::io::Result<()> {
        if !session.logged_in {
            match (std::mem::replace(&mut session.greeted, true), first.0) {
                (false, Some(10)) => {}
                (true, Some(0)) => {
                    session.logged_in = true;
                    self.logged_in += 1;
                }
                _ => return Err(ErrorKind::InvalidData.into()),
            }
            return Ok(());
        }
        let Some(asked) = session.asked else { return Err(ErrorKind::InvalidData.into()) };
        session.ends += u8::from(first.0 == Some(0xfe) && first.1 < 9);
        let error = first.0 == Some(0xff);
        if error || session.ends == 2 {
            let now = Instant::now();
            (session.asked, session.ends) = (None, 0);
            self.errors += u64::from(error);
            self.answered += u64::from(!error);
            self.longest_wait = self.longest_wait.max((now - asked).as_secs_f64());
            self.longest_gap = self.longest_gap.max((now - self.last_answer).as_secs_f64());
            self.last_answer = now;
        }
        Ok(())
    }

    /// Brings so many sessions in, with so many logins under way at a time; the seconds it took. Those that are refused
    /// come anew, within bounds.
    fn open(&mut self, count: usize, at_once: usize) -> Result<f64, String> {
        let begun = Instant::now();
        while self.logged_in < count && begun.elapsed() < OPENS {
            // A few at a time, so that answers are read meanwhile.
            for _ in 0..32 {
                let under_way = self.begun - self.refused - self.logged_in;
                let more = self.logged_in + under_way < count && self.begun < TRIES * count;
                if !more || under_way >= at_once {
                    break;
                }
                self.begin().map_err(|error| format!("session {}: {error}", self.begun))?;
            }
            self.turn(Instant::now() + Duration::from_millis(1))?;
        }
        Ok(begun.elapsed().as_secs_f64())
    }

    fn ask(&mut self, at: usize) {
        let Some(session) = self.sessions[at].as_mut().filter(|session| session.logged_in) else {
            return;
        };
        if session.asked.is_some() {
            self.skipped += 1;
        } else if session.stream.write_all(&query(&request("look", 5000, "x"))).is_ok() {
            session.asked = Some(Instant::now());
            self.asked += 1;
        }
    }

    /// All sessions ask in turn, so many statements a second together, until this is so; then open ones are awaited.
    fn busy(&mut self, from: usize, over: impl Fn() -> bool) -> Result<(), String> {
        let begun = Instant::now();
        let mut due = 0u64;
        (self.last_answer, self.longest_gap, self.longest_wait) = (begun, 0.0, 0.0);
        while !over() && begun.elapsed() < 2 * OPENS {
            while begun.elapsed().as_secs_f64() * rate() > due as f64 {
                self.ask((from + due as usize) % self.sessions.len());
                due += 1;
            }
            self.turn(begun + Duration::from_secs_f64(due as f64 / rate()))?;
        }
        let end = Instant::now();
        while self.answered + self.errors < self.asked && end.elapsed() < OPENS {
            self.turn(Instant::now() + Duration::from_millis(1))?;
        }
        Ok(())
    }
}

/// A router before hollow engines that has answered its first statement.
struct Stage {
    router: Guarded,
    address: SocketAddr,
    _discovery: Discovery,
}

impl Stage {
    fn set(ask: &Ask, engines: &[Engine], descriptors: u64) -> Result<Stage, String> {
        let (discovery, address) = (Discovery::start(), vacant());
        discovery.tell(true, &engines.iter().map(|engine| engine.entry("ready")).collect::<Vec<_>>());
        let router = hollow::router(&ask.program, address, &discovery, descriptors)?;
        let begun = Instant::now();
        let mut client = Client::at(address).map_err(|error| format!("the first client: {error}"))?;
        while begun.elapsed() < OPENS {
            router.lives()?;
            client.send(&request("look", 2000, "x"));
            if let Some(Answered::Rows(_)) = client.try_answer() {
                return Ok(Stage { router, address, _discovery: discovery });
            }
        }
        Err("no engine answered the first statement".to_string())
    }

    /// All sessions stand, as the router counts them, beside the one that asks for that.
    fn stand(&self, sessions: usize) -> Result<(), String> {
        self.router.lives()?;
        let mut client = Client::at(self.address).map_err(|error| format!("the counting client: {error}"))?;
        let open = counter(&client.counters_now(), "sessions_open");
        match open == sessions as u64 + 1 {
            true => Ok(()),
            false => Err(format!("{sessions} sessions were opened, the router counts {open} and one more")),
        }
    }
}

/// What one play at one size gave.
#[derive(Default)]
struct Play {
    memory_mb: f64,
    session_kib: f64,
    idle: f64,
    logins_a_second: f64,
    login_us: f64,
    statement_us: f64,
    missed: [u64; 3],
}

fn play(ask: &Ask, engines: &[Engine], size: usize, number: usize) -> Result<Play, String> {
    let stage = Stage::set(ask, engines, descriptors_of(size as f64))?;
    let router = &stage.router;
    let (empty_mb, cpu) = (router.resident(), router.cpu());
    let mut client_group = ClientGroup::new(stage.address).map_err(|error| error.to_string())?;
    let seconds = client_group.open(size, AT_ONCE)?;
    let login_us = (router.cpu() - cpu) * 1e6 / size as f64;
    if client_group.logged_in < size {
        return Err(format!(
            "{} of {size} sessions came in, {} were refused",
            client_group.logged_in, client_group.refused
        ));
    }
    let (cpu, begun) = (router.cpu(), Instant::now());
    std::thread::sleep(QUIET);
    let idle = (router.cpu() - cpu) / begun.elapsed().as_secs_f64();
    let memory_mb = router.resident();
    let (cpu, begun) = (router.cpu(), Instant::now());
    client_group.busy(ask.seed as usize * 7919 + number, || begun.elapsed() >= BUSY)?;
    let statement_us = (router.cpu() - cpu) * 1e6 / client_group.answered.max(1) as f64;
    stage.stand(size - client_group.lost)?;
    Ok(Play {
        memory_mb,
        session_kib: (memory_mb - empty_mb) * 1024.0 / size as f64,
        idle,
        logins_a_second: size as f64 / seconds,
        login_us,
        statement_us,
        missed: [
            client_group.lost as u64,
            client_group.errors + (client_group.asked - client_group.answered - client_group.errors),
            client_group.skipped,
        ],
    })
}

/// What a crowd that came back at once did to those that were there.
#[derive(Default)]
struct Return {
    seconds: f64,
    gap_ms: f64,
    wait_ms: f64,
    peak_mb: f64,
    /// The same two without a crowd.
    gap_before_ms: f64,
    wait_before_ms: f64,
    refused: u64,
    /// Connections that the listen backlog had no room for, in the whole network namespace.
    overflows: u64,
    missed: [u64; 3],
}

/// The kernel's count of connections that a full listen backlog did not take.
fn listen_overflows() -> u64 {
    let text = std::fs::read_to_string("/proc/net/netstat").unwrap_or_default();
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("TcpExt:")).map(str::split_whitespace);
    let (Some(names), Some(mut values)) = (lines.next(), lines.next()) else { return 0 };
    let at = names.into_iter().position(|name| name == "ListenOverflows");
    at.and_then(|at| values.nth(at)?.parse().ok()).unwrap_or(0)
}

fn comes_back(ask: &Ask, engines: &[Engine], standing: usize, returning: usize) -> Result<Return, String> {
    let stage = Stage::set(ask, engines, descriptors_of((standing + returning) as f64))?;
    let client_group = || ClientGroup::new(stage.address).map_err(|error| error.to_string());
    let (mut there, mut back) = (client_group()?, client_group()?);
    there.open(standing, AT_ONCE)?;
    let begun = Instant::now();
    there.busy(ask.seed as usize, || begun.elapsed() >= BESIDE)?;
    let (gap, wait) = (there.longest_gap, there.longest_wait);
    let overflows = listen_overflows();
    let (over, asking) = (AtomicBool::new(false), &mut there);
    let seconds = std::thread::scope(|scope| {
        let over = &over;
        let beside = scope.spawn(move || asking.busy(ask.seed as usize, || over.load(Ordering::Relaxed)));
        std::thread::sleep(BESIDE / 2);
        let seconds = back.open(returning, returning);
        std::thread::sleep(BESIDE / 2);
        over.store(true, Ordering::Relaxed);
        beside.join().map_err(|_| "those that were there failed".to_string())??;
        seconds
    })?;
    if back.logged_in < returning {
        let (logged_in, refused) = (back.logged_in, back.refused);
        return Err(format!("{logged_in} of {returning} sessions came back, {refused} were refused"));
    }
    let lost = there.lost + back.lost;
    stage.stand(standing + returning - lost)?;
    Ok(Return {
        seconds,
        gap_ms: there.longest_gap * 1e3,
        wait_ms: there.longest_wait * 1e3,
        peak_mb: stage.router.peak(),
        gap_before_ms: gap * 1e3,
        wait_before_ms: wait * 1e3,
        refused: back.refused as u64,
        overflows: listen_overflows() - overflows,
        missed: [lost as u64, there.asked - there.answered, there.skipped],
    })
}

/// Those of the router: two for each session, and some for all else.
fn descriptors_of(sessions: f64) -> u64 {
    2 * sessions as u64 + 200
}

/// A row of each play's figure.
fn row<P>(
    name: &str,
    unit: &'static str,
    plays: &[(f64, Vec<P>)],
    at: Result<&Vec<P>, String>,
    figure: impl Fn(&P) -> f64,
    budget: Option<f64>,
) -> Row {
    let all = |plays: &Vec<P>| plays.iter().map(&figure).collect::<Vec<f64>>();
    Row {
        name: name.to_string(),
        unit,
        measured: plays.iter().map(|(size, plays)| (*size, all(plays))).collect(),
        target: at_target(),
        at_target: at.map(all),
        budget,
    }
}

/// Plays at each size, and at the target where sizes reach so far: each play goes through all sizes in turn, so that what
/// the machine does besides falls on all alike.
fn plays<P>(
    count: usize,
    sizes: &[f64],
    run: impl Fn(f64, usize) -> Result<P, String>,
) -> Result<Vec<(f64, Vec<P>)>, String> {
    let mut all: Vec<(f64, Vec<P>)> = sizes.iter().map(|&size| (size, Vec::new())).collect();
    for number in 0..count {
        for (size, plays) in &mut all {
            plays.push(run(*size, number).map_err(|why| format!("{size} sessions, play {number}: {why}"))?);
        }
    }
    Ok(all)
}

fn spread<P>(plays: &[P], figure: impl Fn(&P) -> f64) -> Value {
    let range = Range::of(&plays.iter().map(figure).collect::<Vec<_>>());
    json!(range.map(|range| [range.least, range.median, range.most]))
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let goal = at_target();
    let mut sizes = ask.sizes(&SIZES);
    let most = sizes.last().copied().unwrap_or(0.0);
    let reaches = most >= goal && !sizes.contains(&goal);
    // To a router that has as many, or as many as its descriptors leave.
    let bears = MOST_DESCRIPTORS / 2.0 - 100.0;
    let mut returning = match ask.sizes {
        Some(_) => sizes.iter().copied().filter(|size| 2.0 * size <= bears).collect(),
        None => RETURNING.to_vec(),
    };
    let standing = |coming: f64| coming.min(bears - coming);
    let need = Need {
        // The router's, which is bound by the limit that is ours; we hold fewer.
        descriptors: descriptors_of(most).max(descriptors_of(if reaches { bears } else { 0.0 })),
        memory_mb: 128 + most as u64 / 16,
        processes: 2,
    };
    need.borne()?;
    let engines: std::io::Result<Vec<Engine>> =
        (0..ENGINES).map(|at| hollow::engine(&format!("e{at}"))).collect();
    let engines = engines.map_err(|error| format!("an engine: {error}"))?;
    if reaches {
        sizes.push(goal);
        returning.push(goal);
    }
    let mut sessions = plays(ask.plays, &sizes, |size, number| play(ask, &engines, size as usize, number))?;
    let mut returns = plays(ask.plays, &returning, |size, _| {
        comes_back(ask, &engines, standing(size) as usize, size as usize)
    })?;
    let missed = json!({
        "sessions_lost_statements_without_rows_statements_skipped": sessions.iter().map(|(size, plays)| {
            json!([size, plays.iter().fold([0; 3], |sum, play| [0, 1, 2].map(|at| sum[at] + play.missed[at]))])
        }).collect::<Vec<_>>(),
        "the_same_as_sessions_come_back": returns.iter().map(|(size, plays)| {
            json!([size, plays.iter().fold([0; 3], |sum, play| [0, 1, 2].map(|at| sum[at] + play.missed[at]))])
        }).collect::<Vec<_>>(),
    });
    let unseen = || format!("sizes end at {most}, or hold {goal} themselves");
    let (at, back_at) = match reaches {
        true => (sessions.pop().map(|last| last.1), returns.pop().map(|last| last.1)),
        false => (None, None),
    };
    let (at, back_at) = (|| at.as_ref().ok_or_else(unseen), || back_at.as_ref().ok_or_else(unseen));
    let stated = configuration(vacant(), vacant(), "{}", 1);
    let stated: Value = serde_json::from_str(&stated).map_err(|error| error.to_string())?;
    let (memory, core) = (stated["limits"]["memory_mb"].as_f64(), stated["limits"]["cores"].as_f64());
    let busy = format!("CPU a statement, by client sessions, at {:.0} a second; budget: one core", rate());
    let us = core.map(|core| core * 1e6 / rate());
    let held = "resident memory, by quiet client sessions; budget: limits.memory_mb";
    let rows = [
        row(&busy, "us", &sessions, at(), |play| play.statement_us, us),
        row(held, "MB", &sessions, at(), |play| play.memory_mb, memory),
        row("memory a session beyond an empty router", "KiB", &sessions, at(), |play| play.session_kib, None),
        row(
            "idle CPU, by quiet client sessions; budget: one core",
            "cores",
            &sessions,
            at(),
            |play| play.idle,
            core,
        ),
        row(
            "accepted and logged in, 256 at a time",
            "a second",
            &sessions,
            at(),
            |play| play.logins_a_second,
            None,
        ),
        row("CPU a login, 256 at a time", "us", &sessions, at(), |play| play.login_us, None),
        row(
            "time until all that come back at once are in",
            "s",
            &returns,
            back_at(),
            |play| play.seconds,
            None,
        ),
        row(
            "longest gap in answers of those there before",
            "ms",
            &returns,
            back_at(),
            |play| play.gap_ms,
            None,
        ),
        row(
            "longest wait for an answer of those there before",
            "ms",
            &returns,
            back_at(),
            |play| play.wait_ms,
            None,
        ),
        row(
            "peak memory as they come back; budget: limits.memory_mb",
            "MB",
            &returns,
            back_at(),
            |play| play.peak_mb,
            memory,
        ),
    ];
    let back = back_at().ok();
    let more = json!({
        "statements_a_second": rate().round(),
        "engines": ENGINES,
        "missed": missed,
        "there_before_at_target": standing(goal),
        "without_a_crowd_gap_ms": back.map(|plays| spread(plays, |play| play.gap_before_ms)),
        "without_a_crowd_wait_ms": back.map(|plays| spread(plays, |play| play.wait_before_ms)),
        "listen_overflows_by_size": returns.iter().map(|(size, plays)| {
            json!([size, spread(plays, |play| play.overflows as f64)])
        }).collect::<Vec<_>>(),
        "listen_overflows": back.map(|plays| spread(plays, |play| play.overflows as f64)),
        "refused_and_come_anew": back.map(|plays| spread(plays, |play| play.refused as f64)),
    });
    Ok(report("clients", ask, &rows, more))
}
