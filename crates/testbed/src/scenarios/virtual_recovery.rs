//! Hundreds of routers' decisions in virtual time: the real module and the real way back, with engines that share their
//! cores, when a share of the routers is killed at once and some engines are replaced by cold ones.

use cleatgw::Gateway;
use cleatgw::{ActionWriter, EngineStage, IncomingRequest};
use cleatgw::{
    AttemptEnd, AttemptOutcome, Deployment, EngineKind, EngineListing, Idempotency, LoadReport, MeasuredCost,
    RequestClass, RetryBudget, SlowStart, SlowStartWork,
};
use cleatgw_recovery::{
    LookBack, Pieces, Recovery, SentWork, Snapshot, SnapshotTime, Step, WriteSchedule,
    MAX_UNPERSISTED_RETRIES,
};
use plotters::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::Path;

const STEP: f64 = 0.01;
const CORES: f64 = 8.0;
/// Mean work of a request in seconds, and requests a second and router.
const WORK: f64 = 0.03;
const RATE: f64 = 10.0;
const EXPECTED: f64 = 1.0;
const TIME_TO_LIVE: f64 = 3.0;
const KILLED_AT: f64 = 12.0;
const BACK_AT: f64 = 12.3;
const ENDS: f64 = 30.0;
/// A connection that carries nothing for so long is closed.
const IDLE: f64 = 15.0;

fn deployment(routers: usize) -> Deployment {
    let class = RequestClass {
        value: 1.0,
        late_value_share: 0.0,
        latency_objective: EXPECTED,
        max_wait: TIME_TO_LIVE,
        objective_stretch: 0.0,
        threads: 1.0,
        idempotency: Idempotency::Idempotent,
        in_key_order: false,
        locks_tables: false,
        waits_for_table_locks: false,
        allowed_zones: None,
        allowed_kinds: None,
    };
    Deployment {
        gateways: routers as f64,
        classes: vec![class],
        engine_kinds: vec![EngineKind { cores: CORES, memory_mb: 8192.0 }],
        max_memory_share: 0.5,
        can_cancel: true,
        max_attempts: 3,
        slow_start: SlowStart { initial_share: 0.2, duration: 6.0, overload_multiple: 1.5, window: 1.0 },
        retry_budget: Some(RetryBudget { base: 4.0, per_request: 0.1, window: 10.0 }),
        ..Deployment::default()
    }
}

struct Running {
    router: usize,
    incarnation: u32,
    request: usize,
    number: usize,
    left: f64,
    sent: f64,
}

struct Engine {
    listing: EngineListing,
    running: Vec<Running>,
    /// Works and says nothing.
    silent: bool,
    /// When it was given how much.
    given: Vec<(f64, f64)>,
}

struct Request {
    sent: f64,
    work: f64,
    deadline: f64,
    /// Out at which engines, by number of the attempt; when each is over.
    out: Vec<(usize, bool, Option<f64>)>,
    over: bool,
}

struct Router {
    gateway: Option<Gateway>,
    incarnation: u32,
    requests: HashMap<usize, Request>,
    next: usize,
    wake: f64,
    connections: HashMap<usize, f64>,
    recovery: Option<Recovery>,
    schedule: WriteSchedule,
    disk: Option<(u64, Pieces)>,
    full_at: Option<f64>,
    further: Vec<f64>,
}

/// What one round wrote.
#[derive(Default)]
struct Book {
    attempts: Vec<(usize, usize, Option<f64>)>,
    ended: Vec<usize>,
    cancelled: Vec<(usize, u32)>,
    wake: f64,
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
        self.ended.push(request);
    }
    fn fail(&mut self, request: usize) {
        self.ended.push(request);
    }
    fn watch_engine_list(&mut self, _: bool) {}
    fn fetch_engine_list(&mut self) {}
    fn probe(&mut self, _: usize) {}
    fn close_idle(&mut self, _: usize) {}
    fn send_to_peers(&mut self, _: Option<usize>, _: &[u8]) {}
    fn wake_at(&mut self, at: f64) {
        self.wake = at;
    }
    fn log(&mut self, _: &str) {}
}

/// What the present play is about.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub routers: usize,
    pub killed: f64,
    /// With the way back of `cleatgw-recovery`, and whether the stores survive.
    pub recovers: bool,
    pub lost: bool,
    pub seed: u64,
}

struct World {
    play: Play,
    now: f64,
    rng: SmallRng,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    /// By tenth of a second: answers in time, new connections.
    served: BTreeMap<u64, usize>,
    connected: BTreeMap<u64, usize>,
    /// Connections open when some were killed.
    open_before: usize,
}

fn tenth(now: f64) -> u64 {
    (now * 10.0) as u64
}

impl World {
    fn new(play: Play) -> World {
        let engines = (play.routers / 6).max(4);
        let listing = |engine: usize| EngineListing {
            engine,
            name_hash: engine as u64 * 7919 + 13,
            stage: EngineStage::Ready,
            ..EngineListing::default()
        };
        let engine =
            |at| Engine { listing: listing(at), running: Vec::new(), silent: false, given: Vec::new() };
        let router = |_| Router {
            gateway: None,
            incarnation: 0,
            requests: HashMap::new(),
            next: 0,
            wake: 0.0,
            connections: HashMap::new(),
            recovery: None,
            schedule: WriteSchedule::new(0.0),
            disk: None,
            full_at: None,
            further: Vec::new(),
        };
        let mut world = World {
            play,
            now: 100.0,
            rng: SmallRng::seed_from_u64(play.seed),
            routers: (0..play.routers).map(router).collect(),
            engines: (0..engines).map(engine).collect(),
            served: BTreeMap::new(),
            connected: BTreeMap::new(),
            open_before: 0,
        };
        (0..play.routers).for_each(|router| world.start(router));
        world
    }

    fn time(&self) -> SnapshotTime {
        SnapshotTime { boot: 1, since_boot: self.now, unix: 1e9 + self.now }
    }

    fn start(&mut self, at: usize) {
        let (now, given) = (self.now, deployment(self.play.routers));
        let budget = given.retry_budget.expect("it is stated").window;
        let look_back = LookBack { retries: budget, slow_start: given.slow_start.window, deduplication: 0.0 };
        let mut gateway = Gateway::new(
            given,
            self.play.seed + at as u64 * 1000 + u64::from(self.routers[at].incarnation),
            now,
        );
        let listings: Vec<EngineListing> = self.engines.iter().map(|engine| engine.listing).collect();
        gateway.engines_listed(now, &listings, true);
        let router = &mut self.routers[at];
        router.incarnation += 1;
        router.gateway = Some(gateway);
        (router.wake, router.full_at) = (now, None);
        router.schedule = WriteSchedule::new(now);
        router.recovery = self.play.recovers.then(|| {
            let mut recovery = Recovery::new(look_back, true, now);
            recovery.store_read(router.disk.clone(), now);
            recovery.peer_saw_epoch(router.disk.as_ref().map_or(0, |(epoch, _)| *epoch));
            recovery
        });
    }

    fn kill(&mut self, at: usize) {
        let lost = self.play.lost;
        let router = &mut self.routers[at];
        router.gateway = None;
        router.requests.clear();
        router.connections.clear();
        if lost {
            router.disk = None;
        }
        for engine in &mut self.engines {
            engine.running.retain(|run| run.router != at);
        }
    }

    fn come_back(&mut self, at: usize) {
        let (now, time) = (self.now, self.time());
        let router = &mut self.routers[at];
        let (Some(gateway), Some(recovery)) = (&mut router.gateway, &mut router.recovery) else { return };
        for step in recovery.poll(now, &time) {
            match step {
                Step::AssumeLostHistory => gateway.assume_lost_history(now),
                Step::RestoreHistory(taken) => {
                    let retries: Vec<f64> = taken.retries.iter().map(|age| now - age).collect();
                    let slow_start = taken.slow_start.iter().filter_map(|work| {
                        let (sent, age) = (work.sent, work.age);
                        let engine =
                            self.engines.iter().find(|one| one.listing.name_hash == sent.name_hash)?;
                        Some(SlowStartWork {
                            engine: engine.listing.engine,
                            sent_at: now - age,
                            work: sent.work,
                        })
                    });
                    gateway.restore_history(&retries, &slow_start.collect::<Vec<_>>());
                }
                Step::Discarded(_) | Step::Entered(_) => {}
            }
        }
        // The disk takes a step for each write.
        if router.schedule.begin_if_due(now) {
            let retries =
                gateway.retries().map(|at| now - at).filter(|age| (0.0..10.0).contains(age)).collect();
            let sent = |engine: &Engine| {
                let work = gateway.evidence(engine.listing.engine, now)?.slow_start_work;
                (work > 0.0).then_some(SentWork { name_hash: engine.listing.name_hash, incarnation: 0, work })
            };
            let slow_start = self.engines.iter().filter_map(sent).collect();
            let snapshot = Snapshot {
                taken_at: time,
                retries,
                unpersisted_retries: MAX_UNPERSISTED_RETRIES,
                slow_start,
                idempotency_records: Vec::new(),
            };
            let epoch = router.disk.as_ref().map_or(0, |(epoch, _)| *epoch) + 1;
            router.disk = Some((epoch, snapshot.to_pieces()));
            router.schedule.finished(true);
        }
        let allowance = router.schedule.retry_allowance(gateway.retries(), 10.0, now);
        gateway.limit_unpersisted_retries(allowance);
    }

    fn ask(&mut self, at: usize) {
        if self.rng.random::<f64>() >= RATE * STEP {
            return;
        }
        let work = -WORK * (1.0 - self.rng.random::<f64>()).ln();
        let group = self.rng.random_range(0..40);
        let (now, router) = (self.now, &mut self.routers[at]);
        let Some(gateway) = &mut router.gateway else { return };
        router.next += 1;
        let deadline = now + TIME_TO_LIVE;
        let cost = Some(work);
        let taken = IncomingRequest {
            table_group: group,
            estimated_work: cost,
            estimated_memory_mb: Some(10.0),
            deadline,
            ..IncomingRequest::default()
        };
        gateway.request_received(now, router.next, taken);
        router
            .requests
            .insert(router.next, Request { sent: now, work, deadline, out: Vec::new(), over: false });
        router.wake = now;
    }

    fn round(&mut self, at: usize) {
        let now = self.now;
        let mut book = Book { wake: f64::INFINITY, ..Book::default() };
        let router = &mut self.routers[at];
        let Some(gateway) = &mut router.gateway else { return };
        gateway.round(now, &mut book);
        router.wake = if book.wake.is_finite() { book.wake } else { router.wake };
        for (id, engine, time_out) in book.attempts {
            let Some(request) = router.requests.get_mut(&id) else { continue };
            let until = time_out.map_or(request.deadline, |wait| request.deadline.min(now + wait));
            if !request.out.is_empty() {
                router.further.push(now);
                router.schedule.changed();
            }
            if router.connections.insert(engine, now).is_none_or(|last| now > last + IDLE) {
                *self.connected.entry(tenth(now)).or_default() += 1;
            }
            let number = request.out.len();
            request.out.push((engine, true, Some(until)));
            let (incarnation, work) = (router.incarnation, request.work);
            self.engines[engine].given.push((now, work));
            self.engines[engine].running.push(Running {
                router: at,
                incarnation,
                request: id,
                number,
                left: work,
                sent: now,
            });
        }
        for id in book.ended {
            self.routers[at].requests.get_mut(&id).into_iter().for_each(|request| request.over = true);
            self.drop_attempts(at, id, AttemptOutcome::Cancelled, None);
        }
        for (id, number) in book.cancelled {
            self.drop_attempts(at, id, AttemptOutcome::Cancelled, Some(number as usize));
        }
    }

    /// Attempts of a request are given up, and their ends are news at once.
    fn drop_attempts(&mut self, at: usize, id: usize, ending: AttemptOutcome, only: Option<usize>) {
        let now = self.now;
        let Some(request) = self.routers[at].requests.get_mut(&id) else { return };
        let mut ends = Vec::new();
        for (number, (engine, out, _)) in request.out.iter_mut().enumerate() {
            if *out && only.is_none_or(|only| only == number) {
                *out = false;
                ends.push((*engine, number));
            }
        }
        let request_done = request.over;
        for (engine, number) in ends {
            self.engines[engine]
                .running
                .retain(|run| (run.router, run.request, run.number) != (at, id, number));
            let load = LoadReport::default();
            let end = AttemptEnd {
                request: id,
                engine,
                outcome: ending,
                request_done,
                elapsed: 0.1,
                measured: None,
                load,
            };
            self.routers[at].gateway.iter_mut().for_each(|gateway| gateway.attempt_ended(now, &end));
        }
        self.routers[at].wake = now;
    }

    fn time_outs(&mut self, at: usize) {
        let now = self.now;
        let due = |request: &Request| {
            request.out.iter().any(|(_, out, until)| *out && until.is_some_and(|until| now >= until))
        };
        let late: Vec<usize> =
            self.routers[at].requests.iter().filter(|(_, request)| due(request)).map(|(id, _)| *id).collect();
        for id in late {
            self.drop_attempts(at, id, AttemptOutcome::TimedOut, None);
        }
        let cut = |request: &Request| {
            request.over && request.out.iter().all(|(_, out, _)| !out) || now > request.deadline + 1.0
        };
        self.routers[at].requests.retain(|_, request| !cut(request));
    }

    fn work(&mut self) {
        let now = self.now;
        for at in 0..self.engines.len() {
            let engine = &mut self.engines[at];
            let pace = (CORES / engine.running.len().max(1) as f64).min(1.0) * STEP;
            engine.running.iter_mut().for_each(|run| run.left -= pace);
            if engine.silent {
                continue;
            }
            let (done, left) =
                std::mem::take(&mut engine.running).into_iter().partition(|run| run.left <= 0.0);
            engine.running = left;
            let done: Vec<Running> = done;
            for run in done {
                let router = &mut self.routers[run.router];
                let Some(gateway) = router.gateway.as_mut().filter(|_| router.incarnation == run.incarnation)
                else {
                    continue;
                };
                let Some(request) = router.requests.get_mut(&run.request).filter(|request| !request.over)
                else {
                    continue;
                };
                (request.out[run.number].1, request.over) = (false, true);
                router.connections.insert(at, now);
                if now - request.sent <= EXPECTED {
                    *self.served.entry(tenth(now)).or_default() += 1;
                }
                let told = Some(MeasuredCost { work: request.work, memory_mb: 10.0 });
                let (spent, load) = (now - run.sent, LoadReport::default());
                let (ending, request_done) = (AttemptOutcome::Completed, true);
                let end = AttemptEnd {
                    request: run.request,
                    engine: at,
                    outcome: ending,
                    request_done,
                    elapsed: spent,
                    measured: told,
                    load,
                };
                gateway.attempt_ended(now, &end);
                router.wake = now;
            }
        }
    }

    fn replace(&mut self, at: usize) {
        let now = self.now;
        let engine = &mut self.engines[at];
        engine.listing.name_hash += 1_000_003;
        engine.listing.started_at = Some(now);
        let lost: Vec<Running> = std::mem::take(&mut engine.running);
        let listing = engine.listing;
        for run in lost {
            self.drop_attempts(run.router, run.request, AttemptOutcome::ConnectionLost, Some(run.number));
        }
        for router in &mut self.routers {
            router.gateway.iter_mut().for_each(|gateway| gateway.engines_listed(now, &[listing], false));
        }
    }

    fn run(&mut self) {
        let began = self.now;
        let gone = (self.routers.len() as f64 * self.play.killed).round() as usize;
        let (mut killed, mut back) = (false, false);
        self.engines[0].silent = true;
        let slow_start = self.engines.len().div_ceil(8);
        while self.now < began + ENDS {
            let at = self.now - began;
            if at >= KILLED_AT && !killed {
                killed = true;
                let open = |router: &Router| {
                    router.connections.values().filter(|last| self.now < *last + IDLE).count()
                };
                self.open_before = self.routers.iter().map(open).sum();
                // Just after some engines were replaced, which all had begun to send to.
                (1..=slow_start).for_each(|engine| self.replace(engine));
            }
            if at >= KILLED_AT + 0.25 && killed && !back && self.routers[0].gateway.is_some() {
                (0..gone).for_each(|router| self.kill(router));
            }
            if at >= BACK_AT && !back {
                back = true;
                (0..gone).for_each(|router| self.start(router));
            }
            if at >= KILLED_AT + 4.0 {
                self.engines[0].silent = false;
            }
            self.work();
            for router in 0..self.routers.len() {
                self.ask(router);
                self.come_back(router);
                self.time_outs(router);
                if self.routers[router].wake <= self.now {
                    self.round(router);
                }
            }
            self.now += STEP;
        }
    }

    fn report(&self) -> Value {
        let began = 100.0;
        let sum = |of: &BTreeMap<u64, usize>, from: f64, to: f64| -> usize {
            of.range(tenth(began + from)..tenth(began + to)).map(|(_, count)| count).sum()
        };
        let before = sum(&self.served, KILLED_AT - 3.0, KILLED_AT) as f64 / 3.0;
        let full = (1..170).map(|step| f64::from(step) * 0.1).find(|after| {
            let at = BACK_AT + after;
            *after >= 0.5 && sum(&self.served, at - 0.5, at) as f64 * 2.0 >= 0.95 * before
        });
        let peak = |from: f64, to: f64| {
            let at =
                |step: u64| sum(&self.connected, from + step as f64 * 0.1, from + step as f64 * 0.1 + 1.0);
            (0..((to - from) * 10.0) as u64).map(at).max().unwrap_or(0)
        };
        let slow_start =
            self.engines.iter().filter_map(|engine| Some((engine.listing.started_at?, &engine.given)));
        let over_slow_start_budget: usize =
            slow_start.map(|(since, given)| self.over_slow_start_budget(since, given)).sum();
        let over_budget =
            self.routers.iter().filter(|router| most_within(&router.further, 10.0) > 4 + 10).count();
        json!({
            "killed": self.play.killed,
            "recovers": self.play.recovers,
            "stores_lost": self.play.lost,
            "in_time_before_per_s": before.round(),
            "full_service_s": full,
            "new_connections_peak_per_s": peak(KILLED_AT, ENDS - 1.0),
            "connections_open_before": self.open_before,
            "cold_over_budget": over_slow_start_budget,
            "routers_over_push_budget": over_budget,
        })
    }

    /// Windows in which a cold engine got more than it stands, by the rule on cold ones.
    fn over_slow_start_budget(&self, since: f64, given: &[(f64, f64)]) -> usize {
        let slow_start = deployment(1).slow_start;
        let mut over = 0;
        for (at, _) in given.iter().filter(|(at, _)| *at >= since && *at < since + slow_start.duration) {
            let slow_start_progress = (slow_start.initial_share
                + (1.0 - slow_start.initial_share) * (at - since) / slow_start.duration)
                .min(1.0);
            let stands =
                slow_start.overload_multiple * CORES * slow_start_progress * slow_start.window / WORK;
            let got = given
                .iter()
                .filter(|(when, _)| *when <= *at && *when > at - slow_start.window && *when >= since);
            over += usize::from(
                got.map(|(_, work)| work / WORK).sum::<f64>() > stands + 3.0 * stands.sqrt() + 3.0,
            );
        }
        over
    }
}

fn most_within(times: &[f64], window: f64) -> usize {
    let within = |at: &f64| times.iter().filter(|time| **time <= *at && **time > at - window).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// From 10, 30, 70 and 100 % killed, with the way back (stores kept, stores lost) and without.
pub fn measure(routers: usize, seed: u64, plot: Option<&Path>) -> Value {
    let kinds = [("stores kept", true, false), ("stores lost", true, true), ("without", false, true)];
    let mut rows = Vec::new();
    let mut drawn = Vec::new();
    for killed in [0.1, 0.3, 0.7, 1.0] {
        for (name, recovers, lost) in kinds {
            let mut world = World::new(Play { routers, killed, recovers, lost, seed });
            world.run();
            rows.push(world.report());
            if killed == 0.7 {
                drawn.push((name, world.served.clone(), world.connected.clone()));
            }
        }
    }
    if let Some(path) = plot {
        if let Err(error) = draw(path, &drawn) {
            eprintln!("{}: {error}", path.display());
        }
    }
    let names: HashSet<&str> = kinds.iter().map(|kind| kind.0).collect();
    json!({"virtual": true, "routers": routers, "seed": seed, "kinds": names.len(), "rows": rows})
}

type Drawn = (&'static str, BTreeMap<u64, usize>, BTreeMap<u64, usize>);

fn draw(path: &Path, drawn: &[Drawn]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(450);
    let points = |of: &BTreeMap<u64, usize>| -> Vec<(f64, f64)> {
        (50..ENDS as u64 * 10)
            .map(|step| {
                let at = tenth(100.0) + step;
                let sum: usize = of.range(at - 5..at).map(|(_, count)| count).sum();
                (step as f64 / 10.0, sum as f64 * 2.0)
            })
            .collect()
    };
    for (panel, caption, which) in
        [(left, "answered in time, a second", 0), (right, "new connections, a second", 1)]
    {
        let of = |one: &Drawn| points(if which == 0 { &one.1 } else { &one.2 });
        let most = drawn.iter().flat_map(of).map(|point| point.1).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&panel)
            .caption(caption, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(5.0..ENDS, 0.0..most * 1.1)?;
        chart.configure_mesh().x_desc("seconds; killed at 12.25, back at 12.3").draw()?;
        for (number, one) in drawn.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(of(one), color.stroke_width(2)))?
                .label(one.0)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
    }
    area.present()?;
    Ok(())
}
