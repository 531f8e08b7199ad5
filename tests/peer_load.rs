//! What other gateways do on the engines, as far as this one can tell.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

#[test]
fn news_of_one_engine_counts_for_those_that_told_nothing() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 200.0;
    let mut host = TestHost::new(deployment, 8);
    for _ in 0..20 {
        let light = host.request(0, |taken| taken.table_group = 1);
        host.round();
        host.completed_with_load(light, 0.1, 15.0);
    }
    host.advance(0.3);
    let heavy: Vec<usize> = (0..20).map(|group| host.request(1, |taken| taken.table_group = group)).collect();
    host.round();
    assert!(heavy.iter().all(|&request| host.engines_of(request).is_empty()));
    // The news fades: in time engines are tried again.
    host.advance(15.0);
    let later = host.request(1, |_| ());
    host.round();
    assert_eq!(host.engines_of(later).len(), 1);
}

#[test]
fn a_busy_gateway_among_many_fills_engines_that_tell_nothing() {
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

/// Hard case: answers tell no work, and the estimates of light requests are far too low, single ones by twenty times. Six
/// gateways before engines that stand all but idle must not believe in a crowd there and turn the heavy requests back.
#[test]
fn few_gateways_see_no_crowd_in_estimates_that_no_answer_corrects() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 6.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut host = TestHost::new(deployment, 4);
    let off = [0.05, 0.6, 0.1, 0.3];
    let mut heavy = Vec::new();
    for round in 0..200 {
        // A light request that needs 0.3 s, whatever is said of it; now and then a heavy one that is said to need 3 s, and does.
        let group = round as u64 % 40;
        let light = host.request(0, |taken| {
            (taken.estimated_work, taken.table_group) = (Some(0.3 * off[round % 4]), group)
        });
        heavy.extend((round % 20 == 19).then(|| {
            host.request(1, |taken| (taken.estimated_work, taken.table_group) = (Some(3.0), group))
        }));
        host.round();
        host.now += 0.3;
        if !host.engines_of(light).is_empty() {
            host.attempt_ended(light, AttemptOutcome::Completed, 0.3);
        }
        host.advance(0.1);
        for request in heavy.clone() {
            let out = host.engines_of(request).len() == 1;
            let since = host.recorder.actions.iter().find(
                |(_, what)| matches!(what, WrittenAction::Attempt { request: of, .. } if *of == request),
            );
            if out && since.is_some_and(|(at, _)| host.now >= at + 1.2) {
                host.attempt_ended(request, AttemptOutcome::Completed, 1.2);
                heavy.retain(|other| *other != request);
            }
        }
    }
    let rejected =
        host.recorder.actions.iter().filter(|(_, what)| matches!(what, WrittenAction::Reject(_))).count();
    assert_eq!(rejected, 0, "of 200 light jobs and 10 heavy ones");
}

/// Thirty-two gateways before eight engines of sixteen cores. No answer tells work, and what requests are said to need is a
/// tenth of what they take: by the first answers a crowd stands on every engine.
fn many_that_feel_a_crowd() -> TestHost {
    let mut deployment = two_class_deployment();
    deployment.gateways = 32.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut host = TestHost::new(deployment, 8);
    for group in 0..40 {
        let request =
            host.request(0, |taken| (taken.estimated_work, taken.table_group) = (Some(0.002), group));
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

/// Hard case: all thirty-two stand still before idle engines, each for what it feels of the others.
#[test]
fn many_gateways_that_feel_a_crowd_which_nothing_proves_still_use_their_even_part() {
    let mut host = many_that_feel_a_crowd();
    let (mut dispatched, mut of) = (0, 0);
    for round in 0..100 {
        let heavy = usize::from(round % 10 == 9);
        let (said, takes) = if heavy == 1 { (1.0, 1.2) } else { (0.002, 0.022) };
        let request =
            host.request(heavy, |taken| (taken.estimated_work, taken.table_group) = (Some(said), round));
        host.advance(0.05);
        (dispatched, of) = (dispatched + host.engines_of(request).len(), of + 1);
        host.now += takes;
        if !host.engines_of(request).is_empty() {
            host.attempt_ended(request, AttemptOutcome::Completed, takes);
        }
    }
    assert_eq!((dispatched, of), (100, 100));
}

/// If all gateways take their even part, each core has a thread: four light requests here, or one heavy one.
#[test]
fn the_even_part_is_no_more_than_a_thread_a_core_from_all_gateways_together() {
    for (class, said, even) in [(0, 0.002, 4), (1, 1.0, 1)] {
        let mut host = many_that_feel_a_crowd();
        let requests: Vec<usize> = (0..30)
            .map(|group| {
                host.request(class, |taken| {
                    (taken.estimated_work, taken.table_group) = (Some(said), 100 + group)
                })
            })
            .collect();
        host.advance(0.1);
        let dispatched = requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
        assert_eq!(dispatched, even, "category {class}");
    }
}
