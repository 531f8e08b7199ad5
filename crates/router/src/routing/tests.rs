//! Tests of routing with scripted connections, which record what routing asks of them.

use super::types::{outcome_of, AttemptResult};
use super::*;
use crate::memory_budget::Reservation;
use crate::protocol::discovery::{EngineEntry, EngineList, Event};
use cleatgw::{ActionWriter, MeasuredCost};
use cleatgw::{DeduplicationScope, EngineKind, RequestClass};
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Default)]
struct ScriptedConnections {
    /// The dispatched attempts, with the engine's number and the request's class.
    attempts: Vec<(AttemptId, u64, String)>,
    answers: Vec<(SessionId, Answer)>,
    cancelled: Vec<AttemptId>,
    /// The ends of cancelled attempts. The next turn reports them.
    pending_ends: Vec<(AttemptId, AttemptResult)>,
    lane_changes: Vec<u8>,
    /// The engines whose unsent attempts were withdrawn.
    withdrawn_from: Vec<u64>,
    /// How far cancelled attempts are reported to have come; `Unanswered` if absent.
    cancel_failure: Option<DeliveryFailure>,
}

impl Connections for ScriptedConnections {
    fn answer(&mut self, session: SessionId, answer: Answer) {
        self.answers.push((session, answer));
    }
    fn dispatch(&mut self, dispatch: Dispatch) {
        self.attempts.push((dispatch.attempt, dispatch.engine, dispatch.request.class.to_string()));
    }
    fn change_lane(&mut self, _attempt: AttemptId, lane: u8) {
        self.lane_changes.push(lane);
    }
    fn cancel(&mut self, attempt: AttemptId) {
        self.cancelled.push(attempt);
        let failure = self.cancel_failure.unwrap_or(DeliveryFailure::Unanswered);
        self.pending_ends.push((attempt, Err(failure)));
    }
    fn close_idle(&mut self, _engine: u64) {}
    fn withdraw_unsent(&mut self, engine: u64) {
        self.withdrawn_from.push(engine);
    }
}

struct Harness {
    routing: Routing,
    connections: ScriptedConnections,
    now: f64,
    /// The sessions whose statements were refused, with the errors.
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

fn list(number: u64, is_complete: bool, entries: Vec<EngineEntry>) -> Event {
    Event { number, list: Some(EngineList { is_complete, entries }) }
}

fn session_statements(statements: Vec<(SessionId, ParsedStatement)>) -> Vec<SessionStatement> {
    let session_statement =
        |(session, statement)| SessionStatement { session, statement, memory: Reservation::default() };
    statements.into_iter().map(session_statement).collect()
}

fn ended_attempts(attempts: Vec<(AttemptId, AttemptResult)>) -> Vec<EndedAttempt> {
    attempts.into_iter().map(|(attempt, result)| EndedAttempt { attempt, result }).collect()
}

/// A statement of this class, with an id that no other has.
fn statement(class: &str) -> ParsedStatement {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    ParsedStatement {
        id: format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
        class: class.to_string(),
        time_to_live: 2.0,
        work: Some(0.05),
        memory_mb: Some(10.0),
        text: b"SELECT 1".to_vec(),
        ..ParsedStatement::default()
    }
}

impl Harness {
    /// Routing with two engines, an idempotent class `look`, and a class `load` that all engines deduplicate.
    fn new() -> Harness {
        let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 12.0 };
        let mut harness = Harness::without_engines(idempotency);
        harness.turn(TurnInput {
            list_events: vec![list(1, true, vec![entry("a", 1), entry("b", 2)])],
            ..TurnInput::default()
        });
        harness
    }

    /// Routing that knows no engines, with an idempotent class `look`, and a class `load` with the given idempotency.
    fn without_engines(load_idempotency: Idempotency) -> Harness {
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
        let load = RequestClass { idempotency: load_idempotency, ..class.clone() };
        let deployment = Deployment {
            gateways: 1.0,
            classes: vec![class, load],
            engine_kinds: vec![EngineKind { cores: 8.0, memory_mb: 8000.0 }],
            max_memory_share: 0.5,
            honours_grants: true,
            can_cancel: true,
            max_attempts: 3,
            ..Deployment::default()
        };
        // The third class has a name but no configuration: a request of it makes the round panic.
        let classes = ["look", "load", "broken"].map(String::from).to_vec();
        let tenants = vec!["town".to_string()];
        let names = Names { classes, tenants, kinds: vec!["std".to_string()], ..Names::default() };
        let routing = Routing::new(deployment, names, 7, 100.0);
        Harness { routing, connections: ScriptedConnections::default(), now: 100.0, refused: Vec::new() }
    }

    /// Runs a turn, which also reports the ends of cancelled attempts. Returns when the next turn is due.
    fn turn(&mut self, mut input: TurnInput) -> f64 {
        input.ended_attempts.extend(ended_attempts(std::mem::take(&mut self.connections.pending_ends)));
        let output = self.routing.turn(self.now, input, &mut self.connections);
        let refused = output.refused.into_iter();
        self.refused.extend(refused.map(|statement| (statement.session, statement.error.to_string())));
        output.wake_at
    }

    /// Runs a turn in which a statement arrives.
    fn send(&mut self, session: SessionId, statement: ParsedStatement) {
        self.turn(TurnInput {
            statements: session_statements(vec![(session, statement)]),
            ..TurnInput::default()
        });
    }

    /// Runs a turn in which the last attempt ends.
    fn end_last_attempt(&mut self, result: AttemptResult) {
        let (attempt, ..) = *self.connections.attempts.last().expect("no attempt was dispatched");
        self.turn(TurnInput {
            ended_attempts: ended_attempts(vec![(attempt, result)]),
            ..TurnInput::default()
        });
    }

    /// Checks that every request that was taken is open or has ended in exactly one way.
    fn check_counts(&mut self) {
        let counters = self.routing.counters();
        let ended = counters.completed + counters.rejected + counters.failed + counters.withdrawn;
        assert_eq!(counters.taken, ended + counters.open, "{counters}");
    }
}

fn completed() -> AttemptResult {
    Ok(Reply::Completed {
        rows: b"1\t2\t3\n".to_vec().into(),
        measured: Some(MeasuredCost { work: 0.05, memory_mb: 10.0 }),
        memory_wait: 0.0,
    })
}

#[test]
fn a_request_is_dispatched_and_its_result_completed_once() {
    let mut harness = Harness::new();
    harness.send(4, statement("look"));
    harness.end_last_attempt(completed());
    assert_eq!(harness.connections.answers, [(4, Answer::Completed(b"1\t2\t3\n".to_vec().into()))]);
    harness.end_last_attempt(completed());
    harness.now += 5.0;
    harness.turn(TurnInput::default());
    assert_eq!((harness.connections.answers.len(), harness.connections.attempts.len()), (1, 1));
    assert_eq!(harness.routing.counters().answers_dropped, 1);
    harness.check_counts();
}

#[test]
fn the_outcome_of_an_attempt_depends_on_how_far_it_came_and_an_idempotent_request_is_attempted_again() {
    for (result, outcome) in [
        (Ok(Reply::EngineFull), AttemptOutcome::EngineFull),
        (Ok(Reply::EngineError), AttemptOutcome::EngineError),
        (Ok(Reply::DeadlinePassed), AttemptOutcome::NeverSent),
        (Err(DeliveryFailure::NeverSent), AttemptOutcome::NeverSent),
        (Err(DeliveryFailure::Refused), AttemptOutcome::Unreachable),
        (Err(DeliveryFailure::Unanswered), AttemptOutcome::ConnectionLost),
        (Err(DeliveryFailure::AnsweredInPart), AttemptOutcome::ConnectionLost),
    ] {
        assert_eq!(outcome_of(&result), outcome);
        let mut harness = Harness::new();
        harness.send(4, statement("look"));
        harness.end_last_attempt(result);
        harness.turn(TurnInput::default());
        assert_eq!(
            harness.connections.attempts.len(),
            2,
            "{outcome:?}: an idempotent request was not attempted again"
        );
        harness.end_last_attempt(completed());
        assert_eq!(harness.connections.answers.len(), 1);
        harness.check_counts();
    }
}

#[test]
fn the_attempt_of_a_withdrawn_request_is_cancelled_and_the_request_gets_no_other_answer() {
    let mut harness = Harness::new();
    harness.send(4, statement("look"));
    harness.turn(TurnInput { withdrawn: vec![4], ..TurnInput::default() });
    assert_eq!(harness.connections.cancelled.len(), 1);
    assert_eq!(harness.connections.answers, [(4, Answer::Withdrawn)]);
    harness.end_last_attempt(completed());
    assert_eq!(harness.connections.answers.len(), 1);
    harness.check_counts();
}

#[test]
fn no_other_attempt_is_dispatched_before_the_end_of_one_that_was_cancelled() {
    let mut harness = Harness::new();
    harness.send(4, ParsedStatement { time_to_live: 20.0, ..statement("look") });
    while harness.connections.cancelled.is_empty() {
        harness.now += 0.1;
        harness.turn(TurnInput::default());
    }
    // The engine has not confirmed the cancellation yet.
    let pending_ends = std::mem::take(&mut harness.connections.pending_ends);
    harness.now += 0.05;
    harness.turn(TurnInput::default());
    assert_eq!((harness.connections.attempts.len(), harness.connections.answers.len()), (1, 0));
    harness.turn(TurnInput { ended_attempts: ended_attempts(pending_ends), ..TurnInput::default() });
    assert_eq!(harness.connections.attempts.len(), 2);
    assert_eq!(harness.routing.counters().attempts_timed_out, 1);
    harness.end_last_attempt(completed());
    assert_eq!(harness.connections.answers.len(), 1);
    harness.check_counts();
}

#[test]
fn an_answer_that_crosses_the_cancellation_of_its_attempt_completes_the_open_request() {
    let mut harness = Harness::new();
    harness.send(4, ParsedStatement { time_to_live: 20.0, ..statement("look") });
    while harness.connections.cancelled.is_empty() {
        harness.now += 0.1;
        harness.turn(TurnInput::default());
    }
    harness.connections.pending_ends.clear();
    harness.end_last_attempt(completed());
    assert!(matches!(harness.connections.answers[..], [(4, Answer::Completed(_))]));
    harness.check_counts();
}

#[test]
fn a_request_withdrawn_in_the_turn_of_its_arrival_is_never_dispatched() {
    let mut harness = Harness::new();
    harness.turn(TurnInput {
        statements: session_statements(vec![(4, statement("look"))]),
        withdrawn: vec![4],
        ..TurnInput::default()
    });
    assert!(harness.connections.attempts.is_empty());
    harness.check_counts();
}

#[test]
fn a_request_without_an_answer_is_rejected_at_its_deadline_and_its_attempt_is_cancelled() {
    let mut harness = Harness::new();
    harness.send(4, ParsedStatement { time_to_live: 0.5, ..statement("look") });
    for _ in 0..20 {
        let wake_at = harness.turn(TurnInput::default());
        harness.now = wake_at.min(harness.now + 0.1);
        if harness.now >= 100.49 {
            break;
        }
    }
    assert!(harness.connections.answers.is_empty() && harness.connections.cancelled.is_empty());
    harness.now = 100.5;
    harness.turn(TurnInput::default());
    assert_eq!((harness.connections.answers.len(), harness.connections.cancelled.len()), (1, 1));
    assert!(matches!(harness.connections.answers[0].1, Answer::Rejected { .. }));
    harness.check_counts();
}

#[test]
fn the_time_to_live_of_a_request_that_arrived_during_a_pause_counts_from_its_earliest_arrival() {
    let mut harness = Harness::new();
    harness.now = 110.0;
    harness.turn(TurnInput {
        statements: session_statements(vec![(4, statement("look"))]),
        received_since: Some(108.5),
        ..TurnInput::default()
    });
    harness.now = 110.5;
    harness.turn(TurnInput::default());
    assert!(matches!(harness.connections.answers[..], [(4, Answer::Rejected { .. })]));
}

#[test]
fn an_attempt_that_times_out_before_it_was_sent_counts_as_unreachable() {
    let mut harness = Harness::new();
    harness.connections.cancel_failure = Some(DeliveryFailure::NeverSent);
    harness.send(4, ParsedStatement { time_to_live: 0.5, ..statement("look") });
    harness.now = 100.5;
    harness.turn(TurnInput::default());
    harness.turn(TurnInput::default());
    let counters = harness.routing.counters();
    assert_eq!((counters.attempts_timed_out, counters.attempts_unreachable), (0, 1));
}

#[test]
fn a_statement_that_can_not_be_accepted_is_refused_with_the_reason() {
    let mut harness = Harness::new();
    harness.send(4, statement("lok"));
    harness.send(5, statement("load"));
    let errors: Vec<&str> = harness.refused.iter().map(|(_, error)| error.as_str()).collect();
    assert!(errors[0].contains("op: expected one of look load"), "{errors:?}");
    assert!(errors[1].contains("dedupe: expected"), "{errors:?}");
    harness.send(6, ParsedStatement { idempotency_key: Some("5c".to_string()), ..statement("load") });
    assert_eq!((harness.refused.len(), harness.connections.attempts.len()), (2, 1));
    harness.send(7, ParsedStatement { tenant: Some("nobody".to_string()), ..statement("look") });
    assert!(harness.refused[2].1.contains("org: expected one of town"), "{:?}", harness.refused);
    harness.send(8, ParsedStatement { tenant: Some("town".to_string()), ..statement("look") });
    assert_eq!((harness.refused.len(), harness.connections.attempts.len()), (3, 2));
    harness.check_counts();
}

#[test]
fn the_id_of_an_open_request_is_refused_to_others_and_free_again_after_the_answer() {
    let mut harness = Harness::new();
    let first = statement("look");
    harness.send(4, first.clone());
    harness.send(5, ParsedStatement { text: b"SELECT 2".to_vec(), ..first.clone() });
    assert!(
        harness.refused[0].1.contains("call: expected an id that is not in use"),
        "{:?}",
        harness.refused
    );
    harness.end_last_attempt(completed());
    assert!(matches!(harness.connections.answers[..], [(4, Answer::Completed(_))]));
    // The session of a client closes while its request is open, and the client sends the request again in a new session
    // under the same id.
    harness.send(6, first.clone());
    harness.turn(TurnInput { withdrawn: vec![6], ..TurnInput::default() });
    harness.send(7, first);
    assert_eq!((harness.refused.len(), harness.connections.attempts.len()), (1, 3));
    harness.check_counts();
}

#[test]
fn a_client_with_a_time_to_live_of_a_day_does_not_delay_others() {
    let mut harness = Harness::new();
    harness.send(4, ParsedStatement { time_to_live: 80_000.0, ..statement("look") });
    harness.send(5, ParsedStatement { time_to_live: 28.0, work: Some(2.0), ..statement("look") });
    harness.now += 0.01;
    // The decision core counts a request with less time left than others of its class as that much older. If the day
    // were not cut, the second request would count as a day old and as long past its latency objective.
    harness.turn(TurnInput::default());
    assert!(harness.connections.answers.is_empty());
    harness.now += 30.0;
    harness.turn(TurnInput::default());
    assert_eq!(
        (harness.connections.answers.len(), harness.routing.open_requests()),
        (2, 0),
        "the time to live of a day was not cut to the max_wait of the class"
    );
}

#[test]
fn a_new_engine_at_the_address_of_a_former_one_gets_its_own_number() {
    let mut harness = Harness::new();
    let gone = |uid, port| EngineEntry { stage: EngineStage::Gone, ..entry(uid, port) };
    let input = |event| TurnInput { list_events: vec![event], ..TurnInput::default() };
    harness.turn(input(list(2, false, vec![gone("a", 1), gone("b", 2)])));
    harness.turn(input(list(3, false, vec![entry("c", 1)])));
    harness.send(4, statement("look"));
    assert_eq!(harness.connections.attempts[0].1, 3, "the new engine has a number of its own");
    // The registry does not grow, however many engines come and go.
    for number in 4..200 {
        harness.turn(input(list(number, true, vec![entry("c", 1), entry(&format!("d{number}"), 2)])));
    }
    // They are `c`, the engine of the last list, and the one that it replaced.
    assert_eq!(harness.routing.state.engines.len(), 3);
    harness.end_last_attempt(completed());
    assert_eq!(harness.connections.answers.len(), 1);
}

/// Guards against a second effect in another zone: the registry gives the index of an engine that is gone to a new
/// engine in another zone while a request that may have run on the former one waits for an engine of its zone.
#[test]
fn a_new_engine_in_another_zone_gets_no_repeat_of_a_request_of_a_gone_engine() {
    let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: 12.0 };
    let mut harness = Harness::without_engines(idempotency);
    let in_zone = |uid: &str, port, zone: &str, stage| EngineEntry {
        zone: zone.to_string(),
        stage,
        ..entry(uid, port)
    };
    let input = |event| TurnInput { list_events: vec![event], ..TurnInput::default() };
    harness.turn(input(list(1, true, vec![in_zone("a", 1, "north", EngineStage::Ready)])));
    let keyed = ParsedStatement {
        idempotency_key: Some("5c0f6e1a".to_string()),
        time_to_live: 20.0,
        ..statement("load")
    };
    harness.send(4, keyed);
    assert_eq!(harness.connections.attempts.len(), 1);
    harness.turn(input(list(2, false, vec![in_zone("a", 1, "north", EngineStage::Gone)])));
    harness.end_last_attempt(Err(DeliveryFailure::Unanswered));
    harness.turn(input(list(3, false, vec![in_zone("b", 2, "south", EngineStage::Ready)])));
    assert_eq!(harness.routing.state.engines.len(), 1, "the new engine has the index of the gone one");
    harness.turn(TurnInput::default());
    assert_eq!(harness.connections.attempts.len(), 1, "{:?}", harness.connections.attempts);
    // An engine of the first one's zone recognises the repeat.
    harness.turn(input(list(4, false, vec![in_zone("c", 3, "north", EngineStage::Ready)])));
    harness.turn(TurnInput::default());
    let engines: Vec<u64> = harness.connections.attempts.iter().map(|(_, engine, _)| *engine).collect();
    assert_eq!(engines, [1, 3]);
}

#[test]
fn every_request_has_its_answer_before_the_router_stops() {
    let mut harness = Harness::new();
    harness.send(4, ParsedStatement { time_to_live: 20.0, ..statement("look") });
    harness.routing.stop_at(103.0);
    harness.send(5, ParsedStatement { time_to_live: 20.0, ..statement("look") });
    for _ in 0..32 {
        harness.now += 0.1;
        harness.turn(TurnInput::default());
    }
    assert_eq!((harness.connections.answers.len(), harness.routing.open_requests()), (2, 0));
    harness.check_counts();
}

#[test]
fn when_the_decision_core_panics_open_requests_fail_and_later_ones_are_served() {
    let mut harness = Harness::new();
    harness.send(4, statement("look"));
    let statements = session_statements(vec![(5, statement("broken")), (6, statement("look"))]);
    harness.turn(TurnInput {
        statements,
        list_events: vec![list(2, true, vec![entry("c", 3)])],
        ..TurnInput::default()
    });
    assert_eq!(harness.connections.answers.len(), 3);
    assert!(harness.connections.answers.iter().all(|(_, answer)| *answer == Answer::Failed));
    assert_eq!(harness.connections.cancelled.len(), 1);
    harness.send(7, statement("look"));
    assert_eq!(
        harness.connections.attempts.last().unwrap().1,
        3,
        "the engine list that arrived in the turn of the panic was lost"
    );
    harness.end_last_attempt(completed());
    assert!(matches!(harness.connections.answers[3], (7, Answer::Completed(_))));
    assert_eq!(harness.routing.counters().module_panics, 1);
    harness.check_counts();
}

#[test]
fn changes_of_the_lane_and_cancellations_reach_attempts_in_flight_once() {
    let mut harness = Harness::new();
    harness.send(4, statement("look"));
    let mut executor =
        ActionExecutor { state: &mut harness.routing.state, connections: &mut harness.connections };
    let lane = executor.state.requests.get(0).unwrap().lane;
    // Lanes are 0 to 3.
    let other_lane = 3 - lane;
    executor.set_priority_and_memory(0, lane, 64.0);
    executor.set_priority_and_memory(0, other_lane, 64.0);
    executor.cancel(0, 0);
    executor.cancel(0, 0);
    assert_eq!(
        (&harness.connections.lane_changes[..], harness.connections.cancelled.len()),
        (&[other_lane][..], 1)
    );
    harness.turn(TurnInput::default());
    assert_eq!(harness.routing.counters().attempts_cancelled, 1);
    harness.check_counts();
}

#[test]
fn illegal_attempts_are_not_dispatched() {
    let mut harness = Harness::new();
    harness.send(4, statement("look"));
    let mut executor =
        ActionExecutor { state: &mut harness.routing.state, connections: &mut harness.connections };
    // The first is illegal because an attempt is in flight and hedging is not allowed. The second names an unknown
    // request, the third an unknown engine.
    executor.dispatch(0, 1, None, f64::INFINITY);
    executor.dispatch(9, 0, None, f64::INFINITY);
    executor.dispatch(0, 9, None, f64::INFINITY);
    assert_eq!(harness.connections.attempts.len(), 1);
    harness.end_last_attempt(completed());
    assert_eq!(harness.connections.answers.len(), 1);
}

#[test]
fn attempts_that_wait_for_a_draining_engine_are_withdrawn_and_made_elsewhere() {
    let mut harness = Harness::new();
    harness.send(1, statement("look"));
    let (attempt, engine, _) = harness.connections.attempts[0].clone();
    let [first, second] = ["a", "b"]
        .map(|uid| harness.routing.state.engines.iter().find(|engine| engine.uid == uid).unwrap().number);
    let (uid, port, other) = if engine == first { ("a", 1, second) } else { ("b", 2, first) };
    let draining = EngineEntry { stage: EngineStage::Draining, ..entry(uid, port) };
    harness.turn(TurnInput { list_events: vec![list(2, false, vec![draining])], ..TurnInput::default() });
    assert_eq!(harness.connections.withdrawn_from, [engine]);
    // The attempt was never sent, so the request goes to the other engine.
    harness.turn(TurnInput {
        ended_attempts: ended_attempts(vec![(attempt, Err(DeliveryFailure::NeverSent))]),
        ..TurnInput::default()
    });
    assert_eq!(harness.connections.attempts[1].1, other);
}
