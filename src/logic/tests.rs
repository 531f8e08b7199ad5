//! Choices by the index against a plain walk over all engines, over long random stories; and what a choice looks at.

use super::*;
use cleatgw_queue::Terms;

#[derive(Default)]
struct Book {
    attempts: Vec<(usize, usize)>,
}

impl Writer for Book {
    fn terms(&mut self, _: usize, _: u8, _: f64) {}
    fn dispatch(&mut self, request: usize, engine: usize, _: Option<f64>, _: f64) {
        self.attempts.push((request, engine));
    }
    fn cancel(&mut self, _: usize, _: u32) {}
    fn reject(&mut self, _: usize, _: Option<f64>) {}
    fn fail(&mut self, _: usize) {}
    fn watch(&mut self, _: bool) {}
    fn fetch(&mut self) {}
    fn probe(&mut self, _: usize) {}
    fn close(&mut self, _: usize) {}
    fn tell(&mut self, _: Option<usize>, _: &[u8]) {}
    fn wake(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

/// The choice that a walk over all engines makes, as the module made it before it had an index.
fn plain_walk(gateway: &mut Gateway, now: f64, id: usize) -> Option<(usize, f64)> {
    let (grant, least, _) = gateway.grant(id);
    let gateway = &*gateway;
    let request = &gateway.requests[&id];
    let (group, of) = (request.taken.table_group, request.taken.class);
    let ready = gateway.engines.iter().enumerate();
    let ready = ready.filter(|(_, engine)| engine.at.stage == Stage::Ready && engine.cores > 0.0);
    let ready = ready.map(|(at, engine)| (mix((engine.at.name_hash, group)), at));
    let mut open: Vec<usize> = ready.collect::<BTreeSet<_>>().into_iter().map(|(_, at)| at).collect();
    let class = &gateway.given.classes[of];
    let (engines, all_ours) = (open.len() as f64, gateway.given.gateways * class.threads);
    let many = all_ours > gateway.given.kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
    let hot = if many { SPREAD * gateway.asked.share(group, COOL) * engines } else { 0.0 };
    let few = (open.len() / 3).clamp(2, 3).max(hot.ceil() as usize);
    if class.holds_tables {
        open.reverse();
        let far = gateway.last_start(request) - now > gateway.run_time(request);
        open.truncate(if far { open.len().div_ceil(2) } else { open.len() });
    }
    let stalls = class.holds_tables || class.waits_for_holders;
    let light = gateway.light(id) && !gateway.passed_by;
    let engine = |at: &usize| &gateway.engines[*at];
    open.retain(|at| gateway.may_attempt(id, *at, now) && !(stalls && engine(at).holding.contains(&group)));
    let mean = |at: &usize| engine(at).doubt.mean_for(of);
    let trust = Doubt::TRUST * open.iter().map(mean).fold(0.0, f64::max);
    let tries = |engine: &EngineState| light && engine.attempts == 0 && engine.doubt.drawn >= trust;
    open.retain(|at| mean(at) >= trust || tries(engine(at)));
    let even = gateway.learned[of].work_by_cost.told.weight == 0.0
        && gateway.fills(gateway.threads + class.threads, gateway.cores);
    let alone = |at: &usize| {
        let engine = engine(at);
        !engine.room.tells
            && (engine.attempts == 0 || gateway.fills(engine.threads + class.threads, engine.cores))
    };
    open.retain(|at| gateway.has_room(of, engine(at), light) || even && alone(at));
    let been = |at: &usize| request.attempts.iter().any(|attempt| attempt.engine == *at);
    let key = |at: &&usize| {
        let peers = engine(at).room.peers.with(gateway.belief, 1.0);
        let [ours, felt] = [engine(at).threads / engine(at).cores, peers].map(rank);
        let greets = all_ours > engine(at).cores && engine(at).best_pace.is_none();
        (been(at), ours, greets, felt, mix((gateway.seed, gateway.draws + 1, at)))
    };
    let choice = open.iter().filter(|at| engine(at).ledger.fits(grant, now)).take(few).min_by_key(key);
    let room = |at: &usize| engine(at).ledger.limit - engine(at).ledger.granted;
    let roomiest = open.iter().filter(|at| engine(at).ledger.fits(least, now));
    let roomiest = roomiest.max_by(|a, b| room(a).total_cmp(&room(b))).map(|&at| (at, least));
    choice.map(|&at| (at, grant)).or(roomiest)
}

fn class(credit: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        credit,
        late_share: 0.2,
        expected_time: 1.0,
        longest: f64::INFINITY,
        stretch: 2.0,
        threads,
        idempotency,
        in_key_order: false,
        holds_tables: false,
        waits_for_holders: true,
        only_zones: None,
        only_kinds: None,
    }
}

/// Light, heavy, holding and confined requests, before engines of two kinds in three zones.
fn deployment(gateways: f64, tells: bool) -> Deployment {
    let all = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 5.0 };
    let near = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 5.0 };
    let mut classes = vec![
        class(1.0, 1.0, Idempotency::Idempotent),
        class(8.0, 3.0, Idempotency::Idempotent),
        class(6.0, 2.0, all),
        class(2.0, 1.0, near),
    ];
    classes[2].holds_tables = true;
    classes[2].in_key_order = true;
    classes[3].only_zones = Some(vec![0, 2]);
    classes[1].only_kinds = if tells { Some(vec![1]) } else { None };
    Deployment {
        gateways,
        classes,
        kinds: vec![Kind { cores: 8.0, memory_mb: 6000.0 }, Kind { cores: 16.0, memory_mb: 9000.0 }],
        largest_share: 0.5,
        grants: true,
        trims: tells,
        pages: !tells,
        lanes: true,
        cancel: true,
        copies: false,
        max_attempts: 4,
        cold: ColdStart { from: 0.3, warm_after: 6.0, multiple: 2.0, window: 1.0 },
        budget: Some(RetryBudget { spare: 30.0, share: 0.3, window: 5.0 }),
        key_rest: 0.5,
        ..Deployment::default()
    }
}

struct Story {
    gateway: Gateway,
    book: Book,
    now: f64,
    draws: u64,
    seed: u64,
    engines: Vec<Listing>,
    names: u64,
    requests: usize,
    tells: bool,
    /// Choices that were compared, and what took effect in them.
    choices: usize,
    held: usize,
    roomiest: usize,
    seen: usize,
}

impl Story {
    fn new(engines: usize, gateways: f64, tells: bool, seed: u64) -> Story {
        let mut story = Story {
            gateway: Gateway::new(deployment(gateways, tells), seed, 0.0),
            book: Book::default(),
            now: 0.0,
            draws: 0,
            seed,
            engines: Vec::new(),
            names: 0,
            requests: 0,
            tells,
            choices: 0,
            held: 0,
            roomiest: 0,
            seen: 0,
        };
        (0..engines).for_each(|at| story.enters(at, None));
        story.gateway.engines_listed(0.0, &story.engines.clone(), true);
        story
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (mix((self.seed, "story", self.draws)) % below as u64) as usize
    }

    /// A new engine takes this index.
    fn enters(&mut self, at: usize, since: Option<f64>) {
        self.names += 1;
        let listing = Listing {
            engine: at,
            name_hash: mix(self.names),
            zone: at % 3,
            kind: at % 2,
            cell: (at % 4) as u64,
            since,
            stage: Stage::Ready,
        };
        if at == self.engines.len() {
            self.engines.push(listing);
        } else {
            self.engines[at] = listing;
        }
    }

    fn list_changes(&mut self) {
        let at = self.draw(self.engines.len());
        let now = self.now;
        match self.draw(5) {
            0 => self.engines[at].stage = Stage::Draining,
            1 => self.engines[at].stage = Stage::Gone,
            2 => self.engines[at].stage = Stage::Ready,
            3 => self.enters(at, Some(now)),
            _ => self.enters(self.engines.len(), Some(now)),
        }
        let at = at.min(self.engines.len() - 1);
        let last = self.engines.len() - 1;
        let whole = self.draw(20) == 0;
        let listings = if whole { self.engines.clone() } else { vec![self.engines[at], self.engines[last]] };
        self.gateway.engines_listed(self.now, &listings, whole);
    }

    fn takes(&mut self, groups: usize) {
        let class = [0, 0, 0, 1, 2, 3][self.draw(6)];
        let cost = [0.05, 1.0, 0.6, 0.1][class] * (1 + self.draw(8)) as f64 / 4.0;
        let taken = Taken {
            class,
            key: Some(self.draw(50) as u64),
            table_group: self.draw(groups) as u64,
            cost: Some(cost),
            memory_mb: Some(200.0 * (1 + self.draw(20)) as f64),
            deadline: self.now + 4.0,
            ..Taken::default()
        };
        self.gateway.request_received(self.now, self.requests, taken);
        self.requests += 1;
    }

    /// One of those that are out ends.
    fn ends(&mut self) {
        if self.book.attempts.is_empty() {
            return;
        }
        let which = self.draw(self.book.attempts.len());
        let (request, engine) = self.book.attempts.swap_remove(which);
        // A third of the engines breaks what it gets.
        let bad = [Ending::Erred, Ending::Unreached, Ending::Full, Ending::Broken, Ending::TimedOut];
        let ending = match engine % 3 {
            0 => bad[self.draw(5)],
            _ => Ending::Completed,
        };
        let spent = 0.05 * (1 + self.draw(30)) as f64;
        let told = (self.tells && ending == Ending::Completed).then_some((spent * 0.7, 300.0));
        let load = Load {
            requests: self.tells.then_some(self.draw(30) as f64),
            memory_waits: (self.draw(30) == 0).then_some(1.0),
            memory_granted: (self.draw(10) == 0).then_some(1.0),
        };
        let request_done = ending == Ending::Completed;
        self.gateway.attempt_ended(
            self.now,
            &AttemptEnd { request, engine, ending, request_done, spent, told, load },
        );
    }

    /// Requests are tried as `dispatch_queued` tries them, each choice beside the plain walk's.
    fn compare(&mut self) {
        let gateway = &mut self.gateway;
        let mut failures = 0;
        while failures < 12 {
            let Some(id) = gateway.line.next(self.now) else { break };
            gateway.passed_by = failures > 0 && gateway.line.parted();
            if !gateway.in_turn(id, self.now) || gateway.retries_exhausted(id, self.now) {
                continue;
            }
            let expected = plain_walk(gateway, self.now, id);
            let dispatched = self.book.attempts.len();
            let placed = gateway.place(self.now, id, &mut self.book);
            let found = self.book.attempts[dispatched..].first().map(|(_, engine)| *engine);
            assert_eq!(found, expected.map(|(at, _)| at), "job {id} at {}, seed {}", self.now, self.seed);
            if let Some((_, grant)) = expected {
                let attempt = gateway.requests[&id].attempts.last().expect("it was pushed");
                assert_eq!(attempt.grant, grant, "job {id}");
                self.roomiest += usize::from(attempt.quarter);
            }
            self.choices += 1;
            self.held += usize::from(!placed);
            match placed {
                true => gateway.line.went(id, self.now),
                false => failures += 1,
            }
        }
        gateway.line.put_back(self.now);
    }

    fn plays(&mut self, steps: usize, groups: usize, load: usize, list: usize) {
        for _ in 0..steps {
            for _ in 0..self.draw(load) {
                self.takes(groups);
            }
            for _ in 0..self.draw(load) {
                self.ends();
            }
            if list > 0 && self.draw(list) == 0 {
                self.list_changes();
            }
            if self.draw(20) == 0 {
                let (at, bad) = (self.draw(self.engines.len()), self.draw(9) as f64);
                self.gateway.peers_say(at, Met { good: 1.0, bad, sent: 0.1 });
            }
            self.compare();
            self.seen += self.book.attempts.len();
            self.gateway.round(self.now, &mut self.book);
            self.now += 0.01 * self.draw(10) as f64;
        }
    }
}

#[test]
fn the_index_finds_what_a_walk_over_all_engines_finds() {
    let (mut choices, mut held, mut quarters) = (0, 0, 0);
    for seed in 0..12 {
        let engines = [3, 9, 40, 130][seed as usize % 4];
        let gateways = [1.0, 6.0, 40.0][seed as usize % 3];
        let mut story = Story::new(engines, gateways, seed % 2 == 0, seed);
        story.plays(700, [3, 40, 400][seed as usize % 3], 8, [4, 1][seed as usize % 2]);
        choices += story.choices;
        held += story.held;
        quarters += story.roomiest;
        assert!(story.seen > 0 && story.choices > 200, "seed {seed}: {} choices", story.choices);
    }
    assert!(choices > 15_000 && held > 1_000 && quarters > 100, "{choices} choices, {held} held, {quarters}");
}

/// With tenants a heavy request whose turn came before keeps light ones from passing.
#[test]
fn the_index_finds_the_same_with_tenants() {
    let mut story = Story::new(30, 3.0, true, 77);
    let tenant = Terms { parent: 0, weight: 1.0, ..Terms::default() };
    story
        .gateway
        .tenants(0.0, Line::new(vec![Terms::default(), tenant.clone(), tenant], 0.0), &|id| 1 + id % 2);
    story.plays(700, 20, 8, 10);
    assert!(story.choices > 1_000 && story.held > 100, "{} {}", story.choices, story.held);
}

/// How many engines a request's choice looks at, in a fleet of so many whose requests read so many table groups alike.
fn looks(engines: usize, groups: usize, bad: bool, changes: usize) -> f64 {
    let mut story = Story::new(engines, (engines * 550 / 690) as f64, true, 5);
    let (mut took, mut before) = (0, 0);
    // The first half sees each group some times, so that its order is known.
    let steps = 3000.max(10 * groups);
    for step in 0..steps {
        if step == steps / 2 {
            (took, before) = (0, story.gateway.orders.looked());
        }
        let taken = Taken {
            table_group: story.draw(groups) as u64,
            cost: Some(0.02),
            memory_mb: Some(50.0),
            deadline: story.now + 2.0,
            ..Taken::default()
        };
        story.gateway.request_received(story.now, story.requests, taken);
        (story.requests, took) = (story.requests + 1, took + 1);
        story.gateway.round(story.now, &mut story.book);
        while story.book.attempts.len() > 10 {
            let (request, engine) = story.book.attempts.remove(0);
            let ending = if bad && engine % 3 == 0 { Ending::Broken } else { Ending::Completed };
            let told = (ending == Ending::Completed).then_some((0.02, 50.0));
            let load = Load { requests: Some(1.0), ..Load::default() };
            let request_done = ending == Ending::Completed;
            let end = AttemptEnd { request, engine, ending, request_done, spent: 0.03, told, load };
            story.gateway.attempt_ended(story.now, &end);
        }
        if changes > 0 && step % changes == 0 {
            let at = story.draw(engines);
            story.enters(at, None);
            let listing = story.engines[at];
            story.gateway.engines_listed(story.now, &[listing], false);
        }
        story.now += 0.0003;
    }
    (story.gateway.orders.looked() - before) as f64 / f64::from(took)
}

/// Counts, not clocks: with twenty-three times the engines a choice looks at no more than three times as many, and twice those
/// by which its table group's share widens it.
#[test]
fn what_a_choice_looks_at_does_not_grow_with_the_fleet() {
    const GROUPS: usize = 100;
    for (bad, changes) in [(false, 0), (true, 0), (false, 10), (true, 10)] {
        let [few, many] = [30, 690].map(|engines| looks(engines, GROUPS, bad, changes));
        let wider = SPREAD * 690.0 / GROUPS as f64 - 3.0;
        assert!(few >= 3.0, "{few}: nothing was looked at");
        assert!(
            many <= 3.0 * few + 2.0 * wider && many <= 60.0 + 2.0 * wider,
            "{few} at 30, {many} at 690: bad {bad}, changes {changes}"
        );
    }
}

/// A group's engines are its share of the work, some times over: what a choice looks at follows that, not the fleet.
#[test]
fn what_a_choice_looks_at_follows_its_table_groups_share() {
    for (engines, groups) in [(60, 10), (690, 100), (690, 230)] {
        let width = (SPREAD * engines as f64 / groups as f64).max(3.0);
        let looked = looks(engines, groups, false, 0);
        assert!(looked >= width, "{looked} of {engines} engines for {groups} groups: fewer than {width}");
        assert!(
            looked <= 3.0 * width,
            "{looked} of {engines} engines for {groups} groups: {width} are meant"
        );
    }
}

/// Among many gateways an engine seldom tells anything: what all engines told says how full those are that did not.
#[test]
fn the_room_of_an_engine_that_told_nothing_follows_the_median_pace() {
    let limit_at = |median: f64| {
        let mut gateway = Gateway::new(deployment(40.0, false), 1, 0.0);
        gateway.engines_listed(0.0, &[Listing { engine: 0, name_hash: 1, ..Listing::default() }], true);
        gateway.median = median;
        (1..=20).for_each(|tick| gateway.tick(f64::from(tick) * TICK));
        gateway.engines[0].room.limit
    };
    assert!(limit_at(5.0) < Room::START);
    assert!(limit_at(1.0) >= Room::START);
}
