//! Tests of the tenant queue in virtual time, in front of a simulated server of known speed.

use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A server that processes one request at a time, and the queue in front of it.
struct Simulation {
    queue: TenantQueue,
    now: f64,
    /// Seconds of work that the server does per second.
    speed: f64,
    /// Time at which the server finishes its present request.
    free_at: f64,
    next_request: usize,
    /// Queued requests: tenant, work, and time at which the request was received.
    requests: BTreeMap<usize, (usize, f64, f64)>,
    /// By tenant: seconds of work that were served.
    served_work: Vec<f64>,
    /// By tenant: the waits of its requests, in seconds.
    waits: Vec<Vec<f64>>,
}

fn budget(rate: f64, burst: f64) -> Option<Budget> {
    Some(Budget { rate, burst })
}

fn tenant(weight: f64) -> TenantConfig {
    TenantConfig { weight, ..TenantConfig::default() }
}

fn tenants(weights: &[f64]) -> Vec<TenantConfig> {
    [TenantConfig::default()].into_iter().chain(weights.iter().map(|weight| tenant(*weight))).collect()
}

impl Simulation {
    fn new(tenants: Vec<TenantConfig>) -> Simulation {
        let count = tenants.len();
        Simulation {
            queue: TenantQueue::new(tenants, 0.0),
            now: 0.0,
            speed: 1.0,
            free_at: 0.0,
            next_request: 0,
            requests: BTreeMap::new(),
            served_work: vec![0.0; count],
            waits: vec![Vec::new(); count],
        }
    }

    fn enqueue(&mut self, tenant: usize, work: f64) -> usize {
        let request = self.next_request;
        self.next_request += 1;
        let queued = QueuedRequest {
            request,
            tenant,
            class: 0,
            density: 1.0 / work,
            work,
            received_at: self.now,
            never_ran: true,
        };
        self.requests.insert(request, (tenant, work, self.now));
        self.queue.enqueue(queued, self.now);
        request
    }

    /// Serves requests until the given time.
    fn run_until(&mut self, until: f64) {
        loop {
            if self.free_at > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(self.free_at);
            let Some(request) = self.queue.next(self.now) else {
                // Nothing can be offered until the next request is added: tenants over their budgets are served too, so
                // a refill would not add an offer.
                self.now = until;
                return;
            };
            self.queue.dispatched(request, self.now);
            let (tenant, work, received_at) = self.requests.remove(&request).unwrap();
            self.waits[tenant].push(self.now - received_at);
            self.served_work[tenant] += work;
            self.free_at = self.now + work / self.speed;
            self.queue.attempt_ended(tenant, work, work, self.free_at);
        }
    }

    fn enqueue_many(&mut self, tenant: usize, requests: usize, work: f64) {
        (0..requests).for_each(|_| {
            self.enqueue(tenant, work);
        });
    }
}

#[test]
fn single_tenant_is_ordered_by_density_and_a_request_not_dispatched_keeps_its_place() {
    let mut queue = TenantQueue::single();
    for (request, density) in [(1, 2.0), (2, 9.0), (3, 5.0)] {
        queue.enqueue(
            QueuedRequest {
                request,
                tenant: 0,
                class: 0,
                density,
                work: 1.0,
                received_at: 0.0,
                never_ran: true,
            },
            0.0,
        );
    }
    assert_eq!(
        [queue.next(0.0), queue.next(0.0), queue.next(0.0), queue.next(0.0)],
        [Some(2), Some(3), Some(1), None]
    );
    queue.dispatched(3, 0.0);
    queue.return_offers(0.0);
    assert_eq!((queue.len(), queue.next(0.0), queue.next(0.0)), (2, Some(2), Some(1)));
}

#[test]
fn tenants_with_constant_backlog_receive_work_by_weight_whatever_the_size_of_their_requests() {
    let mut simulation = Simulation::new(tenants(&[3.0, 1.0, 1.0]));
    // Each request of the second tenant has fifty times the work of one of the first.
    simulation.enqueue_many(1, 4000, 0.02);
    simulation.enqueue_many(2, 100, 1.0);
    simulation.enqueue_many(3, 1000, 0.1);
    simulation.run_until(50.0);
    let [_, first, second, third] = simulation.served_work[..] else { panic!() };
    assert!(
        (first / second - 3.0).abs() < 0.2 && (third / second - 1.0).abs() < 0.1,
        "served work in seconds: {:?}",
        simulation.served_work
    );
}

#[test]
fn groups_share_by_weight_and_their_tenants_share_what_the_group_receives() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs.extend([TenantConfig { parent: 1, ..tenant(1.0) }, TenantConfig { parent: 1, ..tenant(3.0) }]);
    let mut simulation = Simulation::new(configs);
    simulation.enqueue_many(2, 2000, 0.05);
    simulation.enqueue_many(3, 2000, 0.05);
    simulation.enqueue_many(4, 2000, 0.05);
    simulation.run_until(40.0);
    assert!(
        (simulation.served_work[2] - 20.0).abs() < 0.5 && (simulation.served_work[3] - 5.0).abs() < 0.5,
        "served work in seconds: {:?}",
        simulation.served_work
    );
}

/// Guards against one tenant that sends ten times its share and delays the others.
#[test]
fn a_tenant_that_exceeds_its_share_delays_itself_and_hardly_delays_others() {
    let mut simulation = Simulation::new(tenants(&[1.0, 1.0]));
    // The modest tenant (2) sends 0.4 of the server's capacity, the greedy one (1) 5 times the capacity.
    for step in 0..2000 {
        simulation.run_until(f64::from(step) * 0.05);
        simulation.enqueue_many(1, 25, 0.01);
        if step % 5 == 0 {
            simulation.enqueue_many(2, 1, 0.1);
        }
    }
    let modest = simulation.waits[2].iter().copied().fold(0.0, f64::max);
    let greedy = simulation.waits[1].iter().copied().fold(0.0, f64::max);
    assert!(modest < 0.25 && greedy > 10.0, "longest wait: modest {modest} s, greedy {greedy} s");
}

/// Guards against a tenant that was idle for long, returns with a burst and takes over the server.
#[test]
fn an_idle_tenant_accumulates_no_claim() {
    let mut simulation = Simulation::new(tenants(&[1.0, 1.0]));
    for step in 0..1000 {
        simulation.run_until(f64::from(step) * 0.1);
        simulation.enqueue_many(1, 2, 0.1);
    }
    let before = simulation.served_work[1];
    simulation.enqueue_many(2, 1000, 0.1);
    simulation.run_until(simulation.now + 20.0);
    let (first, second) = (simulation.served_work[1] - before, simulation.served_work[2]);
    assert!(
        (second - 10.0).abs() < 0.5 && (first - 10.0).abs() < 0.5,
        "served work: first tenant {first} s, second tenant {second} s"
    );
}

#[test]
fn a_tenant_over_budget_goes_after_the_others_and_uses_capacity_they_leave() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs[1].budget = budget(0.2, 1.0);
    let mut simulation = Simulation::new(configs);
    simulation.enqueue_many(1, 2000, 0.05);
    simulation.enqueue_many(2, 800, 0.05);
    simulation.run_until(40.0);
    // 1 s of work saved up, plus a fifth of 40 s.
    assert!(
        (simulation.served_work[1] - 9.0).abs() < 0.6,
        "served work in seconds: {:?}",
        simulation.served_work
    );
    // The other tenant is done after about 49 s; from then on all capacity goes to this one.
    simulation.run_until(80.0);
    assert!(
        simulation.served_work[2] > 39.0 && simulation.served_work[1] > 38.0,
        "served work in seconds: {:?}",
        simulation.served_work
    );
}

/// Guards against a request that can never be served because it is larger than its tenant's budget.
#[test]
fn a_budget_smaller_than_one_request_admits_one_and_then_waits() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs[1].budget = budget(0.1, 0.5);
    let mut simulation = Simulation::new(configs);
    simulation.enqueue_many(1, 100, 2.0);
    simulation.enqueue_many(2, 10_000, 0.01);
    simulation.run_until(60.0);
    // 0.5 s saved up and 6 s earned: three or four requests of 2 s each.
    assert!(
        (6.0..=8.0).contains(&simulation.served_work[1]),
        "served work in seconds: {:?}",
        simulation.served_work
    );
}

/// Guards against starvation when the budgets add up to more than the capacity: no tenant exceeds its budget, so the
/// weights decide.
#[test]
fn budgets_that_add_up_to_more_than_the_capacity_leave_the_shares_by_weight() {
    let mut configs = tenants(&[3.0, 1.0]);
    (configs[1].budget, configs[2].budget) = (budget(2.0, 5.0), budget(2.0, 5.0));
    let mut simulation = Simulation::new(configs);
    simulation.enqueue_many(1, 4000, 0.02);
    simulation.enqueue_many(2, 400, 0.2);
    simulation.run_until(40.0);
    assert!(
        (simulation.served_work[1] - 30.0).abs() < 0.5 && (simulation.served_work[2] - 10.0).abs() < 0.5,
        "served work in seconds: {:?}",
        simulation.served_work
    );
}

/// Guards against a former budget that stays in force when a new teams file halves it while its tenant is at its limit.
#[test]
fn a_budget_halved_by_a_new_teams_file_holds_from_then_on() {
    let configs = |rate| {
        let mut configs = tenants(&[1.0, 1.0]);
        configs[1].budget = budget(rate, 0.1);
        configs
    };
    let mut simulation = Simulation::new(configs(0.4));
    simulation.enqueue_many(1, 2000, 0.05);
    simulation.enqueue_many(2, 4000, 0.05);
    simulation.run_until(40.0);
    let before = simulation.served_work[1];
    // Queued requests move to the new queue, as in the decision core.
    let mut new = TenantQueue::new(configs(0.2), simulation.now);
    for (request, (tenant, work, received_at)) in &simulation.requests {
        let (request, tenant, work, received_at) = (*request, *tenant, *work, *received_at);
        let density = 1.0 / work;
        new.enqueue(
            QueuedRequest { request, tenant, class: 0, density, work, received_at, never_ran: true },
            simulation.now,
        );
    }
    simulation.queue = new;
    simulation.run_until(80.0);
    let after = simulation.served_work[1] - before;
    assert!(
        (before - 16.0).abs() < 0.8 && (after - 8.0).abs() < 0.8,
        "served work: {before} s before, {after} s after the change"
    );
}

#[test]
fn a_tenant_long_over_its_budget_has_at_most_one_scheduled_refill() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs[1].budget = budget(0.1, 0.5);
    let mut simulation = Simulation::new(configs);
    simulation.enqueue_many(1, 5000, 0.05);
    simulation.run_until(200.0);
    assert!(
        simulation.served_work[1] > 190.0 && simulation.queue.refills.len() <= 1,
        "scheduled refills: {}",
        simulation.queue.refills.len()
    );
}

/// Guards against a tenant that gains capacity by estimating a tenth of the work that its requests need.
#[test]
fn a_tenant_that_underestimates_its_work_is_charged_the_rest_later() {
    let mut queue = TenantQueue::new(tenants(&[1.0, 1.0]), 0.0);
    let mut served_requests = [0.0f64; 3];
    let mut next_request = 0;
    for round in 0..2000 {
        let now = f64::from(round);
        for tenant in [1, 2] {
            while queue.load(tenant).queued < 3 {
                let work = if tenant == 1 { 0.1 } else { 1.0 };
                queue.enqueue(
                    QueuedRequest {
                        request: next_request,
                        tenant,
                        class: 0,
                        density: 1.0,
                        work,
                        received_at: now,
                        never_ran: true,
                    },
                    now,
                );
                next_request += 1;
            }
        }
        let request = queue.next(now).unwrap();
        queue.dispatched(request, now);
        // All requests need 1 s: ten times the estimate in the case of the first tenant.
        let tenant = if queue.load(1).in_flight > 0 { 1 } else { 2 };
        served_requests[tenant] += 1.0;
        queue.attempt_ended(tenant, if tenant == 1 { 0.1 } else { 1.0 }, 1.0, now);
    }
    assert!(
        (served_requests[1] / served_requests[2] - 1.0).abs() < 0.05,
        "served requests: {served_requests:?}"
    );
}

#[test]
fn with_ageing_requests_go_before_denser_ones_received_much_later() {
    let still_queued_with = |ageing| {
        let mut simulation = Simulation::new(vec![TenantConfig { ageing, ..TenantConfig::default() }]);
        simulation.enqueue_many(0, 10, 0.05);
        let old = simulation.enqueue(0, 1.0);
        for step in 0..200 {
            simulation.run_until(f64::from(step) * 0.1);
            simulation.enqueue_many(0, 3, 0.05);
        }
        (simulation.requests.contains_key(&old), simulation.now)
    };
    assert!(still_queued_with(None).0, "without ageing the denser requests should starve it");
    assert!(!still_queued_with(Some(1.0)).0);
}

#[test]
fn a_tenants_class_boosts_outweigh_density() {
    let mut queue = TenantQueue::new(
        vec![TenantConfig { class_boosts: vec![0.0, 10.0], ..TenantConfig::default() }],
        0.0,
    );
    for (request, class, density) in [(1, 0, 5.0), (2, 1, 1.0), (3, 1, 2.0), (4, 2, 9.0)] {
        queue.enqueue(
            QueuedRequest {
                request,
                tenant: 0,
                class,
                density,
                work: 1.0,
                received_at: 0.0,
                never_ran: true,
            },
            0.0,
        );
    }
    assert_eq!([0; 4].map(|_| queue.next(0.0).unwrap()), [3, 2, 4, 1]);
}

#[test]
fn a_queue_over_its_limit_displaces_its_last_request_that_never_ran() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs[1].max_queued = 3;
    let mut queue = TenantQueue::new(configs, 0.0);
    let enqueue = |queue: &mut TenantQueue, request: usize, tenant, never_ran| {
        queue.enqueue(
            QueuedRequest { request, tenant, class: 0, density: 1.0, work: 1.0, received_at: 0.0, never_ran },
            0.0,
        );
    };
    (0..3).for_each(|request| enqueue(&mut queue, request, 1, true));
    (10..30).for_each(|request| enqueue(&mut queue, request, 2, true));
    assert_eq!(queue.next_to_displace(), None);
    // The last request may have run, so the one before it is displaced.
    enqueue(&mut queue, 3, 1, false);
    assert_eq!(queue.next_to_displace(), Some(2));
    queue.remove(2);
    assert_eq!((queue.next_to_displace(), queue.len()), (None, 23));
    // All requests may have run, so none is displaced, however long the queue is.
    let mut queue = TenantQueue::new(vec![TenantConfig { max_queued: 2, ..TenantConfig::default() }], 0.0);
    (0..9).for_each(|request| enqueue(&mut queue, request, 0, false));
    assert_eq!(queue.next_to_displace(), None);
}

/// Guards against a limit that is only checked for the tenants with the longest queues.
#[test]
fn a_small_tenant_over_its_limit_is_found_among_many_longer_queues() {
    let mut configs = tenants(&[1.0; 50]);
    configs[50].max_queued = 1;
    let mut queue = TenantQueue::new(configs, 0.0);
    for request in 0..100 {
        let (tenant, work) = if request < 98 { (1 + request % 49, 1.0) } else { (50, 0.01) };
        queue.enqueue(
            QueuedRequest {
                request,
                tenant,
                class: 0,
                density: 1.0,
                work,
                received_at: 0.0,
                never_ran: true,
            },
            0.0,
        );
    }
    assert_eq!(queue.next_to_displace(), Some(99));
    queue.remove(99);
    assert_eq!(queue.next_to_displace(), None);
}

#[test]
fn the_overall_limit_displaces_from_the_longest_queue_relative_to_weight() {
    let mut configs = tenants(&[1.0, 4.0]);
    configs[0].max_queued = 10;
    let mut queue = TenantQueue::new(configs, 0.0);
    for request in 0..12 {
        let tenant = 1 + request % 2;
        queue.enqueue(
            QueuedRequest {
                request,
                tenant,
                class: 0,
                density: 1.0,
                work: 1.0,
                received_at: 0.0,
                never_ran: true,
            },
            0.0,
        );
    }
    let mut displaced_from = Vec::new();
    while let Some(request) = queue.next_to_displace() {
        queue.remove(request);
        displaced_from.push(request % 2);
    }
    assert_eq!(displaced_from, [0, 0]);
}

#[test]
fn a_tenant_keeps_to_its_in_flight_limit_and_goes_on_when_an_attempt_ends() {
    let mut configs = tenants(&[1.0, 1.0]);
    configs[1].max_in_flight = 2;
    let mut queue = TenantQueue::new(configs, 0.0);
    for request in 0..5 {
        queue.enqueue(
            QueuedRequest {
                request,
                tenant: 1,
                class: 0,
                density: 1.0,
                work: 1.0,
                received_at: 0.0,
                never_ran: true,
            },
            0.0,
        );
    }
    let mut dispatched = Vec::new();
    while let Some(request) = queue.next(0.0) {
        queue.dispatched(request, 0.0);
        dispatched.push(request);
    }
    assert_eq!(dispatched, [0, 1]);
    queue.attempt_ended(1, 1.0, 1.0, 0.0);
    assert_eq!((queue.next(0.0), queue.next(0.0)), (Some(2), None));
}

#[test]
fn estimates_are_accurate_for_a_steady_server_and_absent_while_it_dispatches_nothing() {
    let mut simulation = Simulation::new(tenants(&[1.0, 1.0]));
    simulation.speed = 4.0;
    for step in 0..4000 {
        simulation.run_until(f64::from(step) * 0.02);
        // Both tenants together send a tenth more than the capacity, so the queues grow slowly.
        for tenant in [1, 2] {
            let request = simulation.enqueue(tenant, 0.044);
            let wait = simulation.queue.estimate_wait_of_queued(request, simulation.now);
            simulation.queue.waits.remember(request, wait, simulation.now);
        }
    }
    let waits = &simulation.queue.waits;
    let share = waits.within_a_fifth as f64 / waits.compared as f64;
    assert!(waits.compared > 2000 && share > 0.9, "{share} of {} estimates accurate", waits.compared);
    // The server stops: after 2 s without a dispatch there is no estimate.
    let request = simulation.enqueue(1, 0.044);
    assert!(simulation.queue.estimate_wait_of_queued(request, simulation.now + 0.5).is_some());
    assert!(simulation.queue.estimate_wait_of_queued(request, simulation.now + 3.0).is_none());
}

proptest! {
    /// In any sequence of operations no request is lost or offered twice, the counts add up, and in the end every
    /// queued request can be offered.
    #[test]
    fn no_request_is_lost_or_offered_twice(steps in proptest::collection::vec((0u8..6, 0usize..5, 1u32..100), 1..300)) {
        let mut configs = tenants(&[1.0, 2.0]);
        configs.extend([TenantConfig { parent: 1, max_in_flight: 2, ..tenant(1.0) }, TenantConfig { parent: 1, budget: budget(0.5, 1.0), ..tenant(2.0) }]);
        configs.push(TenantConfig { parent: 2, ageing: Some(1.0), ..tenant(1.0) });
        let leaves = [3, 4, 5];
        let mut queue = TenantQueue::new(configs, 0.0);
        let (mut waiting, mut offered, mut in_flight) = (BTreeSet::new(), Vec::new(), Vec::new());
        let (mut now, mut next_request) = (0.0, 0);
        for (operation, index, work) in steps {
            now += 0.1;
            let work = f64::from(work) / 50.0;
            match operation {
                0 | 1 => {
                    let tenant = leaves[index % 3];
                    queue.enqueue(QueuedRequest { request: next_request, tenant, class: 0, density: 1.0 / work, work, received_at: now, never_ran: true }, now);
                    waiting.insert((next_request, tenant, work.to_bits()));
                    next_request += 1;
                }
                2 => {
                    if let Some(request) = queue.next(now) {
                        let entry = *waiting.iter().find(|entry| entry.0 == request).expect("an offered request was waiting and not on offer");
                        waiting.remove(&entry);
                        offered.push(entry);
                    }
                }
                3 if !offered.is_empty() => {
                    let entry = offered.remove(index % offered.len());
                    queue.dispatched(entry.0, now);
                    in_flight.push(entry);
                }
                4 => {
                    queue.return_offers(now);
                    waiting.extend(offered.drain(..));
                }
                5 if !in_flight.is_empty() => {
                    let (_, tenant, work) = in_flight.remove(index % in_flight.len());
                    queue.attempt_ended(tenant, f64::from_bits(work), f64::from_bits(work) * 3.0, now);
                }
                _ => {
                    if let Some(entry) = waiting.iter().nth(index).copied() {
                        waiting.remove(&entry);
                        queue.remove(entry.0);
                        // Removing a request on offer would return all offers; this one was not on offer.
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len() + offered.len());
            for tenant in leaves {
                let count = waiting.iter().filter(|entry| entry.1 == tenant).count();
                let taken = in_flight.iter().chain(&offered).filter(|entry| entry.1 == tenant).count();
                prop_assert_eq!((queue.load(tenant).queued, queue.load(tenant).in_flight), (count, taken));
            }
        }
        // Once the attempts in flight have ended, all remaining requests can be dispatched.
        queue.return_offers(now);
        waiting.extend(offered);
        in_flight.into_iter().for_each(|(_, tenant, work)| queue.attempt_ended(tenant, f64::from_bits(work), 0.0, now));
        while let Some(request) = queue.next(now) {
            queue.dispatched(request, now);
            let entry = *waiting.iter().find(|entry| entry.0 == request).expect("an offered request was waiting");
            waiting.remove(&entry);
            queue.attempt_ended(entry.1, f64::from_bits(entry.2), f64::from_bits(entry.2), now);
        }
        prop_assert!(waiting.is_empty() && queue.is_empty(), "still waiting: {:?}", waiting);
    }
}
