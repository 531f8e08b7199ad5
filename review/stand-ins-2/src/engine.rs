//! An sql engine, as PROTOCOL.md describes it. All that it is sent runs side by side. Engines of one cell know each
//! other's idempotency keys for the stated window: a repeat is answered and not run.

use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The keys that the engines of one cell have begun, and when.
pub type Cell = Arc<Mutex<HashMap<String, Instant>>>;

/// One run of a request with an idempotency key, from its begin to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    pub key: String,
    pub at: f64,
}

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub cell_number: u64,
    pub address: SocketAddr,
    /// Requests that were run to their end.
    pub runs: Arc<Mutex<Vec<Run>>>,
    cell: Cell,
    window: Duration,
    run_time: Duration,
    /// Whether work stops when its request is dropped or its connection ends.
    stops: bool,
    loses: Keys,
    record: Record,
}

/// A set of idempotency keys that engines share.
pub type Keys = Arc<Mutex<HashSet<String>>>;

#[derive(Default)]
pub struct EngineSettings {
    pub window: Duration,
    pub run_time: Duration,
    pub stops: bool,
    /// Keys whose next answer never arrives; the request has run.
    pub loses: Keys,
}

impl Engine {
    pub fn start(
        name: &str,
        cell_number: u64,
        cell: Cell,
        settings: &EngineSettings,
        record: &Record,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Engine {
            name: name.to_string(),
            cell_number,
            address: listener.local_addr().unwrap(),
            loses: settings.loses.clone(),
            runs: Arc::default(),
            cell,
            window: settings.window,
            run_time: settings.run_time,
            stops: settings.stops,
            record: record.clone(),
        };
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let dropped: Arc<Mutex<HashSet<String>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        let mut reader = BufReader::new(stream);
        let result = self.read(&mut reader, &writer, &dropped, &closed);
        closed.store(true, Ordering::SeqCst);
        result
    }

    fn read(
        &self,
        reader: &mut BufReader<TcpStream>,
        writer: &Arc<Mutex<TcpStream>>,
        dropped: &Arc<Mutex<HashSet<String>>>,
        closed: &Arc<AtomicBool>,
    ) -> Option<()> {
        loop {
            let mut line = Vec::new();
            if reader.read_until(b'\n', &mut line).ok()? == 0 {
                return None;
            }
            let line = String::from_utf8_lossy(&line).trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["GET", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    let field = |name: &str| {
                        fields
                            .split(',')
                            .filter_map(|field| field.split_once('='))
                            .find(|(key, _)| *key == name)
                    };
                    let key = field("uniq").map_or(String::new(), |(_, key)| key.to_string());
                    self.begin(id, &key, writer, dropped, closed);
                }
                ["DROP", id] => {
                    self.record.note(&format!("{} is told to drop {id}", self.name));
                    dropped.lock().unwrap().insert(id.to_string());
                }
                // This tells only that the connection works.
                ["PING", tag] => write(writer, &format!("{tag} FIT - 0\r\n\r\n")),
                ["PAGE", id, _] => write(writer, &format!("{id} BROKE - 0\r\n\r\n")),
                _ => {}
            }
        }
    }

    fn begin(
        &self,
        id: &str,
        key: &str,
        writer: &Arc<Mutex<TcpStream>>,
        dropped: &Arc<Mutex<HashSet<String>>>,
        closed: &Arc<AtomicBool>,
    ) {
        let (id, key) = (id.to_string(), key.to_string());
        let run = Run { engine: self.name.clone(), id: id.clone(), key: key.clone(), at: self.record.now() };
        let is_repeat = !key.is_empty() && {
            let mut known = self.cell.lock().unwrap();
            known.retain(|_, at| at.elapsed() < self.window);
            let is_known = known.contains_key(&key);
            known.entry(key.clone()).or_insert_with(Instant::now);
            is_known
        };
        if is_repeat {
            self.record.note(&format!(
                "{} (cell {}) drops the repeat {id} of key {key}",
                self.name, self.cell_number
            ));
        } else {
            self.record.note(&format!("{} (cell {}) begins {id} key {key}", self.name, self.cell_number));
        }
        let (engine, writer, dropped, closed) =
            (self.clone(), writer.clone(), dropped.clone(), closed.clone());
        std::thread::spawn(move || {
            let gave_up = || closed.load(Ordering::SeqCst) || dropped.lock().unwrap().contains(&id);
            if !is_repeat {
                let began = Instant::now();
                while began.elapsed() < engine.run_time {
                    if engine.stops && gave_up() {
                        engine.record.note(&format!("{} stops {id} key {key}", engine.name));
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
                let at = engine.record.now();
                engine
                    .record
                    .note(&format!("{} (cell {}) has run {id} key {key}", engine.name, engine.cell_number));
                engine.runs.lock().unwrap().push(Run { at, ..run });
            }
            if engine.loses.lock().unwrap().remove(&key) {
                engine.record.note(&format!("{}: the answer to {id} key {key} never arrives", engine.name));
            } else if !gave_up() {
                let body = format!("{key}\t1\tdone\n");
                let work = engine.run_time.as_millis();
                write(
                    &writer,
                    &format!("{id} DONE work={work},peak=10,parts=1 {}\r\n{body}\r\n", body.len()),
                );
            }
        });
    }
}

fn write(writer: &Arc<Mutex<TcpStream>>, text: &str) {
    let _ = writer.lock().unwrap().write_all(text.as_bytes());
}
