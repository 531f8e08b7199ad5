//! Ejection and readmission of engines that fail, stop answering or lose answers.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

#[test]
fn an_engine_that_fails_requests_immediately_does_not_attract_more_requests() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let mut failed = 0;
    for _ in 0..400 {
        let request = host.request(0, |_| ());
        host.advance(0.02);
        let Some(&engine) = host.engines_of(request).last() else { continue };
        // The engine that got the first request fails every request.
        let failing_engine = host.engines_of(0)[0];
        if engine == failing_engine {
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
fn an_engine_that_stops_answering_is_ejected_and_its_attempts_are_cancelled_if_cancelling_is_allowed() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    let mut host = TestHost::new(deployment, 4);
    let requests: Vec<usize> = (0..6).map(|_| host.request(0, |_| ())).collect();
    host.advance(1.5);
    let cancelled =
        host.recorder.actions.iter().any(|(_, action)| matches!(action, WrittenAction::Cancel(_)));
    assert!(host.logged("ejected") && cancelled);
    let silent = host.engines_of(requests[0])[0];
    let later = host.request(0, |_| ());
    host.round();
    assert_ne!(host.engines_of(later).last(), Some(&silent));
}

#[test]
fn failures_of_one_class_on_an_engine_keep_only_that_class_away_from_it() {
    for outcome in [AttemptOutcome::TimedOut, AttemptOutcome::EngineFull] {
        let mut deployment = two_class_deployment();
        deployment.can_cancel = true;
        deployment.classes[1].threads = 1.0;
        let mut host = TestHost::new(deployment, 4);
        // Requests of each class that were dispatched to engine 0 in the second half of the rounds.
        let mut dispatched = [0, 0];
        for round in 0..300 {
            // The engine answers the other requests, so it does not count as silent.
            let requests = [1, 1, 0].map(|class| {
                let cost = Some(0.1 + class as f64);
                (
                    class,
                    host.request(class, |incoming| {
                        (incoming.table_group, incoming.estimated_work) = (round, cost)
                    }),
                )
            });
            host.round();
            host.now += 0.1;
            for (class, request) in requests {
                if host.engines_of(request) == [0] {
                    dispatched[class] += u32::from(round >= 150);
                    if class == 0 {
                        host.attempt_ended(request, outcome, 0.1);
                        host.round();
                    }
                }
                host.attempt_ended(request, AttemptOutcome::Completed, 0.1 + class as f64);
            }
        }
        assert!(dispatched[0] < 30 && dispatched[1] > 50, "{outcome:?}: {dispatched:?} of 150 and 300");
    }
}

#[test]
fn answers_seen_after_a_pause_of_the_gateway_itself_are_no_evidence_against_an_engine() {
    for (pause, ejected) in [(0.2, true), (6.0, false)] {
        let mut host = TestHost::new(two_class_deployment(), 1);
        let early = host.request(0, |_| ());
        host.round();
        host.attempt_ended(early, AttemptOutcome::Completed, 0.1);
        let requests: Vec<usize> = (0..10).map(|_| host.request(0, |_| ())).collect();
        host.round();
        host.advance(6.0 - pause);
        // Time passes while the gateway runs no round.
        host.now += pause;
        requests.iter().for_each(|&request| host.attempt_ended(request, AttemptOutcome::Completed, 6.0));
        host.round();
        host.advance(0.3);
        assert_eq!(host.logged("ejected"), ejected, "a pause of {pause} s");
    }
}

#[test]
fn an_engine_that_stays_silent_gets_no_more_heavy_requests() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    host.advance(0.1);
    let silent = host.request(1, |incoming| incoming.deadline += 50.0);
    host.round();
    let silent_engine = host.engines_of(silent)[0];
    // A single attempt, sent long ago, is the only evidence: while it is unanswered, no heavy request is sent there.
    host.advance(25.0);
    let heavy: Vec<usize> =
        (0..3).map(|group| host.request(1, |incoming| incoming.table_group = group)).collect();
    host.round();
    assert!(heavy.iter().all(|&request| !host.engines_of(request).contains(&silent_engine)));
}

#[test]
fn engines_that_lose_a_third_of_their_answers_all_stay_in_use() {
    let mut deployment = two_class_deployment();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.2, window: 10.0 });
    let mut host = TestHost::new(deployment, 4);
    let mut used = vec![0; 4];
    for step in 0..240 {
        let request = host.request(step % 2, |incoming| incoming.table_group = step as u64 % 12);
        host.advance(0.05);
        let Some(&engine) = host.engines_of(request).last() else { continue };
        used[engine] += usize::from(step > 120);
        let outcome = if step % 3 == 0 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Completed };
        host.attempt_ended(request, outcome, 0.1);
        if outcome == AttemptOutcome::ConnectionLost {
            host.gateway.request_finished(request);
        }
    }
    assert!(used.iter().all(|&count| count > 5), "{used:?}");
}

#[test]
fn an_engine_without_attempts_of_the_gateway_is_tried_with_a_light_request_if_gateways_are_few() {
    for (gateways, tried) in [(3.0, true), (30.0, false)] {
        let mut deployment = two_class_deployment();
        deployment.gateways = gateways;
        let mut host = TestHost::new(deployment, 1);
        // During a slow period the gateway infers from slow answers that peers load the engine. The estimate makes the
        // engine appear full long after the period is over.
        for _ in 0..30 {
            let request = host.request(0, |incoming| incoming.deadline += 50.0);
            host.round();
            if !host.engines_of(request).is_empty() {
                host.advance(1.0);
                host.completed_with_cost(request, 1.0, 0.1, 50.0);
            }
        }
        host.advance(0.5);
        let later = host.request(0, |_| ());
        host.round();
        assert_eq!(!host.engines_of(later).is_empty(), tried, "{gateways} gateways");
    }
}

#[test]
fn the_evidence_of_one_peer_ejects_no_engine_but_that_of_two_does_until_it_is_outweighed_and_expired() {
    let mut host = TestHost::new(two_class_deployment(), 3);
    host.gateway.peer_evidence_received(0, EngineEvidence { failures: 1.0, ..EngineEvidence::default() });
    host.advance(0.5);
    assert!(!host.logged("engine 0 ejected"));
    host.gateway.peer_evidence_received(0, EngineEvidence { failures: 2.0, ..EngineEvidence::default() });
    host.advance(0.5);
    assert!(host.logged("engine 0 ejected"));
    // The gateway's own successes outweigh the peers' evidence, and then the peers report none.
    for group in 0..30 {
        let request = host.request(0, |incoming| incoming.table_group = group);
        host.round();
        host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
    }
    host.gateway.peer_evidence_received(0, EngineEvidence::default());
    host.advance(0.5);
    assert!(host.logged("engine 0 readmitted"));
    // Evidence on an unknown engine must not cause a panic.
    host.gateway.peer_evidence_received(99, EngineEvidence { failures: 9.0, ..EngineEvidence::default() });
    host.advance(0.5);
}
