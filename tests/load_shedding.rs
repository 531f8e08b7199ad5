//! Which queued requests are rejected, and when.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn what_would_come_too_late_is_rejected_before_its_time_is_up() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let requests: Vec<usize> = (0..12).map(|_| host.request(1, |_| ())).collect();
    host.advance(6.0);
    let rejected = requests.iter().filter(|&&request| host.engines_of(request).is_empty());
    for &request in rejected {
        assert!(host.answers(request)[0].0 < 104.0);
    }
    assert!(host.logged("load shedding started"));
}

#[test]
fn a_request_held_again_past_its_time_is_rejected_not_sat_on() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let request = host.request(0, |_| ());
    host.round();
    host.now += 3.0;
    host.attempt_ended(request, AttemptOutcome::Unreachable, 0.2);
    host.advance(0.3);
    let again = host.engines_of(request).len() > 1;
    assert!(again || host.answers(request).len() == 1);
}

#[test]
fn large_estimates_that_scatter_are_not_taken_at_their_word() {
    let mut deployment = two_class_deployment();
    deployment.classes[1].objective_stretch = 0.0;
    let mut host = TestHost::new(deployment, 1);
    // Estimates from a fifth of the truth to twice as much: those that lie low run, and all seem too low.
    for step in 0..60 {
        let cost = [0.2, 0.5, 1.0, 2.0][step % 4];
        let request = host.request(1, |taken| taken.estimated_work = Some(cost));
        host.advance(0.5);
        host.completed_with_cost(request, 0.5, 1.0, 1000.0);
    }
    for _ in 0..4 {
        host.request(1, |taken| taken.estimated_work = Some(0.2));
    }
    host.round();
    // Held, and at its word it could never come in time.
    let large = host.request(1, |taken| taken.estimated_work = Some(8.0));
    host.advance(0.5);
    assert_eq!((host.engines_of(large).len(), host.answers(large).len()), (0, 0));
}

#[test]
fn a_backlog_after_a_freeze_is_tried_before_it_is_rejected() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let early = host.request(0, |_| ());
    host.round();
    host.attempt_ended(early, AttemptOutcome::Completed, 0.1);
    // Frozen for two and a half seconds: the requests that came meanwhile are late when they are seen.
    host.now += 2.5;
    let late: Vec<usize> = (0..4).map(|_| host.request(0, |taken| taken.deadline -= 2.5)).collect();
    host.round();
    assert!(late.iter().all(|&request| host.engines_of(request).len() == 1));
}

#[test]
fn a_request_that_came_late_has_less_time_to_be_held() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    let full: Vec<usize> = (0..8).map(|_| host.request(1, |_| ())).collect();
    host.round();
    let late = host.request(1, |taken| taken.deadline -= 2.0);
    host.advance(1.0);
    assert_eq!(host.answers(late).len(), 1);
    assert!(full
        .iter()
        .any(|&request| host.engines_of(request).is_empty() && host.answers(request).is_empty()));
}
