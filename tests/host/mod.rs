//! One tiny fake host: it hands news to a gateway and keeps what the gateway writes.

use cleatgw::Gateway;
use cleatgw::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Wrote {
    Attempt { request: usize, engine: usize, grant: f64, lane: u8 },
    Cancel(usize),
    Reject(usize),
    Fail(usize),
    Watch,
}

#[derive(Default)]
pub struct Book {
    pub wrote: Vec<(f64, Wrote)>,
    pub log: Vec<String>,
    /// Of each attempt.
    pub time_outs: Vec<Option<f64>>,
    pub leave_by: Vec<f64>,
    /// Of each request rejected.
    pub advice: Vec<Option<f64>>,
    now: f64,
    terms: (u8, f64),
}

impl Book {
    fn note(&mut self, what: Wrote) {
        self.wrote.push((self.now, what));
    }
}

impl ActionWriter for Book {
    fn set_terms(&mut self, _request: usize, lane: u8, memory_mb: f64) {
        self.terms = (lane, memory_mb);
    }
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64) {
        self.time_outs.push(time_out);
        self.leave_by.push(leave_by);
        let (lane, grant) = self.terms;
        self.note(Wrote::Attempt { request, engine, grant, lane });
    }
    fn cancel(&mut self, request: usize, _attempt: u32) {
        self.note(Wrote::Cancel(request));
    }
    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        self.advice.push(retry_after);
        self.note(Wrote::Reject(request));
    }
    fn fail(&mut self, request: usize) {
        self.note(Wrote::Fail(request));
    }
    fn watch_list(&mut self, _on: bool) {
        self.note(Wrote::Watch);
    }
    fn fetch_list(&mut self) {}
    fn probe(&mut self, _engine: usize) {}
    fn close_idle(&mut self, _engine: usize) {}
    fn send_to_peers(&mut self, _peer: Option<usize>, _content: &[u8]) {}
    fn wake_at(&mut self, _at: f64) {}
    fn log(&mut self, line: &str) {
        self.log.push(line.to_string());
    }
}

pub fn class(credit: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        value: credit,
        late_value_share: 0.0,
        latency_objective: 2.0,
        max_wait: f64::INFINITY,
        objective_stretch: 2.0,
        threads,
        idempotency,
        in_key_order: false,
        locks_tables: false,
        waits_for_table_locks: true,
        allowed_zones: None,
        allowed_kinds: None,
    }
}

/// One gateway; light requests are class 0, heavy ones 1, both pure.
pub fn plain() -> Deployment {
    Deployment {
        gateways: 1.0,
        classes: vec![class(1.0, 1.0, Idempotency::Idempotent), class(5.0, 4.0, Idempotency::Idempotent)],
        engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 8000.0 }],
        max_memory_share: 0.5,
        honours_grants: true,
        has_priority_lanes: true,
        max_attempts: 3,
        slow_start: SlowStart { initial_share: 0.3, duration: 10.0, overload_multiple: 2.0, window: 2.0 },
        ..Deployment::default()
    }
}

pub struct World {
    pub gateway: Gateway,
    pub book: Book,
    pub now: f64,
    pub next_request: usize,
}

impl World {
    pub fn new(deployment: Deployment, engines: usize) -> World {
        World::seeded(deployment, engines, 7)
    }

    pub fn seeded(deployment: Deployment, engines: usize, seed: u64) -> World {
        let gateway = Gateway::new(deployment, seed, 100.0);
        let mut world = World { gateway, book: Book::default(), now: 100.0, next_request: 0 };
        let listings: Vec<EngineListing> = (0..engines).map(listing).collect();
        world.gateway.engines_listed(100.0, &listings, true);
        world
    }

    pub fn request(&mut self, class: usize, change: impl Fn(&mut IncomingRequest)) -> usize {
        let cost = Some(if class == 0 { 0.1 } else { 4.0 });
        let memory_mb = Some(if class == 0 { 50.0 } else { 1000.0 });
        let deadline = self.now + 10.0;
        let mut taken = IncomingRequest {
            class,
            estimated_work: cost,
            estimated_memory_mb: memory_mb,
            deadline,
            ..IncomingRequest::default()
        };
        change(&mut taken);
        self.gateway.request_received(self.now, self.next_request, taken);
        self.next_request += 1;
        self.next_request - 1
    }

    pub fn round(&mut self) {
        self.book.now = self.now;
        self.gateway.round(self.now, &mut self.book);
    }

    /// Lets time pass in small rounds.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.05).min(end);
            self.round();
        }
    }

    pub fn over(&mut self, request: usize, ending: AttemptOutcome, spent: f64) {
        self.end(request, ending, spent, None, LoadReport::default());
    }

    /// Completed by an engine that tells how many requests it holds.
    pub fn report(&mut self, request: usize, spent: f64, requests: f64) {
        self.end(
            request,
            AttemptOutcome::Completed,
            spent,
            None,
            LoadReport { requests: Some(requests), ..LoadReport::default() },
        );
    }

    /// Completed, and told what it needed.
    pub fn tell(&mut self, request: usize, spent: f64, work: f64, memory: f64) {
        self.end(
            request,
            AttemptOutcome::Completed,
            spent,
            Some(MeasuredCost { work, memory_mb: memory }),
            LoadReport::default(),
        );
    }

    fn end(
        &mut self,
        request: usize,
        ending: AttemptOutcome,
        spent: f64,
        measured: Option<MeasuredCost>,
        load: LoadReport,
    ) {
        let engine = self.engines_of(request).pop().expect("it was pushed");
        let request_done = ending == AttemptOutcome::Completed;
        let end =
            AttemptEnd { request, engine, outcome: ending, request_done, elapsed: spent, measured, load };
        self.gateway.attempt_ended(self.now, &end);
    }

    /// Where a request was dispatched, in turn.
    pub fn engines_of(&self, id: usize) -> Vec<usize> {
        let of = |what: &Wrote| match *what {
            Wrote::Attempt { request, engine, .. } if request == id => Some(engine),
            _ => None,
        };
        self.book.wrote.iter().filter_map(|(_, what)| of(what)).collect()
    }

    pub fn grant_of(&self, id: usize) -> f64 {
        let of = |what: &Wrote| match *what {
            Wrote::Attempt { request, grant, .. } if request == id => Some(grant),
            _ => None,
        };
        self.book.wrote.iter().rev().find_map(|(_, what)| of(what)).expect("it was pushed")
    }

    /// The answers a request got from us, with their times.
    pub fn answers(&self, request: usize) -> Vec<(f64, Wrote)> {
        let ends = [Wrote::Reject(request), Wrote::Fail(request)];
        self.book.wrote.iter().filter(|(_, what)| ends.contains(what)).cloned().collect()
    }

    pub fn logged(&self, words: &str) -> bool {
        self.book.log.iter().any(|line| line.contains(words))
    }
}

pub fn listing(engine: usize) -> EngineListing {
    EngineListing { engine, name_hash: 1000 + engine as u64, ..EngineListing::default() }
}
