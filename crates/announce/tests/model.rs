//! Model checking (stateright) of the real announcing decisions: several instances that share nothing, an adversary
//! that makes them sick and well, delays what they see of each other up to a bound, kills, and drains.

use cleatgw_announce::*;
use cleatgw_bgp::{Advertisement, LearnedRoute};
use ipnet::IpNet;
use stateright::{Checker, Model, Property, UniformChooser};
use std::fmt;

const TICK: f64 = 0.5;
/// Views are at most so many ticks old.
const OLDEST: usize = 2;

fn net() -> IpNet {
    "198.51.100.7/32".parse().unwrap()
}

fn terms(instance: u32, settle_time: f64, guard: bool) -> AnnouncerConfig {
    let sign = |effect| HealthCheckConfig {
        effect,
        threshold: 1.0,
        rise: 1,
        fall: 1,
        min_good_time: 0.0,
        min_bad_time: 0.0,
    };
    let dear = |med| PathPreference { med: Some(med), ..PathPreference::default() };
    AnnouncerConfig {
        addresses: vec![net()],
        instance_community: InstanceCommunity { asn: 64_512, healthy: 1, last_resort: 2, instance },
        checks: [Effect::Withdraw, Effect::Withdraw, Effect::Ignore, Effect::Withdraw, Effect::Deprefer]
            .map(sign),
        announced: dear(0),
        depreferred: dear(200),
        last_resort: dear(400),
        check_interval: TICK,
        start_delay: 0.0,
        return_delay: 0.0,
        depreferred_time: 0.0,
        // The adversary chooses by whose turn it is; a lot would only hide moves from it.
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
        max_changes: 10,
        shutdown_lead: 0.0,
        hold: None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Everybody's turn; those whose bit is set see the present, others an older view if theirs is not too old.
    Tick {
        fresh: u8,
    },
    Sicken(usize),
    Heal(usize),
    Drain(usize),
}

#[derive(Clone)]
struct Instance {
    announcer: Announcer,
    sick: bool,
    /// What it sees, and how many ticks old that is.
    paths: Paths,
    age: usize,
    changes: Vec<f64>,
}

#[derive(Clone)]
struct At {
    now: f64,
    instances: Vec<Instance>,
    steps: usize,
}

impl At {
    fn digest(&self) -> String {
        let one = |instance: &Instance| {
            let Instance { announcer, sick, paths, age, .. } = instance;
            format!("{announcer:?}{sick}{paths:?}{age}")
        };
        format!("{}{:?}", self.now, self.instances.iter().map(one).collect::<Vec<_>>())
    }

    fn level(&self, at: usize) -> Level {
        self.instances[at].announcer.statuses().next().unwrap().level
    }

    /// What instance `at` is shown now by peers that pass everything on.
    fn shown(&self, at: usize) -> Paths {
        let instance_community = self.instances[at].announcer.config().instance_community;
        let mut paths = Paths::new(true);
        for other in self.instances.iter() {
            for (net, path) in other.announcer.advertisements() {
                let Advertisement { communities, large_communities, med, .. } = path;
                paths.add(
                    &instance_community,
                    net,
                    &LearnedRoute { communities, large_communities, path_length: 1, med, stale: false },
                );
            }
        }
        paths
    }

    fn tick(&mut self, fresh: u8) {
        self.now += TICK;
        // Views are taken before anybody moves: what moves in the same instant is not seen yet.
        let shown: Vec<Paths> = (0..self.instances.len()).map(|at| self.shown(at)).collect();
        for (at, shown) in shown.into_iter().enumerate() {
            let instance = &mut self.instances[at];
            instance.age += 1;
            if fresh & 1 << at != 0 || instance.age > OLDEST {
                (instance.paths, instance.age) = (shown, 0);
            }
            let readings = Readings {
                listening: true,
                since_failure: None,
                discovery_silence: None,
                usable_engines: usize::from(!instance.sick),
                in_time_share: None,
            };
            if instance.announcer.update(self.now, &readings, &instance.paths) {
                instance.changes.push(self.now);
            }
        }
    }
}

cleatgw_testbed::identify_by_digest!(At);

impl fmt::Debug for At {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let levels: Vec<Level> = (0..self.instances.len()).map(|at| self.level(at)).collect();
        write!(to, "{} s {levels:?}", self.now)
    }
}

struct Fleet {
    instances: usize,
    settle_time: f64,
    guard: bool,
    drains: bool,
    longest: usize,
}

impl Model for Fleet {
    type State = At;
    type Action = Step;

    fn init_states(&self) -> Vec<At> {
        let instance = |at: usize| Instance {
            announcer: Announcer::new(terms(at as u32 + 1, self.settle_time, self.guard), at as u64, 0.0),
            sick: false,
            paths: Paths::new(true),
            age: 0,
            changes: Vec::new(),
        };
        let mut at = At { now: 0.0, instances: (0..self.instances).map(instance).collect(), steps: 0 };
        (0..4).for_each(|_| at.tick(0xff));
        assert!((0..self.instances).all(|one| at.level(one) == Level::Announced));
        vec![at]
    }

    fn actions(&self, at: &At, steps: &mut Vec<Step>) {
        if at.steps >= self.longest {
            return;
        }
        steps.extend((0..1 << self.instances).map(|fresh| Step::Tick { fresh }));
        for (one, instance) in at.instances.iter().enumerate() {
            steps.push(if instance.sick { Step::Heal(one) } else { Step::Sicken(one) });
            let drains = self.drains && instance.announcer.draining().is_none();
            steps.extend(drains.then_some(Step::Drain(one)));
        }
    }

    fn next_state(&self, at: &At, step: Step) -> Option<At> {
        let mut next = at.clone();
        next.steps += 1;
        match step {
            Step::Tick { fresh } => next.tick(fresh),
            Step::Sicken(one) => next.instances[one].sick = true,
            Step::Heal(one) => next.instances[one].sick = false,
            Step::Drain(one) => drop(next.instances[one].announcer.drain(next.now, 0.9)),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            // An operator who drains all takes all away; where one drains, the others must see it in time.
            Property::always("somebody announces", |fleet: &Fleet, at: &At| {
                fleet.drains || (0..at.instances.len()).any(|one| at.level(one) > Level::Withdrawn)
            }),
            Property::always("who drains announces nothing", |_, at: &At| {
                let drained = |one: &Instance| {
                    one.announcer.draining().is_none() || one.announcer.advertisements().is_empty()
                };
                at.instances.iter().all(drained)
            }),
            Property::always("changes stay under the cap", |_, at: &At| {
                at.instances.iter().all(|one| {
                    let within = |from: f64| {
                        one.changes.iter().filter(|at| (from..from + CHANGE_CAP_WINDOW).contains(*at)).count()
                    };
                    one.changes.iter().all(|at| within(*at) <= 10)
                })
            }),
            Property::always("a due time is never behind", |_, at: &At| {
                at.instances.iter().all(|one| one.announcer.due() > at.now - TICK)
            }),
            Property::always("whoever is left and well announces in the end", |_, at: &At| {
                let mut later = at.clone();
                later.instances.iter_mut().for_each(|one| one.sick = false);
                (0..6).for_each(|_| later.tick(0xff));
                // Whom the cap holds back comes a minute later.
                let capped = |one: &Instance| {
                    one.changes.iter().filter(|at| **at > later.now - CHANGE_CAP_WINDOW).count() >= 5
                };
                later.instances.iter().enumerate().all(|(at, one)| {
                    one.announcer.draining().is_some() || capped(one) || later.level(at) == Level::Announced
                })
            }),
            Property::sometimes("a sick one goes while a sound one is seen", |_, at: &At| {
                (0..at.instances.len()).any(|one| at.level(one) == Level::Withdrawn && at.instances[one].sick)
            }),
            Property::sometimes("all are sick and one stays", |_, at: &At| {
                at.instances.iter().all(|one| one.sick)
                    && (0..at.instances.len()).any(|one| at.level(one) == Level::Withdrawn)
            }),
        ]
    }
}

/// Sickness of each alone, of all, in any order, seen with any delay up to the bound.
#[test]
fn no_order_of_failures_and_delays_withdraws_the_last_path() {
    let fleet =
        |instances, longest| Fleet { instances, settle_time: 2.5, guard: true, drains: false, longest };
    let pair = fleet(2, 10).checker().threads(4).spawn_bfs().join();
    println!("pair: {} states, {} different", pair.state_count(), pair.unique_state_count());
    assert!(pair.unique_state_count() > 1_000);
    pair.assert_properties();
    // Longer runs of three, at random from a fixed seed.
    let three = fleet(3, 60).checker().target_state_count(20_000).spawn_simulation(7, UniformChooser).join();
    println!("three: {} states", three.state_count());
    three.assert_properties();
}

#[test]
fn a_drained_instance_never_announces_again() {
    let drains = Fleet { instances: 2, settle_time: 2.5, guard: true, drains: true, longest: 7 };
    let done = drains.checker().threads(4).spawn_bfs().join();
    println!("drains: {} states, {} different", done.state_count(), done.unique_state_count());
    let wrong: Vec<&str> = done.discoveries().into_keys().filter(|name| !name.contains("sick one")).collect();
    assert!(wrong.iter().all(|name| *name == "all are sick and one stays"), "{wrong:?}");
}

/// A guard that does not settle, or none, goes dark: the checker finds how.
#[test]
fn planted_faults_are_found() {
    for (settle_time, guard) in [(0.5, true), (2.5, false)] {
        let fleet = Fleet { instances: 2, settle_time, guard, drains: false, longest: 10 };
        let done = fleet.checker().threads(4).spawn_bfs().join();
        let found = done.discovery("somebody announces");
        println!(
            "settle time {settle_time}, guard {guard}: {:?}",
            found.clone().map(|path| path.into_actions())
        );
        assert!(found.is_some());
    }
}
