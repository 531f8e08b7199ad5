//! A test host for one gateway: it delivers events on a simulated clock and records the actions that the gateway
//! writes.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use cleatgw::*;

#[derive(Clone, Debug, PartialEq)]
pub enum WrittenAction {
    /// A dispatched attempt; `grant` is in MB.
    Attempt {
        request: usize,
        engine: usize,
        grant: f64,
        lane: u8,
    },
    Cancel(usize),
    Reject(usize),
    Fail(usize),
    Watch,
}

#[derive(Default)]
pub struct ActionRecorder {
    /// Each action with the time at which it was written, in seconds.
    pub actions: Vec<(f64, WrittenAction)>,
    pub log: Vec<String>,
    /// Time-out in seconds of each attempt, or `None` for no time-out, in order of dispatch.
    pub time_outs: Vec<Option<f64>>,
    /// Time by which each attempt must have been sent, in order of dispatch.
    pub leave_by: Vec<f64>,
    /// Retry-after advice in seconds given with each rejection, in order.
    pub retry_after: Vec<Option<f64>>,
    now: f64,
    /// Priority lane and memory grant in MB for the next dispatch.
    priority_and_grant: (u8, f64),
}

impl ActionRecorder {
    fn record(&mut self, action: WrittenAction) {
        self.actions.push((self.now, action));
    }
}

impl ActionWriter for ActionRecorder {
    fn set_priority_and_memory(&mut self, _request: usize, lane: u8, memory_mb: f64) {
        self.priority_and_grant = (lane, memory_mb);
    }
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64) {
        self.time_outs.push(time_out);
        self.leave_by.push(leave_by);
        let (lane, grant) = self.priority_and_grant;
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

pub fn class(value: f64, threads: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        value,
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

/// A deployment with one gateway and two idempotent classes: 0 for light requests, 1 for heavy ones.
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

    /// A host whose gateway starts at second 100 with `engines` listed engines.
    pub fn seeded(deployment: Deployment, engines: usize, seed: u64) -> TestHost {
        let gateway = Gateway::new(deployment, seed, 100.0);
        let mut host = TestHost { gateway, recorder: ActionRecorder::default(), now: 100.0, next_request: 0 };
        let listings: Vec<EngineListing> = (0..engines).map(listing).collect();
        host.gateway.engines_listed(100.0, &listings, true);
        host
    }

    /// Hands a new request to the gateway, after `change` has adjusted its defaults, and returns its number. The
    /// estimates are 0.1 core-seconds and 50 MB for class 0, and 4 core-seconds and 1000 MB for others; the deadline is
    /// in 10 s.
    pub fn request(&mut self, class: usize, change: impl Fn(&mut IncomingRequest)) -> usize {
        let estimated_work = Some(if class == 0 { 0.1 } else { 4.0 });
        let memory_mb = Some(if class == 0 { 50.0 } else { 1000.0 });
        let deadline = self.now + 10.0;
        let mut incoming = IncomingRequest {
            class,
            estimated_work,
            estimated_memory_mb: memory_mb,
            deadline,
            ..IncomingRequest::default()
        };
        change(&mut incoming);
        self.gateway.request_received(self.now, self.next_request, incoming);
        self.next_request += 1;
        self.next_request - 1
    }

    pub fn round(&mut self) {
        self.recorder.now = self.now;
        self.gateway.round(self.now, &mut self.recorder);
    }

    /// Advances the clock, with a round of the gateway at least every 50 ms.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.05).min(end);
            self.round();
        }
    }

    /// Reports the end of the request's last attempt, after `elapsed` seconds, without load or measured cost. The clock
    /// does not move.
    pub fn attempt_ended(&mut self, request: usize, outcome: AttemptOutcome, elapsed: f64) {
        self.end_last_attempt(request, outcome, elapsed, None, LoadReport::default());
    }

    /// Completes the request's last attempt, with the engine's report of how many requests it holds.
    pub fn completed_with_load(&mut self, request: usize, elapsed: f64, requests: f64) {
        self.end_last_attempt(
            request,
            AttemptOutcome::Completed,
            elapsed,
            None,
            LoadReport { requests: Some(requests), ..LoadReport::default() },
        );
    }

    /// Completes the request's last attempt, with the measured work (core-seconds) and memory (MB).
    pub fn completed_with_cost(&mut self, request: usize, elapsed: f64, work: f64, memory: f64) {
        self.end_last_attempt(
            request,
            AttemptOutcome::Completed,
            elapsed,
            Some(MeasuredCost { work, memory_mb: memory }),
            LoadReport::default(),
        );
    }

    fn end_last_attempt(
        &mut self,
        request: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
        measured: Option<MeasuredCost>,
        load: LoadReport,
    ) {
        let engine = self.engines_of(request).pop().expect("the request was dispatched");
        let request_done = outcome == AttemptOutcome::Completed;
        let end = AttemptEnd { request, engine, outcome, request_done, elapsed, measured, load };
        self.gateway.attempt_ended(self.now, &end);
    }

    /// The engines to which a request was dispatched, in order.
    pub fn engines_of(&self, id: usize) -> Vec<usize> {
        let engine_of = |action: &WrittenAction| match *action {
            WrittenAction::Attempt { request, engine, .. } if request == id => Some(engine),
            _ => None,
        };
        self.recorder.actions.iter().filter_map(|(_, action)| engine_of(action)).collect()
    }

    /// Memory in MB granted to the request's last attempt.
    pub fn grant_of(&self, id: usize) -> f64 {
        let grant_of = |action: &WrittenAction| match *action {
            WrittenAction::Attempt { request, grant, .. } if request == id => Some(grant),
            _ => None,
        };
        self.recorder
            .actions
            .iter()
            .rev()
            .find_map(|(_, action)| grant_of(action))
            .expect("the request was dispatched")
    }

    /// The rejections and failures with which the gateway answered a request, with their times.
    pub fn answers(&self, request: usize) -> Vec<(f64, WrittenAction)> {
        let answers = [WrittenAction::Reject(request), WrittenAction::Fail(request)];
        self.recorder.actions.iter().filter(|(_, action)| answers.contains(action)).cloned().collect()
    }

    /// Whether a log line contains the text.
    pub fn logged(&self, text: &str) -> bool {
        self.recorder.log.iter().any(|line| line.contains(text))
    }
}

pub fn listing(engine: usize) -> EngineListing {
    EngineListing { engine, name_hash: 1000 + engine as u64, ..EngineListing::default() }
}
