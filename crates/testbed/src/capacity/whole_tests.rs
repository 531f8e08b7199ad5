use super::super::fleet::{Planted, Play, World};
use super::*;

/// Few routers and requests, and every trouble: seconds in a debug build.
fn small() -> Play {
    Play { rate: 20.0, zone_lost: true, ..play(12, 5) }
}

fn played(play: Play) -> World {
    let mut world = World::new(play);
    world.run().expect("it ends in time");
    world
}

/// What the play came to, without what depends on the machine.
fn counts(world: &World) -> Value {
    let mut report = world.report();
    for clocked in ["control_cpu", "control_cpu_hears", "decisions_us"] {
        report[clocked] = Value::Null;
    }
    report
}

#[test]
fn the_same_seed_gives_the_same_counts_and_every_trouble_takes_effect() {
    let (one, again, other) = (played(small()), played(small()), played(Play { seed: 7, ..small() }));
    assert_eq!(counts(&one), counts(&again));
    assert_ne!(counts(&one), counts(&other));
    assert_eq!(one.troubles.len(), 8, "{:?}", one.troubles);
    assert!(one.troubles.values().all(|count| *count > 0), "{:?}", one.troubles);
    assert!(one.died.is_empty(), "{:?}", one.died);
    assert!(one.checker.broken.is_empty(), "{:?}", one.checker.first);
    assert_eq!(one.checker.checked.len(), 4, "each rule was looked at: {:?}", one.checker.checked);
}

/// The real routers ask what is said of every engine; here most ask only of those that anyone speaks of.
#[test]
fn asking_only_of_engines_that_are_spoken_of_changes_nothing() {
    let all = played(Play { hears_all: true, routers: 26, engines: 33, ..small() });
    let few = played(Play { routers: 26, engines: 33, ..small() });
    assert_eq!(counts(&all), counts(&few));
}

#[test]
fn the_checker_finds_a_planted_break_of_each_rule() {
    for (planted, rule) in [
        (Planted::NoAnswer, "one answer in time"),
        (Planted::LateAnswer, "one answer in time"),
        (Planted::ToTheGone, "nothing new to the closed"),
        (Planted::EffectTwice, "effectful once"),
        (Planted::ColdFlood, "cold budget"),
    ] {
        let world = played(Play { planted: Some(planted), ..small() });
        let broken = world.checker.broken.get(rule).copied().unwrap_or(0);
        assert!(broken > 0, "{planted:?}: {:?}", world.checker.broken);
    }
}

#[test]
fn a_size_out_of_reach_says_what_is_lacking_before_anything_starts() {
    let ask = |size| Ask { seed: 1, sizes: Some(vec![size]), plays: 1, program: "none".into() };
    let lacks = measure(&ask(50_000.0)).unwrap_err();
    assert!(lacks.contains("MB of memory are lacking"), "{lacks}");
}
