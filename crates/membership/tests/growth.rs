//! How much traffic routers cause as the cluster grows. It is counted in virtual time, so that the result is the same
//! on every machine.

use cleatgw_membership::swim::DetectorSettings;
use cleatgw_testbed::faults::schedule::{three_regions, FaultAction};
use cleatgw_testbed::scenarios::virtual_membership::World;

/// The datagrams and bytes that one router sends on average in ten idle seconds, after gossip about the starts has
/// ended. With `three_distant_regions` the routers are spread over regions with long delays between them.
fn idle_traffic(routers: usize, three_distant_regions: bool) -> (f64, f64) {
    let mut world = World::started(routers, DetectorSettings::default(), 37);
    if three_distant_regions {
        world.link_conditions.place((0..routers).map(|router| router % 10).collect(), three_regions());
    }
    world.run_until(25.0);
    let total_sent = |world: &World| {
        let counts =
            (0..routers).map(|router| world.members(router).expect("the router is running").counters());
        counts.fold((0, 0), |(sent, bytes), router| (sent + router.sent, bytes + router.sent_bytes))
    };
    let before = total_sent(&world);
    world.run_until(35.0);
    let after = total_sent(&world);
    let per_router = |after: u64, before: u64| (after - before) as f64 / routers as f64;
    let (sent, bytes) = (per_router(after.0, before.0), per_router(after.1, before.1));
    assert!(
        sent > 50.0 && bytes > 1000.0,
        "too little traffic for a comparison: {sent} datagrams, {bytes} bytes"
    );
    (sent, bytes)
}

/// With ten times as many routers, each sends as many datagrams as before. The bytes grow until the member list
/// that each router requests every five seconds fills one datagram, and no further.
#[test]
fn idle_traffic_of_a_router_does_not_grow_with_the_cluster() {
    for three_distant_regions in [false, true] {
        let (few, many) = (idle_traffic(30, three_distant_regions), idle_traffic(300, three_distant_regions));
        let (datagrams, bytes) = (many.0 / few.0, many.1 / few.1);
        assert!(
            datagrams < 1.25,
            "{} and {} datagrams, three distant regions: {three_distant_regions}",
            few.0,
            many.0
        );
        assert!(
            bytes < 1.5,
            "{} and {} bytes, three distant regions: {three_distant_regions}",
            few.1,
            many.1
        );
    }
}

/// A zone fails at once. Guards against traffic that grows with the square of the cluster size: the indirect probes
/// are spread over some of the routers, and no router asks every other one about all the lost ones. With ten
/// times as many routers and losses, each remaining router may send less than five times the bytes.
#[test]
fn traffic_of_a_router_after_losing_a_zone_grows_less_than_half_as_much_as_the_cluster() {
    let bytes_per_router = |routers: usize| {
        let mut world = World::started(routers, DetectorSettings::default(), 38);
        world.link_conditions.place((0..routers).map(|router| router % 10).collect(), three_regions());
        world.run_until(12.0);
        let lost: Vec<usize> = (0..routers).step_by(10).collect();
        world.plan(&lost.iter().map(|router| (12.0, FaultAction::Kill(*router))).collect());
        let before = world.sent_bytes;
        world.run_until(20.0);
        let (times, missed) = world.record.detections();
        assert_eq!((times.len() as usize, missed), (lost.len() * (routers - lost.len()), 0));
        assert_eq!(world.record.false_failures(), []);
        (world.sent_bytes - before) as f64 / (routers - lost.len()) as f64
    };
    let (few, many) = (bytes_per_router(30), bytes_per_router(300));
    assert!(many < 5.0 * few, "{few} bytes a router at 30, {many} at 300");
}
