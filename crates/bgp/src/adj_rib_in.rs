//! Routes learned from one peer (Adj-RIB-In, RFC 4271 section 3.2), kept only where they lead to our own service
//! prefixes: who else announces them. Bounded by count whatever a peer sends.

use crate::family::Family;
use crate::update::PathAttributes;
use ipnet::IpNet;
use prefix_trie::joint::{JointPrefixMap, JointPrefixSet};

/// Communities of one route that are kept, of each kind: with the bound on routes they bound the memory of a peer.
const MAX_COMMUNITIES: usize = 32;

/// What is kept of one learned route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedRoute {
    /// COMMUNITIES (RFC 1997), the first 32.
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092), the first 32.
    pub large_communities: Vec<[u32; 3]>,
    /// The length of its AS_PATH in hops.
    pub path_length: usize,
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// Its session is gone, and the peer said that it would be back (RFC 4724 section 4.2).
    pub stale: bool,
}

/// The routes learned from one peer.
#[derive(Clone, Debug)]
pub struct AdjRibIn {
    service_prefixes: JointPrefixSet<IpNet>,
    routes: JointPrefixMap<IpNet, LearnedRoute>,
    max_routes: usize,
    /// When stale routes are removed; infinite where there are none.
    stale_until: f64,
    /// Routes that were ignored, as they lead to no service prefix.
    pub ignored: u64,
    /// Routes that were dropped, as there was no room for them.
    pub over_limit: u64,
}

impl AdjRibIn {
    /// Learns routes to these prefixes and parts of them, at most so many.
    pub fn new(service_prefixes: &[IpNet], max_routes: usize) -> AdjRibIn {
        AdjRibIn {
            service_prefixes: service_prefixes.iter().map(IpNet::trunc).collect(),
            routes: JointPrefixMap::new(),
            max_routes,
            stale_until: f64::INFINITY,
            ignored: 0,
            over_limit: 0,
        }
    }

    /// Other service prefixes from now on: routes to those that are gone are removed; routes to new ones have been
    /// ignored and must be asked for again.
    pub fn set_service_prefixes(&mut self, service_prefixes: &[IpNet]) {
        self.service_prefixes = service_prefixes.iter().map(IpNet::trunc).collect();
        let service_prefixes = &self.service_prefixes;
        self.routes.retain(|prefix, _| service_prefixes.get_lpm(&prefix).is_some());
    }

    /// Adds or replaces a route. It is of use where it is a service prefix, or a part of one that would draw its
    /// clients away.
    pub fn insert(&mut self, prefix: IpNet, attributes: &PathAttributes) {
        if self.service_prefixes.get_lpm(&prefix).is_none() {
            self.ignored += 1;
            return;
        }
        if self.routes.len() >= self.max_routes && self.routes.get(&prefix).is_none() {
            self.over_limit += 1;
            return;
        }
        let large_communities = attributes.large_communities.iter().take(MAX_COMMUNITIES);
        let route = LearnedRoute {
            communities: attributes.communities.iter().copied().take(MAX_COMMUNITIES).collect(),
            large_communities: large_communities.copied().collect(),
            path_length: attributes.path_length(),
            med: attributes.med,
            stale: false,
        };
        self.routes.insert(prefix, route);
    }

    /// Removes the route of a withdrawn prefix.
    pub fn remove(&mut self, prefix: &IpNet) {
        self.routes.remove(prefix);
    }

    /// Removes all routes.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.stale_until = f64::INFINITY;
    }

    /// The session is gone and the peer will be back: the routes of these families, by [`Family`], are stale and kept
    /// until then at the latest; those of others are removed.
    pub fn mark_stale(&mut self, families: [bool; 2], until: f64) {
        self.routes.retain(|prefix, _| families[Family::of_prefix(&prefix) as usize]);
        for route in self.routes.values_mut() {
            route.stale = true;
        }
        self.stale_until = if self.routes.is_empty() { f64::INFINITY } else { until };
    }

    /// The peer has sent all its routes of a family: what is still stale in it is removed.
    pub fn remove_stale(&mut self, family: Family) {
        self.routes.retain(|prefix, route| !route.stale || Family::of_prefix(&prefix) != family);
        if !self.routes.values().any(|route| route.stale) {
            self.stale_until = f64::INFINITY;
        }
    }

    /// When [`AdjRibIn::expire_stale`] is to be called; infinite where nothing is stale.
    pub fn due(&self) -> f64 {
        self.stale_until
    }

    /// Removes stale routes if their time is over.
    pub fn expire_stale(&mut self, now: f64) {
        if now >= self.stale_until {
            self.routes.retain(|_, route| !route.stale);
            self.stale_until = f64::INFINITY;
        }
    }

    /// The routes with their prefixes.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, &LearnedRoute)> {
        self.routes.iter()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// There are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

#[cfg(test)]
mod tests;
