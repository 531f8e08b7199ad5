//! Scenarios of several routers in virtual time: one for each way in which routers may lose contact with each other.

use cleatgw_membership::swim::{Defences, DetectorSettings};
use cleatgw_membership::view::Standing;
use cleatgw_membership::wire::DropReason;
use cleatgw_membership::{cluster_hash, Membership, State};
use cleatgw_testbed::faults::schedule::FaultAction;
use cleatgw_testbed::scenarios::virtual_membership::World;

/// A cluster that has been started, in which every router considers all others present.
fn started_cluster(routers: usize, seed: u64) -> World {
    started_cluster_with(routers, DetectorSettings::default(), seed)
}

fn started_cluster_with(routers: usize, settings: DetectorSettings, seed: u64) -> World {
    let mut world = World::started(routers, settings, seed);
    world.run_until(8.0);
    for router in 0..routers {
        let standing = world.members(router).unwrap().standing();
        assert_eq!(standing, Standing::Complete, "router {router}, seed {seed}");
    }
    world
}

fn standing(world: &World, router: usize) -> Standing {
    world.members(router).expect("the router is running").standing()
}

/// The state of router `of` in the view of router `by`.
fn state(world: &World, by: usize, of: usize) -> State {
    world.members(by).expect("the router is running").members()[of].state
}

/// The routers that router `by` considers failed.
fn failed_routers(world: &World, by: usize) -> Vec<usize> {
    let members = world.members(by).expect("the router is running").members();
    (0..members.len()).filter(|of| members[*of].state == State::Failed).collect()
}

/// Asserts that after each fault all reachable routers agreed within `max_ms` on which routers are present.
fn assert_agreed_within(world: &World, max_ms: u64) {
    let agreed = world.record.agreed_after();
    assert!(agreed.is_some_and(|agreed| agreed <= max_ms), "agreed after {agreed:?} ms, limit {max_ms} ms");
}

/// Asserts that no reachable running router was considered failed for long, and that every real failure was detected
/// by all routers within `max_detection_ms`.
fn assert_correct_detection(world: &World, max_detection_ms: u64) {
    assert_eq!(world.record.false_failures(), []);
    let (times, missed) = world.record.detections();
    assert!(missed == 0 && times.max() <= max_detection_ms, "{missed} missed, {} ms", times.max());
}

#[test]
fn detects_a_killed_router_everywhere_within_three_and_a_half_seconds() {
    for seed in 0..10 {
        let mut world = started_cluster(9, seed);
        world.at(10.0, FaultAction::Kill(4));
        world.run_until(20.0);
        assert_correct_detection(&world, 3500);
        assert_eq!(world.record.detections().0.len(), 8);
        assert_eq!((standing(&world, 0), failed_routers(&world, 0)), (Standing::Majority, vec![4]));
    }
}

#[test]
fn resumed_router_with_old_view_and_full_buffers_fails_no_router() {
    for seed in 0..10 {
        let mut world = started_cluster(9, seed);
        world.at(10.0, FaultAction::Freeze(2));
        world.at(15.0, FaultAction::Wake(2));
        world.run_until(15.01);
        assert_eq!(standing(&world, 2), Standing::JustResumed);
        assert!(!world.members(2).unwrap().permissions().shares_observations);
        world.run_until(25.0);
        assert_correct_detection(&world, 3500);
        assert_agreed_within(&world, 3500);
        assert!(failed_routers(&world, 2).is_empty(), "seed {seed}");
        assert_eq!(standing(&world, 2), Standing::Complete);
    }
}

/// Guards against a router that resumes after a freeze acting on its outdated view: it reads the datagrams in its
/// socket buffer before its first turn.
#[test]
fn resumed_router_has_reduced_rights_from_its_first_datagram() {
    let mut world = started_cluster(5, 18);
    let resumed_at = world.now + 5.0;
    let membership = world.members_mut(2).unwrap();
    assert!(membership.permissions().takes_over);
    let _ = membership.receive_datagram(0, b"whatever waited", resumed_at);
    assert_eq!(membership.standing(), Standing::JustResumed);
    assert!(!membership.permissions().takes_over && !membership.permissions().uses_peer_evidence);
}

#[test]
fn router_restarted_before_detection_is_present_in_its_new_incarnation() {
    let mut world = started_cluster(9, 3);
    let before = world.members(0).unwrap().members()[5].generation;
    world.plan(&vec![(10.0, FaultAction::Kill(5)), (10.2, FaultAction::Start(5))]);
    world.run_until(20.0);
    assert_correct_detection(&world, 0);
    assert!(world.members(0).unwrap().members()[5].generation > before);
    assert_eq!(standing(&world, 5), Standing::Complete);
}

/// Router 0 receives from router 1, but not the other way round: neither is considered failed, and both views show
/// the broken direction.
#[test]
fn one_way_cut_fails_neither_end() {
    for seed in 0..10 {
        let mut world = started_cluster(9, seed);
        world.at(10.0, FaultAction::CutOneWay(0, 1));
        world.run_until(30.0);
        assert_correct_detection(&world, 0);
        assert_eq!(state(&world, 1, 0), State::SeenByOthers, "seed {seed}");
        let heard_us_ago = world.now - world.members(0).unwrap().members()[1].heard_us_at;
        assert!(
            heard_us_ago > 10.0,
            "router 1 still reports that it heard router 0 only {heard_us_ago} s ago"
        );
        assert_eq!((standing(&world, 0), standing(&world, 1)), (Standing::Complete, Standing::Complete));
    }
}

#[test]
fn routers_cut_from_each_other_alone_are_seen_by_others() {
    let mut world = started_cluster(9, 4);
    world.at(10.0, FaultAction::Cut(0, 1));
    world.run_until(30.0);
    assert_eq!(world.record.false_failures(), []);
    assert_eq!((state(&world, 0, 1), state(&world, 1, 0)), (State::SeenByOthers, State::SeenByOthers));
    assert_eq!(state(&world, 2, 1), State::Present);
}

#[test]
fn equal_halves_may_not_take_over_and_agree_after_healing() {
    for seed in 0..5 {
        let mut world = started_cluster(10, seed);
        let parts = (0..10).map(|router| router % 2).collect();
        world.plan(&vec![(10.0, FaultAction::Part(parts)), (20.0, FaultAction::Heal)]);
        world.run_until(19.9);
        for router in 0..10 {
            assert_eq!(standing(&world, router), Standing::Half, "router {router}, seed {seed}");
            assert!(!world.members(router).unwrap().permissions().takes_over);
        }
        world.run_until(32.0);
        assert_agreed_within(&world, 3000);
        (0..10).for_each(|router| assert_eq!(standing(&world, router), Standing::Complete));
    }
}

#[test]
fn three_partitions_are_minorities_and_agree_after_healing() {
    for seed in 0..10 {
        let mut world = started_cluster(9, seed);
        let parts = (0..9).map(|router| router % 3).collect();
        world.plan(&vec![(10.0, FaultAction::Part(parts)), (16.0, FaultAction::Heal)]);
        world.run_until(15.9);
        (0..9).for_each(|router| assert_eq!(standing(&world, router), Standing::Minority));
        world.run_until(28.0);
        assert_agreed_within(&world, 3000);
    }
}

#[test]
fn flapping_partition_leaves_no_lasting_disagreement() {
    let mut world = started_cluster(9, 7);
    let parts: Vec<usize> = (0..9).map(|router| usize::from(router < 4)).collect();
    for round in 0..10 {
        let at = 10.0 + f64::from(round) * 1.5;
        world.at(at, FaultAction::Part(parts.clone()));
        world.at(at + 1.3, FaultAction::Heal);
    }
    world.run_until(40.0);
    assert_agreed_within(&world, 3000);
    (0..9).for_each(|router| assert_eq!(standing(&world, router), Standing::Complete));
}

#[test]
fn thirty_percent_loss_causes_no_false_failures_and_detects_real_ones() {
    for seed in 0..5 {
        let mut world = started_cluster(9, seed);
        world.at(9.0, FaultAction::Loss(0.3));
        world.at(40.0, FaultAction::Kill(8));
        world.run_until(60.0);
        assert!(world.link_conditions.lost > 1000);
        assert_eq!(world.record.false_failures(), [], "seed {seed}");
        assert_eq!(world.record.detections().1, 0);
    }
}

/// Guards against the suspicions of an overloaded router: it handles datagrams late, so that all others seem silent
/// to it.
#[test]
fn false_suspicions_of_an_overloaded_router_are_not_believed() {
    let counts_of_seed = |defences: Defences, seed: u64| {
        let mut world =
            started_cluster_with(9, DetectorSettings { defences, ..DetectorSettings::default() }, seed);
        (0..9).for_each(|from| world.link_conditions.link(from, 3).loss = 0.5);
        world.slow[3] = 0.3;
        world.run_until(60.0);
        let others = || (0..9).filter(|at| *at != 3).map(|at| world.members(at).unwrap().counters());
        let false_failures_elsewhere =
            world.record.false_failures().into_iter().filter(|(_, by, of)| *by != 3 && *of != 3).count();
        let refuted_or_contradicted: u64 =
            others().map(|counts| counts.refutations + counts.contradicted).sum();
        (
            others().map(|counts| counts.new_incarnations).sum::<u64>(),
            false_failures_elsewhere,
            refuted_or_contradicted,
            world.members(3).unwrap().local_health_score(),
        )
    };
    let sum_over_seeds = |defences: Defences| {
        let results = (0..5).map(|seed| counts_of_seed(defences, seed));
        results
            .fold((0, 0, 0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1, sum.2 + next.2, sum.3 + next.3))
    };
    let (new_incarnations, false_failures_elsewhere, refuted_or_contradicted, health) =
        sum_over_seeds(Defences::default());
    assert_eq!(false_failures_elsewhere, 0);
    assert!(
        refuted_or_contradicted > 0 && health > 0,
        "{refuted_or_contradicted} suspicions refuted or contradicted, local health score {health}"
    );
    let without_local_health = Defences { local_health: false, ..Defences::default() };
    let (without, ..) = sum_over_seeds(without_local_health);
    assert!(
        without > 4 * (new_incarnations + 1),
        "{without} new incarnations without local health, {new_incarnations} with it"
    );
}

#[test]
fn survivors_of_a_lost_majority_stand_as_minority() {
    for seed in 0..5 {
        let mut world = started_cluster(10, seed);
        (3..10).for_each(|router| world.at(10.0, FaultAction::Kill(router)));
        world.run_until(22.0);
        (0..3).for_each(|router| {
            assert_eq!(standing(&world, router), Standing::Minority);
            assert_eq!(failed_routers(&world, router), [3, 4, 5, 6, 7, 8, 9]);
        });
        let (times, missed) = world.record.detections();
        assert!(missed == 0 && times.max() < 7000, "{missed} missed, {} ms", times.max());
        (3..10).for_each(|router| world.at(22.0, FaultAction::Start(router)));
        world.run_until(32.0);
        (0..10).for_each(|router| assert_eq!(standing(&world, router), Standing::Complete));
    }
}

#[test]
fn routers_restarted_within_one_second_find_each_other() {
    let mut world = started_cluster(9, 9);
    for router in 0..9 {
        world.at(10.0 + router as f64 * 0.1, FaultAction::Kill(router));
        world.at(10.05 + router as f64 * 0.1, FaultAction::Start(router));
    }
    world.run_until(20.0);
    assert_agreed_within(&world, 3000);
    (0..9).for_each(|router| assert_eq!(standing(&world, router), Standing::Complete));
}

/// Guards against a second process that uses a router's name on another machine. The host normally drops its
/// datagrams, as they come from another address. In this test they get through, and the conflict is detected by their
/// incarnations.
#[test]
fn older_router_detects_a_name_conflict() {
    let mut world = started_cluster(5, 10);
    // The cluster hash that `World` gives its routers.
    let cluster = 7;
    for round in 0..30u64 {
        let at = world.now + 0.5;
        let mut second_process = Membership::new(
            cluster,
            5,
            2,
            1_900_000_000_000 + round * 1000,
            &DetectorSettings::default(),
            round,
            at,
        );
        second_process.turn(at);
        for (to, bytes) in second_process.take_outgoing() {
            world.inject(2, to.into(), bytes);
        }
        world.run_until(at);
    }
    assert_eq!(standing(&world, 2), Standing::NameConflict);
    assert!(world.members(2).unwrap().permissions().warns);
    assert!(!world.members(2).unwrap().permissions().grants_leases);
}

#[test]
fn accepts_routers_whose_clock_was_set_by_an_hour_before_start() {
    for clock_offset in [-3_600_000, 3_600_000] {
        let mut world = started_cluster(5, 11);
        world.clocks[1] = clock_offset;
        world.plan(&vec![(10.0, FaultAction::Kill(1)), (15.0, FaultAction::Start(1))]);
        world.run_until(25.0);
        assert_agreed_within(&world, 3000);
        assert_eq!(standing(&world, 1), Standing::Complete, "clock offset {clock_offset} ms");
        assert_eq!(state(&world, 0, 1), State::Present);
    }
}

#[test]
fn drops_datagrams_of_an_earlier_incarnation() {
    let mut world = started_cluster(5, 12);
    let now = world.now;
    let old_datagrams: Vec<(u16, Vec<u8>)> = {
        let membership = world.members_mut(3).unwrap();
        (0..8)
            .flat_map(|step| {
                membership.turn(now + f64::from(step) * 0.25);
                membership.take_outgoing()
            })
            .collect()
    };
    assert!(old_datagrams.len() > 8);
    world.plan(&vec![(10.0, FaultAction::Kill(3)), (10.5, FaultAction::Start(3))]);
    world.run_until(16.0);
    let generation = world.members(0).unwrap().members()[3].generation;
    old_datagrams.into_iter().for_each(|(to, bytes)| world.inject(3, to.into(), bytes));
    world.run_until(20.0);
    let counts = world.members(0).unwrap().counters();
    assert!(
        counts.dropped.get(&DropReason::FormerIncarnation).is_some_and(|dropped| *dropped > 0),
        "{counts:?}"
    );
    assert_eq!(world.members(0).unwrap().members()[3].generation, generation);
    assert_eq!(standing(&world, 0), Standing::Complete);
}

/// A wrong address in a configuration connects two clusters, and noise arrives from it at a high rate.
#[test]
fn counts_and_ignores_noise_and_foreign_clusters() {
    let mut world = started_cluster(5, 13);
    let foreign = cluster_hash("other", ["a", "b"]);
    let mut foreign_router =
        Membership::new(foreign, 5, 2, 1_900_000_000_000, &DetectorSettings::default(), 1, world.now);
    let mut random = 1u64;
    for step in 0..2000 {
        let at = 8.0 + f64::from(step) * 0.001;
        foreign_router.turn(at);
        for (to, bytes) in foreign_router.take_outgoing() {
            world.inject(2, to.into(), bytes);
        }
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1);
        world.inject(2, 0, random.to_le_bytes().repeat(1 + (random >> 60) as usize));
        world.inject(2, 0, vec![b'c'; 3000]);
        world.run_until(at);
    }
    world.run_until(12.0);
    let counts = world.members(0).unwrap().counters();
    let dropped = |reason| counts.dropped.get(&reason).copied().unwrap_or(0);
    assert!(dropped(DropReason::OtherCluster) > 0 && dropped(DropReason::Noise) >= 1900, "{counts:?}");
    assert_eq!(dropped(DropReason::TooLong), 2000);
    assert_eq!(standing(&world, 0), Standing::Complete);
    assert_eq!(world.record.false_failures(), []);
}

#[test]
fn planned_leave_is_not_a_failure() {
    let mut world = started_cluster(9, 14);
    world.at(10.0, FaultAction::Leave(6));
    world.run_until(20.0);
    for router in (0..9).filter(|router| *router != 6) {
        assert_eq!(state(&world, router, 6), State::Left, "router {router}");
    }
    assert_eq!(world.record.false_failures(), []);
}

#[test]
fn leave_during_partition_is_a_failure_until_restart() {
    let mut world = started_cluster(9, 15);
    let parts = (0..9).map(|router| usize::from(router == 6)).collect();
    world.plan(&vec![
        (10.0, FaultAction::Part(parts)),
        (11.0, FaultAction::Leave(6)),
        (15.0, FaultAction::Heal),
        (16.0, FaultAction::Start(6)),
    ]);
    world.run_until(14.9);
    assert_eq!(state(&world, 0, 6), State::Failed, "no router received the announcement of the leave");
    world.run_until(25.0);
    assert_agreed_within(&world, 3000);
    assert_eq!(standing(&world, 6), Standing::Complete);
}

#[test]
fn burst_of_delayed_datagrams_after_a_stall_changes_no_standing() {
    let mut world = started_cluster(9, 16);
    world.at(10.0, FaultAction::Stall(1, 5.0));
    world.run_until(18.0);
    assert!(world.link_conditions.stalled > 10);
    (0..9).for_each(|router| assert_eq!(standing(&world, router), Standing::Complete));
}

/// Detection in a cluster of 300 routers, the size of the fleet, of which one in fifteen is killed at the same time.
#[test]
fn three_hundred_routers_detect_failures_within_eight_seconds() {
    let mut world = World::started(300, DetectorSettings::default(), 17);
    world.run_until(12.0);
    assert_eq!(standing(&world, 0), Standing::Complete);
    (0..20).for_each(|router| world.at(12.0, FaultAction::Kill(router * 15)));
    world.run_until(24.0);
    let (times, missed) = world.record.detections();
    assert_eq!((times.len(), missed), (20 * 280, 0));
    assert!(times.value_at_quantile(0.99) < 8000, "{} ms", times.value_at_quantile(0.99));
    assert_eq!(world.record.false_failures(), []);
    let bytes = world.sent_bytes as f64 / 24.0 / 300.0;
    assert!(bytes < 40_000.0, "{bytes} bytes per second and router");
}

/// The holder is frozen, cut off and killed in turn, and then datagrams are lost, on clocks that drift as far apart
/// as the bound allows. There is never more than one holder, and a new one soon while a majority is present.
#[test]
fn leader_role_has_one_holder_at_a_time_and_a_successor_under_faults() {
    for seed in 0..6 {
        let mut world = World::new(7, DetectorSettings::default(), seed);
        world.role = Some(cleatgw_membership::leader::role_resource("nightly"));
        world.rates = [0.99, 1.01, 1.0, 1.01, 0.99, 1.0, 1.01].into();
        (0..7).for_each(|router| world.at(0.0, FaultAction::Start(router)));
        world.run_until(8.0);
        for round in 0..12 {
            let at = world.now;
            let holder = (0..7).find(|router| {
                let members = world.members(*router);
                members.is_some_and(|membership| {
                    membership.held_epoch(world.role.unwrap(), at * world.rates[*router]).is_some()
                })
            });
            let holder = holder.unwrap_or_else(|| panic!("no router holds the role at {at}, seed {seed}"));
            let holder_alone = (0..7).map(|router| usize::from(router == holder)).collect();
            let (fault, repair) = match round % 4 {
                0 => (FaultAction::Freeze(holder), FaultAction::Wake(holder)),
                1 => (FaultAction::Part(holder_alone), FaultAction::Heal),
                2 => (FaultAction::Kill(holder), FaultAction::Start(holder)),
                _ => (FaultAction::Loss(0.4), FaultAction::Loss(0.0)),
            };
            world.plan(&vec![(at, fault), (at + 2.5, repair)]);
            world.run_until(at + 8.0);
        }
        assert!(
            world.changed_hands >= 6,
            "the role changed hands {} times, seed {seed}",
            world.changed_hands
        );
        assert_eq!(world.two_holders, 0, "seed {seed}");
    }
}

/// Guards against trusting reports of routers that were restarted together: only a router that was running before a
/// restart can tell which store epoch it has seen.
#[test]
fn only_routers_running_before_a_restart_report_the_store_epochs_they_saw() {
    let mut world = started_cluster(4, 19);
    world.members_mut(0).unwrap().set_store_epoch(40);
    world.run_until(14.0);
    let parts = vec![0, 0, 1, 1];
    world.plan(&vec![(14.0, FaultAction::Part(parts))]);
    for router in 0..2 {
        world.plan(&vec![(14.1, FaultAction::Kill(router)), (14.4, FaultAction::Start(router))]);
    }
    world.run_until(18.0);
    assert_eq!(state(&world, 0, 1), State::Present, "the restarted routers hear each other");
    assert_eq!(world.members(0).unwrap().store_epoch_seen_by_peers(), None);
    world.plan(&vec![(18.0, FaultAction::Heal)]);
    world.run_until(22.0);
    assert_eq!(world.members(0).unwrap().store_epoch_seen_by_peers(), Some(40));
}
