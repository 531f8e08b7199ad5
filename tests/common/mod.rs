//! A host for one gateway: it hands events to the gateway on a clock of its own, and records the actions that are written.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use cleatgw::*;

#[derive(Clone, Debug, PartialEq)]
pub enum WrittenAction {
    Attempt { request: usize, engine: usize, grant: f64, lane: u8 },
    Cancel(usize),
    Reject(usize),
    Fail(usize),
    Watch,
}

#[derive(Default)]
pub struct ActionRecorder {
    pub actions: Vec<(f64, WrittenAction)>,
    pub log: Vec<String>,
    /// Of each attempt.
    pub time_outs: Vec<Option<f64>>,
    pub leave_by: Vec<f64>,
    /// Of each request rejected.
    pub retry_after: Vec<Option<f64>>,
    now: f64,
    terms: (u8, f64),
}

impl ActionRecorder {
    fn record(&mut self, action: WrittenAction) {
        self.actions.push((self.now, action));
    }
}

impl ActionWriter for ActionRecorder {
    fn set_priority_and_memory(&mut self, _request: usize, lane: u8, memory_mb: f64) {
        self.terms = (lane, memory_mb);
    }
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64) {
        self.time_outs.push(time_out);
        self.leave_by.push(leave_by);
        let (lane, grant) = self.terms;
        self.record(WrittenAction::Attempt { request, engine, grant, lane });
    }
    fn cancel(&mut self, request: usize, _attempt: u32) {
        self.record(WrittenAction::Cancel(request));
    }
    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        self.retry_after.push(retry_after);
        self.record(WrittenAction::Reject(request));
    }
    fn fail(&mut self, request: usize) {
        self.record(WrittenAction::Fail(request));
    }
    fn watch_engine_list(&mut self, _on: bool) {
        self.record(WrittenAction::Watch);
    }
    fn fetch_engine_list(&mut self) {}
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
pub fn two_class_deployment() -> Deployment {
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

pub struct TestHost {
    pub gateway: Gateway,
    pub recorder: ActionRecorder,
    pub now: f64,
    pub next_request: usize,
}

impl TestHost {
    pub fn new(deployment: Deployment, engines: usize) -> TestHost {
        TestHost::seeded(deployment, engines, 7)
    }

    pub fn seeded(deployment: Deployment, engines: usize, seed: u64) -> TestHost {
        let gateway = Gateway::new(deployment, seed, 100.0);
        let mut host = TestHost { gateway, recorder: ActionRecorder::default(), now: 100.0, next_request: 0 };
        let listings: Vec<EngineListing> = (0..engines).map(listing).collect();
        host.gateway.engines_listed(100.0, &listings, true);
        host
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
        self.recorder.now = self.now;
        self.gateway.round(self.now, &mut self.recorder);
    }

    /// Lets time pass in small rounds.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.05).min(end);
            self.round();
        }
    }

    pub fn attempt_ended(&mut self, request: usize, ending: AttemptOutcome, spent: f64) {
        self.end(request, ending, spent, None, LoadReport::default());
    }

    /// Completed by an engine that tells how many requests it holds.
    pub fn completed_with_load(&mut self, request: usize, spent: f64, requests: f64) {
        self.end(
            request,
            AttemptOutcome::Completed,
            spent,
            None,
            LoadReport { requests: Some(requests), ..LoadReport::default() },
        );
    }

    /// Completed, and told what it needed.
    pub fn completed_with_cost(&mut self, request: usize, spent: f64, work: f64, memory: f64) {
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
        let of = |what: &WrittenAction| match *what {
            WrittenAction::Attempt { request, engine, .. } if request == id => Some(engine),
            _ => None,
        };
        self.recorder.actions.iter().filter_map(|(_, what)| of(what)).collect()
    }

    pub fn grant_of(&self, id: usize) -> f64 {
        let of = |what: &WrittenAction| match *what {
            WrittenAction::Attempt { request, grant, .. } if request == id => Some(grant),
            _ => None,
        };
        self.recorder.actions.iter().rev().find_map(|(_, what)| of(what)).expect("it was pushed")
    }

    /// The answers a request got from us, with their times.
    pub fn answers(&self, request: usize) -> Vec<(f64, WrittenAction)> {
        let ends = [WrittenAction::Reject(request), WrittenAction::Fail(request)];
        self.recorder.actions.iter().filter(|(_, what)| ends.contains(what)).cloned().collect()
    }

    pub fn logged(&self, words: &str) -> bool {
        self.recorder.log.iter().any(|line| line.contains(words))
    }
}

pub fn listing(engine: usize) -> EngineListing {
    EngineListing { engine, name_hash: 1000 + engine as u64, ..EngineListing::default() }
}
