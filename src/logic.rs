//! Every decision of the gateway. The interface (facts in, `Writer` out) is in `lib.rs`.
//!
//! A host makes a [`Gateway`], hands it each round's news through `engines_listed`, `request_received`, `attempt_ended`
//! and their like, and then calls `round` once, which writes the decisions into the writer.
//! The ordinary path is the design's: a request is granted memory by ROC against θ ([`Threshold`], [`Learned`]),
//! goes to that one of the first fitting engines ([`Ledger`]) in its table group's hash order with the fewest
//! of our threads per core, or is held. `may_attempt` alone keeps rules 2 to 7, `end` alone keeps rule 1.
//! Mechanisms beside the design, six at most:
//! 1. cold ramp: a cold engine gets our share of what it stands, or by lot what no share holds (`cold_room`);
//! 2. engine doubt: a draw from the posterior of an engine's success ([`Doubt`]);
//! 3. time-outs and retries: `time_out`, `overdue`, and a budget of them (`retry_budget`);
//! 4. holding and turning back: threads per core are limited ([`Room`]), the best credit for work goes first,
//!    tenants in their turns ([`Line`], which keeps the order alone);
//! 5. priority lanes by credit for work (`lane`);
//! 6. peers' words on engines, beside what we met ourselves (`peers_say`).

use crate::figures::{mix, rank, weighted_median, Mean, Shares, Trend, Window};
use crate::index::{Filed, Orders};
use crate::state::{Attempt, Due, KeyLine, Request};
use crate::*;
use cleatgw_queue::{Line, Waiting};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Seconds between periodic work.
const TICK: f64 = 0.25;
/// How much of a cold engine's budget we use: its cores never do all they could, how it warms is not told.
const COLD_CAUTION: f64 = 0.65;
/// How much of it is drawn for by lot where it is too small for a request.
const LOT: f64 = 0.6;

/// The most that is granted over the guess; an engine that pages counts no more than the need, so that more is free.
const HEADROOM: f64 = 1.6;
const FREE_HEADROOM: f64 = 4.0;

/// Of the engines, a table group's first ones are at least so many times its share of the work: they serve others too.
const SPREAD: f64 = 4.0;
/// So many requests' worth of belief that a group has no share.
const COOL: f64 = 20.0;

/// What a repeat may take to get to its engine: so much sooner than its window ends it must have left.
const EDGE: f64 = 0.02;

/// How long new requests are taken after a drain began: within the second that is promised, less a slow turn.
const NEW_WORK: f64 = 0.95;

/// θ and its climb.
#[derive(Default)]
struct Threshold {
    theta: f64,
    step: f64,
    up: bool,
    climbing: bool,
    reversals: u32,
    last_wait: f64,
    last_total: f64,
    waits: Mean,
    runs: Mean,
    /// ROC and memory of recent best grants.
    recent: VecDeque<(f64, f64)>,
    review_at: f64,
}

impl Threshold {
    const STEP: f64 = 0.25;
    const PERIOD: f64 = 2.0;
    /// Waits that are no more than this part of the work count as none.
    const NO_WAIT: f64 = 0.05;

    fn saw(&mut self, roc: f64, memory: f64) {
        if roc.is_finite() && roc > 0.0 {
            self.recent.push_front((roc, memory));
            self.recent.truncate(101);
        }
    }

    /// The ROC that parts the memory asked for in half: by count, many small requests would pass every large one.
    fn median(&self) -> f64 {
        weighted_median(self.recent.iter().copied())
    }

    /// Moves θ once a period; tells whether it moved.
    fn review(&mut self, now: f64) -> bool {
        if now < self.review_at || self.runs.weight < 3.0 {
            return false;
        }
        self.review_at = now + Self::PERIOD;
        // Both for each second of work a thread, so that a few heavy requests do not pass for a change.
        let (wait, run) = (self.waits.sum / self.runs.weight, self.runs.or(0.0));
        let (before, total) = (self.theta, wait + run);
        if wait < Self::NO_WAIT {
            // Memory that nobody waits for is not worth a spill: θ falls until every request gets its best grant.
            self.climbing = false;
            self.theta = if before < self.median() / 4.0 { 0.0 } else { before * (1.0 - Self::STEP) };
        } else if !self.climbing {
            if wait > self.last_wait * 1.1 {
                self.theta = if before == 0.0 { self.median() } else { before * (1.0 + Self::STEP) };
                (self.climbing, self.up, self.step, self.reversals) = (true, true, Self::STEP, 0);
            }
        } else {
            if total > self.last_total * 1.02 {
                (self.up, self.step, self.reversals) = (!self.up, self.step / 2.0, self.reversals + 1);
            } else if total < self.last_total * 0.98 {
                self.reversals = 0;
            }
            self.climbing = self.reversals < 2;
            if self.climbing {
                self.theta *= if self.up { 1.0 + self.step } else { 1.0 - self.step };
            }
        }
        (self.last_wait, self.last_total) = (wait, total);
        (self.waits, self.runs) = (Mean::default(), Mean::default());
        self.theta != before
    }
}

/// Our open grants on one engine.
#[derive(Default)]
struct Ledger {
    granted: f64,
    open: u32,
    limit: f64,
    start: f64,
    whole: f64,
    pressed_until: f64,
    shrunk_at: f64,
}

impl Ledger {
    const PRESSURE_LASTS: f64 = 2.0;

    fn fits(&self, grant: f64, now: f64) -> bool {
        now >= self.pressed_until || self.open == 0 || self.granted + grant <= self.limit
    }

    fn press(&mut self, now: f64) {
        self.pressed_until = now + Self::PRESSURE_LASTS;
    }

    fn shrink(&mut self, now: f64) {
        self.press(now);
        if now >= self.shrunk_at + 1.0 {
            (self.shrunk_at, self.limit) = (now, (self.limit * 0.8).max(self.start / 4.0));
        }
    }

    fn tick(&mut self, now: f64) {
        if now >= self.pressed_until {
            self.limit = (self.limit * (1.0 + 0.1 * TICK)).min(self.whole.max(self.start));
        }
    }
}

/// What is told against estimates, as a line through logarithms: far ones lie further off than the truth.
#[derive(Clone, Copy, Default)]
struct Fit {
    trend: Trend,
    told: Mean,
    scatter: Mean,
}

impl Fit {
    fn add(&mut self, estimate: Option<f64>, told: f64) {
        let Some(estimate) = estimate else { return };
        let off = told.max(1e-6) / self.guess(Some(estimate), 0.0);
        self.told.add(off, 1.0, 0.99);
        self.scatter.add(off.ln().abs(), 1.0, 0.99);
        self.trend.add(estimate.ln(), told.max(1e-6).ln(), 0.99);
    }

    /// What is granted over the guess, by the scatter seen (at first as if large): few are to spill.
    fn headroom(&self, most: f64) -> f64 {
        (1.7 * self.scatter.with(1.2, 3.0)).exp().min(most)
    }

    fn guess(&self, estimate: Option<f64>, mean: f64) -> f64 {
        let Some(estimate) = estimate else { return mean };
        // A few requests' worth of belief that estimates are good.
        self.trend.at(estimate.ln(), 2.0).exp() * self.told.or(1.0)
    }
}

/// What a class turned out to need against what was estimated, and how long it takes.
#[derive(Clone, Default)]
struct Learned {
    work: Mean,
    memory: Mean,
    work_by_cost: Fit,
    memory_by_estimate: Fit,
    /// Time for each second of work a thread, with the best grant and at the quarter.
    pace: Mean,
    quarter_pace: Mean,
    longest_lead: f64,
    /// Where answers tell no work: the pace by estimates alone, its least of late, and how many told.
    untold: Mean,
    least: f64,
    answers: u32,
}

impl Learned {
    /// How much of the low pace is followed down and up with each answer, and by how many it is known.
    const FALLS: f64 = 0.05;
    const RISES: f64 = 0.005;
    const KNOWN: u32 = 10;

    /// The pace against the least of late: estimates that no answer corrects may be far off for a class.
    fn against_least(&mut self, pace: f64, work: f64) -> Option<f64> {
        self.answers += 1;
        self.untold.add(pace, work, 0.98);
        let (mean, least) = (self.untold.or(pace), self.least);
        let follows = if mean < least { Self::FALLS } else { Self::RISES };
        let known = self.answers > Self::KNOWN;
        self.least = if known { least + follows * (mean - least) } else { mean };
        known.then_some(pace / self.least.max(1e-3))
    }

    fn spill_factor(&self) -> f64 {
        let known = self.quarter_pace.weight.min(self.pace.weight) >= 3.0;
        let ratio = self.quarter_pace.or(2.0) / self.pace.or(1.0);
        Some(ratio.clamp(1.0, 8.0)).filter(|_| known).unwrap_or(2.0)
    }

    fn pace(&self) -> f64 {
        self.pace.or(1.5).clamp(0.5, 8.0)
    }
}

/// Evidence on whether an engine answers well, faded each tick; some troubles strike only one class.
#[derive(Default)]
struct Doubt {
    good: Mean,
    /// What peers say that they met, each of them for one attempt at most.
    told: Mean,
    own: Vec<Mean>,
    doubted: bool,
    /// The present draw: made anew each tick, spent by a trial.
    drawn: f64,
}

impl Doubt {
    /// Half of it is gone after four seconds.
    const KEEP: f64 = 0.9576;
    const TRUST: f64 = 0.75;
    /// A peer's word against our own attempt: one that lies, or is ill itself, puts no engine in doubt alone.
    const WORD: f64 = 0.5;

    /// What is bad for its class need not be so for the engine.
    fn add(&mut self, class: usize, good: f64, bad: f64, bad_for_own: f64) {
        self.own.resize(self.own.len().max(class + 1), Mean::default());
        (self.good.sum, self.good.weight) = (self.good.sum + good, self.good.weight + good + bad);
        self.own[class].add(good / (good + bad_for_own).max(1e-9), good + bad_for_own, 1.0);
    }

    fn mean(&self) -> f64 {
        self.good.with(2.0 + self.told.sum, 2.1 + self.told.weight)
    }

    /// As for all until a class fares a fifth worse; that of all counts for three of its own.
    fn mean_for(&self, class: usize) -> f64 {
        let own = self.own.get(class).map_or(1.0, |own| own.with(3.0 * self.mean(), 3.0));
        self.mean().min(1.25 * own)
    }

    /// A draw from the posterior, by its mean and spread.
    fn draw(&mut self, chance: f64) {
        let mean = self.mean();
        let spread = (mean * (1.0 - mean) / (3.1 + self.good.weight + self.told.weight)).sqrt();
        self.drawn = mean + (chance - 0.5) * 3.46 * spread;
    }
}

/// How many threads per core an engine may hold before requests are held here instead.
#[derive(Default)]
struct Room {
    limit: f64,
    /// Our peers' threads per core there, by reports or the pace of answers: only their mean is told, late.
    peers: Mean,
    tells: bool,
}

impl Room {
    const START: f64 = 1.0;
    /// Threads per core that a deployment of many gateways is taken to run where nothing tells.
    const USUAL: f64 = 0.75;
    /// What is kept of the news of peers, on one engine and on all. Less, and gateways move together.
    const KEEP: f64 = 0.98;
    const KEEP_OF_ALL: f64 = 0.9;

    fn tick(&mut self, pace: f64, used: f64) {
        self.peers.fade(Self::KEEP);
        if pace > 3.0 {
            self.limit = (self.limit * 0.97).max(Self::START * 0.6);
        } else if pace < 2.0 && used > self.limit * 0.7 {
            self.limit = (self.limit * 1.03).min(Self::START * 1.5);
        }
    }
}

#[derive(Default)]
struct EngineState {
    at: Listing,
    cores: f64,
    ledger: Ledger,
    doubt: Doubt,
    room: Room,
    threads: f64,
    attempts: u32,
    pace: Mean,
    best_pace: Option<f64>,
    last_answer: f64,
    /// Work dispatched of late, by usual weight, for the cold ramp.
    sent: Window,
    peers_sent: f64,
    /// Table groups that requests of ours hold there.
    holding: Vec<u64>,
    cold: bool,
}

#[derive(Default)]
pub struct Gateway {
    given: Deployment,
    /// What is no work is allowed for by this, as deployments differ in pace: the shortest expected time.
    quick: f64,
    seed: u64,
    draws: u64,
    theta: Threshold,
    learned: Vec<Learned>,
    /// By index; one without cores has been in no list.
    engines: Vec<EngineState>,
    /// The ready engines in each table group's hash order.
    orders: Orders,
    /// Engines by class, and those that changed since they were filed there.
    filed: Vec<Filed>,
    unfiled: Vec<usize>,
    requests: BTreeMap<usize, Request>,
    pub line: Line,
    /// Requests that are held since this round began, and those whose attempt has just ended.
    fresh: Vec<usize>,
    /// With tenants: a request whose turn came before found no room in this round.
    passed_by: bool,
    again: Vec<usize>,
    keys: BTreeMap<u64, KeyLine>,
    due: BTreeSet<(u64, Due)>,
    taken_at: VecDeque<f64>,
    pub repeats: VecDeque<f64>,
    forgot_at: f64,
    /// So many more may follow, where what is kept of them lags behind.
    pub ahead: Option<u32>,
    /// The median pace of late, over all engines.
    median: f64,
    density: Mean,
    /// Work asked for of late, by table group.
    asked: Shares,
    threads_each: Mean,
    /// Threads per core of our peers on all engines that told of late; what is believed of the others.
    crowd: Mean,
    belief: f64,
    /// Our threads on all engines; the cores of those that are ready and not in doubt.
    threads: f64,
    cores: f64,
    next_tick: f64,
    armed: Option<f64>,
    watch_at: Option<f64>,
    stop: f64,
    /// What is taken later is rejected at once: this instance drains.
    takes_until: f64,
    /// When the last request was rejected, while that mode lasts.
    turning_back: Option<f64>,
    log: Vec<String>,
}

impl Gateway {
    pub fn new(given: Deployment, seed: u64, now: f64) -> Self {
        Gateway {
            learned: vec![Learned::default(); given.classes.len()],
            filed: vec![Filed::default(); given.classes.len()],
            watch_at: given.ask_within.map(|_| now),
            next_tick: now + TICK,
            stop: f64::INFINITY,
            takes_until: f64::INFINITY,
            quick: given.classes.iter().map(|class| class.expected_time).fold(0.8, f64::min),
            seed,
            given,
            ..Gateway::default()
        }
    }

    pub fn engines_listed(&mut self, now: f64, listings: &[Listing], whole: bool) {
        self.engines.iter_mut().filter(|_| whole).for_each(|engine| engine.at.stage = Stage::Gone);
        for &listing in listings {
            self.engines.resize_with(self.engines.len().max(listing.engine + 1), EngineState::default);
            let state = &mut self.engines[listing.engine];
            let is = |listing: &Listing| (listing.since, listing.name_hash);
            if state.cores == 0.0 || is(&state.at) != is(&listing) {
                // New or started anew: nothing learned of it holds, but what we sent is still out.
                let kind = self.given.kinds.get(listing.kind);
                let whole = kind.map_or(0.0, |kind| kind.memory_mb);
                let start = whole / self.given.gateways;
                state.ledger = Ledger { limit: start, start, whole, ..std::mem::take(&mut state.ledger) };
                (state.ledger.pressed_until, state.doubt, state.pace) = Default::default();
                (state.best_pace, state.cold, state.peers_sent) = Default::default();
                (state.room, state.last_answer) = (Room { limit: Room::START, ..Room::default() }, now);
                state.cores = kind.map_or(1.0, |kind| kind.cores);
            }
            state.at = listing;
        }
        let listed = listings.iter().map(|listing| listing.engine);
        let listed: Vec<usize> = if whole { (0..self.engines.len()).collect() } else { listed.collect() };
        for at in listed {
            let EngineState { at: Listing { name_hash, stage, .. }, cores, .. } = self.engines[at];
            self.orders.put(at, (stage == Stage::Ready && cores > 0.0).then_some(name_hash));
            self.unfiled.push(at);
        }
    }

    fn ready(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.iter().filter(|engine| engine.at.stage == Stage::Ready && engine.cores > 0.0)
    }

    /// Files what changed for the choices that follow.
    fn file(&mut self) {
        let mut files = std::mem::take(&mut self.filed);
        for at in std::mem::take(&mut self.unfiled) {
            let engine = &self.engines[at];
            for (class, filed) in files.iter_mut().enumerate() {
                let open = self.orders.has(at) && self.placed(class, engine);
                filed.trusted.put(at, open.then(|| engine.doubt.mean_for(class)));
                for (light, roomy) in filed.roomy.iter_mut().enumerate() {
                    roomy.put(at, open && self.has_room(class, engine, light == 1));
                }
                let threads = engine.threads + self.given.classes[class].threads;
                let even = engine.attempts == 0 || self.fills(threads, engine.cores);
                filed.even.put(at, open && even && !engine.room.tells);
            }
        }
        self.filed = files;
    }

    /// The list could not be had; the old one stands, and a new subscription is asked for in a while.
    pub fn list_failed(&mut self, now: f64) {
        self.watch_at = self.given.ask_within.map(|_| now + 1.0);
        self.log.push(format!("list out of reach, {} engines known", self.engines.len()));
    }

    pub fn request_received(&mut self, now: f64, id: usize, mut taken: Taken) {
        self.taken_at.push_back(now);
        let class = &self.given.classes[taken.class];
        // From here on a request has a key only where its class asks for order.
        taken.key = taken.key.filter(|_| class.in_key_order);
        let learned = &mut self.learned[taken.class];
        let work = learned.work_by_cost.guess(taken.cost, learned.work.or(1.0));
        let memory = learned.memory_by_estimate.guess(taken.memory_mb, learned.memory.or(0.0));
        let most = if self.given.pages { FREE_HEADROOM } else { HEADROOM };
        let memory = memory * learned.memory_by_estimate.headroom(most);
        // Also from those that never run: the heavy ones are rejected first.
        learned.work.add(work, f64::from(u8::from(taken.cost.is_some())), 0.99);
        // What has less time left than others of its class came late, or its client has tried before.
        learned.longest_lead = learned.longest_lead.max(taken.deadline - now);
        let age = learned.longest_lead - (taken.deadline - now);
        let expected_at = now - age + class.expected_for(work);
        let density = class.credit / work.max(1e-3);
        self.density.add(density, work, 0.995);
        self.asked.add(taken.table_group, work);
        let request = Request { taken, work, memory, density, expected_at, since: now, ..Request::default() };
        taken.key.into_iter().for_each(|key| self.keys.entry(key).or_default().requests.push_back(id));
        // A request that comes too late for a drain is never held, so that nothing new is dispatched.
        let closed = now >= self.takes_until;
        self.due.extend(Some((rank(now), Due::Deadline(id))).filter(|_| closed));
        self.requests.insert(id, request);
        if !closed {
            self.hold(now, id);
            self.fresh.push(id);
        }
        self.expires(id);
        self.time_ends(id, self.stop);
    }

    /// Tenants have these lines from now on; requests that are open move to where `tenant_of` says.
    pub fn tenants(&mut self, now: f64, line: Line, tenant_of: &dyn Fn(usize) -> usize) {
        let before = std::mem::replace(&mut self.line, line);
        let held: Vec<usize> = self.requests.keys().copied().filter(|id| before.holds(*id)).collect();
        for (id, request) in &mut self.requests {
            request.taken.tenant = tenant_of(*id);
            request
                .attempts
                .iter()
                .filter(|attempt| attempt.out)
                .for_each(|_| self.line.carries(request.taken.tenant));
        }
        held.into_iter().for_each(|id| self.hold(now, id));
    }

    fn hold(&mut self, now: f64, id: usize) {
        let &Request { ref taken, density, work, since, ref attempts, .. } = &self.requests[&id];
        let never_ran = attempts.iter().all(|attempt| attempt.never_ran);
        let Taken { tenant, class, .. } = *taken;
        self.line.hold(Waiting { request: id, tenant, class, density, work, since, never_ran }, now);
    }

    /// All that peers have met of an engine of late, each of them once for what went well and badly.
    pub fn peers_say(&mut self, at: usize, Met { good, bad, sent }: Met) {
        let Some(engine) = self.engines.get_mut(at) else { return };
        engine.doubt.told = Mean { sum: Doubt::WORD * good, weight: Doubt::WORD * (good + bad) };
        engine.peers_sent = sent;
        self.unfiled.push(at);
    }

    /// What we met of an engine ourselves of late, for peers to be told.
    pub fn met(&self, at: usize, now: f64) -> Option<Met> {
        let engine = self.engines.get(at)?;
        let sent = if engine.cold { engine.sent.after(now - self.given.cold.window) } else { 0.0 };
        let Mean { sum: good, weight } = engine.doubt.good;
        Some(Met { good, bad: weight - good, sent })
    }

    /// We begin without knowing what we dispatched before: the worst that rules 4 and 7 can mean, for as long
    /// as they look back.
    pub fn forgot(&mut self, now: f64) {
        self.forgot_at = now;
        self.repeats.extend(std::iter::repeat_n(now, self.retry_budget().spare.ceil() as usize));
    }

    /// We do know: retries by their times, and work that went to cold engines.
    pub fn remembers(&mut self, repeats: &[f64], sent: &[(usize, f64, f64)]) {
        let forgot_at = std::mem::take(&mut self.forgot_at);
        self.repeats.retain(|&at| at != forgot_at);
        self.repeats.extend(repeats);
        self.repeats.make_contiguous().sort_by(f64::total_cmp);
        for (engine, at, work) in sent {
            self.engines.get_mut(*engine).into_iter().for_each(|one| one.sent.add(*at, *work, f64::INFINITY));
        }
    }

    /// Our instance drains: no request that is taken from the time that is returned on is dispatched.
    pub fn drain(&mut self, now: f64) -> f64 {
        self.takes_until = self.takes_until.min(now + NEW_WORK);
        self.takes_until
    }

    /// Engines that are ready and not in doubt.
    pub fn sound_engines(&self) -> usize {
        self.ready().filter(|engine| !engine.doubt.doubted).count()
    }

    /// Our instance ends then: no request has longer.
    pub fn stop_at(&mut self, stop: f64) {
        self.stop = stop;
        let open: Vec<usize> = self.requests.keys().copied().collect();
        open.into_iter().for_each(|id| self.time_ends(id, stop));
    }

    fn time_ends(&mut self, id: usize, stop: f64) {
        let request = self.requests.get_mut(&id).expect("a job that was taken");
        (request.taken.deadline, request.expected_at) =
            (request.taken.deadline.min(stop), request.expected_at.min(stop));
        let request = &self.requests[&id];
        self.due.insert((rank(request.taken.deadline), Due::Deadline(id)));
        self.due.insert((rank(self.last_start(request)), Due::TooLate(id)));
    }

    pub fn attempt_noted(&mut self, now: f64, id: usize, note: Note) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.iter().rfind(|attempt| attempt.out) else { return };
        let Some(engine) = self.engines.get_mut(attempt.engine) else { return };
        engine.last_answer = now;
        match note {
            Note::WaitsForMemory => {
                engine.ledger.shrink(now);
                self.theta.waits.add(1.0, 1.0, 1.0);
            }
            // Where grants are honoured, a spill tells of a heavy draw, not of pressure.
            Note::Spills if !attempt.quarter && self.given.trims => engine.ledger.shrink(now),
            _ => {}
        }
    }

    pub fn attempt_ended(&mut self, now: f64, end: &AttemptEnd) {
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let sent_there = |attempt: &Attempt| attempt.out && attempt.engine == end.engine;
        let Some(index) = request.attempts.iter().position(sent_there) else { return };
        let attempt = &mut request.attempts[index];
        attempt.out = false;
        attempt.never_ran = end.ending.never_ran();
        let (sent, quarter) = (attempt.sent, attempt.quarter);
        let (class, key) = (request.taken.class, request.taken.key);
        let threads = self.given.classes[class].threads;
        // Where work is neither told nor estimated, the time it took is safe for a cold engine.
        let guess = if request.taken.cost.is_some() { request.work } else { end.spent * threads };
        let (work, memory) = end.told.unwrap_or((guess, request.memory));
        let learned = &mut self.learned[class];
        // A gateway without a turn for a while cannot tell when answers came: their times are no evidence.
        let stalled = now > self.next_tick + TICK;
        let pace = if stalled { learned.pace() } else { end.spent * threads / work.max(1e-3) };
        // Among few gateways our own threads are much of what stands there, and the least pace is soon met.
        // Many that all know little must rather believe a crowd that is not there than none.
        let cores = self.engines.get(end.engine).map_or(0.0, |engine| engine.cores);
        let untold = learned.work_by_cost.told.weight == 0.0
            && request.taken.cost.is_some()
            && self.given.gateways <= cores;
        let evidence = end.ending == Ending::Completed && !quarter && !stalled;
        let against = (untold && evidence).then(|| learned.against_least(pace, work)).flatten();
        let stood = if untold { against } else { Some(pace) };
        if let Some(engine) = self.engines.get_mut(end.engine) {
            // The requests that it tells of have as many threads each as ours; else pace is about threads a core.
            let others =
                end.load.requests.map(|all| (all - f64::from(engine.attempts)) * self.threads_each.or(1.0));
            let ran = matches!(end.ending, Ending::Completed | Ending::TimedOut | Ending::Cancelled);
            let felt = stood.map(|pace| Room::USUAL * pace.min(8.0) * engine.cores - engine.threads);
            let felt = felt.filter(|_| ran && !quarter && !stalled && self.given.gateways > 1.0);
            engine.room.tells |= others.is_some();
            self.median = self.median.max(0.5) * if pace > self.median { 1.04 } else { 0.96 };
            if let Some(threads) = others.or(felt) {
                // One estimate that no answer corrects may be off by ten times; their sum is not.
                let weight = if untold { (work / learned.work.or(work)).min(3.0) } else { 1.0 };
                engine.room.peers.add(threads / engine.cores, weight, 0.8);
                self.crowd.add(threads / engine.cores, weight, 0.9);
            }
            if end.load.memory_waits.is_some_and(|waits| waits >= 1.0) {
                engine.ledger.shrink(now);
            }
            let (good, bad, own) = match end.ending {
                // Slow against what the class takes elsewhere: a slow machine, a pause, a crowd.
                Ending::Completed if pace > 4.0 * learned.pace() && end.spent > 0.5 => (1.0, 0.5, 0.5),
                Ending::Completed => (1.0, 0.0, 0.0),
                Ending::Unreached => (0.0, 3.0, 3.0),
                Ending::Erred | Ending::Broken => (0.0, 1.0, 1.0),
                Ending::TimedOut if engine.last_answer < sent => (0.0, 1.0, 1.0),
                // Others were answered since: one class's answers are lost, or it stands behind a holder.
                Ending::TimedOut | Ending::Full => (0.0, 0.0, 1.0),
                _ => (0.0, 0.0, 0.0),
            };
            engine.doubt.add(class, good, bad, own);
            if good > 0.0 {
                engine.last_answer = now;
                if let Some(pace) = stood {
                    engine.pace.add(pace, work, 0.9);
                }
                engine.best_pace = Some(engine.best_pace.unwrap_or(pace).min(engine.pace.or(pace)) * 1.001);
            }
            let slowed = engine.best_pace.is_some_and(|best| good > 0.0 && engine.pace.or(1.0) > 2.5 * best);
            let granted = end.load.memory_granted.is_some_and(|share| share >= 0.98);
            if slowed || granted || end.ending == Ending::Full {
                engine.ledger.press(now);
            }
        }
        if end.ending == Ending::Completed {
            let paces = if quarter { &mut learned.quarter_pace } else { &mut learned.pace };
            paces.add(pace, work, 0.99);
            self.theta.runs.add(pace, work / threads, 1.0);
            self.theta.waits.add(request.ledger_wait, 1.0, 1.0);
            if request.taken.cost.is_none() {
                learned.work.add(work, 1.0, 0.99);
            }
            if end.told.is_some() {
                learned.memory.add(memory, 1.0, 0.99);
                learned.work_by_cost.add(request.taken.cost, work);
                learned.memory_by_estimate.add(request.taken.memory_mb, memory);
            }
        }
        let may_run = matches!(end.ending, Ending::TimedOut | Ending::Broken | Ending::Cancelled);
        if let Some(line) = key.filter(|_| may_run).and_then(|key| self.keys.get_mut(&key)) {
            line.rests_until = line.rests_until.max(now + self.given.key_rest);
        }
        self.settle(end.request, index);
        let needed = if end.ending.never_ran() { 0.0 } else { work };
        let Request { taken, work: charged, .. } = &self.requests[&end.request];
        self.line.over(taken.tenant, *charged, needed, now);
        if end.request_done {
            self.request_withdrawn(end.request);
        } else if let Some(request) =
            self.requests.get(&end.request).filter(|request| !request.over && !request.out())
        {
            self.due.insert((rank(self.last_start(request)), Due::TooLate(end.request)));
            self.expires(end.request);
            self.hold(now, end.request);
            self.again.push(end.request);
        }
        self.forget_if_done(end.request);
    }

    /// An attempt no longer counts on its engine.
    fn settle(&mut self, id: usize, index: usize) {
        let request = &self.requests[&id];
        let (attempt, class) = (&request.attempts[index], &self.given.classes[request.taken.class]);
        if let Some(engine) = self.engines.get_mut(attempt.engine) {
            self.threads -= class.threads;
            self.unfiled.push(attempt.engine);
            (engine.threads, engine.attempts) = (engine.threads - class.threads, engine.attempts - 1);
            let held = engine.holding.iter().position(|&group| group == request.taken.table_group);
            held.filter(|_| class.holds_tables).map(|at| engine.holding.swap_remove(at));
            engine.ledger.granted = (engine.ledger.granted - attempt.grant).max(0.0);
            engine.ledger.open -= 1;
        }
    }

    pub fn round(&mut self, now: f64, out: &mut dyn Writer) {
        if self.watch_at.take_if(|at| now >= *at).is_some() {
            out.watch(true);
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
        // Requests are tried before they are found too late: room may just have come free.
        self.dispatch_queued(now, out);
        while let Some((_, due)) = self.due.first().copied().filter(|&(at, _)| at <= rank(now)) {
            self.due.pop_first();
            match due {
                Due::Deadline(id) => self.end(now, id, out),
                Due::TooLate(id) => self.too_late(now, id, out),
                Due::Overdue(id, attempt) => self.overdue(now, id, attempt, out),
                Due::Expired(id) => self.end_if_stuck(now, id, out),
            }
        }
        self.log.drain(..).for_each(|line| out.log(&line));
        let next = self.due.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at));
        let next = next.min(self.next_tick).min(self.watch_at.unwrap_or(f64::INFINITY));
        if self.armed.is_none_or(|at| at <= now || next < at) {
            self.armed = Some(next);
            out.wake(next);
        }
    }

    fn tick(&mut self, now: f64) {
        if self.theta.review(now) {
            let Threshold { theta, last_wait: wait, last_total: total, .. } = self.theta;
            self.log.push(format!("θ {theta:.6}: waits {wait:.3} of the work, with runs {total:.3}"));
        }
        // Where nothing tells, peers hold what they do elsewhere; at first as much as we, at most the usual.
        let sum = |of: fn(&EngineState) -> f64| self.ready().map(of).sum::<f64>();
        let ours = sum(|engine| engine.threads) / sum(|engine| engine.cores).max(1.0);
        self.cores = sum(|engine| if engine.doubt.doubted { 0.0 } else { engine.cores });
        self.belief = self.crowd.with(((self.given.gateways - 1.0) * ours).min(Room::USUAL), 1.0);
        self.crowd.fade(Room::KEEP_OF_ALL);
        self.asked.fade(Room::KEEP);
        for (id, engine) in self.engines.iter_mut().enumerate() {
            engine.ledger.tick(now);
            let attempts = f64::from(engine.attempts);
            self.threads_each.add(engine.threads / attempts.max(1.0), attempts, 0.99);
            let Doubt { good, own, .. } = &mut engine.doubt;
            own.iter_mut().chain([good]).for_each(|mean| mean.fade(Doubt::KEEP));
            self.draws += 1;
            engine.doubt.draw((mix((self.seed, self.draws)) >> 11) as f64 / (1u64 << 53) as f64);
            let used = engine.threads / engine.cores.max(1.0) + engine.room.peers.with(self.belief, 1.0);
            engine.pace.fade(Room::KEEP_OF_ALL);
            engine.room.tick(engine.pace.with(self.median.max(0.5), 1.0), used);
            let doubted = engine.doubt.mean() < Doubt::TRUST;
            if std::mem::replace(&mut engine.doubt.doubted, doubted) != doubted {
                let word = if doubted { "doubted" } else { "trusted" };
                let (good, of) = (engine.doubt.good.sum, engine.doubt.good.weight);
                self.log.push(format!("engine {id} {word}: {good:.1} good of {of:.1}"));
            }
            let cold = Self::warmth(&self.given.cold, engine, now) < 1.0;
            if std::mem::replace(&mut engine.cold, cold) != cold {
                let word = if cold { "cold" } else { "warm" };
                self.log.push(format!("engine {id} {word}: started {:.1}", engine.at.since.unwrap_or(0.0)));
            }
        }
        self.unfiled = (0..self.engines.len()).collect();
        // Tables that clients' keys fill are kept small.
        self.keys.retain(|_, line| !line.requests.is_empty() || now < line.rests_until);
        let from = now - self.retry_budget().window.max(1.0);
        let forget = |all: &mut VecDeque<f64>| drop(all.drain(..all.partition_point(|&at| at < from)));
        [&mut self.taken_at, &mut self.repeats].into_iter().for_each(forget);
        let over = self.turning_back.take_if(|last| now > *last + 5.0);
        self.log.extend(over.map(|_| format!("turning none back: {} held", self.line.len())));
    }

    /// Tries what is held: tenants in their turns, within a tenant the best credit for its work first.
    fn dispatch_queued(&mut self, now: f64, out: &mut dyn Writer) {
        for id in std::mem::take(&mut self.again) {
            self.end_if_stuck(now, id, out);
        }
        // A line that is longer than its tenant's may be: its last is told at once.
        while let Some(id) = self.line.surplus() {
            self.turns_back(now, id, out);
        }
        let mut failures = 0;
        while failures < 12 {
            let Some(id) = self.line.next(now) else { break };
            // Another tenant's light requests must not fill what a heavy one, whose turn it is, waits for.
            self.passed_by = failures > 0 && self.line.parted();
            match self.in_turn(id, now) && !self.retries_exhausted(id, now) {
                true if self.place(now, id, out) => self.line.went(id, now),
                tried => failures += u32::from(tried),
            }
        }
        self.line.put_back(now);
        for id in std::mem::take(&mut self.fresh) {
            if self.line.parted() && self.line.holds(id) {
                let wait = self.line.wait_of(id, now);
                self.line.waits.told(id, wait, now);
                out.waits(id, wait);
            }
        }
    }

    /// A held request that no attempt can follow any more has its answer.
    fn end_if_stuck(&mut self, now: f64, id: usize, out: &mut dyn Writer) {
        let held = self.requests.get(&id).is_some_and(|request| !request.over && !request.out());
        if held && self.retries_exhausted(id, now) {
            self.end(now, id, out);
        }
    }

    /// Grants by ROC against θ: the grant, and whether it is the quarter.
    fn grant(&mut self, id: usize) -> (f64, f64, bool) {
        let request = &self.requests[&id];
        let most = self.given.kinds.iter().map(|kind| kind.memory_mb).fold(0.0, f64::max);
        let cap = most * self.given.largest_share.min(0.5);
        let spill = self.learned[request.taken.class].spill_factor();
        let full = if cap > 0.0 { request.memory.min(cap) } else { request.memory };
        let quarter = request.memory / 4.0;
        let time = |grant: f64| {
            let missing = (1.0 - grant / request.memory.max(1e-9)).max(0.0) / 0.75;
            request.work * (1.0 + (spill - 1.0) * missing)
        };
        let (fast, slow) = (time(full), time(quarter));
        let extra = fast * full - slow * quarter;
        if extra <= 0.0 || full <= quarter {
            return (full, full, false);
        }
        let roc = (slow - fast) / extra;
        self.theta.saw(roc, full);
        let best = roc > self.theta.theta;
        (if best { full } else { quarter }, quarter, !best)
    }

    /// Finds the request's engine and attempts it there; false: it is held.
    fn place(&mut self, now: f64, id: usize, out: &mut dyn Writer) -> bool {
        let (grant, least, quarter) = self.grant(id);
        self.file();
        self.draws += 1;
        if !self.may_go(id, now) {
            return false;
        }
        let Taken { class: of, table_group: group, .. } = self.requests[&id].taken;
        let (class, ready) = (&self.given.classes[of], self.orders.ready());
        // So many of the first fitting are weighed: in a larger fleet a hot group is more for one engine. Many gateways,
        // each with few requests, see no crowd of their own: there a hot group's engines follow its share of the work.
        let all_ours = self.given.gateways * class.threads;
        let many = all_ours > self.given.kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
        let hot = if many { SPREAD * self.asked.share(group, COOL) * ready as f64 } else { 0.0 };
        let few = (ready / 3).clamp(2, 3).max(hot.ceil() as usize);
        let light = self.light(id) && !self.passed_by;
        let mut roomy = self.filed[of].roomy[usize::from(light)].clone();
        // Where no answer ever tells work, a crowd is felt by estimates alone, and may not be there: the even part
        // of all sound cores is ours whatever is felt. If all gateways take theirs, each core has a thread.
        let untold = self.learned[of].work_by_cost.told.weight == 0.0;
        if untold && self.fills(self.threads + class.threads, self.cores) {
            roomy.join(&self.filed[of].even);
        }
        // A request that holds its tables keeps to the order's far half while it has time, clear of its readers.
        let far = self.last_start(&self.requests[&id]) - now > self.run_time(&self.requests[&id]);
        let walk = match class.holds_tables {
            true => self.orders.walk_back(group, roomy, if far { ready.div_ceil(2) } else { ready }),
            false => self.orders.walk(group, roomy, few),
        };
        let engine = |at: usize| &self.engines[at];
        let stalls = class.holds_tables || class.waits_for_holders;
        // Behind a holder of ours it would only stand still, and keep its memory.
        let allowed = |at: usize| {
            self.orders.look();
            self.may_take(id, at, now) && !(stalls && engine(at).holding.contains(&group))
        };
        let best = self.filed[of].trusted.of(&mut |at| walk.covers(&self.orders, at) && allowed(at));
        let trust = Doubt::TRUST * best;
        // One light request at a time, and one a draw, tries an engine in doubt: failures must not draw in more.
        let tries = |engine: &EngineState| light && engine.attempts == 0 && engine.doubt.drawn >= trust;
        let (mut open, mut fitting) = (Vec::new(), Vec::new());
        walk.each(&self.orders, &mut |at| {
            let trusted = allowed(at) && (engine(at).doubt.mean_for(of) >= trust || tries(engine(at)));
            open.extend(Some(at).filter(|_| trusted));
            fitting.extend(Some(at).filter(|_| trusted && engine(at).ledger.fits(grant, now)));
            fitting.len() == few
        });
        // What stood in its way may stand there still. Where ours are none, our peers' decide, then chance.
        let been = |at: usize| self.requests[&id].attempts.iter().any(|attempt| attempt.engine == at);
        let key = |at: &&usize| {
            let EngineState { threads, cores, room, best_pace, .. } = engine(**at);
            let [ours, felt] = [threads / cores, room.peers.with(self.belief, 1.0)].map(rank);
            // Rather one that has answered us: many gateways, each with little traffic, would greet them all.
            let greets = all_ours > *cores && best_pace.is_none();
            (been(**at), ours, greets, felt, mix((self.seed, self.draws, at)))
        };
        let choice = fitting.iter().min_by_key(key);
        let room = |at: &usize| engine(*at).ledger.limit - engine(*at).ledger.granted;
        let roomiest = open.iter().filter(|at| engine(**at).ledger.fits(least, now));
        let roomiest = roomiest.max_by(|a, b| room(a).total_cmp(&room(b)));
        let least = roomiest.map(|&at| (at, least, quarter || least < grant));
        let choice = choice.map(|&at| (at, grant, quarter)).or(least);
        let Some((at, grant, quarter)) = choice else {
            let waits = (!open.is_empty()).then_some(now);
            let request = self.requests.get_mut(&id).expect("a held job");
            request.ledger_held_at = request.ledger_held_at.or(waits);
            return false;
        };
        self.dispatch(now, id, at, grant, quarter, out);
        true
    }

    /// With so many threads of each gateway, each of the cores has one.
    fn fills(&self, threads: f64, cores: f64) -> bool {
        self.given.gateways * threads <= Room::START * cores
    }

    fn has_room(&self, class: usize, engine: &EngineState, light: bool) -> bool {
        let peers = engine.room.peers.with(self.belief, 1.0).max(0.0);
        let threads = self.given.classes[class].threads;
        // Light requests may pass the heavy ones that fill an engine: by more where they cannot make it page.
        let passing = if self.given.pages { 1.5 } else { 2.0 };
        let limit = if light { engine.room.limit * passing } else { engine.room.limit };
        // Reports lag: no gateway takes more than twice its share. Without any, most may come from one.
        let ours = (engine.threads + threads) / engine.cores;
        let share = (2.0 / self.given.gateways).max(if engine.room.tells { 0.0 } else { 0.6 });
        // Where we hold nothing, nothing is told, and a slow spell is felt for long: a light request finds out.
        let finds_out = light && self.given.gateways * threads <= engine.cores;
        // What all send a cold engine is bounded by its budget, and the crowd felt elsewhere is not there.
        engine.attempts == 0 && (finds_out || engine.cold)
            || (engine.attempts == 0 || ours <= share * limit)
                && ours + peers <= limit.max(1.25 * threads / engine.cores)
    }

    fn dispatch(&mut self, now: f64, id: usize, at: usize, grant: f64, quarter: bool, out: &mut dyn Writer) {
        let lane = self.lane(id);
        let (time_out, patience) = (self.time_out(now, id, at), self.patience(&self.requests[&id]));
        let weight = self.usual_work(self.requests[&id].taken.class);
        let leave_by = self.repeats_until(&self.requests[&id]);
        let request = self.requests.get_mut(&id).expect("a held job");
        let class = &self.given.classes[request.taken.class];
        request.ledger_wait += request.ledger_held_at.take().map_or(0.0, |since| now - since);
        if !request.attempts.is_empty() {
            self.repeats.push_back(now);
            self.ahead = self.ahead.map(|left| left.saturating_sub(1));
        }
        request.attempts.push(Attempt {
            engine: at,
            sent: now,
            grant,
            quarter,
            out: true,
            ..Attempt::default()
        });
        self.due.insert((rank(now + patience), Due::Overdue(id, request.attempts.len() - 1)));
        let engine = self.engines.get_mut(at).expect("a listed engine");
        engine.doubt.drawn = 0.0;
        self.threads += class.threads;
        self.unfiled.push(at);
        (engine.threads, engine.attempts) = (engine.threads + class.threads, engine.attempts + 1);
        engine.holding.extend(Some(request.taken.table_group).filter(|_| class.holds_tables));
        engine.ledger.granted += grant;
        engine.ledger.open += 1;
        engine.sent.add(now, weight, self.given.cold.window);
        if self.given.grants || self.given.lanes {
            out.terms(id, lane, if self.given.grants { grant } else { 0.0 });
        }
        out.dispatch(id, at, time_out, leave_by);
    }

    /// Rules 2 to 7, in two parts: every attempt passes both.
    pub fn may_attempt(&self, id: usize, at: usize, now: f64) -> bool {
        self.may_go(id, now) && self.may_take(id, at, now)
    }

    /// Whether the request may be dispatched at all now.
    fn may_go(&self, id: usize, now: f64) -> bool {
        let Some(request) =
            self.requests.get(&id).filter(|request| !request.over && now < request.taken.deadline)
        else {
            return false;
        };
        // Rule 2: no second effect, and one attempt out unless copies are allowed. Rule 5: key order, and the rest after
        // an attempt that may still run.
        if self.retries_exhausted(id, now) || (request.out() && !self.given.copies) || !self.in_turn(id, now)
        {
            return false;
        }
        // Rule 7: the budget of retries.
        if request.attempts.is_empty() {
            return true;
        }
        let budget = self.retry_budget();
        let repeats = self.repeats.len() - self.repeats.partition_point(|&at| at < now - budget.window);
        let taken = self.taken_at.len() - self.taken_at.partition_point(|&at| at <= now - budget.window);
        self.ahead != Some(0) && repeats as f64 + 1.0 <= budget.spare + budget.share * taken as f64
    }

    /// Whether this engine may take the request now.
    fn may_take(&self, id: usize, at: usize, now: f64) -> bool {
        let (Some(request), Some(engine)) = (self.requests.get(&id), self.engines.get(at)) else {
            return false;
        };
        let near = |attempt: &Attempt| {
            let first = &self.engines[attempt.engine].at;
            match self.given.classes[request.taken.class].idempotency {
                Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                    first.zone == engine.at.zone
                }
                Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                    first.cell == engine.at.cell
                }
                _ => true,
            }
        };
        // Rule 3: nothing new to a draining or gone engine. Rule 2: repeats where their idempotency key is known. Rule 6:
        // placement. Rule 4: a cold engine's budget.
        engine.at.stage == Stage::Ready
            && engine.cores > 0.0
            && request.attempts.iter().filter(|attempt| !attempt.never_ran).all(near)
            && self.placed(request.taken.class, engine)
            && self.cold_room(engine, now) >= self.usual_work(request.taken.class)
    }

    fn placed(&self, class: usize, engine: &EngineState) -> bool {
        let of = &self.given.classes[class];
        let among = |only: &Option<Vec<usize>>, this| only.as_ref().is_none_or(|only| only.contains(&this));
        among(&of.only_zones, engine.at.zone) && among(&of.only_kinds, engine.at.kind)
    }

    fn in_turn(&self, id: usize, now: f64) -> bool {
        let request = &self.requests[&id];
        let line = request.taken.key.and_then(|key| self.keys.get(&key));
        line.is_none_or(|line| {
            line.requests.front() == Some(&id) && (!request.attempts.is_empty() || now >= line.rests_until)
        })
    }

    /// Where no budget is stated, we keep one, so that a bad spell does not feed on its own repeats.
    pub fn retry_budget(&self) -> RetryBudget {
        self.given.budget.unwrap_or(RetryBudget { spare: 10.0, share: 0.2, window: 10.0 })
    }

    /// What a request of a class counts for at a cold engine. Until some have told, as much as runs within its
    /// expected time: many gateways that know nothing yet must not all take heavy requests for light ones.
    fn usual_work(&self, class: usize) -> f64 {
        let of = &self.given.classes[class];
        self.learned[class].work.with(of.expected_time * of.threads, 1.0)
    }

    /// The part of its capacity that an engine has by now, if it warms evenly.
    fn warmth(cold: &ColdStart, engine: &EngineState, now: f64) -> f64 {
        let age = engine.at.since.map_or(f64::INFINITY, |since| (now - since).max(0.0));
        (cold.from + (1.0 - cold.from) * age / cold.warm_after.max(1e-9)).min(1.0)
    }

    /// The work that we may still send a cold engine now, if every peer sends its share too.
    fn cold_room(&self, engine: &EngineState, now: f64) -> f64 {
        let warmth = Self::warmth(&self.given.cold, engine, now);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let cold = self.given.cold;
        let known = f64::from(u8::from(now >= self.forgot_at + cold.window));
        let stands = known * cold.multiple * engine.cores * warmth * cold.window * COLD_CAUTION;
        let (sent, share) = (engine.sent.after(now - cold.window), stands / self.given.gateways);
        // Among many gateways no request fits a share: each draws once a window, and all send about LOT of it.
        let draw = mix((self.seed, engine.at.name_hash, (now / cold.window) as u64)) as f64 / u64::MAX as f64;
        let lot = if sent == 0.0 { (LOT * share / draw).min(stands / 4.0) } else { 0.0 };
        // What others say that they sent makes it less, never more: they may be wrong, or have restarted.
        lot.max(share - sent).min(stands - sent - engine.peers_sent)
    }

    /// No attempt can follow, whatever comes.
    fn retries_exhausted(&self, id: usize, now: f64) -> bool {
        let request = &self.requests[&id];
        now >= self.repeats_until(request) || request.attempts.len() as u32 >= self.given.max_attempts
    }

    /// Until when an attempt may leave, by the earlier ones that may have run.
    fn repeats_until(&self, request: &Request) -> f64 {
        let (lasts, lasts_elsewhere) = match self.given.classes[request.taken.class].idempotency {
            Idempotency::Idempotent => return f64::INFINITY,
            Idempotency::NonIdempotent => (f64::NEG_INFINITY, f64::NEG_INFINITY),
            Idempotency::Deduplicated { window, scope: DeduplicationScope::All } => {
                (window - EDGE, window - EDGE)
            }
            // Of one under another request only the time is known, not where it ran.
            Idempotency::Deduplicated { window, .. } => (window - EDGE, f64::NEG_INFINITY),
        };
        let ran =
            request.attempts.iter().filter(|attempt| !attempt.never_ran).map(|attempt| attempt.sent + lasts);
        ran.chain(request.taken.earlier.map(|sent| sent + lasts_elsewhere)).fold(f64::INFINITY, f64::min)
    }

    /// Sees to it that a held request is looked at when no attempt can follow any more.
    fn expires(&mut self, id: usize) {
        let until = self.repeats_until(&self.requests[&id]);
        self.due.extend((until < f64::INFINITY).then_some((rank(until), Due::Expired(id))));
    }

    /// When to come back, no later than clients follow: with tenants, once the line would take the request.
    /// Spread by chance, so that those that are rejected together do not return as one.
    fn advice(&mut self, now: f64, id: usize) -> Option<f64> {
        let (most, request) = (self.given.advice?, &self.requests[&id]);
        let wait = self.line.wait_for(request.taken.tenant, request.work, now).filter(|_| self.line.parted());
        self.draws += u64::from(wait.is_some());
        let spread = 0.8 + 0.4 * mix((self.seed, self.draws)) as f64 / u64::MAX as f64;
        Some(wait.map_or(most, |wait| (spread * wait.expected).clamp(most / 10.0, most)))
    }

    /// Rule 1: the one place where a request gets its answer from us.
    fn end(&mut self, now: f64, id: usize, out: &mut dyn Writer) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.over) else { return };
        let (unseen, earlier) =
            (request.attempts.iter().all(|attempt| attempt.never_ran), request.taken.earlier);
        let harmless = match self.given.classes[request.taken.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, window } => {
                earlier.is_none_or(|sent| now < sent + window)
            }
            _ => unseen && earlier.is_none(),
        };
        if harmless {
            let advice = self.advice(now, id);
            out.reject(id, advice);
        } else {
            out.fail(id);
        }
        self.request_withdrawn(id);
    }

    /// The request is over, by our answer or without it.
    pub fn request_withdrawn(&mut self, id: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.over = true;
        self.line.leave(id);
        self.due.remove(&(rank(request.taken.deadline), Due::Deadline(id)));
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: usize) {
        let Some(request) = self.requests.get(&id).filter(|request| request.over && !request.out()) else {
            return;
        };
        if let Some(line) = request.taken.key.and_then(|key| self.keys.get_mut(&key)) {
            line.requests.retain(|&other| other != id);
        }
        self.requests.remove(&id);
    }

    /// Much credit for its work, as requests go.
    fn light(&self, id: usize) -> bool {
        self.requests[&id].density >= self.density.or(0.0)
    }

    fn lane(&self, id: usize) -> u8 {
        // Whatever stands still behind a holder of tables waits for as long as it runs: it goes fast.
        let holds = self.given.classes[self.requests[&id].taken.class].holds_tables;
        1 + (2 * u8::from(self.light(id))).max(u8::from(holds))
    }

    fn run_time(&self, request: &Request) -> f64 {
        let threads = self.given.classes[request.taken.class].threads;
        request.work / threads * self.learned[request.taken.class].pace()
    }

    /// When an attempt is overdue, even if the request outgrew its estimate as far as such requests do.
    fn patience(&self, request: &Request) -> f64 {
        let scatter = self.learned[request.taken.class].work_by_cost.scatter;
        let outgrown = request.taken.cost.map_or(2.0, |_| scatter.or(0.5).exp());
        0.5 * self.quick + 2.0 * outgrown * self.run_time(request)
    }

    fn last_start(&self, request: &Request) -> f64 {
        request.expected_at - self.run_time(request)
    }

    /// So long that, should it pass unanswered, an attempt elsewhere may still come in time.
    /// Where the work goes on all the same, only an engine in doubt is not worth waiting for.
    fn time_out(&self, now: f64, id: usize, at: usize) -> Option<f64> {
        let request = &self.requests[&id];
        if !self.given.cancel && self.engines[at].doubt.mean() > Doubt::TRUST {
            return None;
        }
        let slow = (self.median / self.learned[request.taken.class].pace()).max(1.0);
        let (run, left) = (self.run_time(request) * slow, request.taken.deadline - now);
        let early = (2.8 * run + 0.1 * self.quick).max(0.5 * (request.expected_at - now));
        // A request that holds its tables stands behind others that do, and would lose its place.
        let holds = self.given.classes[request.taken.class].holds_tables;
        let wait = if holds {
            (2.0 * self.patience(request)).max(request.expected_at - now - 1.5 * run)
        } else {
            early
        };
        (wait + run < left && request.attempts.len() + 1 < self.given.max_attempts as usize).then_some(wait)
    }

    /// A held request that can't come in time: rejected, unless what it earns late beats the work that waits.
    fn too_late(&mut self, now: f64, id: usize, out: &mut dyn Writer) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.over && !request.out()) else {
            return;
        };
        let late = request.density * self.given.classes[request.taken.class].late_share;
        let last = request.taken.deadline - self.run_time(request);
        if late >= self.density.or(0.0) && now < last - 0.05 {
            self.due.insert((rank(last), Due::TooLate(id)));
            return;
        }
        self.turns_back(now, id, out);
    }

    fn turns_back(&mut self, now: f64, id: usize, out: &mut dyn Writer) {
        if self.turning_back.replace(now).is_none() {
            let (held, density) = (self.line.len(), self.requests[&id].density);
            self.log.push(format!("turning back: {held} held, credit for work {density:.2}"));
        }
        self.end(now, id, out);
    }

    /// An attempt is out for too long, and its engine has answered nothing since: counted again while it lasts.
    fn overdue(&mut self, now: f64, id: usize, index: usize, out: &mut dyn Writer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (over, number, attempt) = (request.over, index as u32, &mut request.attempts[index]);
        let engine =
            self.engines.get_mut(attempt.engine).filter(|one| attempt.out && one.last_answer < attempt.sent);
        let Some(engine) = engine else { return };
        engine.doubt.add(request.taken.class, 0.0, 1.0, 1.0);
        self.unfiled.push(attempt.engine);
        self.due.insert((rank(now + 2.0), Due::Overdue(id, index)));
        if self.given.cancel && !over && !attempt.cancelled && engine.doubt.mean() < 0.5 {
            attempt.cancelled = true;
            out.cancel(id, number);
        }
    }
}

#[cfg(test)]
mod tests;
