//! Names to indices and back, one state for each request and each attempt: hands a turn's news to the decisions, and
//! carries out what they write. It decides nothing; it only checks that what it does is legal.

mod counters;
mod marks;

use crate::protocol::discovery::{Entry, Event};
use crate::protocol::engine::Ask;
use crate::protocol::statement::{self as statements, ParsedStatement};
use cleatgw::queue::Wait;
use cleatgw::Gateway;
use cleatgw::{
    ActionWriter, AttemptEnd, AttemptOutcome, Deployment, EngineEvidence, EngineListing, EngineStage,
    Idempotency, IncomingRequest, LoadReport, MeasuredCost, SlowStartWork,
};
use cleatgw_deployment_config::{engine_incarnation, flat, index_of, name_hash, Names};
use cleatgw_membership::digest::{self, EngineIncarnation, Observation, PeerEvidence};
use cleatgw_operator_config::{TeamNames, TeamsFile};
use cleatgw_recovery::{Looks, Sent, StillValid};
pub use counters::Counters;
use marks::Marks;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub type SessionId = u32;

/// So many engines of a whole list are named in one line of the log.
const ENGINES_A_LINE: usize = 40;

/// One attempt: its request, and its number among the request's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub request: usize,
    pub number: u32,
}

/// What an engine made of an attempt.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The whole result, and the work (seconds) and memory (MB) that it needed.
    Done {
        rows: Vec<u8>,
        told: Option<(f64, f64)>,
    },
    /// It had no room, and never began.
    Full,
    Erred,
    /// Its time was over before it began.
    TooLate,
}

/// How far an attempt had come that got no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// It did not leave this router, for the router's own reasons.
    NeverSent,
    /// The engine's side did not let it come whole: no connection, or one that ended under it.
    Refused,
    /// It went out whole, and may have run.
    Sent,
    AnsweredInPart,
}

pub type Outcome = Result<Reply, Failure>;

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Completed(Vec<u8>),
    Rejected {
        retry_after: Option<f64>,
    },
    Failed,
    /// None is owed: the client gave the request up.
    Withdrawn,
}

/// What routing asks of the connections.
pub trait Peers {
    fn answer(&mut self, session: SessionId, answer: Answer);
    /// Attempts, as long as that can leave by then; else it is over, and never left.
    fn dispatch(&mut self, attempt: AttemptId, engine: u64, address: SocketAddr, ask: &Ask, leave_by: f64);
    fn change_lane(&mut self, attempt: AttemptId, lane: u8);
    /// Gives an attempt up. How far it had come is news once its engine has let go of it, or had time to.
    fn give_up(&mut self, attempt: AttemptId);
    /// Closes the connections to an engine that carry nothing.
    fn close_idle(&mut self, engine: u64);
    /// What still waits for a connection to an engine does not leave any more: it drains, or has gone.
    fn call_back(&mut self, engine: u64);
}

/// One engine on the list. Its number is its own for good; its index goes to another once it has gone.
struct Engine {
    uid: String,
    number: u64,
    address: SocketAddr,
    listing: EngineListing,
}

enum AttemptState {
    /// Given up for that reason, it is out until its end has come.
    Out {
        engine: usize,
        sent: f64,
        until: f64,
        given_up: Option<AttemptOutcome>,
    },
    Over,
}

enum RequestState {
    Open { session: SessionId },
    Over,
}

struct Request {
    statement: ParsedStatement,
    state: RequestState,
    deadline: f64,
    /// An answer by then is in time, as the deployment states it.
    expected_at: f64,
    lane: u8,
    grant_mb: f64,
    attempts: Vec<AttemptState>,
    /// Its idempotency key's hash, where its class has idempotency keys.
    mark: Option<u64>,
}

impl Request {
    fn out(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt, AttemptState::Out { .. }))
    }
}

/// All that the decisions' words are carried out on.
#[derive(Default)]
struct Desk {
    now: f64,
    engines: Vec<Engine>,
    requests: HashMap<usize, Request>,
    request_of: HashMap<SessionId, usize>,
    /// The ids of requests that are open.
    ids: HashSet<String>,
    /// When each attempt that is out has waited long enough.
    due: BTreeSet<(u64, AttemptId)>,
    /// Ends brought about by decisions: news of the next turn.
    later: Vec<(AttemptId, AttemptOutcome)>,
    wake: f64,
    deployment: Deployment,
    counters: Counters,
    /// Requests that may have run, where something is kept over restarts; grows with each change of what is kept.
    marks: Option<Marks>,
    changes: u64,
}

pub struct Routing {
    gateway: Gateway,
    names: Names,
    seed: u64,
    desk: Desk,
    /// Clients that asked in this turn, and whose requests are not taken yet.
    untaken: VecDeque<SessionId>,
    /// Who shares the engines, and which line a name stands in.
    tenants: Option<(TeamsFile, TeamNames)>,
    next_request: usize,
    next_engine: u64,
    stops_at: f64,
    /// When its drain began.
    drained_at: Option<f64>,
    listed: bool,
}

fn order(time: f64) -> u64 {
    time.max(0.0).to_bits()
}

fn ending(outcome: &Outcome) -> AttemptOutcome {
    match outcome {
        Ok(Reply::Done { .. }) => AttemptOutcome::Completed,
        Ok(Reply::Full) => AttemptOutcome::EngineFull,
        Ok(Reply::Erred) => AttemptOutcome::EngineError,
        Ok(Reply::TooLate) | Err(Failure::NeverSent) => AttemptOutcome::NeverSent,
        Err(Failure::Refused) => AttemptOutcome::Unreachable,
        Err(Failure::Sent | Failure::AnsweredInPart) => AttemptOutcome::ConnectionLost,
    }
}

impl Desk {
    /// Closes an attempt's state; tells how it ended, its engine, and how long it was out.
    fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        ending: AttemptOutcome,
    ) -> Option<(AttemptOutcome, usize, f64)> {
        let request = self.requests.get_mut(&attempt.request)?;
        let state = request.attempts.get_mut(attempt.number as usize)?;
        let AttemptState::Out { engine, sent, until, given_up } = *state else { return None };
        // What never left is reported so, whatever it was given up for; so is an answer that was quicker.
        let ending = match (given_up, ending) {
            (Some(asked), AttemptOutcome::ConnectionLost) => asked,
            (Some(_), AttemptOutcome::NeverSent) => AttemptOutcome::Unreachable,
            (_, ending) => ending,
        };
        *state = AttemptState::Over;
        self.due.remove(&(order(until), attempt));
        if let (true, Some(marks), Some(mark)) = (ending.never_ran(), &mut self.marks, request.mark) {
            marks.never_ran(mark, sent);
        }
        let counters = &mut self.counters;
        *match ending {
            AttemptOutcome::Completed => &mut counters.attempts_completed,
            AttemptOutcome::EngineError => &mut counters.attempts_erred,
            AttemptOutcome::EngineFull => &mut counters.attempts_full,
            AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
            AttemptOutcome::Unreachable => &mut counters.attempts_unreached,
            AttemptOutcome::ConnectionLost => &mut counters.attempts_broken,
            AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
            AttemptOutcome::NeverSent => &mut counters.attempts_never_sent,
        } += 1;
        Some((ending, engine, (self.now - sent).max(0.0)))
    }

    /// Gives an attempt up; its end is news of a later turn.
    fn give_up(&mut self, attempt: AttemptId, ending: AttemptOutcome, peers: &mut dyn Peers) {
        let state = self
            .requests
            .get_mut(&attempt.request)
            .and_then(|request| request.attempts.get_mut(attempt.number as usize));
        let Some(AttemptState::Out { until, given_up: given_up @ None, .. }) = state else { return };
        *given_up = Some(ending);
        self.due.remove(&(order(*until), attempt));
        peers.give_up(attempt);
    }

    /// The index of an engine that has gone, with nothing of ours left on it.
    fn spare_index(&self) -> Option<usize> {
        let states = self.requests.values().flat_map(|request| &request.attempts);
        let used: HashSet<usize> = states
            .filter_map(|attempt| match attempt {
                AttemptState::Out { engine, .. } => Some(*engine),
                AttemptState::Over => None,
            })
            .collect();
        let gone = |at: &usize| self.engines[*at].listing.stage == EngineStage::Gone && !used.contains(at);
        (0..self.engines.len()).find(gone)
    }

    fn attempts_in_flight(&self, request: usize) -> Vec<AttemptId> {
        let attempts = self.requests.get(&request).map_or(&[][..], |request| &request.attempts);
        let out =
            attempts.iter().enumerate().filter(|(_, attempt)| matches!(attempt, AttemptState::Out { .. }));
        out.map(|(number, _)| AttemptId { request, number: number as u32 }).collect()
    }

    /// A request's one final answer.
    fn answer(&mut self, id: usize, answer: Answer, peers: &mut dyn Peers) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let RequestState::Open { session } = std::mem::replace(&mut request.state, RequestState::Over) else {
            return;
        };
        let counters = &mut self.counters;
        *match answer {
            Answer::Completed(_) => &mut counters.completed,
            Answer::Rejected { .. } => &mut counters.rejected,
            Answer::Failed => &mut counters.failed,
            Answer::Withdrawn => &mut counters.withdrawn,
        } += 1;
        if matches!(answer, Answer::Completed(_)) && self.now <= request.expected_at {
            counters.in_time += 1;
        }
        self.request_of.remove(&session);
        self.ids.remove(&request.statement.id);
        peers.answer(session, answer);
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: usize) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| matches!(request.state, RequestState::Over) && !request.out())
        {
            self.requests.remove(&id);
        }
    }
}

/// Carries out one round's decisions as they are written.
struct Pen<'a> {
    desk: &'a mut Desk,
    peers: &'a mut dyn Peers,
}

impl Pen<'_> {
    /// Nothing more is done for a request that has its answer.
    fn end(&mut self, id: usize, answer: Answer) {
        for attempt in self.desk.attempts_in_flight(id) {
            self.desk.give_up(attempt, AttemptOutcome::Cancelled, self.peers);
        }
        self.desk.answer(id, answer, self.peers);
    }
}

impl ActionWriter for Pen<'_> {
    fn set_terms(&mut self, request: usize, lane: u8, memory_mb: f64) {
        let out = self.desk.attempts_in_flight(request);
        let Some(request) = self.desk.requests.get_mut(&request) else { return };
        request.grant_mb = memory_mb;
        if std::mem::replace(&mut request.lane, lane) != lane {
            out.into_iter().for_each(|attempt| self.peers.change_lane(attempt, lane));
        }
    }

    fn dispatch(&mut self, id: usize, at: usize, time_out: Option<f64>, leave_by: f64) {
        let desk = &mut *self.desk;
        let (Some(request), Some(engine)) = (desk.requests.get(&id), desk.engines.get(at)) else {
            return log::error!("a push of an unknown job or to an unknown engine: {id} to {at}");
        };
        let open = matches!(request.state, RequestState::Open { .. }) && request.deadline > desk.now;
        let another = (desk.deployment.allows_hedging || !request.out())
            && (request.attempts.len() as u32) < desk.deployment.max_attempts.max(1);
        let attempt = AttemptId { request: id, number: request.attempts.len() as u32 };
        let until = time_out.map_or(request.deadline, |wait| request.deadline.min(desk.now + wait));
        let legal = open && another && engine.listing.stage == EngineStage::Ready;
        if legal {
            let ask = Ask {
                id: &request.statement.id,
                class: &request.statement.class,
                wait: until - desk.now,
                idempotency_key: request.statement.idempotency_key.as_deref(),
                grant_mb: request.grant_mb,
                lane: request.lane,
                statement: &request.statement.text,
            };
            self.peers.dispatch(attempt, engine.number, engine.address, &ask, leave_by);
            if let (Some(marks), Some(mark)) = (&mut desk.marks, request.mark) {
                desk.changes += u64::from(marks.dispatched(mark, desk.now));
            }
            desk.changes += u64::from(attempt.number > 0);
            desk.counters.attempts += 1;
            desk.due.insert((order(until), attempt));
        } else {
            log::error!("a push that is not legal was not made: job {id} to engine {at}");
            desk.later.push((attempt, AttemptOutcome::NeverSent));
        }
        let request = desk.requests.get_mut(&id).expect("just seen");
        request.attempts.push(AttemptState::Out { engine: at, sent: desk.now, until, given_up: None });
    }

    fn announce_wait(&mut self, request: usize, wait: Option<Wait>) {
        let Some(request) = self.desk.requests.get(&request) else { return };
        let id = request.statement.id.as_str();
        match wait {
            Some(Wait { expected, from, to, .. }) => {
                log::debug!(call = id, wait = expected, from = from, to = to; "job {id} is thought to wait {expected:.3} s");
            }
            None => log::debug!(call = id; "job {id} waits, for how long can't be told"),
        }
    }

    fn cancel(&mut self, request: usize, number: u32) {
        let attempt = AttemptId { request, number };
        if self.desk.deployment.can_cancel {
            self.desk.give_up(attempt, AttemptOutcome::Cancelled, self.peers);
        }
    }

    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        self.end(request, Answer::Rejected { retry_after });
    }

    fn fail(&mut self, request: usize) {
        self.end(request, Answer::Failed);
    }

    /// The discovery service sends its changes unasked.
    fn watch_list(&mut self, _on: bool) {}
    fn fetch_list(&mut self) {}

    /// Engines cannot be probed, nor peers told, on this protocol.
    fn probe(&mut self, _engine: usize) {}
    fn send_to_peers(&mut self, _peer: Option<usize>, _content: &[u8]) {}

    fn close_idle(&mut self, engine: usize) {
        if let Some(engine) = self.desk.engines.get(engine) {
            self.peers.close_idle(engine.number);
        }
    }

    fn wake_at(&mut self, at: f64) {
        self.desk.wake = at;
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

/// All that came in since the last turn, each kind in the order of its coming.
#[derive(Default)]
pub struct News {
    pub lists: Vec<Event>,
    pub ends: Vec<(AttemptId, Outcome)>,
    pub asked: Vec<(SessionId, ParsedStatement)>,
    /// When it can have been asked at the earliest, if that was well before now.
    pub since: Option<f64>,
    pub withdrawn: Vec<SessionId>,
}

impl Routing {
    pub fn new(deployment: Deployment, names: Names, seed: u64, now: f64) -> Routing {
        let gateway = Gateway::new(deployment.clone(), seed, now);
        let desk = Desk { now, wake: now, deployment, ..Desk::default() };
        Routing {
            gateway,
            names,
            seed,
            desk,
            untaken: VecDeque::new(),
            tenants: None,
            next_request: 0,
            next_engine: 0,
            stops_at: f64::INFINITY,
            drained_at: None,
            listed: false,
        }
    }

    /// Engines are known: requests can be served.
    pub fn ready(&self) -> bool {
        self.listed
    }

    pub fn open(&self) -> usize {
        self.desk.request_of.len()
    }

    pub fn counters(&mut self) -> &mut Counters {
        let waits = &self.gateway.queue.waits;
        self.desk.counters.waits_compared = waits.compared;
        self.desk.counters.waits_within_a_fifth = waits.within_a_fifth;
        self.desk.counters.waits_near = waits.near;
        self.desk.counters.waits_unknown = waits.unknown;
        self.desk.counters.open = self.desk.request_of.len() as u64;
        &mut self.desk.counters
    }

    /// This instance ends then: no request has longer.
    pub fn stop_at(&mut self, at: f64) {
        self.stops_at = at;
        self.gateway.stop_at(at);
        self.desk.requests.values_mut().for_each(|request| request.deadline = request.deadline.min(at));
    }

    /// This instance drains; tells until when it takes new requests.
    pub fn drain(&mut self, now: f64) -> f64 {
        self.drained_at = Some(now);
        self.gateway.drain(now)
    }

    /// Tenants share the engines by this file from now on; requests that wait move to their lines by their names.
    pub fn tenants(&mut self, file: TeamsFile) {
        let (line, names) = file.line(self.desk.now, &self.names.classes);
        let requests = &self.desk.requests;
        let tenant_of =
            |id: usize| names.of(requests.get(&id).and_then(|request| request.statement.tenant.as_deref()));
        self.gateway.set_tenants(self.desk.now, line, &tenant_of);
        self.tenants = Some((file, names));
    }

    /// How the tenants stand, in rows of three: those that have requests in line or out, at most so many.
    pub fn tenant_status(&self) -> Option<Vec<[String; 3]>> {
        const MOST: usize = 256;
        let (_, names) = self.tenants.as_ref()?;
        let line = &self.gateway.queue;
        let (compared, unknown) = (line.waits.compared, line.waits.unknown);
        let share = line.waits.within_a_fifth as f64 / (compared as f64).max(1.0);
        let worth = format!("{compared} estimates compared, {unknown} jobs without one");
        let mut rows = vec![["estimates".to_string(), format!("{share:.2} within a fifth"), worth]];
        let known = names.names().iter().enumerate();
        let busy = known.map(|(at, name)| (at, name, line.of(at))).filter(|(_, _, of)| of.0 + of.2 > 0);
        for (at, name, (queued, work, out)) in busy.take(MOST) {
            let wait = line.wait_for(at, work / queued.max(1) as f64, self.desk.now);
            let wait = wait.map_or("can't be told".to_string(), |wait| {
                format!("{:.2} s, {:.2} to {:.2}", wait.expected, wait.from, wait.to)
            });
            let stands = format!("{queued} in line, {work:.2} s of work, {out} out");
            rows.push([format!("team {name}"), stands, format!("a job that comes now waits {wait}")]);
        }
        Some(rows)
    }

    /// How far back the rules look, by what the deployment states.
    pub fn looks(&self) -> Looks {
        let Deployment { slow_start: cold, classes, .. } = &self.desk.deployment;
        let windows = classes.iter().filter_map(|class| match class.idempotency {
            Idempotency::Deduplicated { window, .. } => Some(window),
            _ => None,
        });
        Looks {
            repeats: self.gateway.retry_budget().window,
            cold: cold.window,
            receipts: windows.fold(0.0, f64::max),
        }
    }

    /// This router begins without knowing what it dispatched before; from now on it is kept.
    pub fn forgot(&mut self, now: f64) {
        self.desk.marks = Some(Marks::default());
        self.gateway.assume_lost_history(now);
    }

    /// What of a former incarnation still counts.
    pub fn remembers(&mut self, now: f64, taken: StillValid) {
        let repeats: Vec<f64> = taken.repeats.iter().map(|age| now - age).collect();
        let at = |sent: &Sent| {
            let incarnation = EngineIncarnation { name: sent.name, incarnation: sent.incarnation };
            self.desk.engines.iter().find(|engine| engine_incarnation(&engine.listing) == incarnation)
        };
        let cold = taken.cold.iter().filter_map(|(sent, age)| {
            Some(SlowStartWork { engine: at(sent)?.listing.engine, sent_at: now - age, work: sent.work })
        });
        let cold: Vec<SlowStartWork> = cold.collect();
        self.gateway.restore_history(&repeats, &cold);
        self.desk.marks.get_or_insert_default().remember(&taken.marks, now);
    }

    /// Grows with each change of what is kept.
    pub fn changes(&self) -> u64 {
        self.desk.changes
    }

    /// What is to be kept, with ages at `now`: retries, work sent to cold engines, and idempotency keys.
    pub fn kept(&mut self, now: f64) -> (Vec<f64>, Vec<Sent>, Vec<(u64, f64)>) {
        let looks = self.looks();
        let age = |at: &f64| Some((now - at).max(0.0)).filter(|age| *age < looks.repeats);
        let repeats = self.gateway.retries().filter_map(|at| age(&at)).collect();
        let cold = self.desk.engines.iter().filter_map(|engine| {
            let EngineIncarnation { name, incarnation } = engine_incarnation(&engine.listing);
            let work = self.gateway.evidence(engine.listing.engine, now)?.slow_start_work;
            (work > 0.0).then_some(Sent { name, incarnation, work })
        });
        let cold = cold.collect();
        let marks = self.desk.marks.get_or_insert_default();
        marks.forget_before(now - looks.marks());
        (repeats, cold, marks.ages(now))
    }

    /// How many retries may be made, by their times so far.
    pub fn ahead(&mut self, may: impl Fn(&mut dyn Iterator<Item = f64>) -> u32) {
        let ahead = may(&mut self.gateway.retries());
        self.gateway.limit_unpersisted_retries(ahead);
    }

    /// What we have met of engines of late, for other routers.
    pub fn words(&self) -> Vec<Observation> {
        let engines = self.desk.engines.iter().map(|engine| &engine.listing);
        let met = |at: usize| {
            self.gateway
                .evidence(at, self.desk.now)
                .map(|met| (met.successes, met.failures, met.slow_start_work))
        };
        digest::observations(engines.filter_map(|at| Some((engine_incarnation(at), met(at.engine)?))))
    }

    /// Hands the decisions what other routers say of each engine.
    pub fn hear_peers(&mut self, said: impl Fn(&EngineIncarnation) -> PeerEvidence) {
        for engine in &self.desk.engines {
            let PeerEvidence { good, bad, sent, .. } = said(&engine_incarnation(&engine.listing));
            self.gateway.peer_evidence_received(
                engine.listing.engine,
                EngineEvidence { successes: good, failures: bad, slow_start_work: sent },
            );
        }
    }

    /// Engines that are ready and not in doubt.
    pub fn sound_engines(&self) -> usize {
        self.gateway.usable_engines()
    }

    /// One turn: all news in, one round, and what was decided carried out. Returns what is wrong with requests that
    /// could not be taken, and when the next turn is due.
    pub fn turn(
        &mut self,
        now: f64,
        mut news: News,
        peers: &mut dyn Peers,
    ) -> (Vec<(SessionId, String)>, f64) {
        self.desk.now = now;
        let mut unusable = Vec::new();
        // What the decisions may fail over is noted first, so that no list and no client is forgotten with them.
        let events = std::mem::take(&mut news.lists);
        let lists: Vec<(Vec<EngineListing>, bool)> =
            events.into_iter().filter_map(|event| self.note(event)).collect();
        self.untaken = news.asked.iter().map(|(session, _)| *session).collect();
        let done = catch_unwind(AssertUnwindSafe(|| self.decide(lists, news, peers, &mut unusable)));
        if done.is_err() {
            self.begin_anew(peers);
        }
        let attempts = self.desk.due.first().map_or(f64::INFINITY, |&(at, _)| f64::from_bits(at));
        let wake = if self.desk.later.is_empty() { self.desk.wake.min(attempts) } else { now };
        (unusable, wake)
    }

    fn decide(
        &mut self,
        lists: Vec<(Vec<EngineListing>, bool)>,
        news: News,
        peers: &mut dyn Peers,
        unusable: &mut Vec<(SessionId, String)>,
    ) {
        for (listings, whole) in lists {
            self.gateway.engines_listed(self.desk.now, &listings, whole);
            let ready = |engine: &Engine| engine.listing.stage == EngineStage::Ready;
            self.desk
                .engines
                .iter()
                .filter(|engine| !ready(engine))
                .for_each(|engine| peers.call_back(engine.number));
        }
        for (attempt, ending) in std::mem::take(&mut self.desk.later) {
            self.attempt_ended(attempt, ending, None, peers);
        }
        for (attempt, outcome) in news.ends {
            let ending = ending(&outcome);
            self.attempt_ended(attempt, ending, outcome.ok(), peers);
        }
        while let Some(&(at, attempt)) = self.desk.due.first().filter(|(at, _)| *at <= order(self.desk.now)) {
            self.desk.due.remove(&(at, attempt));
            self.desk.give_up(attempt, AttemptOutcome::TimedOut, peers);
        }
        for (session, statement) in news.asked {
            if let Err(why) = self.take(session, statement, news.since) {
                self.untaken.pop_front();
                unusable.push((session, why));
            }
        }
        for session in news.withdrawn {
            self.withdraw(session, peers);
        }
        let mut pen = Pen { desk: &mut self.desk, peers };
        self.gateway.round(pen.desk.now, &mut pen);
    }

    /// Notes what the discovery service tells of engines.
    fn note(&mut self, event: Event) -> Option<(Vec<EngineListing>, bool)> {
        let (whole, entries) = event.list?;
        let mut new = Vec::new();
        let listings: Vec<EngineListing> =
            entries.into_iter().map(|entry| self.listing(entry, &mut new)).collect();
        let name = |at: &usize| {
            let Engine { uid, address, .. } = &self.desk.engines[*at];
            (*at, uid.as_str(), address)
        };
        if whole {
            // The log takes so many lines a second.
            for some in new.chunks(ENGINES_A_LINE) {
                let names =
                    some.iter().map(name).map(|(at, uid, address)| format!("{at} is {uid} at {address}"));
                log::info!(engines = some.len(); "engine {}", names.collect::<Vec<_>>().join(", "));
            }
        } else {
            for (at, uid, address) in new.iter().map(name) {
                log::info!(engine = at, uid = uid, address:% = address; "engine {at} is {uid} at {address}");
            }
        }
        if whole {
            self.desk.engines.iter_mut().for_each(|engine| engine.listing.stage = EngineStage::Gone);
        }
        for listing in &listings {
            self.desk.engines[listing.engine].listing = *listing;
        }
        self.listed |= whole;
        Some((listings, whole))
    }

    fn listing(&mut self, entry: Entry, new: &mut Vec<usize>) -> EngineListing {
        let known = self.desk.engines.iter().position(|engine| engine.uid == entry.uid);
        let at = known.or_else(|| self.desk.spare_index()).unwrap_or(self.desk.engines.len());
        let listing = EngineListing {
            engine: at,
            name_hash: name_hash(&entry.uid),
            zone: index_of(&mut self.names.zones, &entry.zone),
            kind: index_of(&mut self.names.kinds, &entry.kind),
            cell: entry.cell,
            started_at: entry.since,
            stage: entry.stage,
        };
        let engines = &mut self.desk.engines;
        if known.is_none() {
            new.push(at);
            self.next_engine += 1;
            let engine = Engine { uid: entry.uid, number: self.next_engine, address: entry.address, listing };
            match engines.get_mut(at) {
                Some(gone) => *gone = engine,
                None => engines.push(engine),
            }
        }
        engines[at].address = entry.address;
        listing
    }

    fn take(
        &mut self,
        session: SessionId,
        statement: ParsedStatement,
        since: Option<f64>,
    ) -> Result<(), String> {
        let name = flat(&statement.class);
        let Some(class) = self.names.classes.iter().position(|known| *known == name) else {
            return Err(statements::unknown("op", &name, &self.names.classes));
        };
        // Where there are tenants, engines err at what comes from none of them.
        let (tenant, tenants) = (statement.tenant.as_deref().map(flat), &self.names.tenants);
        if let Some(name) = tenant.filter(|name| !tenants.is_empty() && !tenants.contains(name)) {
            return Err(statements::unknown("org", &name, tenants));
        }
        // The first request under an id keeps its one answer.
        if self.desk.ids.contains(&statement.id) {
            return Err(statements::id_in_use(&statement.id));
        }
        let deduplicated =
            matches!(self.desk.deployment.classes[class].idempotency, Idempotency::Deduplicated { .. });
        if deduplicated && statement.idempotency_key.is_none() {
            return Err(statements::missing_idempotency_key(&name));
        }
        let now = self.desk.now;
        let mark = statement.idempotency_key.as_deref().filter(|_| deduplicated).map(name_hash);
        let earlier = mark.and_then(|mark| self.desk.marks.as_ref()?.first(mark));
        let earlier = earlier.filter(|at| now - at < self.looks().marks());
        self.desk.counters.marks_met += u64::from(earlier.is_some());
        // No client is to wait for longer, whatever it says: what is learned of usual ones would be upset.
        let longest = self.desk.deployment.classes[class].max_wait;
        let gives_up = since.unwrap_or(now) + statement.patience.min(longest);
        let deadline = gives_up.min(self.stops_at);
        let id = self.next_request;
        self.next_request += 1;
        let taken = IncomingRequest {
            class,
            key: None,
            table_group: statement.table_group.map_or(0, |group| (group as f64).to_bits()),
            estimated_work: statement.work,
            estimated_memory_mb: statement.memory_mb,
            deadline: gives_up,
            tenant: self.tenants.as_ref().map_or(0, |(_, names)| names.of(statement.tenant.as_deref())),
            earlier_attempt_at: earlier,
        };
        let state = RequestState::Open { session };
        let of = &self.desk.deployment.classes[class];
        let expected_at = since.unwrap_or(now) + of.objective_for(statement.work.unwrap_or(0.0));
        let attempts = Vec::new();
        let request =
            Request { statement, state, deadline, expected_at, lane: 1, grant_mb: 0.0, attempts, mark };
        self.desk.ids.insert(request.statement.id.clone());
        self.desk.requests.insert(id, request);
        self.desk.request_of.insert(session, id);
        self.desk.counters.taken += 1;
        self.untaken.pop_front();
        self.gateway.request_received(now, id, taken);
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        ending: AttemptOutcome,
        reply: Option<Reply>,
        peers: &mut dyn Peers,
    ) {
        let Some((ending, engine, spent)) = self.desk.attempt_ended(attempt, ending) else {
            self.desk.counters.answers_dropped += u64::from(reply.is_some());
            return;
        };
        let mut told = None;
        if let Some(Reply::Done { rows, told: needed }) = reply {
            told = needed.map(|(work, memory_mb)| MeasuredCost { work, memory_mb });
            self.desk.answer(attempt.request, Answer::Completed(rows), peers);
        }
        let request_done = self
            .desk
            .requests
            .get(&attempt.request)
            .is_none_or(|request| matches!(request.state, RequestState::Over));
        let load = LoadReport::default();
        let end = AttemptEnd {
            request: attempt.request,
            engine,
            outcome: ending,
            request_done,
            elapsed: spent,
            measured: told,
            load,
        };
        self.gateway.attempt_ended(self.desk.now, &end);
        self.desk.forget_if_done(attempt.request);
    }

    /// A client has given its request up, and so is the attempt that is out for it.
    fn withdraw(&mut self, session: SessionId, peers: &mut dyn Peers) {
        let Some(&request) = self.desk.request_of.get(&session) else { return };
        let out = self.desk.attempts_in_flight(request);
        self.desk.answer(request, Answer::Withdrawn, peers);
        self.gateway.request_withdrawn(request);
        for attempt in out {
            self.desk.give_up(attempt, AttemptOutcome::Cancelled, peers);
        }
    }

    /// The decisions failed: what is open is failed, and they start from the list alone.
    fn begin_anew(&mut self, peers: &mut dyn Peers) {
        log::error!(
            "the decisions failed: {} open jobs are terminated, the gateway begins anew",
            self.open()
        );
        let requests: Vec<usize> = self.desk.requests.keys().copied().collect();
        for id in requests {
            for attempt in self.desk.attempts_in_flight(id) {
                self.desk.give_up(attempt, AttemptOutcome::Cancelled, peers);
                self.desk.attempt_ended(attempt, AttemptOutcome::ConnectionLost);
            }
            self.desk.answer(id, Answer::Failed, peers);
        }
        for session in std::mem::take(&mut self.untaken) {
            self.desk.counters.taken += 1;
            self.desk.counters.failed += 1;
            peers.answer(session, Answer::Failed);
        }
        self.desk.counters.module_panics += 1;
        self.desk.requests.clear();
        self.desk.ids.clear();
        self.desk.later.clear();
        self.desk.due.clear();
        self.seed = self.seed.wrapping_add(1);
        self.gateway = Gateway::new(self.desk.deployment.clone(), self.seed, self.desk.now);
        // What it dispatched before still counts, and it does not know it.
        self.gateway.assume_lost_history(self.desk.now);
        self.gateway.stop_at(self.stops_at);
        if let Some(began) = self.drained_at {
            self.gateway.drain(began);
        }
        if let Some((file, _)) = &self.tenants {
            self.gateway.set_tenants(self.desk.now, file.line(self.desk.now, &self.names.classes).0, &|_| 0);
        }
        let listings: Vec<EngineListing> = self.desk.engines.iter().map(|engine| engine.listing).collect();
        self.gateway.engines_listed(self.desk.now, &listings, true);
        self.desk.wake = self.desk.now;
    }
}

#[cfg(test)]
mod tests;
