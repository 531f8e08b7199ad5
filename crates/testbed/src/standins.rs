//! Small stand-ins on loopback for what the router talks to: engines, the discovery service, clients.

use rustix::process::{kill_process, Pid, Signal};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Longer than anything here takes; what is awaited comes much sooner.
pub const GENEROUS: Duration = Duration::from_secs(20);

type Follower = Box<dyn Fn(&str) + Send>;

#[derive(Default)]
struct Lines {
    all: Vec<String>,
    follower: Option<Follower>,
}

/// A list that grows, and that a test can wait on.
#[derive(Clone, Default)]
pub struct Seen(Arc<(Mutex<Lines>, Condvar)>);

impl Seen {
    pub fn add(&self, line: &str) {
        let mut lines = self.0 .0.lock().unwrap();
        lines.follower.iter().for_each(|follower| follower(line));
        lines.all.push(line.to_string());
        self.0 .1.notify_all();
    }

    /// Hands every line over, those that were there before first.
    pub fn follow(&self, follower: impl Fn(&str) + Send + 'static) {
        let mut lines = self.0 .0.lock().unwrap();
        lines.all.iter().for_each(|line| follower(line));
        lines.follower = Some(Box::new(follower));
    }

    pub fn forget(&self) {
        self.0 .0.lock().unwrap().all.clear();
    }

    pub fn all(&self) -> Vec<String> {
        self.0 .0.lock().unwrap().all.clone()
    }

    /// Waits for so many lines that hold the words.
    pub fn wait(&self, words: &str, count: usize) -> Vec<String> {
        let found = |lines: &Lines| lines.all.iter().filter(|line| line.contains(words)).count() >= count;
        let guard = self.0 .0.lock().unwrap();
        let (guard, late) = self.0 .1.wait_timeout_while(guard, GENEROUS, |lines| !found(lines)).unwrap();
        assert!(!late.timed_out(), "no {count} lines with {words:?}: {:?}", guard.all);
        guard.all.iter().filter(|line| line.contains(words)).cloned().collect()
    }
}

/// An engine: what it does is the first word of a request's statement (`pages N`, `hold`, `mute` on its first
/// connection), or of its uid where that tells of a fault (`resets`, `full`, `loses` pages, `garbage`, `wide` rows).
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub uid: String,
    pub seen: Seen,
    /// Its connections.
    pub open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Takes no connection until `open` is called.
pub struct Door {
    socket: TcpListener,
    /// Fills the queue of those that wait to be accepted.
    filler: TcpStream,
    engine: Engine,
}

impl Door {
    /// From now on connections come up; one that was begun before, at the system's next try.
    pub fn open(self) {
        let (filler, _) = self.socket.accept().unwrap();
        drop((filler, self.filler));
        self.engine.accepts(self.socket);
    }
}

impl Engine {
    /// What stands for an engine that is served elsewhere behind this listener.
    pub(crate) fn behind(listener: &TcpListener, uid: &str) -> Engine {
        let (address, uid) = (listener.local_addr().unwrap(), uid.to_string());
        Engine { address, uid, seen: Seen::default(), open: Arc::default() }
    }

    pub fn start(uid: &str) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Engine::behind(&listener, uid);
        engine.accepts(listener);
        engine
    }

    fn accepts(&self, listener: TcpListener) {
        let served = self.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (served, stream) = (served.clone(), stream.unwrap());
                served.open.lock().unwrap().push(stream.try_clone().unwrap());
                served.seen.add(&format!("connection {number}"));
                std::thread::spawn(move || served.serve(stream, number));
            }
        });
    }

    /// One whose connections come up late: none does before its door is opened.
    pub fn late(uid: &str) -> (Engine, Door) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let socket = TcpListener::from(socket);
        let engine = Engine::behind(&socket, uid);
        let filler = TcpStream::connect(engine.address).unwrap();
        (engine.clone(), Door { socket, filler, engine })
    }

    /// Writes this on its connections, beside what it answers; tells on how many.
    pub fn say(&self, bytes: &[u8]) -> usize {
        let mut open = self.open.lock().unwrap();
        open.iter_mut().filter_map(|stream| stream.write_all(bytes).ok()).count()
    }

    /// Ends its connections by a reset; tells how many.
    pub fn reset(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        let ended = open.iter().map(|stream| {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            // Who reads there sees an end and lets go of it; with the last hold on it the reset goes out.
            stream.shutdown(Shutdown::Read).is_ok()
        });
        ended.filter(|ended| *ended).count()
    }

    /// One that takes a single connection, reads from it and says nothing, like a machine that has vanished: no
    /// other connection to it comes up.
    pub fn vanished(uid: &str) -> Engine {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let engine = Engine::behind(&listener, uid);
        let served = engine.clone();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // Fills the queue that nobody empties.
            let _filled = TcpStream::connect(served.address).unwrap();
            let mut text = [0; 4096];
            while let Ok(1..) = stream.read(&mut text) {
                served.seen.add(&String::from_utf8_lossy(&text));
            }
        });
        engine
    }

    /// The discovery service's entry for it.
    pub fn entry(&self, state: &str) -> String {
        let (uid, address) = (&self.uid, self.address);
        format!(r#"{{"uid":"{uid}","endpoint":"{address}","az":"east","model":"std","state":"{state}"}}"#)
    }

    fn serve(&self, stream: TcpStream, number: usize) {
        let mut out = stream.try_clone().unwrap();
        out.set_nodelay(true).unwrap();
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        let mut mute = false;
        while lines.read_line(&mut line).unwrap_or(0) > 0 {
            let text = std::mem::take(&mut line);
            let words: Vec<&str> = text.trim_end().split(' ').collect();
            let mut body = Vec::new();
            if words[0] == "GET" {
                body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).unwrap();
                body.truncate(body.len() - 2);
            }
            let statement = String::from_utf8_lossy(&body).into_owned();
            self.seen.add(&format!("{} on {number}: {statement}", text.trim_end()));
            let one = if self.uid.contains("wide") { "x".repeat(5900) } else { "one".to_string() };
            let row = |page: usize| format!("{page}\t{one}\ttwo\n");
            let done = |parts: usize| {
                let row = row(0);
                format!("{} DONE work=5,peak=7,parts={parts} {}\r\n{row}\r\n", words[1], row.len())
            };
            let asked: Vec<&str> = statement.split(' ').collect();
            let answer = match (words[0], asked[0]) {
                ("PAGE", _) if self.uid.contains("loses") => format!("{} BROKE - 0\r\n\r\n", words[1]),
                ("PAGE", _) => {
                    let row = row(words[2].parse().unwrap());
                    format!("{} MORE part_no={} {}\r\n{row}\r\n", words[1], words[2], row.len())
                }
                ("PING", _) if !mute => format!("{} FIT - 0\r\n\r\n", words[1]),
                ("GET", "pages") => done(asked[1].parse().unwrap()),
                ("GET", "hold") => continue,
                ("GET", "reset") if self.uid.contains("resets") => {
                    out.shutdown(Shutdown::Both).unwrap();
                    return;
                }
                ("GET", "full") if self.uid.contains("full") => format!("{} WAIT - 0\r\n\r\n", words[1]),
                ("GET", "garbage") if self.uid.contains("garbage") => "what is this\r\n".to_string(),
                ("GET", "mute") if number == 0 => {
                    mute = true;
                    continue;
                }
                ("GET", _) => done(1),
                _ => continue,
            };
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        self.seen.add(&format!("closed {number}"));
    }
}

/// The discovery service: tells what it is given, and the last number often.
pub struct Discovery {
    pub address: SocketAddr,
    pub seen: Seen,
    events: Arc<Mutex<Vec<String>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::telling(Arc::default())
    }

    /// The same discovery service at another address.
    pub fn moved(&self) -> Discovery {
        Discovery::telling(self.events.clone())
    }

    fn telling(events: Arc<Mutex<Vec<String>>>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            seen: Seen::default(),
            events,
            open: Arc::default(),
        };
        let (seen, events, open) = (discovery.seen.clone(), discovery.events.clone(), discovery.open.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let (seen, events) = (seen.clone(), events.clone());
                std::thread::spawn(move || {
                    let mut line = String::new();
                    BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap_or(0);
                    seen.add(line.trim_end());
                    let mut told =
                        line.trim_end().strip_prefix("watch ").map_or(0, |last| last.parse().unwrap());
                    loop {
                        let all = events.lock().unwrap().clone();
                        let new: String =
                            all.iter().skip(told).map(|event| event.to_string() + "\n").collect();
                        told = told.max(all.len());
                        if stream.write_all(format!("{new}{told}\n").as_bytes()).is_err() {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        });
        discovery
    }

    /// Adds an event with these entries.
    pub fn tell(&self, whole: bool, entries: &[String]) {
        let mut events = self.events.lock().unwrap();
        let (number, entries) = (events.len() + 1, entries.join(","));
        events.push(format!(r#"{{"rev":{number},"pool":{{"rev":1,"all":{whole},"targets":[{entries}]}}}}"#));
    }

    /// Writes something else on the connections, or drops them.
    pub fn say(&self, words: &str) {
        self.open
            .lock()
            .unwrap()
            .iter_mut()
            .for_each(|stream| stream.write_all(words.as_bytes()).unwrap_or(()));
    }

    pub fn drop_all(&self) {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        open.iter().for_each(|stream| stream.shutdown(Shutdown::Both).unwrap_or(()));
    }

    fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(r#"{{"rev":{},"notices":[{}]}}"#, events.len(), events.join(","))
    }
}

static VACANT: AtomicU64 = AtomicU64::new(0);
static ROUTERS: AtomicU64 = AtomicU64::new(0);

/// An address where nothing listens, and that no other listener here can come by.
pub fn vacant() -> SocketAddr {
    let host = (VACANT.fetch_add(1, Ordering::Relaxed) % 250) as u8 + 1;
    TcpListener::bind(SocketAddr::from(([127, 0, 1, host], 0))).unwrap().local_addr().unwrap()
}

/// The real program.
pub struct Router {
    pub address: SocketAddr,
    pub log: Seen,
    /// While this is held, nobody reads the log.
    pub reading: Arc<Mutex<()>>,
    sockets: u32,
    file: PathBuf,
    child: Child,
}

pub fn configuration(listen: SocketAddr, discovery: SocketAddr, known: &str, sockets: u32) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","idempotency":"{kind}","group":"all","window-us":12000000,"objective-us":1000000,
            "hard-limit-us":20000000,"gain":1.0}}"#
        )
    };
    let classes = [class("look", "safe"), class("load", "keyed"), class("once", "unsafe")].join(",");
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","board":"{discovery}","known":{known},
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "settings":{{"balancers":1,"tenants":[{{"name":"town"}}],"categories":[{classes}],"shapes":["std"],"zones":["east"],
        "family-info":{{"cores-by-kind":[8],"ram-of-kind-mb":[8192.0],"parallelism":[1,1,1],"largest-share":0.5,
        "grants-count":true,"takes-priority":true}},
        "limits":{{"cancel":true,"max-attempts":3,"retry-after":true,"max-retry-after-us":500000,
        "connect-timeout-us":250000,"conn-idle-us":30000000,"multiplex":100}}}}}}"#
    )
}

/// Waits until whoever started it has ended, however, and kills those of the routers it was told of that still run; twice,
/// as one may just have been about to become the program.
const REAPS: &str = r#"while read -r router; do routers="$routers $router"; done
for pause in 0 0.3; do
    sleep $pause
    for router in $routers; do
        [ "$(cat /proc/$router/comm 2> /dev/null)" = cleatgw ] && kill -KILL $router
    done
done"#;

/// No router outlives this process, also where it is killed: a shell of its own group holds the other end of this pipe. What
/// is to become a router writes its own id there before it does, so that there is none that the shell does not know of.
fn reaper() -> Stdio {
    static REAPER: OnceLock<Child> = OnceLock::new();
    let start = || {
        let mut reaper = Command::new("sh");
        reaper.args(["-c", REAPS]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        reaper.process_group(0).spawn().unwrap()
    };
    let pipe = REAPER.get_or_init(start).stdin.as_ref().unwrap();
    pipe.as_fd().try_clone_to_owned().unwrap().into()
}

impl Router {
    /// The program between stand-ins, with so many descriptors and more arguments behind `serve`.
    pub fn with(program: &str, discovery: &Discovery, sockets: u32, more: &[&str]) -> Router {
        Router::changed(program, discovery, sockets, more, |text| text)
    }

    /// The same with the configuration's text changed.
    pub fn changed(
        program: &str,
        discovery: &Discovery,
        sockets: u32,
        more: &[&str],
        change: impl Fn(String) -> String,
    ) -> Router {
        Router::at(vacant(), Path::new(program), discovery, sockets, more, change)
    }

    /// The same at an address that it may have had before.
    pub fn at(
        address: SocketAddr,
        program: &Path,
        discovery: &Discovery,
        sockets: u32,
        more: &[&str],
        change: impl Fn(String) -> String,
    ) -> Router {
        let router =
            Router::spawned(address, program, (discovery.address, discovery), sockets, more, &[], change);
        router.log.wait("listens on", 1);
        router
    }

    /// The same without waiting until it listens, with its discovery service at another address (a relay's) and variables of its
    /// environment.
    pub fn spawned(
        address: SocketAddr,
        program: &Path,
        (discovery_at, discovery): (SocketAddr, &Discovery),
        sockets: u32,
        more: &[&str],
        environment: &[(String, String)],
        change: impl Fn(String) -> String,
    ) -> Router {
        let program = program.display();
        let number = ROUTERS.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("cleatgw-{}-{number}.json", std::process::id()));
        let text = change(configuration(address, discovery_at, &discovery.known(), sockets));
        std::fs::write(&file, text).unwrap();
        let arguments = if more.is_empty() { String::new() } else { format!("serve {}", more.join(" ")) };
        let limited = format!("echo $$ >&0; ulimit -n {sockets}; exec {program} {arguments} < /dev/null");
        // Where many requests are expected, a line for each would be most of the work.
        let busy = ["--teams", "--cluster", "text"].iter().any(|word| more.contains(word));
        let mut child = Command::new("sh")
            .args(["-c", &limited])
            .env("BALANCER_CONFIG", &file)
            .env("RUST_LOG", if busy { "info" } else { "debug" })
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(reaper())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Seen::default();
        let (lines, seen) = (BufReader::new(child.stderr.take().unwrap()).lines(), log.clone());
        let reading = Arc::new(Mutex::new(()));
        let held = reading.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _reads = held.lock();
                seen.add(&line);
            }
        });
        Router { address, log, reading, sockets, file, child }
    }

    /// Stops the process, does this once it stands still, and lets it go on after a while.
    pub fn stop_for(&self, time: Duration, meanwhile: impl FnOnce()) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.process());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|text| text.contains(") T "));
        let begun = Instant::now();
        while !stopped() {
            assert!(begun.elapsed() < GENEROUS, "it does not stop");
            std::thread::yield_now();
        }
        meanwhile();
        std::thread::sleep(time);
        self.signal(Signal::CONT);
    }

    /// Has this in place of the configuration, and is told so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal(Signal::HUP);
    }

    /// The configuration with this discovery service.
    pub fn configuration(&self, discovery: &Discovery, known: &str) -> String {
        configuration(self.address, discovery.address, known, self.sockets)
    }

    pub fn fail(&self) {
        self.signal(Signal::TERM);
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// It has ended; its exit code.
    pub fn over(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|status| status.code())
    }

    /// Waits for its end; its exit code and its last counters.
    pub fn ended(&mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        (code, self.log.wait("counters:", 1).pop().unwrap())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The counter's value in a line of them.
pub fn counter(line: &str, name: &str) -> u64 {
    let line = if line.contains('=') { line.to_string() } else { line.replace(": ", "=") };
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(key, _)| *key == name).map_or(u64::MAX, |(_, value)| value.parse().unwrap())
}

/// How a query was answered.
#[derive(Debug, PartialEq)]
pub enum Answered {
    Ok,
    Rows(Vec<String>),
    Error(u16, String),
}

/// A client that writes and reads packets by hand.
pub struct Client {
    pub stream: TcpStream,
    pub session: u32,
}

pub fn packet(sequence: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_le_bytes();
    [&length[..3], &[sequence], body].concat()
}

pub fn login() -> Vec<u8> {
    let flags: u32 = 1 << 9 | 1 << 15 | 1 << 3;
    let mut body = flags.to_le_bytes().to_vec();
    body.extend([0; 28]);
    body.extend(b"app\0\0reports\0");
    packet(1, &body)
}

pub fn query(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A request of this class with so many milliseconds to go.
pub fn request(class: &str, ttl: u64, statement: &str) -> String {
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    format!("/* op={class},call={call:016x},ttl={ttl},dedupe=d{call},work=5.0,mb=10 */ {statement}")
}

impl Client {
    /// Connects, and writes this before the greeting has been read.
    pub fn early(router: &Router, first: &[u8]) -> Client {
        let mut stream = TcpStream::connect(router.address).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        stream.write_all(first).unwrap();
        let mut client = Client { stream, session: 0 };
        let (_, greeting) = client.packet().expect("a greeting");
        let after = greeting.iter().position(|&byte| byte == 0).unwrap() + 1;
        client.session = u32::from_le_bytes(greeting[after..after + 4].try_into().unwrap());
        client
    }

    pub fn new(router: &Router) -> Client {
        let mut client = Client::early(router, &login());
        assert_eq!(client.answer(), Answered::Ok);
        client
    }

    /// A client of whatever listens there, logged in; an error is why it could not.
    pub fn at(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(GENEROUS))?;
        stream.set_nodelay(true)?;
        stream.write_all(&login())?;
        let mut client = Client { stream, session: 0 };
        let end = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        client.packet().ok_or_else(end)?;
        client.packet().ok_or_else(end)?;
        Ok(client)
    }

    /// Sends a query; tells whether that could be done.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.stream.write_all(&query(text)).is_ok()
    }

    /// Reads one whole answer, if one comes.
    ///
    /// # Panics
    /// Where its packets are out of sequence.
    pub fn try_answer(&mut self) -> Option<Answered> {
        let (mut last, first) = self.packet()?;
        let mut next = |client: &mut Client| {
            let (sequence, body) = client.packet()?;
            assert_eq!(sequence, last.wrapping_add(1));
            last = sequence;
            Some(body)
        };
        match first[0] {
            0 => return Some(Answered::Ok),
            0xff => {
                let words = String::from_utf8_lossy(&first[9..]).into_owned();
                return Some(Answered::Error(u16::from_le_bytes([first[1], first[2]]), words));
            }
            columns => {
                for _ in 0..=columns {
                    next(self)?;
                }
            }
        }
        let mut rows = Vec::new();
        loop {
            let body = next(self)?;
            if body[0] == 0xfe && body.len() < 9 {
                return Some(Answered::Rows(rows));
            }
            let (mut row, mut rest) = (VecDeque::new(), &body[..]);
            while let Some((&length, more)) = rest.split_first() {
                let (length, more) = match length {
                    0xfc => (usize::from(more[0]) | usize::from(more[1]) << 8, &more[2..]),
                    short => (short.into(), more),
                };
                let (value, more) = more.split_at(length);
                row.push_back(String::from_utf8_lossy(value).into_owned());
                rest = more;
            }
            rows.push(row.make_contiguous().join(","));
        }
    }

    /// The router's counters as they stand.
    pub fn counters_now(&mut self) -> String {
        let _ = self.stream.write_all(&packet(0, &[9]));
        self.packet().map(|(_, body)| String::from_utf8_lossy(&body).into_owned()).unwrap_or_default()
    }

    pub fn packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header).ok()?;
        let mut body = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some((header[3], body))
    }

    /// Reads one whole answer.
    pub fn answer(&mut self) -> Answered {
        self.try_answer().expect("a whole answer")
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(&query(text)).unwrap();
    }

    pub fn ask(&mut self, text: &str) -> Answered {
        self.send(text);
        self.answer()
    }

    /// Nothing more comes: the router has closed.
    pub fn closed(&mut self) -> bool {
        self.packet().is_none()
    }

    /// The router's counters, once one of them has this value.
    pub fn counters(&mut self, name: &str, value: u64) -> String {
        let end = Instant::now() + GENEROUS;
        loop {
            self.stream.write_all(&packet(0, &[9])).unwrap();
            let line = String::from_utf8(self.packet().unwrap().1).unwrap();
            if counter(&line, name) == value {
                return line;
            }
            assert!(Instant::now() < end, "{name} is not {value}: {line}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
