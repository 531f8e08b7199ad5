//! An engine that shares its cores among what it runs: each request's statement says how much work it is (`work MS`). It can
//! fall silent: then it goes on working and answers nothing until it speaks again.

use crate::checkers::request_rules::Ran;
use crate::stand_ins::RecordedLines;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Running {
    /// The connection, and the request's id on it.
    on: u64,
    id: String,
    work_ms: f64,
    left: f64,
    /// Its place in the record.
    run: usize,
}

#[derive(Default)]
struct Inner {
    running: Vec<Running>,
    /// When each call came whole, by its id.
    got: HashMap<String, Instant>,
    streams: HashMap<u64, TcpStream>,
    /// What is to be said once it speaks again.
    unsaid: Vec<(u64, usize, String)>,
    silent: bool,
    /// It is dead: what connects is closed.
    dead: bool,
    /// All that it was given, for the judge.
    ran: Vec<Ran>,
    work: Vec<f64>,
}

#[derive(Clone)]
pub struct Shared {
    pub address: SocketAddr,
    pub uid: String,
    cores: f64,
    inner: Arc<Mutex<Inner>>,
    pub seen: RecordedLines,
    number: usize,
    began: Instant,
}

const TICK: Duration = Duration::from_millis(1);

impl Shared {
    pub fn start(uid: &str, cores: f64) -> Shared {
        Shared::numbered(uid, cores, 0, Instant::now())
    }

    /// The same as one of many, whose record is on this clock.
    pub fn numbered(uid: &str, cores: f64, number: usize, began: Instant) -> Shared {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (inner, seen) = (Arc::default(), RecordedLines::default());
        let engine = Shared { address, uid: uid.to_string(), cores, inner, seen, number, began };
        let worker = engine.clone();
        std::thread::spawn(move || worker.work());
        let served = engine.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let served = served.clone();
                std::thread::spawn(move || served.read(stream, number as u64));
            }
        });
        engine
    }

    pub fn entry(&self) -> String {
        let (uid, address) = (&self.uid, self.address);
        format!(r#"{{"uid":"{uid}","endpoint":"{address}","az":"east","model":"std","state":"ready"}}"#)
    }

    pub fn silent(&self, silent: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.silent = silent;
        if !silent {
            for (on, run, text) in std::mem::take(&mut inner.unsaid) {
                inner.say(on, &text);
                inner.ends(run, self.now(), true);
            }
        }
    }

    /// Its process dies: connections end, and with them all that ran; it takes none until it is back.
    pub fn dies(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.dead = true;
        for (_, stream) in std::mem::take(&mut inner.streams) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let gone: Vec<usize> = std::mem::take(&mut inner.running).iter().map(|request| request.run).collect();
        gone.into_iter().for_each(|run| inner.ends(run, self.now(), false));
        inner.unsaid.clear();
    }

    pub fn is_back(&self) {
        self.inner.lock().unwrap().dead = false;
    }

    /// All that it was given so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.inner.lock().unwrap().ran.clone()
    }

    /// When it was given what, and how much work in seconds that was.
    pub fn work_given(&self) -> Vec<(f64, f64)> {
        let inner = self.inner.lock().unwrap();
        inner.ran.iter().zip(&inner.work).map(|(run, work)| (run.got, work / 1e3)).collect()
    }

    /// Connections that are open to it now.
    pub fn connections(&self) -> usize {
        self.inner.lock().unwrap().streams.len()
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// When each call came, by its id.
    pub fn got(&self) -> HashMap<String, Instant> {
        self.inner.lock().unwrap().got.clone()
    }

    fn read(&self, stream: TcpStream, on: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(out) = stream.try_clone() else { return };
        {
            let mut inner = self.inner.lock().unwrap();
            if inner.dead {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            inner.streams.insert(on, out);
        }
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while lines.read_line(&mut line).unwrap_or(0) > 0 {
            let text = std::mem::take(&mut line);
            let words: Vec<&str> = text.trim_end().split(' ').collect();
            match words[..] {
                ["GET", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if lines.read_exact(&mut body).is_err() {
                        break;
                    }
                    let now = Instant::now();
                    let statement = String::from_utf8_lossy(&body);
                    let work_ms: f64 = statement
                        .split(' ')
                        .nth(1)
                        .and_then(|word| word.trim_end().parse().ok())
                        .unwrap_or(1.0);
                    let mut inner = self.inner.lock().unwrap();
                    inner.got.entry(id.to_string()).or_insert(now);
                    let field = |name| fields.split(',').find_map(|field| field.strip_prefix(name));
                    let idempotency_key = field("uniq=").unwrap_or("").to_string();
                    let (call, engine, got) = (id.to_string(), self.number, self.now());
                    let run = inner.ran.len();
                    inner.ran.push(Ran {
                        engine,
                        call,
                        idempotency_key,
                        got,
                        over: f64::INFINITY,
                        done: false,
                    });
                    inner.work.push(work_ms);
                    inner.running.push(Running { on, id: id.to_string(), work_ms, left: work_ms, run });
                }
                ["DROP", id] => {
                    self.inner.lock().unwrap().gives_up(self.now(), on, Some(id));
                }
                ["PING", tag] => {
                    let mut inner = self.inner.lock().unwrap();
                    match inner.silent {
                        true => inner.unsaid.push((on, usize::MAX, format!("{tag} FIT - 0\r\n\r\n"))),
                        false => inner.say(on, &format!("{tag} FIT - 0\r\n\r\n")),
                    }
                }
                _ => {}
            }
        }
        let mut inner = self.inner.lock().unwrap();
        inner.streams.remove(&on);
        inner.gives_up(self.now(), on, None);
    }

    /// Its cores are shared evenly; a request runs on one at most.
    fn work(&self) {
        let mut last = Instant::now();
        loop {
            std::thread::sleep(TICK);
            let passed = last.elapsed().as_secs_f64() * 1e3;
            last = Instant::now();
            let mut inner = self.inner.lock().unwrap();
            let pace = (self.cores / inner.running.len().max(1) as f64).min(1.0) * passed;
            inner.running.iter_mut().for_each(|request| request.left -= pace);
            let (done, left) =
                std::mem::take(&mut inner.running).into_iter().partition(|request| request.left <= 0.0);
            inner.running = left;
            let done: Vec<Running> = done;
            for request in done {
                let row = "0\tone\ttwo\n";
                let Running { id, work_ms, .. } = &request;
                let text = format!("{id} DONE work={work_ms},peak=10,parts=1 {}\r\n{row}\r\n", row.len());
                match inner.silent {
                    // Given up or not, it is out until it is said, or its connection ends.
                    true => inner.unsaid.push((request.on, request.run, text)),
                    false => {
                        inner.say(request.on, &text);
                        inner.ends(request.run, self.now(), true);
                    }
                }
            }
        }
    }
}

impl Inner {
    fn say(&mut self, on: u64, text: &str) {
        if let Some(stream) = self.streams.get_mut(&on) {
            // A router that has closed does not matter here.
            let _ = stream.write_all(text.as_bytes());
        }
    }

    fn ends(&mut self, run: usize, now: f64, done: bool) {
        if let Some(run) = self.ran.get_mut(run).filter(|run| run.over.is_infinite()) {
            (run.over, run.done) = (now, done);
        }
    }

    /// What runs on this connection is given up: one request, or all; so is what is not said of it yet.
    fn gives_up(&mut self, now: f64, on: u64, id: Option<&str>) {
        let (gone, left) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.on == on && id.is_none_or(|id| request.id == id));
        self.running = left;
        let gone: Vec<Running> = gone;
        gone.iter().for_each(|request| self.ends(request.run, now, false));
        let of = |text: &str| id.is_none_or(|id| text.split(' ').next() == Some(id));
        let unsaid: Vec<usize> = self
            .unsaid
            .iter()
            .filter(|(at, _, text)| *at == on && of(text))
            .map(|(_, run, _)| *run)
            .collect();
        unsaid.into_iter().for_each(|run| self.ends(run, now, false));
    }
}
