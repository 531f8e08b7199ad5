//! A small discovery service on loopback.

use crate::recorded_lines::RecordedLines;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The discovery service: tells what it is given, and the last number often.
pub struct Discovery {
    pub address: SocketAddr,
    pub seen: RecordedLines,
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
            seen: RecordedLines::default(),
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

    /// What it has told so far, as a configuration states it.
    pub(crate) fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!(r#"{{"rev":{},"notices":[{}]}}"#, events.len(), events.join(","))
    }
}
