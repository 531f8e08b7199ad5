//! Handover of a leader role when its holder leaves as planned: a successor holds the role soon, whatever the holder
//! was about to do. The tests run in virtual time, so that the load of the machine does not affect the figures.

use cleatgw_membership::leader::role_resource;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_testbed::faults::schedule::FaultAction;
use cleatgw_testbed::scenarios::virtual_membership::World;

/// The limit of the handover time, in seconds. A lease expires by itself after two seconds; a successor that receives
/// the release need not wait for that.
const MAX_HANDOVER_TIME: f64 = 1.3;

fn holder(world: &World) -> Option<usize> {
    let holds = |router: &usize| {
        world
            .members(*router)
            .is_some_and(|membership| membership.held_epoch(role_resource("nightly"), world.now).is_some())
    };
    (0..world.routers()).find(holds)
}

/// Lets the holder leave at each of `moments` moments that are `step` seconds apart. They cover a whole cycle of the
/// holder's requests and checks, so that some leaves come just before a request, and some while its messages are in
/// transit. Returns the longest time until a successor held the role, and how often the leaving router was seen to
/// hold it again.
fn handover_after_leaves(seed: u64, delay: f64, moments: usize, step: f64) -> (f64, usize) {
    let (mut longest, mut held_again) = (0.0f64, 0);
    for moment in 0..moments {
        let mut world = World::new(5, DetectorSettings::default(), seed);
        world.role = Some(role_resource("nightly"));
        world.link_conditions.all(|link| link.delay = delay);
        (0..5).for_each(|router| world.at(0.0, FaultAction::Start(router)));
        world.run_until(8.0 + moment as f64 * step);
        let (leaving, left_at) = (holder(&world).expect("some router holds the role"), world.now);
        world.at(left_at, FaultAction::Leave(leaving));
        while holder(&world).is_none_or(|holder| holder == leaving) {
            world.run_until(world.now + 0.005);
            held_again += usize::from(world.now > left_at && holder(&world) == Some(leaving));
            assert!(world.now < left_at + 5.0, "no successor holds the role 5 s after the leave");
        }
        longest = longest.max(world.now - left_at);
        assert_eq!(world.two_holders, 0);
    }
    (longest, held_again)
}

#[test]
fn planned_leave_at_any_moment_hands_the_role_over_soon_and_for_good() {
    for seed in 0..4 {
        for delay in [0.0002, 0.02] {
            let (longest, held_again) = handover_after_leaves(seed, delay, 200, 0.005);
            assert_eq!(held_again, 0, "seed {seed}, messages take {delay} s");
            assert!(longest < MAX_HANDOVER_TIME, "seed {seed}, messages take {delay} s: {longest} s");
        }
    }
}
