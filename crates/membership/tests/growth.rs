//! What routers send each other as they become more: counted in virtual time, so that every machine gives the same verdict.

use cleatgw_membership::swim::DetectorSettings;
use cleatgw_testbed::faults::schedule::{three_regions, FaultAction};
use cleatgw_testbed::scenarios::virtual_membership::World;

/// Datagrams and bytes that one router sends in ten idle seconds on average, once the news of all the starts is spread.
fn idle_traffic(routers: usize, far: bool) -> (f64, f64) {
    let mut world = World::started(routers, DetectorSettings::default(), 37);
    if far {
        world.link_conditions.place((0..routers).map(|router| router % 10).collect(), three_regions());
    }
    world.run_until(25.0);
    let sum = |world: &World| {
        let counts = (0..routers).map(|router| world.members(router).expect("it runs").counters());
        counts.fold((0, 0), |(sent, bytes), one| (sent + one.sent, bytes + one.sent_bytes))
    };
    let before = sum(&world);
    world.run_until(35.0);
    let after = sum(&world);
    let each = |after: u64, before: u64| (after - before) as f64 / routers as f64;
    let (sent, bytes) = (each(after.0, before.0), each(after.1, before.1));
    assert!(sent > 50.0 && bytes > 1000.0, "they talk: {sent} datagrams, {bytes} bytes");
    (sent, bytes)
}

/// Ten times as many routers: as many datagrams from each. The answer to who is there, once in five seconds, names as many as
/// one datagram bears, so its bytes grow up to that and no more.
#[test]
fn idle_traffic_of_a_router_does_not_grow_with_the_cluster() {
    for far in [false, true] {
        let (few, many) = (idle_traffic(30, far), idle_traffic(300, far));
        let (datagrams, bytes) = (many.0 / few.0, many.1 / few.1);
        assert!(datagrams < 1.25, "{} and {} datagrams, far {far}", few.0, many.0);
        assert!(bytes < 1.5, "{} and {} bytes, far {far}", few.1, many.1);
    }
}

/// A zone falls silent at once: the indirect probes of its routers are shared out, and nobody asks all about all.
#[test]
fn traffic_of_a_router_after_losing_a_zone_does_not_grow_with_the_cluster() {
    let peak = |routers: usize| {
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
    let (few, many) = (peak(30), peak(300));
    assert!(many < 5.0 * few, "{few} bytes a router at 30, {many} at 300");
}
