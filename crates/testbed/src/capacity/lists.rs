//! The list of engines, from the discovery service to in force: what it costs a real router by engines, and what discovery services bear
//! by the routers that watch them. Hollow discovery services and hollow watchers speak the discovery service's lines, many to a thread; a hollow
//! watcher finds its lines' ends, numbers and whether they are whole lists, and does not take entries apart.

use super::{report, target, Ask, Need, Range, Row};
use crate::stand_ins::{counter, Client, Discovery, Router};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Events that a hollow discovery service still has; who asks from further back is told the whole list.
const HELD: usize = 64;
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Longer than anything here takes.
const GENEROUS: Duration = Duration::from_secs(20);
const BOARDS: usize = 4;
const THREADS: usize = 4;
/// Changes a second that a router is to bear at a bad moment.
const BURST: f64 = 50.0;
/// What a day's failures and restarts make in changes: gone and ready again; draining, gone and ready again.
const DAY: f64 = 5.0 * 2.0 + 120.0 * 3.0;

/// Processor time of a process or thread (`PID`, `PID/task/TID`) in seconds; exact while it waits.
fn spent(of: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{of}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|spent| spent.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Which of these have something, once one has or the time is over.
fn ready(mut fds: Vec<PollFd>, within: Duration) -> Vec<bool> {
    let within = Timespec { tv_sec: within.as_secs() as i64, tv_nsec: within.subsec_nanos().into() };
    let _ = poll(&mut fds, Some(&within));
    fds.iter().map(|fd| !fd.revents().is_empty()).collect()
}

type Line = Arc<Vec<u8>>;

struct Entry {
    uid: String,
    at: usize,
    state: &'static str,
    boot_ms: u64,
}

impl Entry {
    fn text(&self) -> String {
        let Entry { uid, at, state, boot_ms } = self;
        let address = format!("127.18.{}.{}:5003", at / 250, at % 250 + 1);
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"east","model":"std","state":"{state}","boot_ms":{boot_ms}}}"#
        )
    }
}

#[derive(Default)]
struct State {
    entries: Vec<Entry>,
    changes: usize,
    last: u64,
    held: VecDeque<(u64, Line)>,
    /// The whole list as of the last event, once it was asked for.
    whole: Option<Line>,
}

impl State {
    fn event(&self, whole: bool, entries: &[&Entry]) -> Line {
        let entries: Vec<String> = entries.iter().map(|entry| entry.text()).collect();
        let (number, entries) = (self.last, entries.join(","));
        let text = format!(r#"{{"rev":{number},"pool":{{"rev":1,"all":{whole},"targets":[{entries}]}}}}"#);
        Arc::new((text + "\n").into_bytes())
    }

    fn whole(&mut self) -> Line {
        let there: Vec<&Entry> = self.entries.iter().filter(|entry| entry.state != "gone").collect();
        let line = self.event(true, &there);
        self.whole.get_or_insert(line).clone()
    }

    fn tell(&mut self, make: impl FnOnce(&mut State) -> Line) {
        (self.last, self.whole) = (self.last + 1, None);
        let line = make(self);
        self.held.push_back((self.last, line));
        if self.held.len() > HELD {
            self.held.pop_front();
        }
    }

    /// What one who has heard this far has to be told.
    fn after(&mut self, told: u64) -> Vec<Line> {
        if told >= self.last {
            Vec::new()
        } else if self.held.front().is_some_and(|(number, _)| *number <= told + 1) {
            self.held.iter().filter(|(number, _)| *number > told).map(|(_, line)| line.clone()).collect()
        } else if let Some(line) = &self.whole {
            vec![line.clone()]
        } else {
            vec![self.whole()]
        }
    }
}

#[derive(Default)]
struct Told {
    state: Mutex<State>,
    over: AtomicBool,
    lost: AtomicBool,
    /// Of events; the numbers of each second stand apart.
    bytes: AtomicU64,
    heartbeat_bytes: AtomicU64,
    calls: AtomicU64,
    rejected_unseen: AtomicU64,
}

struct Caller {
    stream: TcpStream,
    asked: Vec<u8>,
    /// The last event that it has or that is on its way to it, once it has asked.
    told: Option<u64>,
    out: VecDeque<Line>,
    /// Of the first line in `out`, gone already.
    gone: usize,
}

impl Caller {
    /// Reads its ask and writes what is taken; false once it is over.
    fn work(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(length) => self.asked.extend(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        let text = String::from_utf8_lossy(&self.asked);
        if let Some(last) = text.strip_suffix('\n').and_then(|text| text.strip_prefix("watch ")) {
            self.told = last.parse().ok();
            self.asked.clear();
        }
        while let Some(line) = self.out.front() {
            match self.stream.write(&line[self.gone..]) {
                Ok(length) => self.gone += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
            if self.gone == line.len() {
                self.gone = 0;
                self.out.pop_front();
            }
        }
        true
    }
}

/// A discovery service for as many callers as come, on one thread. It has told nothing until it is told to.
pub struct HollowDiscovery {
    pub address: SocketAddr,
    /// Each change is told as the whole list: what tests that bound growth have to catch.
    pub wasteful: bool,
    told: Arc<Told>,
    wake: UnixStream,
    thread: Option<JoinHandle<()>>,
    task: String,
}

impl HollowDiscovery {
    pub fn start(engines: usize) -> HollowDiscovery {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(4096).expect("a listener");
        let listener = TcpListener::from(socket);
        listener.set_nonblocking(true).expect("a socket");
        let (wake, woken) = UnixStream::pair().expect("a pair");
        woken.set_nonblocking(true).expect("a socket");
        let told = Arc::new(Told::default());
        let entry = |at| Entry { uid: format!("e{at:05}"), at, state: "ready", boot_ms: 0 };
        told.state.lock().expect("its state").entries = (0..engines).map(entry).collect();
        let address = listener.local_addr().expect("an address");
        let (tell, task) = std::sync::mpsc::channel();
        let serves = told.clone();
        let thread = std::thread::spawn(move || {
            let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
            let _ = tell.send(link.to_string_lossy().into_owned());
            serve(&listener, woken, &serves);
        });
        let task = task.recv().unwrap_or_default();
        HollowDiscovery { address, wasteful: false, told, wake, thread: Some(thread), task }
    }

    fn wake(&self) {
        let _ = (&self.wake).write(&[1]);
    }

    /// Tells the whole list; the number of that event.
    pub fn tell_whole(&self) -> u64 {
        let mut state = self.told.state.lock().expect("its state");
        state.tell(State::whole);
        self.wake();
        state.last
    }

    /// Tells the next change: an engine drains, has gone, is there under another name, then the next engine.
    pub fn tell_change(&self) -> u64 {
        let mut state = self.told.state.lock().expect("its state");
        let (change, engines) = (state.changes, state.entries.len());
        state.changes += 1;
        let entry = &mut state.entries[change / 3 % engines];
        entry.state = ["draining", "gone", "ready"][change % 3];
        if change % 3 == 2 {
            entry.uid = format!("e{:05}", engines + change / 3);
            entry.boot_ms = 1_790_000_000_000;
        }
        let wasteful = self.wasteful;
        state.tell(|state| {
            let entry = &state.entries[change / 3 % engines];
            if wasteful {
                state.whole()
            } else {
                state.event(false, &[entry])
            }
        });
        self.wake();
        state.last
    }

    /// What it holds of former events is gone; the list is not.
    fn forget(&self) {
        self.told.state.lock().expect("its state").held.clear();
    }

    /// From now on it closes whatever comes, and what is there.
    pub fn lose(&self, lost: bool) {
        self.told.lost.store(lost, Relaxed);
        self.wake();
    }

    /// Bytes of events written, without the number of each second.
    pub fn bytes(&self) -> u64 {
        self.told.bytes.load(Relaxed)
    }

    /// Asks (`watch N`) that came; connections rejected while it was lost.
    pub fn calls(&self) -> (u64, u64) {
        (self.told.calls.load(Relaxed), self.told.rejected_unseen.load(Relaxed))
    }

    fn cpu(&self) -> f64 {
        spent(&self.task)
    }
}

impl Drop for HollowDiscovery {
    fn drop(&mut self) {
        self.told.over.store(true, Relaxed);
        self.wake();
        self.thread.take().map(JoinHandle::join);
    }
}

fn serve(listener: &TcpListener, mut woken: UnixStream, told: &Told) {
    let (mut open, mut heartbeat): (Vec<Caller>, Instant) = (Vec::new(), Instant::now() + HEARTBEAT);
    while !told.over.load(Relaxed) {
        let flags = |caller: &Caller| {
            if caller.out.is_empty() {
                PollFlags::IN
            } else {
                PollFlags::IN | PollFlags::OUT
            }
        };
        let mut fds = vec![PollFd::new(&woken, PollFlags::IN), PollFd::new(listener, PollFlags::IN)];
        fds.extend(open.iter().map(|caller| PollFd::new(&caller.stream, flags(caller))));
        let ready = ready(fds, heartbeat.saturating_duration_since(Instant::now()));
        while ready[0] && woken.read(&mut [0; 256]).is_ok_and(|length| length > 0) {}
        let lost = told.lost.load(Relaxed);
        if lost {
            open.clear();
        }
        let beats = Instant::now() >= heartbeat;
        heartbeat = if beats { Instant::now() + HEARTBEAT } else { heartbeat };
        let mut at = 2;
        open.retain_mut(|caller| {
            let asked = caller.told;
            // Whoever is ready is read first, so that its ask is answered in this turn.
            let mut lives = !ready.get(at).copied().unwrap_or(true) || caller.work();
            at += 1;
            let Some(so_far) = caller.told else { return lives };
            let mut state = told.state.lock().expect("its state");
            let news = state.after(so_far);
            caller.told = Some(state.last.max(so_far));
            let number =
                (beats || asked.is_none()).then(|| Arc::new(format!("{}\n", state.last).into_bytes()));
            drop(state);
            told.calls.fetch_add(u64::from(asked.is_none()), Relaxed);
            told.bytes.fetch_add(news.iter().map(|line| line.len() as u64).sum(), Relaxed);
            told.heartbeat_bytes.fetch_add(number.iter().map(|line| line.len() as u64).sum(), Relaxed);
            let quiet = caller.out.is_empty();
            caller.out.extend(news.into_iter().chain(number));
            if quiet && !caller.out.is_empty() {
                lives = lives && caller.work();
            }
            lives
        });
        let coming = std::iter::from_fn(|| listener.accept().ok());
        for (stream, _) in coming.take(if ready[1] { 4096 } else { 0 }) {
            told.rejected_unseen.fetch_add(u64::from(lost), Relaxed);
            if !lost && stream.set_nonblocking(true).is_ok() && stream.set_nodelay(true).is_ok() {
                open.push(Caller { stream, asked: Vec::new(), told: None, out: VecDeque::new(), gone: 0 });
            }
        }
    }
}

/// A hollow router: the last event it holds, and when that came.
#[derive(Clone, Copy)]
struct Heard {
    last: u64,
    at: Instant,
    /// When any line came last.
    line_at: Instant,
}

struct Watcher {
    number: usize,
    discovery: usize,
    wire: Option<TcpStream>,
    retry_at: Instant,
    tries: i32,
    line: Vec<u8>,
    heard: Heard,
}

impl Watcher {
    /// As the router does it: pauses that grow from 0.1 s to 0.4 s, each between half and all of that.
    fn lost(&mut self, discoveries: usize) {
        let pause = (0.1 * 1.6_f64.powi(self.tries.min(100))).min(0.4);
        let drawn = 0.5 + 0.5 * (self.number * 7919 % 1000) as f64 / 1000.0;
        self.retry_at = Instant::now() + Duration::from_secs_f64(pause * drawn);
        // The others take it in equal parts; a router of today has one address, and stays.
        self.discovery =
            (self.discovery + 1 + self.number / discoveries % (discoveries - 1).max(1)) % discoveries;
        self.tries += 1;
        (self.wire, self.line) = (None, Vec::new());
    }

    fn connect(&mut self, discoveries: &[SocketAddr]) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(discoveries[self.discovery])?;
        stream.set_nodelay(true)?;
        stream.write_all(format!("watch {}\n", self.heard.last).as_bytes())?;
        stream.set_nonblocking(true)?;
        self.wire = Some(stream);
        Ok(())
    }

    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<()> {
        loop {
            let Some(stream) = &mut self.wire else { return Ok(()) };
            let length = match stream.read(bytes) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                read => read?,
            };
            let mut rest = &bytes[..length];
            while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
                self.line.extend(&rest[..end]);
                rest = &rest[end + 1..];
                self.hear();
            }
            self.line.extend(rest);
        }
    }

    fn hear(&mut self) {
        let now = Instant::now();
        (self.heard.line_at, self.tries) = (now, 0);
        let line = std::mem::take(&mut self.line);
        let head = String::from_utf8_lossy(&line[..line.len().min(64)]);
        let number = head.strip_prefix(r#"{"rev":"#).and_then(|rest| rest.split(',').next()?.parse().ok());
        if let Some(number) = number {
            let whole = head.contains(r#""all":true"#) && line.ends_with(b"]}}");
            if number == self.heard.last + 1 || whole && number > self.heard.last {
                (self.heard.last, self.heard.at) = (number, now);
            }
        }
    }
}

struct Watchers {
    heard: Vec<Arc<Mutex<Vec<Heard>>>>,
    threads: Vec<JoinHandle<()>>,
    over: Arc<AtomicBool>,
}

impl Watchers {
    /// So many at once, shared out among the discovery services.
    fn start(count: usize, discoveries: &[SocketAddr]) -> Watchers {
        let over = Arc::new(AtomicBool::new(false));
        let mut watchers = Watchers { heard: Vec::new(), threads: Vec::new(), over: over.clone() };
        let now = Instant::now();
        for thread in 0..THREADS {
            let watcher = |number| Watcher {
                number,
                discovery: number % discoveries.len(),
                wire: None,
                retry_at: now,
                tries: 0,
                line: Vec::new(),
                heard: Heard { last: 0, at: now, line_at: now },
            };
            let mine: Vec<Watcher> =
                (0..count).filter(|at| at / discoveries.len() % THREADS == thread).map(watcher).collect();
            let heard = Arc::new(Mutex::new(mine.iter().map(|watcher| watcher.heard).collect()));
            watchers.heard.push(heard.clone());
            let (discoveries, over) = (discoveries.to_vec(), over.clone());
            watchers.threads.push(std::thread::spawn(move || watch(mine, &discoveries, &heard, &over)));
        }
        watchers
    }

    fn all(&self) -> Vec<Heard> {
        self.heard.iter().flat_map(|heard| heard.lock().expect("what they heard").clone()).collect()
    }

    /// Waits until this holds for each; seconds from then until the last.
    fn until(&self, from: Instant, when: impl Fn(&Heard) -> Option<Instant>) -> Result<f64, String> {
        loop {
            let all = self.all();
            let done: Vec<Instant> = all.iter().filter_map(&when).collect();
            if done.len() == all.len() {
                return Ok(done.into_iter().max().map_or(0.0, |at| at.duration_since(from).as_secs_f64()));
            }
            if self.threads.iter().any(JoinHandle::is_finished) {
                return Err("a thread of hollow watchers died".to_string());
            }
            if from.elapsed() > GENEROUS {
                return Err(format!(
                    "{} of {} hollow watchers were not told",
                    all.len() - done.len(),
                    all.len()
                ));
            }
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    fn have(&self, event: u64, from: Instant) -> Result<f64, String> {
        self.until(from, |heard| (heard.last >= event).then_some(heard.at))
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn watch(mut mine: Vec<Watcher>, discoveries: &[SocketAddr], heard: &Mutex<Vec<Heard>>, over: &AtomicBool) {
    let mut bytes = vec![0; 64 * 1024];
    while !over.load(Relaxed) {
        for watcher in mine.iter_mut().filter(|one| one.wire.is_none() && one.retry_at <= Instant::now()) {
            if watcher.connect(discoveries).is_err() {
                watcher.lost(discoveries.len());
            }
        }
        let open: Vec<usize> = (0..mine.len()).filter(|at| mine[*at].wire.is_some()).collect();
        let fds = open.iter().filter_map(|at| mine[*at].wire.as_ref());
        let ready =
            ready(fds.map(|wire| PollFd::new(wire, PollFlags::IN)).collect(), Duration::from_millis(10));
        for at in open.into_iter().zip(ready).filter_map(|(at, ready)| ready.then_some(at)) {
            if mine[at].read(&mut bytes).is_err() {
                mine[at].lost(discoveries.len());
            }
            heard.lock().expect("what they heard")[at] = mine[at].heard;
        }
    }
}

/// One play of a real router: processor time and bytes of one, and seconds until it is in force.
#[derive(Default)]
struct Cost {
    cpu: f64,
    bytes: f64,
    in_force: f64,
}

struct Routed {
    first: Cost,
    /// Lines of the log for the first list, those that were lost among them.
    first_lines: f64,
    whole: Cost,
    change: Cost,
    idle: f64,
    /// Processor time of a list or change as it was spaced in the play.
    spaced: [f64; 2],
}

/// The router shows that an event is in force: its counters are told behind the turn that took it.
fn in_force(client: &mut Client, event: u64, from: Instant) -> Result<f64, String> {
    loop {
        let line = client.counters_now();
        if line.is_empty() {
            return Err("the router has gone".to_string());
        }
        if counter(&line, "board_events") >= event {
            return Ok(from.elapsed().as_secs_f64());
        }
        if from.elapsed() > GENEROUS {
            return Err(format!("event {event} is not in force: {line}"));
        }
    }
}

/// A real router before such a discovery service; nothing is known to it at first.
pub fn watching(program: &Path, discovery: &HollowDiscovery) -> Router {
    let info = [("RUST_LOG".to_string(), "info".to_string())];
    let none = Discovery::start();
    let router = Router::spawned(
        crate::stand_ins::vacant(),
        program,
        (discovery.address, &none),
        512,
        &[],
        &info,
        |text| text,
    );
    router.log.wait("discovery service connected", 1);
    router
}

/// Lines of the log that tell of one engine, those that were lost for their number among them.
pub fn lines_by_engine(log: &[String]) -> usize {
    let lost =
        |line: &String| line.strip_prefix('[')?.strip_suffix(" log lines lost]")?.parse::<usize>().ok();
    let of_engines = log.iter().filter(|line| line.contains("] engine ")).count();
    of_engines + log.iter().filter_map(lost).sum::<usize>()
}

fn routed(program: &Path, engines: usize) -> Result<Routed, String> {
    let discovery = HollowDiscovery::start(engines);
    let router = watching(program, &discovery);
    let process = router.process().to_string();
    std::thread::sleep(Duration::from_millis(50));
    let (cpu, began) = (spent(&process), Instant::now());
    let mut event = discovery.tell_whole();
    let mut client = Client::at(router.address).map_err(|error| format!("the router: {error}"))?;
    let first_in_force = in_force(&mut client, event, began)?;
    std::thread::sleep(Duration::from_millis(20));
    let first =
        Cost { cpu: spent(&process) - cpu, bytes: discovery.bytes() as f64, in_force: first_in_force };
    let (cpu, began) = (spent(&process), Instant::now());
    std::thread::sleep(Duration::from_millis(1200));
    let idle = (spent(&process) - cpu) / began.elapsed().as_secs_f64();
    // Lines that were lost are told with the next that comes.
    router.signal(rustix::process::Signal::USR1);
    router.log.wait("counters:", 1);
    let first_lines = lines_by_engine(&router.log.all()) as f64;
    let mut costs = Vec::new();
    let mut spaced = [0.0; 2];
    for whole in [true, false] {
        let tell = || if whole { discovery.tell_whole() } else { discovery.tell_change() };
        // Far enough apart for a turn of its own, and few enough new engines a second for the log.
        let every = if whole { 2e-3 + 3e-5 * engines as f64 } else { 2e-3 };
        let count = (0.9 / every) as u64 / 3 * 3;
        let (cpu, bytes, began) = (spent(&process), discovery.bytes(), Instant::now());
        for number in 1..=count {
            event = tell();
            let next = began + Duration::from_secs_f64(every * number as f64);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        std::thread::sleep(Duration::from_millis(20));
        let cpu = spent(&process) - cpu - idle * began.elapsed().as_secs_f64();
        spaced[usize::from(!whole)] = every;
        in_force(&mut client, event, Instant::now())?;
        let bytes = discovery.bytes() - bytes;
        let mut times = Vec::new();
        for _ in 0..21 {
            let from = Instant::now();
            event = tell();
            times.push(in_force(&mut client, event, from)?);
        }
        let in_force = Range::of(&times).map_or(0.0, |range| range.median);
        costs.push(Cost { cpu: cpu / count as f64, bytes: bytes as f64 / count as f64, in_force });
    }
    let (change, whole) = (costs.pop().unwrap_or_default(), costs.pop().unwrap_or_default());
    Ok(Routed { first, first_lines, whole, change, idle, spaced })
}

/// One play of watchers before discovery services: of the discovery service that had most, and seconds until the last watcher had it.
struct Watched {
    started: Cost,
    whole: Cost,
    change: Cost,
}

/// Processor time and bytes of the discovery service that had most of both since then.
fn most(discoveries: &[HollowDiscovery], before: &[(f64, u64)], seconds: f64) -> Cost {
    let since = discoveries
        .iter()
        .zip(before)
        .map(|(discovery, (cpu, bytes))| (discovery.cpu() - cpu, discovery.bytes() - bytes));
    let since: Vec<(f64, u64)> = since.collect();
    let cpu = since.iter().map(|(cpu, _)| *cpu).fold(0.0, f64::max);
    let bytes = since.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0) as f64;
    Cost { cpu, bytes, in_force: seconds }
}

fn marks(discoveries: &[HollowDiscovery]) -> Vec<(f64, u64)> {
    std::thread::sleep(Duration::from_millis(20));
    discoveries.iter().map(|discovery| (discovery.cpu(), discovery.bytes())).collect()
}

fn all_start(discoveries: usize, watchers: usize) -> Result<(Vec<HollowDiscovery>, Watchers, Cost), String> {
    let discoveries: Vec<HollowDiscovery> =
        (0..discoveries).map(|_| HollowDiscovery::start(target::ENGINES)).collect();
    for discovery in &discoveries {
        discovery.tell_whole();
    }
    let (before, from) = (marks(&discoveries), Instant::now());
    let addresses: Vec<SocketAddr> = discoveries.iter().map(|discovery| discovery.address).collect();
    let watchers = Watchers::start(watchers, &addresses);
    let seconds = watchers.have(1, from)?;
    std::thread::sleep(Duration::from_millis(20));
    let cost = most(&discoveries, &before, seconds);
    Ok((discoveries, watchers, cost))
}

/// Tells something on these discovery services, and waits until all watchers have it.
fn told(
    discoveries: &[HollowDiscovery],
    watchers: &Watchers,
    tell: fn(&HollowDiscovery) -> u64,
) -> Result<Cost, String> {
    let (before, from) = (marks(discoveries), Instant::now());
    let event = discoveries.iter().map(tell).max().unwrap_or(0);
    let seconds = watchers.have(event, from)?;
    std::thread::sleep(Duration::from_millis(20));
    Ok(most(discoveries, &before, seconds))
}

const CHANGES: usize = 12;

fn changes(discoveries: &[HollowDiscovery], watchers: &Watchers) -> Result<Cost, String> {
    let mut sum = Cost::default();
    for _ in 0..CHANGES {
        let cost = told(discoveries, watchers, HollowDiscovery::tell_change)?;
        sum.cpu += cost.cpu / CHANGES as f64;
        sum.bytes += cost.bytes / CHANGES as f64;
        sum.in_force = sum.in_force.max(cost.in_force);
    }
    Ok(sum)
}

fn watched(discoveries: usize, watchers: usize) -> Result<Watched, String> {
    let (discoveries, watchers, started) = all_start(discoveries, watchers)?;
    let whole = told(&discoveries, &watchers, HollowDiscovery::tell_whole)?;
    let change = changes(&discoveries, &watchers)?;
    Ok(Watched { started, whole, change })
}

/// One of four discovery services is lost while a change is told by the others: what that moves onto them, and until when.
fn one_lost(watchers: usize, forgetful: bool) -> Result<Value, String> {
    let (mut discoveries, watchers, _) = all_start(BOARDS, watchers)?;
    changes(&discoveries, &watchers)?;
    let calls = |discoveries: &[HollowDiscovery]| {
        discoveries.iter().map(|discovery| discovery.calls().0).sum::<u64>()
    };
    let lost = discoveries.pop().ok_or("no board")?;
    let (before, called, from) = (marks(&discoveries), calls(&discoveries), Instant::now());
    lost.lose(true);
    let event = discoveries.iter().map(HollowDiscovery::tell_change).max().unwrap_or(0);
    if forgetful {
        // Their own have the change by then, and those that move have not come yet.
        std::thread::sleep(Duration::from_millis(20));
        discoveries.iter().for_each(HollowDiscovery::forget);
    }
    let seconds = watchers.have(event, from)?;
    std::thread::sleep(Duration::from_millis(20));
    let cost = most(&discoveries, &before, seconds);
    let moved = calls(&discoveries) - called;
    if moved == 0 {
        return Err("the loss of a board moved nobody".to_string());
    }
    let after = changes(&discoveries, &watchers)?;
    Ok(json!({
        "watchers_moved": moved, "seconds_until_the_last_has_the_change": cost.in_force,
        "most_of_a_board": {"cpu_s": cost.cpu, "bytes": cost.bytes},
        "then_a_change_on_three": {"cpu_s_a_board": after.cpu, "bytes_a_board": after.bytes, "seconds": after.in_force},
    }))
}

/// What a real router does while its only discovery service turns it away, and how soon it has a change told once the discovery service is back.
fn alone(program: &Path, engines: usize) -> Result<Value, String> {
    let discovery = HollowDiscovery::start(engines);
    let router = watching(program, &discovery);
    discovery.tell_whole();
    let mut client = Client::at(router.address).map_err(|error| format!("the router: {error}"))?;
    let (cpu, from) = (spent(&router.process().to_string()), Instant::now());
    discovery.lose(true);
    std::thread::sleep(Duration::from_secs(4));
    let event = discovery.tell_change();
    let seconds = from.elapsed().as_secs_f64();
    let cpu = (spent(&router.process().to_string()) - cpu) / seconds;
    let (back, tries, bytes) = (Instant::now(), discovery.calls().1, discovery.bytes());
    if tries == 0 {
        return Err("the loss of the board had no effect".to_string());
    }
    discovery.lose(false);
    let has_it = in_force(&mut client, event, back)?;
    let words = router.log.all();
    let words: Vec<&String> = words.iter().filter(|line| line.contains("discovery service")).collect();
    Ok(json!({
        "seconds_lost": seconds, "tries": tries, "tries_a_second": tries as f64 / seconds, "cpu_share": cpu,
        "bytes_once_back": discovery.bytes() - bytes, "seconds_once_back": has_it, "log": words,
    }))
}

/// What a reading takes of a play.
type Of<P> = fn(&P) -> f64;

fn rows<P>(
    names: &[(&str, &'static str, Option<f64>, Of<P>)],
    at: f64,
    plays: &[(f64, Vec<P>)],
    by: &str,
) -> Vec<Row> {
    let row = |&(name, unit, budget, of): &(&str, &'static str, Option<f64>, Of<P>)| {
        let of_size = |(size, plays): &(f64, Vec<P>)| (*size, plays.iter().map(of).collect::<Vec<f64>>());
        let (at_target, measured): (Vec<_>, Vec<_>) =
            plays.iter().map(of_size).partition(|(size, _)| *size == at);
        let at_target = at_target.into_iter().next().map(|(_, plays)| plays);
        let at_target = at_target.ok_or("left out of the sizes".to_string());
        Row { name: format!("{name}, by {by}"), unit, measured, target: at, at_target, budget }
    };
    names.iter().map(row).collect()
}

/// `play` at each size and at the target, in turn, so that what else the machine does falls on all alike.
fn play<P>(
    plays: usize,
    sizes: &[f64],
    at: usize,
    play: impl Fn(usize) -> Result<P, String>,
) -> Result<Vec<(f64, Vec<P>)>, String> {
    let all = sizes.iter().copied().filter(|size| *size != at as f64).chain([at as f64]);
    let mut played: Vec<(f64, Vec<P>)> = all.map(|size| (size, Vec::new())).collect();
    for _ in 0..plays {
        for (size, done) in &mut played {
            done.push(play(*size as usize).map_err(|why| format!("at {size}: {why}"))?);
        }
    }
    Ok(played)
}

pub fn measure(ask: &Ask) -> Result<Value, String> {
    let sizes = ask.sizes(&[10.0, 30.0, 100.0, 300.0, 1000.0, 1380.0]);
    let watcher_sizes = [50.0, 100.0, 200.0, 400.0, 1000.0];
    // Both ends of each watcher, and its whole list in the sockets between them.
    Need { descriptors: 2200, memory_mb: 1024, processes: 1 }.borne()?;
    let most_engines = sizes.iter().copied().fold(target::ENGINES as f64, f64::max);
    // A line of the discovery service is read whole within a sixteenth of the configured memory.
    if most_engines > 60_000.0 {
        return Err(format!(
            "a list of {most_engines} engines: 60000 are the most that these addresses tell apart"
        ));
    }
    let routers = play(ask.plays, &sizes, target::ENGINES, |engines| routed(&ask.program, engines))?;
    let watchers = play(ask.plays, &watcher_sizes, target::ROUTERS, |watchers| watched(BOARDS, watchers))?;
    let burst = target::CONTROL_CPU / BURST;
    let one_second = Some(target::CONTROL_CPU);
    let mut all = rows::<Routed>(
        &[
            ("bytes a change, 50 a second", "bytes", Some(target::CONTROL_BYTES / BURST), |p| p.change.bytes),
            ("CPU a change, 50 a second", "s", Some(burst), |p| p.change.cpu),
            ("CPU the first whole list, one in a second", "s", one_second, |p| p.first.cpu),
            ("CPU a whole list again, one in a second", "s", one_second, |p| p.whole.cpu),
            ("bytes a whole list", "bytes", None, |p| p.whole.bytes),
            ("seconds from the first whole list told to in force", "s", None, |p| p.first.in_force),
            ("seconds from a whole list told again to in force", "s", None, |p| p.whole.in_force),
            ("seconds from a change told to in force", "s", None, |p| p.change.in_force),
            ("log lines for the first whole list", "lines", None, |p| p.first_lines),
        ],
        target::ENGINES as f64,
        &routers,
        "engines",
    );
    all.extend(rows::<Watched>(
        &[
            ("CPU of a board, all watchers started at once", "s", None, |p| p.started.cpu),
            ("bytes of a board, all watchers started at once", "bytes", None, |p| p.started.bytes),
            ("seconds until the last has it, all started at once", "s", None, |p| p.started.in_force),
            ("CPU of a board, a whole list to all", "s", None, |p| p.whole.cpu),
            ("bytes of a board, a whole list to all", "bytes", None, |p| p.whole.bytes),
            ("seconds until the last has a whole list", "s", None, |p| p.whole.in_force),
            ("CPU of a board, a change to all", "s", None, |p| p.change.cpu),
            ("bytes of a board, a change to all", "bytes", None, |p| p.change.bytes),
            ("seconds until the last has a change, longest of twelve", "s", None, |p| p.change.in_force),
        ],
        target::ROUTERS as f64,
        &watchers,
        "watchers on four boards",
    ));
    let [three, one] = [3, 1].map(|discoveries| {
        watched(discoveries, target::ROUTERS).map(|play| {
            let words = |cost: &Cost| {
                json!({"cpu_s_a_board": cost.cpu, "bytes_a_board": cost.bytes, "seconds_until_the_last": cost.in_force})
            };
            json!({
                "all_started_at_once": words(&play.started), "a_whole_list": words(&play.whole),
                "a_change": words(&play.change),
            })
        })
    });
    let at_target = routers.last().and_then(|(_, plays)| plays.first()).ok_or("no play at the target")?;
    let (cpu, bytes) = (at_target.change.cpu, at_target.change.bytes);
    let [idle, spaced] = [at_target.idle, at_target.spaced[1]];
    let share = |rate: f64| json!({"changes_a_second": rate, "cpu_share": cpu * rate, "bytes_a_second": bytes * rate});
    let more = json!({
        "engines_before_the_watchers": target::ENGINES,
        "router_idle_share": idle, "changes_spaced_s": spaced,
        "an_ordinary_day": {"changes": DAY, "share": share(DAY / 86_400.0)},
        "the_bad_moment": share(BURST),
        "on_three_boards": three?, "on_one_board": one?,
        "one_of_four_lost": one_lost(target::ROUTERS, false)?,
        "one_of_four_lost_the_others_without_former_events": one_lost(target::ROUTERS, true)?,
        "a_router_whose_board_is_lost": alone(&ask.program, target::ENGINES)?,
    });
    Ok(report("lists", ask, &all, more))
}
