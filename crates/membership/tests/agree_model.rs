//! Checks that all views agree after the last fault: stateright explores every schedule of a few faults on three
//! routers that run the real code. A state of the model is the sequence of faults so far. To check a state, its
//! faults are replayed in virtual time, followed by a period without faults.

use cleatgw_membership::leader::role_resource;
use cleatgw_membership::swim::{Defences, DetectorSettings};
use cleatgw_membership::view::Standing;
use cleatgw_testbed::faults::schedule::FaultAction;
use cleatgw_testbed::scenarios::virtual_membership::World;
use stateright::{Checker, Model, Property};

const ROUTERS: usize = 3;
const MAX_FAULTS: usize = 3;
/// The times between two faults, in seconds: one shorter than it takes to detect a failure, and one longer.
const GAPS: [f64; 2] = [0.6, 3.0];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    Restart(usize),
    Freeze(usize),
    Wake(usize),
    /// Cuts all links of a router in both directions. All other links work again.
    CutOff(usize),
    /// Cuts the link from the first router to the second in that direction only.
    OneWay(usize, usize),
    Heal,
}

/// A sequence of faults, each with the index of the gap before it.
type FaultSequence = Vec<(usize, Fault)>;

struct ViewAgreement {
    defences: Defences,
}

impl ViewAgreement {
    fn run_faults(&self, faults: &FaultSequence) -> World {
        let mut world = World::new(
            ROUTERS,
            DetectorSettings { defences: self.defences, ..DetectorSettings::default() },
            5,
        );
        world.role = Some(role_resource("one"));
        world.rates = vec![0.99, 1.01, 1.0];
        (0..ROUTERS).for_each(|router| world.at(0.0, FaultAction::Start(router)));
        let mut now = 6.0;
        world.run_until(now);
        let mut frozen = [false; ROUTERS];
        for (gap, fault) in faults {
            now += GAPS[*gap];
            let actions = match *fault {
                Fault::Restart(router) => {
                    frozen[router] = false;
                    // The Unix clock of router 0 is set back by an hour at each of its restarts.
                    world.clocks[router] -= if router == 0 { 3_600_000 } else { 0 };
                    vec![FaultAction::Kill(router), FaultAction::Start(router)]
                }
                Fault::Freeze(router) => {
                    frozen[router] = true;
                    vec![FaultAction::Freeze(router)]
                }
                Fault::Wake(router) => {
                    frozen[router] = false;
                    vec![FaultAction::Wake(router)]
                }
                Fault::CutOff(router) => {
                    vec![FaultAction::Part((0..ROUTERS).map(|other| usize::from(other == router)).collect())]
                }
                Fault::OneWay(from, to) => vec![FaultAction::CutOneWay(from, to)],
                Fault::Heal => vec![FaultAction::Heal],
            };
            actions.into_iter().for_each(|action| world.at(now, action));
            world.run_until(now);
        }
        // All faults end, and no other follows.
        world.at(now + GAPS[0], FaultAction::Heal);
        for router in (0..ROUTERS).filter(|router| frozen[*router]) {
            world.at(now + GAPS[0], FaultAction::Wake(router));
        }
        world.run_until(now + GAPS[0] + 7.0);
        world
    }
}

fn all_views_complete(world: &World) -> bool {
    (0..ROUTERS).all(|router| {
        world.members(router).is_some_and(|membership| membership.standing() == Standing::Complete)
    })
}

impl Model for ViewAgreement {
    type State = FaultSequence;
    type Action = (usize, Fault);

    fn init_states(&self) -> Vec<FaultSequence> {
        vec![Vec::new()]
    }

    fn actions(&self, sequence: &FaultSequence, actions: &mut Vec<(usize, Fault)>) {
        if sequence.len() >= MAX_FAULTS {
            return;
        }
        let is_running = |router: usize| {
            let concerns_router = |(_, fault): &&(usize, Fault)| matches!(fault, Fault::Freeze(at) | Fault::Wake(at) | Fault::Restart(at) if *at == router);
            !matches!(sequence.iter().rfind(concerns_router), Some((_, Fault::Freeze(_))))
        };
        // The routers differ only in their clocks, so it is enough that two of them are subject to all the faults.
        let mut faults = vec![Fault::Heal, Fault::OneWay(0, 1), Fault::OneWay(1, 2)];
        for router in 0..2 {
            faults.extend([Fault::Restart(router), Fault::CutOff(router)]);
            faults.push(if is_running(router) { Fault::Freeze(router) } else { Fault::Wake(router) });
        }
        actions.extend(faults.iter().flat_map(|fault| (0..GAPS.len()).map(move |gap| (gap, *fault))));
    }

    fn next_state(&self, faults: &FaultSequence, action: (usize, Fault)) -> Option<FaultSequence> {
        Some([&faults[..], &[action]].concat())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("views agree after the last fault", |model: &ViewAgreement, faults| {
                all_views_complete(&model.run_faults(faults))
            }),
            Property::always("one holder at a time", |model: &ViewAgreement, faults| {
                model.run_faults(faults).two_holders == 0
            }),
        ]
    }
}

#[test]
fn views_agree_and_roles_have_one_holder_after_any_three_faults() {
    let checker = ViewAgreement { defences: Defences::default() }.checker().threads(4).spawn_bfs().join();
    assert!(checker.unique_state_count() > 4000, "only {} states explored", checker.unique_state_count());
    checker.assert_properties();
}

/// Without the defence `adopt_later_incarnation`, a router whose Unix clock was set back before a restart starts with
/// an older generation than others know, and its datagrams are dropped for good. The checker must find such a
/// schedule.
#[test]
fn finds_the_fault_of_a_disabled_defence() {
    let defences = Defences { adopt_later_incarnation: false, ..Defences::default() };
    let checker = ViewAgreement { defences }.checker().threads(4).spawn_bfs().join();
    let discovery = checker.discovery("views agree after the last fault");
    assert!(discovery.is_some(), "no violation found in {} states", checker.unique_state_count());
}
