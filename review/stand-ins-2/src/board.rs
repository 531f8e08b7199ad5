//! The notice board: `watch N` is answered with all later events, and each second with the last number.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Board {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Board {
    /// A board whose first event, which the configurations hold, has the number 1.
    pub fn start() -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let board = Board { address, events: Arc::default() };
        let serving = board.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = serving.clone();
                std::thread::spawn(move || board.serve(stream));
            }
        });
        board
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
        let mut last: u64 = line.trim().strip_prefix("watch ")?.parse().ok()?;
        let mut told_at = Instant::now() - Duration::from_secs(1);
        loop {
            let new: Vec<(u64, String)> =
                self.events.lock().unwrap().iter().filter(|(number, _)| *number > last).cloned().collect();
            for (number, text) in new {
                (&stream).write_all(format!("{text}\n").as_bytes()).ok()?;
                last = number;
            }
            if told_at.elapsed() >= Duration::from_secs(1) {
                told_at = Instant::now();
                (&stream).write_all(format!("{last}\n").as_bytes()).ok()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
