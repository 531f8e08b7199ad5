//! The engine list: engines that drain, leave, are replaced or are not listed (rule 3).

mod common;

use cleatgw::*;
use common::{listing, two_class_deployment, TestHost, WrittenAction};

#[test]
fn no_new_request_goes_to_a_draining_or_gone_engine() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let draining = EngineListing { stage: EngineStage::Draining, ..listing(0) };
    host.gateway.engines_listed(100.0, &[draining, listing(1)], true);
    for group in 0..20 {
        let request = host.request(0, |incoming| incoming.table_group = group);
        host.advance(0.1);
        assert_eq!(host.engines_of(request), [1]);
        host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
    }
    // An engine that is missing from a complete list is gone.
    host.gateway.engines_listed(host.now, &[draining], true);
    let request = host.request(0, |_| ());
    host.advance(1.0);
    assert_eq!(host.engines_of(request), []);
}

#[test]
fn a_lost_engine_list_is_watched_again() {
    let mut deployment = two_class_deployment();
    deployment.max_list_age = Some(10.0);
    let mut host = TestHost::new(deployment, 1);
    host.round();
    host.gateway.engine_list_failed(host.now);
    host.advance(2.0);
    let watches = host.recorder.actions.iter().filter(|(_, action)| *action == WrittenAction::Watch).count();
    assert_eq!(watches, 2);
    assert!(host.logged("engine list unavailable"));
}

#[test]
fn an_engine_list_may_start_empty_and_grow_fivefold_with_cold_engines() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 500.0;
    let mut host = TestHost::new(deployment, 0);
    let early = host.request(0, |_| ());
    host.advance(0.5);
    for count in [2, 10] {
        let started_at = Some(host.now);
        let cold: Vec<EngineListing> =
            (0..count).map(|at| EngineListing { started_at, ..listing(at) }).collect();
        host.gateway.engines_listed(host.now, &cold, true);
        host.advance(30.0);
        let requests: Vec<usize> =
            (0..40).map(|group| host.request(0, |incoming| incoming.table_group = group)).collect();
        host.round();
        let mut used: Vec<usize> = requests.iter().flat_map(|&request| host.engines_of(request)).collect();
        used.sort_unstable();
        used.dedup();
        assert!(used.len() > count / 2, "{used:?} of {count}");
    }
    assert_eq!(host.answers(early).len(), 1);
}

#[test]
fn a_new_engine_that_reuses_an_index_inherits_no_history() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    for _ in 0..8 {
        let request = host.request(0, |_| ());
        host.round();
        if !host.engines_of(request).is_empty() {
            host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.1);
        }
        host.gateway.request_finished(request);
    }
    host.advance(0.3);
    assert!(host.logged("ejected"));
    let new = EngineListing { name_hash: 7, ..listing(0) };
    host.gateway.engines_listed(host.now, &[new], true);
    let heavy = host.request(1, |_| ());
    host.round();
    assert_eq!(host.engines_of(heavy), [0]);
}

/// Guards against a new engine that is charged, and reported to peers, for work that the former engine at its index got.
#[test]
fn the_slow_start_work_of_a_former_engine_is_not_charged_to_the_next_one_at_its_index() {
    let mut host = TestHost::new(two_class_deployment(), 0);
    let cold = EngineListing { started_at: Some(host.now), ..listing(0) };
    host.gateway.engines_listed(host.now, &[cold], true);
    let request = host.request(0, |_| ());
    host.advance(0.5);
    host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
    let charged =
        |host: &TestHost| host.gateway.evidence(0, host.now).expect("the engine is listed").slow_start_work;
    let before = charged(&host);
    assert!(before > 0.0, "no work was sent to the cold engine");
    // The budget of an engine that restarts under its name goes on.
    let restarted = EngineListing { started_at: Some(host.now), ..cold };
    host.gateway.engines_listed(host.now, &[restarted], false);
    host.advance(0.5);
    assert_eq!(charged(&host), before);
    let successor = EngineListing { name_hash: 7, ..restarted };
    host.gateway.engines_listed(host.now, &[successor], false);
    host.advance(0.5);
    assert_eq!(charged(&host), 0.0);
}
