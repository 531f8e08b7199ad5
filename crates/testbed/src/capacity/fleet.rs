//! A whole fleet in virtual time, many routers to a process: each has the real decisions and the real membership, no
//! clients and no sockets; the engines are servers of some cores with a queue. One ordered queue of events carries all:
//! datagrams, attempts, answers and news of the list travel for as long as the regions lie apart.

use super::target::{REGIONS, ROUTERS, ZONES};
use cleatgw::Gateway;
use cleatgw::{ActionWriter, EngineStage, IncomingRequest};
use cleatgw::{
    AttemptEnd, AttemptOutcome, Deployment, EngineEvidence, EngineKind, EngineListing, Idempotency,
    LoadReport, MeasuredCost, RequestClass, RetryBudget, SlowStart,
};
use cleatgw_membership::digest::{self, EngineIncarnation, OwnEvidence, OBSERVATION_LIFETIME};
use cleatgw_membership::leader::role_resource;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_membership::Membership;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant};

const CORES: f64 = 8.0;
const COLD: SlowStart = SlowStart { initial_share: 0.2, duration: 6.0, overload_multiple: 1.5, window: 1.0 };
/// A request is wanted after so long, and its client waits no longer than that.
const EXPECTED: f64 = 1.0;
const LONGEST: f64 = 4.0;
/// Routers tell and hear of engines so often, as the router's glue does.
const WORDS: f64 = 0.25;
/// Of each datagram, beside what the membership writes.
const HEADERS: f64 = 28.0;
const CLUSTER: u64 = 7;
const ROLE: &str = "primary";
/// Requests from `ASKS`; measured from `QUIET`; troubles from `TROUBLES` on.
const ASKS: f64 = 2.0;
const QUIET: f64 = 8.0;
const TROUBLES: f64 = 14.0;
/// Real seconds that a play may take.
const MOST_S: f64 = 540.0;

/// A break of a rule that is planted, so that the checker is seen to find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    NoAnswer,
    LateAnswer,
    ToTheGone,
    EffectTwice,
    ColdFlood,
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub routers: usize,
    pub engines: usize,
    pub seed: u64,
    /// Requests a second and router, and the share of the engines' cores that these are to fill.
    pub rate: f64,
    pub full: f64,
    /// For so long troubles begin, at so many times an ordinary day's pace; each kind at least once.
    pub seconds: f64,
    pub times: f64,
    pub zone_lost: bool,
    /// Every router asks what is said of every engine, as the real ones do; else only a few, whose cost is measured, and the
    /// others ask of those engines that anyone has spoken of, which comes to the same.
    pub hears_all: bool,
    pub planted: Option<Planted>,
}

/// What must hold, seen from outside: it knows what clients asked and got, what was sent and told, and nothing else.
#[derive(Default)]
pub struct Checker {
    requests: HashMap<u64, Seen>,
    /// Since when a router knows that an engine takes nothing new.
    closed: HashMap<(usize, usize), f64>,
    /// Engines that started late: when, and what was sent them, in requests of mean work.
    cold: HashMap<usize, (f64, VecDeque<(f64, f64)>)>,
    pub broken: BTreeMap<&'static str, usize>,
    pub first: Vec<String>,
    pub checked: BTreeMap<&'static str, usize>,
}

struct Seen {
    deadline: f64,
    answers: u32,
    non_idempotent: bool,
    begun: u32,
}

impl Checker {
    /// News of the list takes effect in the turn that brings it; this is for the turn.
    const GRACE: f64 = 0.1;

    fn broke(&mut self, rule: &'static str, what: String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.first.len() < 10 {
            self.first.push(format!("{rule}: {what}"));
        }
    }

    fn looked(&mut self, rule: &'static str) {
        *self.checked.entry(rule).or_default() += 1;
    }

    fn taken(&mut self, id: u64, deadline: f64, non_idempotent: bool) {
        self.looked("one answer in time");
        self.requests.insert(id, Seen { deadline, answers: 0, non_idempotent, begun: 0 });
    }

    fn answered(&mut self, id: u64, now: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answers += 1;
        let (second, late) = (request.answers > 1, now > request.deadline + 1e-3);
        if second || late {
            self.broke("one answer in time", format!("job {id} at {now:.3}"));
        }
    }

    /// Its router died, and with it the client's connection.
    fn lost(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    fn told(&mut self, router: usize, engine: usize, ready: bool, now: f64) {
        match ready {
            true => self.closed.remove(&(router, engine)),
            false => Some(*self.closed.entry((router, engine)).or_insert(now)),
        };
    }

    fn forgets(&mut self, router: usize) {
        self.closed.retain(|(who, _), _| *who != router);
    }

    fn started(&mut self, engine: usize, now: f64) {
        self.cold.insert(engine, (now, VecDeque::new()));
    }

    /// An attempt left, `calls` being its work against the mean.
    fn dispatched(&mut self, router: usize, engine: usize, calls: f64, mean: f64, now: f64) {
        self.looked("nothing new to the closed");
        if let Some(&since) = self.closed.get(&(router, engine)) {
            if now > since + Self::GRACE {
                let what = format!("router {router} to engine {engine} at {now:.3}, told at {since:.3}");
                self.broke("nothing new to the closed", what);
            }
        }
        let Some((since, sent)) = self.cold.get_mut(&engine) else { return };
        let age = now - *since;
        if age >= COLD.duration {
            self.cold.remove(&engine);
            return;
        }
        sent.push_back((now, calls));
        while sent.front().is_some_and(|(at, _)| *at <= now - COLD.window) {
            sent.pop_front();
        }
        let sum: f64 = sent.iter().map(|(_, calls)| calls).sum();
        let stands = COLD.initial_share + (1.0 - COLD.initial_share) * age / COLD.duration;
        let budget = COLD.overload_multiple * CORES * stands * COLD.window / mean;
        self.looked("cold budget");
        // What may be chance: no router knows what the others draw in the same moment.
        if sum > budget + 2.0 * budget.sqrt() + 2.0 {
            self.broke(
                "cold budget",
                format!("engine {engine} at {now:.3}: {sum:.1} calls where {budget:.1} stand"),
            );
        }
    }

    fn begun(&mut self, id: u64, now: f64) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.non_idempotent) else {
            return;
        };
        request.begun += 1;
        let twice = request.begun > 1;
        self.looked("effectful once");
        if twice {
            self.broke("effectful once", format!("job {id} again at {now:.3}"));
        }
    }

    fn ends(&mut self, now: f64) {
        let missing =
            self.requests.iter().filter(|(_, request)| request.answers == 0 && now > request.deadline + 1e-3);
        let missing: Vec<u64> = missing.map(|(id, _)| *id).collect();
        missing.into_iter().for_each(|id| self.broke("one answer in time", format!("job {id} never")));
    }
}

/// One attempt on its way to an engine or there.
#[derive(Clone, Copy)]
struct Work {
    router: usize,
    incarnation: u32,
    request: usize,
    number: usize,
    id: u64,
    work: f64,
}

enum Event {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    MembersTurn(usize),
    Ask(usize, u32),
    Wake(usize, u32),
    Words(usize, u32),
    Listed(usize, u32, Rc<[EngineListing]>),
    TimeOut(Work),
    /// Of an attempt, as its router hears of it; and how many requests the engine holds.
    Ended(Work, AttemptOutcome, f64),
    Arrives(usize, Work),
    Dropped(usize, Work),
    Done(usize, u32, Work),
    Do(FaultAction),
}

#[derive(Clone, Debug)]
enum FaultAction {
    Start(usize),
    Kill(usize),
    Drain(usize),
    KillHolder,
    EngineDown(usize),
    EngineUp(usize),
    Hang(usize, f64),
    Wakes(usize),
    /// Of an engine there.
    Lost(&'static str, usize),
    List(usize, EngineStage),
}

struct Request {
    id: u64,
    work: f64,
    since: f64,
    /// Engine as the gateway has it, as it was sent to, when, and whether it is out.
    attempts: Vec<(usize, usize, f64, bool)>,
    over: bool,
}

#[derive(Default)]
struct Router {
    gateway: Option<Gateway>,
    members: Option<Membership>,
    incarnation: u32,
    drains: bool,
    turn_at: f64,
    next: usize,
    requests: BTreeMap<usize, Request>,
    listings: Vec<EngineListing>,
}

#[derive(Default)]
struct Engine {
    up: bool,
    incarnation: u32,
    since: Option<f64>,
    hangs_until: f64,
    running: Vec<Work>,
    queue: VecDeque<Work>,
}

/// What one round wrote.
#[derive(Default)]
struct Book {
    attempts: Vec<(usize, usize, Option<f64>)>,
    ended: Vec<(usize, bool)>,
    cancelled: Vec<(usize, u32)>,
    wake: Option<f64>,
}

impl ActionWriter for Book {
    fn set_priority_and_memory(&mut self, _: usize, _: u8, _: f64) {}
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, _leave_by: f64) {
        self.attempts.push((request, engine, time_out));
    }
    fn cancel(&mut self, request: usize, attempt: u32) {
        self.cancelled.push((request, attempt));
    }
    fn reject(&mut self, request: usize, _: Option<f64>) {
        self.ended.push((request, true));
    }
    fn fail(&mut self, request: usize) {
        self.ended.push((request, false));
    }
    fn watch_engine_list(&mut self, _: bool) {}
    fn fetch_engine_list(&mut self) {}
    fn probe(&mut self, _: usize) {}
    fn close_idle(&mut self, _: usize) {}
    fn send_to_peers(&mut self, _: Option<usize>, _: &[u8]) {}
    fn wake_at(&mut self, at: f64) {
        self.wake = Some(at);
    }
    fn log(&mut self, _: &str) {}
}

/// Real time spent, and what was sent for control; from the quiet spell to the last trouble.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    decisions: Duration,
    /// Datagrams and turns of the membership; words made and the list taken.
    members: Duration,
    lists: Duration,
    /// By the few routers that ask of every engine.
    hears: Duration,
    datagrams: u64,
    datagram_bytes: u64,
    list_bytes: u64,
}

/// Requests of one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Requests {
    pub taken: u64,
    pub in_time: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub router_died: u64,
}

pub struct World {
    play: Play,
    now: f64,
    rng: SmallRng,
    mean: f64,
    queue: BTreeMap<(u64, u64), Event>,
    numbered: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    discovery: Vec<EngineListing>,
    /// When anyone last spoke of an engine.
    spoken_of: Vec<f64>,
    names: HashMap<u64, usize>,
    ids: u64,
    pub checker: Checker,
    /// At first, when the fleet knows nothing yet; in quiet; and from the first trouble on.
    pub requests: [Requests; 3],
    /// Troubles that took effect, by kind.
    pub troubles: BTreeMap<&'static str, usize>,
    /// Hollow routers that panicked: which, when and on what.
    pub died: Vec<String>,
    pub events: u64,
    /// Attempts beyond a request's first.
    pub further: u64,
    holder: Option<usize>,
    holder_lost_at: Option<f64>,
    /// Seconds from a holder's death to the next one.
    pub taken_over_in: Vec<f64>,
    pub two_holders: usize,
    spent: Spent,
    /// As it stood at the ends of the time that is measured.
    measured: [Option<Spent>; 2],
}

fn incarnation_of(listing: &EngineListing) -> EngineIncarnation {
    let since = listing.started_at.unwrap_or(0.0).to_bits();
    EngineIncarnation { name: listing.name_hash, incarnation: (since ^ (since >> 32)) as u32 }
}

/// A change of the list as the discovery service writes it, in bytes.
fn change_bytes(listing: &EngineListing) -> u64 {
    let entry = format!(
        r#"{{"uid":"engine-{:04}","endpoint":"10.0.0.0:50000","az":"zone-{}","model":"m","pod_group":0,"state":"{:?}","boot_ms":{}}}"#,
        listing.engine,
        listing.zone,
        listing.stage,
        (listing.started_at.unwrap_or(0.0) * 1e3) as u64
    );
    entry.len() as u64 + 60
}

fn zone(at: usize, of: usize) -> usize {
    at * ZONES / of
}

impl World {
    pub fn new(play: Play) -> World {
        let listing = |engine| EngineListing {
            engine,
            name_hash: engine as u64 * 7919 + 13,
            zone: zone(engine, play.engines),
            ..EngineListing::default()
        };
        let discovery: Vec<EngineListing> = (0..play.engines).map(listing).collect();
        let mut world = World {
            play,
            now: 0.0,
            rng: SmallRng::seed_from_u64(play.seed),
            mean: play.full * CORES * play.engines as f64 / (play.rate * play.routers as f64),
            queue: BTreeMap::new(),
            numbered: 0,
            routers: (0..play.routers).map(|_| Router::default()).collect(),
            engines: (0..play.engines).map(|_| Engine { up: true, ..Engine::default() }).collect(),
            names: discovery.iter().map(|listing| (listing.name_hash, listing.engine)).collect(),
            discovery,
            spoken_of: vec![f64::NEG_INFINITY; play.engines],
            ids: 0,
            checker: Checker::default(),
            requests: Default::default(),
            troubles: BTreeMap::new(),
            died: Vec::new(),
            events: 0,
            further: 0,
            holder: None,
            holder_lost_at: None,
            taken_over_in: Vec::new(),
            two_holders: 0,
            spent: Spent::default(),
            measured: [None; 2],
        };
        for router in 0..play.routers {
            world.at(router as f64 / play.routers as f64, Event::Do(FaultAction::Start(router)));
        }
        world.plan();
        world
    }

    fn deployment(&self) -> Deployment {
        let class = |idempotency| RequestClass {
            value: 1.0,
            late_value_share: 0.0,
            latency_objective: EXPECTED,
            max_wait: LONGEST,
            objective_stretch: 0.0,
            threads: 1.0,
            idempotency,
            in_key_order: false,
            locks_tables: false,
            waits_for_table_locks: false,
            allowed_zones: None,
            allowed_kinds: None,
        };
        Deployment {
            gateways: self.play.routers as f64,
            classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
            engine_kinds: vec![EngineKind { cores: CORES, memory_mb: 8192.0 }],
            max_memory_share: 0.5,
            can_cancel: true,
            max_attempts: 3,
            slow_start: COLD,
            retry_budget: Some(RetryBudget { base: 10.0, per_request: 0.2, window: 10.0 }),
            ..Deployment::default()
        }
    }

    /// The troubles: as many of each kind as a day has at this pace and size, one at least, each at its own time.
    fn plan(&mut self) {
        let Play { routers, engines, seconds, times, zone_lost, .. } = self.play;
        let share = times * seconds / 86_400.0 * routers as f64 / ROUTERS as f64;
        let count = |a_day: f64| ((a_day * share).round() as usize).max(1);
        // Half of the machines are routers', half engines'.
        let kinds = [
            ("engine failed", count(2.5)),
            ("router failed", count(2.5)),
            ("engine restarted", count(60.0)),
            ("router restarted", count(60.0)),
            ("engine hung", 1),
            ("change of primary", count(2.0)),
        ];
        let mut victims = [0, 1].map(|which| {
            let mut all: Vec<usize> = (0..[routers, engines][which]).collect();
            (1..all.len()).rev().for_each(|at| all.swap(at, self.rng.random_range(0..=at)));
            all
        });
        for (kind, count) in kinds {
            for _ in 0..count {
                let at = TROUBLES + self.rng.random::<f64>() * seconds * 0.5;
                let engine = kind.starts_with("engine");
                let victim = victims[usize::from(engine)].pop().unwrap_or(0);
                let acts = match kind {
                    "engine failed" => self.engine_lost(victim, 0.0),
                    "router failed" => {
                        vec![(0.0, FaultAction::Kill(victim)), (6.0, FaultAction::Start(victim))]
                    }
                    "engine restarted" => vec![
                        (0.0, FaultAction::List(victim, EngineStage::Draining)),
                        (5.0, FaultAction::List(victim, EngineStage::Gone)),
                        (5.2, FaultAction::EngineDown(victim)),
                        (6.0, FaultAction::EngineUp(victim)),
                    ],
                    "router restarted" => vec![
                        (0.0, FaultAction::Drain(victim)),
                        (LONGEST + 1.5, FaultAction::Kill(victim)),
                        (LONGEST + 2.0, FaultAction::Start(victim)),
                    ],
                    "engine hung" => vec![(0.0, FaultAction::Hang(victim, 4.0))],
                    _ => vec![(0.0, FaultAction::KillHolder)],
                };
                self.trouble(kind, at, acts);
            }
        }
        // A rack holds a third of a zone's machines, and one at least.
        let mut places = vec![("rack lost", 3, TROUBLES + seconds * 0.3)];
        places.extend(zone_lost.then_some(("zone lost", 1, TROUBLES + seconds * 0.6)));
        for (kind, part, at) in places {
            let lost = self.rng.random_range(0..ZONES);
            let there = |of: usize| (0..of).filter(move |at| zone(*at, of) == lost);
            let some = |of: usize| there(of).count().div_ceil(part);
            let mut acts: Vec<(f64, FaultAction)> =
                there(engines).take(some(engines)).flat_map(|engine| self.engine_lost(engine, 0.0)).collect();
            for router in there(routers).take(some(routers)) {
                acts.extend([(0.0, FaultAction::Kill(router)), (6.0, FaultAction::Start(router))]);
            }
            let first = there(engines).next();
            acts.extend(first.map(|engine| (0.0, FaultAction::Lost(kind, engine))));
            self.trouble(kind, at, acts);
        }
    }

    /// Its end, found out by who lists it, and another cold one under its name.
    fn engine_lost(&self, engine: usize, after: f64) -> Vec<(f64, FaultAction)> {
        vec![
            (after, FaultAction::EngineDown(engine)),
            (after + 1.5, FaultAction::List(engine, EngineStage::Gone)),
            (after + 6.0, FaultAction::EngineUp(engine)),
        ]
    }

    fn trouble(&mut self, kind: &'static str, at: f64, acts: Vec<(f64, FaultAction)>) {
        self.troubles.entry(kind).or_default();
        acts.into_iter().for_each(|(after, act)| self.at(at + after, Event::Do(act)));
    }

    fn took_effect(&mut self, kind: &'static str) {
        *self.troubles.entry(kind).or_default() += 1;
    }

    fn at(&mut self, at: f64, event: Event) {
        self.numbered += 1;
        self.queue.insert((at.max(self.now).to_bits(), self.numbered), event);
    }

    /// One way between zones: half of the round trips of 1 to 2 ms in a region and of 60, 105 and 150 ms between regions.
    fn way(&mut self, from: usize, to: usize) -> f64 {
        let region = |zone: usize| zone * REGIONS / ZONES;
        let (from, to) = (region(from), region(to));
        let between = [0.0, 0.029, 0.051, 0.0735][if from == to { 0 } else { from + to }];
        between + 0.0005 * (1.0 + self.rng.random::<f64>()) * if from == to { 1.0 } else { 1.5 }
    }

    fn router_zone(&self, router: usize) -> usize {
        zone(router, self.play.routers)
    }

    fn engine_way(&mut self, router: usize, engine: usize) -> f64 {
        self.way(self.router_zone(router), zone(engine, self.play.engines))
    }

    /// The end of the troubles; requests come until then.
    fn calm_at(&self) -> f64 {
        TROUBLES + self.play.seconds
    }

    pub fn run(&mut self) -> Result<(), String> {
        let (began, parent) = (Instant::now(), rustix::process::getppid());
        let mut look_at = 0.0;
        let ends = self.calm_at() + LONGEST + 1.0;
        while let Some(entry) = self.queue.first_entry() {
            let at = f64::from_bits(entry.key().0);
            if at > ends {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.events += 1;
            if at >= look_at {
                look_at = at + WORDS;
                if began.elapsed().as_secs_f64() > MOST_S {
                    return Err(format!("{:.1} s of virtual time took more than {MOST_S} s", self.now));
                }
                if rustix::process::getppid() != parent {
                    return Err("whoever started this play has gone".to_string());
                }
            }
            for (mark, from) in [QUIET, self.calm_at()].into_iter().enumerate() {
                let measured = &mut self.measured[mark];
                *measured = measured.or((at >= from).then_some(self.spent));
            }
            let owner = self.owner(&event);
            let played = catch_unwind(AssertUnwindSafe(|| self.happens(event)));
            if let Err(panic) = played {
                let Some(router) = owner else { resume_unwind(panic) };
                let words = panic.downcast_ref::<String>().cloned();
                let words = words.or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()));
                let words = words.unwrap_or_default();
                self.died.push(format!("router {router} at {:.3}: {words}", self.now));
                self.kill(router);
            }
        }
        let now = self.now;
        self.checker.ends(now);
        Ok(())
    }

    fn owner(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Datagram { to, .. } => Some(*to),
            Event::MembersTurn(at) | Event::Ask(at, _) | Event::Wake(at, _) => Some(*at),
            Event::Words(at, _) | Event::Listed(at, ..) => Some(*at),
            Event::TimeOut(work) | Event::Ended(work, ..) => Some(work.router),
            Event::Arrives(..) | Event::Dropped(..) | Event::Done(..) | Event::Do(_) => None,
        }
    }

    fn lives(&self, router: usize, incarnation: u32) -> bool {
        self.routers[router].gateway.is_some() && self.routers[router].incarnation == incarnation
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => {
                let began = Instant::now();
                let Some(members) = &mut self.routers[to].members else { return };
                let _ = members.receive_datagram(from, &bytes, self.now);
                self.spent.members += began.elapsed();
                self.serve(to);
            }
            Event::MembersTurn(at) if self.routers[at].turn_at <= self.now => self.serve(at),
            Event::Ask(at, incarnation) if self.lives(at, incarnation) => self.ask(at),
            Event::Wake(at, incarnation) if self.lives(at, incarnation) => self.round(at),
            Event::Words(at, incarnation) if self.lives(at, incarnation) => self.words(at),
            Event::Listed(at, incarnation, listings) if self.lives(at, incarnation) => {
                self.listed(at, &listings, false)
            }
            Event::TimeOut(work) if self.lives(work.router, work.incarnation) => {
                self.give_up(work.router, work.request, Some(work.number), AttemptOutcome::TimedOut);
            }
            Event::Ended(work, ending, held) if self.lives(work.router, work.incarnation) => {
                self.ended(work, ending, held);
            }
            Event::Arrives(engine, work) => self.arrives(engine, work),
            Event::Dropped(engine, work) => {
                let same = |other: &Work| {
                    let of = |work: &Work| (work.router, work.incarnation, work.request, work.number);
                    of(other) == of(&work)
                };
                self.engines[engine].queue.retain(|other| !same(other));
            }
            Event::Done(engine, incarnation, work) => self.done(engine, incarnation, work),
            Event::Do(act) => self.act(act),
            _ => {}
        }
    }

    /// One turn of a router's membership.
    fn serve(&mut self, at: usize) {
        let now = self.now;
        let began = Instant::now();
        let Some(members) = &mut self.routers[at].members else { return };
        members.turn(now);
        let out = members.take_outgoing();
        let _ = members.take_changes();
        let due = (members.due() + 1e-7).max(now);
        self.spent.members += began.elapsed();
        self.routers[at].turn_at = due;
        self.at(due, Event::MembersTurn(at));
        self.look_at_holder(at);
        let from_zone = self.router_zone(at);
        for (to, bytes) in out {
            let to = usize::from(to);
            self.spent.datagrams += 1;
            self.spent.datagram_bytes += bytes.len() as u64;
            let way = self.way(from_zone, self.router_zone(to));
            self.at(now + way, Event::Datagram { from: at, to, bytes });
        }
    }

    /// Who holds the leader role now must be the only one, whatever has become of the last one that did.
    fn look_at_holder(&mut self, at: usize) {
        let holds = |router: usize| {
            let members = self.routers[router].members.as_ref();
            members.is_some_and(|members| members.held_epoch(role_resource(ROLE), self.now).is_some())
        };
        if self.holder == Some(at) || !holds(at) {
            return;
        }
        self.two_holders += usize::from(self.holder.is_some_and(holds));
        self.holder = Some(at);
        self.taken_over_in.extend(self.holder_lost_at.take().map(|lost| self.now - lost));
    }

    /// What was met of engines is told, and what others say of them is handed to the decisions.
    fn words(&mut self, at: usize) {
        let (now, incarnation) = (self.now, self.routers[at].incarnation);
        self.at(now + WORDS, Event::Words(at, incarnation));
        let all = self.play.hears_all || at.is_multiple_of(self.play.routers.div_ceil(12));
        let router = &mut self.routers[at];
        let (Some(gateway), Some(members)) = (&mut router.gateway, &mut router.members) else { return };
        let began = Instant::now();
        let met = |listing: &EngineListing| {
            let met = gateway.evidence(listing.engine, now)?;
            let own = OwnEvidence {
                successes: met.successes,
                failures: met.failures,
                slow_start_work: met.slow_start_work,
            };
            Some((incarnation_of(listing), own))
        };
        let words = digest::observations(router.listings.iter().filter_map(met));
        members.set_observations(words.clone());
        self.spent.members += began.elapsed();
        for word in words {
            self.spoken_of[self.names[&word.engine.name]] = now;
        }
        let began = Instant::now();
        // A word may be on its way, and stands in hellos until the next are made.
        let lasts = OBSERVATION_LIFETIME + 4.0 * WORDS;
        let spoken_of = &self.spoken_of;
        let hears = |listing: &&EngineListing| all || now < spoken_of[listing.engine] + lasts;
        for listing in router.listings.iter().filter(hears) {
            let said = members.evidence_on(&incarnation_of(listing), now);
            gateway.peer_evidence_received(
                listing.engine,
                EngineEvidence {
                    successes: said.successes,
                    failures: said.failures,
                    slow_start_work: said.slow_start_work,
                },
            );
        }
        if at.is_multiple_of(self.play.routers.div_ceil(12)) {
            self.spent.hears += began.elapsed();
        }
        self.round(at);
    }

    fn ask(&mut self, at: usize) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.play.rate;
        let (now, incarnation) = (self.now, self.routers[at].incarnation);
        if now + wait < self.calm_at() {
            self.at(now + wait, Event::Ask(at, incarnation));
        }
        let work = self.mean * (0.5 + self.rng.random::<f64>());
        let cost = Some(work * (0.7 + 0.6 * self.rng.random::<f64>()));
        let non_idempotent = self.rng.random::<f64>() < 0.3;
        let table_group = self.rng.random_range(0..2 * self.play.engines as u64);
        let router = &mut self.routers[at];
        // Clients of one that drains go elsewhere.
        let Some(gateway) = router.gateway.as_mut().filter(|_| !router.drains) else { return };
        (self.ids, router.next) = (self.ids + 1, router.next + 1);
        let (id, deadline) = (self.ids, now + LONGEST);
        let (class, memory_mb) = (usize::from(non_idempotent), Some(10.0));
        let taken = IncomingRequest {
            class,
            table_group,
            estimated_work: cost,
            estimated_memory_mb: memory_mb,
            deadline,
            ..IncomingRequest::default()
        };
        let began = Instant::now();
        gateway.request_received(now, router.next, taken);
        self.spent.decisions += began.elapsed();
        router
            .requests
            .insert(router.next, Request { id, work, since: now, attempts: Vec::new(), over: false });
        self.checker.taken(id, deadline, non_idempotent);
        self.phase(now).taken += 1;
        self.round(at);
    }

    fn phase(&mut self, since: f64) -> &mut Requests {
        &mut self.requests[usize::from(since >= QUIET) + usize::from(since >= TROUBLES)]
    }

    fn round(&mut self, at: usize) {
        let (now, incarnation) = (self.now, self.routers[at].incarnation);
        let mut book = Book::default();
        let Some(gateway) = &mut self.routers[at].gateway else { return };
        let began = Instant::now();
        gateway.round(now, &mut book);
        self.spent.decisions += began.elapsed();
        book.wake.into_iter().for_each(|wake| self.at(wake, Event::Wake(at, incarnation)));
        for (id, engine, time_out) in book.attempts {
            self.dispatch(at, id, engine, time_out);
        }
        for (id, back) in book.ended {
            let Some(request) = self.routers[at].requests.get_mut(&id) else { continue };
            let (since, number) = (request.since, request.id);
            request.over = true;
            let phase = self.phase(since);
            *if back { &mut phase.rejected } else { &mut phase.failed } += 1;
            self.answered(number);
            self.give_up(at, id, None, AttemptOutcome::Cancelled);
        }
        for (id, number) in book.cancelled {
            self.give_up(at, id, Some(number as usize), AttemptOutcome::Cancelled);
        }
    }

    fn answered(&mut self, id: u64) {
        match self.play.planted {
            Some(Planted::NoAnswer) if id.is_multiple_of(50) => {}
            Some(Planted::LateAnswer) if id.is_multiple_of(50) => {
                self.checker.answered(id, self.now + LONGEST)
            }
            _ => self.checker.answered(id, self.now),
        }
    }

    fn dispatch(&mut self, at: usize, id: usize, engine: usize, time_out: Option<f64>) {
        let (now, incarnation, mean) = (self.now, self.routers[at].incarnation, self.mean);
        let planted = self.play.planted;
        let other = match planted {
            Some(Planted::ToTheGone) => self.discovery.iter().find(|one| one.stage == EngineStage::Gone),
            Some(Planted::ColdFlood) => self.discovery.iter().find(|one| {
                one.stage == EngineStage::Ready
                    && one.started_at.is_some_and(|since| now < since + COLD.duration)
            }),
            _ => None,
        };
        let sent_to = other.map_or(engine, |other| other.engine);
        let Some(request) = self.routers[at].requests.get_mut(&id) else { return };
        let number = request.attempts.len();
        request.attempts.push((engine, sent_to, now, true));
        let work = Work { router: at, incarnation, request: id, number, id: request.id, work: request.work };
        self.further += u64::from(number > 0);
        self.checker.dispatched(at, sent_to, work.work / mean, mean, now);
        time_out.into_iter().for_each(|wait| self.at(now + wait, Event::TimeOut(work)));
        let way = self.engine_way(at, sent_to);
        self.at(now + way, Event::Arrives(sent_to, work));
        if planted == Some(Planted::EffectTwice) {
            self.at(now + way, Event::Arrives(sent_to, work));
        }
    }

    /// Attempts of a request are given up, and their ends are news in this turn.
    fn give_up(&mut self, at: usize, id: usize, only: Option<usize>, ending: AttemptOutcome) {
        let (now, incarnation) = (self.now, self.routers[at].incarnation);
        let Some(request) = self.routers[at].requests.get_mut(&id) else { return };
        let mut ends = Vec::new();
        for (number, (engine, sent_to, sent, out)) in request.attempts.iter_mut().enumerate() {
            if *out && only.is_none_or(|only| only == number) {
                *out = false;
                let work =
                    Work { router: at, incarnation, request: id, number, id: request.id, work: request.work };
                ends.push((work, *engine, *sent_to, *sent));
            }
        }
        let request_done = request.over;
        for (work, engine, sent_to, sent) in ends {
            let way = self.engine_way(at, sent_to);
            self.at(now + way, Event::Dropped(sent_to, work));
            let (spent, load) = (now - sent, LoadReport::default());
            self.attempt_ended(
                at,
                &AttemptEnd {
                    request: id,
                    engine,
                    outcome: ending,
                    request_done,
                    elapsed: spent,
                    measured: None,
                    load,
                },
            );
        }
    }

    fn attempt_ended(&mut self, at: usize, end: &AttemptEnd) {
        let (now, incarnation) = (self.now, self.routers[at].incarnation);
        let router = &mut self.routers[at];
        let Some(gateway) = &mut router.gateway else { return };
        let began = Instant::now();
        gateway.attempt_ended(now, end);
        self.spent.decisions += began.elapsed();
        let done = |request: &Request| request.over && request.attempts.iter().all(|attempt| !attempt.3);
        if router.requests.get(&end.request).is_some_and(done) {
            router.requests.remove(&end.request);
        }
        self.at(now, Event::Wake(at, incarnation));
    }

    fn ended(&mut self, work: Work, ending: AttemptOutcome, held: f64) {
        let (now, at) = (self.now, work.router);
        let Some(request) = self.routers[at].requests.get_mut(&work.request) else { return };
        let attempt = &mut request.attempts[work.number];
        if !std::mem::replace(&mut attempt.3, false) {
            return;
        }
        let (engine, spent, since) = (attempt.0, now - attempt.2, request.since);
        let completed = ending == AttemptOutcome::Completed;
        if completed && !std::mem::replace(&mut request.over, true) {
            self.answered(work.id);
            let phase = self.phase(since);
            phase.completed += 1;
            phase.in_time += u64::from(now - since <= EXPECTED);
        }
        let told = completed.then_some(MeasuredCost { work: work.work, memory_mb: 10.0 });
        let load = LoadReport { requests: completed.then_some(held), ..LoadReport::default() };
        let request_done = self.routers[at].requests[&work.request].over;
        self.attempt_ended(
            at,
            &AttemptEnd {
                request: work.request,
                engine,
                outcome: ending,
                request_done,
                elapsed: spent,
                measured: told,
                load,
            },
        );
    }

    fn arrives(&mut self, at: usize, work: Work) {
        if !self.engines[at].up {
            return self.answers(at, work, AttemptOutcome::Unreachable);
        }
        self.engines[at].queue.push_back(work);
        self.runs(at);
    }

    /// Free cores take what waits; a cold engine is slow.
    fn runs(&mut self, at: usize) {
        let now = self.now;
        while self.engines[at].running.len() < CORES as usize && now >= self.engines[at].hangs_until {
            let engine = &mut self.engines[at];
            let Some(work) = engine.queue.pop_front() else { return };
            engine.running.push(work);
            let age = engine.since.map_or(f64::INFINITY, |since| now - since);
            let slow_start_progress =
                (COLD.initial_share + (1.0 - COLD.initial_share) * age / COLD.duration).min(1.0);
            let incarnation = engine.incarnation;
            self.checker.begun(work.id, now);
            self.at(now + work.work / slow_start_progress, Event::Done(at, incarnation, work));
        }
    }

    fn done(&mut self, at: usize, incarnation: u32, work: Work) {
        let engine = &mut self.engines[at];
        if !engine.up || engine.incarnation != incarnation {
            return;
        }
        if self.now < engine.hangs_until {
            let until = engine.hangs_until;
            return self.at(until, Event::Done(at, incarnation, work));
        }
        let same = |other: &Work| (other.id, other.number) == (work.id, work.number);
        if let Some(place) = engine.running.iter().position(same) {
            engine.running.swap_remove(place);
        }
        self.answers(at, work, AttemptOutcome::Completed);
        self.runs(at);
    }

    fn answers(&mut self, at: usize, work: Work, ending: AttemptOutcome) {
        let held = self.engines[at].running.len() + self.engines[at].queue.len();
        let way = self.engine_way(work.router, at);
        self.at(self.now + way, Event::Ended(work, ending, held as f64));
    }

    fn listed(&mut self, at: usize, listings: &[EngineListing], whole: bool) {
        let now = self.now;
        let router = &mut self.routers[at];
        let Some(gateway) = &mut router.gateway else { return };
        let began = Instant::now();
        gateway.engines_listed(now, listings, whole);
        self.spent.lists += began.elapsed();
        for listing in listings {
            router.listings[listing.engine] = *listing;
            self.spent.list_bytes += change_bytes(listing);
            self.checker.told(at, listing.engine, listing.stage == EngineStage::Ready, now);
        }
        self.round(at);
    }

    fn publish(&mut self, engine: usize) {
        let news: Rc<[EngineListing]> = Rc::new([self.discovery[engine]]);
        for router in 0..self.routers.len() {
            let way = self.way(0, self.router_zone(router));
            let incarnation = self.routers[router].incarnation;
            self.at(self.now + way, Event::Listed(router, incarnation, news.clone()));
        }
    }

    fn start(&mut self, at: usize) {
        let (now, Play { routers, seed, .. }) = (self.now, self.play);
        let again = self.routers[at].incarnation > 0;
        let incarnation = self.routers[at].incarnation + 1;
        let own = seed.wrapping_mul(31).wrapping_add(at as u64 * 1000 + u64::from(incarnation));
        let mut gateway = Gateway::new(self.deployment(), own, now);
        let born = 1_700_000_000_000 + (now * 1e3) as u64;
        let mut members = Membership::new(CLUSTER, routers, at, born, &DetectorSettings::default(), own, now);
        members.set_roles(&[role_resource(ROLE)], now);
        if again {
            // Nothing is kept here from one incarnation to the next.
            gateway.assume_lost_history(now);
        }
        self.checker.forgets(at);
        let next = self.routers[at].next;
        self.routers[at] = Router {
            gateway: Some(gateway),
            members: Some(members),
            incarnation,
            next,
            listings: self.discovery.clone(),
            turn_at: now,
            ..Router::default()
        };
        let whole = self.discovery.clone();
        self.listed(at, &whole, true);
        self.at(now, Event::MembersTurn(at));
        let first = now + WORDS * self.rng.random::<f64>();
        self.at(first, Event::Words(at, incarnation));
        self.at(now.max(ASKS), Event::Ask(at, incarnation));
    }

    /// Its clients' connections break with it.
    fn kill(&mut self, at: usize) -> bool {
        let router = &mut self.routers[at];
        let requests = std::mem::take(&mut router.requests);
        let lived = router.gateway.take().is_some();
        router.members = None;
        for request in requests.into_values().filter(|request| !request.over) {
            self.checker.lost(request.id);
            self.phase(request.since).router_died += 1;
        }
        lived
    }

    fn act(&mut self, act: FaultAction) {
        let now = self.now;
        match act {
            FaultAction::Start(at) if self.routers[at].gateway.is_none() => self.start(at),
            FaultAction::Kill(at) => {
                if self.kill(at) {
                    let drained = std::mem::take(&mut self.routers[at].drains);
                    self.took_effect(if drained { "router restarted" } else { "router failed" });
                }
            }
            FaultAction::Drain(at) => {
                let router = &mut self.routers[at];
                let (Some(gateway), Some(members)) = (&mut router.gateway, &mut router.members) else {
                    return;
                };
                gateway.drain(now);
                members.leave(now);
                router.drains = true;
                self.serve(at);
            }
            FaultAction::KillHolder => {
                let Some(holder) = self.holder.filter(|at| self.routers[*at].members.is_some()) else {
                    return;
                };
                self.kill(holder);
                self.holder_lost_at = Some(now);
                self.took_effect("change of primary");
                self.at(now + 6.0, Event::Do(FaultAction::Start(holder)));
            }
            FaultAction::EngineDown(at) => {
                let engine = &mut self.engines[at];
                if std::mem::replace(&mut engine.up, false) {
                    let lost: Vec<Work> = engine.running.drain(..).chain(engine.queue.drain(..)).collect();
                    lost.into_iter().for_each(|work| self.answers(at, work, AttemptOutcome::ConnectionLost));
                    let planned = self.discovery[at].stage != EngineStage::Ready;
                    self.took_effect(if planned { "engine restarted" } else { "engine failed" });
                }
            }
            FaultAction::EngineUp(at) if !self.engines[at].up => {
                let incarnation = self.engines[at].incarnation + 1;
                self.engines[at] = Engine { up: true, incarnation, since: Some(now), ..Engine::default() };
                self.checker.started(at, now);
                (self.discovery[at].stage, self.discovery[at].started_at) = (EngineStage::Ready, Some(now));
                self.publish(at);
            }
            FaultAction::Hang(at, seconds) => {
                if self.engines[at].up {
                    self.engines[at].hangs_until = now + seconds;
                    self.at(now + seconds, Event::Do(FaultAction::Wakes(at)));
                    self.took_effect("engine hung");
                }
            }
            FaultAction::Wakes(at) => self.runs(at),
            FaultAction::Lost(kind, engine) => {
                if !self.engines[engine].up {
                    self.took_effect(kind);
                }
            }
            FaultAction::List(at, stage) => {
                self.discovery[at].stage = stage;
                self.publish(at);
            }
            FaultAction::Start(_) | FaultAction::EngineUp(_) => {}
        }
    }

    /// Counts of the play, the same for the same seed, and what was spent in the time that is measured.
    pub fn report(&self) -> Value {
        let [from, to] = self.measured.map(Option::unwrap_or_default);
        let (routers, seconds) = (self.play.routers as f64, self.calm_at() - QUIET);
        let each = routers * seconds;
        // The discovery service's line of each second has the last number.
        let lists = (to.list_bytes - from.list_bytes) as f64 / each + 6.0;
        let payload = (to.datagram_bytes - from.datagram_bytes) as f64 / each + lists;
        let datagrams = (to.datagrams - from.datagrams) as f64 / each;
        let time = |of: fn(&Spent) -> Duration| (of(&to) - of(&from)).as_secs_f64();
        let asks_all = (0..self.play.routers).step_by(self.play.routers.div_ceil(12)).count() as f64;
        let hears = time(|spent| spent.hears) / (asks_all * seconds);
        let members = time(|spent| spent.members + spent.lists) / each;
        let requests = (self.requests[1].taken + self.requests[2].taken).max(1) as f64;
        let share = |requests: &Requests| {
            requests.in_time as f64 / (requests.taken - requests.router_died).max(1) as f64
        };
        let all = |of: fn(&Requests) -> u64| self.requests.iter().map(of).sum::<u64>();
        json!({
            "routers": self.play.routers,
            "engines": self.play.engines,
            "control_bytes": payload,
            "control_bytes_with_headers": payload + HEADERS * datagrams,
            "list_bytes": lists,
            "control_cpu": members + hears,
            "control_cpu_hears": hears,
            "decisions_us": time(|spent| spent.decisions) * 1e6 / requests,
            "in_time_quiet": share(&self.requests[1]),
            "in_time_troubles": share(&self.requests[2]),
            "primary_s": self.taken_over_in.iter().copied().reduce(f64::max),
            "primary_lost": self.troubles.get("change of primary"),
            "primary_taken_over": self.taken_over_in.len(),
            "two_holders": self.two_holders,
            "jobs": all(|requests| requests.taken),
            "delivered": all(|requests| requests.completed),
            "turned_back": all(|requests| requests.rejected),
            "terminated": all(|requests| requests.failed),
            "router_died": all(|requests| requests.router_died),
            "further_pushes": self.further,
            "events": self.events,
            "troubles": self.troubles,
            "checked": self.checker.checked,
            "broken": self.checker.broken,
            "first_broken": self.checker.first,
            "died": self.died,
        })
    }
}
