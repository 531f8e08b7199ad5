//! Stand-ins for the review: clients, the notice board, and the processes of routers and sql engines. Only the
//! standard library is used, and only loopback addresses.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The Unix time in seconds.
pub fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// The record of a case: each line has the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }
}

/// What every case needs: its folder, the repository, a temporary folder and the record.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
    /// The command that starts one router, from the deploy file.
    pub run: String,
}

impl Case {
    /// Reads the surroundings from the environment that `run.sh` sets.
    pub fn begin() -> Case {
        let path = |name: &str| PathBuf::from(std::env::var(name).unwrap_or_else(|_| panic!("{name} is set")));
        let (root, temp, folder) = (path("CASE_ROOT"), path("CASE_TEMP"), path("CASE_FOLDER"));
        let record = Record::create(&folder);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run command");
        let run = run.split('"').next().unwrap().to_string();
        record.line(format!("trouble: {trouble}; router command: {run}"));
        Case { root, temp, record, trouble, run }
    }

    /// Notes a process, so that `run.sh` can end it if this program is ended.
    fn note_process(&self, id: u32) {
        let mut file = File::options().create(true).append(true).open(self.temp.join("pids")).unwrap();
        let _ = writeln!(file, "{id}");
    }

    /// Starts one router from the repository's root. `arguments` is empty or begins with `serve`.
    pub fn start_router(&self, name: &str, listen: SocketAddr, config: &str, arguments: &str) -> Process {
        let config_path = self.temp.join(format!("{name}.json"));
        std::fs::write(&config_path, config).unwrap();
        let log = File::options().create(true).append(true).open(self.temp.join(format!("{name}.log"))).unwrap();
        let scratch = self.temp.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&scratch).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{} {arguments}", self.run))
            .current_dir(&self.root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_CONFIG", &config_path)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the router starts");
        self.note_process(child.id());
        self.record.line(format!("router {name} started, process {}, listens on {listen}", child.id()));
        Process { name: name.to_string(), child, stdin: None }
    }

    /// Starts an engine stand-in as a process of its own. Its lines go into the record and into `lines`.
    pub fn start_engine(&self, name: &str, work_s: f64, lines: &Lines) -> (Process, SocketAddr) {
        self.start_engine_with(name, &[work_s.to_string()], lines)
    }

    /// As `start_engine`, with further arguments of the stand-in.
    pub fn start_engine_with(&self, name: &str, arguments: &[String], lines: &Lines) -> (Process, SocketAddr) {
        let program = std::env::current_exe().unwrap().with_file_name("engine");
        let mut child = Command::new(program)
            .arg(name)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the engine stand-in starts");
        self.note_process(child.id());
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let mut first = String::new();
        output.read_line(&mut first).unwrap();
        let address: SocketAddr = first.trim().parse().expect("the engine tells its address");
        self.record.line(format!("engine {name} started, process {}, listens on {address}", child.id()));
        let (record, name_of, lines) = (self.record.clone(), name.to_string(), lines.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(format!("engine {name_of}: {line}"));
                lines.push(record.now(), format!("{name_of} {line}"));
            }
        });
        let stdin = child.stdin.take();
        (Process { name: name.to_string(), child, stdin }, address)
    }

    /// Copies the last lines of a router's log into the record.
    pub fn note_log(&self, name: &str, last: usize) {
        let text = std::fs::read_to_string(self.temp.join(format!("{name}.log"))).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(last)..] {
            self.record.line(format!("log of {name}: {line}"));
        }
    }

    pub fn finish(&self, code: i32, why: &str) -> i32 {
        let word = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "COULD NOT RUN",
        };
        self.record.line(format!("verdict: {word}: {why}"));
        println!("{word}: {why}");
        code
    }
}

/// Lines that engines have told, with the time of the record.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<(f64, String)>>>);

impl Lines {
    fn push(&self, at: f64, line: String) {
        self.0.lock().unwrap().push((at, line));
    }

    pub fn all(&self) -> Vec<(f64, String)> {
        self.0.lock().unwrap().clone()
    }
}

/// A process that a case has started. It is killed at the latest when the case ends.
pub struct Process {
    pub name: String,
    pub child: Child,
    /// An engine ends when this is closed.
    pub stdin: Option<ChildStdin>,
}

impl Process {
    /// Sends a signal by name, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name} {}", self.name);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A free TCP address on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A free UDP address on loopback.
pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The notice board. It keeps all events and tells each watcher those after its last one, and each second the last
/// number.
#[derive(Clone)]
pub struct Board {
    pub address: SocketAddr,
    state: Arc<(Mutex<Vec<String>>, Condvar)>,
    record: Record,
}

/// One target of an event.
pub struct Target<'a> {
    pub uid: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub cell: u64,
    pub state: &'a str,
    pub boot_ms: u64,
}

impl Target<'_> {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"std","pod_group":{},"state":"{}","capacity_hint":8,"boot_ms":{}}}"#,
            self.uid, self.address, self.zone, self.cell, self.state, self.boot_ms
        )
    }
}

impl Board {
    pub fn open(record: &Record) -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let board = Board { address, state: Arc::default(), record: record.clone() };
        let shared = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let board = shared.clone();
                thread::spawn(move || board.serve(stream));
            }
        });
        board
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut request = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut request).ok()?;
        let mut told: usize = request.trim().strip_prefix("watch ")?.parse().ok()?;
        loop {
            let (state, changed) = &*self.state;
            let events = state.lock().unwrap();
            let (events, _) =
                changed.wait_timeout_while(events, Duration::from_secs(1), |events| events.len() <= told).unwrap();
            let news: Vec<String> = events.iter().skip(told).cloned().collect();
            told = events.len().max(told);
            drop(events);
            let text = if news.is_empty() { format!("{told}\n") } else { news.concat() };
            stream.write_all(text.as_bytes()).ok()?;
        }
    }

    /// Adds an event to the board.
    pub fn tell(&self, is_complete: bool, targets: &[Target]) {
        let targets: Vec<String> = targets.iter().map(Target::json).collect();
        let (state, changed) = &*self.state;
        let mut events = state.lock().unwrap();
        let number = events.len() + 1;
        let pool = format!(r#"{{"rev":{number},"all":{is_complete},"targets":[{}]}}"#, targets.join(","));
        let event = format!(r#"{{"rev":{number},"pool":{pool}}}"#);
        self.record.line(format!("board: {event}"));
        events.push(event + "\n");
        changed.notify_all();
    }

    /// The events so far, as the `known` part of a configuration.
    pub fn known(&self) -> String {
        let events = self.state.0.lock().unwrap();
        let notices: Vec<&str> = events.iter().map(|event| event.trim_end()).collect();
        format!(r#"{{"rev":{},"notices":[{}]}}"#, notices.len(), notices.join(","))
    }
}

/// How a router answered a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A result set that ends in EOF, with its rows.
    Served(Vec<Vec<String>>),
    /// An error packet.
    Error(u16, String),
    /// The connection ended, or the answer could not be read.
    Lost(String),
}

/// A client connection, logged in.
pub struct Client {
    stream: TcpStream,
    /// The connection id of the greeting.
    pub id: u32,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        let mut client = Client { stream, id: 0 };
        let greeting = client.read_packet()?;
        let version_end = greeting.iter().skip(1).position(|byte| *byte == 0).unwrap_or(0) + 2;
        let id = greeting.get(version_end..version_end + 4).ok_or(io::ErrorKind::InvalidData)?;
        client.id = u32::from_le_bytes(id.try_into().unwrap());
        // Protocol 4.1, a schema, secure connection; the longest packet, utf8mb4, 23 zeros, user, no password, schema.
        let mut login = Vec::from((1u32 | 1 << 3 | 1 << 9 | 1 << 15).to_le_bytes());
        login.extend((1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend([0; 23]);
        login.extend(b"app\0\0reports\0");
        client.write_packet(1, &login)?;
        match client.read_packet()?.first() {
            Some(0) => Ok(client),
            _ => Err(io::ErrorKind::PermissionDenied.into()),
        }
    }

    fn write_packet(&mut self, sequence: u8, body: &[u8]) -> io::Result<()> {
        let mut out = Vec::from(&(body.len() as u32).to_le_bytes()[..3]);
        out.push(sequence);
        out.extend(body);
        self.stream.write_all(&out)
    }

    fn read_packet(&mut self) -> io::Result<Vec<u8>> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header)?;
        let mut body = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }

    pub fn ping(&mut self) -> io::Result<bool> {
        self.write_packet(0, &[0x0e])?;
        Ok(self.read_packet()?.first() == Some(&0))
    }

    /// Sends one statement and reads the whole answer.
    pub fn query(&mut self, statement: &str) -> Answer {
        match self.try_query(statement) {
            Ok(answer) => answer,
            Err(error) => Answer::Lost(error.to_string()),
        }
    }

    fn try_query(&mut self, statement: &str) -> io::Result<Answer> {
        let mut body = vec![3];
        body.extend(statement.bytes());
        self.write_packet(0, &body)?;
        let first = self.read_packet()?;
        match first.first() {
            Some(0xff) => {
                let code = u16::from_le_bytes([first[1], first[2]]);
                return Ok(Answer::Error(code, String::from_utf8_lossy(&first[9..]).into_owned()));
            }
            Some(0) => return Ok(Answer::Served(Vec::new())),
            _ => {}
        }
        let is_eof = |packet: &[u8]| packet.first() == Some(&0xfe) && packet.len() < 9;
        while !is_eof(&self.read_packet()?) {}
        let mut rows = Vec::new();
        loop {
            let packet = self.read_packet()?;
            if is_eof(&packet) {
                return Ok(Answer::Served(rows));
            }
            if packet.first() == Some(&0xff) {
                return Ok(Answer::Lost("an error within the result".to_string()));
            }
            rows.push(columns(&packet).ok_or(io::ErrorKind::InvalidData)?);
        }
    }
}

fn columns(mut row: &[u8]) -> Option<Vec<String>> {
    let mut columns = Vec::new();
    while let Some((&first, rest)) = row.split_first() {
        let (length, rest) = match first {
            0xfc => (usize::from(u16::from_le_bytes([*rest.first()?, *rest.get(1)?])), rest.get(2..)?),
            length => (usize::from(length), rest),
        };
        columns.push(String::from_utf8_lossy(rest.get(..length)?).into_owned());
        row = rest.get(length..)?;
    }
    Some(columns)
}

/// Waits until a router answers COM_PING with OK, as the front does. Returns false after `limit` seconds.
pub fn wait_ready(address: SocketAddr, limit: f64) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed().as_secs_f64() < limit {
        if Client::connect(address).and_then(|mut client| client.ping()).unwrap_or(false) {
            return true;
        }
        sleep(0.05);
    }
    false
}

/// The fields of an engine request.
pub fn fields(text: &str) -> HashMap<&str, &str> {
    text.split(',').filter_map(|pair| pair.split_once('=')).collect()
}

/// A configuration of a router. `categories`, `limits` and `rules` are the inner texts of JSON objects or lists.
pub struct Config<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub board: &'a Board,
    pub routers: usize,
    pub zones: &'a str,
    pub categories: &'a str,
    pub threads: &'a str,
    pub is_load: &'a str,
    pub limits: &'a str,
    pub rules: &'a str,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let mut out = String::new();
        let _ = write!(
            out,
            r#"{{"name":"{}","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"board":"{}","known":{},"settings":{{"balancers":{},"zones":[{}],"shapes":["std"],"categories":[{}],"family-info":{{"parallelism":[{}],"is-load":[{}],"cores-by-kind":[8],"ram-of-kind-mb":[16384.0],"largest-share":0.5,"grants-count":true,"takes-priority":true,"overbooked":"queue"}},"limits":{{{}}},"rules":{{{}}}}}}}"#,
            self.name,
            self.listen,
            self.board.address,
            self.board.known(),
            self.routers,
            self.zones,
            self.categories,
            self.threads,
            self.is_load,
            self.limits,
            self.rules,
        );
        out
    }
}

/// A connection whose client writes login and statement at once, before it has read the greeting.
pub struct Early {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Early {
    /// Connects and writes the login.
    pub fn login(address: SocketAddr) -> io::Result<Early> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut login = Vec::from((1u32 | 1 << 3 | 1 << 9 | 1 << 15).to_le_bytes());
        login.extend((1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend([0; 23]);
        login.extend(b"app\0\0reports\0");
        let mut out = Vec::from(&(login.len() as u32).to_le_bytes()[..3]);
        out.push(1);
        out.extend(login);
        stream.write_all(&out)?;
        Ok(Early { stream, bytes: Vec::new() })
    }

    /// Writes a statement.
    pub fn query(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&query_packet(statement))
    }

    /// Connects, and writes login and statement at once.
    pub fn send(address: SocketAddr, statement: &str) -> io::Result<Early> {
        let mut early = Early::login(address)?;
        early.query(statement)?;
        Ok(early)
    }

    /// The bodies of the packets that have come whole.
    fn packets(&self) -> Vec<&[u8]> {
        let mut rest = &self.bytes[..];
        let mut packets = Vec::new();
        while rest.len() >= 4 {
            let length = u32::from_le_bytes([rest[0], rest[1], rest[2], 0]) as usize;
            let Some(body) = rest.get(4..4 + length) else { break };
            packets.push(body);
            rest = &rest[4 + length..];
        }
        packets
    }

    /// Reads for so many seconds. Returns whether an answer has begun, behind the greeting and the answer to the login, or
    /// the connection has ended.
    pub fn answered_within(&mut self, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut chunk = [0; 4096];
        loop {
            if self.packets().len() > 2 {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(length) => self.bytes.extend(&chunk[..length]),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => return true,
            }
        }
    }

    /// The connection id of the greeting, if that has come.
    pub fn id(&self) -> Option<u32> {
        let packets = self.packets();
        let greeting = packets.first()?;
        let start = greeting.iter().skip(1).position(|byte| *byte == 0)? + 2;
        Some(u32::from_le_bytes(greeting.get(start..start + 4)?.try_into().ok()?))
    }
}

impl Early {
    /// Writes bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads until the other side ends the connection, or for so many seconds. Returns how many bytes came.
    pub fn read_to_end(&mut self, seconds: f64) -> usize {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut chunk = [0; 1 << 16];
        let mut total = 0;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return total;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return total,
                Ok(length) => total += length,
            }
        }
    }
}

/// The packet of a COM_QUERY.
pub fn query_packet(statement: &str) -> Vec<u8> {
    let mut out = Vec::from(&(statement.len() as u32 + 1).to_le_bytes()[..3]);
    out.extend([0, 3]);
    out.extend(statement.bytes());
    out
}
