//! Which paths of others count.

use super::*;

fn seen(large: &[[u32; 3]], communities: &[u32], stale: bool) -> LearnedRoute {
    LearnedRoute {
        communities: communities.to_vec(),
        large_communities: large.to_vec(),
        path_length: 2,
        med: None,
        stale,
    }
}

#[test]
fn ignores_our_own_path_and_does_not_count_unhealthy_paths_as_healthy() {
    let instance_community = InstanceCommunity { asn: 64_512, healthy: 1, last_resort: 2, instance: 7 };
    let net = "198.51.100.7/32".parse().unwrap();
    let count = |paths: &[LearnedRoute]| {
        let mut all = Paths::default();
        paths.iter().for_each(|path| all.add(&instance_community, net, path));
        (all.healthy(&net), all.total(&net))
    };
    assert_eq!(count(&[seen(&[instance_community.large_community(true)], &[], false)]), (0, 0));
    assert_eq!(count(&[seen(&[[64_512, 1, 8]], &[], false)]), (1, 1));
    // The same instance by two peers is one.
    assert_eq!(count(&[seen(&[[64_512, 1, 8]], &[], false), seen(&[[64_512, 1, 8]], &[], false)]), (1, 1));
    assert_eq!(count(&[seen(&[[64_512, 2, 8]], &[], false)]), (0, 1));
    assert_eq!(count(&[seen(&[[64_512, 1, 8]], &[GRACEFUL_SHUTDOWN], false)]), (0, 1));
    assert_eq!(count(&[seen(&[[64_512, 1, 8]], &[], true)]), (0, 0));
    // Marks of another AS or with another meaning say nothing.
    assert_eq!(count(&[seen(&[[9, 2, 8], [64_512, 77, 8]], &[], false)]), (1, 1));
}
