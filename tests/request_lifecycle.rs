//! Every request gets exactly one final answer in time, whatever happens to its attempts and to the gateway.

mod common;

use cleatgw::*;
use common::{listing, two_class_deployment, TestHost, WrittenAction};

#[test]
fn a_request_for_which_there_is_no_engine_is_answered_once_before_its_deadline() {
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
fn requests_that_arrive_or_expire_during_a_pause_are_handled_in_the_next_round() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let expired = host.request(1, |incoming| incoming.deadline -= 9.0);
    host.round();
    host.now += 2.0;
    let draining = EngineListing { stage: EngineStage::Draining, ..listing(0) };
    let new: Vec<usize> =
        (0..6).map(|group| host.request(0, |incoming| incoming.table_group = group)).collect();
    host.gateway.engines_listed(host.now, &[draining], false);
    host.round();
    assert_eq!(host.answers(expired).len(), 1);
    assert!(new.iter().all(|&request| host.engines_of(request) == [1]));
}

#[test]
fn a_gateway_that_stops_answers_every_request_by_its_stop_time() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let in_flight = host.request(0, |_| ());
    host.round();
    host.gateway.stop_at(host.now + 3.0);
    let late = host.request(0, |_| ());
    host.round();
    assert_eq!(host.engines_of(late).len(), 1);
    host.advance(3.05);
    // A tenth of a second is allowed for the rounds, which are 50 ms apart.
    let answered = [in_flight, late].map(|request| host.answers(request));
    assert!(answered.iter().all(|answers| answers.len() == 1 && answers[0].0 < 103.1), "{answered:?}");
}

#[test]
fn a_draining_gateway_rejects_requests_that_arrive_too_late_and_finishes_the_others() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    let in_flight = host.request(0, |_| ());
    host.round();
    let accepts_until = host.gateway.drain(host.now);
    assert!(accepts_until < host.now + 1.0);
    host.advance(0.9);
    let in_time = host.request(0, |_| ());
    host.round();
    assert_eq!(host.engines_of(in_time).len(), 1);
    host.advance(0.2);
    let late = host.request(0, |_| ());
    host.round();
    assert_eq!((host.engines_of(late).len(), host.answers(late).len()), (0, 1));
    assert_eq!(host.answers(late)[0].1, WrittenAction::Reject(late));
    // A request that was accepted before the limit may be retried.
    host.attempt_ended(in_flight, AttemptOutcome::Unreachable, 0.1);
    host.advance(0.05);
    assert_eq!((host.engines_of(in_flight).len(), host.answers(in_flight).len()), (2, 0));
}
