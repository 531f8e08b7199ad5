//! Retries: which requests may be repeated, how often, and until when (rules 2 and 7).

mod common;

use cleatgw::*;
use common::{class, listing, two_class_deployment, TestHost, WrittenAction};

#[test]
fn a_non_idempotent_request_that_may_have_run_is_failed_at_once() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut host = TestHost::new(deployment, 3);
    let request = host.request(0, |_| ());
    host.round();
    host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.1);
    host.advance(0.05);
    assert_eq!(host.engines_of(request).len(), 1);
    assert_eq!(host.answers(request).last().map(|(_, action)| action), Some(&WrittenAction::Fail(request)));
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_dispatched_again() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut host = TestHost::new(deployment, 3);
    let request = host.request(0, |_| ());
    host.round();
    host.attempt_ended(request, AttemptOutcome::Unreachable, 0.1);
    host.advance(0.05);
    assert_eq!(host.engines_of(request).len(), 2);
}

#[test]
fn a_deduplicated_request_is_repeated_only_in_its_cell_and_window() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 1.0 };
    deployment.classes[0].latency_objective = 8.0;
    let mut host = TestHost::new(deployment, 0);
    let cells: Vec<EngineListing> =
        (0..6).map(|at| EngineListing { cell: at as u64 % 2, ..listing(at) }).collect();
    host.gateway.engines_listed(100.0, &cells, true);
    let (early, late) = (host.request(0, |_| ()), host.request(0, |_| ()));
    host.round();
    host.now += 0.5;
    host.attempt_ended(early, AttemptOutcome::ConnectionLost, 0.5);
    host.advance(0.05);
    let cells: Vec<usize> = host.engines_of(early).iter().map(|engine| engine % 2).collect();
    assert!(cells.len() == 2 && cells[0] == cells[1]);
    host.now += 0.6;
    host.attempt_ended(late, AttemptOutcome::ConnectionLost, 1.2);
    host.advance(0.05);
    assert_eq!(host.engines_of(late).len(), 1);
    assert_eq!(host.answers(late)[0].1, WrittenAction::Fail(late));
}

/// Rule 2 at the end of a short window: a repeat is dispatched only if it can still reach its engine within the window,
/// and the host is told the time by which it must have been sent. If it was not sent by then, the request is answered
/// at once. The window starts with the first attempt that may have run.
#[test]
fn a_repeat_at_the_end_of_its_window_is_sent_in_time_or_not_at_all() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes[0].latency_objective = 8.0;
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> = (0..3).map(|_| host.request(0, |_| ())).collect();
    host.round();
    let start = host.now;
    assert_eq!(host.recorder.leave_by, [f64::INFINITY; 3], "nothing has run before");
    // The first attempt of this request never ran, so the window starts with its second attempt.
    host.now = start + 0.4;
    host.attempt_ended(requests[0], AttemptOutcome::Unreachable, 0.4);
    host.round();
    assert_eq!(host.recorder.leave_by[3], f64::INFINITY);
    host.now = start + 0.5;
    host.attempt_ended(requests[0], AttemptOutcome::ConnectionLost, 0.1);
    host.attempt_ended(requests[1], AttemptOutcome::ConnectionLost, 0.5);
    host.round();
    let mut leave_by = host.recorder.leave_by[4..].to_vec();
    // The window of 1 s less the delivery margin of 0.02 s, counted from the first attempt that may have run.
    leave_by.sort_by(f64::total_cmp);
    assert!(
        (leave_by[0] - (start + 0.98)).abs() < 1e-9 && (leave_by[1] - (start + 1.38)).abs() < 1e-9,
        "{leave_by:?}"
    );
    // The connection for the repeat of request 1 was not established in time. The attempt of request 2 ends when a
    // repeat could no longer reach an engine in time.
    host.now = start + 0.985;
    host.attempt_ended(requests[1], AttemptOutcome::NeverSent, 0.485);
    host.attempt_ended(requests[2], AttemptOutcome::ConnectionLost, 0.985);
    host.round();
    assert_eq!((host.engines_of(requests[1]).len(), host.engines_of(requests[2]).len()), (2, 1));
    assert_eq!((host.answers(requests[1]).len(), host.answers(requests[2]).len()), (1, 1));
}

#[test]
fn a_request_has_no_more_attempts_than_are_allowed() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    let request = host.request(0, |incoming| incoming.deadline += 50.0);
    for _ in 0..3 {
        host.round();
        host.attempt_ended(request, AttemptOutcome::EngineFull, 0.0);
    }
    host.advance(1.0);
    assert_eq!(host.engines_of(request).len(), 3);
    assert_eq!(host.answers(request).len(), 1);
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut deployment = two_class_deployment();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.1, window: 10.0 });
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> = (0..10).map(|_| host.request(0, |_| ())).collect();
    host.round();
    for &request in &requests {
        host.attempt_ended(request, AttemptOutcome::EngineError, 0.0);
    }
    host.advance(1.0);
    let retries: usize = requests.iter().map(|&request| host.engines_of(request).len() - 1).sum();
    assert!(retries <= 3);
}

#[test]
fn may_attempt_alone_prevents_a_second_run_a_parallel_attempt_and_more_than_the_allowed_attempts() {
    let mut deployment = two_class_deployment();
    let deduplicated = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes = vec![
        class(1.0, 1.0, Idempotency::NonIdempotent),
        class(1.0, 1.0, deduplicated),
        class(1.0, 1.0, Idempotency::Idempotent),
    ];
    deployment.max_attempts = 2;
    let mut host = TestHost::new(deployment, 2);
    let requests = [0, 1, 2].map(|class| host.request(class, |_| ()));
    host.round();
    let may_attempt =
        |host: &TestHost, request| (0..2).any(|engine| host.gateway.may_attempt(request, engine, host.now));
    assert_eq!(
        requests.map(|request| may_attempt(&host, request)),
        [false; 3],
        "an attempt of each request is in flight"
    );
    host.now += 0.9;
    requests.iter().for_each(|&request| host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.9));
    assert_eq!(requests.map(|request| may_attempt(&host, request)), [false, true, true]);
    host.now += 0.2;
    assert!(!may_attempt(&host, requests[1]), "the deduplication window is over");
    host.round();
    host.attempt_ended(requests[2], AttemptOutcome::EngineError, 0.1);
    assert!(!may_attempt(&host, requests[2]), "the request has had both allowed attempts");
}
