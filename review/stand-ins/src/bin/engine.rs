//! A stand-in for one sql engine: `engine NAME WORK_S [COPY_MS]`. It prints its address, then a line for each request that
//! has come whole, was given up or was answered. Each request runs at once, side by side with the others, for WORK_S
//! seconds, and is answered with one row, which holds the statement. With COPY_MS, a second copy of every fourth
//! answer follows so many milliseconds later. The engine ends when its standard input is closed.

use stand_ins::{fields, sleep};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The answers so far, over all connections.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

fn say(line: String) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn serve(stream: TcpStream, name: String, work: f64, copy: Option<f64>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let output = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let dropped: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["GET", id, given, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                input.read_exact(&mut body).ok()?;
                let key = fields(given).get("uniq").copied().unwrap_or("-").to_string();
                say(format!("GET {id} uniq={key} {given}"));
                body.truncate(body.len() - 2);
                let statement = String::from_utf8_lossy(&body).into_owned();
                let (id, output, dropped, name) = (id.to_string(), output.clone(), dropped.clone(), name.clone());
                thread::spawn(move || {
                    sleep(work);
                    if dropped.lock().unwrap().contains(&id) {
                        return;
                    }
                    let row = format!("{id}\t{name}\t{statement}\n");
                    let head = format!("{id} DONE work={},peak=64,parts=1 {}\r\n", work * 1e3, row.len());
                    say(format!("DONE {id}"));
                    let answer = format!("{head}{row}\r\n");
                    let _ = output.lock().unwrap().write_all(answer.as_bytes());
                    let is_fourth = ANSWERS.fetch_add(1, Ordering::Relaxed) % 4 == 0;
                    if let Some(after) = copy.filter(|_| is_fourth) {
                        sleep(after);
                        say(format!("DONE {id}, the second copy"));
                        let _ = output.lock().unwrap().write_all(answer.as_bytes());
                    }
                });
            }
            ["DROP", id] => {
                say(format!("DROP {id}"));
                dropped.lock().unwrap().insert(id.to_string());
            }
            ["PING", tag] => {
                output.lock().unwrap().write_all(format!("{tag} FIT - 0\r\n\r\n").as_bytes()).ok()?;
            }
            ["PAGE", id, _] => {
                output.lock().unwrap().write_all(format!("{id} BROKE - 0\r\n\r\n").as_bytes()).ok()?;
            }
            ["RANK", _, _] | ["CLOSE", _] => {}
            _ => {
                say(format!("can't be read: {line:?}"));
                return None;
            }
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, work) = (arguments[1].clone(), arguments[2].parse::<f64>().expect("seconds of work"));
    let copy = arguments.get(3).map(|ms| ms.parse::<f64>().expect("milliseconds") / 1e3);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(listener.local_addr().unwrap().to_string());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let name = name.clone();
            thread::spawn(move || serve(stream, name, work, copy));
        }
    });
    let mut rest = Vec::new();
    let _ = std::io::stdin().read_to_end(&mut rest);
}
