//! A cluster of real routers on loopback: processes of the program that know each other through relays of ours, with
//! engines and a discovery service for each behind relays as well, and clients; processes are killed, frozen, woken and started again
//! under their names.

use crate::checkers::failure_detection::{Record, Said, Truth};
use crate::checkers::request_rules::{check_requests, two_holders, Asked, CheckResult, Claim, Facts, Stated};
use crate::engines::shared_engine::Shared;
use crate::faults::datagram_relays::Relays;
use crate::faults::schedule::{FaultAction, Schedule, Target};
use crate::faults::stream_relays::Stream;
use crate::stand_ins::{Answered, Client, Discovery, RecordedLines, Router};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

static CLUSTERS: AtomicU64 = AtomicU64::new(0);

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub engines: usize,
    /// Of each engine.
    pub cores: f64,
    pub seed: u64,
    /// Arguments behind `serve`, the cluster file's aside; `{at}` stands for a router's number, `{folder}` for a folder
    /// that lasts as long as the cluster.
    pub more: Vec<String>,
    /// Fields more in the cluster file, each with its comma behind.
    pub fields: String,
    /// Replacements in the configuration's text.
    pub changes: Vec<(String, String)>,
    /// Variables of the routers' environment.
    pub environment: Vec<(String, String)>,
    /// Whether routers have a cluster file at all, and a store.
    pub knows: bool,
    pub keeps: bool,
    /// What the deployment states, for the judge: `changes` has to say the same.
    pub stated: Stated,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            routers: 3,
            engines: 3,
            cores: 8.0,
            seed: 1,
            more: Vec::new(),
            fields: String::new(),
            changes: Vec::new(),
            environment: Vec::new(),
            knows: true,
            keeps: false,
            stated: Stated::default(),
        }
    }
}

struct Slot {
    address: SocketAddr,
    file: PathBuf,
    router: Option<Router>,
    frozen: bool,
    leaving: bool,
    starts: u32,
    /// When it was started, and when it was told to leave or killed.
    started: Vec<f64>,
    ended: Vec<f64>,
}

/// An engine's entry on the discovery services.
#[derive(Clone, Debug)]
struct Listed {
    uid: String,
    state: &'static str,
    boot_ms: u64,
}

pub struct Cluster {
    program: PathBuf,
    plan: Plan,
    pub relays: Relays,
    pub engines: Vec<Shared>,
    listed: Vec<Listed>,
    /// From when on an engine was to get nothing new.
    drained: Vec<Option<f64>>,
    /// By router: one discovery service that tells it of engines at its own relays' addresses.
    discoveries: Vec<Discovery>,
    /// By router: its ways to the engines, then to its discovery service.
    ways: Vec<Vec<Stream>>,
    slots: Vec<Slot>,
    /// What the routers' logs say of one another, with the lab's own times.
    said: Arc<Mutex<Vec<Said>>>,
    truths: Vec<Truth>,
    pub faults: usize,
    pub folder: PathBuf,
    over: Arc<AtomicBool>,
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
        let more = more.iter().map(ToString::to_string).collect();
        Cluster::planned(program, Plan { routers, seed, more, ..Plan::default() })
    }

    pub fn planned(program: &Path, plan: Plan) -> Cluster {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("cleatgw-cluster-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let routers = plan.routers;
        let relays = Relays::start(routers, plan.seed);
        let over = Arc::new(AtomicBool::new(false));
        let engines: Vec<Shared> = (0..plan.engines)
            .map(|at| Shared::numbered(&format!("e{at}"), plan.cores, at, relays.began))
            .collect();
        let discoveries: Vec<Discovery> = (0..routers).map(|_| Discovery::start()).collect();
        let way = |to| Stream::start(to, relays.began, over.clone());
        let ways: Vec<Vec<Stream>> = discoveries
            .iter()
            .map(|discovery| {
                engines.iter().map(|engine| engine.address).chain([discovery.address]).map(way).collect()
            })
            .collect();
        let names: Vec<String> = (0..routers).map(|at| format!("r{at}")).collect();
        let slots = (0..routers).map(|at| {
            let file = folder.join(format!("cluster-{at}.json"));
            let text = cluster_file("lab", &names, &relays.addresses[at]);
            std::fs::write(&file, text.replacen('{', &format!("{{{}", plan.fields), 1)).expect("a file");
            let store = format!(r#"{{"path":"{}/kept-{at}.redb"}}"#, folder.display());
            std::fs::write(folder.join(format!("store-{at}.json")), store).expect("a file");
            Slot {
                address: crate::stand_ins::vacant(),
                file,
                router: None,
                frozen: false,
                leaving: false,
                starts: 0,
                started: Vec::new(),
                ended: Vec::new(),
            }
        });
        let slots: Vec<Slot> = slots.collect();
        let truth = Truth {
            at: 0.0,
            up: vec![false; routers],
            cut: vec![vec![false; routers]; routers],
            incarnation: vec![0; routers],
            rough: false,
        };
        let listed = |engine: &Shared| Listed { uid: engine.uid.clone(), state: "ready", boot_ms: 0 };
        let mut cluster = Cluster {
            program: program.to_path_buf(),
            listed: engines.iter().map(listed).collect(),
            drained: vec![None; engines.len()],
            plan,
            relays,
            engines,
            discoveries,
            ways,
            slots,
            said: Arc::default(),
            truths: vec![truth],
            faults: 0,
            folder,
            over,
        };
        let all: Vec<usize> = (0..cluster.engines.len()).collect();
        (0..routers).for_each(|router| cluster.tell(router, true, &all));
        cluster.act_all(&(0..routers).map(FaultAction::Start).collect::<Vec<_>>());
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

    /// The discovery service that a router is told by.
    pub fn discovery(&self, router: usize) -> &Discovery {
        &self.discoveries[router]
    }

    /// Where a cluster file of this router's is.
    pub fn file(&self, router: usize) -> &Path {
        &self.slots[router].file
    }

    /// Where this router's store is.
    pub fn store(&self, router: usize) -> PathBuf {
        self.folder.join(format!("kept-{router}.redb"))
    }

    /// The way from a router to what it connects to.
    pub fn way(&self, router: usize, target: Target) -> &Stream {
        match target {
            Target::Engine(engine) => &self.ways[router][engine],
            Target::Discovery => self.ways[router].last().expect("the board's"),
        }
    }

    /// Tells one router of these engines as they are listed.
    pub fn tell(&self, router: usize, whole: bool, engines: &[usize]) {
        let entry = |&engine: &usize| {
            let (Listed { uid, state, boot_ms }, address) =
                (&self.listed[engine], self.ways[router][engine].address);
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"east","model":"std","state":"{state}","boot_ms":{boot_ms}}}"#
            )
        };
        self.discoveries[router].tell(whole, &engines.iter().map(entry).collect::<Vec<_>>());
    }

    /// An engine comes to this state (`ready`, `draining`, `gone`), and these routers are told.
    pub fn engine_is(&mut self, engine: usize, state: &'static str, told: &[usize]) {
        self.listed[engine].state = state;
        if state != "ready" {
            // What a discovery service has to tell counts as told 7 s later at the latest.
            let rough =
                |router: &usize| self.way(*router, Target::Discovery).was_rough(self.now(), self.now(), 1.0);
            let late = if told.len() < self.slots.len() || told.iter().any(rough) { 7.0 } else { 0.0 };
            self.drained[engine] = Some(self.now() + late);
        }
        told.iter().for_each(|router| self.tell(*router, false, &[engine]));
    }

    /// Another engine takes this one's place at its address, cold: it has a name and a start of its own.
    pub fn engine_is_replaced(&mut self, engine: usize, told: &[usize]) {
        self.engines[engine].dies();
        self.engine_is(engine, "gone", told);
        self.engines[engine].is_back();
        let uid = format!("{}x", self.listed[engine].uid);
        self.listed[engine] = Listed { uid, state: "ready", boot_ms: (crate::unix_time() * 1e3) as u64 };
        self.drained[engine] = None;
        told.iter().for_each(|router| self.tell(*router, false, &[engine]));
    }

    /// When an engine of this place was started late, in Unix milliseconds; 0 for long ago.
    pub fn boot_ms(&self, engine: usize) -> u64 {
        self.listed[engine].boot_ms
    }

    fn argument(&self, at: usize, text: &str) -> String {
        text.replace("{at}", &at.to_string()).replace("{folder}", &self.folder.to_string_lossy())
    }

    /// Starts a process, without waiting until it listens.
    fn spawn(&mut self, at: usize) {
        let mut arguments: Vec<String> = self.plan.more.iter().map(|more| self.argument(at, more)).collect();
        if self.plan.knows {
            arguments.extend(["--cluster".to_string(), self.slots[at].file.to_string_lossy().into_owned()]);
        }
        if self.plan.keeps {
            arguments.extend(["--store".to_string(), self.argument(at, "{folder}/store-{at}.json")]);
        }
        let environment: Vec<(String, String)> = self
            .plan
            .environment
            .iter()
            .map(|(name, value)| (name.clone(), self.argument(at, value)))
            .collect();
        // What the former process said ends with it: its successor begins with an empty view.
        let now = self.relays.now();
        let others = (0..self.slots.len()).filter(|of| *of != at);
        let words = others.map(|of| Said { at: now, by: at, of, state: "unseen".to_string() });
        self.said.lock().expect("the record").extend(words);
        let (gateways, changes) = (format!("\"balancers\":{}", self.slots.len()), self.plan.changes.clone());
        let discovery = (self.way(at, Target::Discovery).address, &self.discoveries[at]);
        let change = |text: String| {
            let text = text
                .replace(r#""name":"n1""#, &format!(r#""name":"r{at}""#))
                .replace(r#""balancers":1"#, &gateways);
            changes.iter().fold(text, |text, (was, is)| text.replace(was, is))
        };
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let router = Router::spawned(
            self.slots[at].address,
            &self.program,
            discovery,
            512,
            &arguments,
            &environment,
            change,
        );
        follow(&router.log, at, self.relays.began, self.said.clone());
        let slot = &mut self.slots[at];
        slot.starts += 1;
        slot.started.push(now);
        (slot.router, slot.frozen, slot.leaving) = (Some(router), false, false);
    }

    pub fn act(&mut self, act: &FaultAction) {
        self.act_all(std::slice::from_ref(act));
    }

    /// All of these at once: processes that are started come up beside each other.
    pub fn act_all(&mut self, acts: &[FaultAction]) {
        let (mut started, now) = (Vec::new(), self.now());
        for act in acts {
            match act {
                FaultAction::Start(at) => {
                    self.spawn(*at);
                    started.push(*at);
                }
                FaultAction::Kill(at) => {
                    self.slots[*at].ended.push(now);
                    if let Some(router) = self.slots[*at].router.take() {
                        // Its end is waited for apart, so that many end at once.
                        router.signal(Signal::KILL);
                        std::thread::spawn(move || drop(router));
                    }
                }
                FaultAction::Freeze(at) => {
                    self.router(*at).signal(Signal::STOP);
                    self.slots[*at].frozen = true;
                }
                FaultAction::Wake(at) => {
                    self.router(*at).signal(Signal::CONT);
                    self.slots[*at].frozen = false;
                }
                FaultAction::Leave(at) => {
                    self.slots[*at].ended.push(now);
                    self.router(*at).fail();
                    self.slots[*at].leaving = true;
                }
                FaultAction::Way(router, target, fault) => {
                    let routers =
                        router.map_or_else(|| (0..self.slots.len()).collect(), |router| vec![router]);
                    routers.into_iter().for_each(|router| self.way(router, *target).does(*fault));
                }
                FaultAction::Silent(engine, silent) => self.engines[*engine].silent(*silent),
                _ => self.change_links(act),
            }
        }
        for at in started {
            self.router(at).log.wait("listens on", 1);
        }
        let (cuts, rough) = {
            let link_conditions = self.relays.link_conditions.lock().expect("the conditions of links");
            let row = |from| (0..self.slots.len()).map(|to| link_conditions.is_cut(from, to)).collect();
            ((0..self.slots.len()).map(row).collect(), link_conditions.rough())
        };
        let up = |slot: &Slot| slot.router.is_some() && !slot.frozen && !slot.leaving;
        // What is said while processes come up is said after this.
        self.truths.push(Truth {
            at: now,
            up: self.slots.iter().map(up).collect(),
            cut: cuts,
            incarnation: self.slots.iter().map(|slot| slot.starts).collect(),
            rough,
        });
    }

    fn change_links(&self, act: &FaultAction) {
        let now = self.now();
        let mut link_conditions = self.relays.link_conditions.lock().expect("the conditions of links");
        match act {
            FaultAction::Cut(one, other) => {
                link_conditions.link(*one, *other).cut = true;
                link_conditions.link(*other, *one).cut = true;
            }
            FaultAction::CutOneWay(from, to) => link_conditions.link(*from, *to).cut = true,
            FaultAction::Part(parts) => link_conditions.part(parts),
            FaultAction::Heal => link_conditions.all(|link| link.cut = false),
            FaultAction::Loss(loss) => link_conditions.all(|link| link.loss = *loss),
            FaultAction::LossTo(to, loss) => {
                (0..self.slots.len()).for_each(|from| link_conditions.link(from, *to).loss = *loss);
            }
            FaultAction::Spread(spread) => link_conditions.all(|link| link.spread = *spread),
            FaultAction::Twice(twice) => link_conditions.all(|link| link.twice = *twice),
            FaultAction::Damage(damage) => link_conditions.all(|link| link.damage = *damage),
            FaultAction::Stall(from, seconds) => {
                (0..self.slots.len())
                    .for_each(|to| link_conditions.link(*from, to).stalled_until = now + seconds);
            }
            _ => {}
        }
    }

    /// Does what the schedule says, at its times counted from now, and goes on for so long after the last. What is to be
    /// done at one time is done at once.
    pub fn play(&mut self, schedule: &Schedule, after: f64) {
        let began = self.now();
        self.faults += schedule.len();
        let mut last = 0.0;
        for acts in schedule.chunk_by(|one, other| one.0 == other.0) {
            last = acts[0].0;
            std::thread::sleep(Duration::from_secs_f64((began + last - self.now()).max(0.0)));
            let acts: Vec<FaultAction> = acts.iter().map(|(_, act)| act.clone()).collect();
            self.act_all(&acts);
        }
        std::thread::sleep(Duration::from_secs_f64((began + last + after - self.now()).max(0.0)));
    }

    /// It ran, unfrozen and not leaving, from the one time to the other, and for a moment more.
    pub fn was_up(&self, router: usize, from: f64, to: f64) -> bool {
        let ends = |at: usize| self.truths.get(at + 1).map_or(f64::INFINITY, |next| next.at);
        let through =
            self.truths.iter().enumerate().filter(|(at, truth)| truth.at <= to + 0.5 && ends(*at) >= from);
        through.into_iter().all(|(_, truth)| truth.up[router])
    }

    /// What this router's own table says of the cluster, and of each router: its state.
    pub fn table(&self, router: usize) -> Vec<String> {
        self.asked(router, "SHOW CLUSTER")
    }

    /// What a router says to a question, row by row.
    pub fn asked(&self, router: usize, question: &str) -> Vec<String> {
        match Client::at(self.address(router)).map(|mut client| client.ask(question)) {
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

    /// What was done and what was said so far, for the checker.
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

    /// What clients and engines saw, judged against the rules; `kept` where retries are kept over a start.
    pub fn check_result(&self, asked: &[Asked], kept: bool) -> CheckResult {
        let rough = |router: usize, engine: usize, from: f64, to: f64| {
            self.ways[router][engine].was_rough(from, to, 1.0) || !self.was_up(router, from, to)
        };
        let facts = Facts {
            stated: self.plan.stated.clone(),
            drained: self.drained.clone(),
            rough: &rough,
            started: self.slots.iter().map(|slot| slot.started.clone()).collect(),
            kept: kept && self.plan.keeps,
        };
        let ran: Vec<_> = self.engines.iter().flat_map(Shared::ran).collect();
        // A client whose router was frozen or gone is told late through no fault of the rules.
        let mut asked = asked.to_vec();
        let gone = |router: usize, from: f64, to: f64| !self.was_up(router, from, to);
        asked
            .iter_mut()
            .filter(|request| gone(request.router, request.sent, request.over))
            .for_each(|request| request.time_to_live = 1e9);
        check_requests(&asked, &ran, &facts)
    }

    /// The most retries of a router within so many seconds, over all its incarnations, by what engines were given.
    pub fn retries(&self, asked: &[Asked], router: usize, window: f64) -> usize {
        let calls: std::collections::HashSet<&str> = asked
            .iter()
            .filter(|request| request.router == router)
            .map(|request| request.call.as_str())
            .collect();
        let mut ran: Vec<_> = self.engines.iter().flat_map(Shared::ran).collect();
        ran.retain(|run| calls.contains(run.call.as_str()));
        ran.sort_by(|one, other| one.got.total_cmp(&other.got));
        let mut seen = std::collections::HashSet::new();
        let again: Vec<f64> =
            ran.iter().filter(|run| !seen.insert(run.call.as_str())).map(|run| run.got).collect();
        let within = |at: &f64| again.iter().filter(|other| **other <= *at && **other > at - window).count();
        again.iter().map(within).max().unwrap_or(0)
    }

    /// How often two routers held one leader role at once, by what they said when asked.
    pub fn two_holders(&self, claims: &[Claim]) -> (usize, Vec<String>) {
        let ended = |claim: &Claim| {
            // What it was told by the test bed's clock, on the Unix clock of the claim.
            let unix = crate::unix_time() - self.now();
            let mut ends = self.slots[claim.router].ended.iter().map(|at| at + unix);
            ends.find(|at| *at >= claim.at)
        };
        let claims: Vec<Claim> = claims.iter().map(|claim| Claim { ended: ended(claim), ..*claim }).collect();
        two_holders(&claims)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
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
fn follow(log: &RecordedLines, by: usize, began: Instant, said: Arc<Mutex<Vec<Said>>>) {
    log.follow(move |line| {
        if let Some((of, state)) = read_line(line) {
            let at = began.elapsed().as_secs_f64();
            said.lock().expect("the record").push(Said { at, by, of, state: state.to_string() });
        }
    });
}

/// Asks all routers again and again who holds each leader role, and notes what they claim.
pub struct Watch {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Claim>>>,
}

/// `duty NAME,ours,epoch E at UNIX for S s`, as a row has it.
fn read_claim(row: &str) -> Option<(u64, f64, f64)> {
    let (_, words) = row.split_once(",ours,epoch ")?;
    let (epoch, rest) = words.split_once(" at ")?;
    let (at, rest) = rest.split_once(" for ")?;
    let left: f64 = rest.strip_suffix(" s")?.parse().ok()?;
    let at: f64 = at.parse().ok()?;
    Some((epoch.parse().ok()?, at, at + left))
}

impl Watch {
    /// Some fifty times a second each.
    pub fn start(cluster: &Cluster) -> Watch {
        let over = Arc::new(AtomicBool::new(false));
        let thread = |router: usize| {
            let (address, over) = (cluster.address(router), over.clone());
            std::thread::spawn(move || {
                let mut claims = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::at(address) else {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    while !over.load(Ordering::Relaxed) {
                        if !client.try_send("SHOW DUTIES") {
                            break;
                        }
                        let Some(Answered::Rows(rows)) = client.try_answer() else { break };
                        let ours =
                            rows.iter().enumerate().filter_map(|(at, row)| Some((at, read_claim(row)?)));
                        claims.extend(ours.map(|(role, (epoch, at, until))| Claim {
                            router,
                            role,
                            epoch,
                            at,
                            until,
                            ended: None,
                        }));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
                claims
            })
        };
        let threads = (0..cluster.routers()).map(thread).collect();
        Watch { over, threads }
    }

    pub fn end(self) -> Vec<Claim> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a watcher")).collect()
    }
}

#[cfg(test)]
mod tests;
