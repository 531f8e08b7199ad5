//! Who else announces our addresses, as peers show it.

use cleatgw_bgp::{LearnedRoute, GRACEFUL_SHUTDOWN};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};

/// The large community (RFC 8092) that every path of ours carries: our AS, whether the instance is healthy, and which
/// one it is. It tells instances that share an AS apart, and the unhealthy from the healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceCommunity {
    /// The first part: our AS.
    pub asn: u32,
    /// The second part of a healthy path.
    pub healthy: u32,
    /// The second part of a path of last resort.
    pub last_resort: u32,
    /// The third part: our BGP identifier.
    pub instance: u32,
}

/// What a mark says of a path.
struct Origin {
    instance: u32,
    healthy: bool,
}

impl InstanceCommunity {
    /// The community of our own paths.
    pub fn large_community(&self, healthy: bool) -> [u32; 3] {
        [self.asn, if healthy { self.healthy } else { self.last_resort }, self.instance]
    }

    /// The instance that a path is from; none for a path without a mark.
    fn origin(&self, route: &LearnedRoute) -> Option<Origin> {
        let functions = [self.healthy, self.last_resort];
        let mut communities = route.large_communities.iter();
        let instance_community =
            communities.find(|[asn, function, _]| *asn == self.asn && functions.contains(function));
        instance_community
            .map(|&[_, function, instance]| Origin { instance, healthy: function == self.healthy })
    }
}

/// Paths to one address that other instances announce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PathCounts {
    /// Those that are not known to be unhealthy.
    pub healthy: usize,
    pub total: usize,
}

/// What is seen of one address.
#[derive(Clone, Debug, Default, PartialEq)]
struct Announcers {
    /// Instances by their marks, those that are healthy.
    healthy: BTreeSet<u32>,
    /// All instances.
    all: BTreeSet<u32>,
    /// Paths without a mark.
    unmarked: usize,
}

/// Paths of other instances, by address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    /// A session is up that would show them: without one nothing is known.
    pub has_view: bool,
    by_prefix: BTreeMap<IpNet, Announcers>,
}

impl Paths {
    /// No paths yet; `has_view` tells whether some session is up.
    pub fn new(has_view: bool) -> Paths {
        Paths { has_view, by_prefix: BTreeMap::new() }
    }

    /// Adds a route that one peer shows. Our own path, shown back to us, counts for nothing; a stale one neither: its
    /// peer may be gone. One that is about to go (RFC 8326) or of last resort is counted, and not healthy.
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
            // Somebody else's, or a peer that strips communities: a path, and not known to be unhealthy.
            None => announcers.unmarked += usize::from(!leaving),
        }
    }

    pub(crate) fn counts(&self, prefix: &IpNet) -> PathCounts {
        let Some(announcers) = self.by_prefix.get(prefix) else { return PathCounts::default() };
        PathCounts {
            healthy: announcers.healthy.len() + announcers.unmarked,
            total: announcers.all.len() + announcers.unmarked,
        }
    }

    /// Paths to an address that are not known to be unhealthy.
    pub fn healthy(&self, prefix: &IpNet) -> usize {
        self.counts(prefix).healthy
    }

    /// All paths to an address.
    pub fn total(&self, prefix: &IpNet) -> usize {
        self.counts(prefix).total
    }
}

#[cfg(test)]
mod tests;
