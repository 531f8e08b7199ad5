use super::*;
use crate::view::{permissions, Standing};

#[test]
fn ranks_are_distinct_vary_by_resource_and_skip_absent_routers() {
    let all: Vec<u16> = (0..9).collect();
    let mut first = std::collections::BTreeSet::new();
    for number in 0..40 {
        let order: Vec<usize> = all.iter().map(|me| rank(7, number, *me, &all)).collect();
        let mut sorted = order.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, (0..9).collect::<Vec<_>>());
        let best = order.iter().position(|rank| *rank == 0).unwrap() as u16;
        first.insert(best);
        let rest: Vec<u16> = all.iter().copied().filter(|router| *router != best).collect();
        let next = order.iter().position(|rank| *rank == 1).unwrap() as u16;
        assert_eq!(rank(7, number, next, &rest), 0);
    }
    assert!(first.len() > 4, "{first:?}");
}

/// A router that may not take over never requests a lease. The only router of a cluster of one gets the lease at once.
#[test]
fn requests_only_where_the_view_allows_and_extends_what_it_holds() {
    let mut leases = Leases::new(0, 1, 10, 0.0);
    let mut roles = LeaderRoles::new(7, &[role_resource("nightly")], 3.0);
    let nightly = role_resource("nightly");
    let candidate = |standing| Candidate {
        me: 0,
        present: &[0],
        permissions: permissions(standing),
        random_fraction: 0.5,
    };
    for standing in [Standing::Disagreeing, Standing::Minority, Standing::JustResumed, Standing::Leaving] {
        roles.turn(candidate(standing), &mut leases, 3.0);
        assert_eq!(roles.status(nightly, 0, &leases, 3.0), RoleStatus::Unknown, "{standing:?}");
        roles.roles[0].next_request = 3.0;
    }
    roles.turn(candidate(Standing::Complete), &mut leases, 3.0);
    let RoleStatus::Held { epoch: first, remaining } = roles.status(nightly, 0, &leases, 3.0) else {
        panic!("the role is not held after the request")
    };
    assert!(remaining > 1.8 && remaining < 2.0, "{remaining}");
    let mut now = 3.0;
    while now < 9.0 {
        now = roles.due();
        roles.turn(candidate(Standing::Complete), &mut leases, now);
        leases.turn(now);
        let RoleStatus::Held { epoch, remaining } = roles.status(nightly, 0, &leases, now) else {
            panic!("the role was lost before it was extended")
        };
        assert!(epoch >= first && remaining > 0.7, "{remaining} at {now}");
    }
}

#[test]
fn role_resources_differ_from_others_and_from_each_other() {
    assert!(role_resource("a") >= 1 << 31 && role_resource("a") != role_resource("b"));
}
