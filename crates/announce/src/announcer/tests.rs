//! Tests of one instance in virtual time, one test for each kind of failure.

use super::*;
use crate::config::{Hold, PathPreference};
use crate::health::{Effect, HealthCheckConfig};
use crate::paths::{InstanceCommunity, Paths};
use crate::Damping;
use cleatgw_bgp::{LearnedRoute, GRACEFUL_SHUTDOWN};

fn prefix() -> IpNet {
    "198.51.100.7/32".parse().unwrap()
}

fn check_config(effect: Effect, threshold: f64) -> HealthCheckConfig {
    HealthCheckConfig { effect, threshold, rise: 2, fall: 2, min_good_time: 0.0, min_bad_time: 1.0 }
}

pub fn config() -> AnnouncerConfig {
    AnnouncerConfig {
        addresses: vec![prefix()],
        instance_community: InstanceCommunity {
            asn: 64_512,
            healthy_function: 1,
            last_resort_function: 2,
            instance: 1,
        },
        // In the order of HealthCheck::ALL.
        checks: [
            check_config(Effect::Withdraw, 0.0),
            check_config(Effect::Withdraw, 0.0),
            check_config(Effect::Withdraw, 5.0),
            check_config(Effect::Withdraw, 1.0),
            check_config(Effect::Deprefer, 0.5),
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

const HEALTHY: Readings = Readings {
    listening: true,
    since_failure: None,
    discovery_silence: Some(0.1),
    usable_engines: 3,
    in_time_share: Some(0.99),
};
const NO_ENGINES: Readings = Readings { usable_engines: 0, ..HEALTHY };

/// An announcer with its inputs.
struct Instance {
    announcer: Announcer,
    now: f64,
    readings: Readings,
    paths: Paths,
    /// The time and the new level of every move.
    moves: Vec<(f64, Level)>,
}

/// The paths of other instances, each given by its instance and whether it is marked as healthy.
fn others(marks: &[(u32, bool)]) -> Paths {
    let mut paths = Paths::new(true);
    for &(instance, healthy) in marks {
        let large_communities =
            vec![InstanceCommunity { instance, ..config().instance_community }.large_community(healthy)];
        let route = LearnedRoute {
            communities: Vec::new(),
            large_communities,
            path_length: 2,
            med: None,
            stale: false,
        };
        paths.add(&config().instance_community, prefix(), &route);
    }
    paths
}

impl Instance {
    fn new(config: AnnouncerConfig) -> Instance {
        let paths = others(&[(2, true)]);
        Instance {
            announcer: Announcer::new(config, 3, 0.0),
            now: 0.0,
            readings: HEALTHY,
            paths,
            moves: Vec::new(),
        }
    }

    /// An instance that is at the level Announced, without recorded moves.
    fn announced(config: AnnouncerConfig) -> Instance {
        let mut instance = Instance::new(config);
        instance.run(10.0);
        assert_eq!(instance.level(), Level::Announced);
        instance.moves.clear();
        instance
    }

    fn level(&self) -> Level {
        self.announcer.statuses().next().unwrap().level
    }

    fn reason(&self) -> Reason {
        self.announcer.statuses().next().unwrap().reason
    }

    fn update(&mut self) {
        if self.announcer.update(self.now, &self.readings, &self.paths) {
            self.moves.push((self.now, self.level()));
        }
    }

    /// Advances the virtual time by `duration` seconds, and updates the announcer whenever it is due.
    fn run(&mut self, duration: f64) {
        let until = self.now + duration;
        self.update();
        while self.announcer.due() <= until {
            self.now = self.announcer.due().max(self.now);
            self.update();
        }
        self.now = until;
    }
}

#[test]
fn after_a_start_is_withdrawn_then_depreferred_then_announced() {
    let mut instance = Instance::new(config());
    instance.run(0.9);
    assert_eq!(
        (instance.level(), instance.reason(), instance.announcer.advertisements().len()),
        (Level::Withdrawn, Reason::Starting, 0)
    );
    instance.run(1.0);
    assert_eq!((instance.level(), instance.reason()), (Level::Depreferred, Reason::Returning));
    assert_eq!(instance.announcer.advertisements()[&prefix()].med, Some(200));
    instance.run(5.0);
    assert_eq!((instance.level(), instance.moves.len()), (Level::Announced, 2));
    assert_eq!(instance.announcer.advertisements()[&prefix()].large_communities, [[64_512, 1, 1]]);
}

#[test]
fn single_failing_readings_change_nothing() {
    let mut instance = Instance::announced(config());
    for _ in 0..40 {
        instance.readings = NO_ENGINES;
        instance.run(0.25);
        instance.readings = HEALTHY;
        instance.run(0.5);
    }
    assert_eq!(instance.moves, []);
}

#[test]
fn an_unhealthy_instance_is_last_resort_for_the_settle_time_and_withdraws_if_a_healthy_path_is_seen() {
    let mut instance = Instance::announced(config());
    instance.readings = NO_ENGINES;
    instance.run(1.4);
    assert_eq!(instance.level(), Level::LastResort);
    let advertisement = instance.announcer.advertisements()[&prefix()].clone();
    assert_eq!(
        (advertisement.med, advertisement.prepend, &advertisement.large_communities[..]),
        (Some(400), 3, &[[64_512, 2, 1]][..])
    );
    instance.run(1.0);
    assert_eq!(instance.level(), Level::LastResort, "it may not withdraw before the settling time is over");
    instance.run(3.0);
    assert_eq!(
        (instance.level(), instance.reason()),
        (Level::Withdrawn, Reason::Unhealthy(HealthCheck::Engines))
    );
}

/// Guards against a failure of all engines at all instances that withdraws the last path: an instance keeps its path as
/// a last resort and reports that the guard held the withdrawal back.
#[test]
fn a_failure_shared_by_all_keeps_the_last_path() {
    for paths in [others(&[]), others(&[(2, false), (3, false)])] {
        let mut instance = Instance::announced(config());
        (instance.readings, instance.paths) = (NO_ENGINES, paths);
        instance.run(100.0);
        assert_eq!(
            (instance.level(), instance.reason()),
            (Level::LastResort, Reason::NoAlternative(HealthCheck::Engines))
        );
        assert_eq!((instance.announcer.guarded, instance.moves.len()), (1, 1));
        let mut events = std::iter::from_fn(|| instance.announcer.next_event());
        assert!(events.any(|event| event.suppressed_by == Some(SuppressedBy::Guard)));
        // When the instance is healthy again, it is announced without having been withdrawn.
        instance.readings = HEALTHY;
        instance.run(5.0);
        assert_eq!((instance.level(), instance.moves.len()), (Level::Announced, 2));
    }
    // Without the guard the last path is withdrawn. With the guard, it is withdrawn for a failure that only one
    // instance can have.
    let mut instance = Instance::announced(AnnouncerConfig { guard: false, ..config() });
    (instance.readings, instance.paths) = (NO_ENGINES, others(&[]));
    instance.run(5.0);
    assert_eq!(instance.level(), Level::Withdrawn);
    let mut instance = Instance::announced(config());
    (instance.readings, instance.paths) = (Readings { listening: false, ..HEALTHY }, others(&[]));
    instance.run(1.0);
    assert_eq!(
        (instance.level(), instance.reason()),
        (Level::Withdrawn, Reason::Unhealthy(HealthCheck::Listening))
    );
}

#[test]
fn without_a_view_of_others_no_address_is_withdrawn() {
    let mut instance = Instance::announced(config());
    instance.paths = Paths::default();
    instance.readings = NO_ENGINES;
    instance.run(30.0);
    assert_eq!(instance.level(), Level::LastResort);
}

#[test]
fn returns_as_last_resort_when_no_other_path_is_left() {
    let mut instance = Instance::announced(config());
    instance.readings = NO_ENGINES;
    instance.run(10.0);
    assert_eq!(instance.level(), Level::Withdrawn);
    // The other instance becomes unhealthy but remains as last resort, so a path is left.
    instance.paths = others(&[(2, false)]);
    instance.run(20.0);
    assert_eq!(instance.level(), Level::Withdrawn);
    // The other instance's path disappears.
    instance.paths = others(&[]);
    instance.run(4.0);
    assert_eq!(
        (instance.level(), instance.reason()),
        (Level::LastResort, Reason::NoAlternative(HealthCheck::Engines))
    );
    // An instance that is healthy again does not wait for the return delay if no other path is left.
    let mut instance = Instance::announced(config());
    instance.readings = NO_ENGINES;
    instance.run(10.0);
    (instance.readings, instance.paths) = (HEALTHY, others(&[]));
    instance.run(1.3);
    assert_eq!(instance.level(), Level::Depreferred);
}

#[test]
fn a_failing_check_that_deprefers_does_not_withdraw() {
    let mut instance = Instance::announced(config());
    instance.readings.in_time_share = Some(0.2);
    instance.run(60.0);
    assert_eq!(
        (instance.level(), instance.reason()),
        (Level::Depreferred, Reason::Degraded(HealthCheck::InTime))
    );
    // With too few requests to tell, the check keeps its state.
    instance.readings.in_time_share = None;
    instance.run(60.0);
    assert_eq!(instance.level(), Level::Depreferred);
    instance.readings.in_time_share = Some(0.9);
    instance.run(5.0);
    assert_eq!(instance.level(), Level::Announced);
}

/// Guards against unbounded flapping: a failure that comes and goes every 8 s must not move the address each time.
#[test]
fn a_flapping_failure_is_damped_and_stays_under_the_cap() {
    let flap = |config: AnnouncerConfig| {
        let mut instance = Instance::announced(config);
        for _ in 0..60 {
            instance.readings = NO_ENGINES;
            instance.run(8.0);
            instance.readings = HEALTHY;
            instance.run(8.0);
        }
        let changes_from = |from: f64| {
            instance.moves.iter().filter(|(at, _)| (from..from + CHANGE_CAP_WINDOW).contains(at)).count()
        };
        let max_changes = instance.moves.iter().map(|(at, _)| changes_from(*at)).max().unwrap_or(0);
        (instance.moves.len(), max_changes, instance.announcer.damped, instance.announcer.capped, instance)
    };
    let no_damping = Damping { suppress_threshold: f64::INFINITY, ..config().damping };
    let (undamped, ..) = flap(AnnouncerConfig { damping: no_damping, max_changes: 1000, ..config() });
    let (damped, max_changes, held_back, _, mut instance) = flap(config());
    assert!(
        undamped > 150 && damped < undamped / 2 && held_back > 0 && max_changes <= 12,
        "{undamped} undamped moves, {damped} damped ones, {held_back} held back, {max_changes} a minute"
    );
    // The address returns at the latest max_suppress_time after the instance became healthy.
    instance.readings = HEALTHY;
    instance.run(310.0);
    assert_eq!(instance.level(), Level::Announced);
    // The cap on changes without damping.
    let (_, max_changes, _, capped, _) =
        flap(AnnouncerConfig { damping: no_damping, max_changes: 4, ..config() });
    assert!(max_changes <= 4 && capped > 0, "{max_changes} changes a minute, {capped} moves capped");
    // While damped, the address is announced as a last resort: neither withdrawn nor preferred.
    let mut instance = Instance::announced(AnnouncerConfig { max_changes: 40, ..config() });
    for _ in 0..4 {
        instance.readings = NO_ENGINES;
        instance.run(8.0);
        instance.readings = HEALTHY;
        instance.run(8.0);
    }
    assert_eq!((instance.level(), instance.reason()), (Level::LastResort, Reason::Damped));
    instance.readings = NO_ENGINES;
    instance.run(30.0);
    assert_eq!((instance.level(), instance.reason()), (Level::LastResort, Reason::Damped));
    // Under a cap that would not allow it to return, the address is not withdrawn either, because other instances have
    // the same cap.
    let mut instance = Instance::announced(AnnouncerConfig { max_changes: 4, ..config() });
    instance.readings = NO_ENGINES;
    instance.run(30.0);
    assert_eq!((instance.level(), instance.announcer.capped), (Level::LastResort, 1));
    // Falls that are just too rare for the suppress threshold are never damped.
    let mut instance = Instance::announced(AnnouncerConfig {
        damping: Damping { half_life: 30.0, ..config().damping },
        ..config()
    });
    for _ in 0..20 {
        instance.readings = NO_ENGINES;
        instance.run(8.0);
        instance.readings = HEALTHY;
        instance.run(60.0);
    }
    assert_eq!((instance.announcer.damped, instance.level()), (0, Level::Announced));
}

#[test]
fn jitter_spreads_the_moves_of_instances_that_fail_together() {
    let first_move = |seed| {
        let mut instance = Instance::announced(config());
        instance.announcer.seed = seed;
        instance.readings = NO_ENGINES;
        instance.run(2.0);
        instance.moves[0].0
    };
    let mut times: Vec<f64> = (0..40).map(first_move).collect();
    times.sort_by(f64::total_cmp);
    assert!(times[39] - times[0] > 0.4, "{times:?}");
    times.dedup();
    assert!(times.len() > 30);
}

#[test]
fn a_drain_withdraws_for_good_whatever_readings_paths_or_configuration_follow() {
    for lead in [0.0, 0.4] {
        let mut instance = Instance::announced(AnnouncerConfig { shutdown_lead: lead, ..config() });
        instance.paths = others(&[]);
        let drain = instance.announcer.drain(instance.now, 0.9);
        assert_eq!((drain.withdraws_at, drain.new_work_ends), (instance.now + lead, instance.now + 0.9));
        if lead > 0.0 {
            let advertisements = instance.announcer.advertisements();
            assert_eq!(
                (&advertisements[&prefix()].communities[..], advertisements[&prefix()].local_pref),
                (&[GRACEFUL_SHUTDOWN][..], Some(0))
            );
            // The mark no longer shows the path as healthy.
            assert_eq!(advertisements[&prefix()].large_communities, [[64_512, 2, 1]]);
            instance.run(0.39);
            assert_eq!(instance.level(), Level::Depreferred);
            instance.run(0.02);
        }
        assert_eq!(
            (instance.level(), instance.reason(), instance.announcer.due()),
            (Level::Withdrawn, Reason::Drained, f64::INFINITY)
        );
        // The configuration is reloaded during the drain, with another address and a longer lead.
        let other = "198.51.100.8/32".parse().unwrap();
        let new_config = AnnouncerConfig { addresses: vec![prefix(), other], shutdown_lead: 0.8, ..config() };
        instance.announcer.reconfigure(new_config, instance.now);
        instance.run(100.0);
        assert!(instance.announcer.advertisements().is_empty());
        assert_eq!(
            instance.announcer.drain(instance.now, 0.9),
            Drain { withdraws_at: drain.began + lead, ..drain }
        );
    }
    // A drain does not announce an address that was never announced.
    let mut instance = Instance::new(AnnouncerConfig { shutdown_lead: 0.4, ..config() });
    instance.announcer.drain(0.0, 0.9);
    assert!(instance.announcer.advertisements().is_empty());
}

#[test]
fn reconfiguring_keeps_known_addresses_and_starts_new_ones() {
    let mut instance = Instance::announced(config());
    let other = "198.51.100.8/32".parse().unwrap();
    instance
        .announcer
        .reconfigure(AnnouncerConfig { addresses: vec![other, prefix()], ..config() }, instance.now);
    let levels: Vec<Level> = instance.announcer.statuses().map(|status| status.level).collect();
    assert_eq!(levels, [Level::Withdrawn, Level::Announced]);
    instance.announcer.reconfigure(AnnouncerConfig { addresses: vec![other], ..config() }, instance.now);
    assert!(instance.announcer.advertisements().is_empty());
    instance.run(10.0);
    assert_eq!(instance.announcer.advertisements().len(), 1);
    instance.announcer.reconfigure(AnnouncerConfig { hold: Some(Hold::Withdrawn), ..config() }, instance.now);
    instance.run(20.0);
    assert!(instance.announcer.advertisements().is_empty());
}
