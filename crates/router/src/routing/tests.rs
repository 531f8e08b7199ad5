//! Routing against a scripted peer: what it is told, and what it asks of the connections.

use super::types::{outcome_of, AttemptResult};
use super::*;
use crate::protocol::discovery::{EngineEntry, EngineList, Event};
use cleatgw::{ActionWriter, MeasuredCost};
use cleatgw::{DeduplicationScope, EngineKind, RequestClass};
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Default)]
struct Scripted {
    attempts: Vec<(AttemptId, u64, String)>,
    answers: Vec<(SessionId, Answer)>,
    given_up: Vec<AttemptId>,
    /// Ends of what was given up: input of the next turn.
    leaving: Vec<(AttemptId, AttemptResult)>,
    lanes: Vec<u8>,
    called_back: Vec<u64>,
    /// What giving up reports.
    how_far: Option<DeliveryFailure>,
}

impl Connections for Scripted {
    fn answer(&mut self, session: SessionId, answer: Answer) {
        self.answers.push((session, answer));
    }
    fn dispatch(&mut self, dispatch: Dispatch) {
        self.attempts.push((dispatch.attempt, dispatch.engine, dispatch.request.class.to_string()));
    }
    fn change_lane(&mut self, _attempt: AttemptId, lane: u8) {
        self.lanes.push(lane);
    }
    fn cancel(&mut self, attempt: AttemptId) {
        self.given_up.push(attempt);
        self.leaving.push((attempt, Err(self.how_far.unwrap_or(DeliveryFailure::Unanswered))));
    }
    fn close_idle(&mut self, _engine: u64) {}
    fn withdraw_unsent(&mut self, engine: u64) {
        self.called_back.push(engine);
    }
}

struct Host {
    routing: Routing,
    peers: Scripted,
    now: f64,
    refused: Vec<(SessionId, String)>,
}

fn entry(uid: &str, port: u16) -> EngineEntry {
    EngineEntry {
        uid: uid.to_string(),
        address: ([127, 0, 0, 1], port).into(),
        zone: String::new(),
        kind: "std".to_string(),
        cell: 0,
        stage: EngineStage::Ready,
        started_at: None,
    }
}

fn list(number: u64, whole: bool, entries: Vec<EngineEntry>) -> Event {
    Event { number, list: Some(EngineList { is_complete: whole, entries }) }
}

fn asked(statements: Vec<(SessionId, ParsedStatement)>) -> Vec<SessionStatement> {
    let of = |(session, statement)| SessionStatement { session, statement };
    statements.into_iter().map(of).collect()
}

fn ended(attempts: Vec<(AttemptId, AttemptResult)>) -> Vec<EndedAttempt> {
    attempts.into_iter().map(|(attempt, result)| EndedAttempt { attempt, result }).collect()
}

/// Each with an id of its own.
fn parsed(class: &str) -> ParsedStatement {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    ParsedStatement {
        id: format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class: class.to_string(),
        time_to_live: 2.0,
        work: Some(0.05),
        memory_mb: Some(10.0),
        text: b"SELECT 1".to_vec(),
        ..ParsedStatement::default()
    }
}

impl Host {
    /// Two engines; requests that look up are pure, those that load are deduplicated.
    fn new() -> Host {
        let class = RequestClass {
            value: 1.0,
            late_value_share: 0.0,
            latency_objective: 1.0,
            max_wait: 30.0,
            objective_stretch: 1.0,
            threads: 1.0,
            idempotency: Idempotency::Idempotent,
            in_key_order: false,
            locks_tables: false,
            waits_for_table_locks: false,
            allowed_zones: None,
            allowed_kinds: None,
        };
        let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 12.0 };
        let deployment = Deployment {
            gateways: 1.0,
            classes: vec![class.clone(), RequestClass { idempotency, ..class }],
            engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 8000.0 }],
            max_memory_share: 0.5,
            honours_grants: true,
            can_cancel: true,
            max_attempts: 3,
            ..Deployment::default()
        };
        // The third is named and not described: taking one makes the decisions fail.
        let classes = ["look", "load", "broken"].map(String::from).to_vec();
        let tenants = vec!["town".to_string()];
        let names = Names { classes, tenants, kinds: vec!["std".to_string()], ..Names::default() };
        let routing = Routing::new(deployment, names, 7, 100.0);
        let mut host = Host { routing, peers: Scripted::default(), now: 100.0, refused: Vec::new() };
        host.turn(TurnInput {
            list_events: vec![list(1, true, vec![entry("a", 1), entry("b", 2)])],
            ..TurnInput::default()
        });
        host
    }

    fn turn(&mut self, mut input: TurnInput) -> f64 {
        input.ended_attempts.extend(ended(std::mem::take(&mut self.peers.leaving)));
        let output = self.routing.turn(self.now, input, &mut self.peers);
        let refused = output.refused.into_iter();
        self.refused.extend(refused.map(|statement| (statement.session, statement.error.to_string())));
        output.wake_at
    }

    fn ask(&mut self, session: SessionId, statement: ParsedStatement) {
        self.turn(TurnInput { statements: asked(vec![(session, statement)]), ..TurnInput::default() });
    }

    fn end(&mut self, outcome: AttemptResult) {
        let (attempt, ..) = *self.peers.attempts.last().expect("a push");
        self.turn(TurnInput { ended_attempts: ended(vec![(attempt, outcome)]), ..TurnInput::default() });
    }

    fn adds_up(&mut self) {
        let counters = self.routing.counters();
        let ends = counters.completed + counters.rejected + counters.failed + counters.withdrawn;
        assert_eq!(counters.taken, ends + counters.open, "{counters}");
    }
}

fn done() -> AttemptResult {
    Ok(Reply::Completed {
        rows: b"1\t2\t3\n".to_vec(),
        measured: Some(MeasuredCost { work: 0.05, memory_mb: 10.0 }),
    })
}

#[test]
fn a_request_is_dispatched_and_its_result_completed_once() {
    let mut host = Host::new();
    host.ask(4, parsed("look"));
    host.end(done());
    assert_eq!(host.peers.answers, [(4, Answer::Completed(b"1\t2\t3\n".to_vec()))]);
    host.end(done());
    host.now += 5.0;
    host.turn(TurnInput::default());
    assert_eq!((host.peers.answers.len(), host.peers.attempts.len()), (1, 1));
    assert_eq!(host.routing.counters().answers_dropped, 1);
    host.adds_up();
}

#[test]
fn what_became_of_an_attempt_is_told_by_how_far_it_came() {
    for (outcome, ending) in [
        (Ok(Reply::EngineFull), AttemptOutcome::EngineFull),
        (Ok(Reply::EngineError), AttemptOutcome::EngineError),
        (Ok(Reply::DeadlinePassed), AttemptOutcome::NeverSent),
        (Err(DeliveryFailure::NeverSent), AttemptOutcome::NeverSent),
        (Err(DeliveryFailure::Refused), AttemptOutcome::Unreachable),
        (Err(DeliveryFailure::Unanswered), AttemptOutcome::ConnectionLost),
        (Err(DeliveryFailure::AnsweredInPart), AttemptOutcome::ConnectionLost),
    ] {
        assert_eq!(outcome_of(&outcome), ending);
        let mut host = Host::new();
        host.ask(4, parsed("look"));
        host.end(outcome);
        host.turn(TurnInput::default());
        assert_eq!(host.peers.attempts.len(), 2, "{ending:?}: a pure job is pushed again");
        host.end(done());
        assert_eq!(host.peers.answers.len(), 1);
        host.adds_up();
    }
}

#[test]
fn a_withdrawn_request_has_its_attempt_given_up_and_gets_no_other_answer() {
    let mut host = Host::new();
    host.ask(4, parsed("look"));
    host.turn(TurnInput { withdrawn: vec![4], ..TurnInput::default() });
    assert_eq!(host.peers.given_up.len(), 1);
    assert_eq!(host.peers.answers, [(4, Answer::Withdrawn)]);
    host.end(done());
    assert_eq!(host.peers.answers.len(), 1);
    host.adds_up();
}

#[test]
fn no_other_attempt_goes_out_before_the_end_of_one_that_was_given_up() {
    let mut host = Host::new();
    host.ask(4, ParsedStatement { time_to_live: 20.0, ..parsed("look") });
    while host.peers.given_up.is_empty() {
        host.now += 0.1;
        host.turn(TurnInput::default());
    }
    // The engine has not said yet that it has let go of it.
    let leaving = std::mem::take(&mut host.peers.leaving);
    host.now += 0.05;
    host.turn(TurnInput::default());
    assert_eq!((host.peers.attempts.len(), host.peers.answers.len()), (1, 0));
    host.turn(TurnInput { ended_attempts: ended(leaving), ..TurnInput::default() });
    assert_eq!(host.peers.attempts.len(), 2);
    assert_eq!(host.routing.counters().attempts_timed_out, 1);
    host.end(done());
    assert_eq!(host.peers.answers.len(), 1);
    host.adds_up();
}

#[test]
fn an_answer_that_crosses_its_giving_up_is_completed_while_its_request_is_open() {
    let mut host = Host::new();
    host.ask(4, ParsedStatement { time_to_live: 20.0, ..parsed("look") });
    while host.peers.given_up.is_empty() {
        host.now += 0.1;
        host.turn(TurnInput::default());
    }
    host.peers.leaving.clear();
    host.end(done());
    assert!(matches!(host.peers.answers[..], [(4, Answer::Completed(_))]));
    host.adds_up();
}

#[test]
fn a_request_withdrawn_in_the_turn_it_came_in_is_never_dispatched() {
    let mut host = Host::new();
    host.turn(TurnInput {
        statements: asked(vec![(4, parsed("look"))]),
        withdrawn: vec![4],
        ..TurnInput::default()
    });
    assert!(host.peers.attempts.is_empty());
    host.adds_up();
}

#[test]
fn an_unanswered_request_is_given_up_and_answered_at_its_deadline() {
    let mut host = Host::new();
    host.ask(4, ParsedStatement { time_to_live: 0.5, ..parsed("look") });
    for _ in 0..20 {
        let wake = host.turn(TurnInput::default());
        host.now = wake.min(host.now + 0.1);
        if host.now >= 100.49 {
            break;
        }
    }
    assert!(host.peers.answers.is_empty() && host.peers.given_up.is_empty());
    host.now = 100.5;
    host.turn(TurnInput::default());
    assert_eq!((host.peers.answers.len(), host.peers.given_up.len()), (1, 1));
    assert!(matches!(host.peers.answers[0].1, Answer::Rejected { .. }));
    host.adds_up();
}

#[test]
fn a_request_that_came_while_we_had_no_turn_is_answered_at_its_clients_time() {
    let mut host = Host::new();
    host.now = 110.0;
    host.turn(TurnInput {
        statements: asked(vec![(4, parsed("look"))]),
        received_since: Some(108.5),
        ..TurnInput::default()
    });
    host.now = 110.5;
    host.turn(TurnInput::default());
    assert!(matches!(host.peers.answers[..], [(4, Answer::Rejected { .. })]));
}

#[test]
fn an_attempt_given_up_before_it_left_is_told_as_one_that_never_ran() {
    let mut host = Host::new();
    host.peers.how_far = Some(DeliveryFailure::NeverSent);
    host.ask(4, ParsedStatement { time_to_live: 0.5, ..parsed("look") });
    host.now = 100.5;
    host.turn(TurnInput::default());
    host.turn(TurnInput::default());
    let counters = host.routing.counters();
    assert_eq!((counters.attempts_timed_out, counters.attempts_unreachable), (0, 1));
}

#[test]
fn requests_that_cannot_be_taken_are_told_why() {
    let mut host = Host::new();
    host.ask(4, parsed("lok"));
    host.ask(5, parsed("load"));
    let words: Vec<&str> = host.refused.iter().map(|(_, words)| words.as_str()).collect();
    assert!(words[0].contains("op: expected one of look load"), "{words:?}");
    assert!(words[1].contains("dedupe: expected"), "{words:?}");
    host.ask(6, ParsedStatement { idempotency_key: Some("5c".to_string()), ..parsed("load") });
    assert_eq!((host.refused.len(), host.peers.attempts.len()), (2, 1));
    host.ask(7, ParsedStatement { tenant: Some("nobody".to_string()), ..parsed("look") });
    assert!(host.refused[2].1.contains("org: expected one of town"), "{:?}", host.refused);
    host.ask(8, ParsedStatement { tenant: Some("town".to_string()), ..parsed("look") });
    assert_eq!((host.refused.len(), host.peers.attempts.len()), (3, 2));
    host.adds_up();
}

#[test]
fn an_id_that_is_open_is_refused_to_others_and_free_again_after_its_answer() {
    let mut host = Host::new();
    let first = parsed("look");
    host.ask(4, first.clone());
    host.ask(5, ParsedStatement { text: b"SELECT 2".to_vec(), ..first.clone() });
    assert!(host.refused[0].1.contains("call: expected an id that is not in use"), "{:?}", host.refused);
    host.end(done());
    assert!(matches!(host.peers.answers[..], [(4, Answer::Completed(_))]));
    // As a client asks again whose request crossed a close.
    host.ask(6, first.clone());
    host.turn(TurnInput { withdrawn: vec![6], ..TurnInput::default() });
    host.ask(7, first);
    assert_eq!((host.refused.len(), host.peers.attempts.len()), (1, 3));
    host.adds_up();
}

#[test]
fn a_client_that_says_it_waits_for_a_day_makes_others_no_later() {
    let mut host = Host::new();
    host.ask(4, ParsedStatement { time_to_live: 80_000.0, ..parsed("look") });
    host.ask(5, ParsedStatement { time_to_live: 28.0, work: Some(2.0), ..parsed("look") });
    host.now += 0.01;
    // Were all of its class measured by that day, this one would be long past its time.
    host.turn(TurnInput::default());
    assert!(host.peers.answers.is_empty());
    host.now += 30.0;
    host.turn(TurnInput::default());
    assert_eq!(
        (host.peers.answers.len(), host.routing.open_requests()),
        (2, 0),
        "the day counts for as long as others"
    );
}

#[test]
fn a_new_engine_at_an_old_address_is_another() {
    let mut host = Host::new();
    let gone = |uid, port| EngineEntry { stage: EngineStage::Gone, ..entry(uid, port) };
    let input = |event| TurnInput { list_events: vec![event], ..TurnInput::default() };
    host.turn(input(list(2, false, vec![gone("a", 1), gone("b", 2)])));
    host.turn(input(list(3, false, vec![entry("c", 1)])));
    host.ask(4, parsed("look"));
    assert_eq!(host.peers.attempts[0].1, 3, "its number is its own");
    // Engines come and go for long without the table growing.
    for number in 4..200 {
        host.turn(input(list(number, true, vec![entry("c", 1), entry(&format!("d{number}"), 2)])));
    }
    assert_eq!(host.routing.state.engines.len(), 3);
    host.end(done());
    assert_eq!(host.peers.answers.len(), 1);
}

#[test]
fn after_a_stop_every_request_has_its_answer_in_time() {
    let mut host = Host::new();
    host.ask(4, ParsedStatement { time_to_live: 20.0, ..parsed("look") });
    host.routing.stop_at(103.0);
    host.ask(5, ParsedStatement { time_to_live: 20.0, ..parsed("look") });
    for _ in 0..32 {
        host.now += 0.1;
        host.turn(TurnInput::default());
    }
    assert_eq!((host.peers.answers.len(), host.routing.open_requests()), (2, 0));
    host.adds_up();
}

#[test]
fn when_the_decisions_fail_open_requests_are_failed_and_later_ones_served() {
    let mut host = Host::new();
    host.ask(4, parsed("look"));
    let statements = asked(vec![(5, parsed("broken")), (6, parsed("look"))]);
    host.turn(TurnInput {
        statements,
        list_events: vec![list(2, true, vec![entry("c", 3)])],
        ..TurnInput::default()
    });
    assert_eq!(host.peers.answers.len(), 3);
    assert!(host.peers.answers.iter().all(|(_, answer)| *answer == Answer::Failed));
    assert_eq!(host.peers.given_up.len(), 1);
    host.ask(7, parsed("look"));
    assert_eq!(host.peers.attempts.last().unwrap().1, 3, "the list that came with it holds");
    host.end(done());
    assert!(matches!(host.peers.answers[3], (7, Answer::Completed(_))));
    assert_eq!(host.routing.counters().module_panics, 1);
    host.adds_up();
}

#[test]
fn terms_and_calling_off_reach_what_is_out() {
    let mut host = Host::new();
    host.ask(4, parsed("look"));
    let mut executor = ActionExecutor { state: &mut host.routing.state, connections: &mut host.peers };
    let lane = executor.state.requests.get(0).unwrap().lane;
    executor.set_priority_and_memory(0, lane, 64.0);
    executor.set_priority_and_memory(0, 3 - lane, 64.0);
    executor.cancel(0, 0);
    executor.cancel(0, 0);
    assert_eq!((&host.peers.lanes[..], host.peers.given_up.len()), (&[3 - lane][..], 1));
    host.turn(TurnInput::default());
    assert_eq!(host.routing.counters().attempts_cancelled, 1);
    host.adds_up();
}

#[test]
fn what_is_not_legal_is_not_done() {
    let mut host = Host::new();
    host.ask(4, parsed("look"));
    let mut executor = ActionExecutor { state: &mut host.routing.state, connections: &mut host.peers };
    // One attempt is out, and copies are not allowed.
    executor.dispatch(0, 1, None, f64::INFINITY);
    executor.dispatch(9, 0, None, f64::INFINITY);
    executor.dispatch(0, 9, None, f64::INFINITY);
    assert_eq!(host.peers.attempts.len(), 1);
    host.end(done());
    assert_eq!(host.peers.answers.len(), 1);
}

#[test]
fn what_waits_for_an_engine_that_drains_or_has_gone_is_called_back() {
    let mut host = Host::new();
    host.ask(1, parsed("look"));
    let (attempt, engine, _) = host.peers.attempts[0].clone();
    let [first, second] = ["a", "b"]
        .map(|uid| host.routing.state.engines.iter().find(|engine| engine.uid == uid).unwrap().number);
    let (uid, port, other) = if engine == first { ("a", 1, second) } else { ("b", 2, first) };
    let drains = EngineEntry { stage: EngineStage::Draining, ..entry(uid, port) };
    host.turn(TurnInput { list_events: vec![list(2, false, vec![drains])], ..TurnInput::default() });
    assert_eq!(host.peers.called_back, [engine]);
    // It never left, so that it goes elsewhere.
    host.turn(TurnInput {
        ended_attempts: ended(vec![(attempt, Err(DeliveryFailure::NeverSent))]),
        ..TurnInput::default()
    });
    assert_eq!(host.peers.attempts[1].1, other);
}
