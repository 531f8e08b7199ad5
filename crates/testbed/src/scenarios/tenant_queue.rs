//! What the line costs as requests and tenants grow.

use cleatgw_tenant_queue::{Budget, QueuedRequest, TenantConfig, TenantQueue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::time::Instant;

/// Nanoseconds for one request's whole way (held, estimated, offered, dispatched, over) with so many in line of so many tenants.
fn cost(requests: usize, tenants: usize, seed: u64) -> f64 {
    let mut chance = SmallRng::seed_from_u64(seed);
    let leaf = |at: usize| TenantConfig {
        weight: 1.0 + (at % 7) as f64,
        budget: Some(Budget { rate: 0.5, burst: 2.0 }),
        ..TenantConfig::default()
    };
    let mut line =
        TenantQueue::new([TenantConfig::default()].into_iter().chain((0..tenants).map(leaf)).collect(), 0.0);
    let mut requests_of: Vec<(usize, f64)> = Vec::new();
    let mut come = |line: &mut TenantQueue, requests_of: &mut Vec<(usize, f64)>, now: f64| {
        let (request, tenant, work) =
            (requests_of.len(), 1 + chance.random_range(0..tenants), chance.random_range(0.01..1.0));
        requests_of.push((tenant, work));
        let density = 1.0 / work;
        line.enqueue(
            QueuedRequest { request, tenant, class: 0, density, work, received_at: now, never_ran: true },
            now,
        );
        request
    };
    for _ in 0..requests {
        come(&mut line, &mut requests_of, 0.0);
    }
    let rounds = 20_000;
    let began = Instant::now();
    for round in 0..rounds {
        let now = f64::from(round) * 1e-3;
        let request = come(&mut line, &mut requests_of, now);
        let wait = line.estimate_wait_of_queued(request, now);
        line.waits.remember(request, wait, now);
        if let Some(request) = line.next(now) {
            let (tenant, work) = requests_of[request];
            line.dispatched(request, now);
            line.attempt_ended(tenant, work, work * 1.1, now);
        }
        // One more that does not fit, as the module tries some in vain.
        line.next(now);
        line.return_offers(now);
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

pub fn measure(requests: usize, tenants: usize, seed: u64) -> Value {
    let steps = [(100, 10), (1000, 100), (10_000, 1000), (requests, tenants)];
    let costs: Vec<Value> = steps
        .into_iter()
        .map(|(requests, tenants)| json!({ "jobs": requests, "teams": tenants, "ns_a_job": cost(requests, tenants, seed).round() }))
        .collect();
    json!({ "costs": costs })
}
