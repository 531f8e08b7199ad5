//! After a restart: what the former incarnation did still counts (rules 2, 4 and 7).

mod common;

use cleatgw::*;
use common::{class, listing, two_class_deployment, TestHost, WrittenAction};

fn keyed(scope: DeduplicationScope) -> Deployment {
    let idempotency = Idempotency::Deduplicated { scope, window: 12.0 };
    Deployment {
        classes: vec![class(1.0, 1.0, idempotency), class(1.0, 1.0, Idempotency::NonIdempotent)],
        ..two_class_deployment()
    }
}

/// Rule 2 over a restart: what was dispatched before under another request may be dispatched again only where that is provably safe,
/// and what can't be is answered at once, never as harmless.
#[test]
fn a_request_that_was_dispatched_before_runs_again_only_within_its_window_and_is_else_failed_at_once() {
    let play = |scope: DeduplicationScope, class: usize, ago: f64| {
        let mut host = TestHost::new(keyed(scope), 3);
        let earlier = Some(host.now - ago);
        let request = host.request(class, |taken| taken.earlier_attempt_at = earlier);
        host.advance(0.1);
        (
            host.engines_of(request).len(),
            host.recorder.actions.iter().any(|(_, wrote)| *wrote == WrittenAction::Fail(request)),
        )
    };
    assert_eq!(
        play(DeduplicationScope::All, 0, 11.0),
        (1, false),
        "11 s after: the engines still know its receipt"
    );
    assert_eq!(play(DeduplicationScope::All, 0, 13.0), (0, true), "13 s after: they may not");
    assert_eq!(play(DeduplicationScope::Zone, 0, 1.0), (0, true), "nobody knows in which zone it ran");
    assert_eq!(play(DeduplicationScope::All, 1, 1.0), (0, true), "it must not run twice");
}

/// Rule 7 over a restart: until it is known what was dispatched, the spare part of the budget counts as used up.
#[test]
fn further_attempts_of_a_former_incarnation_count_and_where_unknown_the_budget_is_used_up() {
    let budget = Some(RetryBudget { base: 4.0, per_request: 0.0, window: 10.0 });
    let play = |told: Option<&[f64]>| {
        let mut host = TestHost::new(Deployment { retry_budget: budget, ..two_class_deployment() }, 4);
        host.gateway.assume_lost_history(host.now);
        if let Some(repeats) = told {
            host.gateway.restore_history(repeats, &[]);
        }
        let requests: Vec<usize> = (0..8).map(|_| host.request(0, |_| ())).collect();
        host.advance(0.1);
        for request in &requests {
            host.attempt_ended(*request, AttemptOutcome::ConnectionLost, 0.05);
        }
        host.advance(0.1);
        requests.iter().filter(|request| host.engines_of(**request).len() > 1).count()
    };
    assert_eq!(play(None), 0);
    assert_eq!(play(Some(&[99.0, 98.0, 95.0])), 1);
    assert_eq!(play(Some(&[80.0, 81.0])), 4, "long ago");
}

/// Rule 4 over a restart: until it is known what was sent to a cold engine, nothing more is, for one window.
#[test]
fn a_cold_engine_gets_nothing_from_one_that_forgot_what_it_sent_until_its_window_is_over() {
    let play = |told: Option<&[SlowStartWork]>| {
        let mut host = TestHost::new(Deployment { gateways: 2.0, ..two_class_deployment() }, 0);
        host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
        host.gateway.assume_lost_history(100.0);
        if let Some(sent) = told {
            host.gateway.restore_history(&[], sent);
        }
        let first = host.request(0, |_| ());
        host.advance(0.5);
        let early = host.engines_of(first).len();
        host.advance(1.8);
        (early, host.engines_of(first).len())
    };
    assert_eq!(play(None), (0, 1));
    assert_eq!(play(Some(&[])), (1, 1));
    assert_eq!(
        play(Some(&[
            SlowStartWork { engine: 0, sent_at: 99.9, work: 50.0 },
            SlowStartWork { engine: 7, sent_at: 99.9, work: 1.0 },
        ])),
        (0, 1)
    );
}

/// While what is kept of them lags behind, only so many retries are made as were kept ahead.
#[test]
fn no_more_further_attempts_are_made_than_were_kept_ahead() {
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
    let again =
        |host: &TestHost| requests.iter().filter(|request| host.engines_of(**request).len() > 1).count();
    assert_eq!(again(&host), 2);
    host.gateway.limit_unpersisted_retries(3);
    host.advance(0.1);
    assert_eq!(again(&host), 5);
}
