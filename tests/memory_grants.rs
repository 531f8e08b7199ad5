//! Memory grants, which are chosen by return on consumption.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn every_request_gets_its_best_grant_until_requests_wait_for_memory() {
    let mut host = TestHost::new(two_class_deployment(), 4);
    let without_pressure = host.request(1, |_| ());
    host.round();
    assert!(host.grant_of(without_pressure) > 999.0);
    host.attempt_ended(without_pressure, AttemptOutcome::Completed, 1.0);
    // Requests wait for memory for two update periods of θ: θ jumps, and requests get less than half of the memory that
    // they ask for.
    let mut quarter_grants = 0;
    for step in 0..60 {
        let request = host.request(1, |incoming| {
            incoming.estimated_memory_mb = Some(if step % 2 == 0 { 1000.0 } else { 500.0 })
        });
        host.advance(0.1);
        if host.engines_of(request).is_empty() {
            continue;
        }
        host.gateway.attempt_status_received(host.now, request, AttemptStatus::WaitsForMemory);
        // Whether the grant is a quarter of the request's full grant.
        let is_quarter_grant = host.grant_of(request) <= 420.0;
        quarter_grants += usize::from(is_quarter_grant);
        host.attempt_ended(request, AttemptOutcome::Completed, if is_quarter_grant { 2.0 } else { 1.0 });
    }
    assert!(host.logged("θ"));
    assert!(quarter_grants > 5);
    // The waits end: θ falls, and after some time every request has its best grant again.
    for _ in 0..300 {
        let request = host.request(1, |_| ());
        host.advance(0.1);
        let is_quarter_grant = host.grant_of(request) <= 500.0;
        host.attempt_ended(request, AttemptOutcome::Completed, if is_quarter_grant { 2.0 } else { 1.0 });
    }
    assert!(host.grant_of(host.next_request - 1) > 900.0);
}

#[test]
fn a_grant_is_at_most_half_an_engines_memory() {
    let mut deployment = two_class_deployment();
    deployment.max_memory_share = 0.9;
    let mut host = TestHost::new(deployment, 1);
    let request = host.request(1, |incoming| incoming.estimated_memory_mb = Some(7000.0));
    host.round();
    assert_eq!(host.grant_of(request), 4000.0);
}

#[test]
fn a_ledger_limits_grants_only_under_memory_pressure() {
    // With a second gateway, the ledger starts at half the memory, 4000 MB.
    let mut deployment = two_class_deployment();
    deployment.gateways = 2.0;
    deployment.engine_kinds[0].cores = 64.0;
    let mut host = TestHost::new(deployment, 1);
    let large = |incoming: &mut IncomingRequest| incoming.estimated_memory_mb = Some(3000.0);
    let without_pressure = [host.request(1, large), host.request(1, large)];
    host.round();
    assert!(without_pressure.iter().all(|&request| host.grant_of(request) > 2999.0));
    host.attempt_ended(without_pressure[1], AttemptOutcome::Completed, 1.0);
    host.gateway.attempt_status_received(host.now, without_pressure[0], AttemptStatus::WaitsForMemory);
    let under_pressure = host.request(1, large);
    host.round();
    assert_ne!(
        host.engines_of(under_pressure).len(),
        1,
        "3000 MB and 750 MB together exceed the remaining 3200 MB"
    );
    host.attempt_ended(without_pressure[0], AttemptOutcome::Completed, 1.0);
    host.round();
    assert!(host.grant_of(under_pressure) > 2999.0, "an empty ledger admits a first request");
}

#[test]
fn a_spill_counts_as_memory_pressure_only_where_grants_are_trimmed() {
    for trims in [false, true] {
        let mut deployment = two_class_deployment();
        deployment.engine_kinds[0].cores = 64.0;
        deployment.trims_grants = trims;
        let mut host = TestHost::new(deployment, 1);
        let requests: Vec<usize> =
            (0..3).map(|_| host.request(1, |incoming| incoming.estimated_memory_mb = Some(3000.0))).collect();
        host.round();
        host.gateway.attempt_status_received(host.now, requests[0], AttemptStatus::Spills);
        let next = host.request(1, |incoming| incoming.estimated_memory_mb = Some(3000.0));
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

/// An engine that pages memory counts the smaller of grant and need, so a generous grant costs nothing there.
#[test]
fn grants_have_more_headroom_where_engines_page() {
    let granted = |pages: bool| {
        let mut host = TestHost::new(Deployment { pages_memory: pages, ..two_class_deployment() }, 2);
        let request = host.request(1, |incoming| incoming.estimated_memory_mb = Some(1000.0));
        host.round();
        host.grant_of(request)
    };
    assert!((1599.0..1601.0).contains(&granted(false)), "{}", granted(false));
    assert!(granted(true) > 1.2 * granted(false), "{}", granted(true));
}
