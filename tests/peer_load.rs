//! Estimates of the load that other gateways put on engines.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

#[test]
fn a_load_report_of_one_engine_is_applied_to_engines_without_reports() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 200.0;
    let mut host = TestHost::new(deployment, 8);
    for _ in 0..20 {
        let light = host.request(0, |incoming| incoming.table_group = 1);
        host.round();
        host.completed_with_load(light, 0.1, 15.0);
    }
    host.advance(0.3);
    let heavy: Vec<usize> =
        (0..20).map(|group| host.request(1, |incoming| incoming.table_group = group)).collect();
    host.round();
    assert!(heavy.iter().all(|&request| host.engines_of(request).is_empty()));
    // The effect of the report decays, and engines are tried again after some time.
    host.advance(15.0);
    let later = host.request(1, |_| ());
    host.round();
    assert_eq!(host.engines_of(later).len(), 1);
}

#[test]
fn a_busy_gateway_among_many_uses_engines_that_report_nothing() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 200.0;
    let mut host = TestHost::new(deployment, 2);
    for _ in 0..40 {
        let request = host.request(0, |_| ());
        host.advance(0.1);
        host.attempt_ended(request, AttemptOutcome::Completed, 0.08);
    }
    let burst: Vec<usize> = (0..8).map(|_| host.request(0, |_| ())).collect();
    host.round();
    assert!(burst.iter().all(|&request| host.engines_of(request).len() == 1));
}

/// Answers report no measured work, and the estimates of light requests are far too low, some by a factor of twenty.
/// With six gateways and almost idle engines, a gateway must not infer from this that peers load the engines, and
/// so reject heavy requests.
#[test]
fn few_gateways_infer_no_peer_load_from_low_estimates_that_no_answer_corrects() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 6.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut host = TestHost::new(deployment, 4);
    let estimate_ratios = [0.05, 0.6, 0.1, 0.3];
    let mut heavy = Vec::new();
    for round in 0..200 {
        // A light request that needs 0.3 s whatever its estimate; every twentieth round also a heavy one whose estimate
        // of 3 core-seconds (1 s on three threads) is about right.
        let group = round as u64 % 40;
        let light = host.request(0, |incoming| {
            (incoming.estimated_work, incoming.table_group) = (Some(0.3 * estimate_ratios[round % 4]), group)
        });
        heavy.extend((round % 20 == 19).then(|| {
            host.request(1, |incoming| (incoming.estimated_work, incoming.table_group) = (Some(3.0), group))
        }));
        host.round();
        host.now += 0.3;
        if !host.engines_of(light).is_empty() {
            host.attempt_ended(light, AttemptOutcome::Completed, 0.3);
        }
        host.advance(0.1);
        for request in heavy.clone() {
            let dispatched = host.engines_of(request).len() == 1;
            let dispatch = host.recorder.actions.iter().find(
                |(_, action)| matches!(action, WrittenAction::Attempt { request: id, .. } if *id == request),
            );
            if dispatched && dispatch.is_some_and(|(at, _)| host.now >= at + 1.2) {
                host.attempt_ended(request, AttemptOutcome::Completed, 1.2);
                heavy.retain(|other| *other != request);
            }
        }
    }
    let rejected =
        host.recorder.actions.iter().filter(|(_, action)| matches!(action, WrittenAction::Reject(_))).count();
    assert_eq!(rejected, 0, "rejections among 200 light and 10 heavy requests");
}

/// One of 32 gateways, with eight engines of 16 cores. Answers report no measured work, and the estimates of requests
/// are a tenth or less of the time they take, so that after the first answers the gateway infers peer load on every
/// engine.
fn host_that_infers_peer_load() -> TestHost {
    let mut deployment = two_class_deployment();
    deployment.gateways = 32.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut host = TestHost::new(deployment, 8);
    for group in 0..40 {
        let request = host
            .request(0, |incoming| (incoming.estimated_work, incoming.table_group) = (Some(0.002), group));
        host.round();
        if !host.engines_of(request).is_empty() {
            host.now += 0.022;
            host.attempt_ended(request, AttemptOutcome::Completed, 0.022);
        }
        host.now += 0.01;
    }
    host.advance(0.25);
    host
}

/// Guards against the case in which all 32 gateways send nothing to idle engines, each because of the load that it
/// infers of the others.
#[test]
fn many_gateways_that_infer_unmeasured_peer_load_still_use_their_fair_share() {
    let mut host = host_that_infers_peer_load();
    let (mut dispatched, mut total) = (0, 0);
    for round in 0..100 {
        let heavy = usize::from(round % 10 == 9);
        let (estimate, duration) = if heavy == 1 { (1.0, 1.2) } else { (0.002, 0.022) };
        let request = host.request(heavy, |incoming| {
            (incoming.estimated_work, incoming.table_group) = (Some(estimate), round)
        });
        host.advance(0.05);
        (dispatched, total) = (dispatched + host.engines_of(request).len(), total + 1);
        host.now += duration;
        if !host.engines_of(request).is_empty() {
            host.attempt_ended(request, AttemptOutcome::Completed, duration);
        }
    }
    assert_eq!((dispatched, total), (100, 100));
}

/// If all gateways use their fair share, each core has one thread. The share is four light requests here, or one heavy
/// one.
#[test]
fn the_fair_shares_of_all_gateways_together_are_no_more_than_one_thread_per_core() {
    for (class, estimate, fair_share) in [(0, 0.002, 4), (1, 1.0, 1)] {
        let mut host = host_that_infers_peer_load();
        let requests: Vec<usize> = (0..30)
            .map(|group| {
                host.request(class, |incoming| {
                    (incoming.estimated_work, incoming.table_group) = (Some(estimate), 100 + group)
                })
            })
            .collect();
        host.advance(0.1);
        let dispatched = requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
        assert_eq!(dispatched, fair_share, "class {class}");
    }
}
