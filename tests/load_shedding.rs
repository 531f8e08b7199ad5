//! Load shedding: which queued requests are rejected, and when.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn a_request_that_would_complete_too_late_is_rejected_within_four_seconds() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let requests: Vec<usize> = (0..12).map(|_| host.request(1, |_| ())).collect();
    host.advance(6.0);
    let rejected = requests.iter().filter(|&&request| host.engines_of(request).is_empty());
    for &request in rejected {
        // The requests arrive at second 100; their deadline is second 110.
        assert!(host.answers(request)[0].0 < 104.0);
    }
    assert!(host.logged("load shedding started"));
}

#[test]
fn a_request_queued_again_after_its_objective_is_retried_or_rejected_without_delay() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let request = host.request(0, |_| ());
    host.round();
    host.now += 3.0;
    host.attempt_ended(request, AttemptOutcome::Unreachable, 0.2);
    host.advance(0.3);
    let retried = host.engines_of(request).len() > 1;
    assert!(retried || host.answers(request).len() == 1);
}

#[test]
fn a_large_estimate_is_not_trusted_when_estimates_have_a_large_scatter() {
    let mut deployment = two_class_deployment();
    deployment.classes[1].objective_stretch = 0.0;
    let mut host = TestHost::new(deployment, 1);
    // The estimates range from a fifth to twice the actual work. On average the work exceeds the estimate, so that
    // all estimates seem too low.
    for step in 0..60 {
        let cost = [0.2, 0.5, 1.0, 2.0][step % 4];
        let request = host.request(1, |incoming| incoming.estimated_work = Some(cost));
        host.advance(0.5);
        host.completed_with_cost(request, 0.5, 1.0, 1000.0);
    }
    for _ in 0..4 {
        host.request(1, |incoming| incoming.estimated_work = Some(0.2));
    }
    host.round();
    // The request is queued. Going by its estimate, it could never complete in time.
    let large = host.request(1, |incoming| incoming.estimated_work = Some(8.0));
    host.advance(0.5);
    assert_eq!((host.engines_of(large).len(), host.answers(large).len()), (0, 0));
}

#[test]
fn a_backlog_after_a_pause_of_the_gateway_is_dispatched_before_any_of_it_is_rejected() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let early = host.request(0, |_| ());
    host.round();
    host.attempt_ended(early, AttemptOutcome::Completed, 0.1);
    // The gateway is paused for 2.5 s; the requests that arrived in that time are already late when it sees them.
    host.now += 2.5;
    let late: Vec<usize> = (0..4).map(|_| host.request(0, |incoming| incoming.deadline -= 2.5)).collect();
    host.round();
    assert!(late.iter().all(|&request| host.engines_of(request).len() == 1));
}

#[test]
fn a_request_that_arrived_late_may_be_queued_for_less_time() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let on_time: Vec<usize> = (0..8).map(|_| host.request(1, |_| ())).collect();
    host.round();
    let late = host.request(1, |incoming| incoming.deadline -= 2.0);
    host.advance(1.0);
    assert_eq!(host.answers(late).len(), 1);
    assert!(on_time
        .iter()
        .any(|&request| host.engines_of(request).is_empty() && host.answers(request).is_empty()));
}
