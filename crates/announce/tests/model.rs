//! Model checking (stateright) of the real announcing decisions. Several instances share no state; an adversary makes
//! them unhealthy and healthy, delays what they see of each other up to a bound, and drains them.

use cleatgw_announce::*;
use cleatgw_bgp::{Advertisement, LearnedRoute};
use ipnet::IpNet;
use stateright::{Checker, Model, Property, UniformChooser};
use std::fmt;

/// Seconds between two updates of the instances.
const TICK: f64 = 0.5;
/// The cap on changes in the configuration.
const MAX_CHANGES: u32 = 10;
/// The settling time in seconds of a working guard, longer than a view can be old (MAX_VIEW_AGE ticks).
const SETTLE_TIME: f64 = 2.5;
/// The largest age, in ticks, of an instance's view of the others.
const MAX_VIEW_AGE: usize = 2;

fn prefix() -> IpNet {
    "198.51.100.7/32".parse().unwrap()
}

fn config(instance: u32, settle_time: f64, guard: bool) -> AnnouncerConfig {
    let check_config = |effect| HealthCheckConfig {
        effect,
        threshold: 1.0,
        rise: 1,
        fall: 1,
        min_good_time: 0.0,
        min_bad_time: 0.0,
    };
    let with_med = |med| PathPreference { med: Some(med), ..PathPreference::default() };
    AnnouncerConfig {
        addresses: vec![prefix()],
        instance_community: InstanceCommunity {
            asn: 64_512,
            healthy_function: 1,
            last_resort_function: 2,
            instance,
        },
        // In the order of HealthCheck::ALL.
        checks: [Effect::Withdraw, Effect::Withdraw, Effect::Ignore, Effect::Withdraw, Effect::Deprefer]
            .map(check_config),
        announced: with_med(0),
        depreferred: with_med(200),
        last_resort: with_med(400),
        check_interval: TICK,
        start_delay: 0.0,
        return_delay: 0.0,
        depreferred_time: 0.0,
        // The adversary already chooses the timing; a random jitter would only hide moves from it.
        jitter_down: 0.0,
        jitter_up: 0.0,
        guard,
        settle_time,
        damping: Damping {
            half_life: 60.0,
            suppress_threshold: 100.0,
            reuse_threshold: 2.0,
            max_suppress_time: 300.0,
        },
        max_changes: MAX_CHANGES,
        shutdown_lead: 0.0,
        hold: None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Updates all instances. Those whose bit in `fresh` is set get a current view of the others; the rest keep their
    /// view unless it is too old.
    Tick {
        fresh: u8,
    },
    Fail(usize),
    Recover(usize),
    Drain(usize),
}

#[derive(Clone)]
struct Instance {
    announcer: Announcer,
    unhealthy: bool,
    /// The paths that the instance sees.
    paths: Paths,
    /// The age of `paths` in ticks.
    age: usize,
    /// The times of its moves.
    changes: Vec<f64>,
}

#[derive(Clone)]
struct FleetState {
    now: f64,
    instances: Vec<Instance>,
    steps: usize,
}

impl FleetState {
    fn digest(&self) -> String {
        let describe = |instance: &Instance| {
            let Instance { announcer, unhealthy, paths, age, .. } = instance;
            format!("{announcer:?}{unhealthy}{paths:?}{age}")
        };
        format!("{}{:?}", self.now, self.instances.iter().map(describe).collect::<Vec<_>>())
    }

    fn level(&self, index: usize) -> Level {
        self.instances[index].announcer.statuses().next().unwrap().level
    }

    /// A current view of instance `index`: what its peers would send if they passed every path on.
    fn current_view(&self, index: usize) -> Paths {
        let instance_community = self.instances[index].announcer.config().instance_community;
        let mut paths = Paths::new(true);
        for other in self.instances.iter() {
            for (prefix, advertisement) in other.announcer.advertisements() {
                let Advertisement { communities, large_communities, med, .. } = advertisement;
                paths.add(
                    &instance_community,
                    prefix,
                    &LearnedRoute { communities, large_communities, path_length: 1, med, stale: false },
                );
            }
        }
        paths
    }

    fn tick(&mut self, fresh: u8) {
        self.now += TICK;
        // Views are taken before any instance moves: moves at the same time are not seen yet.
        let current_views: Vec<Paths> =
            (0..self.instances.len()).map(|index| self.current_view(index)).collect();
        for (index, current_view) in current_views.into_iter().enumerate() {
            let instance = &mut self.instances[index];
            instance.age += 1;
            if fresh & 1 << index != 0 || instance.age > MAX_VIEW_AGE {
                (instance.paths, instance.age) = (current_view, 0);
            }
            let readings = Readings {
                listening: true,
                since_failure: None,
                discovery_silence: None,
                usable_engines: usize::from(!instance.unhealthy),
                in_time_share: None,
            };
            if instance.announcer.update(self.now, &readings, &instance.paths) {
                instance.changes.push(self.now);
            }
        }
    }
}

cleatgw_testbed::identify_by_digest!(FleetState);

impl fmt::Debug for FleetState {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let levels: Vec<Level> = (0..self.instances.len()).map(|index| self.level(index)).collect();
        write!(formatter, "{} s {levels:?}", self.now)
    }
}

struct Fleet {
    instances: usize,
    settle_time: f64,
    guard: bool,
    drains: bool,
    /// The largest number of steps of a run.
    max_steps: usize,
}

impl Model for Fleet {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
        let instance = |index: usize| Instance {
            announcer: Announcer::new(
                config(index as u32 + 1, self.settle_time, self.guard),
                index as u64,
                0.0,
            ),
            unhealthy: false,
            paths: Paths::new(true),
            age: 0,
            changes: Vec::new(),
        };
        let mut state =
            FleetState { now: 0.0, instances: (0..self.instances).map(instance).collect(), steps: 0 };
        // Enough ticks for every instance to reach the level Announced.
        (0..4).for_each(|_| state.tick(0xff));
        assert!((0..self.instances).all(|index| state.level(index) == Level::Announced));
        vec![state]
    }

    fn actions(&self, state: &FleetState, steps: &mut Vec<Step>) {
        if state.steps >= self.max_steps {
            return;
        }
        steps.extend((0..1 << self.instances).map(|fresh| Step::Tick { fresh }));
        for (index, instance) in state.instances.iter().enumerate() {
            steps.push(if instance.unhealthy { Step::Recover(index) } else { Step::Fail(index) });
            let drains = self.drains && instance.announcer.draining().is_none();
            steps.extend(drains.then_some(Step::Drain(index)));
        }
    }

    fn next_state(&self, state: &FleetState, step: Step) -> Option<FleetState> {
        let mut next = state.clone();
        next.steps += 1;
        match step {
            Step::Tick { fresh } => next.tick(fresh),
            Step::Fail(index) => next.instances[index].unhealthy = true,
            Step::Recover(index) => next.instances[index].unhealthy = false,
            Step::Drain(index) => drop(next.instances[index].announcer.drain(next.now, 0.9)),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            // If drains are allowed, the operator may drain all instances, so there may be no announcer. The property
            // is then not checked, not even if only one instance drains.
            Property::always("at least one instance announces", |fleet: &Fleet, state: &FleetState| {
                fleet.drains || (0..state.instances.len()).any(|index| state.level(index) > Level::Withdrawn)
            }),
            Property::always("a drained instance announces nothing", |_, state: &FleetState| {
                let announces_nothing_if_drained = |instance: &Instance| {
                    instance.announcer.draining().is_none() || instance.announcer.advertisements().is_empty()
                };
                state.instances.iter().all(announces_nothing_if_drained)
            }),
            Property::always("changes stay within the cap", |_, state: &FleetState| {
                state.instances.iter().all(|instance| {
                    let changes_from = |from: f64| {
                        instance
                            .changes
                            .iter()
                            .filter(|at| (from..from + CHANGE_CAP_WINDOW).contains(*at))
                            .count()
                    };
                    instance.changes.iter().all(|at| changes_from(*at) <= MAX_CHANGES as usize)
                })
            }),
            Property::always("an update is never overdue", |_, state: &FleetState| {
                state.instances.iter().all(|instance| instance.announcer.due() > state.now - TICK)
            }),
            Property::always(
                "every healthy instance that is not drained announces in the end",
                |_, state: &FleetState| {
                    let mut later = state.clone();
                    later.instances.iter_mut().for_each(|instance| instance.unhealthy = false);
                    // Enough ticks for every instance to recover and to reach the level Announced.
                    (0..6).for_each(|_| later.tick(0xff));
                    // Moves up may use only half of the cap. An instance that the cap holds back returns up to a minute
                    // later.
                    let capped = |instance: &Instance| {
                        instance.changes.iter().filter(|at| **at > later.now - CHANGE_CAP_WINDOW).count()
                            >= MAX_CHANGES as usize / 2
                    };
                    later.instances.iter().enumerate().all(|(index, instance)| {
                        instance.announcer.draining().is_some()
                            || capped(instance)
                            || later.level(index) == Level::Announced
                    })
                },
            ),
            Property::sometimes("an unhealthy instance has withdrawn", |_, state: &FleetState| {
                (0..state.instances.len())
                    .any(|index| state.level(index) == Level::Withdrawn && state.instances[index].unhealthy)
            }),
            Property::sometimes(
                "all instances are unhealthy and one has withdrawn",
                |_, state: &FleetState| {
                    state.instances.iter().all(|instance| instance.unhealthy)
                        && (0..state.instances.len()).any(|index| state.level(index) == Level::Withdrawn)
                },
            ),
        ]
    }
}

/// Guards against an order of failures and delays in which every instance withdraws because it takes another one for
/// healthy. Checks failures of each instance and of all, in any order, seen with any delay up to the bound.
#[test]
fn no_order_of_failures_and_delays_withdraws_the_last_path() {
    let fleet = |instances, max_steps| Fleet {
        instances,
        settle_time: SETTLE_TIME,
        guard: true,
        drains: false,
        max_steps,
    };
    let pair = fleet(2, 10).checker().threads(4).spawn_bfs().join();
    println!("pair: {} states, {} different", pair.state_count(), pair.unique_state_count());
    assert!(pair.unique_state_count() > 1_000);
    pair.assert_properties();
    // Longer random runs of three instances, from a fixed seed.
    let three = fleet(3, 60).checker().target_state_count(20_000).spawn_simulation(7, UniformChooser).join();
    println!("three: {} states", three.state_count());
    three.assert_properties();
}

#[test]
fn a_drained_instance_never_announces_again() {
    let fleet = Fleet { instances: 2, settle_time: SETTLE_TIME, guard: true, drains: true, max_steps: 7 };
    let checker = fleet.checker().threads(4).spawn_bfs().join();
    println!("drains: {} states, {} different", checker.state_count(), checker.unique_state_count());
    // A discovery of a `sometimes` property is an example and not a violation: runs this short may or may not contain
    // it.
    let discovered: Vec<&str> = checker
        .discoveries()
        .into_keys()
        .filter(|name| !name.contains("unhealthy instance has withdrawn"))
        .collect();
    assert!(
        discovered.iter().all(|name| *name == "all instances are unhealthy and one has withdrawn"),
        "{discovered:?}"
    );
}

/// Checks the model itself: with a settling time that is too short, or without the guard, it has to find a run in which
/// all instances withdraw.
#[test]
fn the_checker_finds_runs_that_withdraw_the_last_path_without_an_effective_guard() {
    for (settle_time, guard) in [(0.5, true), (SETTLE_TIME, false)] {
        let fleet = Fleet { instances: 2, settle_time, guard, drains: false, max_steps: 10 };
        let checker = fleet.checker().threads(4).spawn_bfs().join();
        let violation = checker.discovery("at least one instance announces");
        println!(
            "settle time {settle_time}, guard {guard}: {:?}",
            violation.clone().map(|path| path.into_actions())
        );
        assert!(violation.is_some());
    }
}
