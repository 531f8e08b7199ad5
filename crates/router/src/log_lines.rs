//! Log lines go to standard error as far as it takes them at once, and no more than so many a second: a slow reader
//! or a flood of one kind loses lines, and never holds up the loop.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::time::{Duration, Instant};

/// A pipe that is ready takes this much without waiting.
const LONGEST: usize = 4096;
const MOST_A_SECOND: u32 = 200;

struct Lines {
    lost: u64,
    second: Instant,
    lines: u32,
}

impl Lines {
    fn ready() -> bool {
        let stderr = io::stderr();
        let mut wanted = [PollFd::new(&stderr, PollFlags::OUT)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut wanted, Some(&at_once)).is_ok_and(|ready| ready > 0)
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second.elapsed() >= Duration::from_secs(1) {
            (self.second, self.lines) = (Instant::now(), 0);
        }
        self.lines += 1;
        if self.lines > MOST_A_SECOND || !Lines::ready() {
            self.lost += 1;
            return Ok(line.len());
        }
        let mut text = Vec::new();
        if self.lost > 0 {
            text = format!("[{} log lines lost]\n", std::mem::take(&mut self.lost)).into_bytes();
        }
        text.extend(line);
        if text.len() > LONGEST {
            text.truncate(LONGEST - 1);
            text.push(b'\n');
        }
        // Without a reader there is nobody to tell.
        let _ = io::stderr().write(&text);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub fn start() {
    let filter = env_logger::Env::default().default_filter_or("info");
    let lines = env_logger::Target::Pipe(Box::new(Lines { lost: 0, second: Instant::now(), lines: 0 }));
    env_logger::Builder::from_env(filter).target(lines).init();
}
