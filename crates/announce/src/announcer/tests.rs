//! One instance in virtual time, one test for each failure.

use super::*;
use crate::config::{Hold, PathPreference};
use crate::health::{Effect, HealthCheckConfig};
use crate::paths::{InstanceCommunity, Paths};
use crate::Damping;
use cleatgw_bgp::{LearnedRoute, GRACEFUL_SHUTDOWN};

fn net() -> IpNet {
    "198.51.100.7/32".parse().unwrap()
}

fn sign(effect: Effect, bound: f64) -> HealthCheckConfig {
    HealthCheckConfig { effect, threshold: bound, rise: 2, fall: 2, min_good_time: 0.0, min_bad_time: 1.0 }
}

pub fn terms() -> AnnouncerConfig {
    AnnouncerConfig {
        addresses: vec![net()],
        instance_community: InstanceCommunity { asn: 64_512, healthy: 1, last_resort: 2, instance: 1 },
        checks: [
            sign(Effect::Withdraw, 0.0),
            sign(Effect::Withdraw, 0.0),
            sign(Effect::Withdraw, 5.0),
            sign(Effect::Withdraw, 1.0),
            sign(Effect::Deprefer, 0.5),
        ],
        announced: PathPreference::default(),
        depreferred: PathPreference { med: Some(200), prepend: 1, ..PathPreference::default() },
        last_resort: PathPreference { med: Some(400), prepend: 3, ..PathPreference::default() },
        check_interval: 0.25,
        start_delay: 1.0,
        return_delay: 2.0,
        depreferred_time: 3.0,
        jitter_down: 0.5,
        jitter_up: 0.5,
        guard: true,
        settle_time: 2.0,
        damping: Damping {
            half_life: 60.0,
            suppress_threshold: 3.0,
            reuse_threshold: 1.0,
            max_suppress_time: 300.0,
        },
        max_changes: 12,
        shutdown_lead: 0.0,
        hold: None,
    }
}

const WELL: Readings = Readings {
    listening: true,
    since_failure: None,
    discovery_silence: Some(0.1),
    usable_engines: 3,
    in_time_share: Some(0.99),
};
const NO_ENGINES: Readings = Readings { usable_engines: 0, ..WELL };

/// An announcer with what it reads and sees.
struct World {
    announcer: Announcer,
    now: f64,
    readings: Readings,
    paths: Paths,
    /// Every change: when, and to what.
    moved: Vec<(f64, Level)>,
}

fn others(marks: &[(u32, bool)]) -> Paths {
    let mut paths = Paths::new(true);
    for &(instance, sound) in marks {
        let large = vec![InstanceCommunity { instance, ..terms().instance_community }.large_community(sound)];
        let seen = LearnedRoute {
            communities: Vec::new(),
            large_communities: large,
            path_length: 2,
            med: None,
            stale: false,
        };
        paths.add(&terms().instance_community, net(), &seen);
    }
    paths
}

impl World {
    fn new(terms: AnnouncerConfig) -> World {
        let paths = others(&[(2, true)]);
        World { announcer: Announcer::new(terms, 3, 0.0), now: 0.0, readings: WELL, paths, moved: Vec::new() }
    }

    /// One that has been announced for a while.
    fn announced(terms: AnnouncerConfig) -> World {
        let mut world = World::new(terms);
        world.run(10.0);
        assert_eq!(world.level(), Level::Announced);
        world.moved.clear();
        world
    }

    fn level(&self) -> Level {
        self.announcer.statuses().next().unwrap().level
    }

    fn why(&self) -> Reason {
        self.announcer.statuses().next().unwrap().reason
    }

    fn turn(&mut self) {
        if self.announcer.update(self.now, &self.readings, &self.paths) {
            self.moved.push((self.now, self.level()));
        }
    }

    fn run(&mut self, time: f64) {
        let until = self.now + time;
        self.turn();
        while self.announcer.due() <= until {
            self.now = self.announcer.due().max(self.now);
            self.turn();
        }
        self.now = until;
    }
}

#[test]
fn after_a_start_is_withdrawn_then_depreferred_then_announced() {
    let mut world = World::new(terms());
    world.run(0.9);
    assert_eq!(
        (world.level(), world.why(), world.announcer.advertisements().len()),
        (Level::Withdrawn, Reason::Starting, 0)
    );
    world.run(1.0);
    assert_eq!((world.level(), world.why()), (Level::Depreferred, Reason::Returning));
    assert_eq!(world.announcer.advertisements()[&net()].med, Some(200));
    world.run(5.0);
    assert_eq!((world.level(), world.moved.len()), (Level::Announced, 2));
    assert_eq!(world.announcer.advertisements()[&net()].large_communities, [[64_512, 1, 1]]);
}

#[test]
fn single_failing_readings_change_nothing() {
    let mut world = World::announced(terms());
    for _ in 0..40 {
        world.readings = NO_ENGINES;
        world.run(0.25);
        world.readings = WELL;
        world.run(0.5);
    }
    assert_eq!(world.moved, []);
}

#[test]
fn an_unhealthy_instance_is_last_resort_until_a_healthy_path_has_been_seen_for_the_settle_time() {
    let mut world = World::announced(terms());
    world.readings = NO_ENGINES;
    world.run(1.4);
    assert_eq!(world.level(), Level::LastResort);
    let shown = world.announcer.advertisements()[&net()].clone();
    assert_eq!(
        (shown.med, shown.prepend, &shown.large_communities[..]),
        (Some(400), 3, &[[64_512, 2, 1]][..])
    );
    world.run(1.0);
    assert_eq!(world.level(), Level::LastResort, "not before the settling time");
    world.run(3.0);
    assert_eq!((world.level(), world.why()), (Level::Withdrawn, Reason::Unhealthy(HealthCheck::Engines)));
}

/// All engines are gone at all instances. The last path stays, and the instance says so.
#[test]
fn a_failure_shared_by_all_keeps_the_last_path() {
    for paths in [others(&[]), others(&[(2, false), (3, false)])] {
        let mut world = World::announced(terms());
        (world.readings, world.paths) = (NO_ENGINES, paths);
        world.run(100.0);
        assert_eq!(
            (world.level(), world.why()),
            (Level::LastResort, Reason::NoAlternative(HealthCheck::Engines))
        );
        assert_eq!((world.announcer.guarded, world.moved.len()), (1, 1));
        let mut notes = std::iter::from_fn(|| world.announcer.next_event());
        assert!(notes.any(|note| note.suppressed_by == Some(SuppressedBy::Guard)));
        // Well again: announced, without a dark moment.
        world.readings = WELL;
        world.run(5.0);
        assert_eq!((world.level(), world.moved.len()), (Level::Announced, 2));
    }
    // Without the guard it goes dark; and what only one can suffer from is no reason to stay.
    let mut world = World::announced(AnnouncerConfig { guard: false, ..terms() });
    (world.readings, world.paths) = (NO_ENGINES, others(&[]));
    world.run(5.0);
    assert_eq!(world.level(), Level::Withdrawn);
    let mut world = World::announced(terms());
    (world.readings, world.paths) = (Readings { listening: false, ..WELL }, others(&[]));
    world.run(1.0);
    assert_eq!((world.level(), world.why()), (Level::Withdrawn, Reason::Unhealthy(HealthCheck::Listening)));
}

#[test]
fn without_a_view_of_others_no_address_is_withdrawn() {
    let mut world = World::announced(terms());
    world.paths = Paths::default();
    world.readings = NO_ENGINES;
    world.run(30.0);
    assert_eq!(world.level(), Level::LastResort);
}

#[test]
fn returns_as_last_resort_when_no_other_path_is_left() {
    let mut world = World::announced(terms());
    world.readings = NO_ENGINES;
    world.run(10.0);
    assert_eq!(world.level(), Level::Withdrawn);
    // The sound one sickens: it stays as last resort, so there is a path.
    world.paths = others(&[(2, false)]);
    world.run(20.0);
    assert_eq!(world.level(), Level::Withdrawn);
    // It dies.
    world.paths = others(&[]);
    world.run(4.0);
    assert_eq!(
        (world.level(), world.why()),
        (Level::LastResort, Reason::NoAlternative(HealthCheck::Engines))
    );
    // An instance that is well does not wait for its return where nobody is left.
    let mut world = World::announced(terms());
    world.readings = NO_ENGINES;
    world.run(10.0);
    (world.readings, world.paths) = (WELL, others(&[]));
    world.run(1.3);
    assert_eq!(world.level(), Level::Depreferred);
}

#[test]
fn a_failing_check_that_deprefers_does_not_withdraw() {
    let mut world = World::announced(terms());
    world.readings.in_time_share = Some(0.2);
    world.run(60.0);
    assert_eq!((world.level(), world.why()), (Level::Depreferred, Reason::Degraded(HealthCheck::InTime)));
    // Too few jobs to tell: what was believed stands.
    world.readings.in_time_share = None;
    world.run(60.0);
    assert_eq!(world.level(), Level::Depreferred);
    world.readings.in_time_share = Some(0.9);
    world.run(5.0);
    assert_eq!(world.level(), Level::Announced);
}

/// A failure that comes and goes at the damping limit.
#[test]
fn a_flapping_failure_is_damped_and_stays_under_the_cap() {
    let illness = |terms: AnnouncerConfig| {
        let mut world = World::announced(terms);
        for _ in 0..60 {
            world.readings = NO_ENGINES;
            world.run(8.0);
            world.readings = WELL;
            world.run(8.0);
        }
        let window = |from: f64| {
            world.moved.iter().filter(|(at, _)| (from..from + CHANGE_CAP_WINDOW).contains(at)).count()
        };
        let most = world.moved.iter().map(|(at, _)| window(*at)).max().unwrap_or(0);
        (world.moved.len(), most, world.announcer.damped, world.announcer.capped, world)
    };
    let never = Damping { suppress_threshold: f64::INFINITY, ..terms().damping };
    let (wild, ..) = illness(AnnouncerConfig { damping: never, max_changes: 1000, ..terms() });
    let (damped, most, held, _, mut world) = illness(terms());
    assert!(wild > 150 && damped < wild / 2 && held > 0 && most <= 12, "{wild} {damped} {held} {most}");
    // It comes back once it has been well for long enough, and no later than the longest time.
    world.readings = WELL;
    world.run(310.0);
    assert_eq!(world.level(), Level::Announced);
    // The cap alone.
    let (_, most, _, capped, _) = illness(AnnouncerConfig { damping: never, max_changes: 4, ..terms() });
    assert!(most <= 4 && capped > 0, "{most} {capped}");
    // While damped it is out as a last resort: neither dark nor preferred.
    let mut world = World::announced(AnnouncerConfig { max_changes: 40, ..terms() });
    for _ in 0..4 {
        world.readings = NO_ENGINES;
        world.run(8.0);
        world.readings = WELL;
        world.run(8.0);
    }
    assert_eq!((world.level(), world.why()), (Level::LastResort, Reason::Damped));
    world.readings = NO_ENGINES;
    world.run(30.0);
    assert_eq!((world.level(), world.why()), (Level::LastResort, Reason::Damped));
    // Under a cap that leaves no room to come back it is not withdrawn either: others have the same cap.
    let mut world = World::announced(AnnouncerConfig { max_changes: 4, ..terms() });
    world.readings = NO_ENGINES;
    world.run(30.0);
    assert_eq!((world.level(), world.announcer.capped), (Level::LastResort, 1));
    // Just under the limit of the damping: never held back.
    let mut world = World::announced(AnnouncerConfig {
        damping: Damping { half_life: 30.0, ..terms().damping },
        ..terms()
    });
    for _ in 0..20 {
        world.readings = NO_ENGINES;
        world.run(8.0);
        world.readings = WELL;
        world.run(60.0);
    }
    assert_eq!((world.announcer.damped, world.level()), (0, Level::Announced));
}

#[test]
fn jitter_spreads_the_moves_of_instances_that_fail_together() {
    let moved = |seed| {
        let mut world = World::announced(terms());
        world.announcer.seed = seed;
        world.readings = NO_ENGINES;
        world.run(2.0);
        world.moved[0].0
    };
    let mut times: Vec<f64> = (0..40).map(moved).collect();
    times.sort_by(f64::total_cmp);
    assert!(times[39] - times[0] > 0.4, "{times:?}");
    times.dedup();
    assert!(times.len() > 30);
}

#[test]
fn a_drain_withdraws_for_good_whatever_readings_paths_or_configuration_follow() {
    for lead in [0.0, 0.4] {
        let mut world = World::announced(AnnouncerConfig { shutdown_lead: lead, ..terms() });
        world.paths = others(&[]);
        let drain = world.announcer.drain(world.now, 0.9);
        assert_eq!((drain.withdraws_at, drain.new_work_ends), (world.now + lead, world.now + 0.9));
        if lead > 0.0 {
            let wanted = world.announcer.advertisements();
            assert_eq!(
                (&wanted[&net()].communities[..], wanted[&net()].local_pref),
                (&[GRACEFUL_SHUTDOWN][..], Some(0))
            );
            // The mark says that it is no sound path any more.
            assert_eq!(wanted[&net()].large_communities, [[64_512, 2, 1]]);
            world.run(0.39);
            assert_eq!(world.level(), Level::Depreferred);
            world.run(0.02);
        }
        assert_eq!(
            (world.level(), world.why(), world.announcer.due()),
            (Level::Withdrawn, Reason::Drained, f64::INFINITY)
        );
        // A reload while draining, with another address and a longer lead.
        let other = "198.51.100.8/32".parse().unwrap();
        let new = AnnouncerConfig { addresses: vec![net(), other], shutdown_lead: 0.8, ..terms() };
        world.announcer.reconfigure(new, world.now);
        world.run(100.0);
        assert!(world.announcer.advertisements().is_empty());
        assert_eq!(
            world.announcer.drain(world.now, 0.9),
            Drain { withdraws_at: drain.began + lead, ..drain }
        );
    }
    // One that never was announced is not announced by its drain.
    let mut world = World::new(AnnouncerConfig { shutdown_lead: 0.4, ..terms() });
    world.announcer.drain(0.0, 0.9);
    assert!(world.announcer.advertisements().is_empty());
}

#[test]
fn reconfiguring_keeps_known_addresses_and_starts_new_ones() {
    let mut world = World::announced(terms());
    let other = "198.51.100.8/32".parse().unwrap();
    world.announcer.reconfigure(AnnouncerConfig { addresses: vec![other, net()], ..terms() }, world.now);
    let levels: Vec<Level> = world.announcer.statuses().map(|status| status.level).collect();
    assert_eq!(levels, [Level::Withdrawn, Level::Announced]);
    world.announcer.reconfigure(AnnouncerConfig { addresses: vec![other], ..terms() }, world.now);
    assert!(world.announcer.advertisements().is_empty());
    world.run(10.0);
    assert_eq!(world.announcer.advertisements().len(), 1);
    world.announcer.reconfigure(AnnouncerConfig { hold: Some(Hold::Withdrawn), ..terms() }, world.now);
    world.run(20.0);
    assert!(world.announcer.advertisements().is_empty());
}
