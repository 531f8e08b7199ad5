//! Slow start: what a cold engine is sent, by one gateway and by all together (rule 4).

mod common;

use cleatgw::*;
use common::{listing, two_class_deployment, TestHost};

#[test]
fn a_cold_engine_gets_no_more_than_our_share_of_what_it_stands() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    let cold = deployment.slow_start;
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
    let mut sent: Vec<f64> = host.recorder.actions.iter().map(|(at, _)| *at).collect();
    sent.dedup();
    let warmth = cold.initial_share + 0.7 * 0.2;
    let stands = cold.overload_multiple * 8.0 * warmth * cold.window / 2.0;
    let attempts = (0..host.next_request).map(|request| host.engines_of(request).len()).sum::<usize>();
    assert!(attempts as f64 * 0.1 <= stands);
    // Many heavy requests at once: most of them wait.
    let heavy: Vec<usize> = (0..20).map(|_| host.request(1, |_| ())).collect();
    host.advance(0.05);
    let dispatched = heavy.iter().filter(|&&request| !host.engines_of(request).is_empty()).count();
    assert!(dispatched as f64 * 4.0 <= stands);
}

#[test]
fn without_estimates_a_cold_engine_is_spared_by_what_requests_took() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    let mut host = TestHost::new(deployment, 2);
    let bare = |taken: &mut IncomingRequest| (taken.estimated_work, taken.estimated_memory_mb) = (None, None);
    for _ in 0..20 {
        let request = host.request(1, bare);
        host.advance(0.1);
        host.attempt_ended(request, AttemptOutcome::Completed, 2.0);
    }
    // Eight seconds of work each: our share of what a cold engine stands is under six in its window.
    let gone = |engine| EngineListing { stage: EngineStage::Gone, ..listing(engine) };
    let cold = EngineListing { started_at: Some(host.now), ..listing(5) };
    host.gateway.engines_listed(host.now, &[gone(0), gone(1), cold], false);
    let request = host.request(1, bare);
    host.advance(0.5);
    assert_eq!(host.engines_of(request), []);
}

#[test]
fn hundreds_of_gateways_together_spare_a_cold_engine_but_use_it() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 300.0;
    let SlowStart { initial_share: from, overload_multiple: multiple, window, .. } = deployment.slow_start;
    let stands = multiple * 8.0 * from * window;
    let mut work = 0.0;
    for seed in 0..300 {
        let mut host = TestHost::seeded(deployment.clone(), 0, seed);
        host.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(100.0), ..listing(0) }], true);
        let requests: Vec<usize> = (0..4).map(|at| host.request(usize::from(at == 3), |_| ())).collect();
        host.advance(window / 2.0);
        work += requests
            .iter()
            .map(|&request| host.engines_of(request).len() as f64 * [0.1, 4.0][request / 3])
            .sum::<f64>();
    }
    assert!(work > 0.0 && work < stands / 2.0, "{work} of {stands}");
}

/// Rule 4, all gateways together: what peers tell that they sent leaves less room, and a word that is too small, or gone,
/// gives back no more than our own share.
#[test]
fn what_peers_sent_a_cold_engine_leaves_less_room_for_us_and_never_more_than_our_share() {
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
    let ours = attempts_with(0.0);
    assert!(ours > 5 && attempts_with(-5.0) == ours, "{ours}");
    assert_eq!(attempts_with(1.0), ours, "they stayed within their own share");
    let some = attempts_with(6.2);
    assert!(some > 0 && some < ours, "{some} of {ours}");
    assert_eq!(attempts_with(50.0), 0);
}
