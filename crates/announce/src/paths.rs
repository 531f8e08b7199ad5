//! The paths of other instances to our addresses, as learned from peers.

use cleatgw_bgp::{LearnedRoute, GRACEFUL_SHUTDOWN};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};

/// The large community (RFC 8092) that marks every path of ours. Its three numbers are our AS number, a function number
/// that tells whether the instance is healthy, and our BGP identifier. It tells apart instances that share an AS, and
/// unhealthy instances from healthy ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceCommunity {
    /// The first number: our AS number.
    pub asn: u32,
    /// The second number, the function, of the mark of a healthy path.
    pub healthy_function: u32,
    /// The second number, the function, of the mark of a path of last resort.
    pub last_resort_function: u32,
    /// The third number: our BGP identifier.
    pub instance: u32,
}

/// What the mark of a path tells.
struct Origin {
    instance: u32,
    healthy: bool,
}

impl InstanceCommunity {
    /// The community that marks our own paths.
    pub fn large_community(&self, healthy: bool) -> [u32; 3] {
        [self.asn, if healthy { self.healthy_function } else { self.last_resort_function }, self.instance]
    }

    /// The instance that announced a path, and whether it is healthy; `None` for a path without a mark.
    fn origin(&self, route: &LearnedRoute) -> Option<Origin> {
        let functions = [self.healthy_function, self.last_resort_function];
        let mut communities = route.large_communities.iter();
        let mark = communities.find(|[asn, function, _]| *asn == self.asn && functions.contains(function));
        mark.map(|&[_, function, instance]| Origin { instance, healthy: function == self.healthy_function })
    }
}

/// The numbers of paths of other instances to one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PathCounts {
    /// Paths that are not known to be unhealthy.
    pub healthy: usize,
    /// All paths.
    pub total: usize,
}

/// The other announcers of one address.
#[derive(Clone, Debug, Default, PartialEq)]
struct Announcers {
    /// The healthy instances, as identified by their marks.
    healthy: BTreeSet<u32>,
    /// All instances, as identified by their marks.
    all: BTreeSet<u32>,
    /// The number of paths without a mark.
    unmarked: usize,
}

/// The paths of other instances, by address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    /// Whether a session is up that would show paths of other instances. Without one, nothing is known about them.
    pub has_view: bool,
    by_prefix: BTreeMap<IpNet, Announcers>,
}

impl Paths {
    /// Creates an empty set of paths; `has_view` tells whether a session is up.
    pub fn new(has_view: bool) -> Paths {
        Paths { has_view, by_prefix: BTreeMap::new() }
    }

    /// Adds a route learned from a peer. Our own path, sent back to us, is ignored. A stale path is ignored as well,
    /// because its peer may be gone. A marked path with GRACEFUL_SHUTDOWN (RFC 8326) or of last resort counts, but not
    /// as healthy. A path without a mark does not count if it has GRACEFUL_SHUTDOWN.
    pub fn add(&mut self, instance_community: &InstanceCommunity, prefix: IpNet, route: &LearnedRoute) {
        if route.stale {
            return;
        }
        let leaving = route.communities.contains(&GRACEFUL_SHUTDOWN);
        let announcers = self.by_prefix.entry(prefix).or_default();
        match instance_community.origin(route) {
            Some(origin) if origin.instance == instance_community.instance => {}
            Some(origin) => {
                announcers.all.insert(origin.instance);
                if origin.healthy && !leaving {
                    announcers.healthy.insert(origin.instance);
                }
            }
            // The path is of another origin, or the peer strips large communities. It counts as healthy, because it is
            // not known to be unhealthy.
            None => announcers.unmarked += usize::from(!leaving),
        }
    }

    /// Counts the paths to an address.
    pub(crate) fn counts(&self, prefix: &IpNet) -> PathCounts {
        let Some(announcers) = self.by_prefix.get(prefix) else { return PathCounts::default() };
        PathCounts {
            healthy: announcers.healthy.len() + announcers.unmarked,
            total: announcers.all.len() + announcers.unmarked,
        }
    }

    /// The number of paths to an address that are not known to be unhealthy.
    pub fn healthy(&self, prefix: &IpNet) -> usize {
        self.counts(prefix).healthy
    }

    /// The number of all paths to an address.
    pub fn total(&self, prefix: &IpNet) -> usize {
        self.counts(prefix).total
    }
}

#[cfg(test)]
mod tests;
