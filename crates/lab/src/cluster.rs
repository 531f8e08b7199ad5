//! A cluster of real routers on loopback: processes of the program that know each other through relays of ours, with an
//! engine or more, a board and clients; processes are killed, frozen, woken and started again under their names.

use crate::judge::{Record, Said, Truth};
use crate::relays::Relays;
use crate::shared::Shared;
use crate::standins::{Answered, Board, Client, Router, Seen};
use crate::weather::{Act, Schedule};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

static CLUSTERS: AtomicU64 = AtomicU64::new(0);

struct Slot {
    address: SocketAddr,
    file: PathBuf,
    router: Option<Router>,
    frozen: bool,
    leaving: bool,
    starts: u32,
}

pub struct Cluster {
    program: PathBuf,
    pub relays: Relays,
    pub engines: Vec<Shared>,
    pub board: Board,
    slots: Vec<Slot>,
    /// What the routers' logs say of one another, with the lab's own times.
    said: Arc<Mutex<Vec<Said>>>,
    truths: Vec<Truth>,
    pub faults: usize,
    folder: PathBuf,
    more: Vec<String>,
}

/// `router NAME is STATE, was STATE`, as the log has it.
fn read_line(line: &str) -> Option<(usize, &str)> {
    let rest = line.split("router r").nth(1)?;
    let (number, rest) = rest.split_once(" is ")?;
    let (state, _) = rest.split_once(", was ")?;
    Some((number.parse().ok()?, state))
}

impl Cluster {
    /// So many routers, all started and running, with these arguments more.
    pub fn start(program: &Path, routers: usize, seed: u64, more: &[&str]) -> Cluster {
        Cluster::with(program, routers, 3, seed, more, "")
    }

    /// The same with so many engines, and these fields more in the cluster file.
    pub fn with(
        program: &Path,
        routers: usize,
        engines: usize,
        seed: u64,
        more: &[&str],
        fields: &str,
    ) -> Cluster {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("cleatgw-cluster-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let relays = Relays::start(routers, seed);
        let engines: Vec<Shared> = (0..engines).map(|at| Shared::start(&format!("e{at}"), 8.0)).collect();
        let board = Board::start();
        board.tell(true, &engines.iter().map(Shared::entry).collect::<Vec<_>>());
        let names: Vec<String> = (0..routers).map(|at| format!("r{at}")).collect();
        let slots = (0..routers).map(|at| {
            let file = folder.join(format!("cluster-{at}.json"));
            let text = cluster_file("lab", &names, &relays.addresses[at]);
            std::fs::write(&file, text.replacen('{', &format!("{{{fields}"), 1)).expect("a file");
            let address = crate::standins::vacant();
            Slot { address, file, router: None, frozen: false, leaving: false, starts: 0 }
        });
        let slots: Vec<Slot> = slots.collect();
        let truth = Truth {
            at: 0.0,
            up: vec![false; routers],
            cut: vec![vec![false; routers]; routers],
            life: vec![0; routers],
            rough: false,
        };
        let mut cluster = Cluster {
            program: program.to_path_buf(),
            relays,
            engines,
            board,
            slots,
            said: Arc::default(),
            truths: vec![truth],
            faults: 0,
            folder,
            more: more.iter().map(ToString::to_string).collect(),
        };
        (0..routers).for_each(|router| cluster.act(&Act::Start(router)));
        cluster
    }

    pub fn routers(&self) -> usize {
        self.slots.len()
    }

    pub fn now(&self) -> f64 {
        self.relays.now()
    }

    /// Where clients connect to.
    pub fn address(&self, router: usize) -> SocketAddr {
        self.slots[router].address
    }

    /// The running process.
    ///
    /// # Panics
    /// It is dead.
    pub fn router(&self, router: usize) -> &Router {
        self.slots[router].router.as_ref().expect("a running router")
    }

    /// Where a cluster file of this router's is.
    pub fn file(&self, router: usize) -> &Path {
        &self.slots[router].file
    }

    fn spawn(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        slot.starts += 1;
        let mut arguments = vec!["--cluster", slot.file.to_str().expect("a path")];
        arguments.extend(self.more.iter().map(String::as_str));
        let change = |text: String| {
            let gateways = format!("\"balancers\":{}", self.relays.listens.len());
            text.replace(r#""name":"n1""#, &format!(r#""name":"r{at}""#))
                .replace(r#""balancers":1"#, &gateways)
        };
        // What the former process said ends with it: its successor begins with an empty view.
        let now = self.relays.now();
        let others = (0..self.relays.listens.len()).filter(|of| *of != at);
        let words = others.map(|of| Said { at: now, by: at, of, state: "unseen".to_string() });
        self.said.lock().expect("the record").extend(words);
        let router = Router::at(slot.address, &self.program, &self.board, 512, &arguments, change);
        follow(&router.log, at, self.relays.began, self.said.clone());
        (slot.router, slot.frozen, slot.leaving) = (Some(router), false, false);
    }

    pub fn act(&mut self, act: &Act) {
        match act {
            Act::Start(at) => self.spawn(*at),
            Act::Kill(at) => drop(self.slots[*at].router.take()),
            Act::Freeze(at) => {
                self.router(*at).signal(Signal::STOP);
                self.slots[*at].frozen = true;
            }
            Act::Wake(at) => {
                self.router(*at).signal(Signal::CONT);
                self.slots[*at].frozen = false;
            }
            Act::Leave(at) => {
                self.router(*at).terminate();
                self.slots[*at].leaving = true;
            }
            _ => self.weather(act),
        }
        let (cuts, rough) = {
            let weather = self.relays.weather.lock().expect("the weather");
            let row = |from| (0..self.slots.len()).map(|to| weather.is_cut(from, to)).collect();
            ((0..self.slots.len()).map(row).collect(), weather.rough())
        };
        let up = |slot: &Slot| slot.router.is_some() && !slot.frozen && !slot.leaving;
        self.truths.push(Truth {
            at: self.now(),
            up: self.slots.iter().map(up).collect(),
            cut: cuts,
            life: self.slots.iter().map(|slot| slot.starts).collect(),
            rough,
        });
    }

    fn weather(&self, act: &Act) {
        let mut weather = self.relays.weather.lock().expect("the weather");
        match act {
            Act::Cut(one, other) => {
                weather.link(*one, *other).cut = true;
                weather.link(*other, *one).cut = true;
            }
            Act::CutOneWay(from, to) => weather.link(*from, *to).cut = true,
            Act::Part(parts) => weather.part(parts),
            Act::Heal => weather.all(|link| link.cut = false),
            Act::Loss(loss) => weather.all(|link| link.loss = *loss),
            Act::Spread(spread) => weather.all(|link| link.spread = *spread),
            Act::Twice(twice) => weather.all(|link| link.twice = *twice),
            Act::Damage(damage) => weather.all(|link| link.damage = *damage),
            Act::Stall(from, until) => {
                (0..self.slots.len()).for_each(|to| weather.link(*from, to).stalled_until = *until);
            }
            Act::Start(_) | Act::Kill(_) | Act::Freeze(_) | Act::Wake(_) | Act::Leave(_) => {}
        }
    }

    /// Does what the schedule says, at its times counted from now, and goes on for so long after the last.
    pub fn play(&mut self, schedule: &Schedule, after: f64) {
        let began = self.now();
        self.faults += schedule.len();
        let mut last = 0.0;
        for (at, act) in schedule {
            std::thread::sleep(Duration::from_secs_f64((began + at - self.now()).max(0.0)));
            self.act(act);
            last = *at;
        }
        std::thread::sleep(Duration::from_secs_f64((began + last + after - self.now()).max(0.0)));
    }

    /// It ran, unfrozen and not leaving, from the one time to the other, and for a moment more.
    fn was_up(&self, router: usize, from: f64, to: f64) -> bool {
        let ends = |at: usize| self.truths.get(at + 1).map_or(f64::INFINITY, |next| next.at);
        let through =
            self.truths.iter().enumerate().filter(|(at, truth)| truth.at <= to + 0.5 && ends(*at) >= from);
        through.into_iter().all(|(_, truth)| truth.up[router])
    }

    /// What this router's own table says of the cluster, and of each router: its state.
    pub fn table(&self, router: usize) -> Vec<String> {
        match Client::at(self.address(router)).map(|mut client| client.ask("SHOW CLUSTER")) {
            Ok(Answered::Rows(rows)) => rows,
            other => vec![format!("{other:?}")],
        }
    }

    /// Waits until this router's table begins with these words for the cluster's standing.
    ///
    /// # Panics
    /// It does not within ten seconds.
    pub fn stands(&self, router: usize, standing: &str) {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let table = self.table(router);
            if table.first().is_some_and(|row| row.contains(&format!(",{standing},"))) {
                return;
            }
            assert!(Instant::now() < end, "router {router} is not {standing}: {table:#?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What was done and what was said so far, for the judge.
    pub fn record(&self) -> Record {
        let mut record = Record::new(self.truths[0].clone());
        record.truths = self.truths.clone();
        record.faults = self.faults;
        record.end = self.now();
        let mut said = self.said.lock().expect("the record").clone();
        said.sort_by(|one, other| one.at.total_cmp(&other.at));
        said.into_iter().for_each(|said| record.say(said));
        record
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for slot in &mut self.slots {
            // A frozen process is killed as well as any.
            drop(slot.router.take());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A cluster file as one router has it.
pub fn cluster_file(name: &str, names: &[String], addresses: &[SocketAddr]) -> String {
    let routers: Vec<String> = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| format!(r#"{{"name":"{name}","address":"{address}"}}"#))
        .collect();
    format!(r#"{{"name":"{name}","networks":["127.0.0.0/8"],"routers":[{}]}}"#, routers.join(","))
}

/// Notes what a router says of the others, as it says it.
fn follow(log: &Seen, by: usize, began: Instant, said: Arc<Mutex<Vec<Said>>>) {
    log.follow(move |line| {
        if let Some((of, state)) = read_line(line) {
            let at = began.elapsed().as_secs_f64();
            said.lock().expect("the record").push(Said { at, by, of, state: state.to_string() });
        }
    });
}

/// A job that was sent whole and got no answer: when it was sent, and when its connection ended or time was over.
type Failure = (usize, f64, f64);

/// Clients that ask routers for one job after another, and count what comes of them.
pub struct Load {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(Tally, Vec<Failure>)>>,
}

/// How jobs were answered, as their clients saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub answered: u64,
    /// Rows so soon that no second push was needed: within three tenths of the expected time of a second.
    pub at_once: u64,
}

impl Load {
    /// One client for each router, with so many jobs a second at most.
    pub fn start(cluster: &Cluster, rate: f64) -> Load {
        Load::some(cluster, &(0..cluster.routers()).collect::<Vec<_>>(), rate)
    }

    /// The same for these routers alone.
    pub fn some(cluster: &Cluster, routers: &[usize], rate: f64) -> Load {
        let addresses: Vec<_> = routers.iter().map(|&router| (router, cluster.address(router))).collect();
        Load::at(&addresses, rate, cluster.relays.began)
    }

    /// One client for each of these, which are known by numbers.
    pub fn at(addresses: &[(usize, SocketAddr)], rate: f64, began: Instant) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let clients = addresses.iter().map(|&(router, address)| (router, address, over.clone()));
        let client = |(router, address, over): (usize, SocketAddr, Arc<AtomicBool>)| {
            std::thread::spawn(move || ask(router, address, rate, began, &over))
        };
        let threads = clients.map(client).collect();
        Load { over, threads }
    }

    /// Jobs that were answered, and those that a router that was up all the while never answered.
    pub fn end(self, cluster: &Cluster) -> (u64, u64) {
        let (tally, unanswered) = self.tally(cluster);
        (tally.answered, unanswered)
    }

    /// The same in more detail.
    pub fn tally(self, cluster: &Cluster) -> (Tally, u64) {
        self.over.store(true, Ordering::Relaxed);
        let (mut jobs, mut unanswered) = (Tally::default(), 0);
        for thread in self.threads {
            let (answered, failures) = thread.join().expect("a client");
            jobs.answered += answered.answered;
            jobs.at_once += answered.at_once;
            let owed = failures.into_iter().filter(|(router, from, to)| cluster.was_up(*router, *from, *to));
            unanswered += owed.count() as u64;
        }
        (jobs, unanswered)
    }
}

fn ask(
    router: usize,
    address: SocketAddr,
    rate: f64,
    began: Instant,
    over: &AtomicBool,
) -> (Tally, Vec<Failure>) {
    let (mut jobs, mut failures) = (Tally::default(), Vec::new());
    let now = || began.elapsed().as_secs_f64();
    while !over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::at(address) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        // Longer than any pause that the schedules make.
        let _ = client.stream.set_read_timeout(Some(Duration::from_secs(12)));
        while !over.load(Ordering::Relaxed) {
            let sent = now();
            if !client.try_send(&crate::standins::job(
                "look",
                3000,
                &format!("work 2 FROM sales_{}.t", jobs.answered % 16),
            )) {
                break;
            }
            let Some(answer) = client.try_answer() else {
                failures.push((router, sent, now()));
                break;
            };
            jobs.answered += 1;
            jobs.at_once += u64::from(matches!(answer, Answered::Rows(_)) && now() - sent <= 0.3);
            std::thread::sleep(Duration::from_secs_f64(1.0 / rate));
        }
    }
    (jobs, failures)
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_router_s_word_on_another_is_read_from_its_log() {
        let line =
            "12.3 [INFO  cleatgw::transport::cluster] router r3 is seen by others, was present router=r3";
        assert_eq!(super::read_line(line), Some((3, "seen by others")));
        assert_eq!(super::read_line("engine 3 is e3"), None);
    }
}
