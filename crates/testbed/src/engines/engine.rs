//! A small engine on loopback, whose faults its uid and its requests name.

use crate::recorded_lines::RecordedLines;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An engine: what it does is the first word of a request's statement (`pages N`, `hold`, `mute` on its first
/// connection), or of its uid where that tells of a fault (`resets`, `full`, `loses` pages, `garbage`, `wide` rows).
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub uid: String,
    pub seen: RecordedLines,
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
        Engine { address, uid, seen: RecordedLines::default(), open: Arc::default() }
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
            // Rows without text are longest in the form that clients get, beside their length here.
            let narrow = "\t\t\n".repeat(if self.uid.contains("narrow") { 1900 } else { 0 });
            let row = |page: usize| format!("{page}\t{one}\ttwo\n{narrow}");
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
