//! Retries: what may run again, how often, and by when (rules 2 and 7).

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
    assert_eq!(host.answers(request).last().map(|(_, what)| what), Some(&WrittenAction::Fail(request)));
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

/// Rule 2 at the very edge of a short window: a repeat is made only where it can still be there in time, its host is told
/// by when it must have left, and where it did not, the request has its answer at once. All counts from the first attempt that
/// may have run.
#[test]
fn a_repeat_at_the_edge_of_its_window_leaves_in_time_or_not_at_all() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes[0].latency_objective = 8.0;
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> = (0..3).map(|_| host.request(0, |_| ())).collect();
    host.round();
    let begun = host.now;
    assert_eq!(host.recorder.leave_by, [f64::INFINITY; 3], "nothing has run before");
    // The first of these never ran: only the second one's time counts.
    host.now = begun + 0.4;
    host.attempt_ended(requests[0], AttemptOutcome::Unreachable, 0.4);
    host.round();
    assert_eq!(host.recorder.leave_by[3], f64::INFINITY);
    host.now = begun + 0.5;
    host.attempt_ended(requests[0], AttemptOutcome::ConnectionLost, 0.1);
    host.attempt_ended(requests[1], AttemptOutcome::ConnectionLost, 0.5);
    host.round();
    let mut by = host.recorder.leave_by[4..].to_vec();
    by.sort_by(f64::total_cmp);
    assert!((by[0] - (begun + 0.98)).abs() < 1e-9 && (by[1] - (begun + 1.38)).abs() < 1e-9, "{by:?}");
    // Its connection did not come up in time; and one whose attempt ends when a repeat could not be there any more.
    host.now = begun + 0.985;
    host.attempt_ended(requests[1], AttemptOutcome::NeverSent, 0.485);
    host.attempt_ended(requests[2], AttemptOutcome::ConnectionLost, 0.985);
    host.round();
    assert_eq!((host.engines_of(requests[1]).len(), host.engines_of(requests[2]).len()), (2, 1));
    assert_eq!((host.answers(requests[1]).len(), host.answers(requests[2]).len()), (1, 1));
}

#[test]
fn a_request_has_no_more_attempts_than_are_allowed() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    let request = host.request(0, |taken| taken.deadline += 50.0);
    for _ in 0..3 {
        host.round();
        host.attempt_ended(request, AttemptOutcome::EngineFull, 0.0);
    }
    host.advance(1.0);
    assert_eq!(host.engines_of(request).len(), 3);
    assert_eq!(host.answers(request).len(), 1);
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut deployment = two_class_deployment();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.1, window: 10.0 });
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> = (0..10).map(|_| host.request(0, |_| ())).collect();
    host.round();
    for &request in &requests {
        host.attempt_ended(request, AttemptOutcome::EngineError, 0.0);
    }
    host.advance(1.0);
    let further: usize = requests.iter().map(|&request| host.engines_of(request).len() - 1).sum();
    assert!(further <= 3);
}

#[test]
fn the_gate_alone_keeps_a_request_from_a_second_effect_a_second_copy_and_one_attempt_too_many() {
    let mut deployment = two_class_deployment();
    let window = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes = vec![
        class(1.0, 1.0, Idempotency::NonIdempotent),
        class(1.0, 1.0, window),
        class(1.0, 1.0, Idempotency::Idempotent),
    ];
    deployment.max_attempts = 2;
    let mut host = TestHost::new(deployment, 2);
    let requests = [0, 1, 2].map(|class| host.request(class, |_| ()));
    host.round();
    let gate =
        |host: &TestHost, request| (0..2).any(|engine| host.gateway.may_attempt(request, engine, host.now));
    assert_eq!(requests.map(|request| gate(&host, request)), [false; 3], "one is out");
    host.now += 0.9;
    requests.iter().for_each(|&request| host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.9));
    assert_eq!(requests.map(|request| gate(&host, request)), [false, true, true]);
    host.now += 0.2;
    assert!(!gate(&host, requests[1]), "its window is over");
    host.round();
    host.attempt_ended(requests[2], AttemptOutcome::EngineError, 0.1);
    assert!(!gate(&host, requests[2]), "it has had two");
}
