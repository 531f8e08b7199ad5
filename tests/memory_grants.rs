//! Memory grants, by return on consumption.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

// ---- the design's path ----

#[test]
fn every_request_gets_its_best_grant_until_memory_is_waited_for() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let calm = host.request(1, |_| ());
    host.round();
    assert!(host.grant_of(calm) > 999.0);
    host.attempt_ended(calm, AttemptOutcome::Completed, 1.0);
    // Two periods of work with waits for memory: θ jumps, and half the memory asked for is no longer given.
    let mut quarters = 0;
    for step in 0..60 {
        let request = host
            .request(1, |taken| taken.estimated_memory_mb = Some(if step % 2 == 0 { 1000.0 } else { 500.0 }));
        host.advance(0.1);
        if host.engines_of(request).is_empty() {
            continue;
        }
        host.gateway.attempt_status_received(host.now, request, AttemptStatus::WaitsForMemory);
        let quarter = host.grant_of(request) <= 420.0;
        quarters += usize::from(quarter);
        host.attempt_ended(request, AttemptOutcome::Completed, if quarter { 2.0 } else { 1.0 });
    }
    assert!(host.logged("θ"));
    assert!(quarters > 5);
    // The waits end: θ falls, and in time every request has its best grant again.
    for _ in 0..300 {
        let request = host.request(1, |_| ());
        host.advance(0.1);
        let quarter = host.grant_of(request) <= 500.0;
        host.attempt_ended(request, AttemptOutcome::Completed, if quarter { 2.0 } else { 1.0 });
    }
    assert!(host.grant_of(host.next_request - 1) > 900.0);
}

#[test]
fn a_grant_is_at_most_half_an_engines_memory() {
    let mut deployment = two_class_deployment();
    deployment.max_memory_share = 0.9;
    let mut host = TestHost::new(deployment, 1);
    let request = host.request(1, |taken| taken.estimated_memory_mb = Some(7000.0));
    host.round();
    assert_eq!(host.grant_of(request), 4000.0);
}

#[test]
fn a_ledger_binds_only_under_pressure() {
    // A second gateway: the ledger starts at half the memory, 4000 MB.
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    deployment.engine_kinds[0].cores = 64.0;
    let mut host = TestHost::new(deployment, 1);
    let large = |taken: &mut IncomingRequest| taken.estimated_memory_mb = Some(3000.0);
    let calm = [host.request(1, large), host.request(1, large)];
    host.round();
    assert!(calm.iter().all(|&request| host.grant_of(request) > 2999.0));
    host.attempt_ended(calm[1], AttemptOutcome::Completed, 1.0);
    host.gateway.attempt_status_received(host.now, calm[0], AttemptStatus::WaitsForMemory);
    let pressed = host.request(1, large);
    host.round();
    assert_ne!(host.engines_of(pressed).len(), 1, "3000 and 750 MB are past what is left of 3200 MB");
    host.attempt_ended(calm[0], AttemptOutcome::Completed, 1.0);
    host.round();
    assert!(host.grant_of(pressed) > 2999.0, "an empty ledger admits a first job");
}

#[test]
fn a_spill_where_grants_are_honoured_is_no_pressure() {
    for trims in [false, true] {
        let mut deployment = two_class_deployment();
        deployment.engine_kinds[0].cores = 64.0;
        deployment.trims_grants = trims;
        let mut host = TestHost::new(deployment, 1);
        let requests: Vec<usize> = (0..3)
            .map(|_| host.request(1, |taken| taken.estimated_memory_mb = Some(3000.0)))
            .inspect(|_| ())
            .collect();
        host.round();
        host.gateway.attempt_status_received(host.now, requests[0], AttemptStatus::Spills);
        let next = host.request(1, |taken| taken.estimated_memory_mb = Some(3000.0));
        host.round();
        assert_eq!(host.engines_of(next).is_empty(), trims);
    }
}

#[test]
fn grants_have_headroom_until_memory_estimates_prove_right() {
    let mut host = TestHost::new(two_class_deployment(), 2);
    let mut grants = Vec::new();
    for _ in 0..80 {
        let request = host.request(1, |_| ());
        host.advance(0.1);
        grants.push(host.grant_of(request));
        host.completed_with_cost(request, 1.0, 4.0, 1000.0);
    }
    assert!((1300.0..1700.0).contains(&grants[0]), "{}", grants[0]);
    assert!((1000.0..1100.0).contains(&grants[79]), "{}", grants[79]);
}

/// An engine that pages counts the lesser of grant and need, so that a generous grant costs nothing there.
#[test]
fn grants_have_more_headroom_where_engines_page() {
    let granted = |pages: bool| {
        let mut host = TestHost::new(Deployment { pages_memory: pages, ..two_class_deployment() }, 2);
        let request = host.request(1, |taken| taken.estimated_memory_mb = Some(1000.0));
        host.round();
        host.grant_of(request)
    };
    assert!((1599.0..1601.0).contains(&granted(false)), "{}", granted(false));
    assert!(granted(true) > 1.2 * granted(false), "{}", granted(true));
}
