//! After the last fault all views agree: the real code of three routers under every schedule of a few faults, walked by
//! stateright. A state is the faults so far; what comes of them is played in virtual time, then left without faults.

use cleatgw_membership::leader::role_resource;
use cleatgw_membership::swim::{Defences, DetectorSettings};
use cleatgw_membership::view::Standing;
use cleatgw_testbed::faults::schedule::FaultAction;
use cleatgw_testbed::scenarios::virtual_membership::World;
use stateright::{Checker, Model, Property};

const ROUTERS: usize = 3;
const MOST: usize = 3;
/// Between two faults, in seconds: less than it takes to find one failed, and more.
const GAPS: [f64; 2] = [0.6, 3.0];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    Restart(usize),
    Freeze(usize),
    Wake(usize),
    CutOff(usize),
    OneWay(usize, usize),
    Heal,
}

/// Faults, each with the gap ahead of it.
type Path = Vec<(usize, Fault)>;

struct Views {
    defences: Defences,
}

impl Views {
    fn play(&self, path: &Path) -> World {
        let mut world = World::new(
            ROUTERS,
            DetectorSettings { defences: self.defences, ..DetectorSettings::default() },
            5,
        );
        world.role = Some(role_resource("one"));
        world.rates = vec![0.99, 1.01, 1.0];
        (0..ROUTERS).for_each(|router| world.at(0.0, FaultAction::Start(router)));
        let mut at = 6.0;
        world.run_until(at);
        let mut frozen = [false; ROUTERS];
        for (gap, fault) in path {
            at += GAPS[*gap];
            let acts = match *fault {
                Fault::Restart(router) => {
                    frozen[router] = false;
                    // The first one's Unix clock is set back by an hour each time.
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
            acts.into_iter().for_each(|act| world.at(at, act));
            world.run_until(at);
        }
        // The last fault ends, and no other follows.
        world.at(at + GAPS[0], FaultAction::Heal);
        for router in (0..ROUTERS).filter(|router| frozen[*router]) {
            world.at(at + GAPS[0], FaultAction::Wake(router));
        }
        world.run_until(at + GAPS[0] + 7.0);
        world
    }
}

fn agree(world: &World) -> bool {
    (0..ROUTERS).all(|router| world.members(router).is_some_and(|one| one.standing() == Standing::Complete))
}

impl Model for Views {
    type State = Path;
    type Action = (usize, Fault);

    fn init_states(&self) -> Vec<Path> {
        vec![Vec::new()]
    }

    fn actions(&self, path: &Path, actions: &mut Vec<(usize, Fault)>) {
        if path.len() >= MOST {
            return;
        }
        let stands = |router: usize| {
            let of = |(_, fault): &&(usize, Fault)| matches!(fault, Fault::Freeze(at) | Fault::Wake(at) | Fault::Restart(at) if *at == router);
            !matches!(path.iter().rfind(of), Some((_, Fault::Freeze(_))))
        };
        // All routers are alike but for their clocks: two of them have all the faults.
        let mut faults = vec![Fault::Heal, Fault::OneWay(0, 1), Fault::OneWay(1, 2)];
        for router in 0..2 {
            faults.extend([Fault::Restart(router), Fault::CutOff(router)]);
            faults.push(if stands(router) { Fault::Freeze(router) } else { Fault::Wake(router) });
        }
        actions.extend(faults.iter().flat_map(|fault| (0..GAPS.len()).map(move |gap| (gap, *fault))));
    }

    fn next_state(&self, path: &Path, action: (usize, Fault)) -> Option<Path> {
        Some([&path[..], &[action]].concat())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("views agree after the last fault", |model: &Views, path| {
                agree(&model.play(path))
            }),
            Property::always("one holder at a time", |model: &Views, path| model.play(path).two_holders == 0),
        ]
    }
}

#[test]
fn views_agree_and_roles_have_one_holder_after_any_three_faults() {
    let checker = Views { defences: Defences::default() }.checker().threads(4).spawn_bfs().join();
    assert!(checker.unique_state_count() > 4000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

/// A router whose clock was set back before its start, and that is not told in which incarnation others know it, is never heard
/// again: the checker finds a schedule.
#[test]
fn finds_the_injected_fault() {
    let defences = Defences { adopt_later_incarnation: false, ..Defences::default() };
    let checker = Views { defences }.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("views agree after the last fault");
    assert!(found.is_some(), "{} states", checker.unique_state_count());
}
