//! Restarts: the attempts of the gateway's previous incarnation still count (rules 2, 4 and 7).

mod common;

use cleatgw::*;
use common::{class, listing, two_class_deployment, TestHost, WrittenAction};

fn deployment_with_deduplication(scope: DeduplicationScope) -> Deployment {
    let idempotency = Idempotency::Deduplicated { scope, window: 12.0 };
    Deployment {
        classes: vec![class(1.0, 1.0, idempotency), class(1.0, 1.0, Idempotency::NonIdempotent)],
        ..two_class_deployment()
    }
}

/// Rule 2 across a restart: a request with an earlier attempt, dispatched before the restart under another request
/// number, may be dispatched again only where that is provably safe. Otherwise it fails at once; it is never rejected,
/// since a rejection says that sending it again is harmless.
#[test]
fn a_request_dispatched_before_the_restart_is_repeated_only_within_its_window_and_otherwise_failed_at_once() {
    let outcome_of = |scope: DeduplicationScope, class: usize, ago: f64| {
        let mut host = TestHost::new(deployment_with_deduplication(scope), 3);
        let earlier = Some(host.now - ago);
        let request = host.request(class, |incoming| incoming.earlier_attempt_at = earlier);
        host.advance(0.1);
        (
            host.engines_of(request).len(),
            host.recorder.actions.iter().any(|(_, action)| *action == WrittenAction::Fail(request)),
        )
    };
    assert_eq!(
        outcome_of(DeduplicationScope::All, 0, 11.0),
        (1, false),
        "11 s later the engines still recognise the repeat"
    );
    assert_eq!(
        outcome_of(DeduplicationScope::All, 0, 13.0),
        (0, true),
        "13 s later they may no longer recognise it"
    );
    assert_eq!(outcome_of(DeduplicationScope::Zone, 0, 1.0), (0, true), "the zone where it ran is unknown");
    assert_eq!(
        outcome_of(DeduplicationScope::All, 1, 1.0),
        (0, true),
        "a non-idempotent request must not run twice"
    );
}

/// Rule 7 across a restart: until the earlier retries are known, the base of the retry budget counts as used up.
#[test]
fn retries_of_the_previous_incarnation_count_and_while_unknown_the_base_budget_is_used_up() {
    let budget = Some(RetryBudget { base: 4.0, per_request: 0.0, window: 10.0 });
    let retries_after = |earlier_retries: Option<&[f64]>| {
        let mut host = TestHost::new(Deployment { retry_budget: budget, ..two_class_deployment() }, 4);
        host.gateway.assume_lost_history(host.now);
        if let Some(retries) = earlier_retries {
            host.gateway.restore_history(retries, &[]);
        }
        let requests: Vec<usize> = (0..8).map(|_| host.request(0, |_| ())).collect();
        host.advance(0.1);
        for request in &requests {
            host.attempt_ended(*request, AttemptOutcome::ConnectionLost, 0.05);
        }
        host.advance(0.1);
        requests.iter().filter(|request| host.engines_of(**request).len() > 1).count()
    };
    assert_eq!(retries_after(None), 0);
    assert_eq!(retries_after(Some(&[99.0, 98.0, 95.0])), 1);
    assert_eq!(retries_after(Some(&[80.0, 81.0])), 4, "retries before the window");
}

/// Rule 4 across a restart: until the work sent to a cold engine is known, nothing more is sent there for one window.
#[test]
fn a_cold_engine_gets_nothing_from_a_gateway_that_lost_its_history_until_the_window_is_over() {
    let dispatches_after = |history: Option<&[SlowStartWork]>| {
        let mut host = TestHost::new(Deployment { gateways: 2.0, ..two_class_deployment() }, 0);
        host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
        host.gateway.assume_lost_history(100.0);
        if let Some(sent) = history {
            host.gateway.restore_history(&[], sent);
        }
        let first = host.request(0, |_| ());
        host.advance(0.5);
        let early = host.engines_of(first).len();
        host.advance(1.8);
        (early, host.engines_of(first).len())
    };
    assert_eq!(dispatches_after(None), (0, 1));
    assert_eq!(dispatches_after(Some(&[])), (1, 1));
    assert_eq!(
        dispatches_after(Some(&[
            SlowStartWork { engine: 0, sent_at: 99.9, work: 50.0 },
            SlowStartWork { engine: 7, sent_at: 99.9, work: 1.0 },
        ])),
        (0, 1)
    );
}

/// While the persisted record of retries lags behind, only as many retries are made as were persisted in advance.
#[test]
fn no_more_retries_are_made_than_were_persisted_in_advance() {
    let mut host = TestHost::new(
        Deployment {
            retry_budget: Some(RetryBudget { base: 9.0, per_request: 0.0, window: 10.0 }),
            ..two_class_deployment()
        },
        4,
    );
    host.gateway.limit_unpersisted_retries(2);
    let requests: Vec<usize> = (0..8).map(|_| host.request(0, |_| ())).collect();
    host.advance(0.1);
    requests.iter().for_each(|request| host.attempt_ended(*request, AttemptOutcome::ConnectionLost, 0.05));
    host.advance(0.1);
    let retried =
        |host: &TestHost| requests.iter().filter(|request| host.engines_of(**request).len() > 1).count();
    assert_eq!(retried(&host), 2);
    host.gateway.limit_unpersisted_retries(3);
    host.advance(0.1);
    assert_eq!(retried(&host), 5);
}
