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

/// A deployment whose class 0 is deduplicated within a zone or cell for 20 s.
fn deduplicated_deployment(scope: DeduplicationScope) -> Deployment {
    let mut deployment = two_class_deployment();
    deployment.classes[0].idempotency = Idempotency::Deduplicated { scope, window: 20.0 };
    deployment.classes[0].latency_objective = 8.0;
    deployment
}

/// A host with one engine, which received a request and then lost its connection, so that it may have run the request.
/// `replace` gives the listing that the engine's index has afterwards; an engine of the first one's zone and cell is
/// listed last. Returns the engines of the request's attempts before and after that engine was listed.
fn attempts_after_replacement(
    scope: DeduplicationScope,
    replace: impl Fn(EngineListing) -> EngineListing,
) -> (Vec<usize>, Vec<usize>) {
    let mut host = TestHost::new(deduplicated_deployment(scope), 0);
    let first = EngineListing { zone: 1, cell: 1, ..listing(0) };
    host.gateway.engines_listed(host.now, &[first], true);
    let request = host.request(0, |incoming| incoming.deadline += 10.0);
    host.round();
    host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.1);
    let gone = EngineListing { stage: EngineStage::Gone, ..first };
    host.gateway.engines_listed(host.now, &[gone], false);
    host.advance(0.2);
    host.gateway.engines_listed(host.now, &[replace(first)], false);
    host.advance(1.0);
    let before = host.engines_of(request);
    let same_group = EngineListing { zone: 1, cell: 1, ..listing(5) };
    host.gateway.engines_listed(host.now, &[same_group], false);
    host.advance(1.0);
    (before, host.engines_of(request))
}

/// Guards against a repeat in a second zone or cell: the index of an engine that is gone is given to a new engine, or
/// the engine itself comes back elsewhere, and an earlier attempt then seems to have run in the new zone or cell.
#[test]
fn a_repeat_stays_in_the_group_of_its_first_attempt_when_that_engine_index_is_listed_elsewhere() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let other_engine = |first: EngineListing| EngineListing {
            zone: 2,
            cell: 2,
            name_hash: first.name_hash + 1,
            ..first
        };
        let moved_engine =
            |first: EngineListing| EngineListing { zone: 2, cell: 2, started_at: Some(100.2), ..first };
        let same_group = vec![0, 5];
        assert_eq!(
            attempts_after_replacement(scope, other_engine),
            (vec![0], same_group.clone()),
            "{scope:?}"
        );
        assert_eq!(attempts_after_replacement(scope, moved_engine), (vec![0], same_group), "{scope:?}");
    }
}

/// Guards against a retry on the same engine for want of an untried one: a new engine with the index of one that failed
/// the request must not count as attempted before.
#[test]
fn an_engine_with_the_index_of_one_that_failed_the_request_counts_as_untried() {
    for seed in 0..20 {
        let mut deployment = two_class_deployment();
        deployment.max_attempts = 4;
        let mut host = TestHost::seeded(deployment, 2, seed);
        let request = host.request(0, |_| ());
        host.round();
        let failed = host.engines_of(request)[0];
        host.attempt_ended(request, AttemptOutcome::NeverSent, 0.1);
        host.round();
        let retried = host.engines_of(request)[1];
        assert_ne!(failed, retried);
        // The failed engine is replaced. Of its successor and the engine of the second attempt, only the latter was
        // tried.
        let successor = EngineListing { name_hash: 7, ..listing(failed) };
        host.gateway.engines_listed(host.now, &[successor], false);
        host.attempt_ended(request, AttemptOutcome::NeverSent, 0.1);
        host.round();
        assert_eq!(host.engines_of(request), [failed, retried, failed], "seed {seed}");
    }
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
