//! Slow start: the work that one gateway, and all gateways together, send to a cold engine (rule 4).

mod common;

use cleatgw::*;
use common::{listing, two_class_deployment, TestHost};

#[test]
fn a_cold_engine_gets_no_more_than_this_gateways_share_of_its_slow_start_budget() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    let slow_start = deployment.slow_start;
    let mut host = TestHost::new(deployment, 0);
    host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
    for step in 0..100 {
        let request = host.request(0, |_| ());
        host.advance(0.02);
        if !host.engines_of(request).is_empty() {
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
        }
        if step == 0 {
            assert!(!host.engines_of(request).is_empty());
        }
    }
    // Two of ten seconds have passed, in which the share grows from 0.3 to 1; the budget is for one of two gateways.
    let warmth = slow_start.initial_share + 0.7 * 0.2;
    let budget = slow_start.overload_multiple * 8.0 * warmth * slow_start.window / 2.0;
    let attempts = (0..host.next_request).map(|request| host.engines_of(request).len()).sum::<usize>();
    assert!(attempts as f64 * 0.1 <= budget);
    // Many heavy requests at once: most of them wait.
    let heavy: Vec<usize> = (0..20).map(|_| host.request(1, |_| ())).collect();
    host.advance(0.05);
    let dispatched = heavy.iter().filter(|&&request| !host.engines_of(request).is_empty()).count();
    assert!(dispatched as f64 * 4.0 <= budget);
}

#[test]
fn without_estimates_the_slow_start_budget_is_applied_to_the_usual_run_time_of_requests() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    let mut host = TestHost::new(deployment, 2);
    let without_estimates = |incoming: &mut IncomingRequest| {
        (incoming.estimated_work, incoming.estimated_memory_mb) = (None, None)
    };
    for _ in 0..20 {
        let request = host.request(1, without_estimates);
        host.advance(0.1);
        host.attempt_ended(request, AttemptOutcome::Completed, 2.0);
    }
    // Each request is 8 s of work, and this gateway's share of the cold engine's budget is less than 6 s in one window.
    let gone = |engine| EngineListing { stage: EngineStage::Gone, ..listing(engine) };
    let cold = EngineListing { started_at: Some(host.now), ..listing(5) };
    host.gateway.engines_listed(host.now, &[gone(0), gone(1), cold], false);
    let request = host.request(1, without_estimates);
    host.advance(0.5);
    assert_eq!(host.engines_of(request), []);
}

#[test]
fn hundreds_of_gateways_together_use_a_cold_engine_but_stay_within_half_its_budget() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 300.0;
    let SlowStart { initial_share, overload_multiple, window, .. } = deployment.slow_start;
    let budget = overload_multiple * 8.0 * initial_share * window;
    let mut sent_work = 0.0;
    // Each gateway has three light requests and a heavy one.
    for seed in 0..300 {
        let mut host = TestHost::seeded(deployment.clone(), 0, seed);
        host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(100.0), ..listing(0) }], true);
        let requests: Vec<usize> = (0..4).map(|at| host.request(usize::from(at == 3), |_| ())).collect();
        host.advance(window / 2.0);
        sent_work += requests
            .iter()
            .map(|&request| host.engines_of(request).len() as f64 * [0.1, 4.0][usize::from(request == 3)])
            .sum::<f64>();
    }
    assert!(sent_work > 0.0 && sent_work < budget / 2.0, "{sent_work} of {budget}");
}

/// Rule 4 for all gateways together: work that peers report to have sent reduces what this gateway may send. A report
/// that is too small, or missing, never allows it more than its own share.
#[test]
fn work_that_peers_sent_to_a_cold_engine_reduces_this_gateways_budget_and_never_raises_it_above_its_share() {
    let attempts_with = |sent: f64| {
        let mut host = TestHost::new(Deployment { gateways: 2.0, ..two_class_deployment() }, 0);
        host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
        for _ in 0..60 {
            host.request(0, |_| ());
        }
        host.gateway
            .peer_evidence_received(0, EngineEvidence { slow_start_work: sent, ..EngineEvidence::default() });
        host.advance(0.05);
        (0..host.next_request).map(|request| host.engines_of(request).len()).sum::<usize>()
    };
    let without_peers = attempts_with(0.0);
    assert!(without_peers > 5 && attempts_with(-5.0) == without_peers, "{without_peers}");
    assert_eq!(attempts_with(1.0), without_peers, "peers stayed within their own share");
    let reduced = attempts_with(6.2);
    assert!(reduced > 0 && reduced < without_peers, "{reduced} of {without_peers}");
    assert_eq!(attempts_with(50.0), 0);
}
