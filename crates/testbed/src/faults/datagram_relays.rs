//! Relays on loopback between the routers of a cluster: each directed link runs through one, which loses, delays,
//! duplicates, damages, reorders, stalls or cuts as the conditions of links says.

use crate::faults::schedule::LinkConditions;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

static HOSTS: AtomicU16 = AtomicU16::new(0);

/// A UDP address that no other socket here can come by, and that can be taken again after a restart.
pub fn vacant_udp() -> SocketAddr {
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    // Processes that run beside each other are told apart by the port that the system draws.
    let [third, fourth] = [(2 + host / 250) as u8, (host % 250) as u8 + 1];
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, third, fourth], 0))).expect("a port");
    socket.local_addr().expect("an address")
}

pub struct Relays {
    /// Where each router hears the others.
    pub listens: Vec<SocketAddr>,
    /// By router, then other: where the first sends what is for the other.
    pub addresses: Vec<Vec<SocketAddr>>,
    pub link_conditions: Arc<Mutex<LinkConditions>>,
    pub began: Instant,
    kept: Arc<Mutex<Kept>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A datagram on its way: from, to, bytes.
pub type Passed = (usize, usize, Vec<u8>);

/// So many of the latest datagrams are kept.
const MAX_DELAYED: usize = 500;

/// What has passed of late, and what is to be sent once more.
#[derive(Default)]
struct Kept {
    passed: VecDeque<Passed>,
    again: Vec<Passed>,
}

impl Relays {
    pub fn start(routers: usize, seed: u64) -> Relays {
        let listens: Vec<SocketAddr> = (0..routers).map(|_| vacant_udp()).collect();
        let mut sockets = Vec::new();
        let mut addresses = vec![Vec::new(); routers];
        for (from, addresses) in addresses.iter_mut().enumerate() {
            for to in 0..routers {
                if from == to {
                    addresses.push(listens[from]);
                    sockets.push(None);
                    continue;
                }
                let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
                socket.set_nonblocking(true).expect("a socket");
                addresses.push(socket.local_addr().expect("an address"));
                sockets.push(Some(socket));
            }
        }
        let link_conditions = Arc::new(Mutex::new(LinkConditions::new(routers, seed)));
        let (over, began) = (Arc::new(AtomicBool::new(false)), Instant::now());
        let kept = Arc::new(Mutex::new(Kept::default()));
        let work = Work {
            routers,
            sockets,
            listens: listens.clone(),
            link_conditions: link_conditions.clone(),
            began,
            kept: kept.clone(),
        };
        let seen = over.clone();
        let thread = std::thread::spawn(move || work.run(&seen));
        Relays { listens, addresses, link_conditions, began, kept, over, thread: Some(thread) }
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// The latest datagrams of this router.
    pub fn passed(&self, from: usize) -> Vec<Passed> {
        let kept = self.kept.lock().expect("what is kept");
        kept.passed.iter().filter(|passed| passed.0 == from).cloned().collect()
    }

    /// Sends these once more, from the addresses by which their receivers know the senders.
    pub fn send_again(&self, datagrams: Vec<Passed>) {
        self.kept.lock().expect("what is kept").again.extend(datagrams);
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}

struct Work {
    routers: usize,
    /// By sender, then receiver.
    sockets: Vec<Option<UdpSocket>>,
    listens: Vec<SocketAddr>,
    link_conditions: Arc<Mutex<LinkConditions>>,
    began: Instant,
    kept: Arc<Mutex<Kept>>,
}

impl Work {
    fn run(&self, over: &AtomicBool) {
        let mut waiting: BTreeMap<(u64, u64), Passed> = BTreeMap::new();
        let mut numbered = 0;
        let mut bytes = [0; 2048];
        while !over.load(Ordering::Relaxed) {
            let now = self.began.elapsed().as_secs_f64();
            let again = std::mem::take(&mut self.kept.lock().expect("what is kept").again);
            for passed in again {
                numbered += 1;
                waiting.insert((now.to_bits(), numbered), passed);
            }
            while let Some(entry) = waiting.first_entry().filter(|entry| f64::from_bits(entry.key().0) <= now)
            {
                let (from, to, bytes) = entry.remove();
                let mut kept = self.kept.lock().expect("what is kept");
                kept.passed.push_back((from, to, bytes.clone()));
                if kept.passed.len() > MAX_DELAYED {
                    kept.passed.pop_front();
                }
                drop(kept);
                // It comes from the address by which the receiver knows the sender.
                if let Some(socket) = &self.sockets[to * self.routers + from] {
                    let _ = socket.send_to(&bytes, self.listens[to]);
                }
            }
            let next = waiting.first_key_value().map_or(0.005, |((at, _), _)| f64::from_bits(*at) - now);
            let wait = Timespec { tv_sec: 0, tv_nsec: (next.clamp(0.0, 0.005) * 1e9) as _ };
            let open: Vec<(usize, &UdpSocket)> = self
                .sockets
                .iter()
                .enumerate()
                .filter_map(|(at, socket)| Some((at, socket.as_ref()?)))
                .collect();
            let mut polled: Vec<PollFd> =
                open.iter().map(|(_, socket)| PollFd::new(*socket, PollFlags::IN)).collect();
            if poll(&mut polled, Some(&wait)).unwrap_or(0) == 0 {
                continue;
            }
            let ready: Vec<usize> = polled
                .iter()
                .zip(&open)
                .filter(|(fd, _)| !fd.revents().is_empty())
                .map(|(_, (at, _))| *at)
                .collect();
            let now = self.began.elapsed().as_secs_f64();
            let mut link_conditions = self.link_conditions.lock().expect("the conditions of links");
            for at in ready {
                let (from, to) = (at / self.routers, at % self.routers);
                let socket = self.sockets[at].as_ref().expect("it was polled");
                for _ in 0..64 {
                    let Ok((length, _)) = socket.recv_from(&mut bytes) else { break };
                    for (delay, damaged) in link_conditions.fate(from, to, now) {
                        let mut copy = bytes[..length].to_vec();
                        if damaged {
                            link_conditions.spoil(&mut copy);
                        }
                        numbered += 1;
                        waiting.insert(((now + delay).to_bits(), numbered), (from, to, copy));
                    }
                }
            }
        }
    }
}
