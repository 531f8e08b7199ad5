//! Tests of which paths of other instances count, and which count as healthy.

use super::*;

fn route(large_communities: &[[u32; 3]], communities: &[u32], stale: bool) -> LearnedRoute {
    LearnedRoute {
        communities: communities.to_vec(),
        large_communities: large_communities.to_vec(),
        path_length: 2,
        med: None,
        stale,
    }
}

#[test]
fn ignores_our_own_path_and_does_not_count_unhealthy_paths_as_healthy() {
    let instance_community =
        InstanceCommunity { asn: 64_512, healthy_function: 1, last_resort_function: 2, instance: 7 };
    let prefix = "198.51.100.7/32".parse().unwrap();
    let count = |routes: &[LearnedRoute]| {
        let mut paths = Paths::default();
        routes.iter().for_each(|route| paths.add(&instance_community, prefix, route));
        (paths.healthy(&prefix), paths.total(&prefix))
    };
    assert_eq!(count(&[route(&[instance_community.large_community(true)], &[], false)]), (0, 0));
    assert_eq!(count(&[route(&[[64_512, 1, 8]], &[], false)]), (1, 1));
    // An instance whose path is learned from two peers counts once.
    assert_eq!(count(&[route(&[[64_512, 1, 8]], &[], false), route(&[[64_512, 1, 8]], &[], false)]), (1, 1));
    assert_eq!(count(&[route(&[[64_512, 2, 8]], &[], false)]), (0, 1));
    assert_eq!(count(&[route(&[[64_512, 1, 8]], &[GRACEFUL_SHUTDOWN], false)]), (0, 1));
    assert_eq!(count(&[route(&[[64_512, 1, 8]], &[], true)]), (0, 0));
    // Large communities of another AS or with another function number are not marks.
    assert_eq!(count(&[route(&[[9, 2, 8], [64_512, 77, 8]], &[], false)]), (1, 1));
}
