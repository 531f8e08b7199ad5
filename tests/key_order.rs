//! Requests with the same key run in order, with a quiet period after a time-out (rule 5).

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn requests_of_one_key_run_in_turn_with_a_quiet_period_after_a_time_out() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].in_key_order = true;
    deployment.key_quiet_period = 1.0;
    let mut host = TestHost::new(deployment, 3);
    let first = host.request(0, |incoming| incoming.key = Some(5));
    let second = host.request(0, |incoming| incoming.key = Some(5));
    let other = host.request(0, |incoming| incoming.key = Some(6));
    host.advance(0.1);
    assert_eq!([first, second, other].map(|request| host.engines_of(request).len()), [1, 0, 1]);
    host.attempt_ended(first, AttemptOutcome::TimedOut, 0.1);
    host.gateway.request_finished(first);
    host.advance(0.9);
    assert_eq!(host.engines_of(second).len(), 0);
    host.advance(0.2);
    assert_eq!(host.engines_of(second).len(), 1);
}

#[test]
fn a_long_queue_for_one_key_does_not_delay_other_requests() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].in_key_order = true;
    deployment.classes[0].value = 50.0;
    let mut host = TestHost::new(deployment, 3);
    for _ in 0..30 {
        host.request(0, |incoming| incoming.key = Some(5));
    }
    let other = host.request(1, |_| ());
    host.round();
    assert_eq!(host.engines_of(other).len(), 1);
}

#[test]
fn may_attempt_alone_enforces_key_order() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].in_key_order = true;
    let mut host = TestHost::new(deployment, 2);
    let requests = [0, 1].map(|_| host.request(0, |incoming| incoming.key = Some(4)));
    assert_eq!(requests.map(|request| host.gateway.may_attempt(request, 0, host.now)), [true, false]);
}
