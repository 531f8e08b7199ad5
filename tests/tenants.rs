//! Tenants share the engines.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

// ---- tenants ----

/// Two tenants of these weights, whose lines hold so many requests.
fn tenants(host: &mut TestHost, weights: [f64; 2], most_queued: usize) {
    tenants_moved(host, weights, most_queued, 0);
}

/// The same, with all that is open moved to one of them.
fn tenants_moved(host: &mut TestHost, weights: [f64; 2], most_queued: usize, to: usize) {
    use cleatgw::queue::{TenantConfig, TenantQueue};
    let tenant = |weight| TenantConfig { weight, max_queued: most_queued, ..TenantConfig::default() };
    let line =
        TenantQueue::new(vec![TenantConfig::default(), tenant(weights[0]), tenant(weights[1])], host.now);
    host.gateway.set_tenants(host.now, line, &|_| to);
}

#[test]
fn a_greedy_tenant_does_not_keep_another_ones_requests_from_their_engines() {
    let order = |parted: bool| {
        let mut host = TestHost::new(two_class_deployment(), 1);
        if parted {
            tenants(&mut host, [1.0, 1.0], 1000);
        }
        // The greedy one's requests are the denser ones, and there are a hundred.
        let greedy: Vec<usize> = (0..100)
            .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
            .collect();
        let modest: Vec<usize> = (0..3)
            .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (2, Some(0.2))))
            .collect();
        host.round();
        let out = |requests: &[usize]| {
            requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count()
        };
        (out(&greedy), out(&modest))
    };
    let (greedy, modest) = order(false);
    assert!(greedy > 3 && modest == 0, "{greedy} {modest}");
    let (greedy, modest) = order(true);
    assert!(greedy > 0 && modest == 3, "{greedy} {modest}");
}

#[test]
fn a_line_that_is_too_long_has_its_last_rejected_at_once_but_none_that_may_have_run() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    tenants(&mut host, [1.0, 1.0], 2);
    let ran = host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(9.0)));
    host.round();
    assert_eq!(host.engines_of(ran).len(), 1);
    let later: Vec<usize> = (0..60)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    host.round();
    // Its attempt breaks: it may have run, and waits for the last in the line.
    host.attempt_ended(ran, AttemptOutcome::ConnectionLost, 0.1);
    host.round();
    host.round();
    let back = |request: &usize| matches!(host.answers(*request)[..], [(_, WrittenAction::Reject(_))]);
    let out = later.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
    let told = later.iter().filter(|request| back(request)).count();
    // One more than two, as the one that may have run is not displaced.
    assert!(told > 20 && told + out <= 60 && told + out + 2 >= 60, "{told} told, {out} out");
    assert!(host.answers(ran).is_empty());
}

/// Hard case: clients vanish while their requests are in line.
#[test]
fn requests_whose_clients_vanish_leave_the_line_and_hold_nobody_up() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    tenants(&mut host, [1.0, 1.0], 40);
    let gone: Vec<usize> = (0..40)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    host.round();
    let waited = host.gateway.queue.load(1).queued;
    gone.iter().for_each(|request| host.gateway.request_finished(*request));
    assert!(waited > 0 && host.gateway.queue.is_empty(), "{waited}");
    // Its line has room again: none of those that come now is displaced.
    for _ in 0..40 {
        host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1)));
    }
    host.round();
    assert!(host.recorder.retry_after.is_empty(), "{:?}", host.recorder.retry_after);
}

#[test]
fn new_lines_take_over_what_waits_and_what_is_out() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    tenants(&mut host, [1.0, 1.0], 1000);
    let requests: Vec<usize> = (0..50)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.2))))
        .collect();
    host.round();
    let out =
        |host: &TestHost| requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
    let before = out(&host);
    assert!(before > 0 && before < 50);
    // The tenant is gone from the file: its requests wait among the others, and none is lost.
    tenants_moved(&mut host, [1.0, 1.0], 1000, 2);
    assert_eq!((host.gateway.queue.len(), host.gateway.queue.load(2).in_flight), (50 - before, before));
    let first = *requests.iter().find(|request| !host.engines_of(**request).is_empty()).unwrap();
    host.attempt_ended(first, AttemptOutcome::Completed, 0.2);
    host.advance(0.05);
    assert_eq!(out(&host), before + 1);
}

#[test]
fn a_tenant_that_is_rejected_is_told_when_its_line_would_take_it() {
    let advice = |parted: bool| {
        let mut host = TestHost::new(Deployment { max_retry_after: Some(60.0), ..two_class_deployment() }, 1);
        if parted {
            tenants(&mut host, [1.0, 1.0], 30);
        }
        // Its line moves: eight requests go and end each tenth of a second.
        let mut out = Vec::new();
        for _ in 0..30 {
            (0..8).for_each(|_| {
                out.push(host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
            });
            host.round();
            host.advance(0.1);
            for request in std::mem::take(&mut out) {
                match host.engines_of(request).is_empty() {
                    true => out.push(request),
                    false => host.attempt_ended(request, AttemptOutcome::Completed, 0.1),
                }
            }
        }
        for _ in 0..100 {
            host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1)));
        }
        host.advance(3.0);
        host.recorder.retry_after.clone()
    };
    let plainly = advice(false);
    assert!(!plainly.is_empty() && plainly.iter().all(|told| *told == Some(60.0)), "{plainly:?}");
    let honest = advice(true);
    assert!(honest.iter().any(|told| told.is_some_and(|wait| (6.0..30.0).contains(&wait))), "{honest:?}");
}
