//! Engines that fail, fall silent or lose answers.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

#[test]
fn an_engine_that_fails_at_once_does_not_draw_in_request_after_request() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let mut failed = 0;
    for _ in 0..400 {
        let request = host.request(0, |_| ());
        host.advance(0.02);
        let Some(&engine) = host.engines_of(request).last() else { continue };
        if engine == host.engines_of(0)[0] {
            failed += 1;
            host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.001);
        } else {
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
        }
    }
    assert!(host.logged("ejected"));
    assert!((2..40).contains(&failed), "{failed} of 400");
}

#[test]
fn an_engine_that_falls_silent_is_doubted_and_its_attempts_called_off_where_that_is_allowed() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    let mut host = TestHost::new(deployment, 4);
    let requests: Vec<usize> = (0..6).map(|_| host.request(0, |_| ())).collect();
    host.advance(1.5);
    let cancelled = host.recorder.actions.iter().any(|(_, what)| matches!(what, WrittenAction::Cancel(_)));
    assert!(host.logged("ejected") && cancelled);
    let silent = host.engines_of(requests[0])[0];
    let later = host.request(0, |_| ());
    host.round();
    assert_ne!(host.engines_of(later).last(), Some(&silent));
}

#[test]
fn what_strikes_one_class_on_one_engine_keeps_only_that_class_away() {
    for ending in [AttemptOutcome::TimedOut, AttemptOutcome::EngineFull] {
        let mut deployment = two_class_deployment();
        deployment.can_cancel = true;
        deployment.classes[1].threads = 1.0;
        let mut host = TestHost::new(deployment, 4);
        let mut there = [0, 0];
        for round in 0..300 {
            // The others are answered, so the engine is not silent.
            let requests = [1, 1, 0].map(|class| {
                let cost = Some(0.1 + class as f64);
                (
                    class,
                    host.request(class, |taken| (taken.table_group, taken.estimated_work) = (round, cost)),
                )
            });
            host.round();
            host.now += 0.1;
            for (class, request) in requests {
                if host.engines_of(request) == [0] {
                    there[class] += u32::from(round >= 150);
                    if class == 0 {
                        host.attempt_ended(request, ending, 0.1);
                        host.round();
                    }
                }
                host.attempt_ended(request, AttemptOutcome::Completed, 0.1 + class as f64);
            }
        }
        assert!(there[0] < 30 && there[1] > 50, "{ending:?}: {there:?} of 150 and 300");
    }
}

#[test]
fn answers_seen_after_a_gap_of_our_own_turn_are_no_evidence() {
    for (gap, doubted) in [(0.2, true), (6.0, false)] {
        let mut host = TestHost::new(two_class_deployment(), 1);
        let early = host.request(0, |_| ());
        host.round();
        host.attempt_ended(early, AttemptOutcome::Completed, 0.1);
        let requests: Vec<usize> = (0..10).map(|_| host.request(0, |_| ())).collect();
        host.round();
        host.advance(6.0 - gap);
        // Time goes on, but we have no turn.
        host.now += gap;
        requests.iter().for_each(|&request| host.attempt_ended(request, AttemptOutcome::Completed, 6.0));
        host.round();
        host.advance(0.3);
        assert_eq!(host.logged("ejected"), doubted, "a gap of {gap}");
    }
}

#[test]
fn an_engine_that_stays_silent_stays_in_doubt() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    host.advance(0.1);
    let silent = host.request(1, |taken| taken.deadline += 50.0);
    host.round();
    let at = host.engines_of(silent)[0];
    // One attempt in all tells of it, long ago: nothing heavy goes there while it lasts.
    host.advance(25.0);
    let heavy: Vec<usize> = (0..3).map(|group| host.request(1, |taken| taken.table_group = group)).collect();
    host.round();
    assert!(heavy.iter().all(|&request| !host.engines_of(request).contains(&at)));
}

#[test]
fn engines_that_lose_a_third_of_their_answers_all_stay_in_use() {
    let mut deployment = two_class_deployment();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.2, window: 10.0 });
    let mut host = TestHost::new(deployment, 4);
    let mut used = vec![0; 4];
    for step in 0..240 {
        let request = host.request(step % 2, |taken| taken.table_group = step as u64 % 12);
        host.advance(0.05);
        let Some(&at) = host.engines_of(request).last() else { continue };
        used[at] += usize::from(step > 120);
        let ending = if step % 3 == 0 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Completed };
        host.attempt_ended(request, ending, 0.1);
        if ending == AttemptOutcome::ConnectionLost {
            host.gateway.request_finished(request);
        }
    }
    assert!(used.iter().all(|&count| count > 5), "{used:?}");
}

#[test]
fn an_engine_that_we_hold_nothing_on_is_found_out_about_by_a_light_request() {
    for (gateways, found) in [(3.0, true), (30.0, false)] {
        let mut deployment = two_class_deployment();
        deployment.gateways = gateways;
        let mut host = TestHost::new(deployment, 1);
        // A slow spell: what is felt of peers there fills the engine long after it is over.
        for _ in 0..30 {
            let request = host.request(0, |taken| taken.deadline += 50.0);
            host.round();
            if !host.engines_of(request).is_empty() {
                host.advance(1.0);
                host.completed_with_cost(request, 1.0, 0.1, 50.0);
            }
        }
        host.advance(0.5);
        let later = host.request(0, |_| ());
        host.round();
        assert_eq!(!host.engines_of(later).is_empty(), found, "{gateways} gateways");
    }
}

#[test]
fn one_peer_s_word_puts_no_engine_in_doubt_and_that_of_two_does_until_it_is_old() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    host.gateway.peer_evidence_received(0, EngineEvidence { failures: 1.0, ..EngineEvidence::default() });
    host.advance(0.5);
    assert!(!host.logged("engine 0 ejected"));
    host.gateway.peer_evidence_received(0, EngineEvidence { failures: 2.0, ..EngineEvidence::default() });
    host.advance(0.5);
    assert!(host.logged("engine 0 ejected"));
    // What we meet ourselves outweighs it.
    for group in 0..30 {
        let request = host.request(0, |taken| taken.table_group = group);
        host.round();
        host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
    }
    host.gateway.peer_evidence_received(0, EngineEvidence::default());
    host.advance(0.5);
    assert!(host.logged("engine 0 readmitted"));
    host.gateway.peer_evidence_received(99, EngineEvidence { failures: 9.0, ..EngineEvidence::default() });
    host.advance(0.5);
}
