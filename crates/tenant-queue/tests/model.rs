//! Model checking (stateright) of the real line: an adversary holds, offers, attempts, ends and displaces in any order.

use cleatgw_tenant_queue::{QueuedRequest, TenantConfig, TenantQueue};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::fmt;

/// What is put in to see that it is found.
#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// The host says of every request that it never ran.
    ForgetsThatItRan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A request comes to this tenant.
    Comes(usize),
    /// The next one is offered and dispatched, or goes back.
    Attempt,
    NotDispatched,
    /// The oldest attempt ends without an answer: its request may have run, or never did, and waits again.
    EndsAgain {
        ran: bool,
    },
    /// The oldest attempt ends for good.
    Ends,
    Displace,
}

#[derive(Clone)]
struct At {
    line: TenantQueue,
    now: f64,
    next: usize,
    waiting: BTreeSet<usize>,
    out: Vec<usize>,
    /// Requests that may have run, and those that were displaced.
    ran: BTreeSet<usize>,
    displaced: BTreeSet<usize>,
}

impl At {
    fn digest(&self) -> String {
        format!("{:?}{:?}{:?}{:?}{:?}", self.line, self.waiting, self.out, self.ran, self.displaced)
    }

    fn hold(&mut self, request: usize, planted: Planted) {
        let never_ran = planted == Planted::ForgetsThatItRan || !self.ran.contains(&request);
        // Later ones are denser, so that any may be the last.
        let (tenant, now, density) = (1 + request % 2, self.now, 1.0 + request as f64);
        self.line.enqueue(
            QueuedRequest { request, tenant, class: 0, density, work: 1.0, received_at: now, never_ran },
            now,
        );
        self.waiting.insert(request);
    }
}

cleatgw_testbed::identify_by_digest!(At);

impl fmt::Debug for At {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(
            to,
            "waiting {:?}, out {:?}, ran {:?}, displaced {:?}",
            self.waiting, self.out, self.ran, self.displaced
        )
    }
}

struct Lines(Planted);

impl Model for Lines {
    type State = At;
    type Action = Step;

    fn init_states(&self) -> Vec<At> {
        let tenant =
            |weight| TenantConfig { weight, max_queued: 1, max_in_flight: 2, ..TenantConfig::default() };
        let line = TenantQueue::new(
            vec![TenantConfig { max_queued: 3, ..TenantConfig::default() }, tenant(1.0), tenant(2.0)],
            0.0,
        );
        let none = BTreeSet::new();
        let (out, ran, displaced) = (Vec::new(), none.clone(), none.clone());
        vec![At { line, now: 0.0, next: 0, waiting: none, out, ran, displaced }]
    }

    fn actions(&self, at: &At, steps: &mut Vec<Step>) {
        use Step::*;
        if at.next < 5 {
            steps.extend([Comes(0), Comes(1)]);
        }
        steps.extend([
            Attempt,
            NotDispatched,
            EndsAgain { ran: true },
            EndsAgain { ran: false },
            Ends,
            Displace,
        ]);
    }

    fn next_state(&self, at: &At, step: Step) -> Option<At> {
        let mut next = at.clone();
        match step {
            Step::Comes(tenant) => {
                let request = 2 * next.next + tenant;
                next.next += 1;
                next.hold(request, self.0);
            }
            Step::Attempt => {
                let request = next.line.next(next.now)?;
                next.line.dispatched(request, next.now);
                next.waiting.remove(&request);
                next.out.push(request);
            }
            Step::NotDispatched => {
                next.line.next(next.now)?;
                next.line.return_offers(next.now);
            }
            Step::EndsAgain { ran } => {
                let request = if next.out.is_empty() { return None } else { next.out.remove(0) };
                if ran {
                    next.ran.insert(request);
                }
                next.line.attempt_ended(1 + request % 2, 1.0, if ran { 1.0 } else { 0.0 }, next.now);
                next.hold(request, self.0);
            }
            Step::Ends => {
                let request = if next.out.is_empty() { return None } else { next.out.remove(0) };
                next.line.attempt_ended(1 + request % 2, 1.0, 2.0, next.now);
            }
            Step::Displace => {
                let request = next.line.next_to_displace()?;
                next.line.remove(request);
                next.waiting.remove(&request);
                next.displaced.insert(request);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Lines>> {
        vec![
            Property::always("what may have run is never displaced", |_, at: &At| {
                at.ran.is_disjoint(&at.displaced)
            }),
            Property::always("no job is lost", |_, at: &At| {
                at.line.len() == at.waiting.len()
                    && at.waiting.iter().all(|request| at.line.contains(*request))
            }),
            Property::always("what waits goes once there is room", |_, at: &At| {
                let mut line = at.line.clone();
                at.out.iter().for_each(|request| line.attempt_ended(1 + request % 2, 1.0, 1.0, at.now));
                let mut gone = 0;
                while let Some(request) = line.next(at.now) {
                    line.dispatched(request, at.now);
                    line.attempt_ended(1 + request % 2, 1.0, 1.0, at.now);
                    gone += 1;
                }
                gone == at.waiting.len()
            }),
            Property::always("no line stays too long while one in it can go", |_, at: &At| {
                let mut line = at.line.clone();
                while let Some(request) = line.next_to_displace() {
                    line.remove(request);
                }
                let over = |tenant: usize| line.load(tenant).queued > 1;
                let movable = |tenant: usize| {
                    at.waiting.iter().any(|request| {
                        1 + request % 2 == tenant && line.contains(*request) && !at.ran.contains(request)
                    })
                };
                (1..=2).all(|tenant| !over(tenant) || !movable(tenant))
            }),
            Property::sometimes("one is displaced while another that ran waits", |_, at: &At| {
                !at.displaced.is_empty() && at.waiting.iter().any(|request| at.ran.contains(request))
            }),
        ]
    }
}

#[test]
fn whatever_comes_and_ends_what_may_have_run_is_never_displaced() {
    let done = Lines(Planted::Nothing).checker().threads(4).target_max_depth(8).spawn_bfs().join();
    println!("{} states, {} different", done.state_count(), done.unique_state_count());
    assert!(done.unique_state_count() > 1_000);
    done.assert_properties();
}

#[test]
fn a_host_that_forgets_that_a_request_ran_is_found_out() {
    let done = Lines(Planted::ForgetsThatItRan).checker().threads(4).target_max_depth(8).spawn_bfs().join();
    assert!(done.discovery("what may have run is never displaced").is_some());
}
