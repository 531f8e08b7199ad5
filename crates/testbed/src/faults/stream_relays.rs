//! Relays on loopback for connections: from each router to each engine and to its discovery service. Each direction can be delayed or
//! kept back; connections can be reset, and new ones rejected. Whatever is kept back comes whole and in order
//! later, as a stream's bytes do.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One way between a router and what it connects to. Times are seconds on the relays' clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// What goes there, and what comes back, is kept back until then.
    pub there_until: f64,
    pub back_until: f64,
    /// More time on the way, either direction.
    pub delay: f64,
    /// New connections are closed at once.
    pub refuses: bool,
    /// Grows with each reset of what is open.
    resets: u32,
}

impl Way {
    /// Nothing is done to it at this time.
    pub fn sound(&self, now: f64) -> bool {
        self.there_until <= now && self.back_until <= now && self.delay == 0.0 && !self.refuses
    }
}

/// What is done to a way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kept back for so many seconds: what goes there, what comes back, or both.
    There(f64),
    Back(f64),
    Both(f64),
    Delay(f64),
    Refuse(bool),
    /// All that is open ends at once.
    Reset,
    /// Whatever was done ends.
    Sound,
}

struct Inner {
    way: Mutex<Way>,
    /// When something was done to it, and when that ended, for the judge.
    rough: Mutex<Vec<(f64, f64)>>,
    /// When connections came.
    came: Mutex<Vec<f64>>,
    to: SocketAddr,
    began: Instant,
    over: Arc<AtomicBool>,
}

/// A relay from one router to one thing.
#[derive(Clone)]
pub struct Stream {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

const LOOK: Duration = Duration::from_millis(2);
const CHUNK: usize = 16 * 1024;

impl Stream {
    /// Relays what connects to its address on to `to`, until `over` is set.
    pub fn start(to: SocketAddr, began: Instant, over: Arc<AtomicBool>) -> Stream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        let inner =
            Inner { way: Mutex::default(), rough: Mutex::default(), came: Mutex::default(), to, began, over };
        let stream = Stream { address, inner: Arc::new(inner) };
        let relay = stream.inner.clone();
        std::thread::spawn(move || relay.accept(&listener));
        stream
    }

    pub fn does(&self, fault: Fault) {
        let now = self.inner.now();
        let mut way = self.inner.way.lock().expect("a way");
        let until = match fault {
            Fault::There(seconds) => {
                way.there_until = now + seconds;
                way.there_until
            }
            Fault::Back(seconds) => {
                way.back_until = now + seconds;
                way.back_until
            }
            Fault::Both(seconds) => {
                (way.there_until, way.back_until) = (now + seconds, now + seconds);
                way.back_until
            }
            Fault::Delay(delay) => {
                way.delay = delay;
                if delay > 0.0 {
                    f64::INFINITY
                } else {
                    now
                }
            }
            Fault::Refuse(refuses) => {
                way.refuses = refuses;
                if refuses {
                    f64::INFINITY
                } else {
                    now
                }
            }
            Fault::Reset => {
                way.resets += 1;
                now
            }
            Fault::Sound => {
                *way = Way { resets: way.resets, ..Way::default() };
                now
            }
        };
        let mut rough = self.inner.rough.lock().expect("a record");
        if fault == Fault::Sound {
            rough.iter_mut().for_each(|(_, to)| *to = to.min(now));
        }
        rough.push((now, until));
    }

    /// When connections came, on the relays' clock.
    pub fn came(&self) -> Vec<f64> {
        self.inner.came.lock().expect("a record").clone()
    }

    /// Something was done to it at some time between these, with this much more on either side.
    pub fn was_rough(&self, from: f64, to: f64, more: f64) -> bool {
        let rough = self.inner.rough.lock().expect("a record");
        rough.iter().any(|(since, until)| *since <= to + more && *until >= from - more)
    }
}

impl Inner {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn way(&self) -> Way {
        *self.way.lock().expect("a way")
    }

    fn accept(self: Arc<Inner>, listener: &TcpListener) {
        while !self.over.load(Ordering::Relaxed) {
            let near = match listener.accept() {
                Ok((near, _)) => near,
                Err(_) => {
                    // Many of these wait beside each other: none wakes without a cause for long.
                    let wait = Timespec { tv_sec: 0, tv_nsec: 100_000_000 };
                    let _ = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&wait));
                    continue;
                }
            };
            self.came.lock().expect("a record").push(self.now());
            if self.way().refuses {
                continue;
            }
            let _ = near.set_nonblocking(false);
            let Ok(far) = TcpStream::connect(self.to) else { continue };
            let resets = self.way().resets;
            let ends = [&near, &far].map(|end| {
                let _ = end.set_nodelay(true);
                let _ = end.set_read_timeout(Some(Duration::from_millis(50)));
                end.try_clone()
            });
            let [Ok(near_too), Ok(far_too)] = ends else { continue };
            let (there, back) = (self.clone(), self.clone());
            std::thread::spawn(move || there.carry(near, far, true, resets));
            std::thread::spawn(move || back.carry(far_too, near_too, false, resets));
        }
    }

    /// Carries bytes one way until one end closes, the way is reset, or all is over.
    fn carry(&self, mut from: TcpStream, mut to: TcpStream, there: bool, resets: u32) {
        let mut bytes = vec![0; CHUNK];
        let ended = |way: &Way| way.resets != resets || self.over.load(Ordering::Relaxed);
        loop {
            let way = self.way();
            if ended(&way) {
                break;
            }
            let length = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(length) => length,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            let came = self.now();
            let held = |way: &Way| {
                let until = if there { way.there_until } else { way.back_until };
                until.max(came + way.delay)
            };
            let mut way = self.way();
            while self.now() < held(&way) && !ended(&way) {
                std::thread::sleep(
                    LOOK.min(Duration::from_secs_f64((held(&way) - self.now()).clamp(1e-4, 1.0))),
                );
                way = self.way();
            }
            if ended(&way) || to.write_all(&bytes[..length]).is_err() {
                break;
            }
        }
        // A close goes on only with what was ahead of it: a way that is kept back keeps it back as well.
        while !ended(&self.way())
            && self.now() < if there { self.way().there_until } else { self.way().back_until }
        {
            std::thread::sleep(LOOK);
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests;
