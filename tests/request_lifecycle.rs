//! Requests have one final answer, in time, whatever becomes of their attempts and of this gateway.

mod common;

use cleatgw::*;
use common::{listing, two_class_deployment, TestHost, WrittenAction};

#[test]
fn a_request_that_no_engine_can_take_is_answered_once_before_its_deadline() {
    let mut host = TestHost::new(two_class_deployment(), 0);
    let request = host.request(0, |_| ());
    host.advance(20.0);
    let answers = host.answers(request);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < 110.0);
}

#[test]
fn a_request_whose_attempt_never_ends_is_answered_at_its_deadline() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let request = host.request(0, |_| ());
    host.advance(20.0);
    assert_eq!(host.engines_of(request).len(), 1);
    let answers = host.answers(request);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < 110.1);
}

#[test]
fn what_came_and_passed_while_we_had_no_turn_is_handled_at_once() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let passed = host.request(1, |taken| taken.deadline -= 9.0);
    host.round();
    host.now += 2.0;
    let draining = EngineListing { stage: EngineStage::Draining, ..listing(0) };
    let new: Vec<usize> = (0..6).map(|group| host.request(0, |taken| taken.table_group = group)).collect();
    host.gateway.engines_listed(host.now, &[draining], false);
    host.round();
    assert_eq!(host.answers(passed).len(), 1);
    assert!(new.iter().all(|&request| host.engines_of(request) == [1]));
}

#[test]
fn an_instance_that_ends_answers_every_request_before() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let out = host.request(0, |_| ());
    host.round();
    host.gateway.stop_at(host.now + 3.0);
    let late = host.request(0, |_| ());
    host.round();
    assert_eq!(host.engines_of(late).len(), 1);
    host.advance(3.05);
    let answered = [out, late].map(|request| host.answers(request));
    assert!(answered.iter().all(|answers| answers.len() == 1 && answers[0].0 < 103.1), "{answered:?}");
}

#[test]
fn an_instance_that_drains_turns_back_what_comes_too_late_and_finishes_the_rest() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    let out = host.request(0, |_| ());
    host.round();
    assert!(host.gateway.drain(host.now) < host.now + 1.0);
    host.advance(0.9);
    let just = host.request(0, |_| ());
    host.round();
    assert_eq!(host.engines_of(just).len(), 1);
    host.advance(0.2);
    let late = host.request(0, |_| ());
    host.round();
    assert_eq!((host.engines_of(late).len(), host.answers(late).len()), (0, 1));
    assert_eq!(host.answers(late)[0].1, WrittenAction::Reject(late));
    // What was taken before may be dispatched again.
    host.attempt_ended(out, AttemptOutcome::Unreachable, 0.1);
    host.advance(0.05);
    assert_eq!((host.engines_of(out).len(), host.answers(out).len()), (2, 0));
}
