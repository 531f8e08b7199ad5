//! Model checking (stateright) of the tenant queue itself: requests are queued, offered, dispatched, ended and
//! displaced in any order.

use cleatgw_tenant_queue::{QueuedRequest, TenantConfig, TenantQueue};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::fmt;

/// A fault that is injected to show that the checker finds it.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    /// The host reports every request as never run.
    ReportsNeverRan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A request is received and queued: of tenant 1 (value 0) or tenant 2 (value 1). Requests with even numbers belong
    /// to tenant 1, those with odd numbers to tenant 2.
    Receive(usize),
    /// The next request is offered and dispatched.
    Dispatch,
    /// The next request is offered and returned to the queue.
    OfferAndReturn,
    /// The oldest attempt ends without an answer, and its request is queued again. `ran`: whether it may have run.
    EndAndRequeue { ran: bool },
    /// The oldest attempt ends, and its request is done.
    End,
    /// The next request to displace, if any, is removed.
    Displace,
}

#[derive(Clone)]
struct QueueState {
    queue: TenantQueue,
    now: f64,
    /// Number of requests received so far.
    received: usize,
    waiting: BTreeSet<usize>,
    /// Requests with an attempt in flight, the oldest first.
    in_flight: Vec<usize>,
    /// Requests that may have run.
    ran: BTreeSet<usize>,
    /// Requests that were displaced.
    displaced: BTreeSet<usize>,
}

impl QueueState {
    fn digest(&self) -> String {
        format!("{:?}{:?}{:?}{:?}{:?}", self.queue, self.waiting, self.in_flight, self.ran, self.displaced)
    }

    fn enqueue(&mut self, request: usize, fault: InjectedFault) {
        let never_ran = fault == InjectedFault::ReportsNeverRan || !self.ran.contains(&request);
        // Later requests have a higher density, so that any request can be the last in the queue.
        let (tenant, now, density) = (1 + request % 2, self.now, 1.0 + request as f64);
        self.queue.enqueue(
            QueuedRequest { request, tenant, class: 0, density, work: 1.0, received_at: now, never_ran },
            now,
        );
        self.waiting.insert(request);
    }
}

cleatgw_testbed::identify_by_digest!(QueueState);

impl fmt::Debug for QueueState {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(
            to,
            "waiting {:?}, in flight {:?}, ran {:?}, displaced {:?}",
            self.waiting, self.in_flight, self.ran, self.displaced
        )
    }
}

struct QueueModel(InjectedFault);

impl Model for QueueModel {
    type State = QueueState;
    type Action = Step;

    fn init_states(&self) -> Vec<QueueState> {
        let tenant =
            |weight| TenantConfig { weight, max_queued: 1, max_in_flight: 2, ..TenantConfig::default() };
        let queue = TenantQueue::new(
            vec![TenantConfig { max_queued: 3, ..TenantConfig::default() }, tenant(1.0), tenant(2.0)],
            0.0,
        );
        let empty = BTreeSet::new();
        let (in_flight, ran, displaced) = (Vec::new(), empty.clone(), empty.clone());
        vec![QueueState { queue, now: 0.0, received: 0, waiting: empty, in_flight, ran, displaced }]
    }

    fn actions(&self, state: &QueueState, steps: &mut Vec<Step>) {
        use Step::*;
        if state.received < 5 {
            steps.extend([Receive(0), Receive(1)]);
        }
        steps.extend([
            Dispatch,
            OfferAndReturn,
            EndAndRequeue { ran: true },
            EndAndRequeue { ran: false },
            End,
            Displace,
        ]);
    }

    fn next_state(&self, state: &QueueState, step: Step) -> Option<QueueState> {
        let mut next = state.clone();
        match step {
            Step::Receive(tenant) => {
                let request = 2 * next.received + tenant;
                next.received += 1;
                next.enqueue(request, self.0);
            }
            Step::Dispatch => {
                let request = next.queue.next(next.now)?;
                next.queue.dispatched(request, next.now);
                next.waiting.remove(&request);
                next.in_flight.push(request);
            }
            Step::OfferAndReturn => {
                next.queue.next(next.now)?;
                next.queue.return_offers(next.now);
            }
            Step::EndAndRequeue { ran } => {
                let request = if next.in_flight.is_empty() { return None } else { next.in_flight.remove(0) };
                if ran {
                    next.ran.insert(request);
                }
                next.queue.attempt_ended(1 + request % 2, 1.0, if ran { 1.0 } else { 0.0 }, next.now);
                next.enqueue(request, self.0);
            }
            Step::End => {
                let request = if next.in_flight.is_empty() { return None } else { next.in_flight.remove(0) };
                next.queue.attempt_ended(1 + request % 2, 1.0, 2.0, next.now);
            }
            Step::Displace => {
                let request = next.queue.next_to_displace()?;
                next.queue.remove(request);
                next.waiting.remove(&request);
                next.displaced.insert(request);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<QueueModel>> {
        vec![
            Property::always("a request that may have run is never displaced", |_, state: &QueueState| {
                state.ran.is_disjoint(&state.displaced)
            }),
            Property::always("no request is lost", |_, state: &QueueState| {
                state.queue.len() == state.waiting.len()
                    && state.waiting.iter().all(|request| state.queue.contains(*request))
            }),
            Property::always(
                "every waiting request is dispatched once attempts end",
                |_, state: &QueueState| {
                    let mut queue = state.queue.clone();
                    state
                        .in_flight
                        .iter()
                        .for_each(|request| queue.attempt_ended(1 + request % 2, 1.0, 1.0, state.now));
                    let mut dispatched = 0;
                    while let Some(request) = queue.next(state.now) {
                        queue.dispatched(request, state.now);
                        queue.attempt_ended(1 + request % 2, 1.0, 1.0, state.now);
                        dispatched += 1;
                    }
                    dispatched == state.waiting.len()
                },
            ),
            Property::always(
                "no queue stays over its limit while it holds a request that can be displaced",
                |_, state: &QueueState| {
                    let mut queue = state.queue.clone();
                    while let Some(request) = queue.next_to_displace() {
                        queue.remove(request);
                    }
                    let is_over_limit = |tenant: usize| queue.load(tenant).queued > 1;
                    let has_displaceable = |tenant: usize| {
                        state.waiting.iter().any(|request| {
                            1 + request % 2 == tenant
                                && queue.contains(*request)
                                && !state.ran.contains(request)
                        })
                    };
                    (1..=2).all(|tenant| !is_over_limit(tenant) || !has_displaceable(tenant))
                },
            ),
            Property::sometimes(
                "a request is displaced while another that may have run waits",
                |_, state: &QueueState| {
                    !state.displaced.is_empty()
                        && state.waiting.iter().any(|request| state.ran.contains(request))
                },
            ),
        ]
    }
}

#[test]
fn in_any_order_of_steps_a_request_that_may_have_run_is_never_displaced() {
    let checker = QueueModel(InjectedFault::None).checker().threads(4).target_max_depth(8).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000);
    checker.assert_properties();
}

#[test]
fn the_checker_finds_a_host_that_forgets_that_a_request_ran() {
    let checker = QueueModel(InjectedFault::ReportsNeverRan)
        .checker()
        .threads(4)
        .target_max_depth(8)
        .spawn_bfs()
        .join();
    assert!(checker.discovery("a request that may have run is never displaced").is_some());
}
