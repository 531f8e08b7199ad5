//! The line in virtual time before a server of known speed, one story for each trouble.

use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A server that takes work at `speed`, one request at a time, and a line before it.
struct World {
    line: TenantQueue,
    now: f64,
    speed: f64,
    free_at: f64,
    next: usize,
    requests: BTreeMap<usize, (usize, f64, f64)>,
    /// By tenant: the work that went through.
    had: Vec<f64>,
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

impl World {
    fn new(tenants: Vec<TenantConfig>) -> World {
        let count = tenants.len();
        World {
            line: TenantQueue::new(tenants, 0.0),
            now: 0.0,
            speed: 1.0,
            free_at: 0.0,
            next: 0,
            requests: BTreeMap::new(),
            had: vec![0.0; count],
            waits: vec![Vec::new(); count],
        }
    }

    fn arrives(&mut self, tenant: usize, work: f64) -> usize {
        let request = self.next;
        self.next += 1;
        let waiting = QueuedRequest {
            request,
            tenant,
            class: 0,
            density: 1.0 / work,
            work,
            received_at: self.now,
            never_ran: true,
        };
        self.requests.insert(request, (tenant, work, self.now));
        self.line.enqueue(waiting, self.now);
        request
    }

    /// Serves until then.
    fn run(&mut self, until: f64) {
        loop {
            if self.free_at > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(self.free_at);
            let Some(request) = self.line.next(self.now) else {
                // Only a budget can make it go on by itself; tenants over theirs are served all the same.
                self.now = until;
                return;
            };
            self.line.dispatched(request, self.now);
            let (tenant, work, since) = self.requests.remove(&request).unwrap();
            self.waits[tenant].push(self.now - since);
            self.had[tenant] += work;
            self.free_at = self.now + work / self.speed;
            self.line.attempt_ended(tenant, work, work, self.free_at);
        }
    }

    fn fill(&mut self, tenant: usize, requests: usize, work: f64) {
        (0..requests).for_each(|_| {
            self.arrives(tenant, work);
        });
    }
}

#[test]
fn one_tenant_alone_goes_densest_first_and_a_request_that_does_not_go_stays_in_its_place() {
    let mut line = TenantQueue::single();
    for (request, density) in [(1, 2.0), (2, 9.0), (3, 5.0)] {
        line.enqueue(
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
        [line.next(0.0), line.next(0.0), line.next(0.0), line.next(0.0)],
        [Some(2), Some(3), Some(1), None]
    );
    line.dispatched(3, 0.0);
    line.return_offers(0.0);
    assert_eq!((line.len(), line.next(0.0), line.next(0.0)), (2, Some(2), Some(1)));
}

#[test]
fn tenants_that_always_wait_have_work_by_their_weights_whatever_their_requests_weigh() {
    let mut world = World::new(tenants(&[3.0, 1.0, 1.0]));
    // The second has requests of fifty times the first one's work.
    world.fill(1, 4000, 0.02);
    world.fill(2, 100, 1.0);
    world.fill(3, 1000, 0.1);
    world.run(50.0);
    let [_, first, second, third] = world.had[..] else { panic!() };
    assert!((first / second - 3.0).abs() < 0.2 && (third / second - 1.0).abs() < 0.1, "{:?}", world.had);
}

#[test]
fn groups_share_first_and_their_tenants_share_what_the_group_has() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree.extend([TenantConfig { parent: 1, ..tenant(1.0) }, TenantConfig { parent: 1, ..tenant(3.0) }]);
    let mut world = World::new(tree);
    world.fill(2, 2000, 0.05);
    world.fill(3, 2000, 0.05);
    world.fill(4, 2000, 0.05);
    world.run(40.0);
    assert!((world.had[2] - 20.0).abs() < 0.5 && (world.had[3] - 5.0).abs() < 0.5, "{:?}", world.had);
}

/// Hard case: one tenant sends ten times its share.
#[test]
fn a_greedy_tenant_waits_behind_itself_and_costs_others_next_to_nothing() {
    let mut world = World::new(tenants(&[1.0, 1.0]));
    // 0.4 of the server by the modest one, 5 times the server by the greedy one.
    for step in 0..2000 {
        world.run(f64::from(step) * 0.05);
        world.fill(1, 25, 0.01);
        if step % 5 == 0 {
            world.fill(2, 1, 0.1);
        }
    }
    let modest = world.waits[2].iter().copied().fold(0.0, f64::max);
    let greedy = world.waits[1].iter().copied().fold(0.0, f64::max);
    assert!(modest < 0.25 && greedy > 10.0, "{modest} {greedy}");
}

/// Hard case: a tenant that was idle for long comes back with a burst.
#[test]
fn who_was_idle_has_saved_nothing() {
    let mut world = World::new(tenants(&[1.0, 1.0]));
    for step in 0..1000 {
        world.run(f64::from(step) * 0.1);
        world.fill(1, 2, 0.1);
    }
    let before = world.had[1];
    world.fill(2, 1000, 0.1);
    world.run(world.now + 20.0);
    let (first, second) = (world.had[1] - before, world.had[2]);
    assert!((second - 10.0).abs() < 0.5 && (first - 10.0).abs() < 0.5, "{first} {second}");
}

#[test]
fn what_is_over_budget_goes_after_the_others_and_before_nobody() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree[1].budget = budget(0.2, 1.0);
    let mut world = World::new(tree);
    world.fill(1, 2000, 0.05);
    world.fill(2, 800, 0.05);
    world.run(40.0);
    // A second saved up and a fifth of the time.
    assert!((world.had[1] - 9.0).abs() < 0.6, "{:?}", world.had);
    // The other one is done after some 49 s: what it leaves is lent.
    world.run(80.0);
    assert!(world.had[2] > 39.0 && world.had[1] > 38.0, "{:?}", world.had);
}

/// Hard case: a budget smaller than one request.
#[test]
fn a_budget_smaller_than_one_request_lets_one_through_and_then_waits() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree[1].budget = budget(0.1, 0.5);
    let mut world = World::new(tree);
    world.fill(1, 100, 2.0);
    world.fill(2, 10_000, 0.01);
    world.run(60.0);
    // 0.5 saved up and 6 earned: three or four requests of two.
    assert!((6.0..=8.0).contains(&world.had[1]), "{:?}", world.had);
}

/// Hard case: budgets that add to more than there is. Nobody is over, so the weights decide and none starves.
#[test]
fn budgets_that_add_to_more_than_there_is_leave_the_shares_as_they_are() {
    let mut tree = tenants(&[3.0, 1.0]);
    (tree[1].budget, tree[2].budget) = (budget(2.0, 5.0), budget(2.0, 5.0));
    let mut world = World::new(tree);
    world.fill(1, 4000, 0.02);
    world.fill(2, 400, 0.2);
    world.run(40.0);
    assert!((world.had[1] - 30.0).abs() < 0.5 && (world.had[2] - 10.0).abs() < 0.5, "{:?}", world.had);
}

/// Hard case: a new file halves a budget while its tenant is at the limit.
#[test]
fn a_budget_that_is_halved_by_a_new_file_holds_from_then_on() {
    let tree = |rate| {
        let mut tree = tenants(&[1.0, 1.0]);
        tree[1].budget = budget(rate, 0.1);
        tree
    };
    let mut world = World::new(tree(0.4));
    world.fill(1, 2000, 0.05);
    world.fill(2, 4000, 0.05);
    world.run(40.0);
    let before = world.had[1];
    // What waits goes over to the new lines, as the module has it.
    let mut new = TenantQueue::new(tree(0.2), world.now);
    for (request, (tenant, work, since)) in &world.requests {
        let (request, tenant, work, since) = (*request, *tenant, *work, *since);
        let density = 1.0 / work;
        new.enqueue(
            QueuedRequest { request, tenant, class: 0, density, work, received_at: since, never_ran: true },
            world.now,
        );
    }
    world.line = new;
    world.run(80.0);
    let after = world.had[1] - before;
    assert!((before - 16.0).abs() < 0.8 && (after - 8.0).abs() < 0.8, "{before} {after}");
}

#[test]
fn a_tenant_that_is_over_its_budget_for_long_is_remembered_once() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree[1].budget = budget(0.1, 0.5);
    let mut world = World::new(tree);
    world.fill(1, 5000, 0.05);
    world.run(200.0);
    assert!(world.had[1] > 190.0 && world.line.refills.len() <= 1, "{}", world.line.refills.len());
}

/// Hard case: estimates of work that are wrong by ten times.
#[test]
fn who_asks_for_little_and_needs_much_pays_later() {
    let mut line = TenantQueue::new(tenants(&[1.0, 1.0]), 0.0);
    let mut had = [0.0f64; 3];
    let mut next = 0;
    for round in 0..2000 {
        let now = f64::from(round);
        for tenant in [1, 2] {
            while line.load(tenant).queued < 3 {
                let work = if tenant == 1 { 0.1 } else { 1.0 };
                line.enqueue(
                    QueuedRequest {
                        request: next,
                        tenant,
                        class: 0,
                        density: 1.0,
                        work,
                        received_at: now,
                        never_ran: true,
                    },
                    now,
                );
                next += 1;
            }
        }
        let request = line.next(now).unwrap();
        line.dispatched(request, now);
        // The first one's requests need ten times what they say: all need the same.
        let tenant = if line.load(1).in_flight > 0 { 1 } else { 2 };
        had[tenant] += 1.0;
        line.attempt_ended(tenant, if tenant == 1 { 0.1 } else { 1.0 }, 1.0, now);
    }
    assert!((had[1] / had[2] - 1.0).abs() < 0.05, "{had:?}");
}

#[test]
fn aged_requests_go_before_denser_ones_that_came_much_later() {
    let with = |ageing| {
        let mut world = World::new(vec![TenantConfig { ageing, ..TenantConfig::default() }]);
        world.fill(0, 10, 0.05);
        let old = world.arrives(0, 1.0);
        for step in 0..200 {
            world.run(f64::from(step) * 0.1);
            world.fill(0, 3, 0.05);
        }
        (world.requests.contains_key(&old), world.now)
    };
    assert!(with(None).0, "the densest first starves it");
    assert!(!with(Some(1.0)).0);
}

#[test]
fn a_tenants_own_order_of_classes_comes_before_their_density() {
    let mut line = TenantQueue::new(
        vec![TenantConfig { class_boosts: vec![0.0, 10.0], ..TenantConfig::default() }],
        0.0,
    );
    for (request, class, density) in [(1, 0, 5.0), (2, 1, 1.0), (3, 1, 2.0), (4, 2, 9.0)] {
        line.enqueue(
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
    assert_eq!([0; 4].map(|_| line.next(0.0).unwrap()), [3, 2, 4, 1]);
}

#[test]
fn a_line_that_is_too_long_displaces_its_last_that_never_ran() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree[1].max_queued = 3;
    let mut line = TenantQueue::new(tree, 0.0);
    let hold = |line: &mut TenantQueue, request: usize, tenant, never_ran| {
        line.enqueue(
            QueuedRequest { request, tenant, class: 0, density: 1.0, work: 1.0, received_at: 0.0, never_ran },
            0.0,
        );
    };
    (0..3).for_each(|request| hold(&mut line, request, 1, true));
    (10..30).for_each(|request| hold(&mut line, request, 2, true));
    assert_eq!(line.next_to_displace(), None);
    // The last one may have run: the one before it goes.
    hold(&mut line, 3, 1, false);
    assert_eq!(line.next_to_displace(), Some(2));
    line.remove(2);
    assert_eq!((line.next_to_displace(), line.len()), (None, 23));
    // All may have run: nobody is displaced, however long it is.
    let mut line = TenantQueue::new(vec![TenantConfig { max_queued: 2, ..TenantConfig::default() }], 0.0);
    (0..9).for_each(|request| hold(&mut line, request, 0, false));
    assert_eq!(line.next_to_displace(), None);
}

/// A bound holds for every tenant, also for one that is short beside many others.
#[test]
fn a_small_tenant_past_its_bound_is_found_among_many_longer_ones() {
    let mut tree = tenants(&[1.0; 50]);
    tree[50].max_queued = 1;
    let mut line = TenantQueue::new(tree, 0.0);
    for request in 0..100 {
        let (tenant, work) = if request < 98 { (1 + request % 49, 1.0) } else { (50, 0.01) };
        line.enqueue(
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
    assert_eq!(line.next_to_displace(), Some(99));
    line.remove(99);
    assert_eq!(line.next_to_displace(), None);
}

#[test]
fn the_bound_of_all_takes_from_the_longest_line_for_its_weight() {
    let mut tree = tenants(&[1.0, 4.0]);
    tree[0].max_queued = 10;
    let mut line = TenantQueue::new(tree, 0.0);
    for request in 0..12 {
        let tenant = 1 + request % 2;
        line.enqueue(
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
    let mut gone = Vec::new();
    while let Some(request) = line.next_to_displace() {
        line.remove(request);
        gone.push(request % 2);
    }
    assert_eq!(gone, [0, 0]);
}

#[test]
fn a_tenant_has_no_more_out_than_it_may_and_goes_on_when_one_is_over() {
    let mut tree = tenants(&[1.0, 1.0]);
    tree[1].max_in_flight = 2;
    let mut line = TenantQueue::new(tree, 0.0);
    for request in 0..5 {
        line.enqueue(
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
    let mut went = Vec::new();
    while let Some(request) = line.next(0.0) {
        line.dispatched(request, 0.0);
        went.push(request);
    }
    assert_eq!(went, [0, 1]);
    line.attempt_ended(1, 1.0, 1.0, 0.0);
    assert_eq!((line.next(0.0), line.next(0.0)), (Some(2), None));
}

#[test]
fn estimates_come_true_on_a_steady_server_and_none_is_made_while_it_is_silent() {
    let mut world = World::new(tenants(&[1.0, 1.0]));
    world.speed = 4.0;
    for step in 0..4000 {
        world.run(f64::from(step) * 0.02);
        // Together a tenth more than it does, so that lines grow slowly.
        for tenant in [1, 2] {
            let request = world.arrives(tenant, 0.044);
            let wait = world.line.estimate_wait_of_queued(request, world.now);
            world.line.waits.remember(request, wait, world.now);
        }
    }
    let waits = &world.line.waits;
    let share = waits.within_a_fifth as f64 / waits.compared as f64;
    assert!(waits.compared > 2000 && share > 0.9, "{share} of {}", waits.compared);
    // The server falls silent: nothing can be told.
    let request = world.arrives(1, 0.044);
    assert!(world.line.estimate_wait_of_queued(request, world.now + 0.5).is_some());
    assert!(world.line.estimate_wait_of_queued(request, world.now + 3.0).is_none());
}

proptest! {
    /// Whatever comes and goes: no request is lost or offered twice, counts add up, and what never was offered can be.
    #[test]
    fn no_request_is_lost_or_offered_twice(steps in proptest::collection::vec((0u8..6, 0usize..5, 1u32..100), 1..300)) {
        let mut tree = tenants(&[1.0, 2.0]);
        tree.extend([TenantConfig { parent: 1, max_in_flight: 2, ..tenant(1.0) }, TenantConfig { parent: 1, budget: budget(0.5, 1.0), ..tenant(2.0) }]);
        tree.push(TenantConfig { parent: 2, ageing: Some(1.0), ..tenant(1.0) });
        let leaves = [3, 4, 5];
        let mut line = TenantQueue::new(tree, 0.0);
        let (mut waiting, mut offered, mut out) = (BTreeSet::new(), Vec::new(), Vec::new());
        let (mut now, mut next) = (0.0, 0);
        for (what, which, work) in steps {
            now += 0.1;
            let work = f64::from(work) / 50.0;
            match what {
                0 | 1 => {
                    let tenant = leaves[which % 3];
                    line.enqueue(QueuedRequest { request: next, tenant, class: 0, density: 1.0 / work, work, received_at: now, never_ran: true }, now);
                    waiting.insert((next, tenant, work.to_bits()));
                    next += 1;
                }
                2 => {
                    if let Some(request) = line.next(now) {
                        let entry = *waiting.iter().find(|entry| entry.0 == request).expect("in line, and not on offer");
                        waiting.remove(&entry);
                        offered.push(entry);
                    }
                }
                3 if !offered.is_empty() => {
                    let entry = offered.remove(which % offered.len());
                    line.dispatched(entry.0, now);
                    out.push(entry);
                }
                4 => {
                    line.return_offers(now);
                    waiting.extend(offered.drain(..));
                }
                5 if !out.is_empty() => {
                    let (_, tenant, work) = out.remove(which % out.len());
                    line.attempt_ended(tenant, f64::from_bits(work), f64::from_bits(work) * 3.0, now);
                }
                _ => {
                    if let Some(entry) = waiting.iter().nth(which).copied() {
                        waiting.remove(&entry);
                        line.remove(entry.0);
                        // What was on offer may have gone back: it did if this one was; here it was not.
                    }
                }
            }
            prop_assert_eq!(line.len(), waiting.len() + offered.len());
            for tenant in leaves {
                let count = waiting.iter().filter(|entry| entry.1 == tenant).count();
                let gone = out.iter().chain(&offered).filter(|entry| entry.1 == tenant).count();
                prop_assert_eq!((line.load(tenant).queued, line.load(tenant).in_flight), (count, gone));
            }
        }
        // All that is left goes, once those that are out are over and budgets are earned.
        line.return_offers(now);
        waiting.extend(offered);
        out.into_iter().for_each(|(_, tenant, work)| line.attempt_ended(tenant, f64::from_bits(work), 0.0, now));
        while let Some(request) = line.next(now) {
            line.dispatched(request, now);
            let entry = *waiting.iter().find(|entry| entry.0 == request).expect("in line");
            waiting.remove(&entry);
            line.attempt_ended(entry.1, f64::from_bits(entry.2), f64::from_bits(entry.2), now);
        }
        prop_assert!(waiting.is_empty() && line.is_empty(), "{:?} left", waiting);
    }
}
