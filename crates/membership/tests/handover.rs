//! The holder of a leader role leaves by plan: the next one holds it soon, whatever the holder was about to do. In virtual time, so that no
//! machine's load is in the figures.

use cleatgw_membership::leader::role_resource;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_testbed::faults::schedule::FaultAction;
use cleatgw_testbed::scenarios::virtual_membership::World;

/// A lease ends by itself after two seconds: a router that is told of its release need not wait for that. Seconds.
const SOON: f64 = 1.3;

fn holder(world: &World) -> Option<usize> {
    let holds = |router: &usize| {
        world
            .members(*router)
            .is_some_and(|one| one.held_epoch(role_resource("nightly"), world.now).is_some())
    };
    (0..world.routers()).find(holds)
}

/// After the leave at each of many moments, close together: over one whole round of the holder's questions and looks, some
/// fall just ahead of those and some into the time that its messages are on the way. How long nobody held it, at most, and
/// how often the leaving one had it again.
fn leaves(seed: u64, delay: f64, moments: usize, step: f64) -> (f64, usize) {
    let (mut longest, mut again) = (0.0f64, 0);
    for moment in 0..moments {
        let mut world = World::new(5, DetectorSettings::default(), seed);
        world.role = Some(role_resource("nightly"));
        world.link_conditions.all(|link| link.delay = delay);
        (0..5).for_each(|router| world.at(0.0, FaultAction::Start(router)));
        world.run_until(8.0 + moment as f64 * step);
        let (left, at) = (holder(&world).expect("one holds it"), world.now);
        world.at(at, FaultAction::Leave(left));
        while holder(&world).is_none_or(|now| now == left) {
            world.run_until(world.now + 0.005);
            again += usize::from(world.now > at && holder(&world) == Some(left));
            assert!(world.now < at + 5.0, "nobody holds it");
        }
        longest = longest.max(world.now - at);
        assert_eq!(world.two_holders, 0);
    }
    (longest, again)
}

#[test]
fn planned_leave_hands_the_role_over_soon_and_for_good_at_any_moment() {
    for seed in 0..4 {
        for delay in [0.0002, 0.02] {
            let (longest, again) = leaves(seed, delay, 200, 0.005);
            assert_eq!(again, 0, "seed {seed}, messages take {delay} s");
            assert!(longest < SOON, "seed {seed}, messages take {delay} s: {longest} s");
        }
    }
}
