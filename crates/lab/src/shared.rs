//! An engine that shares its cores among what it runs: each job's statement says how much work it is (`work MS`). It can
//! fall silent: then it goes on working and answers nothing until it speaks again.

use crate::standins::Seen;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Running {
    /// The connection, and the job's id on it.
    on: u64,
    id: String,
    work_ms: f64,
    left: f64,
}

#[derive(Default)]
struct Inner {
    running: Vec<Running>,
    /// When each call came whole, by its id.
    got: HashMap<String, Instant>,
    streams: HashMap<u64, TcpStream>,
    /// What is to be said once it speaks again.
    unsaid: Vec<(u64, String)>,
    silent: bool,
}

#[derive(Clone)]
pub struct Shared {
    pub address: SocketAddr,
    pub uid: String,
    cores: f64,
    inner: Arc<Mutex<Inner>>,
    pub seen: Seen,
}

const TICK: Duration = Duration::from_millis(1);

impl Shared {
    pub fn start(uid: &str, cores: f64) -> Shared {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let engine =
            Shared { address, uid: uid.to_string(), cores, inner: Arc::default(), seen: Seen::default() };
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
            for (on, text) in std::mem::take(&mut inner.unsaid) {
                inner.say(on, &text);
            }
        }
    }

    /// When each call came, by its id.
    pub fn got(&self) -> HashMap<String, Instant> {
        self.inner.lock().unwrap().got.clone()
    }

    fn read(&self, stream: TcpStream, on: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(out) = stream.try_clone() else { return };
        self.inner.lock().unwrap().streams.insert(on, out);
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while lines.read_line(&mut line).unwrap_or(0) > 0 {
            let text = std::mem::take(&mut line);
            let words: Vec<&str> = text.trim_end().split(' ').collect();
            match words[..] {
                ["GET", id, _, length] => {
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
                    inner.running.push(Running { on, id: id.to_string(), work_ms, left: work_ms });
                }
                ["DROP", id] => {
                    let mut inner = self.inner.lock().unwrap();
                    inner.running.retain(|job| job.on != on || job.id != id);
                }
                ["PING", tag] => {
                    self.inner.lock().unwrap().answer(on, format!("{tag} FIT - 0\r\n\r\n"));
                }
                _ => {}
            }
        }
        let mut inner = self.inner.lock().unwrap();
        inner.streams.remove(&on);
        inner.running.retain(|job| job.on != on);
    }

    /// Its cores are shared evenly; a job runs on one at most.
    fn work(&self) {
        let mut last = Instant::now();
        loop {
            std::thread::sleep(TICK);
            let passed = last.elapsed().as_secs_f64() * 1e3;
            last = Instant::now();
            let mut inner = self.inner.lock().unwrap();
            let pace = (self.cores / inner.running.len().max(1) as f64).min(1.0) * passed;
            inner.running.iter_mut().for_each(|job| job.left -= pace);
            let (done, left) =
                std::mem::take(&mut inner.running).into_iter().partition(|job| job.left <= 0.0);
            inner.running = left;
            let done: Vec<Running> = done;
            for job in done {
                let row = "0\tone\ttwo\n";
                let Running { id, work_ms, .. } = &job;
                let text = format!("{id} DONE work={work_ms},peak=10,parts=1 {}\r\n{row}\r\n", row.len());
                inner.answer(job.on, text);
            }
        }
    }
}

impl Inner {
    fn answer(&mut self, on: u64, text: String) {
        match self.silent {
            true => self.unsaid.push((on, text)),
            false => self.say(on, &text),
        }
    }

    fn say(&mut self, on: u64, text: &str) {
        if let Some(stream) = self.streams.get_mut(&on) {
            // A router that has closed does not matter here.
            let _ = stream.write_all(text.as_bytes());
        }
    }
}
