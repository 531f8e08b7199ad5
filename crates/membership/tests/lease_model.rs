//! Model checking (stateright) of the real leases: an adversary that delays, loses and repeats messages, freezes holders,
//! restarts grantors without their memory, and runs the clocks apart as far as the bound allows.

use cleatgw_membership::lease::{Epoch, InjectedFault, Leases, Message, DRIFT, MAX_TERM, MAX_USE_DELAY};
use cleatgw_testbed::identify_by_digest;
use stateright::{Checker, Model, Property, UniformChooser};
use std::fmt;

const RESOURCE: u32 = 1;
/// How far time may move at once, in hundredths of a second: a little, and just about to or past a lease's end.
const MOVES: [u64; 4] = [2, 40, 156, 198];
/// The slowest, a true, and the fastest clock that the bound allows.
const RATES: [f64; 3] = [1.0 - DRIFT, 1.0, 1.0 + DRIFT];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Ask(usize),
    Deliver(usize),
    /// It stays on the way as well.
    Repeat(usize),
    Lose(usize),
    Pass(u64),
    Restart(usize),
    /// A holder looks, and does what only it may do.
    Use(usize),
}

#[derive(Clone)]
struct At {
    /// True time, in hundredths of a second.
    time: u64,
    routers: Vec<Leases>,
    asks: Vec<u8>,
    restarts: u8,
    repeats: u8,
    on_the_way: Vec<(usize, usize, Message)>,
    /// Until when what each did last may take effect, in true seconds, and under which epoch.
    effects: Vec<Option<(f64, Epoch)>>,
    /// The youngest epoch that was ever used.
    youngest: Epoch,
    two: bool,
    back: bool,
}

impl At {
    fn digest(&self) -> String {
        let routers: Vec<String> = self.routers.iter().map(Leases::digest).collect();
        format!(
            "{}{routers:?}{:?}{}{}{:?}{:?}{}{}{}",
            self.time,
            self.asks,
            self.restarts,
            self.repeats,
            self.on_the_way,
            self.effects,
            self.youngest,
            self.two,
            self.back
        )
    }
}

impl fmt::Debug for At {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(&self.digest())
    }
}

identify_by_digest!(At);

impl Eq for At {}

#[derive(Clone)]
struct Checked {
    routers: usize,
    /// Whose clock runs at which of the rates.
    rates: Vec<usize>,
    injected: InjectedFault,
    asks: u8,
    restarts: u8,
    repeats: u8,
    deliver_weight: usize,
    loses: bool,
    moves: Vec<u64>,
    /// All messages but those to and from the last router are lost, which is a majority with either of the others.
    by_one: bool,
    /// No time passes after this.
    until: u64,
}

impl Checked {
    fn local(&self, at: &At, router: usize) -> f64 {
        // Clocks that began at different times: only their own differences mean anything.
        at.time as f64 / 100.0 * RATES[self.rates[router]] + 50.0 * router as f64
    }

    fn collect(&self, at: &mut At, router: usize) {
        let mut out = at.routers[router].take_outgoing();
        out.retain(|(to, _)| {
            !self.by_one || router == self.routers - 1 || usize::from(*to) == self.routers - 1
        });
        at.on_the_way.extend(out.into_iter().map(|(to, message)| (router, usize::from(to), message)));
        at.on_the_way.sort_by_key(|message| format!("{message:?}"));
        at.on_the_way.dedup();
    }

    fn deliver(&self, at: &mut At, message: (usize, usize, Message)) {
        let (from, to, message) = message;
        let now = self.local(at, to);
        at.routers[to].turn(now);
        at.routers[to].receive(from as u16, message, now);
        self.collect(at, to);
    }
}

impl Model for Checked {
    type State = At;
    type Action = Step;

    fn init_states(&self) -> Vec<At> {
        let mut first = At {
            time: 0,
            routers: Vec::new(),
            asks: vec![0; self.routers],
            restarts: 0,
            repeats: 0,
            on_the_way: Vec::new(),
            effects: vec![None; self.routers],
            youngest: 0,
            two: false,
            back: false,
        };
        for router in 0..self.routers {
            // They have run for long.
            let began = self.local(&first, router) - 100.0;
            let mut leases = Leases::new(router as u16, self.routers, 10, began);
            leases.injected = self.injected;
            first.routers.push(leases);
        }
        vec![first]
    }

    fn actions(&self, at: &At, steps: &mut Vec<Step>) {
        // The last router only grants: that keeps the walk short and loses nothing, as it is the adversary's to restart.
        let asking = 0..self.routers.max(2) - 1;
        steps.extend(asking.clone().filter(|router| at.asks[*router] < self.asks).map(Step::Ask));
        // Walks by lot should mostly get somewhere: delivering is the more likely choice.
        for _ in 0..self.deliver_weight {
            steps.extend((0..at.on_the_way.len()).map(Step::Deliver));
        }
        if at.repeats < self.repeats {
            steps.extend((0..at.on_the_way.len()).map(Step::Repeat));
        }
        steps.extend((0..at.on_the_way.len()).filter(|_| self.loses).map(Step::Lose));
        if at.time < self.until {
            steps.extend(self.moves.iter().copied().map(Step::Pass));
        }
        if at.restarts < self.restarts {
            steps.push(Step::Restart(self.routers - 1));
        }
        let uses = asking
            .filter(|router| at.routers[*router].held_epoch(RESOURCE, self.local(at, *router)).is_some());
        for router in uses {
            steps.extend(std::iter::repeat_n(Step::Use(router), 2 * self.deliver_weight - 1));
        }
    }

    fn next_state(&self, last: &At, step: Step) -> Option<At> {
        let mut at = last.clone();
        match step {
            Step::Ask(router) => {
                let now = self.local(&at, router);
                at.asks[router] += 1;
                at.routers[router].turn(now);
                at.routers[router].request(RESOURCE, now);
                self.collect(&mut at, router);
            }
            Step::Deliver(number) => {
                let message = at.on_the_way.remove(number);
                self.deliver(&mut at, message);
            }
            Step::Repeat(number) => {
                at.repeats += 1;
                let message = at.on_the_way[number];
                self.deliver(&mut at, message);
            }
            Step::Lose(number) => {
                at.on_the_way.remove(number);
            }
            Step::Pass(time) => at.time += time,
            Step::Restart(router) => {
                at.restarts += 1;
                let mut leases = Leases::new(router as u16, self.routers, 10, self.local(&at, router));
                leases.injected = self.injected;
                at.routers[router] = leases;
            }
            Step::Use(router) => {
                let epoch = at.routers[router].held_epoch(RESOURCE, self.local(&at, router))?;
                let now = at.time as f64 / 100.0;
                let others = at.effects.iter().enumerate().filter(|(other, _)| *other != router);
                at.two |= others.flat_map(|(_, effect)| effect).any(|(until, _)| now < *until);
                at.back |= epoch < at.youngest;
                at.youngest = at.youngest.max(epoch);
                at.effects[router] = Some((now + MAX_USE_DELAY / RATES[self.rates[router]], epoch));
            }
        }
        Some(at)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("two never hold one lease", |_, at: &At| !at.two),
            Property::always("an epoch never goes back", |_, at: &At| !at.back),
            Property::sometimes("both hold it in turn", |_, at: &At| {
                at.effects[..2].iter().all(Option::is_some)
            }),
        ]
    }
}

fn checked(injected: InjectedFault, rates: [usize; 3]) -> Checked {
    Checked {
        routers: 3,
        rates: rates.to_vec(),
        injected,
        asks: 1,
        restarts: 1,
        repeats: 0,
        deliver_weight: 1,
        loses: true,
        moves: MOVES.to_vec(),
        until: 900,
        by_one: false,
    }
}

/// What is found in so many states by lot.
fn found(model: Checked, states: usize) -> Vec<&'static str> {
    let checker = model
        .checker()
        .threads(2)
        .target_max_depth(60)
        .target_state_count(states)
        .spawn_simulation(7, UniformChooser)
        .join();
    let mut found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    found.sort_unstable();
    found
}

#[test]
fn keeps_one_holder_and_growing_epochs_under_loss_freezes_and_restarts() {
    // The holder's clock is the slowest and the grantors' the fastest, or the other way about, or all are alike.
    for rates in [[0, 2, 2], [2, 0, 0], [0, 0, 2], [1, 1, 1]] {
        let model = Checked { repeats: 2, asks: 3, deliver_weight: 3, ..checked(InjectedFault::None, rates) };
        assert_eq!(found(model, 300_000), ["both hold it in turn"], "{rates:?}");
    }
}

#[test]
fn keeps_one_holder_on_every_path_of_nine_steps_with_clocks_furthest_apart() {
    let model = checked(InjectedFault::None, [0, 2, 2]);
    let checker = model.checker().threads(4).target_max_depth(9).spawn_bfs().join();
    assert!(checker.discoveries().is_empty());
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn finds_each_injected_fault() {
    // With the moves of time that each of them needs, and nothing lost: what is lost is only late.
    let faults = [
        (InjectedFault::CountsFromGrant, vec![40, 160], 0),
        (InjectedFault::GrantsAtOnce, vec![], 1),
        (InjectedFault::NoDrift, vec![190, 9], 0),
    ];
    for (injected, moves, restarts) in faults {
        let walked = |injected| {
            let model = Checked {
                by_one: true,
                loses: false,
                restarts,
                moves: moves.clone(),
                until: 199,
                ..checked(injected, [0, 2, 2])
            };
            let checker = model.checker().threads(4).target_max_depth(16).spawn_bfs().join();
            checker.discoveries().contains_key("two never hold one lease")
        };
        assert!(walked(injected), "{injected:?}");
        assert!(!walked(InjectedFault::None), "without {injected:?}");
    }
}

#[test]
fn holder_term_ends_before_grantor_term_at_the_drift_bound() {
    // A holder's time, by the slowest clock, is over before a grantor's by the fastest.
    let holder = MAX_TERM / (1.0 + 2.0 * DRIFT) / RATES[0];
    let grantor = MAX_TERM / RATES[2];
    assert!(holder <= grantor + 1e-3, "{holder} against {grantor}");
}
