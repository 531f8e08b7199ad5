//! Selection of the engine for a request: placement constraints (rule 6), table groups, table locks, load of peers.

mod common;

use cleatgw::*;
use common::{class, listing, two_class_deployment, TestHost};

#[test]
fn a_request_with_placement_constraints_goes_to_no_other_engine_even_if_no_allowed_engine_is_listed() {
    let mut deployment = two_class_deployment();
    deployment.classes[0].allowed_zones = Some(vec![1]);
    deployment.classes[1].allowed_kinds = Some(vec![1]);
    let mut host = TestHost::new(deployment, 3);
    let requests = [host.request(0, |_| ()), host.request(1, |_| ())];
    host.advance(15.0);
    for request in requests {
        assert_eq!((host.engines_of(request).len(), host.answers(request).len()), (0, 1));
    }
}

#[test]
fn requests_of_one_table_group_go_to_the_same_few_engines_at_every_gateway() {
    let engines_used = |engine_count: usize| {
        let mut host = TestHost::new(two_class_deployment(), engine_count);
        let mut engines = Vec::new();
        for _ in 0..30 {
            let request = host.request(0, |incoming| incoming.table_group = 3);
            host.round();
            engines.extend(host.engines_of(request));
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
        }
        engines.sort_unstable();
        engines.dedup();
        engines
    };
    assert_eq!(
        [engines_used(8).len(), engines_used(40).len()],
        [2, 3],
        "spread over more than one engine, but not over many"
    );
    assert_eq!(engines_used(8), engines_used(8));
}

#[test]
fn no_request_is_dispatched_to_an_engine_where_a_request_locks_its_tables() {
    let mut deployment = two_class_deployment();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut host = TestHost::new(deployment, 1);
    let (locking, second) = (host.request(2, |_| ()), host.request(2, |_| ()));
    let elsewhere = host.request(0, |incoming| incoming.table_group = 8);
    host.round();
    let reader = host.request(0, |_| ());
    host.round();
    assert_eq!(
        [locking, second, reader, elsewhere].map(|request| host.engines_of(request).len()),
        [1, 0, 0, 1]
    );
    host.attempt_ended(locking, AttemptOutcome::Completed, 1.0);
    host.round();
    assert_eq!([second, reader].map(|request| host.engines_of(request).len()), [1, 1]);
}

#[test]
fn readers_avoid_the_engine_where_a_request_locks_their_tables() {
    let mut deployment = two_class_deployment();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut host = TestHost::new(deployment, 6);
    let locking = host.request(2, |_| ());
    host.round();
    for _ in 0..8 {
        let reader = host.request(0, |_| ());
        host.round();
        assert_ne!(host.engines_of(reader), host.engines_of(locking));
    }
}

#[test]
fn a_table_locking_request_has_a_longer_time_out_as_it_may_wait_for_other_locks() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    let mut time_out_of = |locks_tables| {
        deployment.classes[1].locks_tables = locks_tables;
        let mut host = TestHost::new(deployment.clone(), 3);
        host.request(1, |incoming| incoming.deadline += 60.0);
        host.round();
        host.recorder.time_outs[0].expect("a time-out")
    };
    let (other, locking) = (time_out_of(false), time_out_of(true));
    assert!(locking > 1.5 * other, "{locking} s with table locks, {other} s without");
}

#[test]
fn requests_with_placement_constraints_are_not_starved_when_all_allowed_engines_are_ejected() {
    let mut deployment = two_class_deployment();
    deployment.classes[1].allowed_zones = Some(vec![1]);
    let mut host = TestHost::new(deployment, 3);
    host.gateway.engines_listed(100.0, &[EngineListing { zone: 1, ..listing(9) }], false);
    for _ in 0..3 {
        let request = host.request(1, |_| ());
        host.round();
        host.attempt_ended(request, AttemptOutcome::ConnectionLost, 0.1);
        host.gateway.request_finished(request);
    }
    host.advance(0.5);
    assert!(host.logged("engine 9 ejected"));
    let request = host.request(1, |_| ());
    host.round();
    assert_eq!(host.engines_of(request), [9]);
}

#[test]
fn table_locking_requests_use_the_second_half_of_their_groups_engine_order_until_they_run_short_of_time() {
    let mut deployment = two_class_deployment();
    let locking_class = RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) };
    deployment.classes.push(RequestClass { latency_objective: 8.0, ..locking_class });
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> =
        (0..5).map(|_| host.request(2, |incoming| incoming.deadline += 20.0)).collect();
    let dispatched =
        |host: &TestHost| requests.iter().filter(|&&request| !host.engines_of(request).is_empty()).count();
    host.round();
    // Half of the six engines.
    assert_eq!(dispatched(&host), 3);
    host.advance(12.0);
    assert_eq!(dispatched(&host), 5);
}

#[test]
fn a_first_attempt_must_fit_beside_the_requests_of_peers() {
    let mut deployment = two_class_deployment();
    deployment.gateways = 20.0;
    let mut host = TestHost::new(deployment, 1);
    for (requests, attempts) in [(1.0, 1), (7.0, 0)] {
        for _ in 0..20 {
            let light = host.request(0, |_| ());
            host.advance(0.1);
            if !host.engines_of(light).is_empty() {
                host.completed_with_load(light, 0.1, requests);
            }
        }
        let heavy = host.request(1, |_| ());
        host.advance(0.05);
        assert_eq!(host.engines_of(heavy).len(), attempts, "the engine reports {requests} requests");
        if attempts > 0 {
            host.completed_with_load(heavy, 1.0, requests);
        }
    }
}

#[test]
fn a_gateway_among_many_with_little_traffic_uses_one_engine_per_table_group() {
    let mut host = TestHost::new(Deployment { gateways: 300.0, ..two_class_deployment() }, 12);
    for group in 0..8 {
        let mut used: Vec<usize> = (0..6)
            .flat_map(|_| {
                let request = host.request(0, |incoming| incoming.table_group = group);
                host.advance(0.1);
                host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
                host.engines_of(request)
            })
            .collect();
        used.dedup();
        assert_eq!(used.len(), 1, "group {group}");
    }
}
