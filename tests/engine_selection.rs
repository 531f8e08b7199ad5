//! Which engine a request goes to: placement (rule 6), table groups, table locks, ledgers.

mod common;

use cleatgw::*;
use common::{class, listing, two_class_deployment, TestHost};

#[test]
fn a_bound_request_goes_nowhere_else_even_when_its_places_are_down() {
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
fn requests_of_one_group_go_to_a_few_engines_alike_at_every_gateway() {
    let homes = |seed_engines: usize| {
        let mut host = TestHost::new(two_class_deployment(), seed_engines);
        let mut homes = Vec::new();
        for _ in 0..30 {
            let request = host.request(0, |taken| taken.table_group = 3);
            host.round();
            homes.extend(host.engines_of(request));
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
        }
        homes.sort_unstable();
        homes.dedup();
        homes
    };
    assert_eq!([homes(8).len(), homes(40).len()], [2, 3], "not all on the first, not on many");
    assert_eq!(homes(8), homes(8));
}

// ---- failures met ----

#[test]
fn no_request_is_dispatched_behind_a_holder_of_its_tables() {
    let mut deployment = two_class_deployment();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut host = TestHost::new(deployment, 1);
    let (holder, second) = (host.request(2, |_| ()), host.request(2, |_| ()));
    let elsewhere = host.request(0, |taken| taken.table_group = 8);
    host.round();
    let reader = host.request(0, |_| ());
    host.round();
    assert_eq!(
        [holder, second, reader, elsewhere].map(|request| host.engines_of(request).len()),
        [1, 0, 0, 1]
    );
    host.attempt_ended(holder, AttemptOutcome::Completed, 1.0);
    host.round();
    assert_eq!([second, reader].map(|request| host.engines_of(request).len()), [1, 1]);
}

#[test]
fn readers_keep_away_from_the_engine_where_a_holder_of_their_tables_runs() {
    let mut deployment = two_class_deployment();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut host = TestHost::new(deployment, 6);
    let holder = host.request(2, |_| ());
    host.round();
    for _ in 0..8 {
        let reader = host.request(0, |_| ());
        host.round();
        assert_ne!(host.engines_of(reader), host.engines_of(holder));
    }
}

#[test]
fn a_holder_of_tables_keeps_its_place_behind_other_holders() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    let mut waits = |holds| {
        deployment.classes[1].locks_tables = holds;
        let mut host = TestHost::new(deployment.clone(), 3);
        host.request(1, |taken| taken.deadline += 60.0);
        host.round();
        host.recorder.time_outs[0].expect("a time-out")
    };
    let (other, holder) = (waits(false), waits(true));
    assert!(holder > 1.5 * other, "{holder} s against {other} s");
}

#[test]
fn bound_requests_are_not_starved_when_all_their_places_are_in_doubt() {
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
fn holders_of_tables_keep_to_the_far_half_while_they_have_time() {
    let mut deployment = two_class_deployment();
    let holder = RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) };
    deployment.classes.push(RequestClass { latency_objective: 8.0, ..holder });
    let mut host = TestHost::new(deployment, 6);
    let requests: Vec<usize> = (0..5).map(|_| host.request(2, |taken| taken.deadline += 20.0)).collect();
    let dispatched =
        |host: &TestHost| requests.iter().filter(|&&request| !host.engines_of(request).is_empty()).count();
    host.round();
    assert_eq!(dispatched(&host), 3);
    host.advance(12.0);
    assert_eq!(dispatched(&host), 5);
}

#[test]
fn a_first_attempt_must_fit_beside_what_peers_hold() {
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
        assert_eq!(host.engines_of(heavy).len(), attempts, "{requests} in hand");
        if attempts > 0 {
            host.completed_with_load(heavy, 1.0, requests);
        }
    }
}

#[test]
fn a_gateway_among_many_with_little_traffic_does_not_greet_every_engine_of_a_group() {
    let mut host = TestHost::new(Deployment { gateways: 300.0, ..two_class_deployment() }, 12);
    for group in 0..8 {
        let mut used: Vec<usize> = (0..6)
            .flat_map(|_| {
                let request = host.request(0, |taken| taken.table_group = group);
                host.advance(0.1);
                host.attempt_ended(request, AttemptOutcome::Completed, 0.1);
                host.engines_of(request)
            })
            .collect();
        used.dedup();
        assert_eq!(used.len(), 1, "group {group}");
    }
}
