//! Tenants: fair sharing of the engines, queue limits and changes of the tenants.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost, WrittenAction};

/// Sets tenants 1 and 2 with these weights and moves open requests to the root, tenant 0. Each tenant has a queue of at
/// most `max_queued` requests.
fn set_tenants(host: &mut TestHost, weights: [f64; 2], max_queued: usize) {
    set_tenants_and_move(host, weights, max_queued, 0);
}

/// Sets the same tenants and moves all open requests to the tenant `target`.
fn set_tenants_and_move(host: &mut TestHost, weights: [f64; 2], max_queued: usize, target: usize) {
    use cleatgw::queue::{TenantConfig, TenantQueue};
    let tenant = |weight| TenantConfig { weight, max_queued, ..TenantConfig::default() };
    let queue =
        TenantQueue::new(vec![TenantConfig::default(), tenant(weights[0]), tenant(weights[1])], host.now);
    host.gateway.set_tenants(host.now, queue, &|_| target);
}

#[test]
fn a_greedy_tenant_does_not_keep_the_requests_of_another_tenant_from_engines() {
    let dispatched = |with_tenants: bool| {
        let mut host = TestHost::new(two_class_deployment(), 1);
        if with_tenants {
            set_tenants(&mut host, [1.0, 1.0], 1000);
        }
        // The greedy tenant has a hundred requests, with more value for their work than those of the other tenant.
        let greedy: Vec<usize> = (0..100)
            .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
            .collect();
        let modest: Vec<usize> = (0..3)
            .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (2, Some(0.2))))
            .collect();
        host.round();
        let count_dispatched = |requests: &[usize]| {
            requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count()
        };
        (count_dispatched(&greedy), count_dispatched(&modest))
    };
    let (greedy, modest) = dispatched(false);
    assert!(greedy > 3 && modest == 0, "{greedy} {modest}");
    let (greedy, modest) = dispatched(true);
    assert!(greedy > 0 && modest == 3, "{greedy} {modest}");
}

#[test]
fn a_queue_over_its_limit_rejects_its_last_requests_at_once_but_none_that_may_have_run() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    set_tenants(&mut host, [1.0, 1.0], 2);
    let ran = host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(9.0)));
    host.round();
    assert_eq!(host.engines_of(ran).len(), 1);
    let later: Vec<usize> = (0..60)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    host.round();
    // The connection of its attempt is lost: the request may have run, and is queued behind the others.
    host.attempt_ended(ran, AttemptOutcome::ConnectionLost, 0.1);
    host.round();
    host.round();
    let rejected = |request: &usize| matches!(host.answers(*request)[..], [(_, WrittenAction::Reject(_))]);
    let dispatched = later.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
    let rejections = later.iter().filter(|request| rejected(request)).count();
    // The queue holds one more than two, because the request that may have run is not displaced.
    assert!(
        rejections > 20 && rejections + dispatched <= 60 && rejections + dispatched + 2 >= 60,
        "{rejections} rejected, {dispatched} dispatched"
    );
    assert!(host.answers(ran).is_empty());
}

#[test]
fn requests_whose_clients_disconnect_leave_the_queue_and_delay_no_others() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    set_tenants(&mut host, [1.0, 1.0], 40);
    let abandoned: Vec<usize> = (0..40)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    host.round();
    let queued = host.gateway.queue.load(1).queued;
    abandoned.iter().for_each(|request| host.gateway.request_finished(*request));
    assert!(queued > 0 && host.gateway.queue.is_empty(), "{queued} requests were queued");
    // The queue has space again: none of the requests that arrive now is displaced.
    for _ in 0..40 {
        host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1)));
    }
    host.round();
    assert!(host.recorder.retry_after.is_empty(), "{:?}", host.recorder.retry_after);
}

#[test]
fn new_tenant_queues_take_over_queued_and_in_flight_requests() {
    let mut host = TestHost::new(two_class_deployment(), 1);
    set_tenants(&mut host, [1.0, 1.0], 1000);
    let requests: Vec<usize> = (0..50)
        .map(|_| host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.2))))
        .collect();
    host.round();
    let dispatched =
        |host: &TestHost| requests.iter().filter(|request| !host.engines_of(**request).is_empty()).count();
    let before = dispatched(&host);
    assert!(before > 0 && before < 50);
    // The tenant is removed from the configuration: its requests move to another tenant, and none is lost.
    set_tenants_and_move(&mut host, [1.0, 1.0], 1000, 2);
    assert_eq!((host.gateway.queue.len(), host.gateway.queue.load(2).in_flight), (50 - before, before));
    let first = *requests.iter().find(|request| !host.engines_of(**request).is_empty()).unwrap();
    host.attempt_ended(first, AttemptOutcome::Completed, 0.2);
    host.advance(0.05);
    assert_eq!(dispatched(&host), before + 1);
}

#[test]
fn a_rejected_tenant_is_told_when_its_queue_would_accept_a_request() {
    let retry_advice = |with_tenants: bool| {
        let mut host = TestHost::new(Deployment { max_retry_after: Some(60.0), ..two_class_deployment() }, 1);
        if with_tenants {
            set_tenants(&mut host, [1.0, 1.0], 30);
        }
        // The queue moves: eight requests arrive in each tenth of a second, and those that are dispatched complete.
        let mut waiting = Vec::new();
        for _ in 0..30 {
            (0..8).for_each(|_| {
                waiting.push(
                    host.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))),
                )
            });
            host.round();
            host.advance(0.1);
            for request in std::mem::take(&mut waiting) {
                match host.engines_of(request).is_empty() {
                    true => waiting.push(request),
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
    let without_tenants = retry_advice(false);
    assert!(
        !without_tenants.is_empty() && without_tenants.iter().all(|advice| *advice == Some(60.0)),
        "{without_tenants:?}"
    );
    let from_queue = retry_advice(true);
    assert!(
        from_queue.iter().any(|advice| advice.is_some_and(|wait| (6.0..30.0).contains(&wait))),
        "{from_queue:?}"
    );
}
