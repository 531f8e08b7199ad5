//! Clients that ask routers for one request after another, and a record of what each of them saw.

use crate::checkers::request_rules::{Asked, Outcome};
use crate::routers::cluster::Cluster;
use crate::stand_ins::{Answered, Client};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What clients ask for, in turn: mostly what may be repeated, some with idempotency keys, few that must not run twice.
const MIXED: [&str; 10] = ["look", "look", "load", "look", "look", "once", "look", "look", "load", "look"];
/// How long a client waits for a request, in seconds.
const TIME_TO_LIVE: f64 = 3.0;
/// A client that is still not answered reads on for so long: more than any pause that the schedules make.
const READS_ON: Duration = Duration::from_secs(12);

static CALLS: AtomicU64 = AtomicU64::new(1);

pub struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Asked>>>,
}

/// How requests were answered, as their clients saw it.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub answered: u64,
    /// Rows so soon that no second attempt was needed: within three tenths of the expected time of a second.
    pub at_once: u64,
    /// Sent whole to a router that ran all the while, and never answered.
    pub unanswered: u64,
    pub asked: Vec<Asked>,
}

impl Load {
    /// One client for each router, with so many requests a second at most.
    pub fn start(cluster: &Cluster, rate: f64) -> Load {
        Load::some(cluster, &(0..cluster.routers()).collect::<Vec<_>>(), rate)
    }

    /// The same for these routers alone.
    pub fn some(cluster: &Cluster, routers: &[usize], rate: f64) -> Load {
        let addresses: Vec<_> = routers.iter().map(|&router| (router, cluster.address(router))).collect();
        Load::at(&addresses, rate, 2.0, cluster.relays.began)
    }

    /// One client for each of these, which are known by numbers, with requests of so many milliseconds of work.
    pub fn at(addresses: &[(usize, SocketAddr)], rate: f64, work: f64, began: Instant) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let clients = addresses.iter().map(|&(router, address)| Asking {
            router,
            address,
            rate,
            work,
            began,
            over: over.clone(),
        });
        let threads = clients.map(|client| std::thread::spawn(move || client.run())).collect();
        Load { over, threads }
    }

    /// Requests that were answered, and those that a router that was up all the while never answered.
    pub fn end(self, cluster: &Cluster) -> (u64, u64) {
        let tally = self.tally(cluster);
        (tally.answered, tally.unanswered)
    }

    /// The same in more detail.
    pub fn tally(self, cluster: &Cluster) -> Tally {
        self.over.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        for thread in self.threads {
            tally.asked.extend(thread.join().expect("a client"));
        }
        for request in &tally.asked {
            let owed =
                request.answered.is_none() && cluster.was_up(request.router, request.sent, request.over);
            tally.unanswered += u64::from(owed);
            tally.answered += u64::from(request.answered.is_some());
            let soon = matches!(request.answered, Some((at, Outcome::Rows)) if at - request.sent <= 0.3);
            tally.at_once += u64::from(soon);
        }
        tally
    }
}

/// One client.
struct Asking {
    router: usize,
    address: SocketAddr,
    rate: f64,
    work: f64,
    began: Instant,
    over: Arc<AtomicBool>,
}

/// How an answer counts for the rules.
pub fn outcome(answer: &Answered) -> Outcome {
    match answer {
        Answered::Ok | Answered::Rows(_) => Outcome::Rows,
        Answered::Error(1040 | 1203 | 1226, _) => Outcome::Rejected,
        Answered::Error(..) => Outcome::Failed,
    }
}

impl Asking {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn done(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn run(self) -> Vec<Asked> {
        let mut all = Vec::new();
        while !self.done() {
            let Ok(mut client) = Client::at(self.address) else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            let _ = client.stream.set_read_timeout(Some(READS_ON));
            while !self.done() {
                let number = CALLS.fetch_add(1, Ordering::Relaxed);
                let class = MIXED[all.len() % MIXED.len()];
                // Far from what other clients of the tests use.
                let (call, idempotency_key) = (format!("{:016x}", number | 1 << 40), format!("k{number}"));
                let (ttl, work, group) = (TIME_TO_LIVE * 1e3, self.work, all.len() % 16);
                let text = format!(
                    "/* op={class},call={call},ttl={ttl},dedupe={idempotency_key},work={work},mb=10 */ \
                     work {work} FROM sales_{group}.t"
                );
                let sent = self.now();
                if !client.try_send(&text) {
                    break;
                }
                let answer = client.try_answer();
                let over = self.now();
                let twice = answer.is_some() && more_has_come(&client);
                let answered = answer.as_ref().map(|answer| (over, outcome(answer)));
                let (router, time_to_live) = (self.router, TIME_TO_LIVE);
                all.push(Asked {
                    router,
                    call,
                    class,
                    idempotency_key,
                    sent,
                    time_to_live,
                    answered,
                    over,
                    twice,
                });
                if answer.is_none() {
                    break;
                }
                std::thread::sleep(Duration::from_secs_f64((sent + 1.0 / self.rate - self.now()).max(0.0)));
            }
        }
        all
    }
}

/// Something came behind a whole answer, though nothing was asked.
fn more_has_come(client: &Client) -> bool {
    let _ = client.stream.set_nonblocking(true);
    let more = matches!(client.stream.peek(&mut [0]), Ok(1..));
    let _ = client.stream.set_nonblocking(false);
    more
}
